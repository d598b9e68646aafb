"""Serve HTTP/1.1 with httptools in the node's own event loop.

A connection sends its responses in the order of the requests. The listener limits how many requests
of a connection are served at once; the others wait, and reading pauses until they are started.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import httptools

from ..shared.logs import EventLog
from ..shared.records import CallerLimits
from .buffering import FREE_BYTES
from .kernelbuffers import count_unacknowledged
from .pressure import Buffers
from .requests import (
    REQUEST_HIGH_WATER_BYTES,
    STATUS_LINES,
    AbortResponseError,
    ServerRequest,
    encode_problem,
    read_problem_detail,
)

__all__ = [
    "REQUEST_HIGH_WATER_BYTES",
    "AbortResponseError",
    "Listener",
    "ServerConnection",
    "ServerRequest",
    "encode_problem",
    "read_problem_detail",
]

DEFAULT_LIMITS = CallerLimits()
KEEP_ALIVE_S = DEFAULT_LIMITS.idle_timeout_s
BACKLOG = 1024
# With a shorter backlog, a burst of clients waits for the retransmission of its handshakes.
# Connections that are closed at once use descriptors until then, at most as many as the backlog.
MIN_BACKLOG = 128
# Larger pieces of what has arrived are parsed one after the other, so that pipelined requests which
# can't be started stay bytes.
PIECE_BYTES = 4 * 1024
BODY_PIECE_BYTES = 64 * 1024
MAX_PARTS_IN_PIECE = 64
# Memory of a header besides its bytes: a tuple and two objects.
HEADER_COST_BYTES = 128
# Some clients send a line end behind a body, which does not begin a request.
MAX_LINE_END_BYTES = 4
MAX_REQUEST_HEAD_BYTES = DEFAULT_LIMITS.max_head_bytes
SHUTDOWN_LIMIT_S = 5
# As long as other nodes reuse a connection for a call that must not run twice.
MIN_REPLACED_IDLE_S = 1.0

_log = EventLog(component="serving")


class _RejectedRequestError(Exception):
    """Report a request that is refused without reaching the handler."""

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code


class _HeadTooLargeError(_RejectedRequestError):
    def __init__(self, limit: int) -> None:
        super().__init__(431, "head-too-large", f"the head exceeds {limit} bytes")


class _BodyTooLargeError(_RejectedRequestError):
    def __init__(self, limit: int) -> None:
        super().__init__(413, "body-too-large", f"the body exceeds {limit} bytes")


class _UpgradeError(_RejectedRequestError):
    def __init__(self) -> None:
        super().__init__(501, "upgrade-unsupported", "upgrades are not supported")


Handler = Callable[[ServerRequest], Awaitable[None]]
CheckClient = Callable[[dict[str, Any] | None], bool]


class ServerConnection(asyncio.Protocol):
    """Serve the requests of one connection, and cancel their tasks when the caller disconnects."""

    __slots__ = (
        "_account",
        "_active",
        "_body_parts",
        "_close_announced",
        "_closes_when_served",
        "_expects_continue",
        "_got_last_request",
        "_head_bytes",
        "_head_cost",
        "_headers",
        "_held_bytes",
        "_idle_deadline",
        "_in_head",
        "_lead_bytes",
        "_listener",
        "_message_began",
        "_parser",
        "_pinned_bytes",
        "_raw_head_bytes",
        "_reading_paused",
        "_received_bytes",
        "_receiving",
        "_target",
        "_timer",
        "_timer_fires_at",
        "_transport",
        "_unparsed",
        "_waiting",
        "_writable_waiter",
        "_written_bytes",
        "loop",
        "opened_at",
        "served",
    )

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport = None  # type: ignore[assignment]
        # Requests being served, in the order of their responses.
        self._active: deque[ServerRequest] = deque()
        # The request whose body is arriving.
        self._receiving: ServerRequest | None = None
        # Requests that have not been started.
        self._waiting: deque[ServerRequest] = deque()
        self._writable_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        # A response that has begun announces the close, so no further request is started.
        self._close_announced = False
        # Bytes are ignored after the last request, which the caller or this side has announced.
        self._got_last_request = False
        # The connection closes when every request that has arrived has its response.
        self._closes_when_served = False
        self._in_head = False
        self._head_bytes = 0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._expects_continue = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_fires_at = 0.0
        self._idle_deadline: float | None = None
        # Bytes that arrived behind requests that can't be started yet.
        self._unparsed = b""
        # Bytes that arrived since the last request without beginning another one.
        self._lead_bytes = 0
        # Bytes of the present head, without those of its first and last piece.
        self._raw_head_bytes = 0
        self._message_began = False
        # Bytes of bodies and responses that the requests hold.
        self._held_bytes = 0
        # Memory of a head that has not ended.
        self._head_cost = 0
        # Bytes of the written objects of which a part may be unsent.
        self._pinned_bytes = 0
        self._written_bytes = 0
        self._body_parts = 0
        self._received_bytes = 0
        self._account = listener.buffers.open_account(self)
        self.opened_at = time.monotonic()
        # Whether a request has been answered.
        self.served = False

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        if not self._listener.admit(self):
            self._transport.abort()
            return
        check = self._listener.check_client
        if check is not None and not check(transport.get_extra_info("peercert")):
            client = transport.get_extra_info("peername")
            _log.warn("peer-refused", reason="certificate", client=client)
            self._abort()
            return
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_requests()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._wake_writer()
        if self._account.held_bytes:
            self._listener.buffers.set_held(self._account, 0)
        self._held_bytes = self._head_cost = self._pinned_bytes = 0
        self._listener.buffers.sources.discard(self)
        self._parser = None  # type: ignore[assignment]
        self._listener.forget(self)

    def pause_writing(self) -> None:
        self._writable_waiter = self.loop.create_future()
        self._update_account()

    def resume_writing(self) -> None:
        self._wake_writer()
        self._pinned_bytes = 0
        self._update_account()
        self._start_next()

    def _wake_writer(self) -> None:
        writable, self._writable_waiter = self._writable_waiter, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._unparsed:
            self._unparsed += data
        elif len(data) <= PIECE_BYTES:
            self._parse(data)
        else:
            self._parse_pieces(data)

    def _parse_pieces(self, data: bytes) -> None:
        """Parse what has arrived, up to requests that can't be started yet."""
        start, size = 0, PIECE_BYTES
        while start < len(data) and not self._got_last_request:
            parts_before = self._body_parts
            self._parse(data[start : start + size])
            start += size
            if self._waiting:
                self._unparsed = data[start:]
                self._update_account()
                return
            if self._body_parts - parts_before > MAX_PARTS_IN_PIECE and start < len(data):
                # Parsing many small parts takes long, and other connections must have their turn.
                self._unparsed = data[start:]
                self._update_account()
                self.update_reading()
                self.loop.call_soon(self._parse_rest)
                return
            size = PIECE_BYTES if self._receiving is None else BODY_PIECE_BYTES

    def _parse_rest(self) -> None:
        """Go on with what has arrived, unless requests wait to be started first."""
        if self._waiting or self._transport.is_closing():
            return
        data, self._unparsed = self._unparsed, b""
        self._parse_pieces(data)
        self._update_account()
        self.update_reading()

    def _parse(self, data: bytes) -> None:
        if self._got_last_request or self._transport.is_closing():
            return
        was_in_head = self._in_head
        is_lead = not was_in_head and self._receiving is None
        self._message_began = False
        try:
            self._parser.feed_data(data)
            if was_in_head and self._in_head:
                # The parser reports a header only when it is complete.
                self._raw_head_bytes += len(data)
                self._check_head_bytes()
            elif is_lead and not self._message_began:
                self._count_lead(len(data))
        except httptools.HttpParserUpgrade:
            self._reject(_UpgradeError())
        except (httptools.HttpParserError, _RejectedRequestError) as error:
            if not self._got_last_request:
                self._reject(_find_rejection(error))
        else:
            if self._receiving is not None:
                self._receiving.wake()
            if self._in_head or self._head_cost:
                self._count_head_cost()
            if self._in_head and not was_in_head and not self._active and not self._lead_bytes:
                self._set_idle_deadline(time.monotonic() + self._listener.limits.head_timeout_s)
            self.update_reading()

    def _count_lead(self, count: int) -> None:
        """Count bytes before a request, such as empty lines, towards the size and time of a head.

        Raise _HeadTooLargeError if they exceed the limit.
        """
        began_before = self._lead_bytes > MAX_LINE_END_BYTES
        self._lead_bytes += count
        limits = self._listener.limits
        if self._lead_bytes > limits.max_head_bytes:
            raise _HeadTooLargeError(limits.max_head_bytes)
        if not began_before and self._lead_bytes > MAX_LINE_END_BYTES and not self._active:
            self._set_idle_deadline(time.monotonic() + limits.head_timeout_s)

    def _count_head_cost(self) -> None:
        """Count the memory of a head that has not ended."""
        cost = 0
        if self._in_head:
            size = max(self._head_bytes, self._raw_head_bytes)
            cost = size + HEADER_COST_BYTES * len(self._headers)
        self._head_cost = cost if cost > FREE_BYTES else 0
        self._update_account()

    def eof_received(self) -> None:
        return None

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._in_head = self._message_began = True
        self._head_bytes = 0
        self._raw_head_bytes = self._lead_bytes
        self._target = b""
        self._headers = []
        self._expects_continue = False
        if self._idle_deadline is not None and self._lead_bytes <= MAX_LINE_END_BYTES:
            # A request that begins just before the limit has the full time for its head.
            self._idle_deadline = time.monotonic() + self._listener.limits.head_timeout_s

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            raise _RejectedRequestError(501, "trailers-unsupported", "trailers are not supported")
        self._count_head_bytes(len(name) + len(value))
        name = name.lower()
        if name == b"expect" and value[:12].lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((name, value.rstrip(b" \t")))

    def _count_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        self._check_head_bytes()

    def _check_head_bytes(self) -> None:
        limit = self._listener.limits.max_head_bytes
        if self._head_bytes > limit or self._raw_head_bytes > limit:
            raise _HeadTooLargeError(limit)

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._lead_bytes = 0
        if self._got_last_request:
            return
        parser = self._parser
        if parser.should_upgrade():
            raise _UpgradeError
        if parser.get_http_version() != "1.1":
            raise _RejectedRequestError(400, "malformed-request", "only HTTP/1.1 is supported")
        if self._target[:1] != b"/":
            raise _RejectedRequestError(400, "malformed-request", "the target must be a path")
        self._check_content_length()
        self._receiving = request = ServerRequest(
            self,
            method=parser.get_method().decode("ascii"),
            target=self._target,
            headers=self._headers,
            keep_alive=parser.should_keep_alive(),
            expects_continue=self._expects_continue,
        )
        if self._can_start() and not self._waiting:
            self._start_request(request)
        else:
            self._waiting.append(request)

    def _can_start(self) -> bool:
        active = self._active
        if self._writable_waiter is not None or len(active) >= self._listener.pipeline_limit:
            return False
        # Without room, the requests of a connection are served one at a time.
        return not active or not self._listener.buffers.is_short

    def _check_content_length(self) -> None:
        """Reject a body whose announced length is over the limit."""
        limit = self._listener.limits.max_body_bytes
        if limit is None:
            return
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit() and int(value) > limit:
                raise _BodyTooLargeError(limit)

    def on_body(self, body: bytes) -> None:
        request = self._receiving
        if request is None:
            return
        self._body_parts += 1
        request.body_size += len(body)
        limit = self._listener.limits.max_body_bytes
        if limit is not None and request.body_size > limit:
            raise _BodyTooLargeError(limit)
        request.add(body)

    def on_message_complete(self) -> None:
        request, self._receiving = self._receiving, None
        if request is not None:
            request.body_arrived = True
            request.wake()
            self._got_last_request = self._close_announced or not self._parser.should_keep_alive()

    # Requests

    def _start_request(self, request: ServerRequest) -> None:
        self._active.append(request)
        request.has_turn = len(self._active) == 1
        self._idle_deadline = None
        request.task = self.loop.create_task(self._run(request))

    async def _run(self, request: ServerRequest) -> None:
        """Run the handler for one request; close the connection if the response is incomplete."""
        try:
            await self._listener.handler(request)
        except (AbortResponseError, asyncio.CancelledError):
            pass
        except Exception as error:
            _log.error("call-crashed", error=repr(error))
        if request.complete or request.disconnected:
            return
        if request.has_turn:
            self._transport.abort()
        else:
            request.aborted = True

    def settle_close(self, request: ServerRequest) -> bool:
        """Decide whether the connection closes after a response whose head is being sent.

        The close is announced on the response to the last request that has arrived, and nothing
        that arrives after this announcement is started.
        """
        if not request.keep_alive:
            self._closes_when_served = True
        is_last = not self._waiting and self._active[-1] is request
        closes = is_last and (self._closes_when_served or self._is_draining_after(request))
        if not closes and not request.may_lack_body:
            return False
        self._close_announced = True
        # The rest of a body that is still arriving is for the handler.
        self._got_last_request = self._receiving is None
        return True

    def _is_draining_after(self, request: ServerRequest) -> bool:
        """Tell whether to close after a request because the listener is stopping.

        A connection that is closed with unread bytes is reset, and the response could be lost.
        """
        return self._listener.stopping and request.body_arrived

    def end_response(self, request: ServerRequest) -> None:
        """Send the responses whose turn has come, then start or await further requests."""
        active = self._active
        while active and active[0].complete and active[0].has_turn:
            done = active.popleft()
            self.served = True
            if not done.keep_alive:
                # The caller assumes that requests after this one were not read.
                self._cancel_requests()
                self._close()
                return
            if active:
                for part in active[0].give_turn():
                    self.write(part)
                if active[0].aborted:
                    self._cancel_requests()
                    self._close()
                    return
        self._start_next()

    def _start_next(self) -> None:
        """Start as many waiting requests as allowed, unless the connection is closing."""
        if self._transport.is_closing():
            return
        while self._waiting and self._can_start():
            self._start_request(self._waiting.popleft())
            if self._unparsed and not self._waiting:
                data, self._unparsed = self._unparsed, b""
                self._parse_pieces(data)
                self._update_account()
                if self._transport.is_closing():
                    return
        if self._closes_when_served and not self._active and not self._waiting:
            self._close()
            return
        if not self._active and not self._waiting and self._idle_deadline is None:
            self._restart_idle_timer()
        if self._reading_paused:
            self.update_reading()

    def _cancel_requests(self) -> None:
        """Cancel the requests being served and discard the waiting ones."""
        dropped = list(self._active)
        self._active.clear()
        self._waiting.clear()
        self._unparsed = b""
        for request in dropped:
            request.disconnected = True
            request.wake()
            request.wake_turn()
            if request.task is not None and request.task is not asyncio.current_task(self.loop):
                request.task.cancel()

    def _reject(self, error: _RejectedRequestError) -> None:
        """Respond to a request that the parser or this class rejected, and close."""
        receiving = self._receiving
        has_other_requests = any(request is not receiving for request in self._active)
        response_begun = receiving is not None and (receiving.started or receiving.complete)
        if has_other_requests or response_begun or self._waiting:
            # The rejected bytes follow a request that is still being served, or belong to one that
            # has its response; a further response would be taken for that of another request.
            self._abort()
            return
        self._cancel_requests()
        on_rejected = self._listener.on_rejected
        if on_rejected is not None:
            on_rejected(error.code)
        body = encode_problem(error.code, str(error))
        head = (
            b"%bcontent-type: application/json\r\ncontent-length: %d\r\nconnection: close\r\n\r\n"
        )
        self._transport.write(head % (STATUS_LINES[error.status], len(body)) + body)
        self._close()

    def _abort(self) -> None:
        """Close the connection at once."""
        self._cancel_requests()
        self._transport.abort()

    def _close(self) -> None:
        """Close the connection once everything is sent, or abort it at the idle timeout."""
        self._transport.close()
        self._restart_idle_timer()

    def stop(self) -> None:
        """Close the connection now if it is idle, otherwise after the last request being served."""
        self._closes_when_served = True
        self._waiting.clear()
        self._unparsed = b""
        if not self._active:
            self._close()

    def abort(self) -> None:
        """Cancel the requests in flight and close the connection at once."""
        self._abort()

    # Flow

    @property
    def is_sending(self) -> bool:
        """Tell whether bytes wait until the caller's link takes them."""
        return self._transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Send bytes."""
        size = len(data)
        self._written_bytes += size
        if self._writable_waiter is None:
            self._pinned_bytes = size
            self._transport.write(data)
        else:
            self._pinned_bytes += size
            self._transport.write(data)
            self._update_account()

    async def drain(self) -> None:
        """Wait until the transport accepts more bytes."""
        if self._writable_waiter is not None:
            await asyncio.shield(self._writable_waiter)

    def count_held(self, change_bytes: int) -> None:
        """Change the count of the bytes that the requests hold."""
        self._held_bytes += change_bytes
        if self._held_bytes > FREE_BYTES or self._account.held_bytes:
            self._update_account()

    def _update_account(self) -> None:
        """Tell the ledger how many bytes this connection holds."""
        held_bytes = self._held_bytes + self._head_cost + len(self._unparsed)
        if self._writable_waiter is not None:
            # A written object stays whole in memory until its last byte is sent.
            held_bytes += max(self._transport.get_write_buffer_size(), self._pinned_bytes)
        if held_bytes <= FREE_BYTES:
            held_bytes = 0
        if held_bytes != self._account.held_bytes:
            self._listener.buffers.set_held(self._account, held_bytes)

    @property
    def stall_s(self) -> float | None:
        """Return the seconds without movement after which to close, None if nothing is sent."""
        return None if self._writable_waiter is None else self._listener.limits.idle_timeout_s

    def measure_sent(self) -> int:
        """Return how many bytes the caller has taken and sent in all."""
        taken_bytes = self._written_bytes - self._transport.get_write_buffer_size()
        # The kernel takes bytes in lumps of up to some MB, so a steady reader would seem to pause.
        return taken_bytes - count_unacknowledged(self._transport) + self._received_bytes

    def cut(self, reason: str) -> None:
        """Close the connection at once, which frees its bytes."""
        self._abort()

    def rank_for_replacement(self, *, now: float) -> int | None:
        """Return how soon this connection may be closed for another one, lowest first, or None.

        A client that has been served may have sent its next request, which has not arrived yet.
        """
        if not self._active and not self._waiting and self._idle_deadline is not None:
            if not self.served:
                return 0
            idle_since = self._idle_deadline - self._listener.limits.idle_timeout_s
            return 1 if now - idle_since >= MIN_REPLACED_IDLE_S else None
        waits_for_client = (
            self._in_head or self._receiving is not None or self._writable_waiter is not None
        )
        return 2 if waits_for_client and now - self.opened_at >= MIN_REPLACED_IDLE_S else None

    def update_reading(self) -> None:
        """Pause reading while a request waits or the body's reader is slow; resume otherwise."""
        if self._transport.is_closing():
            return
        receiving = self._receiving
        pause = bool(self._waiting or self._unparsed) or (
            receiving is not None and (receiving.is_backed_up or self._must_pause())
        )
        if pause is self._reading_paused:
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _must_pause(self) -> bool:
        """Tell whether a body that is arriving has to wait until the process holds less."""
        buffers = self._listener.buffers
        if not buffers.is_over or not self._account.held_bytes:
            return False
        buffers.sources.add(self)
        return True

    def pause(self) -> None:
        """Stop reading until `resume`."""
        self.update_reading()

    def resume(self) -> None:
        """Read again."""
        self._listener.buffers.sources.discard(self)
        self.update_reading()

    # Keep-alive

    # Each connection has one timer, which is rescheduled when it fires: creating and cancelling one
    # for each request costs more.

    def _restart_idle_timer(self) -> None:
        self._set_idle_deadline(time.monotonic() + self._listener.limits.idle_timeout_s)

    def _set_idle_deadline(self, idle_deadline: float) -> None:
        """Close the connection unless a request, or the rest of its head, arrives by then."""
        self._idle_deadline = idle_deadline
        if self._timer is not None:
            if self._timer_fires_at <= idle_deadline:
                return
            self._timer.cancel()
        self._timer_fires_at = idle_deadline
        self._timer = self.loop.call_later(idle_deadline - time.monotonic(), self._check_idle)

    def _check_idle(self) -> None:
        self._timer = None
        if self._idle_deadline is None:
            return
        left_s = self._idle_deadline - time.monotonic()
        if left_s > 0:
            self._timer_fires_at = self._idle_deadline
            self._timer = self.loop.call_later(left_s, self._check_idle)
        elif self._transport.is_closing():
            self._transport.abort()
        else:
            self._close()


