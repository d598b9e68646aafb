"""Keep the tokens that a node holds for the calls of a tenant."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from .limits import LOAN_S, Limit

# Granted tokens expire after this time, counted from the request for them.
TOKEN_S = 0.4
# Tokens are requested ahead for the calls expected within this time.
AHEAD_S = 0.3
# Weight of the newest interval in the mean demand.
NEWEST_WEIGHT = 0.5
# With less demand, tokens requested ahead would mostly lapse.
MIN_AHEAD = 0.7


class TokenBatch(NamedTuple):
    """Hold tokens that were granted together."""

    tokens: int
    expires_at: float
    coordinator: str


class TokenCache:
    """Hold the granted tokens of one tenant on one node, and its recent demand."""

    __slots__ = (
        "_calls",
        "_demand",
        "_interval_at",
        "batches",
        "booked_at",
        "called_at",
        "limit",
        "refused_at",
    )

    def __init__(self, *, limit: Limit, now: float) -> None:
        self.limit = limit
        self.batches: deque[TokenBatch] = deque()
        # Until this time the coordinator has no token.
        self.refused_at = -math.inf
        # The latest time at which a refused caller was told to come back.
        self.booked_at = -math.inf
        self.called_at = now
        self._calls = 0
        self._demand = 0.0
        self._interval_at = now

    def note_call(self, *, now: float) -> None:
        """Count a call for the demand."""
        self._roll(now)
        self._calls += 1
        self.called_at = now

    def _roll(self, now: float) -> None:
        intervals = int((now - self._interval_at) / AHEAD_S)
        if intervals <= 0:
            return
        self._demand += (self._calls - self._demand) * NEWEST_WEIGHT
        if intervals > 1:
            self._demand *= (1 - NEWEST_WEIGHT) ** min(intervals - 1, 60)
        self._calls = 0
        self._interval_at += intervals * AHEAD_S

    def count(self, *, now: float) -> int:
        """Return the number of tokens that have not expired."""
        while self.batches and self.batches[0].expires_at <= now:
            self.batches.popleft()
        return sum(batch.tokens for batch in self.batches)

    def take(self, *, now: float) -> TokenBatch | None:
        """Take one token; return None without one."""
        if not self.count(now=now):
            return None
        batch = self.batches[0]
        if batch.tokens == 1:
            self.batches.popleft()
        else:
            self.batches[0] = batch._replace(tokens=batch.tokens - 1)
        return batch._replace(tokens=1)

    def put(self, batch: TokenBatch, *, now: float) -> None:
        """Add tokens, in the order in which they expire."""
        if batch.tokens <= 0 or batch.expires_at <= now:
            return
        self.batches.append(batch)
        if len(self.batches) > 1 and self.batches[-2].expires_at > batch.expires_at:
            self.batches = deque(sorted(self.batches, key=lambda item: item.expires_at))

    def count_ahead(self, *, now: float) -> int:
        """Return how many tokens to request ahead of calls, 0 while there are enough."""
        self._roll(now)
        demand = max(self._demand, float(self._calls))
        if self._demand < MIN_AHEAD:
            return 0
        held = self.count(now=now)
        return max(0, math.ceil(demand) - held) if held <= demand / 2 else 0

    def take_unused(self, coordinator: str, *, before: float, now: float) -> int:
        """Remove and count the tokens of a coordinator that expire before a time."""
        self.count(now=now)
        tokens = 0
        kept: deque[TokenBatch] = deque()
        for batch in self.batches:
            if batch.expires_at < before and batch.coordinator == coordinator:
                tokens += batch.tokens
            else:
                kept.append(batch)
        self.batches = kept
        return tokens

    def refuse(self, *, now: float) -> float:
        """Return the seconds after which a refused caller finds a token, one after another."""
        spacing_s = 1.0 / max(self.limit.rate, 1.0)
        at = max(self.refused_at, self.booked_at + spacing_s, now)
        self.booked_at = min(at, now + LOAN_S)
        return self.booked_at - now
