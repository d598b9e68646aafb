"""Measure calls below and above capacity, with a slow and a misreporting backend server."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from .deployments import DeploymentDescription
from .load import CallClass, LoadGenerator, find_percentile
from .oracle import Call, Outcome
from .rig import ProcessPlan
from .sections import Section, start_fleet

_BACKEND_SERVERS = 6
_SERVICE_MS = 50.0
_RUN_S = 5.0
_LOADS_PER_CAPACITY = (0.5, 0.9, 1.2, 2.0)
_SLOW_FAULTS = {"slow_factor": 5.0}
_LYING_FAULTS = {"lie": True, "slow_factor": 3.0, "fail": 0.3}


class _Variant(NamedTuple):
    name: str
    slots: int | None = None
    hedge_ms: int | None = None


_VARIANTS = (
    _Variant("as designed"),
    # With far more slots than the backend server has, only its own queue and shedding limit calls.
    _Variant("no slot ownership", slots=1000),
    # Later than the route's deadline, so that no call is ever hedged.
    _Variant("no hedging", hedge_ms=100_000),
)


async def measure_policy(deployment: DeploymentDescription, configuration: Path) -> Section:
    """Compare variants under several loads.

    Random choice and unlimited retries are not compared, since no setting enables them.
    """
    rows = []
    verdicts = []
    for variant in _VARIANTS:
        plan = _build_plan(deployment, variant)
        parameters = _list_parameters(variant)
        async with start_fleet(plan, configuration, parameters=parameters) as fleet:
            slow, lying = list(fleet.rig.nodes)[:2]
            await fleet.rig.set_backend_faults(slow, _SLOW_FAULTS)
            await fleet.rig.set_backend_faults(lying, _LYING_FAULTS)
            for load_per_capacity in _LOADS_PER_CAPACITY:
                calls = await _run_load(fleet.rig.list_targets(), deployment, load_per_capacity)
                fleet.calls += calls
                rows.append([variant.name, f"{load_per_capacity:g}x", *_format_calls(calls)])
            verdicts += await fleet.check()
    capacity = _compute_capacity_per_s()
    return Section(
        f"Calls around capacity ({capacity:.0f}/s without faults), one slow, one lying server",
        ["variant", "load", "calls", "ok/s", "ok %", "not run %", "other %", "p50 ms", "p99 ms"],
        rows,
        {},
        verdicts,
    )


def _build_plan(deployment: DeploymentDescription, variant: _Variant) -> ProcessPlan:
    first, second = deployment.plan.services
    plan = deployment.plan._replace(
        services=(
            first._replace(backend_servers=_BACKEND_SERVERS, service_ms=(("/", _SERVICE_MS),)),
            second._replace(backend_servers=1),
        )
    )
    if variant.slots is None:
        return plan
    return plan._replace(node_settings=(*plan.node_settings, ("slots", variant.slots)))


def _list_parameters(variant: _Variant) -> dict[str, int]:
    parameters = {"slots": variant.slots, "lookup_hedge_ms": variant.hedge_ms}
    return {name: value for name, value in parameters.items() if value is not None}


def _compute_capacity_per_s() -> float:
    return _BACKEND_SERVERS * 6 / (_SERVICE_MS / 1000)


async def _run_load(
    targets: list, deployment: DeploymentDescription, load_per_capacity: float
) -> list[Call]:
    classes: list[CallClass] = [item for item in deployment.classes if item.name != "upload"]
    generator = LoadGenerator(
        targets=targets,
        classes=classes,
        seed=1,
        run_id=f"policy-{load_per_capacity:g}-{id(targets)}",
    )
    await generator.run(rate_per_s=load_per_capacity * _compute_capacity_per_s(), duration_s=_RUN_S)
    generator.close()
    return generator.calls


def _format_calls(calls: list[Call]) -> list[str | int]:
    total = len(calls)
    ok = [call for call in calls if call.outcome is Outcome.OK]
    not_run = sum(call.outcome is Outcome.NOT_RUN for call in calls)
    times = [(call.finished - call.due) * 1000 for call in ok]
    return [
        total,
        f"{len(ok) / _RUN_S:.0f}",
        f"{100 * len(ok) / total:.1f}",
        f"{100 * not_run / total:.1f}",
        f"{100 * (total - len(ok) - not_run) / total:.1f}",
        f"{find_percentile(times, 50):.0f}",
        f"{find_percentile(times, 99):.0f}",
    ]
