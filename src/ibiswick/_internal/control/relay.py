"""Choose the snapshot updates for children, and gather changes into fewer messages."""

from __future__ import annotations

from collections import OrderedDict

from ..configuration.snapshots import Delta, apply_delta, compute_delta
from ..shared.errors import BaseMismatchError
from ..shared.records import Snapshot
from .messages import DeltaSnapshot, FullSnapshot

# A child that is further behind is sent the whole snapshot.
MAX_BASES = 4


def apply_update(update: FullSnapshot | DeltaSnapshot, *, base: Snapshot | None) -> Snapshot:
    """Return the snapshot that results from an update; raise SnapshotError if it is invalid.

    BaseMismatchError means that a difference is not based on `base`.
    """
    if isinstance(update, FullSnapshot):
        return Snapshot(*update)
    if base is None:
        raise BaseMismatchError("this node has no snapshot")
    return apply_delta(base, Delta(*update))


class SnapshotHistory:
    """Keep the newest snapshot of one workspace and a few older ones as bases of differences."""

    def __init__(self) -> None:
        self.current: Snapshot | None = None
        self._bases: OrderedDict[str, Snapshot] = OrderedDict()
        self._deltas: dict[str, DeltaSnapshot] = {}

    def advance(self, snapshot: Snapshot) -> bool:
        """Make a newer snapshot the current one; an older or equal one changes nothing."""
        if self.current is not None and snapshot.generation <= self.current.generation:
            return False
        self._deltas.clear()
        self._bases[snapshot.digest] = snapshot
        self._bases.move_to_end(snapshot.digest)
        self.current = snapshot
        while len(self._bases) > MAX_BASES + 1:
            self._bases.popitem(last=False)
        return True

    def keep_delta(self, delta: DeltaSnapshot) -> None:
        """Store a difference as received, to forward it unchanged."""
        if self.current is not None and delta.digest == self.current.digest:
            self._deltas[delta.base_digest] = delta

    def choose_update(self, generation: int, digest: str) -> FullSnapshot | DeltaSnapshot | None:
        """Return the update for a child that has a generation and digest; None if it lacks none."""
        current = self.current
        if current is None or current.generation <= generation:
            return None
        base = self._bases.get(digest)
        if base is None:
            return FullSnapshot(*current)
        if digest not in self._deltas:
            self._deltas[digest] = DeltaSnapshot(*compute_delta(base, current))
        return self._deltas[digest]


class BatchTimer:
    """Tell when to send changes: `gather_s` after the first, so that many share a message."""

    def __init__(self, *, gather_s: float) -> None:
        self._gather_s = gather_s
        self.due_at: float | None = None

    def schedule(self, now: float, *, at_once: bool = False) -> None:
        """Schedule the sending of a change."""
        due = now if at_once else now + self._gather_s
        self.due_at = due if self.due_at is None else min(self.due_at, due)

    def pop_due(self, now: float) -> bool:
        """Tell whether sending is due, and clear the schedule if so."""
        if self.due_at is None or now < self.due_at:
            return False
        self.due_at = None
        return True


def list_routed_services(snapshot: Snapshot | None) -> frozenset[str]:
    """Return the services that a snapshot's routes refer to."""
    if snapshot is None:
        return frozenset()
    return frozenset(route["service"] for route in snapshot.routes)
