"""Check the limit of concurrent calls that a node finds for its backend server."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from ibiswick._internal.calls.capacity import CapacityEstimator

SLOTS = 9


def run_full_server(
    slow_down: Callable[[int, float], float], *, seed: int, seconds: float = 40.0
) -> CapacityEstimator:
    """Keep a server full after two seconds of low load.

    `slow_down` gives the factor on a duration by concurrency and time. One in four calls lasts
    eight times as long as the others.
    """
    rng = random.Random(seed)
    estimator = CapacityEstimator(slots=SLOTS, rng=rng)
    # Ends of the running calls, with their starts, routes and concurrency.
    running: list[tuple[float, float, str, int]] = []
    now = 0.0
    while now < seconds:
        wanted = estimator.limit if now > 2.0 else 2
        while len(running) < wanted:
            route = "long" if rng.random() < 0.25 else "short"
            base_s = 0.08 if route == "long" else 0.01
            factor = rng.lognormvariate(-0.18, 0.6) * slow_down(len(running) + 1, now)
            concurrency = len(running) + 1
            heapq.heappush(running, (now + base_s * factor, now, route, concurrency))
        now, began, route, concurrency = heapq.heappop(running)
        estimator.note_call(
            now=now,
            route_id=route,
            duration_s=now - began,
            concurrency=concurrency,
            is_saturated=wanted > 2 or estimator.limit <= 2,
        )
    return estimator


@pytest.mark.parametrize("seed", range(4))
def test_a_server_that_crowds_gets_a_lower_limit(seed: int) -> None:
    """Guard against a server that does less and less as more calls run (load crowded).

    Its durations grow with the square of the concurrency above a third of its slots.
    """
    estimator = run_full_server(lambda running, now: max(1.0, running / 3) ** 2, seed=seed)
    assert 1 <= estimator.chosen <= 5


@pytest.mark.parametrize("seed", range(4))
def test_a_server_that_gains_from_concurrency_keeps_its_slots(seed: int) -> None:
    """Guard against a wrong limit learnt from heavy tails, a cold start or slow moments.

    At a lower limit, a full server did two thirds of its work (load full).
    """

    def slow_down(running: int, now: float) -> float:
        if now < 3.0:
            return 2.0
        return 8.0 if 12.0 < now < 15.0 else 2.5 if now % 5.0 < 0.5 else 1.0

    assert run_full_server(slow_down, seed=seed).chosen == SLOTS


@pytest.mark.parametrize("seed", range(4))
def test_the_limit_follows_a_server_that_recovers(seed: int) -> None:
    """Guard against a limit that stays low after its cause has gone."""

    def slow_down(running: int, now: float) -> float:
        return max(1.0, running / 3) ** 2 if now < 40.0 else 1.0

    assert run_full_server(slow_down, seed=seed, seconds=100.0).chosen == SLOTS


def test_another_backend_server_begins_with_its_announced_slots() -> None:
    """Guard against a limit that was learnt from an earlier backend server."""
    estimator = run_full_server(lambda running, now: max(1.0, running / 3) ** 2, seed=1)
    estimator.reset(slots=4)
    assert estimator.limit == estimator.chosen == 4
