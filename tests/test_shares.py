"""Check the order of calls by the shares of their tenants."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from direct_network import DirectMesh
from ibiswick._internal.calls.admission import (
    SHARES_IDLE_S,
    Admitted,
    Queued,
    Refused,
    SlotQueue,
    SlotRequest,
)
from ibiswick._internal.tenants.shares import (
    FLOOR_INTERVAL_S,
    MEMORY_S,
    FairClock,
    ShareFloor,
)
from platform_documents import build_tenant_entry
from queue_traces import build_trace_digest
from test_tenants import KEY, run_mesh

# Digests of the decisions at e4e549c, before the order by shares, under the same random loads.
EARLIER_DECISIONS = {
    0: "5fb303ccc075442d",
    1: "bcdceb77bffcb700",
    2: "7c3648bee3ab875e",
    3: "65248e55492481cd",
    4: "668c880fd5a9275b",
    5: "d3a46f945f1a0298",
}


@pytest.mark.parametrize("seed", EARLIER_DECISIONS)
def test_without_tenants_every_decision_is_as_before(seed: int) -> None:
    """Guard against a changed order, wait or refusal in deployments without tenants."""
    assert build_trace_digest(seed) == EARLIER_DECISIONS[seed]
    assert build_trace_digest(seed, ("a", "b")) != EARLIER_DECISIONS[seed]


def test_the_order_by_shares_ends_after_the_last_call_with_a_tenant() -> None:
    """Guard against floors that stay in force when tenants are removed."""
    queue = SlotQueue(slots=1, queue_s=None)
    queue.offer(now=0.0, slot_request=SlotRequest(tenant="a"))
    queue.offer(now=0.0, slot_request=SlotRequest(tenant="a"))
    later = SHARES_IDLE_S
    assert isinstance(queue.offer(now=later, slot_request=SlotRequest(priority=0)), Queued)
    assert queue._waiting[0].order == (0, 0.0)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from((1.0, 2.0, 8.0)), st.booleans())))
def test_waiting_calls_are_ordered_and_charges_are_returned(
    steps: list[tuple[str, float, bool]],
) -> None:
    """Guard against a tenant that pays for calls that got no slot, and against lost calls."""
    queue = SlotQueue(slots=2, queue_s=None)
    waiting: Counter[int] = Counter()
    for tenant, weight, ends in steps:
        if ends and queue.busy:
            waiting.subtract(queue.release(now=0.0))
            continue
        request = SlotRequest(tenant=tenant, tenant_weight=weight)
        decision = queue.offer(now=0.0, slot_request=request)
        if isinstance(decision, Queued):
            waiting[decision.ticket] += 1
            if decision.displaced is not None:
                waiting[decision.displaced] -= 1
        orders = [item.order for item in queue._waiting]
        assert orders == sorted(orders)
        assert set(+waiting) == {item.ticket for item in queue._waiting}
    before = dict(queue._clock._ends)
    for item in list(queue._waiting):
        queue.withdraw(item.ticket)
        before[item.slot_request.tenant] -= item.virtual_length
    assert queue._clock._ends == pytest.approx(before)


def test_only_calls_that_go_first_count_as_ahead() -> None:
    """Guard against the refusal of a call because of the backlog of another tenant."""
    queue = SlotQueue(slots=2, queue_s=None)
    backlog = [
        queue.offer(now=0.0, slot_request=SlotRequest(tenant="large", tenant_weight=2.0))
        for _ in range(6)
    ]
    assert [type(decision) for decision in backlog] == [Admitted] * 2 + [Queued] * 4
    request = SlotRequest(tenant="small", max_slot_wait_s=0.015)
    assert queue.find_refusal(now=0.0, slot_request=request) is None
    displacing = queue.offer(now=0.0, slot_request=request)
    assert isinstance(displacing, Queued)
    assert displacing.displaced == backlog[-1].ticket
    late = queue.offer(now=0.0, slot_request=SlotRequest(tenant="large", max_slot_wait_s=0.015))
    assert isinstance(late, Refused)


def test_memory_is_bounded_by_the_tenants_with_recent_calls() -> None:
    """Guard against a clock or floor that keeps every tenant it has ever seen."""
    clock, floor = FairClock(), ShareFloor()
    for number in range(5000):
        now = number * MEMORY_S / 10
        clock.charge(f"t{number}", 1.0, now=now)
        clock.advance(f"t{number}", 1.0, 1.0, now=now)
        floor.note([f"t{number}"], served=True, now=now)
    assert len(clock._ends) <= 100
    assert len(clock._weights) + len(clock._weights_before) <= 22
    assert len(floor._present) + len(floor._before) <= 4 * FLOOR_INTERVAL_S / (MEMORY_S / 10) + 4


def test_priority_and_weight_of_a_tenant_reach_the_queue_and_nested_calls_keep_them() -> None:
    """Guard against nested calls that fall behind because they have no credential."""
    requests: list[SlotRequest] = []
    rival = build_tenant_entry("rival", "rival-key")
    entries = [build_tenant_entry("acme", KEY, priority=0, rate_per_s=70), rival]

    async def scenario(mesh: DirectMesh) -> None:
        for node in mesh.nodes:
            offer = node._inbound.queue.offer

            def record(_offer: Any = offer, **options: Any) -> Any:
                requests.append(options["slot_request"])
                return _offer(**options)

            node._inbound.queue.offer = record  # type: ignore[method-assign]
        headers = f"X-Api-Key: {KEY}\r\nIbiswick-Tenant-Weight: 9\r\n"
        await mesh.call(0, "/read/1/ok", "a1", headers=headers)
        await mesh.call(0, "/read/1/ok", "a2", headers="X-Api-Key: rival-key\r\n")
        mesh.nodes[0].board.running_call_priorities[b"a3"] = 0
        await mesh.call(0, "/read/1/ok", "a3.1", headers="X-Api-Key: rival-key\r\n")

    run_mesh(scenario, tenants=entries)
    found = [(request.tenant, request.priority, request.tenant_weight) for request in requests]
    assert found == [("acme", 0, 70.0), ("rival", 2, 70.0), ("rival", 0, 70.0)]
