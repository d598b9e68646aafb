"""Check recorded events against the nine promises of docs/design.md, section 2.

All times are Unix times in seconds from one clock.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

LEAVING_BOUND_S = 3.0
CONVERGENCE_BOUND_S = 5.0

PROMISES = {
    1: "no proxy goes back to an older configuration",
    2: "no route refers to something the proxy does not have",
    3: "a bad version is never partially applied",
    4: "a caller gets the complete response to its own request",
    5: '"not run" is reported only for a call that did not run',
    6: "a non-idempotent call runs at most once",
    7: "a leaving backend server gets no new work",
    8: "a planned stop cuts off no request in flight",
    9: "an accepted configuration is in effect everywhere and stays",
}


class Outcome(StrEnum):
    """Result of a call as its caller saw it."""

    OK = "ok"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    SERVER_ERROR = "server-error"
    CUT_OFF = "cut-off"
    NOT_CONNECTED = "not-connected"
    CANCELLED = "cancelled"


class Call(NamedTuple):
    """Record one call as its caller saw it.

    * `due`: when the open-loop generator planned to start the call.
    * `started`: when it started the call.
    * `answer_id`, `answer_vm`: request id and VM that the response body states.
    * `sent_bytes`: length of the request body.
    * `echoed_bytes`: length of the request body that the response states.
    * `received_bytes`, `expected_bytes`: received and expected length of the response body.
    """

    request_id: str
    call_class: str
    idempotent: bool
    caller_vm: str
    started: float
    finished: float
    outcome: Outcome
    status: int = 0
    code: str = ""
    answer_id: str = ""
    answer_vm: str = ""
    sent_bytes: int = 0
    echoed_bytes: int = 0
    received_bytes: int = 0
    expected_bytes: int = 0
    due: float = 0.0


class Work(NamedTuple):
    """Record the work of a backend server on one request; without `effect` it did not run."""

    request_id: str
    vm: str
    path: str
    started: float
    effect: float | None
    finished: float | None
    aborted: float | None


class NodeStart(NamedTuple):
    """Record the start of a node's process."""

    vm: str
    workspace: str
    at: float


class FloorConfirmed(NamedTuple):
    """Record that a node confirmed its floor and began to serve its configuration.

    The floor is the lowest generation that the node may serve.
    """

    vm: str
    at: float


class SnapshotApplied(NamedTuple):
    """Record that a node put a snapshot into effect."""

    vm: str
    workspace: str
    generation: int
    digest: str
    at: float


class ChangeAccepted(NamedTuple):
    """Record an accepted change; `snapshots` maps each changed workspace to a digest."""

    generation: int
    at: float
    snapshots: Mapping[str, str]


class LeavingAnnounced(NamedTuple):
    """Record that a node announced its backend server as leaving."""

    vm: str
    at: float


class PlannedStop(NamedTuple):
    """Record that a node began to drain."""

    vm: str
    at: float


class Outage(NamedTuple):
    """Record a period in which a node was killed, paused, stopped or unreachable."""

    vm: str
    at: float
    until: float


class SnapshotContent(NamedTuple):
    """Hold the services of a snapshot and the service of each of its routes."""

    services: frozenset[str]
    routes: Mapping[str, str]


class History(NamedTuple):
    """Hold the records of one run; `contents` holds snapshots by digest."""

    calls: Sequence[Call] = ()
    work: Sequence[Work] = ()
    starts: Sequence[NodeStart] = ()
    floors: Sequence[FloorConfirmed] = ()
    applied: Sequence[SnapshotApplied] = ()
    accepted: Sequence[ChangeAccepted] = ()
    leaving: Sequence[LeavingAnnounced] = ()
    stops: Sequence[PlannedStop] = ()
    outages: Sequence[Outage] = ()
    contents: Mapping[str, SnapshotContent] = {}
    ended: float = math.inf


class Violation(NamedTuple):
    """Describe one violation of a promise, with its evidence."""

    promise: int
    detail: str
    evidence: tuple[Any, ...]


class Verdict(NamedTuple):
    """Hold the number of facts checked for a promise, and those that violate it."""

    promise: int
    checked_count: int
    violations: tuple[Violation, ...]


Findings = Iterator[Violation | None]
"""One item for each checked fact; None if the promise holds."""


def check_all(history: History) -> list[Verdict]:
    """Check every promise; `checked_count` is 0 in a verdict if the run has no facts for it."""
    return [check_promise(number, history) for number in CHECKERS]


