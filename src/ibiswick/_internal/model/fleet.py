"""Simulate the nodes, backend servers and callers of a load in virtual time."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any, NamedTuple

from ..calls.callcounts import CallCounts
from ..calls.exchanges import ExchangeLimits, Remote, Request
from ..calls.heads import parse_milliseconds, parse_retry_after_s
from ..calls.inbound import Inbound
from ..calls.outbound import Outbound
from ..direct.node import NullWatcher
from ..direct.policies import build_admission_policy, build_call_policy
from ..direct.settings import DirectSettings
from ..shared.blackboard import Blackboard
from ..shared.errors import ExchangeTimeoutError, NotSentError, UnacknowledgedError
from ..shared.records import Endpoint, LocalInstance, Phase, Route, Snapshot
from ..shared.settings import Address
from .budgets import Arrival
from .clock import VirtualTimeLoop, run_in_virtual_time
from .exchange import (
    HOST,
    NAMES,
    ModelRequest,
    ModelResponse,
    receive_request,
    stream_request,
)
from .links import BYTES_PER_MEGABIT, Link
from .loads import Event, Kind, Load, Zone

# Longest time until a node learns, by exchanging members, that another node has restarted.
MAX_ENDPOINT_DELAY_S = 1.0
# A VM without power acknowledges nothing; a node gives up the connection after this time.
GIVE_UP_S = 1.0
# A caller's connection to a VM without power fails at once; the caller retries after this time.
CALLER_RETRY_S = 0.1
# Time that a node's process takes to start once its VM has power again.
NODE_START_S = 0.25
# A caller waits at most this share of the time left to its deadline before it retries.
MAX_WAIT_SHARE = 1 / 3
# Latency between a caller and its node, one way.
CALLER_LATENCY_MS = 1.0
# Wait at the end of the load for calls that are still running.
END_WAIT_S = 5.0
# Size of the head of a response between two nodes.
RESPONSE_HEAD_BYTES = 400
PEER_PORT = 1
BACKEND_PORT = 2


class CallResult(NamedTuple):
    """Hold the outcome of one call of a caller.

    * `started_s`: start of the call, counted from the start of the load.
    * `times_sent`: number of times that the caller sent the call to a node.
    """

    kind: str
    zone: str
    started_s: float
    result: str
    elapsed_s: float
    times_sent: int


class RunResult(NamedTuple):
    """Hold the results of one run.

    * `crossing_bytes`: bytes sent to other availability zones.
    * `refusals`: number of attempts answered with status 429 or 503.
    * `execution_counts`: number of calls that each backend server executed, by service and VM.
    * `link_wait_s`: longest time that a request or a response waited at a link.
    * `arrivals`: calls that reached backend servers, rejected ones included.
    """

    calls: tuple[CallResult, ...]
    crossing_bytes: int
    refusals: int
    execution_counts: dict[str, dict[str, int]]
    link_wait_s: float = 0.0
    arrivals: tuple[Arrival, ...] = ()


class Vm:
    """Simulate a node and the backend server beside it."""

    def __init__(
        self, fleet: SimulatedFleet, *, name: str, zone: str, service: str, work_factor: float
    ) -> None:
        load = fleet.load
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.service = service
        self.work_factor = work_factor
        self.slots = load.services[service].slots
        self.link_bytes_per_s = int(load.services[service].link_mbps * BYTES_PER_MEGABIT)
        self.uplink, self.downlink = (
            Link(bytes_per_s=self.link_bytes_per_s, clock=fleet.loop.time) for _ in range(2)
        )
        self.is_up = True
        self.started_at = -math.inf
        self.slow_factor = 1.0
        self.shed_share = 0.0
        # Running calls above which the backend server slows down.
        self.crowd_limit = math.inf
        self.running = 0
        self.execution_count = 0
        # A dict keeps the order of their starts, so that a seed always gives the same run.
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.counts = CallCounts()
        self.start()

    def start(self) -> None:
        """Start the node's process without any earlier state."""
        fleet = self.fleet
        clock = fleet.loop.time
        self.board = board = Blackboard()
        board.phase.set(Phase.SERVING)
        board.floor_confirmed.set(True)
        board.earlier_lookup_done.set(True)
        board.snapshot.set(fleet.snapshot)
        board.fleet_size.set(max(1, fleet.node_count))
        born = int(fleet.loop.time() * 1000)
        board.instance.set(LocalInstance(self.name, self.service, self.slots, born, False))
        address = Address(self.name, PEER_PORT)
        settings = DirectSettings(
            vm=self.name,
            service=self.service,
            availability_zone=self.zone,
            backend_server=address,
            caller=address,
            peer=address,
            readiness=address,
            registry=address,
            exchange=address,
            store=address,
            operations=address,
            retry_ratio=fleet.load.retry_ratio,
            retry_window_s=fleet.load.retry_window_s,
            retry_slack=fleet.load.retry_slack,
            link_bytes_per_s=self.link_bytes_per_s,
        )
        self.outbound = Outbound(
            workspace="",
            availability_zone=self.zone,
            board=board,
            exchange=self.exchange,
            counts=self.counts,
            upload_idle_s=GIVE_UP_S,
            rng=fleet.rng,
            clock=clock,
            policy=build_call_policy(
                get_settings=lambda: settings,
                names=NAMES,
                count_nodes=lambda: fleet.node_count,
                is_current=lambda: True,
            ),
            caller_service=self.service,
        )
        self.inbound = Inbound(
            workspace="",
            service=self.service,
            slots=0,
            backend_server=Remote(self.name, BACKEND_PORT),
            board=board,
            exchange=self.run_backend,
            counts=self.counts,
            watcher=NullWatcher(),
            upload_idle_s=GIVE_UP_S,
            clock=clock,
            policy=build_admission_policy(names=NAMES, link_bytes_per_s=self.link_bytes_per_s),
            rng=fleet.rng,
        )

    @property
    def endpoint(self) -> Endpoint:
        """Return the record of this node that other nodes keep."""
        instance = self.board.instance.value
        born = instance.born if instance is not None else 0
        return Endpoint(
            self.name,
            born,
            self.zone,
            self.name,
            PEER_PORT,
            self.slots,
            True,
            self.link_bytes_per_s,
        )

    async def exchange(
        self, remote: Remote, request: Request, limits: ExchangeLimits
    ) -> ModelResponse:
        """Implement `Exchange`: send a request to the node of another VM."""
        target = self.fleet.vms[remote.host]
        await self._send(target, len(request.head) + len(request.body))
        if not target.is_up:
            raise NotSentError(f"{target.name} has no power")
        if request.stream is None:
            received = await receive_request(request)
        else:
            received = stream_request(request, self._send_parts(target, request.stream))
        response = await target.serve(target.inbound, received, limits.deadline)
        await target._send(self, RESPONSE_HEAD_BYTES + len(response.body))
        return response

    def _enqueue_on_links(self, target: Vm, size_bytes: int) -> float:
        """Queue bytes on the links of both VMs; return the loop time at which they arrive.

        A VM that sends to itself uses no link.
        """
        fleet = self.fleet
        arrival = fleet.loop.time()
        if target is not self:
            fleet.link_wait_s = max(fleet.link_wait_s, self.uplink.wait_s, target.downlink.wait_s)
            arrival = target.downlink.enqueue(
                size_bytes, at=self.uplink.enqueue(size_bytes, at=arrival)
            )
        return arrival + fleet.find_latency_s(self.zone, target.zone)

    async def _send(self, target: Vm, size_bytes: int) -> None:
        """Send bytes to another VM and wait until they have arrived."""
        await asyncio.sleep(self._enqueue_on_links(target, size_bytes) - self.fleet.loop.time())

    async def _send_parts(
        self, target: Vm, parts: AsyncIterator[bytes]
    ) -> AsyncGenerator[bytes, None]:
        """Send each part of a body as it becomes available; yield each part when it arrives."""
        sent: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def send() -> None:
            async for part in parts:
                sent.put_nowait((self._enqueue_on_links(target, len(part)), part))
            sent.put_nowait((self.fleet.loop.time(), b""))

        sender = asyncio.ensure_future(send())
        try:
            while True:
                arrival, part = await sent.get()
                await asyncio.sleep(max(0.0, arrival - self.fleet.loop.time()))
                if not part:
                    return
                yield part
        finally:
            sender.cancel()

    async def serve(
        self, handler: Any, request: ModelRequest, deadline: float | None
    ) -> ModelResponse:
        """Answer a request with a handler of this VM.

        Raises UnacknowledgedError if the VM loses power, which cancels the handler.
        """
        task = asyncio.ensure_future(handler(request))
        self.tasks[task] = None
        now = self.fleet.loop.time()
        limit_s = None if deadline is None else max(0.0, deadline - now)
        try:
            done, _ = await asyncio.wait((task,), timeout=limit_s)
        finally:
            self.tasks.pop(task, None)
            if not task.done():
                task.cancel()
        if not done:
            raise ExchangeTimeoutError("no complete response in time")
        if task.cancelled():
            await asyncio.sleep(min(GIVE_UP_S, limit_s or GIVE_UP_S))
            raise UnacknowledgedError(f"{self.name} has lost power")
        task.result()
        return ModelResponse(request.status, request.response_headers, request.response_body)

    async def run_backend(
        self, remote: Remote, request: Request, limits: ExchangeLimits
    ) -> ModelResponse:
        """Implement `Exchange`: run a call on the backend server."""
        fleet = self.fleet
        received = await receive_request(request)
        headers = dict(received.headers)
        attempt = headers[NAMES.attempt_id]
        attempt_header = [(NAMES.attempt_id, attempt)]
        is_extra = fleet.note_arrival(self.service, attempt)
        if fleet.rng.random() < self.shed_share:
            return ModelResponse(503, [*attempt_header, (NAMES.not_run, b"1")], b"")
        self.execution_count += 1
        self.running += 1
        try:
            return await self._run_call(received, attempt, is_extra=is_extra)
        finally:
            self.running -= 1

    async def _run_call(
        self, received: ModelRequest, attempt: bytes, *, is_extra: bool
    ) -> ModelResponse:
        """Work on a call, make the calls that its kind makes, and respond."""
        fleet = self.fleet
        headers = dict(received.headers)
        attempt_header = [(NAMES.attempt_id, attempt)]
        kind = fleet.load.kinds[received.path.strip("/")]
        work_s = self.draw_work_s(kind)
        deadline = (
            fleet.loop.time() + (parse_milliseconds(headers[b"ibiswick-deadline-ms"]) or 0) / 1000
        )
        await asyncio.sleep(work_s / 2)
        for number, child in enumerate(kind.calls):
            if fleet.rng.random() >= child.share:
                continue
            child_id = b"%b%b%d" % (attempt, NAMES.child_separator, number)
            if is_extra:
                fleet.extra_ids.add(child_id)
            child_request = fleet.build_request(child.kind, child_id, deadline)
            response = await self.serve(self.outbound, child_request, None)
            if response.status != 200:
                return ModelResponse(500, [*attempt_header, (NAMES.signature, b"s")], b"")
        await asyncio.sleep(work_s / 2)
        if fleet.loop.time() > deadline:
            return ModelResponse(504, [*attempt_header, (NAMES.signature, b"s")], b"")
        body = fleet.padding[: kind.response_bytes]
        return ModelResponse(200, [*attempt_header, (NAMES.signature, b"s")], body)

    def draw_work_s(self, kind: Kind) -> float:
        """Draw the time in seconds that the backend server works on a call."""
        service = self.fleet.load.services[self.service]
        work_s = kind.work_ms / 1000 * self.work_factor * self.slow_factor
        work_s *= max(1.0, self.running / self.crowd_limit) ** 2
        if self.fleet.loop.time() - self.started_at < service.cold_s:
            work_s *= service.cold_factor
        # With this mean of the logarithm, the mean of the log-normal factor is 1.
        log_mean = -(kind.spread**2) / 2
        return work_s * math.exp(self.fleet.rng.gauss(log_mean, kind.spread))

    def lose_power(self) -> None:
        """Cancel everything that runs on this VM."""
        self.is_up = False
        for task in list(self.tasks):
            task.cancel()

    def restore_power(self) -> None:
        """Start the node again, with a cold backend server."""
        self.started_at = self.fleet.loop.time()
        self.start()
        self.is_up = True
        self.fleet.publish_endpoints(self)


