"""Open, accept and drive links to other nodes over websockets."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from ..shared.errors import MessageError
from ..shared.settings import Address
from ..shared.tls import Identity, parse_identity
from .messages import MAX_MESSAGE_BYTES, Message, decode_message, encode_message

# A peer that leaves more unread is disconnected; it joins again and is sent what it lacks.
MAX_QUEUED_BYTES = 4_000_000
OPEN_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 1.0
# Size of the mask in a frame's header; only clients send one.
MASK_BYTES = 4

_logger = logging.getLogger("ibiswick.links")
# Drops the library's messages on failed handshakes, which lack the format of the node's log.
_logger.addHandler(logging.NullHandler())
_logger.propagate = False

# Options of both ends of a link.
_OPTIONS: dict[str, Any] = {
    # Messages are too small to gain from compression, which takes memory for each link.
    "compression": None,
    # The `Heartbeat` messages detect silent peers.
    "ping_interval": None,
    "max_size": MAX_MESSAGE_BYTES,
    "open_timeout": OPEN_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "logger": _logger,
}


class LinkEvents(Protocol):
    """Receive the events of links."""

    def on_accepted(self, link: WebSocketLink) -> None:
        """Handle a link that a peer opened."""

    def on_opened(self, link: WebSocketLink) -> None:
        """Handle a link that this node opened."""

    def on_message(self, link: WebSocketLink, message: Message, size: int) -> None:
        """Handle a message."""

    def on_bad_message(self, link: WebSocketLink, error: MessageError) -> None:
        """Handle a message that could not be decoded."""

    def on_sent(self, message: Message, size: int) -> None:
        """Count a message that was sent."""

    def on_closed(self, link: WebSocketLink) -> None:
        """Handle a link that closed or could not be opened."""


class WebSocketLink:
    """Run one link; messages wait in a bounded queue while the peer does not read."""

    def __init__(self, events: LinkEvents, *, number: int, is_client: bool) -> None:
        self.number = number
        self.identity: Identity | None = None
        self.reason = ""
        # Whether nothing listened at the address.
        self.refused = False
        self._events = events
        self._mask_bytes = MASK_BYTES if is_client else 0
        self._connection: Connection | None = None
        self._queue: deque[tuple[Message, bytes]] = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._closing = False
        self._task: asyncio.Task[None] | None = None

    def open(self, address: Address, context: ssl.SSLContext | None) -> None:
        """Start to connect."""
        self._task = asyncio.ensure_future(self._run_client(address, context))

    async def run_server(self, connection: ServerConnection, *, secure: bool) -> None:
        """Serve a connection that a peer opened."""
        self._task = asyncio.current_task()
        self._connection = connection
        try:
            if self._read_identity(connection, secure):
                self._events.on_accepted(self)
                await self._run(connection)
        finally:
            self._events.on_closed(self)

    def send(self, message: Message) -> None:
        """Queue a message, or close the link if the queue is full because the peer is slow."""
        if self._closing:
            return
        raw = encode_message(message)
        self._queued_bytes += len(raw)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.abort("slow peer")
            return
        self._queue.append((message, raw))
        self._wake.set()

    def close(self, reason: str) -> None:
        """Close the link once the queued messages are sent."""
        self.reason = self.reason or reason
        self._closing = True
        self._wake.set()
        if self._connection is None and self._task is not None:
            self._task.cancel()

    def abort(self, reason: str) -> None:
        """Close the link at once and drop the queued messages."""
        self.reason = self.reason or reason
        self._closing = True
        self._queue.clear()
        if self._connection is not None:
            self._connection.transport.abort()
        elif self._task is not None:
            self._task.cancel()

    async def wait_closed(self) -> None:
        """Wait until the link is closed, for CLOSE_TIMEOUT_S at most."""
        if self._task is not None:
            await asyncio.wait([self._task], timeout=CLOSE_TIMEOUT_S)

    async def _run_client(self, address: Address, context: ssl.SSLContext | None) -> None:
        scheme = "ws" if context is None else "wss"
        try:
            connection = await connect(
                f"{scheme}://{address.host}:{address.port}/",
                ssl=context,
                **_OPTIONS,
                user_agent_header=None,
                proxy=None,
            )
            self._connection = connection
            if self._read_identity(connection, context is not None):
                self._events.on_opened(self)
                await self._run(connection)
        except (OSError, TimeoutError, WebSocketException) as error:
            self.refused = isinstance(error, ConnectionRefusedError)
            self.reason = self.reason or str(error)
        finally:
            self._events.on_closed(self)

    async def _run(self, connection: Connection) -> None:
        writer = asyncio.ensure_future(self._write(connection))
        try:
            async for raw in connection:
                self._handle_frame(raw)
        except ConnectionClosed as error:
            self.reason = self.reason or str(error)
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    def _handle_frame(self, raw: str | bytes) -> None:
        if self._closing:
            return
        try:
            if isinstance(raw, str):
                raise MessageError("the message is a text frame, expected a binary one")
            message = decode_message(raw)
        except MessageError as error:
            self._events.on_bad_message(self, error)
            return
        # Only servers receive masked frames.
        mask_bytes = MASK_BYTES - self._mask_bytes
        self._events.on_message(self, message, _measure_frame(raw) + mask_bytes)

    async def _write(self, connection: Connection) -> None:
        while True:
            while self._queue:
                message, raw = self._queue.popleft()
                await connection.send(raw)
                self._queued_bytes -= len(raw)
                self._events.on_sent(message, _measure_frame(raw) + self._mask_bytes)
            if self._closing:
                await connection.close()
                return
            self._wake.clear()
            await self._wake.wait()

    def _read_identity(self, connection: Connection, secure: bool) -> bool:
        """Read the identity in the peer's certificate; close a TLS link without one."""
        if not secure:
            return True
        tls = connection.transport.get_extra_info("ssl_object")
        self.identity = parse_identity(tls.getpeercert())
        if self.identity is None:
            self.abort("no identity in the certificate")
        return self.identity is not None


async def serve_links(
    address: Address,
    context: ssl.SSLContext | None,
    make_link: Callable[[], WebSocketLink],
) -> Server:
    """Listen for links of other nodes."""

    async def handle(connection: ServerConnection) -> None:
        await make_link().run_server(connection, secure=context is not None)

    return await serve(
        handle,
        address.host,
        address.port,
        ssl=context,
        server_header=None,
        **_OPTIONS,
    )


def _measure_frame(raw: bytes) -> int:
    """Return the size of a message and its frame header in bytes, without the mask."""
    size = len(raw)
    if size < 126:
        return size + 2
    return size + (4 if size < 2**16 else 10)
