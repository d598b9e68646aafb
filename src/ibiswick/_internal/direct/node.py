"""Run one node of the direct plane."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from ..calls.callcounts import CallCounts
from ..calls.exchanges import Remote
from ..calls.heads import HeaderNames
from ..calls.inbound import Inbound
from ..calls.outbound import Outbound
from ..calls.pool import ConnectionPool
from ..calls.pressure import Buffers, compute_buffer_limit
from ..calls.serving import Listener, ServerRequest
from ..rollouts.records import RolloutDecoder
from ..shared.blackboard import Blackboard
from ..shared.errors import InvalidInputError
from ..shared.logs import EventLog
from ..shared.metrics import define_gauge, render_metrics
from ..shared.objectapi import StatusPlatform
from ..shared.records import BackendHealth, LocalInstance, Phase
from ..tenants.gate import TenantGate
from .configuration import ConfigurationDecoder
from .counted import CountedPlatform
from .instances import Departure, Heartbeat, InstanceTable, LivenessCheck, Verdict
from .limits import LimitController, read_boot_time
from .plane import DirectPlane
from .policies import build_admission_policy, build_call_policy, compute_connection_limits
from .settings import DirectSettings
from .supervision import supervise

# Requests of one connection that are served at the same time; further ones are left unread.
MAX_PIPELINED_REQUESTS = 16
UPLOAD_IDLE_S = 10.0
PEER_IDLE_LIMIT_S = 20.0
BACKEND_IDLE_LIMIT_S = 8.0
# Several round trips; a path on which nothing is acknowledged for longer has failed.
UNACKNOWLEDGED_TIMEOUT_S = 1.0
# Shortest duration of a drain: callers learn of it from two failed readiness checks, 1 s apart.
MIN_DRAIN_S = 2.6
# A draining node accepts calls for its backend server for this long, so that a fleet that is
# restarted node by node keeps its slots in use. Other nodes learn that it accepts no more before it
# stops.
DRAIN_ACCEPT_S = 1.6
# Upper limit of DRAIN_ACCEPT_S as a share of the stop grace, as accepted calls need time to end.
MAX_DRAIN_ACCEPT_SHARE = 0.3
# Share of the stop grace that is reserved for closing connections and ending the process, and the
# longest that closing connections may take of it.
STOP_MARGIN_SHARE = 1 / 6
CLOSE_TIMEOUT_S = 0.4
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
# How long the acknowledgement of a departure waits for the record of the earlier process; it counts
# if it arrives within 1 s.
MAX_LOOKUP_WAIT_S = 0.15

_log = EventLog(component="node")


class RegistryResponse(NamedTuple):
    """Hold the response to an announcement of a backend server."""

    status: int
    body: bytes


class AnnouncementDecoder(Protocol):
    """Decode a request that a backend server has sent to the registry port."""

    def __call__(self, method: str, path: str, body: bytes) -> Heartbeat | Departure | None:
        """Return None for an unknown request; raise InvalidInputError for a malformed one."""


class NullWatcher:
    """Ignore the results of connects to the backend server, which announces itself."""

    def note_connect_failure(self, detail: str) -> None:
        """Do nothing."""

    def note_response(self) -> None:
        """Do nothing."""

    def note_other_instance(self) -> None:
        """Do nothing."""


class PresumptionWatcher(NullWatcher):
    """Report when the backend server of an earlier process can't be reached."""

    def __init__(self, *, note_absent: Callable[[], None]) -> None:
        self._note_absent = note_absent

    def note_connect_failure(self, detail: str) -> None:
        """Report that nothing listens at the address of the backend server."""
        self._note_absent()

    def note_other_instance(self) -> None:
        """Report that another backend server has the address."""
        self._note_absent()


