"""Keep HTTP/1.1 connections to other nodes and to the local backend server.

A connection carries one exchange at a time. It is reused only after an exchange that ended
completely and in order; after a timeout, a cancellation, a mismatched call id or bytes that belong
to no exchange it is closed, because a late response must never reach another call.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import ssl
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, NamedTuple, Protocol
from urllib.parse import urlsplit

import httptools

from ..shared.errors import (
    ConnectTimeoutError,
    ExchangeTimeoutError,
    NotSentError,
    ResponseLostError,
    SilentPathError,
)
from ..shared.logs import EventLog
from ..shared.objectapi import FetchResponse
from .callcounts import CallCounts
from .connects import COMMON_CAUSE_VMS, ConnectWatch
from .parts import Parts

CONNECT_TIMEOUT_S = 0.3
# A client of the object API has nowhere else to go; its handshake waits behind what fills the link.
FETCH_CONNECT_S = 1.0
DEFAULT_CONNECTIONS = 128
# Bytes of a response that may wait for their reader before the connection stops reading.
RESPONSE_HIGH_WATER_BYTES = 256 * 1024
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# Bytes of framing for each byte of content that a response may have; a chunk of one byte takes six.
MAX_FRAMING_RATIO = 8
# More digits than any length that is allowed has.
MAX_LENGTH_DIGITS = 18
MAX_FETCH_BODY_BYTES = 64 * 1024 * 1024
CONTINUE_STATUS = 100
MAX_STATUS = 599
SWEEP_INTERVAL_S = 1.0
# A request that is sent so shortly before the server's idle timeout may meet a closed connection.
IDLE_MARGIN_S = 0.5
# Unanswered connects are told in one line for each second.
CONNECT_LINE_S = 1.0

Headers = list[tuple[bytes, bytes]]

_log = EventLog(component="pool")


class ConnectionsBusyError(NotSentError):
    """Report that every allowed connection to an address was in use."""

    code = "connections-busy"


class Remote(NamedTuple):
    """Locate a server; `vm` is the name its certificate must carry, if any."""

    host: str
    port: int
    vm: str = ""


class Request(NamedTuple):
    """Hold a request; `head` ends with the empty line and announces the body's framing.

    `body` is sent with the head, already framed. `stream` follows it part by part; with
    `await_continue` it is not touched before the server has answered 100 (Continue).
    """

    head: bytes
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    chunked: bool = False
    is_head: bool = False
    await_continue: bool = False


class Limits(NamedTuple):
    """Limit one exchange.

    `deadline` is in monotonic seconds; the head of the response is due by `head_deadline` if that
    is given. With `idle_s` the exchange fails after that many seconds without a byte in either
    direction. `alive_within_s` allows only connections that received bytes within that time, or
    new ones. `call_id` must come back in the header `call_header` of the response; a response with
    another id answers an earlier call and is skipped if `skip_others` is set. Without a length, the
    body of a response is complete at the end of the connection if `until_close` is set. A response
    that announces more than `body_bytes` is refused at its head. A new connection is given up after
    `connect_s`.
    """

    deadline: float | None
    head_deadline: float | None = None
    idle_s: float | None = None
    alive_within_s: float | None = None
    call_id: bytes | None = None
    connections: int = DEFAULT_CONNECTIONS
    call_header: bytes = b"ibiswick-call"
    skip_others: bool = False
    until_close: bool = False
    body_bytes: int | None = None
    connect_s: float = CONNECT_TIMEOUT_S


class ExchangeResponse(Protocol):
    """Read the response of one exchange."""

    status: int
    headers: Headers

    @property
    def complete(self) -> bool:
        """Tell whether the whole body has arrived."""

    async def read(self) -> bytes:
        """Return the next part of the body, or nothing at its end; raise ResponseLostError."""

    def take(self) -> bytes:
        """Return what has arrived of the body, without waiting."""

    def close(self) -> None:
        """Give up the rest of the body, which cancels the exchange."""


class Exchange(Protocol):
    """Send a request and return its response once the head has arrived."""

    async def __call__(self, remote: Remote, request: Request, limits: Limits) -> ExchangeResponse:
        """Raise NotSentError, ResponseLostError or ExchangeTimeoutError."""


class Response(Parts):
    """Collect the response of one exchange."""

    __slots__ = (
        "_connection",
        "complete",
        "error",
        "has_head",
        "headers",
        "status",
    )

    def __init__(self, connection: Connection) -> None:
        super().__init__()
        self._connection = connection
        self.complete = False
        self.has_head = False
        self.error: ResponseLostError | None = None
        self.status = 0
        self.headers: Headers = []

    def add(self, part: bytes) -> None:
        """Keep a part of the body and stop the sender when the reader is slow."""
        self._parts.append(part)
        self._size += len(part)
        if self._size > RESPONSE_HIGH_WATER_BYTES:
            self._connection.pause_reading()

    async def wait_head(self) -> None:
        """Wait for the head; raise ResponseLostError when it will not come."""
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

    def take(self) -> bytes:
        """Return what has arrived of the body, without waiting."""
        if not self._parts:
            return b""
        body = self._join()
        if not self.complete:
            self._connection.resume_reading()
        return body

    async def read(self) -> bytes:
        """Return the next part of the body, or nothing at its end."""
        while True:
            if self._parts:
                return self.take()
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            await self._wait()

    def close(self) -> None:
        """Give up the rest of the body, which cancels the exchange."""
        if not self.complete:
            self._connection.fail(ResponseLostError("the exchange was cancelled"))


class Connection(asyncio.Protocol):
    """Carry one exchange at a time over one connection."""

    __slots__ = (
        "_bucket",
        "_content_bytes",
        "_continued",
        "_deadline",
        "_due",
        "_idle_s",
        "_is_head",
        "_limits",
        "_parser",
        "_reading_paused",
        "_received_bytes",
        "_response",
        "_sender",
        "_sent_at",
        "_skipping",
        "_surplus",
        "_timer",
        "_timer_at",
        "_transport",
        "_until_close",
        "_writable",
        "head_bytes",
        "idle_limit_s",
        "idle_since",
        "loop",
        "progress_at",
        "received_at",
    )

    def __init__(self, bucket: Bucket, loop: asyncio.AbstractEventLoop) -> None:
        self._bucket = bucket
        self.loop = loop
        self._parser: httptools.HttpResponseParser | None = None
        self._transport: asyncio.Transport | None = None
        self._response: Response | None = None
        self._sender: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._limits = Limits(None)
        self._continued: asyncio.Future[None] | None = None
        self._deadline: float | None = None
        self._due: float | None = None
        self._timer_at = 0.0
        self._idle_s: float | None = None
        self._is_head = False
        self._surplus = False
        # The response that arrives answers an earlier call.
        self._skipping = False
        # The end of the connection ends the body.
        self._until_close = False
        self._reading_paused = False
        self._sent_at = 0.0
        # Bytes received in the exchange, and those of them that are content of its response.
        self._received_bytes = 0
        self._content_bytes = 0
        self.head_bytes = 0
        self.received_at = 0.0
        self.progress_at = 0.0
        self.idle_since = 0.0
        # How long the server keeps the connection without a request, as it said last.
        self.idle_limit_s: float | None = None

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self.received_at = time.monotonic()

    def connection_lost(self, exc: Exception | None) -> None:
        self._bucket.forget(self)
        detail = f"the connection was lost: {exc or 'closed by the server'}"
        is_silent = isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT
        self.fail(SilentPathError(detail) if is_silent else ResponseLostError(detail))
        self._parser = None
        self.resume_writing()

    def pause_writing(self) -> None:
        self._writable = self.loop.create_future()

    def resume_writing(self) -> None:
        self.progress_at = time.monotonic()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        response = self._response
        if response is None or self._parser is None:
            # Nobody asked for these bytes; they would be taken for the next call's response.
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
            self._surplus = True
        if response.complete:
            self._finish(response)
        elif self._is_flooded():
            self.fail(ResponseLostError("more bytes than a response may have besides its content"))
        elif response.has_head:
            response.wake()

    def _is_flooded(self) -> bool:
        """Tell whether too much has come that is no content: framing, trailers, other responses."""
        allowed = MAX_RESPONSE_HEAD_BYTES + MAX_FRAMING_RATIO * self._content_bytes
        return self._received_bytes - self._content_bytes > allowed

    def eof_received(self) -> None:
        response = self._response
        if response is not None and response.has_head and self._until_close:
            response.complete = True
            self._surplus = True
            self._finish(response)

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._skipping = False
        response = self._response
        if response is None or response.complete:
            self._surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise ValueError("the response head is too large")
        response = self._response
        if response is None or response.complete or response.has_head or self._skipping:
            # Trailers are not passed on.
            return
        response.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        response, parser = self._response, self._parser
        if response is None or parser is None or response.complete:
            return
        status = parser.get_status_code()
        if status < 200:
            return
        if status > MAX_STATUS:
            raise ValueError(f"the status {status} does not exist")
        limits = self._limits
        call_id = None
        has_length = self._is_head or status in (204, 304)
        for name, value in response.headers:
            if name == b"content-length" or name == b"transfer-encoding":
                has_length = True
                self._check_length(name, value)
            elif name == b"keep-alive":
                self.idle_limit_s = parse_keep_alive(value)
            if name == limits.call_header:
                call_id = value
        if limits.skip_others and call_id is not None and call_id != limits.call_id:
            self._skip(response)
            return
        if limits.call_id is not None and call_id != limits.call_id and not limits.skip_others:
            raise ValueError("the response belongs to another call")
        if not has_length:
            if not limits.until_close:
                # The end of such a body cannot be told from a lost connection.
                raise ValueError("the response has no length")
            self._until_close = True
        response.status = status
        response.has_head = True
        if self._is_head:
            # The parser would wait for the body that the length announces.
            self._surplus = not parser.should_keep_alive() or self._surplus
            response.complete = True

    def _check_length(self, name: bytes, value: bytes) -> None:
        """Raise ValueError when a response announces more than may be kept."""
        limit = self._limits.body_bytes
        if limit is None or name != b"content-length" or self._is_head:
            return
        # The parser has checked that the value is a number.
        if int(value[:MAX_LENGTH_DIGITS]) > limit:
            raise ValueError(f"the response announces more than {limit} bytes")

    def _skip(self, response: Response) -> None:
        """Ignore a response to an earlier call; the one that is awaited may follow."""
        response.headers.clear()
        self._skipping = True
        self._surplus = True

    def on_body(self, body: bytes) -> None:
        if self._skipping:
            return
        response = self._response
        if response is None or response.complete:
            self._surplus = True
        else:
            self._content_bytes += len(body)
            response.add(body)

    def on_message_complete(self) -> None:
        response, parser = self._response, self._parser
        if response is None or parser is None or response.complete or self._skipping:
            return
        if not response.has_head:
            # An interim response (1xx); the final one follows.
            response.headers.clear()
            self._note_interim(parser.get_status_code())
            return
        response.complete = True
        if not parser.should_keep_alive():
            self._surplus = True

    def _note_interim(self, status: int) -> None:
        continued = self._continued
        if status == CONTINUE_STATUS and continued is not None and not continued.done():
            continued.set_result(None)

    # Exchange

    @property
    def usable(self) -> bool:
        """Tell whether the connection can carry an exchange."""
        return self._transport is not None and not self._transport.is_closing()

    def begin(self, request: Request, limits: Limits) -> Response:
        """Send a request and return the response that will be filled."""
        transport = self._transport
        if transport is None or transport.is_closing():
            raise NotSentError("the connection was closed before the request")
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._response = response = Response(self)
        self._limits = limits
        self._skipping = self._until_close = False
        self._is_head = request.is_head
        self._surplus = False
        self.head_bytes = self._received_bytes = self._content_bytes = 0
        now = time.monotonic()
        self._sent_at = self.progress_at = now
        self._idle_s = limits.idle_s
        self._deadline = limits.deadline
        if limits.idle_s is not None:
            self._arm(now + limits.idle_s, now)
        elif limits.deadline is not None:
            due = limits.deadline if limits.head_deadline is None else limits.head_deadline
            self._arm(due, now)
        transport.write(request.head + request.body if request.body else request.head)
        if request.stream is not None:
            self._continued = self.loop.create_future() if request.await_continue else None
            self._sender = self.loop.create_task(self._send(request.stream, request.chunked))
        return response

    async def _send(self, stream: AsyncIterator[bytes], chunked: bool) -> None:
        """Send a body as it comes, at the speed of the receiver."""
        if self._continued is not None:
            await self._continued
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
        if self._writable is not None:
            await asyncio.shield(self._writable)

    def _arm(self, due: float, now: float) -> None:
        """Set when the exchange expires.

        A timer that is already running is kept when it fires early enough: creating one for each
        exchange costs more than letting one fire now and then for nothing.
        """
        self._due = due
        if self._timer is not None:
            if self._timer_at <= due:
                return
            self._timer.cancel()
        self._timer_at = due
        self._timer = self.loop.call_later(max(0.0, due - now), self._check_time)

    def _check_time(self) -> None:
        self._timer = None
        due, response = self._due, self._response
        if due is None or response is None:
            return
        if self._idle_s is not None:
            due = self.progress_at + self._idle_s
        elif response.has_head and self._deadline is not None:
            # A response that has begun has the time up to the deadline of the whole call.
            due = self._deadline
        now = time.monotonic()
        if now < due:
            self._arm(due, now)
        else:
            self._expire()

    def _expire(self) -> None:
        self.fail(ExchangeTimeoutError("no complete response in time"))
        # A silent path tends to be silent for every connection that was opened over it.
        self._bucket.close_silent(since=self._sent_at)

    def _finish(self, response: Response) -> None:
        """End a complete exchange and give the connection back if it is clean."""
        self._due = None
        sender, self._sender = self._sender, None
        if sender is not None:
            # The server answered before the whole body was sent, so the rest must not follow.
            sender.cancel()
            self._surplus = True
        self._response = None
        self.resume_reading()
        if self._is_head:
            # The parser still waits for the body that the length announced.
            self._parser = None
        if self._surplus:
            self.abort()
        else:
            self._bucket.release(self)
        response.wake()

    def is_stale(self, *, now: float, idle_limit_s: float) -> bool:
        """Tell whether the server may close the connection before it reads another request."""
        if self.idle_limit_s is not None:
            idle_limit_s = min(idle_limit_s, self.idle_limit_s - IDLE_MARGIN_S)
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
        self._due = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._bucket.forget(self)
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Stop reading until the reader of the response catches up."""
        if not self._reading_paused and self.usable and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if self._reading_paused:
            self._reading_paused = False
            self.progress_at = time.monotonic()
            if self.usable and self._transport is not None:
                self._transport.resume_reading()

    def get_certificate(self) -> dict[str, Any] | None:
        """Return the certificate of the server."""
        if self._transport is None:
            return None
        return self._transport.get_extra_info("peercert")


