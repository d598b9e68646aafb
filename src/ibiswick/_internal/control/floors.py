"""Decide the lowest generation that a restarted node may serve."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..configuration.snapshots import build_snapshot
from ..shared.records import Head, Lease, Manifest, Snapshot

RULE_HEAD = "head"
RULE_ROOTS = "roots"


class WorkspaceVersion(NamedTuple):
    """Identify the snapshot of a workspace in a committed head."""

    generation: int
    digest: str


class HeadIndex:
    """Hold the snapshot version of every workspace as of the newest head read.

    Heads are ordered by generation, so reading an older one changes nothing.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.workspaces: dict[str, WorkspaceVersion] = {}

    def needs_manifest(self, head: Head) -> bool:
        """Tell whether `recent` lacks changes after the index's generation."""
        oldest = min((change["generation"] for change in head["recent"]), default=None)
        if head["generation"] <= self.generation:
            return False
        return oldest is None or oldest > self.generation + 1

    def advance(self, head: Head) -> set[str]:
        """Apply the changes in `recent`; return the workspaces that changed."""
        if head["generation"] <= self.generation:
            return set()
        changed = set()
        for change in head["recent"]:
            if change["generation"] <= self.generation:
                continue
            for workspace, digest in change["snapshots"].items():
                self.workspaces[workspace] = WorkspaceVersion(change["generation"], digest)
                changed.add(workspace)
        self.generation = head["generation"]
        return changed

    def replace(self, head: Head, manifest: Manifest) -> set[str]:
        """Replace all versions by those of a manifest; return the workspaces that changed."""
        if head["generation"] <= self.generation:
            return set()
        old = self.workspaces
        self.workspaces = {
            name: WorkspaceVersion(entry["generation"], entry["snapshot"])
            for name, entry in manifest["workspaces"].items()
        }
        self.generation = head["generation"]
        return {name for name, value in self.workspaces.items() if old.get(name) != value}

    def find(self, workspace: str) -> WorkspaceVersion | None:
        """Return the version of a workspace's snapshot, or None before the first head.

        A workspace that the manifest does not list has an empty snapshot: its nodes may still have
        one from before the workspace was deleted in effect, and the empty one must replace it.
        """
        if workspace not in self.workspaces and self.generation > 0:
            empty = build_empty_snapshot(workspace, generation=self.generation)
            self.workspaces[workspace] = WorkspaceVersion(empty.generation, empty.digest)
        return self.workspaces.get(workspace)

    def get_generation(self, workspace: str) -> int:
        """Return the generation of a workspace's snapshot; 0 before the first head."""
        version = self.find(workspace)
        return 0 if version is None else version.generation


def build_empty_snapshot(workspace: str, *, generation: int) -> Snapshot:
    """Build the snapshot of a workspace that does not exist."""
    return build_snapshot(workspace=workspace, generation=generation, services={}, routes=())


def find_floor_from_roots(
    leases: Mapping[int, Lease], answers: Mapping[str, int], *, own_vm: str, own_generation: int
) -> int | None:
    """Return the highest generation of the listed roots, or None if it is not known of each.

    This root must be listed itself. A listed root that has not answered, or that answered -1
    because it is no root, may have sent out a newer generation, so there is no floor without it.
    """
    listed = {lease["vm"] for lease in leases.values()}
    if own_vm not in listed:
        return None
    highest = own_generation
    for vm in listed - {own_vm}:
        if answers.get(vm, -1) < 0:
            return None
        highest = max(highest, answers[vm])
    return highest
