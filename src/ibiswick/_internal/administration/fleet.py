"""Read the state of nodes that zone roots write to the platform."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Generic, NamedTuple, TypedDict, TypeVar

import msgspec

from ..shared.logs import EventLog
from ..shared.objectapi import Platform, StoredObject
from ..shared.records import Lease, Member, MemberState, RootReport
from .listings import read_all
from .status import Leases, LeaseTracker

T = TypeVar("T")

STATUS_PREFIX = "status/"
LEASE_PREFIX = "leases/"
NODE_PREFIX = "nodes/"
DRAIN_PREFIX = "live/drain/"
# Operators who wait for a change share one read of the platform for this long.
SHARED_READ_LIFETIME_S = 0.25


class DrainRequest(TypedDict):
    """Hold the drain request stored under `live/drain/<vm>`; it applies to one incarnation only."""

    vm: str
    incarnation: int
    author: str
    time: float


class ReportsAndLeases(NamedTuple):
    """Hold reports and leases that were read at the same time."""

    reports: list[RootReport]
    leases: Leases


class SharedRead(Generic[T]):
    """Share one read among concurrent callers and those that follow within `lifetime_s`."""

    def __init__(
        self,
        *,
        read: Callable[[], Awaitable[T]],
        lifetime_s: float = SHARED_READ_LIFETIME_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._read = read
        self._lifetime_s = lifetime_s
        self._clock = clock
        self._task: asyncio.Future[T] | None = None
        self._started_at = 0.0

    async def get(self) -> T:
        """Return a value that was read at most `lifetime_s` ago; errors are not cached."""
        task = self._task
        if task is None or self._is_stale(task):
            task = self._task = asyncio.ensure_future(self._read())
            self._started_at = self._clock()
        # A cancelled caller must not cancel the read that others wait for.
        return await asyncio.shield(task)

    def _is_stale(self, task: asyncio.Future[T]) -> bool:
        if not task.done():
            return False
        failed = task.cancelled() or task.exception() is not None
        return failed or self._clock() - self._started_at >= self._lifetime_s


class FleetReader:
    """Read reports, leases and members."""

    def __init__(self, *, platform: Platform, clock: Callable[[], float] = time.monotonic) -> None:
        self._platform = platform
        self._clock = clock
        self._tracker = LeaseTracker()
        self._shared_read = SharedRead(read=self._fetch_reports_and_leases, clock=clock)
        self._log = EventLog(component="fleet")

    async def read_reports_and_leases(self) -> ReportsAndLeases:
        """Return the reports and leases of zone roots, from a shared read."""
        return await self._shared_read.get()

    async def read_members(self) -> dict[str, Member]:
        """Return the newest record that any root has written of each VM."""
        members: dict[str, Member] = {}
        for item in await read_all(self._platform, NODE_PREFIX):
            for member in self._decode_members(item):
                known = members.get(member.vm)
                if known is None or _get_precedence(known) < _get_precedence(member):
                    members[member.vm] = member
        return members

    async def read_drain_requests(self) -> dict[str, DrainRequest]:
        """Return the drain requests by VM."""
        requests = {}
        for item in await read_all(self._platform, DRAIN_PREFIX):
            request = self._decode(item, DrainRequest)
            if request is not None:
                requests[request["vm"]] = request
        return requests

    async def _fetch_reports_and_leases(self) -> ReportsAndLeases:
        statuses, leases = await asyncio.gather(
            read_all(self._platform, STATUS_PREFIX), read_all(self._platform, LEASE_PREFIX)
        )
        reports = [self._decode(item, RootReport) for item in statuses]
        well_formed = [item for item in leases if self._decode(item, Lease) is not None]
        return ReportsAndLeases(
            [report for report in reports if report is not None],
            self._tracker.observe(well_formed, now=self._clock()),
        )

    def _decode_members(self, item: StoredObject) -> list[Member]:
        rows = item.value.get("members", []) if isinstance(item.value, dict) else []
        members = [self._decode(item._replace(value=row), Member) for row in rows]
        return [member for member in members if member is not None]

    def _decode(self, item: StoredObject, record_type: type[T]) -> T | None:
        """Convert a value written by a node; log a malformed one and return None."""
        try:
            return msgspec.convert(item.value, record_type)
        except msgspec.ValidationError as error:
            self._log.warn("object-ignored", key=item.key, detail=error)
            return None


def _get_precedence(member: Member) -> tuple[int, bool, int, bool]:
    """Return the sort key of a VM's records; the highest one is the newest.

    Leaving is final: within an incarnation, LEAVING outranks every other state, as in
    control/membership.py.
    """
    return (
        member.incarnation,
        member.state is MemberState.LEAVING,
        member.sequence,
        member.state is MemberState.LOST,
    )
