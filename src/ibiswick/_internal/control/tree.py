"""Choose roots and parents, and limit the rates of joins and retries."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ..shared.budgets import TokenBucket

MAX_BACKOFF_S = 30.0
MIN_BACKOFF_S = 0.5


class Candidate(NamedTuple):
    """Describe a child that may take a joining node as its own child."""

    link_number: int
    children: int
    total: int


def rank_roots(workspace: str, vms: Iterable[str]) -> list[str]:
    """Order roots for a workspace by rendezvous hashing, the preferred one first.

    >>> rank_roots("yorgan", ["a", "b", "c"]) == rank_roots("yorgan", ["c", "a", "b"])
    True
    """
    return sorted(vms, key=lambda vm: (_hash_pair(workspace, vm), vm), reverse=True)


def choose_parent(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the child with the smallest subtree, which keeps the tree balanced."""
    return min(candidates, key=lambda c: (c.total, c.children, c.link_number), default=None)


def draw_backoff(random_source: random.Random, attempt: int, *, first_s: float) -> float:
    """Draw a delay with full jitter that grows with the attempt up to 30 s."""
    bound = min(MAX_BACKOFF_S, first_s * 2 ** min(attempt, 16))
    return random_source.uniform(0.0, bound)


class JoinLimiter:
    """Admit joins at a bounded rate by a token bucket."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._bucket = TokenBucket(rate_per_s, burst)
        self._waiting_joins = 0.0
        self._delay_drawn_at: float | None = None

    def admit(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        return self._bucket.take(now) == 0.0

    def draw_delay(self, random_source: random.Random, now: float) -> float:
        """Return a delay for a refused join that spreads all refused joins over the rate."""
        passed = 0.0 if self._delay_drawn_at is None else now - self._delay_drawn_at
        self._delay_drawn_at = now
        self._waiting_joins = max(0.0, self._waiting_joins - passed * self._rate_per_s) + 1.0
        spread = max(1.0, self._waiting_joins / self._rate_per_s)
        return min(MAX_BACKOFF_S, spread * (0.5 + random_source.random()))


def _hash_pair(first: str, second: str) -> bytes:
    return hashlib.blake2b(f"{first}\x00{second}".encode(), digest_size=8).digest()