def parse_keep_alive(value: bytes) -> float | None:
    """Return the seconds of the parameter `timeout` of a `Keep-Alive` header, if it has one.

    >>> parse_keep_alive(b"timeout=5, max=100"), parse_keep_alive(b"max=100")
    (5.0, None)
    """
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number[:6])
    return None


class ByteBudget:
    """Limit the bytes of bodies that a process collects at the same time.

    >>> budget = ByteBudget(limit=10)
    >>> budget.take(8), budget.take(8), budget.used
    (True, False, 8)
    """

    __slots__ = ("limit", "used")

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def take(self, size: int) -> bool:
        """Count bytes that are kept; return False if there is no room for them."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Count bytes that are no longer kept."""
        self.used -= size


async def read_whole(
    response: ExchangeResponse, *, limit: int, budget: ByteBudget | None = None
) -> bytes:
    """Read the rest of a body; raise ResponseLostError when it breaks off or exceeds a limit."""
    budget = budget or ByteBudget(limit=limit)
    parts: list[bytes] = []
    size = 0
    try:
        part = response.take() or await response.read()
        while part:
            if size + len(part) > limit or not budget.take(len(part)):
                response.close()
                raise ResponseLostError("the response body is too large")
            parts.append(part)
            size += len(part)
            part = await response.read()
    finally:
        budget.release(size)
    return b"".join(parts)


