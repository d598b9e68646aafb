"""Serve ASGI applications on uvicorn inside the node's own event loop."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
import sys
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from .logs import EventLog

# Longer than the idle limit of the nodes' own pools, so that these close first.
KEEP_ALIVE_S = 60
BACKLOG = 1024
MAX_REQUEST_HEAD_BYTES = 64 * 1024
SHUTDOWN_LIMIT_S = 5

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
CheckClient = Callable[[dict[str, Any] | None], bool]

_REASONS = {400: b"Bad Request", 431: b"Request Header Fields Too Large", 501: b"Not Implemented"}

_log = EventLog(component="serving")
_quiet_logger = logging.getLogger("ibiswick.serving")
_quiet_logger.setLevel(logging.CRITICAL)


class AbortResponseError(Exception):
    """Break off a response that has begun and can't be completed."""


class _RejectedRequestError(Exception):
    """Report a request that must not reach the application."""

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code


class _HeadTooLargeError(_RejectedRequestError):
    def __init__(self) -> None:
        super().__init__(431, "head-too-large", f"the head exceeds {MAX_REQUEST_HEAD_BYTES} bytes")


def encode_problem(code: str, detail: str) -> bytes:
    """Encode the body of a response made by ibiswick."""
    return msgspec.json.encode({"code": code, "detail": detail})


class CallCycle(RequestResponseCycle):
    """Write the head of a response together with the first part of its body.

    Names and values of headers are not checked again: they come from a strict parser or from this
    package. The checks and the second write cost about a third of uvicorn's time for a call.
    """

    def __init__(
        self,
        protocol: CallProtocol,
        scope: Scope,
        *,
        keep_alive: bool,
        expect_100_continue: bool,
    ) -> None:
        # Sets what the inherited `receive` and the protocol use, without the logging of uvicorn.
        self.scope = scope  # type: ignore[assignment]
        self.transport = protocol.transport
        self.flow = protocol.flow
        self.message_event = asyncio.Event()
        self.on_response = protocol.on_response_complete
        self.disconnected = False
        self.keep_alive = keep_alive
        self.waiting_for_100_continue = expect_100_continue
        self.body = bytearray()
        self.more_body = True
        self.response_started = False
        self.response_complete = False
        self.chunked_encoding = False
        self.expected_content_length = 0
        self.start: dict[str, Any] | None = None

    async def send(self, message: dict[str, Any]) -> None:  # type: ignore[override]
        """Send a part of the response; a length that does not match aborts the connection."""
        if self.flow.write_paused and not self.disconnected:
            await self.flow.drain()
        if self.disconnected:
            return
        if message["type"] == "http.response.start":
            self.start = message
            return
        body = message["body"]
        more = message.get("more_body", False)
        start, self.start = self.start, None
        if start is not None:
            if self.waiting_for_100_continue:
                # The caller may leave out the body now, and the next bytes could be misread.
                self.keep_alive = False
            head = self._build_head(start, body, more)
            self.response_started = True
            self.waiting_for_100_continue = False
            self.transport.write(head + self._frame(body, more))
        else:
            self.transport.write(self._frame(body, more))
        if not more:
            self._complete()

    def _build_head(self, start: dict[str, Any], body: bytes, more: bool) -> bytes:
        status = start["status"]
        parts = [STATUS_LINE[status]]
        has_length = False
        for name, value in start["headers"]:
            if name == b"content-length":
                has_length = True
                self.expected_content_length = int(value)
            elif name == b"connection" and value == b"close":
                self.keep_alive = False
                continue
            parts += (name, b": ", value, b"\r\n")
        if not has_length and self.scope["method"] != "HEAD" and status not in (204, 304):
            if more:
                self.chunked_encoding = True
                parts.append(b"transfer-encoding: chunked\r\n")
            else:
                self.expected_content_length = len(body)
                parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"\r\n" if self.keep_alive else b"connection: close\r\n\r\n")
        return b"".join(parts)

    def _frame(self, body: bytes, more: bool) -> bytes:
        """Frame a part of the body; raise AbortResponseError when the length does not match."""
        if self.scope["method"] == "HEAD":
            return b""
        if self.chunked_encoding:
            end = b"" if more else b"0\r\n\r\n"
            return b"%x\r\n%b\r\n%b" % (len(body), body, end) if body else end
        self.expected_content_length -= len(body)
        if self.expected_content_length < 0 or (not more and self.expected_content_length):
            raise AbortResponseError("the body differs from its announced length")
        return body

    def _complete(self) -> None:
        self.response_complete = True
        self.message_event.set()
        if not self.keep_alive:
            self.transport.close()
        self.on_response()


