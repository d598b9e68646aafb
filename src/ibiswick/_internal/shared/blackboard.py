"""Hold the state that the controllers of a node share."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Generic, TypeVar

from .records import (
    BackendHealth,
    CallerLimits,
    Endpoint,
    HeldLease,
    LocalInstance,
    Phase,
    Refusal,
    Snapshot,
    VersionShare,
)
from .repeats import RepeatedRuns

T = TypeVar("T")


class Cell(Generic[T]):
    """Hold one value and notify the tasks that wait for its next change.

    >>> cell = Cell(1)
    >>> cell.set(2)
    >>> (cell.value, cell.version)
    (2, 1)
    >>> cell.set(2)
    >>> cell.version
    1
    """

    __slots__ = ("_changed", "value", "version")

    def __init__(self, value: T) -> None:
        self.value = value
        self.version = 0
        self._changed: asyncio.Event | None = None

    def set(self, value: T) -> None:
        """Replace the value; an equal value notifies no task."""
        if value == self.value:
            return
        self.value = value
        self.version += 1
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def wait_change(self, version: int) -> T:
        """Wait until the cell's version differs from the given one."""
        while self.version == version:
            if self._changed is None:
                self._changed = asyncio.Event()
            await self._changed.wait()
        return self.value


class Blackboard:
    """Hold every cell of one node; docs/design.md lists the writer of each."""

    def __init__(self) -> None:
        self.snapshot: Cell[Snapshot | None] = Cell(None)
        self.endpoints: Cell[Mapping[str, tuple[Endpoint, ...]]] = Cell({})
        self.caller_limits: Cell[CallerLimits] = Cell(CallerLimits())
        # Set only in deployments where backend servers announce themselves to their node.
        self.instance: Cell[LocalInstance | None] = Cell(None)
        # The backend server as an earlier process of this node announced it. This cell and the next
        # one are written by the direct plane.
        self.earlier_instance: Cell[LocalInstance | None] = Cell(None)
        # Whether the lookup of `earlier_instance` has ended, with or without a result.
        self.earlier_lookup_done: Cell[bool] = Cell(False)
        # Whether the object API responded when this process started, so that it had every departure
        # that an earlier process acknowledged.
        self.departures_known: Cell[bool] = Cell(False)
        # Priorities of the calls that run at the local backend server, by attempt id; written by
        # calls/inbound.py, which assigns the slots.
        self.running_call_priorities: dict[bytes, int] = {}
        # Those that are repeats, whose calls therefore count as repeats; written likewise.
        self.repeated_runs = RepeatedRuns()
        # The highest era of the object API's store in any response; 0 before the first response.
        self.store_era: Cell[int] = Cell(0)
        # Number of nodes in the fleet, including this one. Each node gets an equal share of the
        # limits for the whole fleet.
        self.fleet_size: Cell[int] = Cell(1)
        # Whether the object API has listed all nodes to this process. Before that, `fleet_size` may
        # be too small.
        self.members_listed: Cell[bool] = Cell(False)
        # Whether this node accepts calls from other nodes for its backend server. Set to False
        # while the node drains, only in deployments where backend servers announce themselves.
        self.accepts_peer_calls: Cell[bool] = Cell(True)
        # Time (monotonic seconds) by which a draining node stops.
        self.stop_at: Cell[float | None] = Cell(None)
        self.phase: Cell[Phase] = Cell(Phase.STARTING)
        self.backend: Cell[BackendHealth] = Cell(BackendHealth(True, "not observed yet"))
        self.in_flight: Cell[int] = Cell(0)
        self.refusal: Cell[Refusal | None] = Cell(None)
        self.drain_requested: Cell[bool] = Cell(False)
        self.lease: Cell[HeldLease | None] = Cell(None)
        # Set by the control plane or the direct plane once the snapshot is not below the floor, the
        # lowest generation that a restarted node may serve. The data plane serves calls only then.
        self.floor_confirmed: Cell[bool] = Cell(False)
        # By service, the share of calls for one version under a roll-out; written by
        # direct/rollouts.py.
        self.version_shares: Cell[Mapping[str, VersionShare]] = Cell({})
        # Whether the local backend server gets no calls until it is known whether a roll-out of its
        # version has been ordered; written by direct/rollouts.py.
        self.holds_back: Cell[bool] = Cell(False)
        # Set by the control plane once peers have had time to learn that this backend server is
        # leaving.
        self.leave_announced: Cell[bool] = Cell(False)