class Bucket:
    """Hold the connections to one remote."""

    __slots__ = ("_idle", "_open", "_waiting", "opening")

    def __init__(self) -> None:
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.opening = 0

    @property
    def size(self) -> int:
        """Return the number of open connections and of those being opened."""
        return len(self._open) + self.opening

    @property
    def idle(self) -> int:
        """Return the number of connections without an exchange."""
        return len(self._idle)

    def add(self, connection: Connection) -> None:
        """Count a new connection."""
        self._open.add(connection)

    def release(self, connection: Connection) -> None:
        """Keep a clean connection for the next exchange."""
        connection.idle_since = time.monotonic()
        self._idle.append(connection)
        self.wake_waiter()

    def forget(self, connection: Connection) -> None:
        """Drop a closed connection."""
        if connection in self._open:
            self._open.discard(connection)
            with contextlib.suppress(ValueError):
                self._idle.remove(connection)
            self.wake_waiter()

    def wake_waiter(self) -> None:
        """Wake the call that has waited longest for a connection."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def take(
        self, *, now: float, idle_limit_s: float, alive_within_s: float | None
    ) -> Connection | None:
        """Return the connection used last, if it is fresh enough."""
        while self._idle:
            connection = self._idle[-1]
            if not connection.usable or connection.is_stale(now=now, idle_limit_s=idle_limit_s):
                self._idle.pop()
                connection.abort()
                continue
            if alive_within_s is not None and now - connection.received_at > alive_within_s:
                return None
            return self._idle.pop()
        return None

    def close_oldest_idle(self) -> bool:
        """Close one idle connection to make room for a new one."""
        if not self._idle:
            return False
        self._idle[0].abort()
        return True

    def close_silent(self, *, since: float) -> None:
        """Close the idle connections that have received nothing since a moment."""
        for connection in [c for c in self._idle if c.received_at < since]:
            connection.abort()

    def close_expired(self, *, now: float, idle_limit_s: float) -> None:
        """Close the connections that were idle too long."""
        for connection in list(self._idle):
            if connection.is_stale(now=now, idle_limit_s=idle_limit_s):
                connection.abort()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.abort()

    async def wait_release(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        """Wait until a connection is released or closed; raise TimeoutError."""
        waiter = loop.create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except BaseException:
            if waiter.done() and not waiter.cancelled():
                self.wake_waiter()
            raise


class Pool:
    """Exchange requests and responses over kept connections.

    `idle_limit_s` must be shorter than the servers' keep-alive time, so that this side closes
    first and no request meets a connection that the server is closing. A connection on which sent
    bytes stay unacknowledged for `unacknowledged_s` is given up, whatever its deadline. With
    `probe_s`, one on which nothing has arrived for so many whole seconds is probed, so that a
    response which is awaited for long does not hide that the path has gone silent.
    """

    def __init__(
        self,
        *,
        idle_limit_s: float,
        ssl_context: ssl.SSLContext | None = None,
        check_certificate: Callable[[dict[str, Any] | None, Remote], bool] | None = None,
        unacknowledged_s: float | None = None,
        probe_s: int | None = None,
        counts: CallCounts | None = None,
        own_vm: str = "",
    ) -> None:
        self.connects = ConnectWatch()
        self._counts = counts or CallCounts()
        self._own_vm = own_vm
        self._told_at = 0.0
        self._unacknowledged_s = unacknowledged_s
        self._probe_s = probe_s
        self._idle_limit_s = idle_limit_s
        self._ssl = ssl_context
        self._check_certificate = check_certificate
        self._buckets: dict[Remote, Bucket] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._closed = False

    async def exchange(self, remote: Remote, request: Request, limits: Limits) -> Response:
        """Send a request and return its response once the head has arrived."""
        bucket = self._buckets.get(remote)
        if bucket is None:
            bucket = self._buckets[remote] = Bucket()
        connection = bucket.take(
            now=time.monotonic(),
            idle_limit_s=self._idle_limit_s,
            alive_within_s=limits.alive_within_s,
        )
        if connection is None:
            connection = await self._open(remote, bucket, limits)
        response = connection.begin(request, limits)
        await response.wait_head()
        return response

    async def _open(self, remote: Remote, bucket: Bucket, limits: Limits) -> Connection:
        """Open a connection, or wait for one when there are as many as allowed."""
        loop = asyncio.get_running_loop()
        while bucket.size >= limits.connections and not bucket.close_oldest_idle():
            timeout_s = _limit_wait(limits)
            try:
                await bucket.wait_release(loop, timeout_s)
            except TimeoutError:
                raise ConnectionsBusyError("every connection was in use") from None
            connection = bucket.take(
                now=time.monotonic(),
                idle_limit_s=self._idle_limit_s,
                alive_within_s=limits.alive_within_s,
            )
            if connection is not None:
                return connection
        return await self._connect(loop, remote, bucket, limits)

    async def _connect(
        self, loop: asyncio.AbstractEventLoop, remote: Remote, bucket: Bucket, limits: Limits
    ) -> Connection:
        if self._closed:
            raise NotSentError("the pool is closed")
        self._start_sweeper(loop)
        connection = Connection(bucket, loop)
        bucket.opening += 1
        opened = False
        started = time.monotonic()
        try:
            connect_s = self.connects.find_limit(limits.connect_s, now=started)
            async with asyncio.timeout(min(connect_s, _limit_wait(limits))):
                transport, _ = await loop.create_connection(
                    lambda: connection, remote.host, remote.port, ssl=self._ssl
                )
            self._limit_silence(transport)
            opened = True
            self._note_opened(remote, time.monotonic() - started)
        except TimeoutError:
            waited_s = time.monotonic() - started
            self._note_unanswered(remote, waited_s)
            own_fault = self.connects.is_own_fault(waited_s, now=time.monotonic())
            detail = f"connecting to {remote.host}:{remote.port} took too long"
            raise ConnectTimeoutError(detail, own_fault=own_fault) from None
        except (OSError, ssl.SSLError) as error:
            self._counts.observe(
                "ibiswick_connect_seconds", "result", "refused", time.monotonic() - started
            )
            raise NotSentError(f"cannot connect to {remote.host}:{remote.port}: {error}") from error
        finally:
            bucket.opening -= 1
            if opened:
                bucket.add(connection)
            else:
                connection.abort()
                bucket.wake_waiter()
        check = self._check_certificate
        if check is not None and not check(connection.get_certificate(), remote):
            connection.abort()
            raise NotSentError(f"{remote.host}:{remote.port} has the certificate of another node")
        return connection

    def _note_opened(self, remote: Remote, seconds: float) -> None:
        if not self._is_own(remote):
            self.connects.note_opened(seconds, now=time.monotonic())
        self._counts.observe("ibiswick_connect_seconds", "result", "opened", seconds)

    def _is_own(self, remote: Remote) -> bool:
        """Tell whether a connection stays on this VM, and so says nothing of its link."""
        return bool(remote.vm) and remote.vm == self._own_vm

    def _note_unanswered(self, remote: Remote, seconds: float) -> None:
        """Note a handshake that was given up, and tell when many are at once."""
        now = time.monotonic()
        self.connects.note_unanswered(remote.vm or remote.host, now=now)
        self._counts.observe("ibiswick_connect_seconds", "result", "unanswered", seconds)
        summary = self.connects.summarize(now=now)
        if summary.vms < COMMON_CAUSE_VMS or now - self._told_at < CONNECT_LINE_S:
            return
        self._told_at = now
        _log.warn(
            "connects-unanswered",
            unanswered=summary.unanswered,
            vms=summary.vms,
            opened=summary.opened,
            slowest_ms=int(summary.slowest_s * 1000),
            common_cause=self.connects.has_common_cause(now=now),
        )

    def _limit_silence(self, transport: asyncio.Transport) -> None:
        raw = transport.get_extra_info("socket")
        if raw is None:
            return
        if self._unacknowledged_s is not None:
            limit_ms = int(self._unacknowledged_s * 1000)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
        if self._probe_s is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self._probe_s)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self._probe_s)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)

    def _start_sweeper(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._sweeper is None:
            self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep, loop)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close what has been idle too long and forget remotes without connections."""
        self._sweeper = None
        now = time.monotonic()
        for remote, bucket in list(self._buckets.items()):
            bucket.close_expired(now=now, idle_limit_s=self._idle_limit_s)
            if bucket.size == 0:
                del self._buckets[remote]
        if self._buckets and not self._closed:
            self._start_sweeper(loop)

    def count_idle(self, remote: Remote) -> int:
        """Return the number of connections to a remote that carry no exchange."""
        bucket = self._buckets.get(remote)
        return bucket.idle if bucket is not None else 0

    def close(self) -> None:
        """Close every connection."""
        self._closed = True
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for bucket in self._buckets.values():
            bucket.close_all()