class SimulatedFleet:
    """Simulate the VMs of a load and its callers."""

    def __init__(self, *, load: Load, seed: int, loop: VirtualTimeLoop) -> None:
        self.load = load
        self.loop = loop
        self.rng = random.Random(seed)
        kinds = load.kinds.values()
        self.padding = bytes(max(max(kind.response_bytes, kind.request_bytes) for kind in kinds))
        self.link_wait_s = 0.0
        self.node_count = sum(sum(zone.nodes.values()) for zone in load.zones)
        self.snapshot = build_model_snapshot(load)
        self.vms: dict[str, Vm] = {}
        self.calls: list[CallResult] = []
        self.refusals = 0
        self.arrivals: list[Arrival] = []
        # Ids of calls whose next arrivals are extra ones.
        self.extra_ids: set[bytes] = set()
        self._load_started = loop.time()
        self._ids = itertools.count(1)
        self._burst_factor = 1.0
        created: Counter[str] = Counter()
        for zone in load.zones:
            for service, count in zone.nodes.items():
                work_factors = load.services[service].speeds
                for _ in range(count):
                    work_factor = work_factors[created[service] % len(work_factors)]
                    created[service] += 1
                    name = f"{zone.name}-{service}-{created[service]}"
                    self.vms[name] = Vm(
                        self, name=name, zone=zone.name, service=service, work_factor=work_factor
                    )
        for vm in self.vms.values():
            self.publish_endpoints(vm)

    def find_latency_s(self, zone: str, other: str) -> float:
        """Return the latency from one zone to another in seconds, one way."""
        return (self.load.in_zone_ms if zone == other else self.load.cross_ms) / 1000

    def note_arrival(self, service: str, attempt: bytes) -> bool:
        """Record an arrival at a backend server; tell whether it is an extra one."""
        is_extra = attempt in self.extra_ids
        self.extra_ids.add(attempt)
        self.arrivals.append(Arrival(self.loop.time() - self._load_started, service, is_extra))
        return is_extra

    def publish_endpoints(self, vm: Vm) -> None:
        """Give a node all endpoints; a restarted node becomes known to the others after a delay."""
        endpoints: dict[str, list[Endpoint]] = {}
        for other in self.vms.values():
            if other.is_up:
                endpoints.setdefault(other.service, []).append(other.endpoint)
        vm.board.endpoints.set({name: tuple(items) for name, items in endpoints.items()})
        if vm.started_at > 0:
            for other in self.vms.values():
                if other is not vm and other.is_up:
                    self.loop.call_later(
                        self.rng.uniform(0.0, MAX_ENDPOINT_DELAY_S), self._learn_endpoint, other, vm
                    )

    def _learn_endpoint(self, vm: Vm, changed: Vm) -> None:
        if not (vm.is_up and changed.is_up):
            return
        known = dict(vm.board.endpoints.value)
        others = [item for item in known.get(changed.service, ()) if item.vm != changed.name]
        known[changed.service] = (*others, changed.endpoint)
        vm.board.endpoints.set(known)

    def build_request(self, kind_name: str, attempt: bytes, deadline: float) -> ModelRequest:
        """Build a request of a caller or of a running call."""
        kind = self.load.kinds[kind_name]
        left_ms = max(1, int((deadline - self.loop.time()) * 1000))
        body = self.padding[: kind.request_bytes]
        headers = [
            (b"host", HOST),
            (NAMES.attempt_id, attempt),
            (b"ibiswick-deadline-ms", b"%d" % left_ms),
            (b"content-length", b"%d" % len(body)),
        ]
        return ModelRequest(
            method="POST", target=b"/%b/" % kind_name.encode(), headers=headers, body=body
        )

    # Callers and events

    async def run(self) -> RunResult:
        """Run the load and return its results."""
        loop = self.loop
        load_started = loop.time()
        for event in self.load.events:
            loop.call_at(load_started + event.at, self._begin_event, event)
        callers = [
            asyncio.ensure_future(self._call_zone(zone, load_started)) for zone in self.load.zones
        ]
        await asyncio.gather(*callers)
        await asyncio.sleep(END_WAIT_S)
        execution_counts: dict[str, dict[str, int]] = {}
        crossing = 0
        for vm in self.vms.values():
            execution_counts.setdefault(vm.service, {})[vm.name] = vm.execution_count
            for purpose in ("call", "question"):
                crossing += vm.counts.get("ibiswick_crossing_bytes_total", "purpose", purpose)
        return RunResult(
            tuple(self.calls),
            crossing,
            self.refusals,
            execution_counts,
            self.link_wait_s,
            tuple(self.arrivals),
        )

    async def _call_zone(self, zone: Zone, load_started: float) -> None:
        """Make the calls of a zone's callers at random times."""
        kinds = [name for name, kind in self.load.kinds.items() if kind.weight > 0]
        weights = [self.load.kinds[name].weight for name in kinds]
        nodes = [vm for vm in self.vms.values() if vm.zone == zone.name]
        pending: set[asyncio.Task[None]] = set()
        while self.loop.time() < load_started + self.load.seconds:
            await asyncio.sleep(self.rng.expovariate(zone.calls_per_s * self._burst_factor))
            kind_name = self.rng.choices(kinds, weights)[0]
            task = asyncio.ensure_future(self._make_call(zone.name, kind_name, nodes, load_started))
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)

    async def _make_call(
        self, zone: str, kind_name: str, nodes: list[Vm], load_started: float
    ) -> None:
        """Make one call of a caller, which retries as often as the call's kind allows."""
        kind = self.load.kinds[kind_name]
        started = self.loop.time()
        deadline = started + kind.deadline_ms / 1000
        result, times_sent = "failed", 0
        while times_sent <= kind.returns and self.loop.time() < deadline:
            times_sent += 1
            result, wait_s = await self._try_node(kind_name, self.rng.choice(nodes), deadline)
            if result == "answered":
                break
            if result == "failed" and not kind.idempotent:
                break
            limit_s = max(0.0, deadline - self.loop.time()) * MAX_WAIT_SHARE
            await asyncio.sleep(min(wait_s, limit_s))
        elapsed_s = self.loop.time() - started
        if result == "answered":
            in_time = elapsed_s <= kind.target_ms / 1000
            result = "in-time" if in_time else "late"
        self.calls.append(
            CallResult(kind_name, zone, started - load_started, result, elapsed_s, times_sent)
        )

    async def _try_node(self, kind_name: str, vm: Vm, deadline: float) -> tuple[str, float]:
        """Send a call to a node; return the result and the seconds to wait before a retry."""
        if not vm.is_up:
            return "refused", CALLER_RETRY_S
        request = self.build_request(kind_name, b"%d" % next(self._ids), deadline)
        await asyncio.sleep(CALLER_LATENCY_MS / 1000)
        try:
            response = await vm.serve(vm.outbound, request, deadline)
        except (ExchangeTimeoutError, UnacknowledgedError):
            return "failed", CALLER_RETRY_S
        await asyncio.sleep(CALLER_LATENCY_MS / 1000)
        if response.status == 200:
            return "answered", 0.0
        if response.status in (429, 503):
            self.refusals += 1
            return "refused", parse_retry_after_s(response.headers)
        return "failed", CALLER_RETRY_S

    def _begin_event(self, event: Event) -> None:
        """Start an event and schedule its end."""
        candidates = [vm for vm in self.vms.values() if event.service in ("", vm.service)]
        count = max(1, round(event.share * len(candidates)))
        chosen = self.rng.sample(candidates, count)
        if event.kind == "burst":
            self._burst_factor = event.factor
            self.loop.call_later(event.seconds, setattr, self, "_burst_factor", 1.0)
        elif event.kind == "shed":
            for vm in candidates:
                vm.shed_share = event.share
                self.loop.call_later(event.seconds, setattr, vm, "shed_share", 0.0)
        elif event.kind == "crowd":
            for vm in candidates:
                vm.crowd_limit = event.factor
                self.loop.call_later(event.seconds, setattr, vm, "crowd_limit", math.inf)
        elif event.kind == "slow":
            for vm in chosen:
                vm.slow_factor = event.factor
                self.loop.call_later(event.seconds, setattr, vm, "slow_factor", 1.0)
        else:
            for vm in chosen:
                vm.lose_power()
                self.loop.call_later(event.seconds + NODE_START_S, vm.restore_power)


def build_model_snapshot(load: Load) -> Snapshot:
    """Build the configuration of a load, with a route for each kind of call."""
    routes = [
        Route(
            id=name,
            host=HOST.decode(),
            prefix=f"/{name}/",
            methods=[],
            service=kind.service,
            idempotent=kind.idempotent,
            kind="call",
            deadline_ms=kind.deadline_ms,
            retries=kind.attempts - 1,
            hedge_ms=None,
            priority=kind.priority,
            target_ms=kind.target_ms,
            prefers_local=kind.prefers_local,
        )
        for name, kind in load.kinds.items()
    ]
    services = {
        name: {
            "preference": "local-first",
            "slots": service.slots,
            "connections": service.slots * 4,
            "queue_ms": 0,
            "slow_start_ms": 0,
        }
        for name, service in load.services.items()
    }
    return Snapshot("", 1, "", services, tuple(routes))  # type: ignore[arg-type]


def run_load(load: Load, *, seed: int) -> RunResult:
    """Run a load once in virtual time."""
    loop = VirtualTimeLoop()
    return run_in_virtual_time(loop, lambda: SimulatedFleet(load=load, seed=seed, loop=loop).run())
