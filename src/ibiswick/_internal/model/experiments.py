"""Run a load with several seeds and compare variants of the decision constants."""

from __future__ import annotations

import importlib
import random
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any, NamedTuple

from ..shared.errors import Problem, SettingsError
from .bounds import find_bound
from .budgets import find_budget_use
from .fleet import RunResult, run_load
from .loads import Load

WINDOW_S = 2.0
PACKAGE = "ibiswick._internal."
# Number of bootstrap resamples, enough for two digits of a 95% interval.
RESAMPLES = 2000
CONFIDENCE_LEVEL = 0.95


class Window(NamedTuple):
    """Hold the calls that start in one window of a run.

    * `start_s`: start of the window, counted from the start of the load.
    * `results`: number of calls by result.
    * `credit`: earned share of the worth of the calls.
    * `bound`: upper bound of `credit`.
    """

    start_s: float
    call_count: int
    results: Counter[str]
    credit: float
    bound: float


class Summary(NamedTuple):
    """Hold the figures of one run.

    * `credit`: earned share of the worth of all calls.
    * `bound`: upper bound of `credit`.
    * `worst`: lowest credit of a window.
    * `served`: share of the calls that were answered, in time or late.
    * `crossing_mb`: megabytes sent across availability zones.
    * `returned`: number of calls that their caller sent more than once.
    * `busiest`: highest ratio, over all services, of the calls that a backend server ran to the
      mean of its service.
    * `budget_use`: highest ratio of extra arrivals at a service to those that its retry budget
      allows in a window.
    """

    credit: float
    bound: float
    worst: float
    served: float
    crossing_mb: float
    returned: int
    busiest: float
    budget_use: float


class Difference(NamedTuple):
    """Hold the means of a figure without and with the changes, and its mean difference.

    `interval_low` and `interval_high` bound the confidence interval of the difference.
    """

    name: str
    mean_without: float
    mean_with: float
    mean_difference: float
    interval_low: float
    interval_high: float


def split_into_windows(load: Load, result: RunResult) -> list[Window]:
    """Divide the calls of a run into windows by their start."""
    windows = []
    start_s = 0.0
    while start_s < load.seconds:
        end_s = min(load.seconds, start_s + WINDOW_S)
        calls = [call for call in result.calls if start_s <= call.started_s < end_s]
        call_counts = Counter(call.kind for call in calls)
        total_worth = sum(load.kinds[call.kind].worth for call in calls)
        earned_worth = sum(_get_credit(load, call.kind, call.result) for call in calls)
        windows.append(
            Window(
                start_s,
                len(calls),
                Counter(call.result for call in calls),
                earned_worth / total_worth if total_worth else 1.0,
                find_bound(load, start_s=start_s, end_s=end_s, call_counts=call_counts),
            )
        )
        start_s = end_s
    return windows


def _get_credit(load: Load, kind: str, result: str) -> float:
    described = load.kinds[kind]
    return {"in-time": described.worth, "late": described.late_worth}.get(result, 0.0)


def summarize(load: Load, result: RunResult) -> Summary:
    """Compute the figures of one run."""
    windows = split_into_windows(load, result)
    total_worth = sum(load.kinds[call.kind].worth for call in result.calls)
    earned_worth = sum(_get_credit(load, call.kind, call.result) for call in result.calls)
    answered_count = sum(call.result in ("in-time", "late") for call in result.calls)
    busiest = max(
        max(counts.values()) * len(counts) / max(1, sum(counts.values()))
        for counts in result.execution_counts.values()
    )
    total_calls = sum(window.call_count for window in windows)
    return Summary(
        earned_worth / total_worth,
        sum(window.bound * window.call_count for window in windows) / total_calls,
        min(window.credit for window in windows if window.call_count),
        answered_count / len(result.calls),
        result.crossing_bytes / 1e6,
        sum(call.times_sent > 1 for call in result.calls),
        busiest,
        find_budget_use(load, result.arrivals),
    )


@contextmanager
def override(changes: Sequence[str]) -> Iterator[None]:
    """Replace constants for a while, each given as `module.NAME=VALUE`; raise SettingsError."""
    replaced: list[tuple[Any, str, Any]] = []
    try:
        for change in changes:
            path, _, text = change.partition("=")
            module_name, _, name = path.rpartition(".")
            try:
                module = importlib.import_module(PACKAGE + module_name)
                before = getattr(module, name)
                value = type(before)(float(text))
            except (ImportError, AttributeError, TypeError, ValueError) as error:
                problem = Problem("--set", change, "module.NAME=NUMBER", str(error))
                raise SettingsError([problem]) from error
            replaced.append((module, name, before))
            setattr(module, name, value)
        yield
    finally:
        for module, name, before in reversed(replaced):
            setattr(module, name, before)


def compare(load: Load, *, changes: Sequence[str], seeds: Sequence[int]) -> list[Difference]:
    """Run a load without and with changed constants, each with the same seeds."""
    base = [summarize(load, run_load(load, seed=seed)) for seed in seeds]
    with override(changes):
        other = [summarize(load, run_load(load, seed=seed)) for seed in seeds]
    found = []
    for index, name in enumerate(Summary._fields):
        pairs = [(float(a[index]), float(b[index])) for a, b in zip(base, other, strict=True)]
        differences = [b - a for a, b in pairs]
        low, high = find_interval(differences)
        mean_base = sum(a for a, _ in pairs) / len(pairs)
        mean_other = sum(b for _, b in pairs) / len(pairs)
        found.append(Difference(name, mean_base, mean_other, mean_other - mean_base, low, high))
    return found


def find_interval(values: Sequence[float]) -> tuple[float, float]:
    """Return the bootstrap interval of the mean; the same values give the same interval.

    >>> find_interval([1.0, 1.0, 1.0])
    (1.0, 1.0)
    """
    rng = random.Random(len(values))
    means = sorted(sum(rng.choices(values, k=len(values))) / len(values) for _ in range(RESAMPLES))
    tail_count = round(RESAMPLES * (1 - CONFIDENCE_LEVEL) / 2)
    return means[tail_count], means[-tail_count - 1]
