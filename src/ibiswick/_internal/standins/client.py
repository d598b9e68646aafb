"""Make HTTP/1.1 calls on pooled connections, with little cost for each call."""

from __future__ import annotations

import asyncio
import collections
import itertools
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import httptools

# Longest start of a response body that is kept; the rest is only counted.
_MAX_KEPT_BODY_BYTES = 4096


class Response(NamedTuple):
    """Hold a complete response: the start of its body and the length of the whole body."""

    status: int
    headers: dict[bytes, bytes]
    body_start: bytes
    body_bytes: int


class NotConnectedError(Exception):
    """Report a call that was not sent, since no connection could be opened."""


class CutOffError(Exception):
    """Report a connection that was closed before the response was complete."""


class _Connection(asyncio.Protocol):
    """Carry one call at a time."""

    def __init__(self) -> None:
        self._writable = asyncio.Event()
        self._writable.set()
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._body_start = bytearray()
        self._body_bytes = 0
        self._done: asyncio.Future[Response] | None = None

    async def exchange(self, head: bytes, body: AsyncIterator[bytes] | None) -> Response:
        """Send a request and return its response; raise CutOffError if that is incomplete."""
        self._reset()
        self._done = asyncio.get_running_loop().create_future()
        if self.closed or self.transport is None:
            raise CutOffError("connection closed before the request")
        self.transport.write(head)
        if body is not None and not await self._send_body(body, self._done):
            # The response came before the end of the request, so the connection cannot be reused.
            response = await self._done
            self.close()
            return response
        return await self._done

    async def _send_body(self, body: AsyncIterator[bytes], done: asyncio.Future[Response]) -> bool:
        async for chunk in body:
            await self._writable.wait()
            if done.done() or self.transport is None:
                return False
            self.transport.write(chunk)
        return True

    @property
    def reusable(self) -> bool:
        """Return whether another call may use this connection."""
        return not self.closed and self._parser.should_keep_alive()

    def close(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(CutOffError(f"malformed response: {error}"))
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the call in progress."""
        self.closed = True
        self._writable.set()
        self._fail(CutOffError(f"connection closed: {error}"))

    def pause_writing(self) -> None:
        """Pause the request body until the peer has read more of it."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume the request body."""
        self._writable.set()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header (called by the parser)."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body and keep its start (called by the parser)."""
        self._body_bytes += len(body)
        if len(self._body_start) < _MAX_KEPT_BODY_BYTES:
            self._body_start += body[: _MAX_KEPT_BODY_BYTES - len(self._body_start)]

    def on_message_complete(self) -> None:
        """Finish the call with the response (called by the parser)."""
        if self._done is not None and not self._done.done():
            status = self._parser.get_status_code()
            self._done.set_result(
                Response(status, self._headers, bytes(self._body_start), self._body_bytes)
            )
            # Wakes `_send_body` if it waits for a peer that no longer reads.
            self._writable.set()

    def _fail(self, error: Exception) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_exception(error)
            # Marks the exception as retrieved, since a cancelled caller never reads it.
            self._done.exception()


class Client:
    """Make calls and keep idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[_Connection]] = collections.defaultdict(list)

    async def call(
        self,
        address: tuple[str, int],
        head: bytes,
        body: AsyncIterator[bytes] | None = None,
        *,
        timeout_s: float,
    ) -> Response:
        """Make one call; raise NotConnectedError, CutOffError or TimeoutError."""
        connection = await self._acquire_connection(address)
        try:
            async with asyncio.timeout(timeout_s):
                response = await connection.exchange(head, body)
        except BaseException:
            connection.close()
            raise
        if connection.reusable:
            self._idle[address].append(connection)
        else:
            connection.close()
        return response

    async def _acquire_connection(self, address: tuple[str, int]) -> _Connection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(_Connection, *address)
        except OSError as error:
            raise NotConnectedError(str(error)) from error
        return connection

    def close(self) -> None:
        """Close every idle connection."""
        for connection in itertools.chain.from_iterable(self._idle.values()):
            connection.close()
        self._idle.clear()


def build_head(
    method: str, path: str, *, host: str, request_id: str, length: int | None = None
) -> bytes:
    """Build the head of a request."""
    head = f"{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: {request_id}\r\n"
    if length is not None:
        head += f"content-length: {length}\r\n"
    return head.encode() + b"\r\n"
