"""Hold the configuration in effect on a node of the direct plane."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..configuration.snapshots import ApplyOutcome, decide_apply, reuse_routes
from ..control.messages import DeltaSnapshot, FullSnapshot
from ..control.relay import SnapshotHistory, apply_update
from ..shared.blackboard import Blackboard
from ..shared.errors import BaseMismatchError, IbiswickError, SnapshotError
from ..shared.logs import EventLog
from ..shared.records import CallerLimits, Snapshot

# From this many routes and tenants on, the transfer of a configuration takes a noticeable part of
# the capacity of a slow link.
LARGE_ENTRY_COUNT = 800

_log = EventLog(component="direct")


class Configuration(NamedTuple):
    """Hold the decoded configuration of an operator."""

    snapshot: Snapshot
    limits: CallerLimits


class ConfigurationDecoder(Protocol):
    """Decode the configuration object that an operator has written."""

    def __call__(self, value: Any) -> Configuration:
        """Raise IbiswickError when the value is not a valid configuration."""


class ConfigurationHolder:
    """Apply newer configurations from any source and publish them on the blackboard."""

    def __init__(self, *, board: Blackboard, decode: ConfigurationDecoder) -> None:
        self._board = board
        self._decode = decode
        self.history = SnapshotHistory()
        # Set when a received update could not be applied; other nodes are then asked for a full
        # snapshot.
        self._needs_full_snapshot = False

    @property
    def generation(self) -> int:
        """Return the generation in effect, 0 without a configuration."""
        current = self.history.current
        return current.generation if current is not None else 0

    @property
    def delta_base_digest(self) -> str:
        """Return the digest that a delta may have as its base, or "" to request a full snapshot."""
        current = self.history.current
        return current.digest if current is not None and not self._needs_full_snapshot else ""

    @property
    def is_large(self) -> bool:
        """Tell whether only readers should read the configuration from the object API."""
        current = self.history.current
        if current is None:
            return False
        return len(current.routes) + len(current.tenants) >= LARGE_ENTRY_COUNT

    def apply_document(self, value: Any, *, source: str) -> None:
        """Apply an operator's configuration if it is valid and newer than the one in effect."""
        try:
            snapshot, limits = self._decode(value)
        except IbiswickError as error:
            _log.warn("configuration-refused", source=source, code=error.code, detail=error)
            return
        current = self.history.current
        if current is None:
            self._apply(snapshot, limits, source)
        elif snapshot.generation > current.generation:
            self._apply(reuse_routes(current, snapshot), limits, source)
        elif snapshot.digest != current.digest:
            # The store was restored from an older copy, or a generation was assigned twice.
            _log.warn(
                "configuration-older",
                source=source,
                generation=snapshot.generation,
                current=current.generation,
                digest=snapshot.digest,
            )

    def apply_update(
        self, update: FullSnapshot | DeltaSnapshot, limits: CallerLimits, *, source: str
    ) -> None:
        """Apply an update that another node has sent, if it is newer and valid."""
        current = self.history.current
        if current is not None and update.generation <= current.generation:
            return
        try:
            snapshot = apply_update(update, base=current)
        except BaseMismatchError as error:
            # A newer configuration has come from another node; the next request names that one.
            _log.info("configuration-ignored", source=source, detail=error.detail)
            return
        except SnapshotError as error:
            self._refuse(source, error.code, error.detail)
            return
        decision = decide_apply(current, snapshot, floor=0)
        if decision.outcome is ApplyOutcome.APPLIED:
            self._apply(snapshot, limits, source)
        elif decision.refusal is not None:
            self._refuse(source, decision.refusal.code, decision.refusal.detail)

    def _refuse(self, source: str, code: str, detail: str) -> None:
        self._needs_full_snapshot = True
        _log.warn("configuration-refused", source=source, code=code, detail=detail)

    def _apply(self, snapshot: Snapshot, limits: CallerLimits, source: str) -> None:
        before = self.generation
        self.history.advance(snapshot)
        self._needs_full_snapshot = False
        self._board.caller_limits.set(limits)
        self._board.snapshot.set(snapshot)
        self._board.floor_confirmed.set(True)
        _log.info(
            "configuration-applied",
            generation=snapshot.generation,
            before=before,
            source=source,
            routes=len(snapshot.routes),
        )
