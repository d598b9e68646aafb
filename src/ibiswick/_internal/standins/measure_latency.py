"""Measure the latency that two nodes add to a call, in pairs of direct and proxied calls."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

from .client import Client
from .deployments import KIB, DeploymentDescription
from .load import CallClass, find_percentile, make_call
from .oracle import Outcome
from .rig import ProcessPlan, Rig
from .sections import RunningFleet, Section, format_spread, start_fleet

_RUNS = 5
_LOAD_PER_S = 100.0
_NO_WORK_MS = (("/", 0.0),)


class _Case(NamedTuple):
    name: str
    call_class: CallClass
    pairs: int
    loaded: bool


class _Pairs(NamedTuple):
    direct_ms: list[float]
    proxied_ms: list[float]

    def list_added_ms(self) -> list[float]:
        """Return the difference of each pair."""
        return [b - a for a, b in zip(self.direct_ms, self.proxied_ms, strict=True)]

    def compute_added_p99_ms(self) -> float:
        """Return the difference of the 99th percentiles."""
        return find_percentile(self.proxied_ms, 99) - find_percentile(self.direct_ms, 99)


async def measure_latency(deployment: DeploymentDescription, configuration: Path) -> Section:
    """Compare calls through two nodes with direct calls to a backend server."""
    async with start_fleet(_build_plan(deployment), configuration) as fleet:
        cases = _list_cases(deployment)
        results = {case: await _measure_case(fleet, deployment, case) for case in cases}
        verdicts = await fleet.check()
    small = results[cases[0]]
    return Section(
        f"Added latency in ms, {_RUNS} runs, median (smallest-largest); load {_LOAD_PER_S:g}/s",
        ["calls", "pairs", "direct p50", "proxied p50", "added p50", "added p99"],
        [_format_case(case, runs) for case, runs in results.items()],
        {
            "added_p50_ms": find_percentile(
                itertools.chain.from_iterable(run.list_added_ms() for run in small), 50
            ),
            "added_p99_ms": _join_runs(small).compute_added_p99_ms(),
        },
        verdicts,
    )


def _build_plan(deployment: DeploymentDescription) -> ProcessPlan:
    """Use small services without service time, which would hide the added latency."""
    services = tuple(
        service._replace(backend_servers=3, service_ms=_NO_WORK_MS)
        for service in deployment.plan.services
    )
    return deployment.plan._replace(services=services)


def _list_cases(deployment: DeploymentDescription) -> list[_Case]:
    lookup = next(item for item in deployment.classes if item.name == "lookup")
    upload = next(item for item in deployment.classes if item.name == "upload")
    small = lookup._replace(answer_bytes=0)
    return [
        _Case("small, idle", small, 400, False),
        _Case("small, loaded", small, 300, True),
        _Case("256 KiB answer, idle", lookup._replace(answer_bytes=256 * KIB), 80, False),
        _Case("256 KiB answer, loaded", lookup._replace(answer_bytes=256 * KIB), 80, True),
        _Case(
            "256 KiB upload, idle", upload._replace(upload_bytes=256 * KIB, pause_ms=0.0), 80, False
        ),
    ]


async def _measure_case(
    fleet: RunningFleet, deployment: DeploymentDescription, case: _Case
) -> list[_Pairs]:
    if not case.loaded:
        return [await _run_pairs(fleet, case, run) for run in range(_RUNS)]
    async with _generate_load(fleet.rig, deployment):
        return [await _run_pairs(fleet, case, run) for run in range(_RUNS)]


@contextlib.asynccontextmanager
async def _generate_load(rig: Rig, deployment: DeploymentDescription) -> AsyncIterator[None]:
    """Run the load generator in its own process, so that it does not delay the pairs of calls."""
    targets = [f"{target.host}:{target.port}" for target in rig.list_targets()]
    arguments = ["run", deployment.plan.workspace, "--rate", f"{_LOAD_PER_S}", "--seconds", "3600"]
    for target in targets:
        arguments += ["--target", target]
    process = await rig.start_program("load", *arguments)
    try:
        yield
    finally:
        process.kill()
        await process.wait(timeout_s=5.0)


async def _run_pairs(fleet: RunningFleet, case: _Case, run: int) -> _Pairs:
    rig = fleet.rig
    service = "upload" if case.call_class.upload_bytes else "lookup"
    servers = [vm for vm, node in rig.nodes.items() if node.service is _find_service(rig, service)]
    backends = [rig.locate_backend(vm) for vm in servers]
    callers = rig.list_targets()
    client = Client()
    pairs = _Pairs([], [])
    for number in range(case.pairs):
        request_id = f"{case.name}-{run}-{number}"
        direct = await make_call(
            client, case.call_class, backends[number % len(backends)], f"{request_id}-d"
        )
        proxied = await make_call(
            client, case.call_class, callers[number % len(callers)], f"{request_id}-p"
        )
        fleet.calls.append(proxied)
        if direct.outcome is Outcome.OK and proxied.outcome is Outcome.OK:
            pairs.direct_ms.append((direct.finished - direct.started) * 1000)
            pairs.proxied_ms.append((proxied.finished - proxied.started) * 1000)
    client.close()
    return pairs


def _find_service(rig: Rig, name: str) -> object:
    first, second = rig.plan.services
    return second if name == "upload" else first


def _join_runs(runs: list[_Pairs]) -> _Pairs:
    return _Pairs(
        [value for run in runs for value in run.direct_ms],
        [value for run in runs for value in run.proxied_ms],
    )


def _format_case(case: _Case, runs: list[_Pairs]) -> list[str | int]:
    def spread(values: list[float]) -> str:
        return format_spread(values, digits=3)

    return [
        case.name,
        sum(len(run.direct_ms) for run in runs),
        spread([find_percentile(run.direct_ms, 50) for run in runs]),
        spread([find_percentile(run.proxied_ms, 50) for run in runs]),
        spread([find_percentile(run.list_added_ms(), 50) for run in runs]),
        spread([run.compute_added_p99_ms() for run in runs]),
    ]
