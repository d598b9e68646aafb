"""Assemble the administration API and serve it.

A node imports this module only if its settings enable the API, because litestar needs more memory
than a node without the API may use.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterator
from typing import Any

import uvicorn
from litestar import Litestar
from litestar.connection import ASGIConnection
from litestar.datastructures import State
from litestar.middleware import (
    AbstractAuthenticationMiddleware,
    AuthenticationResult,
    DefineMiddleware,
)
from litestar.openapi import OpenAPIConfig
from litestar.openapi.plugins import JsonRenderPlugin

from ..configuration.changes import ChangeAcceptor
from ..shared.budgets import RateLimitedPlatform, TokenBucket
from ..shared.errors import Problem, SettingsError, UnauthenticatedError
from ..shared.logs import EventLog
from ..shared.objectapi import Platform
from ..shared.settings import AdminSettings
from ..shared.tls import build_server_context
from .access import AccessControl
from .api_changes import ChangeController, ChangeService
from .api_documents import DocumentController, DocumentService
from .api_errors import handle_error
from .api_fleet import FleetController, FleetService
from .api_tokens import TokenController, TokenService
from .audits import AuditTrail
from .fleet import FleetReader
from .tokens import TokenStore, TokenVerifier

MAX_BODY_BYTES = 1_000_000
# uvicorn answers requests in flight beyond this with 503, so that a burst cannot use up the memory
# of the VM.
MAX_CONCURRENT_REQUESTS = 256
GRACEFUL_SHUTDOWN_S = 5
# A connection without a new request for this long is closed, even if its request is still running.
# The acceptor needs less time to determine a change's outcome on a slow platform.
CONNECTION_STALL_LIMIT_S = 60.0
# uvicorn ticks every 0.1 s.
TICKS_PER_STALL_CHECK = 10
# Calls are reads and writes; the platform accepts about four times as many reads as writes.
CALLS_PER_WRITE = 5

_log = EventLog(component="api")


class BearerMiddleware(AbstractAuthenticationMiddleware):
    """Set `request.user` to the record of the bearer token."""

    async def authenticate_request(
        self, connection: ASGIConnection[Any, Any, Any, Any]
    ) -> AuthenticationResult:
        """Check the Authorization header."""
        scheme, _, text = connection.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not text:
            raise UnauthenticatedError("a bearer token is required")
        try:
            record = await connection.app.state.verifier.verify(text.strip())
        except UnauthenticatedError as error:
            # Not audited: unauthenticated clients could fill the platform with entries.
            _log.warn("authentication-failed", path=connection.url.path, detail=error)
            raise
        return AuthenticationResult(user=record, auth=None)


def create_app(*, platform: Platform, acceptor: ChangeAcceptor) -> Litestar:
    """Build the application on a platform and an acceptor."""
    trail = AuditTrail(platform=platform)
    access = AccessControl(trail=trail)
    store = TokenStore(platform=platform)
    fleet = FleetReader(platform=platform)
    services = {
        "verifier": TokenVerifier(store=store),
        "changes": ChangeService(acceptor=acceptor, access=access, trail=trail),
        "documents": DocumentService(acceptor=acceptor, access=access),
        "fleet": FleetService(acceptor=acceptor, platform=platform, fleet=fleet, access=access),
        "tokens": TokenService(store=store, access=access),
    }
    return Litestar(
        route_handlers=[ChangeController, DocumentController, FleetController, TokenController],
        state=State(services, deep_copy=False),
        middleware=[DefineMiddleware(BearerMiddleware, exclude=["^/schema"])],
        exception_handlers={Exception: handle_error},
        request_max_body_size=MAX_BODY_BYTES,
        openapi_config=OpenAPIConfig(
            title="ibiswick administration API", version="1", render_plugins=[JsonRenderPlugin()]
        ),
        logging_config=None,
        pdb_on_exception=False,
    )


class _AdminServer(uvicorn.Server):
    """Leave signals to the program that hosts the API, and close stalled connections.

    uvicorn limits only the time between a response and the first byte of the next request. A client
    that stalls at any other point would occupy one of `MAX_CONCURRENT_REQUESTS` forever.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        # Maps a connection to its latest request and the time at which that was first seen.
        self._latest_requests: dict[Any, tuple[Any, float]] = {}

    async def on_tick(self, counter: int) -> bool:
        """Run periodic work, every 0.1 s; return whether to stop."""
        if counter % TICKS_PER_STALL_CHECK == 0:
            self._close_stalled(time.monotonic())
        return await super().on_tick(counter)

    def _close_stalled(self, now: float) -> None:
        requests: dict[Any, tuple[Any, float]] = {}
        for connection in list(self.server_state.connections):
            request = getattr(connection, "cycle", None)
            previous, since = self._latest_requests.get(connection, (request, now))
            since = since if previous is request else now
            requests[connection] = (request, since)
            if now - since > CONNECTION_STALL_LIMIT_S:
                _log.warn(
                    "connection-closed", reason=f"no new request in {CONNECTION_STALL_LIMIT_S} s"
                )
                connection.transport.abort()
        self._latest_requests = requests

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


