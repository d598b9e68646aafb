"""Measure the cost of the control plane on each node, and of a mass restart on the platform."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from .deployments import DeploymentDescription
from .measure_convergence import CONTROL_BYTES, list_roots, restart_vms
from .rig import Rig
from .sections import RunningFleet, Section, format_spread, scale_plan, start_fleet, sum_metric
from .usage import Usage, compute_cpu_percent, read_usage

_IDLE_S = 10.0
_CHANGES = 5
_WAIT_UNTIL_QUIET_S = 2.0
_SMALL_FLEET = 12


class IdleCost(NamedTuple):
    """Hold the resources that nodes use while nothing changes, by VM."""

    cpu_percent: Mapping[str, float]
    rss_mb: Mapping[str, float]
    bytes_per_s: Mapping[str, float]


async def measure_idle_cost(rig: Rig) -> IdleCost:
    """Measure a fleet in which nothing changes and which handles no calls."""
    vms = [vm for vm in rig.nodes if rig.get_node(vm).running]
    bytes_before = await sum_metric(rig, CONTROL_BYTES)
    before = {vm: read_usage(rig.get_node(vm).pid) for vm in vms}
    await asyncio.sleep(_IDLE_S)
    after = {vm: read_usage(rig.get_node(vm).pid) for vm in vms}
    bytes_after = await sum_metric(rig, CONTROL_BYTES)
    return IdleCost(
        {vm: compute_cpu_percent(before[vm], after[vm]) for vm in vms},
        {vm: after[vm].rss_mb for vm in vms},
        {
            vm: (bytes_after[vm] - bytes_before[vm]) / _compute_span_s(before[vm], after[vm])
            for vm in vms
        },
    )


async def measure_bytes_per_change(fleet: RunningFleet, idle_cost: IdleCost) -> dict[str, float]:
    """Return for each node the control bytes of one change, without those of an idle fleet."""
    rig = fleet.rig
    before = await sum_metric(rig, CONTROL_BYTES)
    started = time.monotonic()
    for _ in range(_CHANGES):
        await fleet.change_without_waiting()
        # Longer than every gather time in use, so that no message carries two changes.
        await asyncio.sleep(1.0)
    await asyncio.sleep(_WAIT_UNTIL_QUIET_S)
    seconds = time.monotonic() - started
    after = await sum_metric(rig, CONTROL_BYTES)
    return {
        vm: (after[vm] - before[vm] - idle_cost.bytes_per_s[vm] * seconds) / _CHANGES
        for vm in after
    }


def format_cost(
    nodes: int, idle_cost: IdleCost, per_change: Mapping[str, float], roots: set[str]
) -> list:
    """Return the rows of the cost table: leaves and inner nodes, then roots."""
    rows = []
    for name, vms in (
        ("leaf and inner nodes", set(idle_cost.rss_mb) - roots),
        ("zone roots", set(idle_cost.rss_mb) & roots),
    ):
        rows.append(
            [
                nodes,
                f"{len(vms)} {name}",
                format_spread([idle_cost.bytes_per_s[vm] for vm in vms], digits=0),
                format_spread([per_change[vm] for vm in vms if vm in per_change], digits=0),
                format_spread([idle_cost.cpu_percent[vm] for vm in vms]),
                format_spread([idle_cost.rss_mb[vm] for vm in vms], digits=1),
            ]
        )
    return rows


async def measure_control_share(deployment: DeploymentDescription, configuration: Path) -> Section:
    """Compare nodes with and without their control plane."""
    costs = {}
    for enabled in (True, False):
        plan = scale_plan(deployment, _SMALL_FLEET, control_enabled=enabled)
        if enabled:
            async with start_fleet(plan, configuration) as fleet:
                costs[enabled] = await measure_idle_cost(fleet.rig)
        else:
            async with Rig(plan=plan) as rig:
                await rig.start()
                costs[enabled] = await measure_idle_cost(rig)
    rows = [
        [
            "on" if enabled else "off",
            format_spread(list(cost.rss_mb.values()), digits=1),
            format_spread(list(cost.cpu_percent.values())),
        ]
        for enabled, cost in costs.items()
    ]
    return Section(
        f"Control plane on and off, {_SMALL_FLEET} idle nodes, {_IDLE_S:g} s",
        ["control", "RSS MB", "CPU %"],
        rows,
        {
            "control_rss_mb": _compute_median_difference(costs[True].rss_mb, costs[False].rss_mb),
            "control_cpu_percent": _compute_median_difference(
                costs[True].cpu_percent, costs[False].cpu_percent
            ),
        },
    )


async def measure_mass_restart(fleet: RunningFleet) -> Section:
    """Kill a third of the nodes, change the configuration and restart them all at once."""
    rig = fleet.rig
    running = [vm for vm in rig.nodes if rig.get_node(vm).running]
    killed = running[::3]
    for vm in killed:
        rig.kill_vm(vm)
    await fleet.change_without_waiting()
    before = _sum_calls(await rig.fetch_platform_counts())
    at = time.time()
    seconds = await restart_vms(rig, killed)
    calls = _sum_calls(await rig.fetch_platform_counts()) - before
    joined = await rig.wait_events("joined", set(killed) - list_roots(rig), after=at)
    times = sorted(event.at for event in joined.values())
    span = times[-1] - times[0]
    started = await rig.wait_events("node-started", killed, after=at)
    last_start = max(event.at for event in started.values()) - at
    return Section(
        "A third of the nodes killed and restarted at once",
        ["nodes", "restarted", "joins/s", "platform calls/s", "all started s", "all current s"],
        [
            [
                len(running),
                len(killed),
                f"{len(times) / span:.1f}",
                f"{calls / seconds:.1f}",
                f"{last_start:.1f}",
                f"{seconds:.1f}",
            ]
        ],
    )


def compute_median(values: Mapping[str, float], vms: set[str]) -> float:
    """Return the median over some VMs."""
    return statistics.median(value for vm, value in values.items() if vm in vms)


def _compute_median_difference(first: Mapping[str, float], second: Mapping[str, float]) -> float:
    return statistics.median(first.values()) - statistics.median(second.values())


def _sum_calls(counts: dict[str, Any]) -> float:
    return float(sum(counts["calls"].values()))


def _compute_span_s(before: Usage, after: Usage) -> float:
    return after.at - before.at
