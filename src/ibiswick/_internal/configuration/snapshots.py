"""Build, check and compare snapshots, and decide whether a node applies a snapshot."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from enum import StrEnum
from operator import itemgetter
from typing import Any, NamedTuple

import msgspec

from ..shared.digests import compute_digest
from ..shared.errors import (
    BaseMismatchError,
    DanglingReferenceError,
    DigestMismatchError,
    MalformedSnapshotError,
    SnapshotError,
)
from ..shared.records import Refusal, Route, ServicePolicy, Snapshot, Tenant


class Delta(NamedTuple):
    """Hold the difference between two snapshots of one workspace."""

    workspace: str
    generation: int
    digest: str
    base_digest: str
    changed_services: dict[str, ServicePolicy]
    removed_services: tuple[str, ...]
    changed_routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]
    changed_tenants: tuple[Tenant, ...] = ()
    removed_tenants: tuple[str, ...] = ()


class ApplyOutcome(StrEnum):
    """List the outcomes of offering a snapshot to a node."""

    APPLIED = "applied"
    IGNORED = "ignored"
    REFUSED = "refused"


class ApplyDecision(NamedTuple):
    """Describe what a node does with an offered snapshot; a refusal states the reason."""

    outcome: ApplyOutcome
    refusal: Refusal | None = None


class _Content(NamedTuple):
    workspace: str
    services: dict[str, ServicePolicy]
    routes: tuple[Route, ...]
    tenants: tuple[Tenant, ...] = ()


def build_snapshot(
    *,
    workspace: str,
    generation: int,
    services: Mapping[str, ServicePolicy],
    routes: Iterable[Route],
    tenants: Iterable[Tenant] = (),
) -> Snapshot:
    """Build a snapshot with its digest; sort the routes by id and the tenants by name."""
    ordered = tuple(sorted(routes, key=itemgetter("id")))
    ordered_tenants = tuple(sorted(tenants, key=itemgetter("name")))
    snapshot = Snapshot(workspace, generation, "", dict(services), ordered, ordered_tenants)
    return snapshot._replace(digest=compute_digest(encode_snapshot(snapshot)))


def encode_snapshot(snapshot: Snapshot) -> dict[str, Any]:
    """Return the content that the digest covers, as stored in `blobs/<digest>`."""
    content = {
        "workspace": snapshot.workspace,
        "services": snapshot.services,
        "routes": snapshot.routes,
    }
    # Left out if empty, so that snapshots without tenants keep the digests of earlier releases.
    if snapshot.tenants:
        content["tenants"] = snapshot.tenants
    return content


def parse_snapshot(content: Any, *, generation: int, digest: str) -> Snapshot:
    """Read the content of `blobs/<digest>`; raise SnapshotError unless it is a valid snapshot."""
    known = {"tenants": (), **content} if isinstance(content, dict) else {}
    if set(known) != set(_Content._fields):
        raise MalformedSnapshotError("the snapshot is not an object with its keys")
    values = _convert_to_type([known[name] for name in _Content._fields], _Content)
    snapshot = Snapshot(values.workspace, generation, digest, *values[1:])
    check_snapshot(snapshot)
    return snapshot


def check_snapshot(snapshot: Snapshot) -> None:
    """Raise SnapshotError unless structure, digest and references of a snapshot are valid."""
    _check_structure(snapshot)
    digest = compute_digest(encode_snapshot(snapshot))
    if digest != snapshot.digest:
        raise DigestMismatchError(f"expected digest {snapshot.digest}, found {digest}")
    check_references(snapshot)


def check_references(snapshot: Snapshot) -> None:
    """Raise DanglingReferenceError when a route's service is not in the snapshot."""
    for route in snapshot.routes:
        services = {part["service"] for part in route.get("split", ())} | {route["service"]}
        for name in sorted(services - snapshot.services.keys()):
            raise DanglingReferenceError(
                f"route {route['id']} refers to service {name}, which does not exist"
            )


