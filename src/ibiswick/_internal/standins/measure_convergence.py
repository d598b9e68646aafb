"""Measure how long accepted changes and endpoint changes take to reach every node."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Sequence
from pathlib import Path

from .convergence import Convergence
from .deployments import DeploymentDescription
from .documents import EditKind
from .load import find_percentile
from .oracle import Outage
from .rig import Rig
from .sections import (
    RunningFleet,
    Section,
    format_spread,
    list_delays_ms,
    scale_plan,
    start_fleet,
    sum_metric,
)

_CHANGES = 5
_GATHER_S = (0.0, 0.02, 0.1, 0.5, 2.0)
_BURST_CHANGES = 20
_BURST_GAP_S = 0.1
_WAIT_UNTIL_QUIET_S = 3.0
_PLATFORM_DELAY_S = 0.2
_WAIT_TIMEOUT_S = 30.0
_GATHER_NODES = 24

CONTROL_BYTES = "ibiswick_control_bytes_total"
HEADINGS = ["nodes", "change", "changes", "p50 ms", "p99 ms", "last node ms"]


async def measure_changes(fleet: RunningFleet) -> tuple[list[list[str | int]], list[float]]:
    """Measure parameter and template changes; return table rows and the delays in ms."""
    rows = []
    delays_ms: list[float] = []
    kinds: tuple[EditKind, ...] = ("parameter", "template")
    for kind in kinds:
        changes = await _apply_changes(fleet, kind, _CHANGES)
        rows.append(_format_changes(fleet, kind, changes))
        delays_ms += list_delays_ms(changes)
    return rows, delays_ms


async def measure_disturbances(fleet: RunningFleet) -> list[list[str | int]]:
    """Measure changes with a slow platform, and just after a zone root was killed."""
    rig = fleet.rig
    await rig.set_platform_faults({"slow_s": _PLATFORM_DELAY_S})
    slow = await _apply_changes(fleet, "parameter", 3)
    await rig.set_platform_faults({"slow_s": 0.0})
    root = find_first_root(rig)
    rig.kill_vm(root)
    killed = await _apply_changes(fleet, "parameter", 1)
    later = await _apply_changes(fleet, "parameter", 3)
    await restart_vms(rig, [root])
    return [
        _format_changes(fleet, f"parameter, platform {_PLATFORM_DELAY_S:g} s slow", slow),
        _format_changes(fleet, "parameter, zone root killed just before", killed),
        _format_changes(fleet, "parameter, the next ones after that", later),
    ]


async def measure_endpoint_changes(fleet: RunningFleet) -> list[list[str | int]]:
    """Measure the time until every node knows that one endpoint left, and that one was killed."""
    rig = fleet.rig
    roots = list_roots(rig)
    service = rig.plan.services[0]
    non_roots = [
        vm for vm, node in rig.nodes.items() if node.service is service and vm not in roots
    ]
    leaving, killed = non_roots[:2]
    at = time.time()
    await rig.run_ctl("drain", leaving)
    announced = (await rig.wait_events("leaving-announced", [leaving], after=at))[leaving].at
    rig.outages.append(Outage(leaving, announced, math.inf))
    leave_delays_ms = await _list_endpoint_delays_ms(rig, {leaving}, announced)
    at = time.time()
    rig.kill_vm(killed)
    kill_delays_ms = await _list_endpoint_delays_ms(rig, {leaving, killed}, at)
    return [
        _format_delays(fleet, "one endpoint leaves", [leave_delays_ms]),
        _format_delays(fleet, "one endpoint is killed, 3 s grace included", [kill_delays_ms]),
    ]


async def measure_gather(deployment: DeploymentDescription, configuration: Path) -> Section:
    """Measure control bytes and convergence for several values of `gather_s`.

    This is the time for which a node collects changes before it forwards them.
    """
    rows = []
    verdicts = []
    for gather_s in _GATHER_S:
        plan = scale_plan(deployment, _GATHER_NODES, gather_s=gather_s)
        async with start_fleet(plan, configuration) as fleet:
            await asyncio.sleep(_WAIT_UNTIL_QUIET_S)
            before = await sum_metric(fleet.rig, CONTROL_BYTES)
            first = len(await fleet.list_convergence())
            started = time.monotonic()
            for _ in range(_BURST_CHANGES):
                await fleet.change_without_waiting()
                await asyncio.sleep(_BURST_GAP_S)
            await asyncio.sleep(_WAIT_UNTIL_QUIET_S + gather_s)
            seconds = time.monotonic() - started
            after = await sum_metric(fleet.rig, CONTROL_BYTES)
            changes = await fleet.list_convergence(skip=first)
            verdicts += await fleet.check()
        spent = [after[vm] - before[vm] for vm in after]
        delays_ms = list_delays_ms(changes)
        rows.append(
            [
                f"{gather_s:g}",
                f"{sum(spent) / len(spent) / _BURST_CHANGES:.0f}",
                f"{max(spent) / seconds:.0f}",
                f"{find_percentile(delays_ms, 50):.0f}",
                f"{find_percentile(delays_ms, 99):.0f}",
            ]
        )
    return Section(
        f"Gather time, {_GATHER_NODES} nodes, {_BURST_CHANGES} changes {_BURST_GAP_S:g} s apart "
        "(bytes include heartbeats)",
        ["gather s", "bytes/change/node", "largest bytes/s", "p50 ms", "p99 ms"],
        rows,
        verdicts=verdicts,
    )


async def restart_vms(rig: Rig, vms: Sequence[str]) -> float:
    """Restart killed nodes; return the seconds until the last one serves the newest snapshot."""
    at = time.time()
    await rig.restart_vms(vms)
    applied = await rig.wait_events("snapshot-applied", vms, after=at, timeout_s=60.0)
    for vm, event in applied.items():
        rig.end_outage(vm, event.at)
    return max(event.at for event in applied.values()) - at


def list_roots(rig: Rig) -> set[str]:
    """Return the nodes that took a zone-root lease during the run."""
    return {vm for vm, event in rig.read_node_events() if event.name == "lease-taken"}


def find_first_root(rig: Rig) -> str:
    """Return the node that took a zone-root lease first."""
    taken = [(event.at, vm) for vm, event in rig.read_node_events() if event.name == "lease-taken"]
    return min(taken)[1]


async def _apply_changes(fleet: RunningFleet, kind: EditKind, count: int) -> list[Convergence]:
    """Apply changes in turn, each once every node has applied the one before."""
    first = len(await fleet.list_convergence())
    for number in range(count):
        if kind == "parameter":
            await fleet.change_without_waiting()
        else:
            await fleet.change(kind)
        await _wait_applied(fleet, first + number)
    return await fleet.list_convergence(skip=first)


async def _wait_applied(fleet: RunningFleet, index: int) -> None:
    deadline = time.monotonic() + _WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        changes = await fleet.list_convergence(skip=index)
        if changes and not changes[-1].missing:
            return
        await asyncio.sleep(0.2)


async def _list_endpoint_delays_ms(rig: Rig, down_vms: set[str], at: float) -> list[float]:
    """Return for each node that is up the ms until its endpoints first changed after `at`."""
    up_vms = set(rig.nodes) - down_vms
    service = rig.plan.services[0].name
    found = await rig.wait_events(
        "endpoints-changed", up_vms, after=at, timeout_s=_WAIT_TIMEOUT_S, service=service
    )
    return [(event.at - at) * 1000 for event in found.values()]


def _format_changes(
    fleet: RunningFleet, kind: str, changes: Sequence[Convergence]
) -> list[str | int]:
    return _format_delays(
        fleet, kind, [[delay * 1000 for delay in change.delays_s] for change in changes]
    )


def _format_delays(
    fleet: RunningFleet, kind: str, changes: Sequence[Sequence[float]]
) -> list[str | int]:
    delays_ms = [delay for change in changes for delay in change]
    return [
        len(fleet.rig.nodes),
        kind,
        len(changes),
        f"{find_percentile(delays_ms, 50):.0f}",
        f"{find_percentile(delays_ms, 99):.0f}",
        format_spread([max(change) for change in changes if change], digits=0),
    ]
