"""Decide which snapshot this node applies and sends to its children."""

from __future__ import annotations

from ..configuration.snapshots import ApplyOutcome, decide_apply
from ..shared.errors import BaseMismatchError, SnapshotError
from ..shared.records import Refusal, Snapshot
from .context import Context
from .messages import DeltaSnapshot, FullSnapshot
from .relay import SnapshotHistory, apply_update


class Configuration:
    """Hold the newest valid snapshot and publish it once it is at or above the floor.

    A snapshot is applied, logged and sent on to children only when it is published.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.history = SnapshotHistory()
        self.held: Snapshot | None = None
        self.floor: int | None = None

    @property
    def generation(self) -> int:
        """Return the generation held; 0 without a snapshot."""
        return 0 if self.held is None else self.held.generation

    @property
    def digest(self) -> str:
        """Return the digest of the snapshot held."""
        return "" if self.held is None else self.held.digest

    def receive(self, message: FullSnapshot | DeltaSnapshot) -> bool:
        """Check a snapshot from the parent; return whether the whole one must be requested."""
        if isinstance(message, FullSnapshot):
            self.offer(Snapshot(*message))
            return False
        if message.generation <= self.generation:
            return False
        try:
            offered = apply_update(message, base=self.held)
        except SnapshotError as error:
            if not isinstance(error, BaseMismatchError):
                self._refuse(Refusal(message.generation, error.code, error.detail))
            return True
        outcome = self.offer(offered)
        self.history.keep_delta(message)
        return outcome is ApplyOutcome.REFUSED

    def offer(self, snapshot: Snapshot) -> ApplyOutcome:
        """Hold a snapshot if it is valid and newer."""
        decision = decide_apply(self.held, snapshot, floor=self.floor or 0)
        if decision.outcome is ApplyOutcome.APPLIED:
            self.held = snapshot
            self._publish()
        elif decision.refusal is not None:
            self._refuse(decision.refusal)
        else:
            self._ctx.log("debug", "snapshot-ignored", generation=snapshot.generation)
        return decision.outcome

    def set_floor(self, floor: int, rule: str) -> None:
        """Set the floor of this node; later calls have no effect."""
        if self.floor is not None:
            return
        self.floor = floor
        self._ctx.log("info", "floor-confirmed", floor=floor, rule=rule)
        self._publish()

    def _publish(self) -> None:
        snapshot = self.held
        if snapshot is None or self.floor is None or snapshot.generation < self.floor:
            return
        self.history.advance(snapshot)
        self._ctx.board.snapshot.set(snapshot)
        self._ctx.board.refusal.set(None)
        self._ctx.board.floor_confirmed.set(True)
        self._ctx.log(
            "info",
            "snapshot-applied",
            workspace=snapshot.workspace,
            generation=snapshot.generation,
            digest=snapshot.digest,
        )

    def _refuse(self, refusal: Refusal) -> None:
        self._ctx.board.refusal.set(refusal)
        self._ctx.log("warn", "snapshot-refused", **refusal._asdict())
