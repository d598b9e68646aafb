"""Aggregate what the nodes of a subtree have applied."""

from __future__ import annotations

from collections.abc import Iterable

from ..shared.records import NodeException, Refusal, Snapshot, WorkspaceReport
from .messages import Report

MAX_EXCEPTIONS = 32
BEHIND_CODE = "behind"


def build_report(
    *,
    vm: str,
    snapshot: Snapshot | None,
    refusal: Refusal | None,
    children: Iterable[tuple[str, Report]],
    name_behind: bool = True,
) -> Report:
    """Build the report of a node and its subtree; `children` are VMs with their last reports.

    Children that are behind are always counted, and also named if `name_behind` is set.
    """
    generation = 0 if snapshot is None else snapshot.generation
    reports = list(children)
    own = Report(
        generation=generation,
        digest="" if snapshot is None else snapshot.digest,
        children=len(reports),
        total=1,
        generations={str(generation): 1},
        exceptions=_describe_refusal(vm, generation, refusal),
    )
    newest = generation if name_behind else 0
    merged = aggregate_reports([(vm, own), *reports], newest=newest)
    return own._replace(
        total=merged["total"],
        generations=merged["generations"],
        exceptions=tuple(merged["exceptions"]),
    )


def aggregate_reports(reports: Iterable[tuple[str, Report]], *, newest: int) -> WorkspaceReport:
    """Count nodes by generation, and name up to 32 that are behind or have refused a snapshot."""
    total = 0
    generations: dict[str, int] = {}
    exceptions: dict[str, NodeException] = {}
    for vm, report in reports:
        total += report.total
        for generation, count in report.generations.items():
            generations[generation] = generations.get(generation, 0) + count
        if report.generation < newest:
            exceptions[vm] = _describe_behind(vm, report.generation, newest)
        for exception in report.exceptions:
            if exception["code"] != BEHIND_CODE or exception["generation"] < newest:
                exceptions[exception["vm"]] = exception
    named = [exceptions[vm] for vm in sorted(exceptions)]
    return WorkspaceReport(total=total, generations=generations, exceptions=named[:MAX_EXCEPTIONS])


def _describe_refusal(
    vm: str, generation: int, refusal: Refusal | None
) -> tuple[NodeException, ...]:
    if refusal is None or refusal.generation <= generation:
        return ()
    return (
        NodeException(vm=vm, generation=generation, code=refusal.code, detail=refusal.detail[:200]),
    )


def _describe_behind(vm: str, generation: int, newest: int) -> NodeException:
    return NodeException(
        vm=vm,
        generation=generation,
        code=BEHIND_CODE,
        detail=f"generation {newest} not yet applied",
    )