async def serve_admin(settings: AdminSettings, *, stop: asyncio.Event) -> None:
    """Serve the administration API until `stop` is set, then finish requests in flight."""
    from ..shared.objectapi_httpx import connect_platform

    check_transport_security(settings)
    listener = open_listener(settings)
    http_platform, transport = connect_platform(settings.platform, caller="ibiswick-admin")
    # The administration's `calls_per_s` is its share of writes.
    platform = limit_platform_rate(http_platform, writes_per_s=settings.platform.calls_per_s)
    acceptor = ChangeAcceptor(platform=platform, gather_s=settings.gather_s)
    app = create_app(platform=platform, acceptor=acceptor)
    try:
        await serve_app(app, settings, listener=listener, stop=stop)
    finally:
        await transport.close()


def limit_platform_rate(platform: Platform, *, writes_per_s: float) -> RateLimitedPlatform:
    """Limit an instance's writes to its share, and its calls to `CALLS_PER_WRITE` times as many."""
    calls_per_s = writes_per_s * CALLS_PER_WRITE
    return RateLimitedPlatform(
        platform=platform,
        writes=TokenBucket(writes_per_s, writes_per_s),
        calls=TokenBucket(calls_per_s, calls_per_s),
    )


async def serve_app(
    app: Litestar, settings: AdminSettings, *, listener: socket.socket, stop: asyncio.Event
) -> None:
    """Serve an application on an open listener until `stop` is set."""
    server = _AdminServer(_build_config(app, settings))
    _log.info("admin-listening", address=":".join(map(str, listener.getsockname()[:2])))
    stop_task = asyncio.ensure_future(_exit_on_stop(server, stop))
    try:
        await server.serve(sockets=[listener])
    finally:
        stop_task.cancel()
        listener.close()
    _log.info("admin-stopped")


def check_transport_security(settings: AdminSettings) -> None:
    """Raise SettingsError for plaintext that the settings do not allow; warn if they allow it."""
    if settings.tls is not None:
        return
    if not settings.allow_plaintext:
        found = '"tls": null without "allow_plaintext": true'
        raise SettingsError([Problem("settings", "$.tls", "TLS files", found)])
    _log.warn("plaintext-allowed", listener="admin", detail="bearer tokens are sent unencrypted")


def _build_config(app: Litestar, settings: AdminSettings) -> uvicorn.Config:
    tls = settings.tls
    return uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="httptools",
        ws="none",
        server_header=False,
        limit_concurrency=MAX_CONCURRENT_REQUESTS,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
        # Operators authenticate with tokens, not with certificates.
        ssl_context_factory=(
            None if tls is None else lambda *_: build_server_context(tls, require_client=False)
        ),
    )


def open_listener(settings: AdminSettings) -> socket.socket:
    """Bind the listener; on a failure, uvicorn would exit the process and stop a hosting node."""
    family = socket.AF_INET6 if ":" in settings.listen.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(settings.listen)
    except OSError as error:
        listener.close()
        expected = "an address to listen on"
        raise SettingsError([Problem("settings", "$.listen", expected, str(error))]) from error
    return listener


async def _exit_on_stop(server: uvicorn.Server, stop: asyncio.Event) -> None:
    await stop.wait()
    server.should_exit = True
