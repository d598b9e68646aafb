"""Send requests over HTTP/1.1 connections, and keep the connections to one server.

A connection carries one exchange at a time. It is reused only after an exchange that completed
without errors. After a timeout, a cancellation, a response with another id or bytes that belong
to no exchange it is closed, because a late response must never reach another call.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

import httptools

from ..shared.errors import (
    ExchangeTimeoutError,
    NotSentError,
    ResponseLostError,
    UnacknowledgedError,
)
from .buffering import FREE_BYTES
from .exchanges import ExchangeLimits, Headers, Request
from .kernelbuffers import count_unacknowledged
from .parts import BodyBuffer
from .pressure import BufferHold, Buffers
from .requests import MAX_JOINED_BYTES

# Reading pauses while more than this many bytes of a response's body are buffered.
RESPONSE_HIGH_WATER_BYTES = 256 * 1024
# Error responses that a connection may carry before it is replaced, as their ids are kept.
MAX_FAILED_IDS = 64
# The lowest status of a response after which a call may be sent to the same server again.
MIN_ERROR_STATUS = 400
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# Bytes of framing that a response may have for each byte of content; a chunk of one byte takes six.
MAX_FRAMING_RATIO = 8
# No allowed length has more digits.
MAX_CONTENT_LENGTH_DIGITS = 18
CONTINUE_STATUS = 100
MIN_STATUS = 100
MAX_STATUS = 599
# A request sent this shortly before the server's keep-alive time ends may meet a closed connection.
KEEP_ALIVE_MARGIN_S = 0.5


class Response(BodyBuffer):
    """Receive the response of one exchange."""

    __slots__ = (
        "_connection",
        "_hold",
        "complete",
        "error",
        "has_head",
        "headers",
        "status",
    )

    def __init__(self, connection: Connection) -> None:
        super().__init__()
        self._connection = connection
        # Counts the buffered bytes once there are many.
        self._hold: BufferHold | None = None
        self.complete = False
        self.has_head = False
        self.error: ResponseLostError | None = None
        self.status = 0
        self.headers: Headers = []

    def add(self, part: bytes) -> None:
        """Buffer a part of the body, and pause reading while the reader is slow."""
        self._append(part)
        buffers = self._connection.buffers
        if self._size_bytes > FREE_BYTES and buffers is not None:
            if self._hold is None:
                self._hold = BufferHold(buffers=buffers)
            self._hold.force(self._size_bytes - self._hold.size_bytes)
        if self._size_bytes > RESPONSE_HIGH_WATER_BYTES or (
            buffers is not None and buffers.is_over
        ):
            self._connection.pause_reading()

    async def wait_head(self) -> None:
        """Wait for the head; raise ResponseLostError if the exchange fails."""
        while not self.has_head:
            if self.error is not None:
                raise self.error
            await self._wait()

    async def _wait(self) -> None:
        self._waiter = waiter = self._connection.loop.create_future()
        try:
            await waiter
        except asyncio.CancelledError:
            self.close()
            raise

    def read_available(self) -> bytes:
        """Return the part of the body that has arrived, without waiting."""
        if not self._parts:
            return b""
        body = self._pop_all()
        if self._hold is not None:
            self._hold.release()
        if not self.complete:
            self._connection.resume_reading()
        return body

    async def read(self) -> bytes:
        """Return the next part of the body, or nothing at its end."""
        while True:
            if self._parts:
                return self.read_available()
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            await self._wait()

    def close(self) -> None:
        """Discard the rest of the body, which cancels the exchange."""
        if not self.complete:
            self._connection.fail(ResponseLostError("the exchange was cancelled"))


class Connection(asyncio.Protocol):
    """Carry one exchange at a time over one connection."""

    __slots__ = (
        "_began_at",
        "_connections",
        "_content_bytes",
        "_continue_waiter",
        "_deadline",
        "_expires_at",
        "_failed_ids",
        "_is_close_delimited",
        "_is_head",
        "_is_skipping",
        "_limits",
        "_not_reusable",
        "_parser",
        "_reading_paused",
        "_received_bytes",
        "_response",
        "_sender",
        "_stall_timeout_s",
        "_timer",
        "_timer_fires_at",
        "_transport",
        "_writable_waiter",
        "buffers",
        "head_bytes",
        "idle_since",
        "loop",
        "progress_at",
        "received_at",
        "server_keep_alive_s",
    )

    def __init__(self, connections: RemoteConnections, loop: asyncio.AbstractEventLoop) -> None:
        self._connections = connections
        self.buffers = connections.buffers
        self.loop = loop
        self._parser: httptools.HttpResponseParser | None = None
        self._transport: asyncio.Transport | None = None
        self._response: Response | None = None
        self._sender: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable_waiter: asyncio.Future[None] | None = None
        self._limits = ExchangeLimits(None)
        self._continue_waiter: asyncio.Future[None] | None = None
        self._deadline: float | None = None
        self._expires_at: float | None = None
        self._timer_fires_at = 0.0
        self._stall_timeout_s: float | None = None
        self._is_head = False
        self._not_reusable = False
        # The arriving response answers an earlier call and is ignored.
        self._is_skipping = False
        # The body has no length and ends when the server closes the connection.
        self._is_close_delimited = False
        self._reading_paused = False
        # Ids of the calls that got an error response on this connection.
        self._failed_ids: set[bytes] = set()
        self._began_at = 0.0
        # Bytes received during the exchange, and how many of them are content of its response.
        self._received_bytes = 0
        self._content_bytes = 0
        self.head_bytes = 0
        self.received_at = 0.0
        self.progress_at = 0.0
        self.idle_since = 0.0
        # How long the server keeps an idle connection open, by its last `Keep-Alive` header.
        self.server_keep_alive_s: float | None = None

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self.received_at = time.monotonic()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.forget(self)
        detail = f"the connection was lost: {exc or 'closed by the server'}"
        is_silent_path = isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT
        self.fail(UnacknowledgedError(detail) if is_silent_path else ResponseLostError(detail))
        self._parser = None
        self.resume_writing()

    def pause_writing(self) -> None:
        self._writable_waiter = self.loop.create_future()

    def resume_writing(self) -> None:
        self.progress_at = time.monotonic()
        if self._writable_waiter is not None and not self._writable_waiter.done():
            self._writable_waiter.set_result(None)
        self._writable_waiter = None

    def data_received(self, data: bytes) -> None:
        response = self._response
        if response is None or self._parser is None:
            # No request is in flight; these bytes would be taken for the next call's response.
            self.abort()
            return
        self.received_at = self.progress_at = time.monotonic()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail(ResponseLostError("the server switched protocols"))
        except httptools.HttpParserError as error:
            reason = error.__context__ or error
            if not response.complete:
                self.fail(ResponseLostError(f"malformed response: {reason}"))
            self._not_reusable = True
        if response.complete:
            self._finish(response)
        elif self._has_excess_bytes():
            self.fail(ResponseLostError("more bytes than a response may have besides its content"))
        elif response.has_head:
            response.wake()

    def _has_excess_bytes(self) -> bool:
        """Tell whether too much other than content came: framing, trailers, other responses."""
        allowed = MAX_RESPONSE_HEAD_BYTES + MAX_FRAMING_RATIO * self._content_bytes
        return self._received_bytes - self._content_bytes > allowed

    def eof_received(self) -> None:
        response = self._response
        if response is not None and response.has_head and self._is_close_delimited:
            if self._is_sending():
                # The server has not seen the whole request, so it has not chosen this end.
                self.fail(ResponseLostError("the server closed the connection during the request"))
                return
            response.complete = True
            self._not_reusable = True
            self._finish(response)

    def _is_sending(self) -> bool:
        """Tell whether a part of the request has not reached the server."""
        transport = self._transport
        if self._sender is not None or transport is None:
            return True
        return transport.get_write_buffer_size() > 0 or count_unacknowledged(transport) > 0

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._is_skipping = False
        response = self._response
        if response is None or response.complete:
            self._not_reusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise ValueError("the response head is too large")
        response = self._response
        if response is None or response.complete or response.has_head or self._is_skipping:
            # Trailers are not forwarded.
            return
        response.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        response, parser = self._response, self._parser
        if response is None or parser is None or response.complete:
            return
        status = parser.get_status_code()
        if status < MIN_STATUS:
            # Taken for an interim response, it would hold the call until its deadline.
            raise ValueError(f"the status {status:03} does not exist")
        if status < 200:
            return
        if status > MAX_STATUS:
            raise ValueError(f"the status {status} does not exist")
        limits = self._limits
        response_id = None
        has_length = self._is_head or status in (204, 304)
        for name, value in response.headers:
            if name == b"content-length" or name == b"transfer-encoding":
                has_length = True
                self._check_content_length(name, value)
            elif name == b"keep-alive":
                self.server_keep_alive_s = parse_keep_alive(value)
            if name == limits.id_header:
                response_id = value
        if (
            limits.skip_stale_responses
            and response_id is not None
            and response_id != limits.expected_id
        ):
            self._skip_response(response)
            return
        if (
            limits.expected_id is not None
            and response_id != limits.expected_id
            and not limits.skip_stale_responses
        ):
            raise ValueError("the response belongs to another call")
        if not has_length:
            if not limits.allow_close_delimited:
                # The end of such a body cannot be distinguished from a lost connection.
                raise ValueError("the response has no length")
            self._is_close_delimited = True
        response.status = status
        response.has_head = True
        if self._is_head:
            # The parser would wait for a body of the announced length.
            self._not_reusable = not parser.should_keep_alive() or self._not_reusable
            response.complete = True

    def _check_content_length(self, name: bytes, value: bytes) -> None:
        """Raise ValueError if a response announces a body over the limit."""
        limit = self._limits.max_body_bytes
        if limit is None or name != b"content-length" or self._is_head:
            return
        # The parser has checked that the value is a number.
        if int(value[:MAX_CONTENT_LENGTH_DIGITS]) > limit:
            raise ValueError(f"the response announces more than {limit} bytes")

    def _skip_response(self, response: Response) -> None:
        """Ignore a response to an earlier call; the awaited one may follow."""
        response.headers.clear()
        self._is_skipping = True
        self._not_reusable = True

    def on_body(self, body: bytes) -> None:
        if self._is_skipping:
            return
        response = self._response
        if response is None or response.complete:
            self._not_reusable = True
        else:
            self._content_bytes += len(body)
            response.add(body)

    def on_message_complete(self) -> None:
        response, parser = self._response, self._parser
        if response is None or parser is None or response.complete or self._is_skipping:
            return
        if not response.has_head:
            # An interim response (1xx); the final response follows.
            response.headers.clear()
            self._handle_interim(parser.get_status_code())
            return
        response.complete = True
        if not parser.should_keep_alive():
            self._not_reusable = True

    def _handle_interim(self, status: int) -> None:
        continue_waiter = self._continue_waiter
        if status == CONTINUE_STATUS and continue_waiter is not None and not continue_waiter.done():
            continue_waiter.set_result(None)

    # Exchange

    @property
    def is_open(self) -> bool:
        """Tell whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def begin(self, request: Request, limits: ExchangeLimits) -> Response:
        """Send a request and return its response, which is filled as data arrives."""
        transport = self._transport
        if transport is None or transport.is_closing():
            raise NotSentError("the connection was closed before the request")
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._response = response = Response(self)
        self._limits = limits
        self._is_skipping = self._is_close_delimited = False
        self._is_head = request.is_head
        self._not_reusable = False
        self.head_bytes = self._received_bytes = self._content_bytes = 0
        now = time.monotonic()
        self._began_at = self.progress_at = now
        self._stall_timeout_s = limits.stall_timeout_s
        self._deadline = limits.deadline
        if limits.stall_timeout_s is not None:
            self._set_timer(now + limits.stall_timeout_s, now)
        elif limits.deadline is not None:
            expires_at = limits.deadline if limits.head_deadline is None else limits.head_deadline
            self._set_timer(expires_at, now)
        if len(request.body) > MAX_JOINED_BYTES:
            # A copy of a large body would need its memory twice.
            transport.write(request.head)
            transport.write(request.body)
        else:
            transport.write(request.head + request.body if request.body else request.head)
        buffers = self.buffers
        if buffers is not None and limits.max_body_bytes is not None:
            # Messages of the control plane have no such limit, and are never held back.
            buffers.sources.add(self)
            if buffers.is_over:
                self.pause()
        if request.stream is not None:
            self._continue_waiter = self.loop.create_future() if request.await_continue else None
            self._sender = self.loop.create_task(self._send(request.stream, request.chunked))
        return response

    async def _send(self, stream: AsyncIterator[bytes], chunked: bool) -> None:
        """Send a body part by part, at the speed of the receiver."""
        if self._continue_waiter is not None:
            await self._continue_waiter
        try:
            async for part in stream:
                if not part:
                    continue
                self.progress_at = time.monotonic()
                if chunked:
                    part = b"%x\r\n%b\r\n" % (len(part), part)
                await self._write(part)
            if chunked:
                await self._write(b"0\r\n\r\n")
        except Exception as error:
            self.fail(ResponseLostError(f"the request body ended early: {error}"))
            return
        self._sender = None

    async def _write(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ConnectionError("the connection was closed")
        transport.write(data)
        if self._writable_waiter is not None:
            await asyncio.shield(self._writable_waiter)

    def _set_timer(self, expires_at: float, now: float) -> None:
        """Set when the exchange expires.

        A running timer that fires early enough is kept: creating one for each exchange costs more
        than an occasional early firing.
        """
        self._expires_at = expires_at
        if self._timer is not None:
            if self._timer_fires_at <= expires_at:
                return
            self._timer.cancel()
        self._timer_fires_at = expires_at
        self._timer = self.loop.call_later(max(0.0, expires_at - now), self._check_expiry)

    def _check_expiry(self) -> None:
        self._timer = None
        expires_at, response = self._expires_at, self._response
        if expires_at is None or response is None:
            return
        if self._stall_timeout_s is not None:
            expires_at = self.progress_at + self._stall_timeout_s
        elif response.has_head and self._deadline is not None:
            # A response that has begun may last until the deadline of the whole call.
            expires_at = self._deadline
        now = time.monotonic()
        if now < expires_at:
            self._set_timer(expires_at, now)
        else:
            self._expire()

    def _expire(self) -> None:
        self.fail(ExchangeTimeoutError("no complete response in time"))
        # A path that went silent usually did so for all connections that use it.
        self._connections.close_silent(since=self._began_at)

    def _finish(self, response: Response) -> None:
        """End a complete exchange, and return the connection to the pool if it is reusable."""
        self._expires_at = None
        sender, self._sender = self._sender, None
        if sender is not None:
            # The server answered before the whole body was sent; the rest must not follow.
            sender.cancel()
            self._not_reusable = True
        self._response = None
        if self.buffers is not None:
            self.buffers.sources.discard(self)
        self.resume_reading()
        self._note_failed_id(response.status)
        if self._is_head:
            # The parser still waits for a body of the announced length.
            self._parser = None
        if self._not_reusable:
            self.abort()
        else:
            self._connections.release(self)
        response.wake()

    def _note_failed_id(self, status: int) -> None:
        """Remember the id of a call that may be sent to this server again after an error."""
        limits = self._limits
        if status < MIN_ERROR_STATUS or not limits.skip_stale_responses:
            return
        if limits.expected_id is not None:
            self._failed_ids.add(limits.expected_id)
        if len(self._failed_ids) >= MAX_FAILED_IDS:
            self._not_reusable = True

    def may_carry(self, call_id: bytes | None) -> bool:
        """Tell whether a response on this connection can be matched to a call by its id.

        It can't if the call got an error response here before: the server may send a second copy of
        that response, which has the same id as the response to the next attempt.
        """
        return call_id not in self._failed_ids

    def is_stale(self, *, now: float, idle_limit_s: float) -> bool:
        """Tell whether the server may close the connection before it reads another request."""
        if self.server_keep_alive_s is not None:
            idle_limit_s = min(idle_limit_s, self.server_keep_alive_s - KEEP_ALIVE_MARGIN_S)
        return now - self.idle_since > idle_limit_s

    def fail(self, error: ResponseLostError) -> None:
        """End the exchange with an error and close the connection."""
        sender, self._sender = self._sender, None
        if sender is not None and sender is not asyncio.current_task(self.loop):
            sender.cancel()
        response, self._response = self._response, None
        if response is not None and not response.complete:
            response.error = error
            response.wake()
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        self._expires_at = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._connections.forget(self)
        if self.buffers is not None:
            self.buffers.sources.discard(self)
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Stop reading until `resume`, unless the response is being read."""
        if self._response is not None and not self._response.has_head:
            self.pause_reading()

    def resume(self) -> None:
        """Read again, unless the reader of the response has to catch up."""
        if self._response is not None and not self._response.has_head:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Pause reading until the reader of the response catches up."""
        if not self._reading_paused and self.is_open and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading after a pause."""
        if self._reading_paused:
            self._reading_paused = False
            self.progress_at = time.monotonic()
            if self.is_open and self._transport is not None:
                self._transport.resume_reading()

    def get_certificate(self) -> dict[str, Any] | None:
        """Return the certificate of the server."""
        if self._transport is None:
            return None
        return self._transport.get_extra_info("peercert")


def parse_keep_alive(value: bytes) -> float | None:
    """Return the seconds of the `timeout` parameter of a `Keep-Alive` header, if it has one.

    >>> parse_keep_alive(b"timeout=5, max=100"), parse_keep_alive(b"max=100")
    (5.0, None)
    """
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number[:6])
    return None


class RemoteConnections:
    """Hold the connections to one server."""

    __slots__ = ("_idle", "_open", "_waiters", "buffers", "opening")

    def __init__(self, *, buffers: Buffers | None = None) -> None:
        self.buffers = buffers
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()
        self._waiters: deque[asyncio.Future[None]] = deque()
        self.opening = 0

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open) + self.opening

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def add(self, connection: Connection) -> None:
        """Add a connection that has been opened."""
        self._open.add(connection)

    def release(self, connection: Connection) -> None:
        """Keep a reusable connection for the next exchange."""
        connection.idle_since = time.monotonic()
        self._idle.append(connection)
        self.wake_waiter()

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection."""
        if connection in self._open:
            self._open.discard(connection)
            with contextlib.suppress(ValueError):
                self._idle.remove(connection)
            self.wake_waiter()

    def wake_waiter(self) -> None:
        """Wake the call that has waited longest for a connection."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def acquire(
        self,
        *,
        now: float,
        idle_limit_s: float,
        reuse_within_s: float | None,
        call_id: bytes | None = None,
    ) -> Connection | None:
        """Return the most recently used idle connection that may carry a call, None without one."""
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if not connection.is_open or connection.is_stale(now=now, idle_limit_s=idle_limit_s):
                self._idle.pop(index)
                connection.abort()
                continue
            if reuse_within_s is not None and now - connection.received_at > reuse_within_s:
                return None
            if connection.may_carry(call_id):
                return self._idle.pop(index)
        return None

    def close_oldest_idle(self) -> bool:
        """Close the oldest idle connection to make room; return False if there is none."""
        if not self._idle:
            return False
        self._idle[0].abort()
        return True

    def close_silent(self, *, since: float) -> None:
        """Close the idle connections that have received nothing after `since`."""
        for connection in [c for c in self._idle if c.received_at < since]:
            connection.abort()

    def close_expired(self, *, now: float, idle_limit_s: float) -> None:
        """Close the connections that have been idle for too long."""
        for connection in list(self._idle):
            if connection.is_stale(now=now, idle_limit_s=idle_limit_s):
                connection.abort()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.abort()

    async def wait_release(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        """Wait until a connection is released or closed; raise TimeoutError if none is."""
        waiter = loop.create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except BaseException:
            if waiter.done() and not waiter.cancelled():
                self.wake_waiter()
            raise
