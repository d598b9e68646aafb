"""Read the body of a request, whole when it is small and in parts otherwise."""

from __future__ import annotations

from collections.abc import AsyncIterator

from .serving import ServerRequest

# A body up to this size is kept, so that its call can be sent again.
MAX_REPLAY_BYTES = 64 * 1024


class RequestBody:
    """Hold the body of one request; `whole` tells that `start` is all of it.

    `received` tells that as much as may be kept has been read before it was due.
    """

    __slots__ = ("_request", "_streamed", "received", "start", "whole")

    def __init__(self, request: ServerRequest) -> None:
        self._request = request
        self.start = b""
        self.whole = True
        self.received = False
        self._streamed = False

    @property
    def replayable(self) -> bool:
        """Tell whether the whole body can still be sent (again)."""
        return self.whole or not self._streamed

    def take_start(self) -> bool:
        """Take over a body that has arrived as a whole; return False when it has not."""
        if not self._request.body_arrived:
            return False
        self.start = self._request.take()
        return True

    async def read_start(self, *, limit: int) -> None:
        """Read until the body ends or exceeds the limit in bytes."""
        request = self._request
        parts = [await request.read()]
        size = len(parts[0])
        while not request.at_end and size <= limit:
            parts.append(await request.read())
            size += len(parts[-1])
        self.start = b"".join(parts)
        self.whole = request.at_end

    async def stream(self) -> AsyncIterator[bytes]:
        """Return the body part by part, `start` first."""
        self._streamed = True
        if self.start:
            yield self.start
        while part := await self._request.read():
            yield part
