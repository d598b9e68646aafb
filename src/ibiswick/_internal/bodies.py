"""Read the body of a request, whole when it is small and in parts otherwise."""

from __future__ import annotations

from collections.abc import AsyncIterator

from .serving import AbortResponseError, Receive

# A body up to this size is kept, so that its call can be sent again.
MAX_REPLAY_BYTES = 64 * 1024


class RequestBody:
    """Hold the body of one request; `whole` tells that `start` is all of it."""

    __slots__ = ("_receive", "_streamed", "start", "whole")

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self.start = b""
        self.whole = True
        self._streamed = False

    @property
    def replayable(self) -> bool:
        """Tell whether the whole body can still be sent (again)."""
        return self.whole or not self._streamed

    async def read_start(self, *, limit: int) -> None:
        """Read until the body ends or exceeds the limit in bytes."""
        message = await self._receive()
        self._check(message)
        if not message["more_body"]:
            self.start = message["body"]
            return
        parts = [message["body"]]
        size = len(parts[0])
        while message["more_body"] and size <= limit:
            message = await self._receive()
            self._check(message)
            parts.append(message["body"])
            size += len(message["body"])
        self.start = b"".join(parts)
        self.whole = not message["more_body"]

    async def stream(self) -> AsyncIterator[bytes]:
        """Return the body part by part, `start` first."""
        self._streamed = True
        if self.start:
            yield self.start
        more = True
        while more:
            message = await self._receive()
            self._check(message)
            more = message["more_body"]
            if message["body"]:
                yield message["body"]

    @staticmethod
    def _check(message: dict[str, object]) -> None:
        if message["type"] != "http.request":
            raise AbortResponseError("the caller left")