class CallProtocol(HttpToolsProtocol):
    """Add the limits of section 9 of docs/design.md to uvicorn's protocol.

    A caller that leaves cancels the task of its call, and a request that must not be served is
    answered with a code.
    """

    head_bytes = 0
    in_body = False
    keep_alive_until = 0.0
    task: asyncio.Task[None] | None = None
    check_client: CheckClient | None = None
    on_rejected: Callable[[str], None] | None = None

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Rejected requests are counted; uvicorn would log a line for each.
        self.logger = _quiet_logger

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._await_request()
        check = type(self).check_client
        if check is not None and not check(transport.get_extra_info("peercert")):
            _log.warn("peer-refused", reason="certificate", client=self.client)
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        super()._unset_keepalive_if_required()
        task, self.task = self.task, None
        if task is not None:
            # A task that has not begun to run would not remove itself.
            self.tasks.discard(task)
            task.cancel()

    def on_message_begin(self) -> None:
        self.head_bytes = 0
        self.in_body = False
        self.url = b""
        self.expect_100_continue = False
        self.headers = []

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.head_bytes = len(self.url)
        if self.head_bytes > MAX_REQUEST_HEAD_BYTES:
            raise _HeadTooLargeError

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            raise _RejectedRequestError(501, "trailers-unsupported", "trailers are not supported")
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_REQUEST_HEAD_BYTES:
            raise _HeadTooLargeError
        name = name.lower()
        if name == b"expect" and value.lower().startswith(b"100-continue"):
            self.expect_100_continue = True
        self.headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        self.in_body = True
        parser = self.parser
        if parser.should_upgrade():
            raise _RejectedRequestError(501, "upgrade-unsupported", "upgrades are not supported")
        if parser.get_http_version() != "1.1":
            raise _RejectedRequestError(400, "malformed-request", "only HTTP/1.1 is supported")
        if self.url[:1] != b"/":
            raise _RejectedRequestError(400, "malformed-request", "the target must be a path")
        self._begin_call(parser.get_method().decode("ascii"), parser.should_keep_alive())

    def _begin_call(self, method: str, keep_alive: bool) -> None:
        """Start the call, or queue it behind the one before it on this connection."""
        raw_path, _, query = self.url.partition(b"?")
        path = raw_path.decode("latin-1")
        scope: Scope = {
            "type": "http",
            "http_version": "1.1",
            "method": method,
            "path": urllib.parse.unquote(path) if "%" in path else path,
            "raw_path": raw_path,
            "query_string": query,
            "headers": self.headers,
            "client": self.client,
            "server": self.server,
            "scheme": self.scheme,
        }
        previous = self.cycle
        cycle = self.cycle = CallCycle(
            self, scope, keep_alive=keep_alive, expect_100_continue=self.expect_100_continue
        )
        if previous is None or previous.response_complete:
            self._start_asgi_task(cycle, self.app)
        else:
            self.flow.pause_reading()
            self.pipeline.appendleft((cycle, self.app))

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        until = self.keep_alive_until
        super().data_received(data)
        if until and (self.cycle is None or self.cycle.response_complete):
            # The head is not complete yet, or the rest of a refused body is being discarded;
            # neither may go on for ever.
            self.keep_alive_until = until

    def send_400_response(self, msg: str) -> None:
        """Answer a request that the parser or this class has rejected, and close."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            # The rejected bytes may follow a request that is still being answered; an answer to
            # them would be taken for the answer to that request.
            own = self.in_body and cycle.more_body and not self.pipeline
            if cycle.response_started or not own:
                self.transport.abort()
                return
        self._reject(self._find_rejection(msg))

    def _find_rejection(self, msg: str) -> _RejectedRequestError:
        # httptools chains the exception of a callback to its own.
        error = sys.exc_info()[1]
        while error is not None:
            if isinstance(error, _RejectedRequestError):
                return error
            error = error.__context__
        return _RejectedRequestError(400, "malformed-request", msg)

    def _reject(self, error: _RejectedRequestError) -> None:
        if self.on_rejected is not None:
            type(self).on_rejected(error.code)  # type: ignore[misc]
        body = encode_problem(error.code, str(error))
        head = (
            b"HTTP/1.1 %d %b\r\ncontent-type: application/json\r\ncontent-length: %d\r\n"
            b"connection: close\r\n\r\n"
        )
        self.transport.write(head % (error.status, _REASONS[error.status], len(body)) + body)
        self.transport.close()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self.task = task = self.loop.create_task(self._run(cycle, app))
        self.tasks.add(task)

    async def _run(self, cycle: RequestResponseCycle, app: Application) -> None:
        """Run the application for one request; a broken response closes the connection."""
        try:
            await app(cycle.scope, cycle.receive, cycle.send)  # type: ignore[arg-type]
        except (AbortResponseError, asyncio.CancelledError):
            self.transport.abort()
        except Exception as error:
            _log.error("call-crashed", error=repr(error))
            self.transport.abort()
        else:
            if not cycle.response_complete:
                self.transport.abort()
        finally:
            self.tasks.discard(asyncio.current_task())  # type: ignore[arg-type]

    # One timer for each connection is moved on when it fires: creating and cancelling one for
    # each request costs more.

    def _unset_keepalive_if_required(self) -> None:
        self.keep_alive_until = 0.0

    def on_response_complete(self) -> None:
        """Start the next pipelined request, or wait for one as long as keep-alive allows."""
        if self.transport.is_closing():
            return
        self.flow.resume_reading()
        if self.pipeline:
            self._start_asgi_task(*self.pipeline.pop())
            return
        self._await_request()

    def _await_request(self) -> None:
        """Close the connection unless the next head arrives in time."""
        self.keep_alive_until = time.monotonic() + self.timeout_keep_alive
        if self.timeout_keep_alive_task is None:
            self._arm_keep_alive(self.timeout_keep_alive)

    def _arm_keep_alive(self, delay_s: float) -> None:
        handler = self.timeout_keep_alive_handler
        self.timeout_keep_alive_task = self.loop.call_later(delay_s, handler)

    def timeout_keep_alive_handler(self) -> None:
        self.timeout_keep_alive_task = None
        if self.keep_alive_until == 0.0 or self.transport.is_closing():
            return
        left_s = self.keep_alive_until - time.monotonic()
        if left_s > 0:
            self._arm_keep_alive(left_s)
        else:
            self.transport.close()


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
    """Run one uvicorn server without its signal handlers and without its periodic tick.

    The tick only refreshes the `Date` header, which is switched off.
    """

    def __init__(
        self,
        *,
        application: Application,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
        check_client: CheckClient | None = None,
        on_rejected: Callable[[str], None] | None = None,
    ) -> None:
        namespace = {
            "check_client": staticmethod(check_client) if check_client else None,
            "on_rejected": staticmethod(on_rejected) if on_rejected else None,
        }
        self._config = uvicorn.Config(
            application,  # type: ignore[arg-type]
            http=type("BoundCallProtocol", (CallProtocol,), namespace),
            ws="none",
            loop="none",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=SHUTDOWN_LIMIT_S,
            backlog=BACKLOG,
        )
        self._ssl = ssl_context
        self._address = (host, port)
        self._server: uvicorn.Server | None = None
        self._socket: socket.socket | None = None
        self.port = port

    async def start(self) -> None:
        """Bind and listen; raise OSError."""
        self._socket = bind_socket(*self._address)
        self.port = self._socket.getsockname()[1]
        self._config.load()
        self._config.ssl = self._ssl
        self._server = uvicorn.Server(self._config)
        self._server.lifespan = self._config.lifespan_class(self._config)
        await self._server.startup(sockets=[self._socket])

    async def stop(self) -> None:
        """Close the listener, idle connections, and the others once they have been answered."""
        if self._server is not None and self._socket is not None:
            await self._server.shutdown(sockets=[self._socket])
            self._server = None
