"""Build random schedules of failures for nodes that enforce limits."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import strategies as st

from ibiswick._internal.tenants.limits import Limit
from limit_network import LimitNetwork

NODES = 6
JOINING = 2
DURATION_S = 8.0
# How long nodes may disagree about the members and the configuration.
SPREAD_S = 1.0
LIMITS = {"large": Limit(60, 60), "small": Limit(5, 5), "bursty": Limit(20, 40)}


class Action(NamedTuple):
    """Describe one event of a schedule."""

    at: float
    kind: str
    index: int
    size: float


class Schedule(NamedTuple):
    """Describe a run: the faults of the network and the events."""

    seed: int
    loss: float
    copies: float
    jitter_s: float
    actions: list[Action]


ACTION_KINDS = ("kill", "restart", "pause", "isolate", "heal", "leave", "join", "drain", "view")


def build_schedules() -> st.SearchStrategy[Schedule]:
    """Build schedules."""
    actions = st.builds(
        Action,
        at=st.floats(0.0, DURATION_S - 1.0),
        kind=st.sampled_from(ACTION_KINDS),
        index=st.integers(0, NODES - 1),
        size=st.floats(0.05, 2.5),
    )
    return st.builds(
        Schedule,
        seed=st.integers(0, 2**32),
        loss=st.sampled_from((0.0, 0.1, 0.4)),
        copies=st.sampled_from((0.0, 0.3)),
        jitter_s=st.sampled_from((0.0, 0.05, 0.5, 3.0)),
        actions=st.lists(actions, max_size=10),
    )


def build_network(schedule: Schedule, *, any_views: bool = False) -> LimitNetwork:
    """Build a network that will follow a schedule under several times the permitted load.

    With `any_views`, nodes may keep wrong views of the members for good.
    """
    network = LimitNetwork([f"vm-{index}" for index in range(NODES)], LIMITS, seed=schedule.seed)
    network.loss, network.copies = schedule.loss, schedule.copies
    network.jitter_s = schedule.jitter_s
    isolated: set[str] = set()
    network.cut = lambda sender, receiver: (sender in isolated) != (receiver in isolated)
    for action in schedule.actions:
        if action.kind != "view" or any_views:
            network.at(action.at, lambda action=action: _apply(network, action, isolated))
    for tenant, limit in LIMITS.items():
        at = 0.0
        while at < DURATION_S:
            at += network.rng.expovariate(limit.rate * 3)
            network.at(at, lambda tenant=tenant: _call(network, tenant))
    return network


def _call(network: LimitNetwork, tenant: str) -> None:
    vm = network.rng.choice(list(network.machines))
    if network.machines[vm].node is not None:
        network.call(vm, tenant, does_run=network.rng.random() < 0.9)


def _apply(network: LimitNetwork, action: Action, isolated: set[str]) -> None:
    vm = f"vm-{action.index}"
    if action.kind == "kill":
        network.kill(vm)
    elif action.kind == "restart":
        network.kill(vm)
        network.start(vm)
    elif action.kind == "pause":
        network.pause(vm, action.size)
    elif action.kind == "isolate":
        isolated.add(vm)
    elif action.kind == "heal":
        isolated.clear()
    elif action.kind == "leave":
        network.kill(vm)
        _spread_members(network, set(network.machines) - {vm})
    elif action.kind == "join":
        _join(network)
    elif action.kind == "drain":
        node = network.machines[vm].node
        if node is not None:
            node.book.leaving = True
    else:
        known = network.rng.sample(list(network.machines), max(1, int(action.size * 3)) % NODES + 1)
        network.set_view(vm, known)


def _join(network: LimitNetwork) -> None:
    """Start new nodes at once, a quarter or more of the others; these hear of it later."""
    if len(network.machines) > NODES:
        return
    joining = [f"new-{index}" for index in range(JOINING)]
    for vm in joining:
        network.add(vm)
    for vm in joining:
        network.set_view(vm, network.machines)
    _spread_members(network, set(network.machines))


def _spread_members(network: LimitNetwork, members: set[str]) -> None:
    for vm in network.machines:
        later = network.now + network.rng.uniform(0, SPREAD_S)
        network.at(later, lambda vm=vm: network.set_view(vm, members))


def change_limits(network: LimitNetwork, limits: dict[str, Limit]) -> None:
    """Change the limits; each node applies them at a time of its own."""
    network.limits = limits
    network.generation += 1
    for vm in network.machines:
        later = network.now + network.rng.uniform(0, SPREAD_S)
        network.at(later, lambda vm=vm: network.configure(vm))
