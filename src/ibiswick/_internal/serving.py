"""Serve ASGI applications on uvicorn inside the node's own event loop."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

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


class AbortResponseError(Exception):
    """Break off a response that has begun and can't be completed."""


class _RejectedRequestError(Exception):
    """Report a request that must not reach the application."""

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code


def encode_problem(code: str, detail: str) -> bytes:
    """Encode the body of a response made by ibiswick."""
    return msgspec.json.encode({"code": code, "detail": detail})


class CallProtocol(HttpToolsProtocol):
    """Add the limits of section 9 of docs/design.md to uvicorn's protocol.

    A caller that leaves cancels the task of its call, and a request that must not be served is
    answered with a code.
    """

    head_bytes = 0
    in_body = False
    task: asyncio.Task[None] | None = None
    check_client: CheckClient | None = None
    on_rejected: Callable[[str], None] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        check = type(self).check_client
        if check is not None and not check(transport.get_extra_info("peercert")):
            _log.warn("peer-refused", reason="certificate", client=self.client)
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        task, self.task = self.task, None
        if task is not None:
            task.cancel()

    def on_message_begin(self) -> None:
        self.head_bytes = 0
        self.in_body = False
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self._count_head(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            raise _RejectedRequestError(501, "trailers-unsupported", "trailers are not supported")
        self._count_head(len(name) + len(value))
        super().on_header(name, value)

    def _count_head(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_REQUEST_HEAD_BYTES:
            detail = f"the head exceeds {MAX_REQUEST_HEAD_BYTES} bytes"
            raise _RejectedRequestError(431, "head-too-large", detail)

    def on_headers_complete(self) -> None:
        self.in_body = True
        if self.parser.should_upgrade():
            raise _RejectedRequestError(501, "upgrade-unsupported", "upgrades are not supported")
        if self.parser.get_http_version() != "1.1":
            raise _RejectedRequestError(400, "malformed-request", "only HTTP/1.1 is supported")
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        super().data_received(data)

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
        task = self.loop.create_task(self._run(cycle, app))
        self.task = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

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

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._socket.getsockname()[1] if self._socket is not None else 0

    async def start(self) -> None:
        """Bind and listen; raise OSError."""
        # Rejected requests are counted by this package; uvicorn would log a line for each.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        self._socket = bind_socket(*self._address)
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
