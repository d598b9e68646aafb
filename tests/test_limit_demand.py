"""Test that calls below a limit are admitted wherever they arrive, and that failures are bounded.

Each test of skewed demand also computes what a fixed share of the limit for each node would admit,
which is the baseline that docs/design/limits.md names.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from typing import NamedTuple

import pytest

from ibiswick._internal.tenants.limits import Limit
from limit_network import LimitNetwork, add_calls, build_warm_network

NODES = 74
RUN_S = 8.0
# Usual demand of a tenant, as a share of its limit.
USUAL_SHARE = 1 / 1.6
# A bucket of the whole limit refuses a few calls of random demand as well.
LIMIT = Limit(100, 100)
SMALL = Limit(5, 5)


class Bucket:
    """Admit calls by one token bucket, without messages."""

    def __init__(self, limit: Limit, *, now: float) -> None:
        self._limit = limit
        self._level = limit.burst
        self._at = now

    def take(self, now: float) -> bool:
        """Take a token."""
        self._level = min(self._limit.burst, self._level + (now - self._at) * self._limit.rate)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Served(NamedTuple):
    """Count the calls that each way of limiting admits."""

    calls: int
    admitted: int
    one_bucket: int
    fixed_share: int


def serve(
    network: LimitNetwork,
    tenant: str,
    limit: Limit,
    choose: Callable[[float], int],
    *,
    share: float,
) -> Served:
    """Serve calls of one tenant, and compute what the baselines would admit."""
    started = network.now
    until = started + RUN_S
    calls = add_calls(network, tenant, limit.rate * share, choose, until)
    network.run_until(until + 1)
    whole = Bucket(limit, now=started)
    # A bucket that never holds a whole token would admit nothing.
    part = Limit(limit.rate / NODES, max(1.0, limit.burst / NODES))
    parts = [Bucket(part, now=started) for _ in range(NODES)]
    return Served(
        len(calls),
        network.results[tenant, "admitted"],
        sum(whole.take(at) for at, _ in calls),
        sum(parts[index].take(at) for at, index in calls),
    )


@pytest.mark.parametrize("kind", ["one-node", "other-node-each-second", "all-nodes"])
def test_demand_below_the_limit_is_admitted_anywhere(kind: str) -> None:
    """Guards against refusals below the limit because demand is skewed or spread thinly."""
    network = build_warm_network({"large": LIMIT, "small": SMALL})
    choices: dict[str, Callable[[float], int]] = {
        "one-node": lambda at: 3,
        "other-node-each-second": lambda at: int(at) % NODES,
        "all-nodes": lambda at: network.rng.randrange(NODES),
    }
    for tenant, limit in (("large", LIMIT), ("small", SMALL)):
        served = serve(network, tenant, limit, choices[kind], share=USUAL_SHARE)
        print(f"{kind} {limit}: {served}, waits {count_waits(network)}")
        assert served.admitted == served.one_bucket
        assert network.results[tenant, "unknown"] == 0


def count_waits(network: LimitNetwork) -> str:
    """Describe how many calls waited for a token."""
    waited = [wait_s for wait_s in network.waits if wait_s > 0]
    return f"{len(waited)} of {len(network.waits)}, longest {max(waited, default=0):.3f} s"


def test_lost_datagrams_refuse_no_call() -> None:
    """Guards against a call that is refused because the first request for its token was lost."""
    network = build_warm_network({"acme": LIMIT})
    network.loss = 0.1
    served = serve(network, "acme", LIMIT, lambda at: network.rng.randrange(NODES), share=0.3)
    # Three requests and answers are lost together for about 7 of 1,000 calls.
    assert served.calls - served.admitted <= served.calls * 0.02


def test_tenant_over_its_limit_is_refused_at_once() -> None:
    """Guards against messages for each refused call, and against less than the limit in use."""
    network = build_warm_network({"acme": LIMIT})
    served = serve(
        network, "acme", LIMIT, lambda at: network.rng.randrange(NODES), share=7 * USUAL_SHARE
    )
    print(f"seven times the usual: {served}, datagrams {sum(network.datagrams.values())}")
    assert served.admitted >= served.one_bucket * 0.97
    assert network.find_excess("acme", LIMIT) <= 0
    assert max(network.waits) < 0.01


def test_refused_callers_find_tokens_when_told() -> None:
    """Guards against a Retry-After that does not hold, or that sends all callers at once."""
    network = build_warm_network({"acme": SMALL}, nodes=10)
    for _ in range(9):
        network.call("vm-2", "acme")
    network.run_until(network.now + 0.05)
    assert network.results["acme", "admitted"] == 5
    told = sorted(network.retry_after_s)
    assert len(told) == 4
    assert all(later - earlier > 0.15 for earlier, later in pairwise(told))
    for retry_after_s in told:
        network.at(network.now + retry_after_s, lambda: network.call("vm-2", "acme"))
    network.run_until(network.now + 2.0)
    assert network.results["acme", "admitted"] == 9


def test_whole_burst_is_available_after_rest() -> None:
    """Guards against rights that accrue less than the burst of the whole fleet."""
    network = build_warm_network({"acme": LIMIT}, nodes=10)
    for index in range(200):
        network.call(f"vm-{index % 10}", "acme")
    network.run_until(network.now + 0.05)
    assert 100 <= network.results["acme", "admitted"] <= 106


def test_tokens_of_refused_calls_return() -> None:
    """Guards against tokens that calls which did not run take from others."""
    network = build_warm_network({"acme": SMALL}, nodes=3)
    for index in range(20):
        at = network.now + index * 0.06
        network.at(at, lambda: network.call("vm-0", "acme", does_run=False))
    network.run_until(network.now + 3)
    assert network.results["acme", "refused"] == 0
