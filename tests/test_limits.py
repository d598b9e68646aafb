"""Test that limits hold over all nodes, and that calls below them are admitted."""

from __future__ import annotations

import pytest
from hypothesis import given, settings

from ibiswick._internal.tenants import limits as decisions
from ibiswick._internal.tenants.limits import Limit
from limit_network import LimitNetwork
from limit_scenarios import (
    DURATION_S,
    LIMITS,
    Action,
    Schedule,
    build_network,
    build_schedules,
    change_limits,
)

STEP_S = 0.02


def run_checked(network: LimitNetwork, until: float = DURATION_S) -> None:
    """Run a network; fail when a right is used by two nodes at once."""
    while network.now < until:
        network.run_until(network.now + STEP_S)
        assert not network.find_double_use(), f"at {network.now:.2f} s"


@settings(max_examples=25)
@given(schedule=build_schedules())
def test_no_right_is_used_twice(schedule: Schedule) -> None:
    """Guards against rights that two nodes use at once, whatever each knows of the members."""
    run_checked(build_network(schedule, any_views=True))


@settings(max_examples=25)
@given(schedule=build_schedules())
def test_no_window_holds_too_many_calls(schedule: Schedule) -> None:
    """Guards against more calls than permitted in any 5 s while nodes fail, join and leave."""
    network = build_network(schedule)
    network.run_until(DURATION_S)
    for tenant, limit in LIMITS.items():
        assert network.find_excess(tenant, limit) <= 0, tenant


@settings(max_examples=8)
@given(schedule=build_schedules())
def test_lowered_limit_is_binding(schedule: Schedule) -> None:
    """Guards against tokens of the former limit that are used after a limit is lowered."""
    network = build_network(schedule)
    lowered = {tenant: Limit(limit.rate / 5, limit.burst / 5) for tenant, limit in LIMITS.items()}
    network.at(3.0, lambda: change_limits(network, lowered))
    network.run_until(DURATION_S)
    for tenant, limit in lowered.items():
        assert network.find_excess(tenant, limit, since=5.5) <= 0, tenant


def test_checks_notice_loans_that_last_too_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a check of double use that can't fail."""
    monkeypatch.setattr(decisions, "LOAN_S", 5.0)
    schedule = Schedule(1, 0.0, 0.0, 0.0, [Action(4.0, "isolate", i, 1.0) for i in range(3)])
    with pytest.raises(AssertionError, match="at 4"):
        run_checked(build_network(schedule))
