"""Compute where a change is in effect, and where it is not."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from ..shared.objectapi import StoredObject
from ..shared.records import Head, Lease, Manifest, NodeException, RootReport

# Holders renew leases every 2 s and are replaced after 6 s. A lease that this process has seen
# unchanged for longer belongs to an availability zone in which no node can reach the platform.
LEASE_EXPIRY_S = 15.0
# After a longer gap between observations, the age of every lease is counted from zero. Clients that
# wait until a change is in effect request the status at least once per second.
MAX_OBSERVATION_GAP_S = 5.0


class WorkspaceStatus(NamedTuple):
    """Count the nodes of one workspace on which a change is in effect."""

    # Lowest generation that the nodes must have applied.
    generation: int
    nodes: int
    in_effect: int
    # Nodes behind that the reports list; `behind` may count more.
    exceptions: tuple[NodeException, ...]

    @property
    def behind(self) -> int:
        """Return the number of nodes on which the change is not in effect."""
        return self.nodes - self.in_effect


class RootStatus(NamedTuple):
    """Hold the head generation that a zone root reported, None before its first report."""

    vm: str
    availability_zone: str
    index: int
    epoch: int
    head_generation: int | None


class ChangeStatus(NamedTuple):
    """Describe where a generation is in effect."""

    generation: int
    head_generation: int
    complete: bool
    nodes: int
    in_effect: int
    workspaces: dict[str, WorkspaceStatus]
    roots: int
    # Roots that have not reported the generation.
    roots_behind: tuple[RootStatus, ...]
    # Roots that no longer renew their leases; their nodes are not counted.
    roots_expired: tuple[RootStatus, ...]


LeaseKey = tuple[str, int]


def compute_status(
    generation: int,
    head: Head,
    manifest: Manifest,
    reports: list[RootReport],
    leases: Mapping[LeaseKey, Lease],
    *,
    workspace_names: Collection[str] | None = None,
    expired: Mapping[LeaseKey, Lease] | None = None,
) -> ChangeStatus:
    """Compute the status of a generation from the reports of the roots that hold a lease.

    `leases` maps availability zone and index to the current leases. `expired` does so for leases
    that are no longer renewed; they are listed in the result and have no other effect.
    `workspace_names` defaults to the workspaces that `head` lists for the generation, or to all
    workspaces if `head` no longer lists the generation.
    """
    current = _select_current_reports(reports, leases)
    names = (
        list_changed_workspaces(generation, head, manifest)
        if workspace_names is None
        else workspace_names
    )
    workspaces = {
        name: _compute_workspace_status(
            name, _get_required_generation(generation, manifest, name), current
        )
        for name in sorted(names)
    }
    behind = _list_roots_behind(generation, current, leases)
    nodes = sum(status.nodes for status in workspaces.values())
    in_effect = sum(status.in_effect for status in workspaces.values())
    complete = generation <= head["generation"] and not behind and nodes == in_effect
    return ChangeStatus(
        generation=generation,
        head_generation=head["generation"],
        complete=complete,
        nodes=nodes,
        in_effect=in_effect,
        workspaces=workspaces,
        roots=len(leases),
        roots_behind=behind,
        roots_expired=_build_root_statuses(
            _select_current_reports(reports, expired or {}), expired or {}
        ),
    )


def _select_current_reports(
    reports: Iterable[RootReport], leases: Mapping[LeaseKey, Lease]
) -> dict[LeaseKey, RootReport]:
    """Return the reports of the current lease holders; other reports may be outdated."""
    current = {}
    for report in reports:
        key = (report["availability_zone"], report["index"])
        lease = leases.get(key)
        if lease and (lease["vm"], lease["epoch"]) == (report["vm"], report["epoch"]):
            current[key] = report
    return current


def list_changed_workspaces(generation: int, head: Head, manifest: Manifest) -> list[str]:
    """Return the workspaces that a generation changed, or all if the head no longer lists it."""
    for change in head["recent"]:
        if change["generation"] == generation:
            return list(change["snapshots"])
    return list(manifest["workspaces"])


def _get_required_generation(generation: int, manifest: Manifest, name: str) -> int:
    """Return the generation that nodes must have applied; 0 for a workspace that was removed."""
    workspace = manifest["workspaces"].get(name)
    return 0 if workspace is None else min(generation, workspace["generation"])


def _compute_workspace_status(
    name: str, required_generation: int, current: Mapping[LeaseKey, RootReport]
) -> WorkspaceStatus:
    nodes = 0
    in_effect = 0
    exceptions: list[NodeException] = []
    for report in current.values():
        workspace = report["workspaces"].get(name)
        if workspace is None:
            continue
        nodes += workspace["total"]
        in_effect += sum(
            count
            for applied, count in workspace["generations"].items()
            if int(applied) >= required_generation
        )
        exceptions += [
            item for item in workspace["exceptions"] if item["generation"] < required_generation
        ]
    exceptions.sort(key=lambda item: item["vm"])
    return WorkspaceStatus(required_generation, nodes, in_effect, tuple(exceptions))


def _list_roots_behind(
    generation: int, current: Mapping[LeaseKey, RootReport], leases: Mapping[LeaseKey, Lease]
) -> tuple[RootStatus, ...]:
    return tuple(
        root
        for root in _build_root_statuses(current, leases)
        if root.head_generation is None or root.head_generation < generation
    )


def _build_root_statuses(
    reports: Mapping[LeaseKey, RootReport], leases: Mapping[LeaseKey, Lease]
) -> tuple[RootStatus, ...]:
    roots = []
    for key, lease in sorted(leases.items()):
        report = reports.get(key)
        reported = None if report is None else report["head_generation"]
        roots.append(RootStatus(lease["vm"], *key, lease["epoch"], reported))
    return tuple(roots)


class Leases(NamedTuple):
    """Group leases by whether their holders still renew them."""

    current: dict[LeaseKey, Lease]
    expired: dict[LeaseKey, Lease]


class LeaseTracker:
    """Separate current leases from those that are no longer renewed.

    After a gap of more than `MAX_OBSERVATION_GAP_S` between observations, the age of every lease is
    counted from zero: right after a platform outage all leases are unchanged, although their
    holders are about to renew them.
    """

    def __init__(self) -> None:
        # Maps the key of a lease to its version and the time at which that was first observed.
        self._last_changes: dict[str, tuple[int, float]] = {}
        self._observed_at = -math.inf

    def observe(self, objects: Iterable[StoredObject], *, now: float) -> Leases:
        """Group leases by whether their version changed within `LEASE_EXPIRY_S`."""
        previous = self._last_changes if now - self._observed_at <= MAX_OBSERVATION_GAP_S else {}
        self._observed_at = now
        self._last_changes = {}
        leases = Leases({}, {})
        for item in objects:
            version, unchanged_since = previous.get(item.key, (item.version, now))
            unchanged_since = unchanged_since if version == item.version else now
            self._last_changes[item.key] = (item.version, unchanged_since)
            group = leases.current if now - unchanged_since <= LEASE_EXPIRY_S else leases.expired
            _, availability_zone, index = item.key.split("/")
            group[availability_zone, int(index)] = item.value
        return leases
