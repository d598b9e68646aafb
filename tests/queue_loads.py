"""Build loads of several tenants and kinds of calls, and run them on one slot queue."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from typing import NamedTuple

from ibiswick._internal.calls.admission import Admitted, Queued, SlotQueue, SlotRequest

SLOTS = 6
DURATION_S = 0.1
# Calls that the slots can run a second.
CAPACITY = SLOTS / DURATION_S
TARGET_S = 0.4


class Flow(NamedTuple):
    """Describe the calls of one tenant to one route."""

    tenant: str
    rate: float
    weight: float = 1.0
    route: str = "read"
    priority: int = 1
    starts_at: float = 0.0


class Outcomes(NamedTuple):
    """Count the calls of each flow that were sent, and those that got a slot in time."""

    sent: Counter[Flow]
    served: Counter[Flow]

    def compute_share(self, *flows: Flow) -> float:
        """Return the served share of some flows, or of all calls without any."""
        chosen = flows or tuple(self.sent)
        served = sum(self.served[flow] for flow in chosen)
        return served / sum(self.sent[flow] for flow in chosen)


def run_load(flows: list[Flow], *, seconds: float = 60.0, seed: int = 0) -> Outcomes:
    """Send the calls of all flows to one queue; each flow has its own arrivals for a seed."""
    arrivals = []
    for flow in flows:
        # One generator for each flow, so that the load of one does not change that of another.
        rng = random.Random(f"{seed} {flow.tenant} {flow.route} {flow.starts_at}")
        at = flow.starts_at + rng.expovariate(flow.rate)
        while at < seconds:
            arrivals.append((at, len(arrivals), flow))
            at += rng.expovariate(flow.rate)
    heapq.heapify(arrivals)
    rng = random.Random(seed)
    queue = SlotQueue(slots=SLOTS, queue_s=None, length_per_slot=8)
    outcomes = Outcomes(Counter(), Counter())
    waiting: dict[int, Flow] = {}
    ends: list[tuple[float, float, Flow]] = []

    def start(flow: Flow, now: float) -> None:
        outcomes.served[flow] += 1
        duration_s = rng.uniform(0.5, 1.5) * DURATION_S
        heapq.heappush(ends, (now + duration_s, duration_s, flow))

    while arrivals:
        now, _, flow = heapq.heappop(arrivals)
        while ends and ends[0][0] <= now:
            ended_at, duration_s, ended = heapq.heappop(ends)
            for ticket in queue.release(now=ended_at, duration_s=duration_s, route_id=ended.route):
                start(waiting.pop(ticket), ended_at)
            for ticket in queue.expire(now=ended_at):
                waiting.pop(ticket)
        outcomes.sent[flow] += 1
        decision = queue.offer(
            now=now,
            slot_request=SlotRequest(
                deadline=now + 1.0,
                route_id=flow.route,
                priority=flow.priority,
                target=now + TARGET_S,
                tenant=flow.tenant,
                tenant_weight=flow.weight,
            ),
        )
        if isinstance(decision, Admitted):
            start(flow, now)
        elif isinstance(decision, Queued):
            waiting[decision.ticket] = flow
            if decision.displaced is not None:
                waiting.pop(decision.displaced)
    return outcomes
