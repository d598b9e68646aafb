"""Decide which arrivals are repeats, and how much of a retry budget each of them may use.

A repeat is an arrival at a service beyond the first one of a call: a further attempt after one that
reached a backend server, and every call made by a run that was itself a repeat.
"""

from __future__ import annotations

from enum import StrEnum

# Share of a retry budget up to which the most urgent repeats are made. The rest covers arrivals
# that fall into another window than the one in which they were counted, and what nodes forget when
# they are restarted: with 0.93, the model's highest use was 0.965 of what is allowed.
MAX_SHARE = 0.85
# Parts of the budget that calls leave to others: those of callers to those of running calls, whose
# work is lost without a response, and less urgent calls to more urgent ones. Each reserve is in
# proportion to the share that the others have in the calls of the service.
NESTED_RESERVE = 0.5
URGENT_RESERVE = 0.4
# Share up to which repeated runs may make calls. A run that is repeated because its calls failed
# needs all of them again, so a retry of the failed one is a better use of the budget.
INHERITED_SHARE = 0.5
# Priorities are counted up to this number of calls; older calls then count half.
MAX_COUNTED_CALLS = 512
MAX_PRIORITIES = 32


class RepeatCause(StrEnum):
    """Say why a call is sent again, or counts as sent again."""

    # A backend server rejected the call, or the call has failed.
    RETRY = "retry"
    # The same for a call made by a running call.
    NESTED = "nested"
    # The call is made by a run that was itself a repeat.
    INHERITED = "inherited"


class UrgencyProfile:
    """Know the priorities of a service's recent calls, and decide how far each may be repeated.

    A smaller priority is more urgent.

    >>> profile = UrgencyProfile()
    >>> profile.note_call(0, is_nested=False)
    >>> profile.note_call(1, is_nested=True)
    >>> shares = [profile.compute_budget_share(RepeatCause.RETRY, priority) for priority in (0, 1)]
    >>> [round(share, 2) for share in shares]
    [0.6, 0.4]
    >>> round(profile.compute_budget_share(RepeatCause.NESTED, 0), 2)
    0.85
    """

    __slots__ = ("_counts", "_nested", "_total")

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._nested = 0.0
        self._total = 0.0

    def note_call(self, priority: int, *, is_nested: bool) -> None:
        """Count one call; `is_nested` tells whether a running call makes it."""
        if priority not in self._counts and len(self._counts) >= MAX_PRIORITIES:
            return
        self._counts[priority] = self._counts.get(priority, 0.0) + 1.0
        self._nested += is_nested
        self._total += 1.0
        if self._total >= MAX_COUNTED_CALLS:
            self._counts = {number: count / 2 for number, count in self._counts.items()}
            self._nested /= 2
            self._total /= 2

    def compute_budget_share(self, cause: RepeatCause, priority: int) -> float:
        """Return the share of the retry budget up to which a call is repeated."""
        if cause is RepeatCause.INHERITED:
            return INHERITED_SHARE
        total = max(1.0, self._total)
        more_urgent = sum(count for number, count in self._counts.items() if number < priority)
        reserve = URGENT_RESERVE * more_urgent / total
        if cause is RepeatCause.RETRY:
            reserve += NESTED_RESERVE * self._nested / total
        return max(0.0, MAX_SHARE - reserve)