def _find_rejection(error: BaseException) -> _RejectedRequestError:
    """Return the error that a callback raised, which httptools chains, or a general one."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, _RejectedRequestError):
            return cause
        cause = cause.__context__
    return _RejectedRequestError(400, "malformed-request", "the request is not valid HTTP")


def bind_socket(host: str, port: int) -> socket.socket:
    """Bind a listening socket; raise OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)
    return bound


class Listener:
    """Accept connections on one port and serve their requests with a handler.

    `pipeline_limit` is how many requests of one connection are served at once; `limits` may be
    replaced at any time. Connections above `max_connections` take the place of idle ones, or are
    closed at once.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
        check_client: CheckClient | None = None,
        on_rejected: Callable[[str], None] | None = None,
        pipeline_limit: int = 1,
        buffers: Buffers | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.handler = handler
        self.buffers = buffers or Buffers()
        self._max_connections = max_connections
        self.pipeline_limit = pipeline_limit
        self.limits = DEFAULT_LIMITS
        # Set by the owner when it begins to drain: each connection then closes after the response
        # to the last request received on it.
        self.stopping = False
        self.check_client = check_client
        self.on_rejected = on_rejected
        self.connections: set[ServerConnection] = set()
        self.port = port
        self._ssl = ssl_context
        self._address = (host, port)
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._all_closed: asyncio.Event | None = None

    async def start(self) -> None:
        """Bind and listen; raise OSError."""
        loop = asyncio.get_running_loop()
        self._socket = bind_socket(*self._address)
        self.port = self._socket.getsockname()[1]
        self._server = await loop.create_server(
            lambda: ServerConnection(self, loop),
            sock=self._socket,
            ssl=self._ssl,
            backlog=min(BACKLOG, max(MIN_BACKLOG, self._max_connections or BACKLOG)),
        )

    def admit(self, connection: ServerConnection) -> bool:
        """Add a new connection; return False if it has to be closed at once."""
        if self.buffers.is_over:
            self.buffers.note_cut("new-connection")
            return False
        connections = self.connections
        if self._max_connections is not None and len(connections) >= self._max_connections:
            self.buffers.note_cut("descriptors")
            now = time.monotonic()
            ranked = [
                (rank, other.opened_at, id(other), other)
                for other in connections
                if (rank := other.rank_for_replacement(now=now)) is not None
            ]
            if not ranked:
                return False
            replaced = min(ranked)[-1]
            replaced.abort()
            connections.discard(replaced)
        connections.add(connection)
        return True

    @property
    def is_sending(self) -> bool:
        """Tell whether responses that have been made are still being sent."""
        return any(connection.is_sending for connection in self.connections)

    async def stop(self) -> None:
        """Close the listener and idle connections, and others after their responses."""
        if self._server is None or self._socket is None:
            return
        self._server.close()
        self._server = None
        self._socket.close()
        self._all_closed = all_closed = asyncio.Event()
        for connection in list(self.connections):
            connection.stop()
        if not self.connections:
            return
        try:
            async with asyncio.timeout(SHUTDOWN_LIMIT_S):
                await all_closed.wait()
        except TimeoutError:
            for connection in list(self.connections):
                connection.abort()

    def abort(self) -> None:
        """Close the listener and every connection at once."""
        if self._server is not None and self._socket is not None:
            self._server.close()
            self._server = None
            self._socket.close()
        for connection in list(self.connections):
            connection.abort()

    def forget(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if self._all_closed is not None and not self.connections:
            self._all_closed.set()
