"""Run the measurements and collect their figures."""

from __future__ import annotations

import itertools
import math
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

from .deployments import DEPLOYMENTS, DeploymentDescription
from .measure_convergence import (
    HEADINGS,
    list_roots,
    measure_changes,
    measure_disturbances,
    measure_endpoint_changes,
    measure_gather,
)
from .measure_latency import measure_latency
from .measure_nodes import (
    compute_median,
    format_cost,
    measure_bytes_per_change,
    measure_control_share,
    measure_idle_cost,
    measure_mass_restart,
)
from .measure_policy import measure_policy
from .measure_slopes import measure_costs_per_item
from .oracle import Verdict
from .rig import cancel_on_signals
from .sections import Section, list_percentiles, scale_plan, start_fleet
from .tables import format_table

# Convergence is measured at each size; disturbances, costs and the mass restart at the largest.
_FLEET_SIZES = (13, 48, 144)
_FIGURE_NAMES = (
    "added_p50_ms",
    "added_p99_ms",
    "convergence_p50_ms",
    "convergence_p99_ms",
    "control_bytes_per_node_per_s",
    "control_bytes_per_change_per_node",
    "control_cpu_percent",
    "leaf_rss_mb",
    "control_rss_mb",
    "nodes",
    "violations",
)

Measurement = Callable[[DeploymentDescription, Path], Awaitable[list[Section]]]


async def run_measurements(deployments: Path, *, only: list[str] | None) -> dict[str, float | None]:
    """Run the measurements, print each table once it is ready and return the figures."""
    cancel_on_signals()
    deployment = DEPLOYMENTS["yorgan"]
    sections = []
    for name, measurement in _MEASUREMENTS.items():
        if only and name not in only:
            continue
        started = time.monotonic()
        for section in await measurement(deployment, deployments / "yorgan"):
            sections.append(section)
            _print_section(section)
        sys.stdout.write(f"({name}: {time.monotonic() - started:.0f} s)\n\n")
        sys.stdout.flush()
    return collect_figures(sections)


def collect_figures(sections: Iterable[Section]) -> dict[str, float | None]:
    """Merge the figures of all sections; a figure that was not measured is None."""
    merged: dict[str, float] = {}
    violations: list[Verdict] = []
    for section in sections:
        merged.update(section.figures)
        violations += section.verdicts
    merged["violations"] = sum(len(verdict.violations) for verdict in violations)
    return {name: _round(merged.get(name)) for name in _FIGURE_NAMES}


async def _run_latency(deployment: DeploymentDescription, configuration: Path) -> list[Section]:
    return [await measure_latency(deployment, configuration)]


async def _run_small_fleets(
    deployment: DeploymentDescription, configuration: Path
) -> list[Section]:
    rows = []
    verdicts = []
    for nodes in _FLEET_SIZES[:-1]:
        async with start_fleet(scale_plan(deployment, nodes), configuration) as fleet:
            rows += (await measure_changes(fleet))[0]
            verdicts += await fleet.check()
    return [Section("Convergence of small fleets", HEADINGS, rows, verdicts=verdicts)]


async def _run_large_fleet(deployment: DeploymentDescription, configuration: Path) -> list[Section]:
    nodes = _FLEET_SIZES[-1]
    async with start_fleet(scale_plan(deployment, nodes), configuration) as fleet:
        rows, delays_ms = await measure_changes(fleet)
        idle_cost = await measure_idle_cost(fleet.rig)
        per_change = await measure_bytes_per_change(fleet, idle_cost)
        roots = list_roots(fleet.rig)
        rows += await measure_disturbances(fleet)
        rows += await measure_endpoint_changes(fleet)
        restart = await measure_mass_restart(fleet)
        verdicts = await fleet.check()
    p50, p99 = list_percentiles(delays_ms)
    others = set(idle_cost.rss_mb) - roots
    figures = {
        "convergence_p50_ms": p50,
        "convergence_p99_ms": p99,
        "control_bytes_per_node_per_s": sum(idle_cost.bytes_per_s.values())
        / len(idle_cost.bytes_per_s),
        "control_bytes_per_change_per_node": sum(per_change.values()) / len(per_change),
        "leaf_rss_mb": compute_median(idle_cost.rss_mb, others),
        "nodes": nodes,
    }
    cost = Section(
        "Cost of the control plane, median (smallest-largest)",
        ["nodes", "role", "bytes/s at rest", "bytes/change", "CPU % at rest", "RSS MB"],
        format_cost(nodes, idle_cost, per_change, roots),
    )
    title = "Convergence of a large fleet"
    return [Section(title, HEADINGS, rows, figures, verdicts), cost, restart]


async def _run_gather(deployment: DeploymentDescription, configuration: Path) -> list[Section]:
    return [await measure_gather(deployment, configuration)]


async def _run_control_share(
    deployment: DeploymentDescription, configuration: Path
) -> list[Section]:
    return [await measure_control_share(deployment, configuration)]


async def _run_policy(deployment: DeploymentDescription, configuration: Path) -> list[Section]:
    return [await measure_policy(deployment, configuration)]


def _print_section(section: Section) -> None:
    sys.stdout.write(f"{section.title}\n{format_table(section.headings, section.rows)}")
    violations = itertools.chain.from_iterable(item.violations for item in section.verdicts)
    for violation in violations:
        sys.stdout.write(f"VIOLATION of promise {violation.promise}: {violation.detail}\n")
        sys.stdout.writelines(f"    {item}\n" for item in violation.evidence)
    sys.stdout.write("\n")
    sys.stdout.flush()


def _round(value: float | None) -> float | None:
    if value is None or math.isnan(value):
        return None
    return round(value, 3)


_MEASUREMENTS: dict[str, Measurement] = {
    "slopes": measure_costs_per_item,
    "latency": _run_latency,
    "control-share": _run_control_share,
    "small-fleets": _run_small_fleets,
    "large-fleet": _run_large_fleet,
    "gather": _run_gather,
    "policy": _run_policy,
}
