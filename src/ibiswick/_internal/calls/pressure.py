"""Drive the buffer ledger of a process: wait for room, hold back sources and close connections."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from ..shared.errors import IbiswickError
from ..shared.logs import EventLog
from .buffering import BufferAccount, BufferLedger, Holder
from .callcounts import CallCounts

# Used without `memory_mb` in the settings; the smallest VM gives a process 200 MB.
DEFAULT_MEMORY_MB = 200
# Memory of a process that is not for buffers: 30 MB after its start, 32 MB for the control plane at
# most, and the copies that joining the parts of a body takes for a moment.
RESERVED_MB = 72
# Half of the remaining memory holds counted bytes. The rest covers copies, the overhead of objects
# and what the allocator does not return.
BUFFER_SHARE = 0.5
# One answer of the largest size that a node buffers always fits.
MIN_BUFFER_BYTES = 9 * 1024 * 1024
BYTES_PER_MB = 1024 * 1024
# How long a response waits for room before it is given up.
ROOM_WAIT_S = 2.0
SWEEP_INTERVAL_S = 0.25
LOG_INTERVAL_S = 1.0
METRIC = "ibiswick_cut_total"

_log = EventLog(component="pressure")


class NoRoomError(IbiswickError):
    """Report that the buffers of the process stayed full."""

    code = "no-room"


class Source(Protocol):
    """Deliver bytes that the process has to buffer."""

    def pause(self) -> None:
        """Stop reading until `resume`, unless a reader makes room."""

    def resume(self) -> None:
        """Read again."""


def compute_buffer_limit(memory_mb: int) -> int:
    """Return the bytes that a process may buffer for others, given the memory of its VM.

    >>> [compute_buffer_limit(megabytes) // BYTES_PER_MB for megabytes in (0, 80, 200, 552)]
    [64, 9, 64, 240]
    """
    spare_mb = (memory_mb or DEFAULT_MEMORY_MB) - RESERVED_MB
    return max(MIN_BUFFER_BYTES, int(spare_mb * BUFFER_SHARE) * BYTES_PER_MB)


class Buffers:
    """Own the buffer ledger of one process."""

    def __init__(self, *, limit: int = 0, counts: CallCounts | None = None) -> None:
        self.ledger = BufferLedger(limit=limit or compute_buffer_limit(0))
        # Exchanges in flight, which are held back while more is buffered than allowed.
        self.sources: set[Source] = set()
        self.counts = counts or CallCounts()
        self._waiters: dict[int, asyncio.Future[None]] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._holds_back = False
        self._logged_at: dict[str, float] = {}

    @property
    def is_short(self) -> bool:
        """Tell whether no room is left for further calls."""
        return self.ledger.is_short

    @property
    def is_over(self) -> bool:
        """Tell whether more bytes are held than allowed."""
        return self.ledger.is_over

    def note_cut(self, reason: str) -> None:
        """Count something that was closed or refused, and log it at most once a second."""
        self.counts.add(METRIC, "reason", reason)
        now = time.monotonic()
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_at[reason] = now
            _log.warn(
                "client-cut",
                reason=reason,
                count=self.counts.get(METRIC, "reason", reason),
                buffered=self.ledger.used,
                limit=self.ledger.limit,
            )

    # Counting

    def open_account(self, holder: Holder) -> BufferAccount:
        """Return an account for one connection."""
        return BufferAccount(holder=holder)

    def set_held(self, account: BufferAccount, held_bytes: int) -> None:
        """Set the bytes that a connection holds."""
        self.ledger.set_held(account, held_bytes, now=time.monotonic())
        self._update()
        if held_bytes:
            self._start_sweeper()

    def force(self, size_bytes: int) -> None:
        """Count bytes that have arrived already, or that the node needs for itself."""
        self.ledger.force(size_bytes)
        self._update()

    def release(self, size_bytes: int) -> None:
        """Uncount bytes that are no longer buffered."""
        self.ledger.release(size_bytes)
        self._update()

    async def reserve(self, size_bytes: int) -> None:
        """Count bytes to be buffered, waiting for room; raise NoRoomError if there is none."""
        if self.ledger.reserve(size_bytes):
            return
        ticket = self.ledger.wait(size_bytes)
        waiter = self._waiters[ticket] = asyncio.get_running_loop().create_future()
        self._start_sweeper()
        try:
            async with asyncio.timeout(ROOM_WAIT_S):
                await waiter
        except BaseException as error:
            if waiter.done() and not waiter.cancelled():
                self.ledger.release(size_bytes)
            self.ledger.withdraw(ticket)
            self._update()
            if isinstance(error, TimeoutError):
                self.note_cut("no-room")
                raise NoRoomError("the buffers of this node are full") from None
            raise
        finally:
            del self._waiters[ticket]

    # Making room

    def _update(self) -> None:
        """Grant what fits now, and hold sources back or let them go."""
        ledger = self.ledger
        if self._waiters:
            for ticket, size_bytes in ledger.grant():
                waiter = self._waiters[ticket]
                if waiter.done():
                    # The call was cancelled but has not withdrawn yet.
                    ledger.release(size_bytes)
                else:
                    waiter.set_result(None)
        if ledger.is_over is not self._holds_back:
            self._holds_back = ledger.is_over
            for source in list(self.sources):
                if self._holds_back:
                    source.pause()
                else:
                    source.resume()

    def _start_sweeper(self) -> None:
        if self._sweeper is None:
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have to make room."""
        self._sweeper = None
        ledger = self.ledger
        now = time.monotonic()
        ledger.measure(now=now)
        for account in ledger.list_stalled(now=now):
            self._cut(account, "stalled")
        for account in ledger.list_closable(now=now):
            self._cut(account, "room")
        if ledger.accounts or self._waiters:
            self._start_sweeper()

    def _cut(self, account: BufferAccount, reason: str) -> None:
        self.note_cut(reason)
        account.holder.cut(reason)


class BufferHold:
    """Count the bytes of one body until it is released or dropped."""

    __slots__ = ("_buffers", "size_bytes")

    def __init__(self, *, buffers: Buffers) -> None:
        self._buffers = buffers
        self.size_bytes = 0

    async def grow(self, size_bytes: int) -> None:
        """Count more bytes, waiting for room; raise NoRoomError if there is none."""
        await self._buffers.reserve(size_bytes)
        self.size_bytes += size_bytes

    def force(self, size_bytes: int) -> None:
        """Count more bytes that have arrived already, or that the node needs for itself."""
        self._buffers.force(size_bytes)
        self.size_bytes += size_bytes

    def release(self) -> None:
        """Uncount everything."""
        size_bytes, self.size_bytes = self.size_bytes, 0
        if size_bytes:
            self._buffers.release(size_bytes)

    def __del__(self) -> None:
        # Attempts end in many ways; the bytes are gone when the last reference is.
        self.release()