def _limit_wait(limits: Limits) -> float:
    if limits.deadline is None:
        return limits.idle_s if limits.idle_s is not None else CONNECT_TIMEOUT_S
    return max(0.0, limits.deadline - time.monotonic())


class PoolFetch:
    """Send requests of a client to the origin of a URL, such as that of the platform.

    A call fails after `timeout_s` without a byte, however long a large response takes as a whole.
    """

    def __init__(self, *, pool: Pool, base_url: str) -> None:
        parts = urlsplit(base_url)
        port = parts.port or (443 if parts.scheme == "https" else 80)
        self._pool = pool
        self._remote = Remote(parts.hostname or "", port)
        self._host = parts.netloc.rpartition("@")[2]

    async def __call__(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> FetchResponse:
        """Return the complete response; raise NotSentError, ResponseLostError or its subclass."""
        lines = [f"{method} {target} HTTP/1.1"]
        if "host" not in headers:
            lines.append(f"host: {self._host}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"content-length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        request = Request(head, body, is_head=method == "HEAD")
        limits = Limits(deadline=None, idle_s=timeout_s, connect_s=FETCH_CONNECT_S)
        response = await self._pool.exchange(self._remote, request, limits)
        content = await read_whole(response, limit=MAX_FETCH_BODY_BYTES)
        text = {name.decode("latin-1"): value.decode("latin-1") for name, value in response.headers}
        return FetchResponse(response.status, text, content)
