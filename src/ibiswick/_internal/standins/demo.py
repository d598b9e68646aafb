"""Run a deployment under load and with faults, and check the nine promises."""

from __future__ import annotations

import asyncio
import math
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from .convergence import Convergence, list_convergence
from .deployments import DEPLOYMENTS, KIB, DeploymentDescription
from .documents import EditKind, WorkingCopy
from .evidence import collect_history
from .load import CallClass, LoadGenerator, summarize
from .oracle import CONVERGENCE_BOUND_S, History, Outage, Outcome, Verdict, check_all
from .rig import ProcessPlan, Rig, cancel_on_signals
from .tables import format_calls, format_table, format_verdicts

_RATE_PER_S = 150.0
_LOAD_DURATION_S = 24.0
_FIRST_CHANGE_DELAY_S = 2.0
_OUTAGE_S = 2.0
_COLD_S = 3.0
_UPLOADS_AT_DRAIN = 3
# With a chunk every 100 ms, the upload takes 3.2 s. A drain begins within that time.
_LONG_UPLOAD_BYTES = 2048 * KIB
_ROUTED_TIMEOUT_S = 20.0
_CHANGES_UNDER_LOAD: tuple[EditKind, ...] = ("parameter", "template", "parameter", "template")
_CONTROL_BYTES = "ibiswick_control_bytes_total"


class DemoResult(NamedTuple):
    """Hold the results of a demo; `skipped` is the number of calls that were not made."""

    history: History
    verdicts: list[Verdict]
    convergence: list[Convergence]
    control_bytes: Mapping[str, float]
    seconds: float
    skipped: int = 0


async def run_demo(name: str, configuration: Path, *, seed: int, keep: Path | None) -> bool:
    """Run the demo and print its tables; return whether it passed."""
    cancel_on_signals()
    deployment = DEPLOYMENTS[name]
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ibiswick-") as temporary:
        async with Rig(plan=_add_cold_start(deployment.plan), directory=Path(temporary)) as rig:
            try:
                result = await _Demo(rig, deployment, configuration, seed).run()
            finally:
                if keep is not None:
                    shutil.copytree(temporary, keep, dirs_exist_ok=True)
    failures = list_failures(result, deployment.classes)
    sys.stdout.write(format_result(result))
    sys.stdout.writelines(f"FAULT: {failure}\n" for failure in failures)
    sys.stdout.write(
        f"{'failed' if failures else 'passed'} in {time.monotonic() - started:.0f} s\n"
    )
    return not failures


