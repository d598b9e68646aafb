"""Decide about retries, hedged attempts and deadlines."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

MAX_EXTRA_ATTEMPTS = 2
BUDGET_TOKENS_PER_CALL = 0.2
# The bucket starts with these tokens and refills up to them, so that a quiet service can retry
# before its calls have earned a token.
BUDGET_MIN_TOKENS = 5.0
BUDGET_MAX_TOKENS = 100.0
BUDGET_REFILL_TOKENS_PER_S = 0.5
BACKOFF_BASE_S = 0.002
BACKOFF_MAX_S = 0.05
# Cost of a retry that runs a call again. The calls that it makes are counted at the services that
# it calls, but a retry of a call that did not run is a better use of the budget: with 1.0, the load
# mesh-called-shed earns 0.882 instead of 0.886.
RERUN_COST = 3.0
# Refused callers are spread over at least this time, a few durations of typical calls.
RETRY_SPREAD_S = 0.1
# Upper bound of the time between the choice of an endpoint and the arrival at a backend server.
ARRIVAL_MARGIN_S = 1.0
# The next node gives up this much earlier than the caller's node, so that its answer arrives in
# time and the connection between the nodes stays open.
DEADLINE_MARGIN_S = 0.005
MIN_ATTEMPT_S = 0.001
# An attempt gets at least this many times the mean latency of its service.
MIN_ATTEMPT_LATENCIES = 4.0


class Outcome(StrEnum):
    """Result of one attempt of a call."""

    RESPONSE = "response"
    NOT_RUN = "not-run"
    LOST = "lost"
    TIMEOUT = "timeout"


class RetryDecision(NamedTuple):
    """Say whether to make another attempt, after which back-off, and the reason."""

    retry: bool
    delay_s: float
    reason: str


class RetryBudget(Protocol):
    """Limit the extra attempts of one service."""

    def note_call(self, *, now: float) -> None:
        """Count one call from a caller."""

    def take(self, *, now: float, cost: float = 1.0, share: float = 1.0) -> bool:
        """Spend the cost of one extra attempt; return False if too little is left.

        `share` is the part of the budget up to which attempts of this kind are made.
        """


class WindowedRetryBudget:
    """Limit extra attempts to a share of the calls in a sliding window plus `slack`.

    `slack` returns this node's part of a fixed number of extra attempts for the whole fleet. Half
    of it is granted over the first window after `started_at`, since an earlier process of the node
    may have just used it.

    >>> window = WindowedRetryBudget(ratio=0.5, window_s=10.0, slack=lambda: 1.0)
    >>> window.note_call(now=0.0)
    >>> window.note_call(now=0.0)
    >>> [window.take(now=1.0) for _ in range(3)]
    [True, True, False]
    >>> window.take(now=12.5)
    True
    """

    __slots__ = (
        "_call_times",
        "_extra_attempts",
        "_ratio",
        "_slack",
        "_spent_cost",
        "_started_at",
        "_window_s",
    )

    def __init__(
        self,
        *,
        ratio: float,
        window_s: float,
        slack: Callable[[], float],
        started_at: float = -math.inf,
    ) -> None:
        self._started_at = started_at
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._call_times: deque[float] = deque()
        self._extra_attempts: deque[tuple[float, float]] = deque()
        self._spent_cost = 0.0

    def note_call(self, *, now: float) -> None:
        """Count one call from a caller."""
        self._call_times.append(now)
        self._drop_expired(now)

    def take(self, *, now: float, cost: float = 1.0, share: float = 1.0) -> bool:
        """Spend the cost of one extra attempt, up to a share of the budget, if that is left."""
        self._drop_expired(now)
        granted = min(1.0, 0.5 + 0.5 * (now - self._started_at) / self._window_s)
        limit = self._ratio * len(self._call_times) + granted * self._slack()
        if self._spent_cost + cost > share * limit:
            return False
        self._extra_attempts.append((now, cost))
        self._spent_cost += cost
        return True

    def _drop_expired(self, now: float) -> None:
        """Drop calls and extra attempts that are older than the window."""
        while self._call_times and self._call_times[0] < now - self._window_s:
            self._call_times.popleft()
        # An attempt may reach the backend server later than it is counted here.
        limit = now - self._window_s - ARRIVAL_MARGIN_S
        while self._extra_attempts and self._extra_attempts[0][0] < limit:
            self._spent_cost -= self._extra_attempts.popleft()[1]


class TokenRetryBudget:
    """Limit the extra attempts of one service to a share of its calls, with a token bucket.

    >>> budget = TokenRetryBudget(now=0.0)
    >>> [budget.take(now=0.0) for _ in range(6)].count(True)
    5
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, *, now: float) -> None:
        self._tokens = BUDGET_MIN_TOKENS
        self._refilled_at = now

    def note_call(self, *, now: float = 0.0) -> None:
        """Add a share of a token for one call from a caller."""
        if self._tokens < BUDGET_MAX_TOKENS:
            self._tokens += BUDGET_TOKENS_PER_CALL

    def allows(self, *, now: float) -> bool:
        """Tell whether there is a token for an extra attempt."""
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, *, now: float, cost: float = 1.0, share: float = 1.0) -> bool:
        """Take one token for any extra attempt; return False without a token."""
        if not self.allows(now=now):
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed = now - self._refilled_at
        self._refilled_at = now
        if self._tokens < BUDGET_MIN_TOKENS:
            self._tokens = min(
                BUDGET_MIN_TOKENS, self._tokens + elapsed * BUDGET_REFILL_TOKENS_PER_S
            )


