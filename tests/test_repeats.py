"""Check which repeats are made when a retry budget is short, and that the budget is kept."""

from __future__ import annotations

from pathlib import Path

import logbook
import pytest

from builders import build_repeat_headers, build_urgency_profile
from ibiswick._internal.calls.heads import read_request_head
from ibiswick._internal.calls.repeats import MAX_SHARE, RepeatCause
from ibiswick._internal.calls.retries import WindowedRetryBudget
from ibiswick._internal.model.experiments import summarize
from ibiswick._internal.model.fleet import run_load
from ibiswick._internal.model.loads import read_load
from ibiswick._internal.shared.repeats import ENDED_RUN_KEPT_S, RepeatedRuns

logbook.NullHandler().push_application()

LOADS = Path(__file__).parent.parent / "deployments" / "loads"


@pytest.mark.parametrize("seed", [1, 2])
def test_extra_arrivals_stay_within_the_budget_while_a_called_service_sheds(seed: int) -> None:
    """Guard against uncounted calls of repeated runs (load mesh-called-shed).

    The service sheds 0.55 of its calls for 8.5 s. When the calls of repeated runs count as first
    arrivals, the extra arrivals of a window reach 1.24 times the budget.
    """
    load = read_load(LOADS / "mesh-called-shed.json")
    summary = summarize(load, run_load(load, seed=seed))
    # Less than a half would mean that the budget is not used.
    assert 0.5 < summary.budget_use <= 1.0


def test_a_full_budget_leaves_room_for_more_urgent_calls() -> None:
    """Guard against retries of unimportant calls that use the budget up first."""
    profile = build_urgency_profile({0: 50, 1: 50})
    budget = WindowedRetryBudget(ratio=0.0, window_s=10.0, slack=lambda: 100.0)

    def take_all(priority: int) -> int:
        share = profile.compute_budget_share(RepeatCause.RETRY, priority)
        return [budget.take(now=0.0, share=share) for _ in range(200)].count(True)

    assert take_all(1) < 80
    assert take_all(0) >= 10


def test_calls_of_one_kind_reserve_nothing() -> None:
    """Guard against a part of the budget that is kept for calls which never come."""
    profile = build_urgency_profile({3: 100})
    assert profile.compute_budget_share(RepeatCause.RETRY, 3) == MAX_SHARE


def test_calls_of_running_calls_may_use_more_of_the_budget() -> None:
    """Guard against runs that are lost because retries of callers' calls used the budget up."""
    profile = build_urgency_profile({1: 100}, nested=60)
    retry = profile.compute_budget_share(RepeatCause.RETRY, 1)
    nested = profile.compute_budget_share(RepeatCause.NESTED, 1)
    inherited = profile.compute_budget_share(RepeatCause.INHERITED, 1)
    assert max(retry, inherited) < nested <= MAX_SHARE


def test_a_run_counts_as_repeated_until_its_last_calls_have_been_made() -> None:
    """Guard against uncounted calls of a run that overlaps another of its id or was given up."""
    runs = RepeatedRuns()
    runs.begin(b"7")
    runs.begin(b"7")
    runs.end(b"7", now=1.0)
    assert runs.contains(b"7", now=100.0)
    runs.end(b"7", now=100.0)
    assert runs.contains(b"7", now=100.0 + ENDED_RUN_KEPT_S)
    assert not runs.contains(b"7", now=100.1 + ENDED_RUN_KEPT_S)


def test_only_a_node_marks_a_call_as_a_repeat() -> None:
    """Guard against callers that fill the retry budget of a service with a header."""
    headers = build_repeat_headers()
    assert read_request_head(headers, from_node=True).is_repeat
    head = read_request_head(headers)
    assert not head.is_repeat
    assert b"ibiswick-repeat" not in head.forwarded_headers


def test_a_restarted_node_has_half_of_its_slack_at_first() -> None:
    """Guard against a fleet that spends its whole slack anew after every restart."""
    budget = WindowedRetryBudget(ratio=0.0, window_s=10.0, slack=lambda: 4.0, started_at=100.0)
    assert [budget.take(now=100.0) for _ in range(3)] == [True, True, False]
    assert [budget.take(now=105.0) for _ in range(2)] == [True, False]
    assert [budget.take(now=110.0) for _ in range(2)] == [True, False]