class DirectNode:
    """Own the listeners and controllers of one node."""

    def __init__(
        self,
        *,
        settings: DirectSettings,
        platform: StatusPlatform,
        names: HeaderNames,
        configuration_key: str,
        decode_configuration: ConfigurationDecoder,
        decode_announcement: AnnouncementDecoder,
        rollout_decoder: RolloutDecoder | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        buffers: Buffers | None = None,
    ) -> None:
        self.settings = settings
        self.board = board = Blackboard()
        board.backend.set(BackendHealth(True, "announced"))
        self._clock = clock
        self._wall_clock = wall_clock
        self._decode_announcement = decode_announcement
        self._instances = InstanceTable()
        self._liveness = LivenessCheck()
        self.counts = CallCounts()
        if buffers is None:
            buffers = Buffers(limit=compute_buffer_limit(settings.memory_mb))
        buffers.counts = self.counts
        self._buffers = buffers
        limits = compute_connection_limits(settings.max_fds)
        self._peer_pool = ConnectionPool(
            idle_limit_s=PEER_IDLE_LIMIT_S,
            unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
            counts=self.counts,
            own_vm=settings.vm,
            buffers=buffers,
        )
        self._backend_pool = ConnectionPool(
            idle_limit_s=BACKEND_IDLE_LIMIT_S,
            unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
            buffers=buffers,
        )
        self.plane = DirectPlane(
            settings=settings,
            board=board,
            platform=CountedPlatform(platform=platform, counts=self.counts, era=board.store_era),
            pool=self._peer_pool,
            configuration_key=configuration_key,
            decode=decode_configuration,
            rollout_decoder=rollout_decoder,
            counts=self.counts,
            rng=rng,
            clock=clock,
            wall_clock=wall_clock,
        )
        self.limits = LimitController(
            settings=settings,
            board=board,
            members=self.plane.members,
            counts=self.counts,
            clock=read_boot_time if clock is time.monotonic else clock,
        )
        self._gate = TenantGate(limiter=self.limits)
        self._outbound = Outbound(
            workspace="",
            availability_zone=settings.availability_zone,
            board=board,
            exchange=self._peer_pool.exchange,
            counts=self.counts,
            upload_idle_s=UPLOAD_IDLE_S,
            rng=rng,
            clock=clock,
            policy=build_call_policy(
                get_settings=lambda: self.settings,
                names=names,
                count_nodes=lambda: board.fleet_size.value,
                is_current=lambda: self.plane.update_source.is_current,
            )._replace(buffers=buffers, gate=self._gate),
            caller_service=settings.service,
        )
        self._inbound = Inbound(
            workspace="",
            service=settings.service,
            slots=0,
            backend_server=Remote(settings.backend_server.host, settings.backend_server.port),
            board=board,
            exchange=self._backend_pool.exchange,
            counts=self.counts,
            watcher=PresumptionWatcher(note_absent=self._note_instance_absent),
            upload_idle_s=UPLOAD_IDLE_S,
            clock=clock,
            policy=build_admission_policy(
                names=names, link_bytes_per_s=settings.link_bytes_per_s
            )._replace(buffers=buffers, gate=self._gate, **self._build_version_hooks()),
        )
        if self.plane.rollouts is not None:
            self.plane.rollouts.queue = self._inbound.queue
        self._caller_listener = Listener(
            handler=self._outbound,
            host=settings.caller.host,
            port=settings.caller.port,
            pipeline_limit=MAX_PIPELINED_REQUESTS,
            buffers=buffers,
            max_connections=limits.caller,
        )
        self._peer_listener = Listener(
            handler=self._inbound,
            host=settings.peer.host,
            port=settings.peer.port,
            buffers=buffers,
            max_connections=limits.peer,
        )
        self._readiness_listener = Listener(
            handler=self._serve_readiness,
            host=settings.readiness.host,
            port=settings.readiness.port,
            buffers=buffers,
            max_connections=limits.other,
        )
        self._registry_listener = Listener(
            handler=self._serve_registry,
            host=settings.registry.host,
            port=settings.registry.port,
            buffers=buffers,
            max_connections=limits.other,
        )
        self._exchange_listener = Listener(
            handler=self.plane.serve_exchange,
            host=settings.exchange.host,
            port=settings.exchange.port,
            buffers=buffers,
            max_connections=limits.exchange,
        )
        self._operations_listener = Listener(
            handler=self._serve_operations,
            host=settings.operations.host,
            port=settings.operations.port,
            buffers=buffers,
            max_connections=limits.other,
        )
        self._listeners = (
            self._operations_listener,
            self._registry_listener,
            self._readiness_listener,
            self._peer_listener,
            self._exchange_listener,
            self._caller_listener,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _build_version_hooks(self) -> dict[str, Any]:
        rollouts = self.plane.rollouts
        if rollouts is None:
            return {}
        return {"allows_version": rollouts.allows_calls, "observe_call": rollouts.observe_call}

    # Lifecycle

    async def run(self) -> None:
        """Serve until the node has drained; raise OSError if a port can't be opened."""
        for listener in self._listeners:
            await listener.start()
        await self.plane.start()
        self._tasks = [
            asyncio.create_task(supervise("limits", self._follow_configuration)),
            asyncio.create_task(supervise("tenant-limits", self.limits.run)),
            asyncio.create_task(supervise("earlier", self._follow_earlier_instance)),
            asyncio.create_task(supervise("departures", self._publish_when_departures_known)),
        ]
        _log.info("node-started", vm=self.settings.vm, service=self.settings.service)
        await self._drain()
        for task in self._tasks:
            task.cancel()
        self.limits.close()
        await self.plane.stop()
        await self._close_listeners()
        self._peer_pool.close()
        self._backend_pool.close()
        _log.info("node-stopped", vm=self.settings.vm)

    async def _close_listeners(self) -> None:
        """Close every listener; a caller that does not read must not keep the process alive."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(*(listener.stop() for listener in self._listeners))
        except TimeoutError:
            left = sum(len(listener.connections) for listener in self._listeners)
            _log.warn("connections-cut", left=left, waited_s=CLOSE_TIMEOUT_S)
            for listener in self._listeners:
                listener.abort()

    def abort(self) -> None:
        """Cut every connection and cancel every controller, as the end of the process does."""
        for task in self._tasks:
            task.cancel()
        self.limits.close()
        self.plane.cancel()
        for listener in self._listeners:
            listener.abort()
        self._peer_pool.close()
        self._backend_pool.close()

    async def _follow_configuration(self) -> None:
        """Start serving once there is a configuration, and apply its limits and tenants."""
        cell = self.board.snapshot
        while True:
            version = cell.version
            snapshot = cell.value
            if snapshot is not None:
                self._caller_listener.limits = self.board.caller_limits.value
                self._gate.update(snapshot.tenants, now=self._clock())
                if self.board.phase.value is Phase.STARTING:
                    self._set_phase(Phase.SERVING)
            await cell.wait_change(version)

    def _set_phase(self, phase: Phase) -> None:
        self.board.phase.set(phase)
        _log.info("phase-changed", phase=phase.value, in_flight=self.board.in_flight.value)

    async def _drain(self) -> None:
        """Wait for the signal to stop, then until callers have left and have their responses."""
        drain = self.board.drain_requested
        while not drain.value:
            await drain.wait_change(drain.version)
        started = self._clock()
        self._set_phase(Phase.DRAINING)
        self._caller_listener.stopping = True
        in_flight = self.board.in_flight
        until = started + self.settings.stop_grace_s * (1 - STOP_MARGIN_SHARE)
        self.board.stop_at.set(until)
        accept_s = min(DRAIN_ACCEPT_S, self.settings.stop_grace_s * MAX_DRAIN_ACCEPT_SHARE)
        while (now := self._clock()) < until:
            if now - started >= accept_s:
                self.board.accepts_peer_calls.set(False)
            is_idle = in_flight.value == 0 and not self._is_sending()
            if is_idle and now - started >= MIN_DRAIN_S:
                break
            await asyncio.sleep(0.05)
        self._set_phase(Phase.STOPPED)

    def _is_sending(self) -> bool:
        """Tell whether callers or other nodes are still receiving responses."""
        return self._caller_listener.is_sending or self._peer_listener.is_sending

    # Readiness

    @property
    def ready(self) -> bool:
        """Tell whether callers may send calls to this node."""
        return self.board.phase.value is Phase.SERVING and bool(self.board.endpoints.value)

    async def _serve_readiness(self, request: ServerRequest) -> None:
        request.respond(200 if self.ready else 503, [], b"")

    # Metrics

    async def _serve_operations(self, request: ServerRequest) -> None:
        if request.path != "/metrics":
            request.respond(404, [], b"")
            return
        self.counts.export()
        self._export_gauges()
        body, headers = render_metrics()
        pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        request.respond(200, pairs, body)

    def _export_gauges(self) -> None:
        queue = self._inbound.queue
        snapshot = self.board.snapshot.value
        gauges = {
            "ibiswick_calls_in_flight": ("Calls in flight.", self.board.in_flight.value),
            "ibiswick_slots": ("Slots of the backend server.", queue.slots),
            "ibiswick_slots_busy": ("Slots in use.", queue.busy),
            "ibiswick_slots_queued": ("Calls that wait for a slot.", queue.queued),
            "ibiswick_ready": ("1 while callers may send calls to this node.", int(self.ready)),
            "ibiswick_generation": (
                "Generation of the configuration in effect.",
                snapshot.generation if snapshot is not None else 0,
            ),
            "ibiswick_buffered_bytes": (
                "Bytes held for callers, other nodes and backend servers.",
                self._buffers.ledger.used,
            ),
            "ibiswick_members": ("Known nodes.", self.board.fleet_size.value),
            "ibiswick_store_era": (
                "Highest era of the object API's store; it rises when the store restores a copy.",
                self.board.store_era.value,
            ),
            "ibiswick_configuration_heard_seconds": (
                "Seconds since the object API or a reader last confirmed the configuration.",
                self.plane.update_source.configuration_age_s,
            ),
            "ibiswick_members_heard_seconds": (
                "Seconds since the object API or a reader last confirmed the members.",
                self.plane.update_source.members_age_s,
            ),
        }
        gauges |= self.limits.export_gauges()
        for name, (doc, value) in gauges.items():
            define_gauge(name, doc).set({}, value)
        for service, share in self.board.version_shares.value.items():
            doc = "Share of a service's calls for the version under a roll-out."
            labels = {"service": service, "version": share.version}
            define_gauge("ibiswick_rollout_share", doc).set(labels, share.share)

    # Registry

    async def _serve_registry(self, request: ServerRequest) -> None:
        body = bytearray()
        while part := await request.read():
            body += part
            request.keep(len(part))
            if len(body) > MAX_ANNOUNCEMENT_BYTES:
                break
        response = await self._respond_to_announcement(request.method, request.path, bytes(body))
        request.respond(response.status, [(b"content-type", b"application/json")], response.body)

    async def _respond_to_announcement(
        self, method: str, path: str, body: bytes
    ) -> RegistryResponse:
        try:
            announcement = self._decode_announcement(method, path, body)
        except InvalidInputError as error:
            _log.warn("announcement-refused", code=error.code, detail=error)
            return RegistryResponse(400, b"{}")
        if announcement is None:
            return RegistryResponse(404, b"{}")
        if isinstance(announcement, Heartbeat):
            verdict = self._instances.note_heartbeat(announcement)
            self._liveness.note_heartbeat(announcement, now=self._clock())
            if self.plane.rollouts is not None:
                self.plane.rollouts.note_heartbeat(announcement)
        else:
            now_ms = int(self._wall_clock() * 1000)
            verdict = self._instances.note_departure(announcement, now_ms=now_ms)
        if verdict is not Verdict.UNCHANGED:
            self._log_announcement(announcement, verdict)
        self._publish_instance()
        is_leaving = isinstance(announcement, Departure) or announcement.leaving
        if is_leaving and not await self._hold_departure(announcement.instance):
            _log.warn("departure-not-held", instance=announcement.instance)
            return RegistryResponse(503, b"{}")
        return RegistryResponse(200, b"{}")

    async def _hold_departure(self, instance: str) -> bool:
        """Wait until the departure is kept outside this process; return False if it is not.

        The acknowledgement is a promise that must hold after a restart of this process.
        """
        known = self.board.earlier_lookup_done
        if not known.value:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_LOOKUP_WAIT_S):
                    await known.wait_change(known.version)
            self._publish_instance()
        current = self._instances.current
        if not known.value or current is None or current.instance != instance:
            # Of a backend server that nobody knows, only a late heartbeat could arrive.
            return known.value and self.plane.update_source.reaches_object_api
        if not current.leaving:
            # The departure was that of an earlier start.
            return True
        return await self.plane.hold_departure()

    async def _publish_when_departures_known(self) -> None:
        """Publish the backend server that has announced itself before departures were known."""
        known = self.board.departures_known
        while not known.value:
            await known.wait_change(known.version)
        self._publish_instance()

    async def _follow_earlier_instance(self) -> None:
        """Publish the backend server once the record of an earlier process is known."""
        known, earlier = self.board.earlier_lookup_done, self.board.earlier_instance
        while not known.value:
            await known.wait_change(known.version)
        while True:
            version = earlier.version
            self._publish_instance()
            await earlier.wait_change(version)

    def _publish_instance(self) -> None:
        """Publish the local backend server, as leaving if an earlier process announced it so.

        A late heartbeat from before it began to leave must not make it available again, so nothing
        is published until the record of the earlier process has been looked up.
        """
        if not self.board.earlier_lookup_done.value:
            return
        earlier = self.board.earlier_instance.value
        if earlier is not None:
            self._instances.note_earlier_instance(earlier)
        current = self._instances.current
        if current is not None and not current.leaving and not self._is_known_to_run(current):
            return
        if current is None and self.board.departures_known.value:
            # The object API has no departure of this backend server.
            current = self._instances.presumed
        if self.plane.rollouts is not None:
            self.plane.rollouts.note_instance(current)
        self.board.instance.set(current)

    def _note_instance_absent(self) -> None:
        """Publish no backend server until a heartbeat arrives, if it was only presumed to run."""
        if self._instances.presumed is not None:
            _log.info("instance-absent", instance=self._instances.presumed.instance)
            self._instances.note_absent()
            self._publish_instance()

    def _is_known_to_run(self, instance: LocalInstance) -> bool:
        """Tell whether a backend server that announces itself may be given calls.

        An earlier process may have acknowledged, during an outage of the object API, that it
        leaves. If this process has started in that outage, a late heartbeat is no proof.
        """
        return self.board.departures_known.value or self._liveness.is_running(instance)

    def _log_announcement(self, announcement: Heartbeat | Departure, verdict: Verdict) -> None:
        current = self._instances.current
        _log.info(
            "instance-announced",
            kind=type(announcement).__name__,
            instance=announcement.instance,
            born=announcement.born,
            verdict=verdict.value,
            current=current.instance if current is not None else "-",
            leaving=current.leaving if current is not None else "-",
            slots=current.slots if current is not None else 0,
        )
