"""Decide about retries, hedged attempts and deadlines."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple

MAX_EXTRA_ATTEMPTS = 2
BUDGET_RATIO = 0.2
# A quiet service must be able to retry before its calls have earned a token.
BUDGET_MINIMUM = 5.0
BUDGET_MAXIMUM = 100.0
BUDGET_REFILL_PER_S = 0.5
BACKOFF_BASE_S = 0.002
BACKOFF_LIMIT_S = 0.05
# The node behind the caller's node gives up this much earlier, so that its own answer arrives
# in time and the connection between the nodes survives.
DEADLINE_MARGIN_S = 0.005
MIN_ATTEMPT_S = 0.001
# An attempt is not given up before this many times the typical latency of its service.
PATIENCE = 4.0


class Outcome(StrEnum):
    """Result of one attempt of a call."""

    RESPONSE = "response"
    NOT_RUN = "not-run"
    LOST = "lost"
    TIMEOUT = "timeout"


class RetryDecision(NamedTuple):
    """Say whether to make another attempt, after which back-off, and why (not)."""

    retry: bool
    delay_s: float
    reason: str


class RetryBudget:
    """Limit the extra attempts of one service to a share of its calls.

    >>> budget = RetryBudget(now=0.0)
    >>> [budget.take(now=0.0) for _ in range(6)].count(True)
    5
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, *, now: float) -> None:
        self._tokens = BUDGET_MINIMUM
        self._refilled_at = now

    def note_call(self) -> None:
        """Earn a share of a token by one call from a caller."""
        if self._tokens < BUDGET_MAXIMUM:
            self._tokens += BUDGET_RATIO

    def take(self, *, now: float) -> bool:
        """Take one token for an extra attempt, if there is one."""
        elapsed = now - self._refilled_at
        self._refilled_at = now
        if self._tokens < BUDGET_MINIMUM:
            self._tokens = min(BUDGET_MINIMUM, self._tokens + elapsed * BUDGET_REFILL_PER_S)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def count_attempts(retries: int) -> int:
    """Return how many attempts a route allows in all."""
    return 1 + min(max(retries, 0), MAX_EXTRA_ATTEMPTS)


def decide_retry(
    outcome: Outcome,
    *,
    idempotent: bool,
    replayable: bool,
    attempts: int,
    allowed: int,
    remaining_s: float,
    elsewhere: bool,
    budget: RetryBudget,
    now: float,
    rng: random.Random,
) -> RetryDecision:
    """Decide what follows an attempt.

    `attempts` counts those made so far; `elsewhere` tells that an endpoint is left to try.
    """
    if outcome is Outcome.RESPONSE:
        return RetryDecision(False, 0.0, "answered")
    if outcome is not Outcome.NOT_RUN and not idempotent:
        return RetryDecision(False, 0.0, "may-have-run")
    if not replayable:
        return RetryDecision(False, 0.0, "body-streamed")
    if attempts >= allowed:
        return RetryDecision(False, 0.0, "attempts-exhausted")
    is_moved = elsewhere and outcome is Outcome.NOT_RUN and attempts == 1
    delay_s = 0.0 if is_moved else compute_backoff(attempts=attempts, rng=rng)
    if remaining_s - delay_s <= MIN_ATTEMPT_S:
        return RetryDecision(False, 0.0, "deadline")
    if not budget.take(now=now):
        return RetryDecision(False, 0.0, "budget-exhausted")
    return RetryDecision(True, delay_s, outcome.value)


def compute_backoff(*, attempts: int, rng: random.Random) -> float:
    """Return the seconds to wait, with full jitter."""
    return rng.uniform(0.0, min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**attempts))


def compute_deadline(*, now: float, route_ms: int, caller_ms: int | None) -> float:
    """Return the deadline of a call; a caller can only shorten that of the route.

    >>> compute_deadline(now=10.0, route_ms=1000, caller_ms=250)
    10.25
    >>> compute_deadline(now=10.0, route_ms=1000, caller_ms=9000)
    11.0
    """
    limit_ms = route_ms if caller_ms is None else min(route_ms, caller_ms)
    return now + limit_ms / 1000


def compute_attempt_deadline(
    *, now: float, deadline: float, idempotent: bool, attempts_left: int, typical_s: float
) -> float:
    """Return the deadline of the next attempt; only idempotent calls leave time for others.

    The time left is divided among the attempts, unless the service is known to take longer: then
    giving up early would only repeat the work.
    """
    if not idempotent or attempts_left <= 1:
        return deadline
    share_s = (deadline - now) / attempts_left
    return min(deadline, now + max(share_s, PATIENCE * typical_s))


def shrink_deadline_ms(*, now: float, deadline: float) -> int:
    """Return the milliseconds that the next hop gets (at least one)."""
    remaining_s = deadline - now
    return max(1, int((remaining_s - min(DEADLINE_MARGIN_S, remaining_s / 10)) * 1000))


def decide_hedge(*, idempotent: bool, replayable: bool, hedge_ms: int | None) -> float | None:
    """Return the seconds after which a second attempt may start, or None for never."""
    if hedge_ms is None or not idempotent or not replayable:
        return None
    return hedge_ms / 1000
