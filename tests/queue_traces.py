"""Build traces of the decisions of a slot queue under a random load."""

from __future__ import annotations

import hashlib
import random

from ibiswick._internal.calls.admission import Admitted, Queued, SlotQueue, SlotRequest

ROUTES = (("book", 1, 0.4), ("read", 2, 0.3), ("scan", 3, None), ("", 0, None))


def build_trace_digest(seed: int, tenants: tuple[str, ...] = ("",)) -> str:
    """Run a random overload, and return the digest of every decision with its figures."""
    rng = random.Random(seed)
    queue = SlotQueue(slots=rng.randint(1, 6), queue_s=rng.choice((None, 0.05)))
    running: list[tuple[float, str, float]] = []
    digest = hashlib.blake2b(digest_size=8)
    now = 0.0
    for number in range(4000):
        now += rng.expovariate(60.0)
        for ends_at, route, duration_s in sorted(running):
            if ends_at <= now:
                running.remove((ends_at, route, duration_s))
                granted = queue.release(now=ends_at, duration_s=duration_s, route_id=route)
                expired = queue.expire(now=ends_at)
                digest.update(repr((granted, expired)).encode())
                for _ in granted:
                    duration_s = rng.expovariate(10.0)
                    running.append((now + duration_s, route, duration_s))
        route, priority, target_s = rng.choice(ROUTES)
        slot_request = SlotRequest(
            deadline=now + 1.0 if rng.random() < 0.8 else None,
            route_id=route,
            priority=priority,
            target=None if target_s is None else now + target_s,
            max_slot_wait_s=rng.choice((None, 0.01)),
            tenant=tenants[number % len(tenants)],
        )
        refusal = queue.find_refusal(now=now, slot_request=slot_request, receives_body=True)
        decision = queue.offer(now=now, slot_request=slot_request)
        if isinstance(decision, Admitted):
            duration_s = rng.expovariate(10.0)
            running.append((now + duration_s, route, duration_s))
        if isinstance(decision, Queued) and rng.random() < 0.1:
            digest.update(repr(queue.withdraw(decision.ticket)).encode())
        figures = (refusal, decision, queue.busy, queue.queued, queue.estimate_wait(now=now))
        digest.update(repr(figures).encode())
    return digest.hexdigest()
