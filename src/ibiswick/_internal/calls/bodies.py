"""Read the body of a request: at once if it is small, in parts otherwise."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from .buffering import FREE_BYTES
from .parts import append_part, join_parts
from .pressure import BufferHold
from .requests import ServerRequest

# A body up to this size is kept in memory, so that its call can be sent again.
MAX_REPLAY_BYTES = 64 * 1024
# Share of a link's rate that bodies may use, so that small messages do not wait behind them.
BODY_LINK_SHARE = 0.7
# Smallest part of a paced body. On a fast link, a part is what is due within PART_DURATION_S.
MIN_PART_BYTES = 4 * 1024
PART_DURATION_S = 0.01


class RequestBody:
    """Hold the body of one request.

    Attributes:
        buffered: the part read so far.
        is_complete: `buffered` is the whole body.
        received_early: the body was read, up to the buffer limit, before its call got a slot.
    """

    __slots__ = (
        "_hold",
        "_request",
        "_streaming_started",
        "buffered",
        "is_complete",
        "received_early",
    )

    def __init__(self, request: ServerRequest, *, hold: BufferHold | None = None) -> None:
        self._request = request
        # Counts the buffered bytes.
        self._hold = hold
        self.buffered = b""
        self.is_complete = True
        self.received_early = False
        self._streaming_started = False

    @property
    def replayable(self) -> bool:
        """Tell whether the whole body can still be sent, for the first time or again."""
        return self.is_complete or not self._streaming_started

    def take_arrived(self) -> bool:
        """Buffer the body if all of it has arrived; return False otherwise."""
        if not self._request.body_arrived:
            return False
        self.buffered = self._request.read_available()
        if self._hold is not None and len(self.buffered) > FREE_BYTES:
            self._hold.force(len(self.buffered))
        return True

    async def fill_buffer(self, *, limit: int) -> None:
        """Buffer the body until it ends or exceeds the limit in bytes; raise NoRoomError."""
        request = self._request
        parts: list[bytes | bytearray] = []
        size = 0
        while True:
            part = await request.read()
            if self._hold is not None and part:
                await self._hold.grow(len(part))
            append_part(parts, part)
            size += len(part)
            if request.at_end or size > limit:
                break
        self.buffered = join_parts(parts)
        self.is_complete = request.at_end

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body, `buffered` first."""
        self._streaming_started = True
        if self.buffered:
            yield self.buffered
        while part := await self._request.read():
            yield part


def find_lowest_known_rate(*rates: int) -> int:
    """Return the lowest of the rates that are known (not 0), or 0 if none is.

    >>> find_lowest_known_rate(0, 625_000, 312_500), find_lowest_known_rate(0, 0)
    (312500, 0)
    """
    return min((rate for rate in rates if rate > 0), default=0)


async def pace_parts(
    parts: AsyncIterator[bytes], *, link_bytes_per_s: float
) -> AsyncIterator[bytes]:
    """Split and delay parts so that they use a share of a link.

    With an unknown rate (0), the parts stay as they are.
    """
    rate_bytes_per_s = link_bytes_per_s * BODY_LINK_SHARE
    part_bytes = max(MIN_PART_BYTES, int(rate_bytes_per_s * PART_DURATION_S))
    pause_s = 0.0
    async for part in parts:
        if rate_bytes_per_s <= 0:
            yield part
            continue
        for start in range(0, len(part), part_bytes):
            if pause_s:
                await asyncio.sleep(pause_s)
            piece = part[start : start + part_bytes]
            yield piece
            pause_s = len(piece) / rate_bytes_per_s
