"""Answer a load in which one tenant sends seven times its usual calls, within its limit."""

from __future__ import annotations

import pytest

from queue_loads import CAPACITY, Flow, run_load

# All tenants together use so much of the capacity before the surge.
USUAL_SHARE = 0.9
FACTOR = 7
# Arrivals and durations are random, so two runs never serve exactly the same calls. One call in a
# hundred on the mean of all seeds counts as nothing.
TOLERANCE = 0.01


def build_equal_tenants() -> list[Flow]:
    """Build ten tenants with equal limits."""
    return [Flow(f"t{number}", USUAL_SHARE * CAPACITY / 10, 40.0) for number in range(10)]


def build_large_tenant() -> list[Flow]:
    """Build a tenant with three tenths of the load and the limits, and forty small ones."""
    large = Flow("large", 0.3 * USUAL_SHARE * CAPACITY, 449.0)
    small_rate, small_weight = 0.7 * USUAL_SHARE * CAPACITY / 40, 449.0 * 7 / 3 / 40
    return [large, *(Flow(f"t{number}", small_rate, small_weight) for number in range(40))]


@pytest.mark.parametrize("flows", [build_equal_tenants(), build_large_tenant()])
@pytest.mark.parametrize("starts_at", [0.1, 20.0])
def test_a_surge_costs_the_others_nothing_they_would_have_had(
    flows: list[Flow], starts_at: float
) -> None:
    """Guard against a tenant whose calls take the slots that the others need."""
    usual, *others = flows
    surge = usual._replace(rate=(FACTOR - 1) * usual.rate, starts_at=starts_at)
    lost = []
    for seed in range(6):
        calm, stormy = run_load(flows, seed=seed), run_load([*flows, surge], seed=seed)
        lost.append(calm.compute_share(*others) - stormy.compute_share(*others))
        # The surge gets what the others leave.
        assert stormy.served.total() >= 0.95 * (60.0 - starts_at) * CAPACITY
    assert sum(lost) / len(lost) <= TOLERANCE


def test_without_tenants_the_same_surge_takes_the_slots_of_the_others() -> None:
    """Guard against a load that would pass the test above whatever the queue does."""
    flows = [flow._replace(tenant="", route=flow.tenant) for flow in build_equal_tenants()]
    surge = flows[0]._replace(rate=(FACTOR - 1) * flows[0].rate, starts_at=20.0)
    calm, stormy = run_load(flows), run_load([*flows, surge])
    assert stormy.compute_share(*flows[1:]) < calm.compute_share(*flows[1:]) - 10 * TOLERANCE


def test_a_backlog_is_served_in_proportion_to_the_limits() -> None:
    """Guard against shares that follow the demand rather than the limits."""
    flows = [Flow("a", 2 * CAPACITY, 30.0), Flow("b", 2 * CAPACITY, 10.0)]
    outcomes = run_load(flows)
    ratio = outcomes.served[flows[0]] / outcomes.served[flows[1]]
    assert ratio == pytest.approx(3.0, rel=0.1)