def check_promise(number: int, history: History) -> Verdict:
    """Check one promise."""
    findings = list(CHECKERS[number](history))
    violations = tuple(finding for finding in findings if finding is not None)
    return Verdict(number, len(findings), violations)


def check_generations(history: History) -> Findings:
    """Check promise 1: the generation that a VM serves never goes back, also across restarts.

    A restarted node may apply an older snapshot as long as it does not serve it. Snapshots applied
    before the floor was confirmed are therefore compared only within their own process.
    """
    events = _group_by_vm(history.starts, history.applied, history.floors)
    for vm, records in events.items():
        served: SnapshotApplied | None = None
        latest: SnapshotApplied | None = None
        serving = False
        for record in records:
            if isinstance(record, NodeStart):
                latest, serving = None, False
                continue
            if isinstance(record, FloorConfirmed):
                serving = True
            else:
                yield _compare_generations(vm, latest, record)
                latest = record
            if serving and latest is not None:
                yield _compare_generations(vm, served, latest)
                served = latest


def _compare_generations(
    vm: str, before: SnapshotApplied | None, after: SnapshotApplied
) -> Violation | None:
    if before is None or after.generation >= before.generation:
        return None
    detail = f"{vm} went from generation {before.generation} to {after.generation}"
    return Violation(1, detail, (before, after))


def check_references(history: History) -> Findings:
    """Check promise 2: every route of an applied snapshot refers to a service of the snapshot."""
    for applied in history.applied:
        content = history.contents.get(applied.digest)
        if content is None:
            continue
        dangling = {
            route: service
            for route, service in content.routes.items()
            if service not in content.services
        }
        detail = f"{applied.vm} applied routes to missing services: {dangling}"
        yield Violation(2, detail, (applied,)) if dangling else None


def check_contents(history: History) -> Findings:
    """Check promise 3: an applied snapshot was accepted with its digest and generation."""
    accepted = {
        (workspace, digest, change.generation)
        for change in history.accepted
        for workspace, digest in change.snapshots.items()
    }
    for applied in history.applied:
        known = (applied.workspace, applied.digest, applied.generation) in accepted
        detail = f"{applied.vm} applied content not accepted as generation {applied.generation}"
        yield None if known else Violation(3, detail, (applied,))


def check_responses(history: History) -> Findings:
    """Check promise 4: each response taken as complete is complete and answers its request."""
    for call in history.calls:
        if call.outcome is not Outcome.OK:
            continue
        faults = list(_list_response_faults(call))
        yield Violation(4, f"{call.request_id}: {'; '.join(faults)}", (call,)) if faults else None


def _list_response_faults(call: Call) -> Iterator[str]:
    if call.answer_id != call.request_id:
        yield f"got the response to request {call.answer_id!r}"
    if call.received_bytes != call.expected_bytes:
        yield f"{call.received_bytes} bytes instead of {call.expected_bytes}"
    if call.echoed_bytes != call.sent_bytes:
        yield f"backend server got {call.echoed_bytes} of {call.sent_bytes} bytes"


def check_not_run(history: History) -> Findings:
    """Check promise 5: a call reported as not run took effect on no backend server."""
    effects_by_request = _group_effects(history.work)
    for call in history.calls:
        if call.outcome is not Outcome.NOT_RUN:
            continue
        work = effects_by_request.get(call.request_id, ())
        detail = (
            f"{call.request_id} was reported as not run, but ran on {work[0].vm if work else ''}"
        )
        yield Violation(5, detail, (call, *work)) if work else None


def check_runs(history: History) -> Findings:
    """Check promise 6: a non-idempotent call took effect at most once."""
    effects_by_request = _group_effects(history.work)
    for call in history.calls:
        if call.idempotent:
            continue
        work = effects_by_request.get(call.request_id, ())
        detail = f"{call.request_id} ran {len(work)} times"
        yield Violation(6, detail, (call, *work)) if len(work) > 1 else None


def check_leaving(history: History, *, bound_s: float = LEAVING_BOUND_S) -> Findings:
    """Check promise 7: no work starts more than `bound_s` after a VM announced that it leaves."""
    for leaving in history.leaving:
        until = _find_next_start(history.starts, leaving.vm, leaving.at)
        late = [
            work
            for work in history.work
            if work.vm == leaving.vm and leaving.at + bound_s < work.started < until
        ]
        detail = f"{leaving.vm} got {len(late)} new calls while it was leaving"
        yield Violation(7, detail, (leaving, *late)) if late else None