def compute_delta(base: Snapshot, target: Snapshot) -> Delta:
    """Return the delta that turns one snapshot into another."""
    base_routes = {route["id"]: route for route in base.routes}
    target_routes = {route["id"]: route for route in target.routes}
    base_tenants = {tenant["name"]: tenant for tenant in base.tenants}
    target_tenants = {tenant["name"]: tenant for tenant in target.tenants}
    return Delta(
        workspace=target.workspace,
        generation=target.generation,
        digest=target.digest,
        base_digest=base.digest,
        changed_services={
            name: policy
            for name, policy in target.services.items()
            if base.services.get(name) != policy
        },
        removed_services=tuple(sorted(base.services.keys() - target.services.keys())),
        changed_routes=tuple(
            route for key, route in target_routes.items() if base_routes.get(key) != route
        ),
        removed_routes=tuple(sorted(base_routes.keys() - target_routes.keys())),
        changed_tenants=tuple(
            tenant for key, tenant in target_tenants.items() if base_tenants.get(key) != tenant
        ),
        removed_tenants=tuple(sorted(base_tenants.keys() - target_tenants.keys())),
    )


def apply_delta(base: Snapshot, delta: Delta) -> Snapshot:
    """Return the snapshot that a delta describes; raise BaseMismatchError for another base.

    The result has the digest that the delta states; `decide_apply` verifies it.
    """
    if base.digest != delta.base_digest or base.workspace != delta.workspace:
        raise BaseMismatchError(
            f"the delta is for {delta.workspace} {delta.base_digest}, "
            f"the base is {base.workspace} {base.digest}"
        )
    delta = _convert_to_type(delta, Delta)
    services = {**base.services, **delta.changed_services}
    for name in delta.removed_services:
        services.pop(name, None)
    routes = {route["id"]: route for route in (*base.routes, *delta.changed_routes)}
    for route_id in delta.removed_routes:
        routes.pop(route_id, None)
    ordered = tuple(routes[route_id] for route_id in sorted(routes))
    tenants = {tenant["name"]: tenant for tenant in (*base.tenants, *delta.changed_tenants)}
    for name in delta.removed_tenants:
        tenants.pop(name, None)
    ordered_tenants = tuple(tenants[name] for name in sorted(tenants))
    return Snapshot(
        delta.workspace, delta.generation, delta.digest, services, ordered, ordered_tenants
    )


def reuse_routes(base: Snapshot, target: Snapshot) -> Snapshot:
    """Return the target with the route objects of the base where they are equal.

    Versions that are held at the same time then share most of their memory.
    """
    known = {route["id"]: route for route in base.routes}
    routes = []
    for route in target.routes:
        before = known.get(route["id"])
        routes.append(before if before is not None and before == route else route)
    return target._replace(routes=tuple(routes))


def decide_apply(current: Snapshot | None, offered: Snapshot, *, floor: int) -> ApplyDecision:
    """Decide whether a node replaces its snapshot by an offered one.

    A generation not above the current one is ignored. A generation below `floor`, the highest one
    that the node may have applied before a restart, is refused, and so is an invalid snapshot.
    """
    if current is not None and offered.generation <= current.generation:
        return ApplyDecision(ApplyOutcome.IGNORED)
    if offered.generation < floor:
        return _refuse(offered, "below-floor", f"the floor is generation {floor}")
    if current is not None and offered.workspace != current.workspace:
        return _refuse(offered, "workspace-mismatch", f"this node serves {current.workspace}")
    try:
        check_snapshot(offered)
    except SnapshotError as error:
        return _refuse(offered, error.code, error.detail)
    return ApplyDecision(ApplyOutcome.APPLIED)


def _refuse(offered: Snapshot, code: str, detail: str) -> ApplyDecision:
    return ApplyDecision(ApplyOutcome.REFUSED, Refusal(offered.generation, code, detail))


def _check_structure(snapshot: Snapshot) -> None:
    """Check that types are right, keys known, and routes sorted by unique ids."""
    # Conversion drops unknown keys, so a snapshot that has one differs from its converted form.
    if _convert_to_type(snapshot, Snapshot) != snapshot:
        raise MalformedSnapshotError("the snapshot has keys that this version does not know")
    ids = [route["id"] for route in snapshot.routes]
    if any(first >= second for first, second in itertools.pairwise(ids)):
        raise MalformedSnapshotError("the routes are not sorted by unique ids")
    names = [tenant["name"] for tenant in snapshot.tenants]
    if any(first >= second for first, second in itertools.pairwise(names)):
        raise MalformedSnapshotError("the tenants are not sorted by unique names")


def _convert_to_type(value: Iterable[Any], value_type: Any) -> Any:
    try:
        # msgspec does not check a value that is already an instance of the NamedTuple.
        return msgspec.convert(tuple(value), value_type)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MalformedSnapshotError(str(error)) from error
