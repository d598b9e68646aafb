"""Run a deployment under load and disturbances and check the nine promises."""

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
from .deployments import DEPLOYMENTS, KIB, Deployment
from .documents import EditKind, WorkingCopy
from .evidence import collect_history
from .load import CallClass, LoadGenerator, summarize
from .oracle import CONVERGENCE_BOUND_S, History, Outage, Outcome, Verdict, check_all
from .rig import Plan, Rig, cancel_on_signals
from .tables import format_calls, format_table, format_verdicts

_RATE_PER_S = 150.0
_LOAD_S = 24.0
_PAUSE_S = 2.0
_DOWN_S = 2.0
_COLD_S = 3.0
_UPLOADS_AT_DRAIN = 3
# At a chunk each 100 ms this lasts 3.2 s, which is longer than the drain takes to begin.
_LONG_UPLOAD_BYTES = 2048 * KIB
_ROUTED_S = 20.0
_CHANGES_UNDER_LOAD: tuple[EditKind, ...] = ("parameter", "template", "parameter", "template")
_CONTROL_BYTES = "ibiswick_control_bytes_total"


class DemoResult(NamedTuple):
    """Hold what a demo showed."""

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
        async with Rig(plan=_start_cold(deployment.plan), directory=Path(temporary)) as rig:
            try:
                result = await _Demo(rig, deployment, configuration, seed).run()
            finally:
                if keep is not None:
                    shutil.copytree(temporary, keep, dirs_exist_ok=True)
    faults = list_faults(result, deployment.classes)
    sys.stdout.write(format_result(result))
    sys.stdout.writelines(f"FAULT: {fault}\n" for fault in faults)
    sys.stdout.write(f"{'failed' if faults else 'passed'} in {time.monotonic() - started:.0f} s\n")
    return not faults


class _Demo:
    """Play the script of the demo on a rig."""

    def __init__(self, rig: Rig, deployment: Deployment, configuration: Path, seed: int) -> None:
        self._rig = rig
        self._deployment = deployment
        self._copy = WorkingCopy(source=configuration, directory=rig.directory / "configuration")
        self._load = LoadGenerator(
            targets=rig.list_targets(), classes=deployment.classes, seed=seed, run_id=f"demo-{seed}"
        )
        self._begun = 0.0

    async def run(self) -> DemoResult:
        _say("starting the platform, the administration API and the nodes")
        await self._rig.start()
        _say("applying the configuration")
        await self._rig.control("apply", str(self._copy.directory))
        await self._rig.wait_events("snapshot-applied", self._rig.nodes)
        self._load.targets = self._rig.list_targets()
        await self._wait_routed()
        self._begun = time.time()
        script = asyncio.create_task(self._disturb())
        await self._load.run(rate_per_s=_RATE_PER_S, duration_s=_LOAD_S)
        await script
        # The last change must have had its bound before it can be judged.
        await asyncio.sleep(CONVERGENCE_BOUND_S)
        return await self._conclude()

    async def _wait_routed(self) -> None:
        """Wait until a call of every class works from every node."""
        deadline = time.monotonic() + _ROUTED_S
        for chosen in self._deployment.classes:
            probe = chosen._replace(upload_bytes=min(chosen.upload_bytes, 16), pause_ms=0.0)
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
        archive, counter = self._deployment.plan.services[1], self._deployment.plan.services[0]
        await asyncio.sleep(_PAUSE_S)
        for kind in _CHANGES_UNDER_LOAD:
            await self._change(kind)
        drained, killed = f"{archive.name}-1", f"{counter.name}-2"
        await self._drain(drained)
        _say(f"killing {killed} with its backend server")
        self._load.remove_target(killed)
        self._rig.kill_vm(killed)
        await asyncio.sleep(_DOWN_S)
        # Without waiting, since the killed node counts as behind until its parent has missed it.
        await self._change("parameter", "--no-wait")
        _say(f"restarting {killed}")
        restarted = time.time()
        await self._rig.restart_vms([killed])
        applied = await self._rig.wait_events("snapshot-applied", [killed], after=restarted)
        self._rig.end_outage(killed, applied[killed].at)

    async def _drain(self, vm: str) -> None:
        """Drain a VM with uploads in flight; its callers keep calling until it has stopped."""
        upload = next(item for item in self._deployment.classes if item.upload_bytes > 64 * KIB)
        for _ in range(_UPLOADS_AT_DRAIN):
            # Promise 8 cannot be checked without calls that are in flight when the drain begins.
            self._load.start_call(upload._replace(upload_bytes=_LONG_UPLOAD_BYTES), vm)
        _say(f"draining {vm}")
        await self._rig.control("drain", vm)
        stopped = await self._rig.wait_events("node-stopped", [vm])
        self._load.remove_target(vm)
        self._rig.outages.append(Outage(vm, stopped[vm].at, math.inf))

    async def _change(self, kind: EditKind, *options: str) -> None:
        _say(f"applying a change: {self._copy.edit(kind)}")
        await self._rig.control("apply", str(self._copy.directory), *options)

    async def _conclude(self) -> DemoResult:
        seconds = time.time() - self._begun
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


def list_faults(result: DemoResult, classes: Sequence[CallClass]) -> list[str]:
    """List what makes a demo fail."""
    faults = [
        f"promise {violation.promise}: {violation.detail}"
        for verdict in result.verdicts
        for violation in verdict.violations
    ]
    faults += [
        f"promise {verdict.promise} could not be checked in this run"
        for verdict in result.verdicts
        if not verdict.checked
    ]
    served = {call.call_class for call in result.history.calls if call.outcome is Outcome.OK}
    if result.skipped:
        faults.append(f"{result.skipped} calls were not made, because too many were outstanding")
    faults += [f"no successful {item.name} call" for item in classes if item.name not in served]
    return faults


def format_result(result: DemoResult) -> str:
    """Show calls, convergence, control bytes and verdicts."""
    per_s = [value / result.seconds for value in result.control_bytes.values()]
    rows = [
        [
            item.generation,
            len(item.delays),
            _format_ms(statistics.median(item.delays) if item.delays else math.nan),
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


def _start_cold(plan: Plan) -> Plan:
    services = tuple(service._replace(cold_s=_COLD_S) for service in plan.services)
    return plan._replace(services=services)


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000:.0f}"


def _say(text: str) -> None:
    sys.stderr.write(f"{text}\n")