def compute_max_attempts(retries: int) -> int:
    """Return how many attempts a route allows in all."""
    return 1 + min(max(retries, 0), MAX_EXTRA_ATTEMPTS)


def decide_retry(
    outcome: Outcome,
    *,
    idempotent: bool,
    replayable: bool,
    attempts: int,
    max_attempts: int,
    remaining_s: float,
    has_untried_endpoint: bool,
    retry_budget: RetryBudget,
    now: float,
    rng: random.Random,
    budget_share: float = 1.0,
) -> RetryDecision:
    """Decide whether a call is tried again after an attempt.

    `attempts` counts the attempts so far, this one included. Up to `budget_share` of the retry
    budget may be used.
    """
    if outcome is Outcome.RESPONSE:
        return RetryDecision(False, 0.0, "answered")
    if outcome is not Outcome.NOT_RUN and not idempotent:
        return RetryDecision(False, 0.0, "may-have-run")
    if not replayable:
        return RetryDecision(False, 0.0, "body-streamed")
    if attempts >= max_attempts:
        return RetryDecision(False, 0.0, "attempts-exhausted")
    is_immediate = has_untried_endpoint and outcome is Outcome.NOT_RUN and attempts == 1
    delay_s = 0.0 if is_immediate else compute_backoff(attempts=attempts, rng=rng)
    if remaining_s - delay_s <= MIN_ATTEMPT_S:
        return RetryDecision(False, 0.0, "deadline")
    cost = 1.0 if outcome is Outcome.NOT_RUN else RERUN_COST
    if not retry_budget.take(now=now, cost=cost, share=budget_share):
        return RetryDecision(False, 0.0, "budget-exhausted")
    return RetryDecision(True, delay_s, outcome.value)


def compute_backoff(*, attempts: int, rng: random.Random) -> float:
    """Return the seconds to wait before an attempt, with full jitter."""
    return rng.uniform(0.0, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**attempts))


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
    *, now: float, deadline: float, idempotent: bool, attempts_left: int, mean_latency_s: float
) -> float:
    """Return the deadline of the next attempt.

    An idempotent call divides the time left among its attempts, unless its service is known to take
    longer, since giving up early would then only repeat the work.
    """
    if not idempotent or attempts_left <= 1:
        return deadline
    share_s = (deadline - now) / attempts_left
    return min(deadline, now + max(share_s, MIN_ATTEMPT_LATENCIES * mean_latency_s))


def compute_next_hop_timeout_ms(*, now: float, deadline: float) -> int:
    """Return the milliseconds within which the next hop must answer, at least 1."""
    remaining_s = deadline - now
    return max(1, int((remaining_s - min(DEADLINE_MARGIN_S, remaining_s / 10)) * 1000))


def compute_hedge_delay(
    *, idempotent: bool, replayable: bool, hedge_ms: int | None
) -> float | None:
    """Return the seconds after which a second attempt may start, or None if none may."""
    if hedge_ms is None or not idempotent or not replayable:
        return None
    return hedge_ms / 1000


def spread_retry_after(*, wait_s: float, remaining_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should retry.

    They are at most a third of its remaining time, and random, so that callers which were refused
    together do not retry together.
    """
    limit_s = max(0.0, remaining_s) / 3
    earliest_s = min(wait_s, limit_s)
    return rng.uniform(earliest_s / 2, min(limit_s, max(earliest_s * 1.5, RETRY_SPREAD_S)))
