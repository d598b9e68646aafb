"""Answer a load in which urgent kinds or large tenants alone could use all slots."""

from __future__ import annotations

import pytest

from queue_loads import CAPACITY, Flow, run_load

# A tenant or kind that is served a quarter as often as all calls is not starved.
FLOOR = 0.25


@pytest.mark.parametrize(
    "flows",
    [
        pytest.param(
            [
                Flow("a", 1.5 * CAPACITY, route="book", priority=1),
                Flow("b", 0.2 * CAPACITY, route="read", priority=2),
                Flow("a", 0.4 * CAPACITY, route="scan", priority=3),
            ],
            id="urgent-kind",
        ),
        pytest.param(
            [Flow("large", 1.5 * CAPACITY, 449.0), Flow("small", 0.5 * CAPACITY, 5.0)],
            id="large-limit",
        ),
        pytest.param(
            [
                Flow("urgent", 1.2 * CAPACITY, 200.0, priority=0),
                Flow("usual", 0.3 * CAPACITY, 100.0, priority=2),
                Flow("", 0.3 * CAPACITY, route="open", priority=2),
            ],
            id="urgent-tenant",
        ),
        pytest.param(
            [
                Flow("", 1.5 * CAPACITY, route="open", priority=1),
                Flow("a", 0.5 * CAPACITY, 50.0, priority=1),
            ],
            id="anonymous-flood",
        ),
    ],
)
@pytest.mark.parametrize("seed", range(3))
def test_no_tenant_and_no_kind_is_starved(flows: list[Flow], seed: int) -> None:
    """Guard against priorities and weights that leave a tenant or kind without slots."""
    outcomes = run_load(flows, seed=seed)
    for key in ("tenant", "route"):
        for value in {getattr(flow, key) for flow in flows}:
            chosen = [flow for flow in flows if getattr(flow, key) == value]
            assert outcomes.compute_share(*chosen) >= FLOOR * outcomes.compute_share(), value


def test_the_floor_leaves_the_rest_to_the_urgent_calls() -> None:
    """Guard against a floor that undoes the order by priority."""
    flows = [
        Flow("a", 1.0 * CAPACITY, route="book", priority=1),
        Flow("a", 0.5 * CAPACITY, route="scan", priority=3),
    ]
    outcomes = run_load(flows)
    assert outcomes.compute_share(flows[0]) > 2 * outcomes.compute_share(flows[1])
