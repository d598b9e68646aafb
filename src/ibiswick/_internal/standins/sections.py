"""Define the results of a measurement and the fleets that measurements run on."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import statistics
import sys
import time
import uuid
from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

from .convergence import Convergence, list_convergence
from .deployments import DeploymentDescription
from .documents import EditKind, WorkingCopy
from .evidence import collect_history
from .load import find_percentile
from .oracle import Call, Verdict, check_all
from .rig import ProcessPlan, Rig

_EVIDENCE_DIRECTORY = Path("build/evidence")


class Section(NamedTuple):
    """Hold the table, the figures by name and the verdicts of one measurement."""

    title: str
    headings: Sequence[str]
    rows: Sequence[Sequence[Any]]
    figures: Mapping[str, float] = MappingProxyType({})
    verdicts: Sequence[Verdict] = ()


class RunningFleet:
    """Hold a running deployment and its applied configuration."""

    def __init__(self, *, rig: Rig, configuration: Path) -> None:
        self.rig = rig
        self.calls: list[Call] = []
        self.working_copy = WorkingCopy(
            source=configuration, directory=rig.directory / "configuration"
        )

    async def apply(self) -> None:
        """Apply the working copy; return once it is in effect."""
        await self.rig.run_ctl("apply", str(self.working_copy.directory))

    async def change(self, kind: EditKind) -> None:
        """Make and apply one change."""
        self.working_copy.edit(kind)
        await self.apply()

    async def change_without_waiting(self) -> int:
        """Change a parameter and return the generation once it is accepted."""
        self.working_copy.edit("parameter")
        workspace = self.working_copy.read_workspace()
        return await self.rig.submit_change(uuid.uuid4().hex, workspace)

    async def list_convergence(self, *, skip: int = 0) -> list[Convergence]:
        """List the convergence of all changes but the first `skip` ones."""
        history = await collect_history(self.rig, self.calls)
        return list_convergence(history, self.rig.plan.workspace)[skip:]

    async def check(self) -> list[Verdict]:
        """Check the promises on all records of the run; keep logs and ledgers on a violation."""
        verdicts = check_all(await collect_history(self.rig, self.calls))
        if any(verdict.violations for verdict in verdicts):
            kept = _EVIDENCE_DIRECTORY / f"{int(time.time())}"
            shutil.copytree(self.rig.directory, kept)
            sys.stderr.write(f"violations found, logs and ledgers kept in {kept}\n")
        return verdicts


def scale_plan(deployment: DeploymentDescription, nodes: int, **settings: Any) -> ProcessPlan:
    """Return a plan with the given number of nodes, which share backend servers."""
    first, second = deployment.plan.services
    return deployment.plan._replace(
        services=(
            first._replace(backend_servers=nodes - second.backend_servers),
            second,
        ),
        node_settings=tuple({**dict(deployment.plan.node_settings), **settings}.items()),
        shared_backends=True,
    )


@contextlib.asynccontextmanager
async def start_fleet(
    plan: ProcessPlan, configuration: Path, *, parameters: Mapping[str, Any] = MappingProxyType({})
) -> AsyncIterator[RunningFleet]:
    """Start a deployment, apply its configuration and wait until every node serves it.

    `parameters` are set for the first template that the workspace uses.
    """
    async with Rig(plan=plan) as rig:
        await rig.start()
        fleet = RunningFleet(rig=rig, configuration=configuration)
        for name, value in parameters.items():
            fleet.working_copy.set_parameter(name, value)
        await fleet.apply()
        await rig.wait_events("snapshot-applied", rig.nodes, timeout_s=60.0)
        yield fleet


async def sum_metric(rig: Rig, prefix: str) -> dict[str, float]:
    """Return for each running node the sum of the metrics whose names start with a prefix."""

    async def read(vm: str) -> tuple[str, float]:
        metrics = await rig.read_metrics(vm)
        return vm, sum(value for name, value in metrics.items() if name.startswith(prefix))

    running = [vm for vm in rig.nodes if rig.get_node(vm).running]
    return dict(await asyncio.gather(*(read(vm) for vm in running)))


def list_delays_ms(changes: Iterable[Convergence]) -> list[float]:
    """Return the delays of all changes in ms."""
    return [delay * 1000 for change in changes for delay in change.delays_s]


def format_spread(values: Sequence[float], *, digits: int = 2) -> str:
    """Format the median with the smallest and the largest value.

    >>> format_spread([3.0, 1.0, 2.0])
    '2.00 (1.00-3.00)'
    """
    if not values:
        return "-"
    median = statistics.median(values)
    return f"{median:.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


def list_percentiles(values: Sequence[float]) -> tuple[float, float]:
    """Return the 50th and the 99th percentile."""
    return find_percentile(values, 50), find_percentile(values, 99)
