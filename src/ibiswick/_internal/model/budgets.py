"""Measure how much of the retry budgets of a fleet a run has used."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from typing import NamedTuple

from .loads import Load


class Arrival(NamedTuple):
    """Hold one arrival at a backend server, in seconds from the start of the load.

    `is_extra` is True for an arrival beyond the first one of its call, and for all arrivals of
    calls that a repeated run makes.
    """

    at_s: float
    service: str
    is_extra: bool


def find_budget_use(load: Load, arrivals: Iterable[Arrival]) -> float:
    """Return the highest ratio of extra arrivals to those allowed, in any window at any service."""
    highest = 0.0
    windows: dict[str, deque[Arrival]] = {}
    extra_counts: Counter[str] = Counter()
    for arrival in arrivals:
        service = arrival.service
        window = windows.setdefault(service, deque())
        window.append(arrival)
        extra_counts[service] += arrival.is_extra
        while window[0].at_s < arrival.at_s - load.retry_window_s:
            extra_counts[service] -= window.popleft().is_extra
        extras = extra_counts[service]
        allowed = load.retry_ratio * (len(window) - extras) + load.retry_slack
        if allowed > 0:
            highest = max(highest, extras / allowed)
    return highest
