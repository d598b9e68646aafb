"""Test what single failures cost the tenants with a limit, and that none exceeds it."""

from __future__ import annotations

from ibiswick._internal.tenants.limits import Limit, find_partition
from limit_network import LimitNetwork, add_calls, build_warm_network

LIMIT = Limit(100, 100)
USUAL_SHARE = 1 / 1.6
NODES = 12


def start_usual_calls(network: LimitNetwork, seconds: float, *, skip: str = "") -> None:
    """Add calls of a tenant at its usual rate, at random nodes except one."""
    count = len(network.machines)
    indices = [index for index in range(count) if f"vm-{index}" != skip]
    until = network.now + seconds
    add_calls(
        network, "acme", LIMIT.rate * USUAL_SHARE, lambda at: network.rng.choice(indices), until
    )


def find_coordinator(network: LimitNetwork) -> str:
    """Return the node that coordinates the tenant."""
    node = network.machines["vm-0"].node
    assert node is not None
    return node.ledger.get_coordinator(find_partition("acme"))


def count_refused(network: LimitNetwork) -> int:
    """Return the number of calls that were refused for any reason."""
    return network.results["acme", "refused"] + network.results["acme", "unknown"]


def run(network: LimitNetwork, seconds: float) -> None:
    """Run a network; fail when a right is used twice or the limit is exceeded."""
    until = network.now + seconds
    while network.now < until:
        network.run_until(min(until, network.now + 0.05))
        assert not network.find_double_use()
    assert network.find_excess("acme", LIMIT) <= 0


def test_killed_coordinator_is_replaced_within_a_second() -> None:
    """Guards against a tenant that stays without tokens when its coordinator is killed."""
    network = build_warm_network({"acme": LIMIT}, nodes=NODES)
    coordinator = find_coordinator(network)
    start_usual_calls(network, 5.0, skip=coordinator)
    run(network, 0.5)
    assert count_refused(network) == 0
    network.kill(coordinator)
    run(network, 1.3)
    during = count_refused(network)
    run(network, 3.2)
    print(f"refused after the kill {during}, later {count_refused(network) - during}")
    assert count_refused(network) == during
    assert during <= 1.3 * LIMIT.rate


def test_one_lost_link_costs_one_node_only() -> None:
    """Guards against a lost link between two nodes that affects the others."""
    network = build_warm_network({"acme": LIMIT}, nodes=NODES)
    coordinator = find_coordinator(network)
    other = next(vm for vm in network.machines if vm != coordinator)
    network.cut = lambda sender, receiver: {sender, receiver} == {coordinator, other}
    start_usual_calls(network, 5.0, skip=other)
    run(network, 5.0)
    assert count_refused(network) == 0


def test_both_sides_of_a_partition_share_the_limit() -> None:
    """Guards against two sides of a partition that each use the whole limit, or none of it."""
    network = build_warm_network({"acme": LIMIT}, nodes=NODES)
    network.cut = lambda sender, receiver: (int(sender[3:]) < 6) != (int(receiver[3:]) < 6)
    run(network, 3.0)
    network.admitted.clear()
    started = network.now
    for side in (0, 6):
        add_calls(
            network,
            "acme",
            LIMIT.rate * 3,
            lambda at, side=side: side + network.rng.randrange(6),
            network.now + 6.0,
        )
    run(network, 6.0)
    used = sum(at >= started + 1.0 for at, _ in network.admitted)
    assert 0.85 * LIMIT.rate * 5 <= used <= 1.1 * LIMIT.rate * 5 + LIMIT.burst


def test_restart_of_all_nodes_refuses_with_unknown_limits_for_a_second() -> None:
    """Guards against 429 while no limit is known, and against a start that takes longer."""
    network = build_warm_network({"acme": LIMIT}, nodes=NODES)
    for vm in network.machines:
        network.kill(vm)
        network.start(vm)
    start_usual_calls(network, 4.0)
    run(network, 1.0)
    assert network.results["acme", "admitted"] == network.results["acme", "refused"] == 0
    assert network.results["acme", "unknown"] > 0
    run(network, 0.3)
    before = count_refused(network)
    run(network, 2.7)
    assert count_refused(network) == before


def test_drained_coordinator_hands_over() -> None:
    """Guards against refusals when the coordinators are restarted one after another."""
    network = build_warm_network({"acme": LIMIT}, nodes=NODES)
    coordinator = find_coordinator(network)
    node = network.machines[coordinator].node
    assert node is not None
    start_usual_calls(network, 6.0, skip=coordinator)
    run(network, 0.5)
    node.book.leaving = True
    run(network, 2.6)
    network.kill(coordinator)
    run(network, 2.9)
    print(f"refused during the hand-over {count_refused(network)}")
    assert count_refused(network) == 0


def test_growth_by_a_quarter_keeps_the_limit() -> None:
    """Guards against more than the permitted tenth while nodes join and tables differ."""
    network = build_warm_network({"acme": LIMIT}, nodes=40)
    add_calls(
        network, "acme", LIMIT.rate * 4, lambda at: network.rng.randrange(40), network.now + 8.0
    )
    run(network, 1.0)
    for index in range(40, 50):
        network.add(f"vm-{index}")
    for vm in network.machines:
        members = set(network.machines)
        later = network.now + network.rng.uniform(0, 1.0)
        network.at(later, lambda vm=vm, members=members: network.set_view(vm, members))
    run(network, 7.0)
    assert network.results["acme", "admitted"] >= 0.9 * LIMIT.rate * 8


def test_node_without_a_complete_member_table_lends_nothing() -> None:
    """Guards against a share that is too large because a node knows few others yet."""
    network = build_warm_network({"acme": LIMIT}, nodes=NODES)
    network.kill("vm-3")
    network.start("vm-3")
    network.set_view("vm-3", {"vm-3"}, is_listed=False)
    run(network, 3.0)
    for machine in network.machines.values():
        assert machine.node is not None
        lenders = [vm for vm, _ in machine.node.book.list_loans(0.0)]
        assert "vm-3" not in lenders
    node = network.machines["vm-3"].node
    assert node is not None
    assert node.ledger.count_lent(network.now + network.machines["vm-3"].clock_offset_s) == 0
