"""Define the records of roll-outs that several modules share."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple, Protocol


class RolloutState(StrEnum):
    """List the states of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Stage(NamedTuple):
    """Hold an order and how far it has been carried out.

    * `order_revision`: revision of the order before its first status; identifies the order.
    * `era`, `revision`: revision of the object with this status, and its era of the store.
    * `share`: share of the service's calls for the target version.
    * `halted`: a node stopped the traffic to the target version without writing the status.
    * `written`: the status has been written at least once.
    * `elapsed_s`: time from the order to the last write of the status.

    An empty `new_version` marks an order that has been deleted.
    """

    service: str
    new_version: str
    duration_s: float
    order_revision: int
    era: int
    revision: int
    state: RolloutState = RolloutState.RUNNING
    share: float = 0.0
    halted: bool = False
    written: bool = False
    elapsed_s: float = 0.0

    @property
    def order(self) -> tuple[int, int, bool]:
        """Return the key by which stages of one service are ordered from old to new."""
        return (self.era, self.revision, self.halted)

    @property
    def target_share(self) -> float:
        """Return the share of calls that may go to the target version."""
        if self.halted or self.state is RolloutState.ROLLED_BACK:
            return 0.0
        return 1.0 if self.state is RolloutState.COMPLETED else self.share


class Tally(NamedTuple):
    """Count the calls of one route at one backend server.

    `durations` counts successful calls by the bucket of their duration (see evidence.py).
    """

    calls: int
    failures: int
    durations: dict[int, int]


class Report(NamedTuple):
    """Hold what the node beside a backend server has observed since its process started.

    * `process_start_ms`: changes when the counts start again from zero.
    * `is_warm`: the time after its start in which the backend server is slow has passed.
    * `busy`: calls that run or wait there.
    * `quiet_s`: seconds since the last call arrived or ended.
    * `tallies`: by route, calls that started while the backend server was warm.
    """

    vm: str
    process_start_ms: int
    service: str
    version: str
    is_warm: bool
    slots: int
    busy: int
    quiet_s: float
    tallies: dict[str, Tally]


class RolloutDecoder(Protocol):
    """Translate between stages and the objects in which an operator orders roll-outs."""

    prefix: str

    def decode(self, key: str, spec: Any, status: Any, *, revision: int, era: int) -> Stage:
        """Decode an order and its status; raise InvalidInputError if the order is invalid."""

    def encode_status(self, stage: Stage) -> Any:
        """Encode the status of a stage."""
