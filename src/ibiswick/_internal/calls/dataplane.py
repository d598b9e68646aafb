"""Start the listeners of a node, watch its backend server, and drain."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any
from urllib.parse import urlsplit

import msgspec

from ..shared.blackboard import Blackboard
from ..shared.errors import ExchangeError, NotSentError
from ..shared.logs import EventLog
from ..shared.metrics import define_gauge, render_metrics
from ..shared.records import BackendHealth, Phase
from ..shared.settings import NodeSettings
from ..shared.tls import build_client_context, build_server_context, parse_identity
from ..tenants.gate import NullLimiter, TenantGate
from .callcounts import CallCounts
from .exchanges import ExchangeLimits, Remote, Request
from .heads import TENANT_HEADER, HeaderNames
from .inbound import AdmissionPolicy, Inbound
from .outbound import CallPolicy, Outbound
from .pool import ConnectionPool, PoolFetch
from .pressure import Buffers
from .serving import Listener, ServerRequest

METRICS_FORMAT = "text/plain"
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
UNREADY_AFTER_FAILURES = 3
PEER_IDLE_LIMIT_S = 30.0
# Common HTTP servers close idle connections after 5 s.
BACKEND_IDLE_LIMIT_S = 4.0
PLATFORM_IDLE_LIMIT_S = 4.0
HEADER_NAMES = HeaderNames(credential=b"ibiswick-credential", tenant=TENANT_HEADER)
# A node whose announcement can't be confirmed must still be able to stop.
LEAVE_ANNOUNCE_TIMEOUT_S = 10.0

_log = EventLog(component="dataplane")


class BackendWatcher:
    """Track the readiness of the local backend server by connections and its health endpoint."""

    def __init__(self, *, board: Blackboard) -> None:
        self._board = board
        self._failures = 0

    def note_connect_failure(self, detail: str) -> None:
        """Record a failed connection; several in a row make the backend server unready."""
        self._failures += 1
        if self._failures >= UNREADY_AFTER_FAILURES:
            self._set_health(BackendHealth(False, "connect-failed"), detail)

    def note_response(self) -> None:
        """Record that the backend server answered a call."""
        self._failures = 0
        health = self._board.backend.value
        if not health.ready and health.reason == "connect-failed":
            self._set_health(BackendHealth(True, "answered"), "")

    def note_other_instance(self) -> None:
        """Do nothing, since no instance is expected here."""

    def note_health_response(self, *, draining: bool) -> None:
        """Record a response of the health endpoint."""
        self._failures = 0
        if draining:
            self._set_health(BackendHealth(False, "reports-draining"), "")
        else:
            self._set_health(BackendHealth(True, "answered"), "")

    def _set_health(self, health: BackendHealth, detail: str) -> None:
        before = self._board.backend.value
        self._board.backend.set(health)
        if health.ready and not before.ready:
            _log.info("backend-ready", reason=health.reason)
        elif not health.ready and health != before:
            _log.warn("backend-unready", reason=health.reason, detail=detail)


def is_draining(body: bytes) -> bool:
    """Tell whether a health endpoint's body reports draining.

    >>> is_draining(b'{"draining": true}'), is_draining(b"ok")
    (True, False)
    """
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return isinstance(value, dict) and value.get("draining") is True


class DataPlane:
    """Run the listeners, connection pools and controllers that carry calls for one node."""

    def __init__(
        self, *, settings: NodeSettings, board: Blackboard, rng: random.Random | None = None
    ) -> None:
        self._settings = settings
        self._board = board
        self._counts = CallCounts()
        self._watcher = BackendWatcher(board=board)
        self._tasks: list[asyncio.Task[None]] = []
        buffers = Buffers(counts=self._counts)
        tls = settings.tls
        server_tls = build_server_context(tls) if tls else None
        caller_tls = build_server_context(tls, require_client=False) if tls else None
        client_tls = build_client_context(tls) if tls else None
        self._peers = ConnectionPool(
            idle_limit_s=PEER_IDLE_LIMIT_S,
            ssl_context=client_tls,
            check_certificate=self._check_server if tls else None,
            buffers=buffers,
        )
        self._backend = ConnectionPool(idle_limit_s=BACKEND_IDLE_LIMIT_S, buffers=buffers)
        uses_tls = urlsplit(settings.platform.url).scheme == "https"
        self._platform = ConnectionPool(
            idle_limit_s=PLATFORM_IDLE_LIMIT_S, ssl_context=client_tls if uses_tls else None
        )
        self.fetch = PoolFetch(pool=self._platform, base_url=settings.platform.url)
        self._backend_server = Remote(settings.backend_server.host, settings.backend_server.port)
        # Limits of tenants are not enforced in this mode.
        self._gate = TenantGate(limiter=NullLimiter())
        self._outbound = Outbound(
            workspace=settings.workspace,
            availability_zone=settings.availability_zone,
            board=board,
            exchange=self._peers.exchange,
            counts=self._counts,
            upload_idle_s=settings.upload_idle_s,
            rng=rng or random.Random(),
            policy=CallPolicy(names=HEADER_NAMES, gate=self._gate),
        )
        self._inbound = Inbound(
            workspace=settings.workspace,
            service=settings.service,
            slots=settings.slots,
            backend_server=self._backend_server,
            board=board,
            exchange=self._backend.exchange,
            counts=self._counts,
            watcher=self._watcher,
            upload_idle_s=settings.upload_idle_s,
            policy=AdmissionPolicy(names=HEADER_NAMES, gate=self._gate),
        )
        self._caller = Listener(
            handler=self._outbound,
            host=settings.caller.host,
            port=settings.caller.port,
            ssl_context=caller_tls,
            on_rejected=self._note_rejected,
            buffers=buffers,
        )
        self._peer = Listener(
            handler=self._inbound,
            host=settings.peer.host,
            port=settings.peer.port,
            ssl_context=server_tls,
            check_client=self._check_client if tls else None,
            on_rejected=self._note_rejected,
            buffers=buffers,
        )
        self._operations = Listener(
            handler=self._serve_operations,
            host=settings.operations.host,
            port=settings.operations.port,
            ssl_context=caller_tls,
            buffers=buffers,
        )

    @property
    def caller_port(self) -> int:
        """Return the bound caller port."""
        return self._caller.port

    @property
    def peer_port(self) -> int:
        """Return the bound peer port."""
        return self._peer.port

    @property
    def operations_port(self) -> int:
        """Return the bound operations port."""
        return self._operations.port

    async def start(self) -> None:
        """Bind the listeners and start the controllers; raise OSError."""
        await self._peer.start()
        await self._caller.start()
        await self._operations.start()
        _log.info(
            "listening",
            caller=self.caller_port,
            peer=self.peer_port,
            operations=self.operations_port,
        )
        self._tasks = [
            asyncio.create_task(self._watch_backend()),
            asyncio.create_task(self._follow_floor()),
            asyncio.create_task(self._follow_drain()),
            asyncio.create_task(self._follow_tenants()),
        ]

    async def stop(self) -> None:
        """Close the listeners, then every connection, without waiting for calls in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._set_phase(Phase.STOPPED)
        await asyncio.gather(self._caller.stop(), self._peer.stop(), self._operations.stop())
        for pool in (self._peers, self._backend, self._platform):
            pool.close()

    # Phase

    def _set_phase(self, phase: Phase) -> None:
        if self._board.phase.value is not phase:
            self._board.phase.set(phase)
            _log.info("phase-changed", phase=phase.value, in_flight=self._board.in_flight.value)

    async def _follow_floor(self) -> None:
        """Start serving once control has a snapshot at or above the floor.

        The floor is the highest generation that this node may have applied before a restart.
        """
        floor = self._board.floor_confirmed
        while not floor.value:
            await floor.wait_change(floor.version)
        if self._board.phase.value is Phase.STARTING:
            self._set_phase(Phase.SERVING)

    async def _follow_tenants(self) -> None:
        """Apply the tenants of each snapshot at once, as earlier proofs expire from then on."""
        cell = self._board.snapshot
        while True:
            version = cell.version
            if cell.value is not None:
                self._gate.update(cell.value.tenants, now=time.monotonic())
            await cell.wait_change(version)

    async def _follow_drain(self) -> None:
        """Drain on request: refuse new calls, finish those in flight, then stop."""
        drain = self._board.drain_requested
        while not drain.value:
            await drain.wait_change(drain.version)
        self._set_phase(Phase.DRAINING)
        if self._settings.control_enabled:
            await self._wait_leave_announced()
        in_flight = self._board.in_flight
        while in_flight.value > 0:
            await in_flight.wait_change(in_flight.version)
        self._set_phase(Phase.STOPPED)

    async def _wait_leave_announced(self) -> None:
        announced = self._board.leave_announced
        try:
            async with asyncio.timeout(LEAVE_ANNOUNCE_TIMEOUT_S):
                while not announced.value:
                    await announced.wait_change(announced.version)
        except TimeoutError:
            _log.warn("leave-unconfirmed", waited_s=LEAVE_ANNOUNCE_TIMEOUT_S)

    # Backend server

    async def _watch_backend(self) -> None:
        """Probe the backend server's health endpoint."""
        host = self._settings.backend_server
        request = Request(b"GET /health HTTP/1.1\r\nhost: %b\r\n\r\n" % host.host.encode())
        while True:
            await self._probe(request)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, request: Request) -> None:
        limits = ExchangeLimits(deadline=time.monotonic() + PROBE_TIMEOUT_S)
        try:
            response = await self._backend.exchange(self._backend_server, request, limits)
            body = b""
            while part := await response.read():
                body += part
        except NotSentError as error:
            self._watcher.note_connect_failure(str(error))
        except ExchangeError:
            # Calls may work even if the health endpoint does not answer.
            return
        else:
            self._watcher.note_health_response(draining=is_draining(body))

    # Identity

    def _check_client(self, certificate: dict[str, Any] | None) -> bool:
        identity = parse_identity(certificate)
        return identity is not None and identity.workspace == self._settings.workspace

    def _check_server(self, certificate: dict[str, Any] | None, remote: Remote) -> bool:
        identity = parse_identity(certificate)
        return identity is not None and identity == (self._settings.workspace, remote.vm)

    # Operations port

    def _note_rejected(self, code: str) -> None:
        self._counts.add("ibiswick_requests_rejected_total", "code", code)

    async def _serve_operations(self, request: ServerRequest) -> None:
        status, headers, body = self._answer_operations(request.path)
        pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        request.respond(status, pairs, body)

    def _answer_operations(self, path: str) -> tuple[int, dict[str, str], bytes]:
        plain = {"content-type": "text/plain"}
        if path == "/metrics":
            self._export_metrics()
            body, headers = render_metrics(METRICS_FORMAT)
            return 200, headers, body
        if path == "/ready":
            phase = self._board.phase.value
            return 200 if phase is Phase.SERVING else 503, plain, phase.value.encode()
        return 404, plain, b"not found"

    def _export_metrics(self) -> None:
        self._counts.export()
        queue = self._inbound.queue
        gauges = {
            "ibiswick_calls_in_flight": ("Calls in flight.", self._board.in_flight.value),
            "ibiswick_slots_busy": ("Slots of the backend server in use.", queue.busy),
            "ibiswick_slots_queued": ("Calls that wait for a slot.", queue.queued),
            "ibiswick_backend_ready": (
                "1 while the backend server is ready.",
                int(self._board.backend.value.ready),
            ),
        }
        for name, (doc, value) in gauges.items():
            define_gauge(name, doc).set({}, value)