class _Demo:
    """Run the steps of the demo on a rig."""

    def __init__(
        self, rig: Rig, deployment: DeploymentDescription, configuration: Path, seed: int
    ) -> None:
        self._rig = rig
        self._deployment = deployment
        self._working_copy = WorkingCopy(
            source=configuration, directory=rig.directory / "configuration"
        )
        self._load = LoadGenerator(
            targets=rig.list_targets(), classes=deployment.classes, seed=seed, run_id=f"demo-{seed}"
        )
        self._load_started = 0.0

    async def run(self) -> DemoResult:
        _print_progress("starting the platform, the administration API and the nodes")
        await self._rig.start()
        _print_progress("applying the configuration")
        await self._rig.run_ctl("apply", str(self._working_copy.directory))
        await self._rig.wait_events("snapshot-applied", self._rig.nodes)
        self._load.targets = self._rig.list_targets()
        await self._wait_routed()
        self._load_started = time.time()
        disturbances = asyncio.create_task(self._disturb())
        await self._load.run(rate_per_s=_RATE_PER_S, duration_s=_LOAD_DURATION_S)
        await disturbances
        # The last change can be checked only once its convergence bound has passed.
        await asyncio.sleep(CONVERGENCE_BOUND_S)
        return await self._collect_result()

    async def _wait_routed(self) -> None:
        """Wait until a call of each class succeeds through every node."""
        deadline = time.monotonic() + _ROUTED_TIMEOUT_S
        for call_class in self._deployment.classes:
            probe = call_class._replace(upload_bytes=min(call_class.upload_bytes, 16), pause_ms=0.0)
            waiting = list(self._load.targets)
            while waiting and time.monotonic() < deadline:
                calls = [await self._load.probe(probe, target) for target in waiting]
                waiting = [
                    target
                    for target, call in zip(waiting, calls, strict=True)
                    if call.outcome is not Outcome.OK
                ]
                await asyncio.sleep(0.1 if waiting else 0)

    async def _disturb(self) -> None:
        upload_service, main_service = (
            self._deployment.plan.services[1],
            self._deployment.plan.services[0],
        )
        await asyncio.sleep(_FIRST_CHANGE_DELAY_S)
        for kind in _CHANGES_UNDER_LOAD:
            await self._change(kind)
        drained, killed = f"{upload_service.name}-1", f"{main_service.name}-2"
        await self._drain(drained)
        _print_progress(f"killing {killed} with its backend server")
        self._load.remove_target(killed)
        self._rig.kill_vm(killed)
        await asyncio.sleep(_OUTAGE_S)
        # `apply` would wait for the killed node, which counts as behind until its parent considers
        # it lost.
        await self._change("parameter", "--no-wait")
        _print_progress(f"restarting {killed}")
        restarted = time.time()
        await self._rig.restart_vms([killed])
        applied = await self._rig.wait_events("snapshot-applied", [killed], after=restarted)
        self._rig.end_outage(killed, applied[killed].at)

    async def _drain(self, vm: str) -> None:
        """Drain a VM with uploads in flight; calls go through it until it has stopped."""
        upload = next(item for item in self._deployment.classes if item.upload_bytes > 64 * KIB)
        for _ in range(_UPLOADS_AT_DRAIN):
            # Promise 8 can be checked only with calls that are in flight when the drain begins.
            self._load.start_call(upload._replace(upload_bytes=_LONG_UPLOAD_BYTES), vm)
        _print_progress(f"draining {vm}")
        await self._rig.run_ctl("drain", vm)
        stopped = await self._rig.wait_events("node-stopped", [vm])
        self._load.remove_target(vm)
        self._rig.outages.append(Outage(vm, stopped[vm].at, math.inf))

    async def _change(self, kind: EditKind, *options: str) -> None:
        _print_progress(f"applying a change: {self._working_copy.edit(kind)}")
        await self._rig.run_ctl("apply", str(self._working_copy.directory), *options)

    async def _collect_result(self) -> DemoResult:
        seconds = time.time() - self._load_started
        control_bytes = {}
        for vm in self._rig.nodes:
            if self._rig.get_node(vm).running:
                metrics = await self._rig.read_metrics(vm)
                control_bytes[vm] = sum(
                    value for name, value in metrics.items() if name.startswith(_CONTROL_BYTES)
                )
        history = await collect_history(self._rig, self._load.calls)
        self._load.close()
        return DemoResult(
            history,
            check_all(history),
            list_convergence(history, self._deployment.plan.workspace),
            control_bytes,
            seconds,
            self._load.skipped,
        )


def list_failures(result: DemoResult, classes: Sequence[CallClass]) -> list[str]:
    """List the reasons why a demo failed."""
    failures = [
        f"promise {violation.promise}: {violation.detail}"
        for verdict in result.verdicts
        for violation in verdict.violations
    ]
    failures += [
        f"promise {verdict.promise} could not be checked in this run"
        for verdict in result.verdicts
        if not verdict.checked_count
    ]
    served = {call.call_class for call in result.history.calls if call.outcome is Outcome.OK}
    if result.skipped:
        failures.append(f"{result.skipped} calls were not made, because too many were in flight")
    failures += [f"no successful {item.name} call" for item in classes if item.name not in served]
    return failures


def format_result(result: DemoResult) -> str:
    """Format the calls, convergence, control bytes and verdicts as tables."""
    per_s = [value / result.seconds for value in result.control_bytes.values()]
    rows = [
        [
            item.generation,
            len(item.delays_s),
            _format_ms(statistics.median(item.delays_s) if item.delays_s else math.nan),
            _format_ms(item.last_s),
            ", ".join(item.missing) or "-",
        ]
        for item in result.convergence
    ]
    return "\n".join(
        [
            format_calls(summarize(result.history.calls)),
            format_table(["generation", "nodes", "median ms", "last ms", "missing"], rows),
            format_table(
                ["control bytes", "mean", "largest"],
                [
                    [
                        "per node and second",
                        f"{statistics.fmean(per_s):.0f}" if per_s else "-",
                        f"{max(per_s):.0f}" if per_s else "-",
                    ]
                ],
            ),
            format_verdicts(result.verdicts),
        ]
    )


def _add_cold_start(plan: ProcessPlan) -> ProcessPlan:
    services = tuple(service._replace(cold_s=_COLD_S) for service in plan.services)
    return plan._replace(services=services)


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000:.0f}"


def _print_progress(text: str) -> None:
    sys.stderr.write(f"{text}\n")