def check_stops(history: History) -> Findings:
    """Check promise 8: a planned stop cuts off no call that was in flight when it began."""
    calls = {call.request_id: call for call in history.calls}
    for stop in history.stops:
        on_server = {
            work.request_id
            for work in history.work
            if work.vm == stop.vm and work.started < stop.at <= _find_end(work)
        }
        at_caller = {
            call.request_id
            for call in history.calls
            if call.caller_vm == stop.vm and call.started < stop.at <= call.finished
        }
        for request_id in on_server | at_caller:
            call = calls.get(request_id)
            if call is not None:
                yield _check_stop(stop, call)


def _check_stop(stop: PlannedStop, call: Call) -> Violation | None:
    # Status 504 means that the call's own deadline passed; 502 or a closed connection means that
    # the stop may have cut it off.
    cut_off = call.outcome is Outcome.CUT_OFF or (
        call.outcome is Outcome.UNKNOWN and call.status != 504
    )
    if not cut_off or call.finished < stop.at:
        return None
    detail = f"{call.request_id} was cut off by the planned stop of {stop.vm}"
    return Violation(8, detail, (stop, call))


def check_convergence(history: History, *, bound_s: float = CONVERGENCE_BOUND_S) -> Findings:
    """Check promise 9: each node that is up applies accepted snapshots in time and keeps them."""
    applied = _group_by_vm(history.applied)
    for vm, workspace, since in _list_serving_nodes(history):
        vm_applied = applied.get(vm, ())
        for change in history.accepted:
            if workspace not in change.snapshots:
                continue
            due = max(change.at, since) + bound_s
            if due > history.ended or _had_outage(history, vm, change.at, due):
                continue
            in_time = any(
                item.generation >= change.generation for item in vm_applied if item.at <= due
            )
            detail = f"{vm} did not have generation {change.generation} within {bound_s:g} s"
            yield None if in_time else Violation(9, detail, (change, *vm_applied[-2:]))
        yield _check_final_generation(history, vm, workspace, vm_applied, bound_s)


def _check_final_generation(
    history: History, vm: str, workspace: str, vm_applied: Sequence[SnapshotApplied], bound_s: float
) -> Violation | None:
    changes = [
        change
        for change in history.accepted
        if workspace in change.snapshots and change.at + bound_s <= history.ended
    ]
    if not changes or _had_outage(history, vm, changes[-1].at, history.ended):
        return None
    newest = changes[-1]
    if vm_applied and vm_applied[-1].generation >= newest.generation:
        return None
    return Violation(
        9, f"{vm} ended without generation {newest.generation}", (newest, *vm_applied[-1:])
    )


def _list_serving_nodes(history: History) -> Iterator[tuple[str, str, float]]:
    """Yield the VM, the workspace and the first floor confirmation of each node."""
    floors: dict[str, float] = {}
    for floor in sorted(history.floors, key=lambda item: item.at):
        floors.setdefault(floor.vm, floor.at)
    workspaces = {start.vm: start.workspace for start in history.starts}
    for vm, workspace in sorted(workspaces.items()):
        if vm in floors:
            yield vm, workspace, floors[vm]


def _had_outage(history: History, vm: str, start: float, end: float) -> bool:
    return any(
        outage.vm == vm and outage.at < end and start < outage.until for outage in history.outages
    )


def _find_next_start(starts: Iterable[NodeStart], vm: str, after: float) -> float:
    return min(
        (start.at for start in starts if start.vm == vm and start.at > after), default=math.inf
    )


def _group_effects(work: Iterable[Work]) -> dict[str, list[Work]]:
    grouped: dict[str, list[Work]] = collections.defaultdict(list)
    for item in work:
        if item.effect is not None:
            grouped[item.request_id].append(item)
    return grouped


def _find_end(work: Work) -> float:
    ends = [at for at in (work.finished, work.aborted) if at is not None]
    return min(ends, default=math.inf)


def _group_by_vm(*kinds: Iterable[Any]) -> dict[str, list[Any]]:
    """Group records by VM, in order of time; at equal times, in the order of the arguments."""
    by_vm: dict[str, list[Any]] = collections.defaultdict(list)
    for kind in kinds:
        for record in kind:
            by_vm[record.vm].append(record)
    for records in by_vm.values():
        records.sort(key=lambda record: record.at)
    return by_vm


CHECKERS: Mapping[int, Callable[[History], Findings]] = {
    1: check_generations,
    2: check_references,
    3: check_contents,
    4: check_responses,
    5: check_not_run,
    6: check_runs,
    7: check_leaving,
    8: check_stops,
    9: check_convergence,
}
