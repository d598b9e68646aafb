"""Serve the peer port: admit calls to slots of the local backend server and forward them."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..shared.blackboard import Blackboard
from ..shared.errors import ExchangeTimeoutError, NotSentError, ResponseLostError
from ..shared.logs import EventLog
from ..shared.records import LocalInstance, Phase, Snapshot
from .admission import QUEUE_LENGTH_PER_SLOT, Admitted, Queued, Refused, SlotQueue, SlotRequest
from .answers import (
    Answer,
    build_answer,
    build_closing_headers,
    build_not_run_answer,
    build_rejected_answer,
    build_unknown_answer,
    forward_response,
    send_answer,
)
from .bodies import MAX_REPLAY_BYTES, RequestBody
from .callcounts import CallCounts
from .callers import CallerGate, OpenGate
from .capacity import CapacityEstimator
from .exchanges import (
    Exchange,
    ExchangeLimits,
    ExchangeResponse,
    Headers,
    Remote,
    Request,
    read_body,
)
from .heads import (
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    LOAD_HEADER,
    NO_HEADER_NAMES,
    OUTCOME_HEADER,
    OUTCOME_NOT_RUN,
    SPENT_HEADER,
    WAIT_HEADER,
    BackendLoad,
    HeaderNames,
    RequestHead,
    ResponseHead,
    format_load,
    parse_terms,
    read_request_head,
    read_response_head,
    write_framing,
)
from .pressure import BufferHold, Buffers, NoRoomError
from .serving import AbortResponseError, ServerRequest, read_problem_detail
from .turns import BodyTurns

REUSE_WITHIN_S = 1.0
RETRY_AFTER_DRAINING_S = 1.0
RETRY_AFTER_CONNECT_S = 1.0
# The nodes may have different versions of the configuration for so long, usually less.
RETRY_AFTER_PROOF_S = 0.5
# With less time left before the deadline, a failed connect says nothing about the backend server.
MIN_CONNECT_TIME_S = 0.05
# Stalled connections are closed several times within this time.
RETRY_AFTER_BUFFERS_S = 0.5
DEFAULT_QUEUE_S = 0.05
# The turn of a body ends after this many times its usual transfer time plus a few round trips over
# a busy link; the link is then free for other bodies.
TURN_TIMEOUT_FACTOR = 2.0
TURN_TIMEOUT_SLACK_S = 0.3
DEFAULT_MAX_BACKEND_CONNECTIONS = 100

_log = EventLog(component="inbound")


# Weight of the newest call in the moving average of the share of failed calls.
FAILED_SHARE_WEIGHT = 0.05
# Callers take these statuses to mean that the call has not run. A backend server's response with
# one of them is reported as an unknown outcome, unless it has status 421 or the not-run header.
STATUSES_READ_AS_NOT_RUN = frozenset((408, 421, 429, 503))


class AdmissionPolicy(NamedTuple):
    """Configure how calls are admitted to the slots of the local backend server."""

    names: HeaderNames = NO_HEADER_NAMES
    # Receive a large body before its call waits for a slot, in turn with others on the link.
    receives_body_first: bool = False
    # Refuse calls until a backend server has announced itself; its slots and service then apply.
    requires_instance: bool = False
    # None lets only targets and deadlines limit the wait for a slot.
    max_queue_s: float | None = DEFAULT_QUEUE_S
    queue_length_per_slot: int = QUEUE_LENGTH_PER_SLOT
    # Limits the bodies that are received first, and responses, which are forwarded only when they
    # are complete; 0 forwards responses as they arrive.
    max_buffered_body_bytes: int = 0
    # Limits the bytes of all buffered bodies together.
    buffers: Buffers | None = None
    # Rate of this VM's link, 0 if unknown.
    link_bytes_per_s: int = 0
    # Checks the proofs of calls that name a tenant.
    gate: CallerGate = OpenGate()
    # Tells whether the version of the backend server may run calls.
    allows_version: Callable[[], bool] = lambda: True
    # Gets the route, the duration and whether it failed, for each call that was run.
    observe_call: Callable[[str, float, bool], None] = lambda route_id, seconds, failed: None
    # Find out how many concurrent calls the backend server handles well, and admit no more.
    estimates_capacity: bool = False


DEFAULT_POLICY = AdmissionPolicy()


class ConnectWatcher(Protocol):
    """Record whether the backend server can be reached."""

    def note_connect_failure(self, detail: str) -> None:
        """Record that a connection could not be opened."""

    def note_response(self) -> None:
        """Record that the backend server responded."""

    def note_other_instance(self) -> None:
        """Record that another instance has the address of the backend server."""


class Inbound:
    """Handle the requests that other nodes send to the peer port."""

    def __init__(
        self,
        *,
        workspace: str,
        service: str,
        slots: int,
        backend_server: Remote,
        board: Blackboard,
        exchange: Exchange,
        counts: CallCounts,
        watcher: ConnectWatcher,
        upload_idle_s: float,
        clock: Callable[[], float] | None = None,
        policy: AdmissionPolicy = DEFAULT_POLICY,
        rng: random.Random | None = None,
    ) -> None:
        self._policy = policy
        self._names = policy.names
        self._workspace = workspace.encode()
        self._service_name = service
        self._service = service.encode()
        self._slots = slots
        self._remote = backend_server
        self._board = board
        self._exchange = exchange
        self._counts = counts
        self._watcher = watcher
        self._upload_idle_s = upload_idle_s
        self._clock = clock or time.monotonic
        self._snapshot: Snapshot | None = None
        self._max_connections = DEFAULT_MAX_BACKEND_CONNECTIONS
        self._instance: LocalInstance | None = None
        self._failed_share = 0.0
        self._queue = SlotQueue(
            slots=slots, queue_s=policy.max_queue_s, length_per_slot=policy.queue_length_per_slot
        )
        self._capacity = CapacityEstimator(slots=slots, rng=rng or random.Random())
        self._slot_waiters: dict[int, asyncio.Future[bool]] = {}
        self._turns = BodyTurns(link_bytes_per_s=policy.link_bytes_per_s)
        # Calls whose bodies wait for their turn on the link.
        self._turn_waiters: dict[int, asyncio.Future[None]] = {}

    @property
    def queue(self) -> SlotQueue:
        """Return the slots and the calls that wait for one."""
        return self._queue

    async def __call__(self, request: ServerRequest) -> None:
        """Answer one call of another node."""
        head = read_request_head(request.headers, self._names, from_node=True)
        id_headers: Headers = [(CALL_ID_HEADER, head.call_id)]
        refusal = self._check_head(head) or self._check_buffers()
        if refusal is not None:
            self._counts.add("ibiswick_peer_calls_total", "result", refusal.code)
            send_answer(request, refusal, id_headers + build_closing_headers(self._board, request))
            return
        in_flight = self._board.in_flight
        in_flight.set(in_flight.value + 1)
        try:
            await self._serve(request, head, id_headers)
        finally:
            in_flight.set(in_flight.value - 1)

    def _check_head(self, head: RequestHead) -> Answer | None:
        """Return a refusal if the headers show that this node must not serve the call."""
        if head.workspace != self._workspace:
            self._counts.add("ibiswick_refused_total", "reason", "workspace")
            outcome = [(OUTCOME_HEADER, OUTCOME_NOT_RUN)]
            detail = "this node serves another workspace"
            return build_answer(403, "wrong-workspace", detail, outcome)
        if not head.call_id:
            return build_answer(400, "malformed-request", "the call id is missing")
        if head.trailers:
            return build_answer(501, "trailers-unsupported", "trailers are not supported")
        if head.tenant and not self._knows_tenant(head):
            self._counts.add("ibiswick_refused_total", "reason", "tenant-proof")
            detail = "the proof of the tenant does not match"
            answer = build_not_run_answer(detail, retry_after_s=RETRY_AFTER_PROOF_S)
            # Without an expected wait, the refusal would count as a failure of the backend server.
            wait = (WAIT_HEADER, b"%d" % int(RETRY_AFTER_PROOF_S * 1000))
            return answer._replace(headers=[*answer.headers, wait])
        if self._policy.requires_instance:
            return self._check_instance(head, waited=False)
        if head.service and head.service != self._service:
            self._counts.add("ibiswick_refused_total", "reason", "service")
            detail = "this node serves another service"
            return build_not_run_answer(detail, retry_after_s=RETRY_AFTER_DRAINING_S)
        if self._board.phase.value in (Phase.DRAINING, Phase.STOPPED):
            self._counts.add("ibiswick_refused_total", "reason", "draining")
            return build_not_run_answer("this node drains", retry_after_s=RETRY_AFTER_DRAINING_S)
        return None

    def _knows_tenant(self, head: RequestHead) -> bool:
        """Tell whether the calling node has proved that it knows the tenant that it names."""
        gate, now = self._policy.gate, self._clock()
        snapshot = self._board.snapshot.value
        if snapshot is not None:
            gate.update(snapshot.tenants, now=now)
        return gate.check_proof(head.tenant, head.call_id, head.tenant_proof, now=now)

    def _open_hold(self) -> BufferHold | None:
        buffers = self._policy.buffers
        return None if buffers is None else BufferHold(buffers=buffers)

    def _check_buffers(self) -> Answer | None:
        """Return a refusal while the process has no room for the bytes of another call."""
        buffers = self._policy.buffers
        if buffers is None or not buffers.is_short:
            return None
        self._counts.add("ibiswick_refused_total", "reason", "buffers")
        return build_not_run_answer(
            "no buffer is free", retry_after_s=RETRY_AFTER_BUFFERS_S, fractional_retry_after=True
        )

    def _check_instance(self, head: RequestHead, *, waited: bool) -> Answer | None:
        """Return a refusal unless the announced backend server accepts the call.

        A draining node still serves the calls that have `waited` for a slot.
        """
        if not self._policy.requires_instance:
            return None
        instance = self._board.instance.value
        reason = ""
        if not waited and not self._accepts(head):
            reason = "draining"
        elif instance is None:
            reason = "unannounced"
        elif instance.leaving:
            reason = "leaving"
        elif head.service != instance.service.encode():
            reason = "service"
        elif not self._policy.allows_version():
            reason = "version"
        if not reason:
            return None
        self._counts.add("ibiswick_refused_total", "reason", reason)
        _log.info(
            "call-turned-away",
            id=head.attempt_id.decode("latin-1") or "-",
            reason=reason,
            asked=head.service.decode("latin-1") or "-",
            instance=instance.instance if instance is not None else "-",
            phase=self._board.phase.value.value,
        )
        return build_not_run_answer(
            f"refused by the node: {reason}",
            retry_after_s=RETRY_AFTER_DRAINING_S,
            fractional_retry_after=True,
        )

    def _accepts(self, head: RequestHead) -> bool:
        """Tell whether this node accepts calls and won't stop before the call's deadline."""
        if not self._board.accepts_peer_calls.value:
            return False
        stop_at = self._board.stop_at.value
        if stop_at is None or head.deadline_ms is None:
            return True
        return self._clock() + head.deadline_ms / 1000 <= stop_at

    async def _serve(self, request: ServerRequest, head: RequestHead, id_headers: Headers) -> None:
        self._update_limits()
        arrived_at = self._clock()
        deadline = None if head.deadline_ms is None else arrived_at + head.deadline_ms / 1000
        slot_request = build_slot_request(head, now=arrived_at, deadline=deadline)
        body = RequestBody(request, hold=self._open_hold())
        refused = await self._receive_body(body, head, slot_request)
        if refused is None:
            if body.received_early:
                # Waiting here is faster than sending the body to another node.
                slot_request = slot_request._replace(max_slot_wait_s=None)
            refused = await self._acquire_slot(self._clock(), slot_request)
        if refused is not None:
            self._counts.add("ibiswick_refused_total", "reason", refused.reason)
            self._counts.add("ibiswick_peer_calls_total", "result", "not-run")
            self._log_refusal(head, slot_request, refused)
            detail = f"no free slot: {refused.reason}"
            answer = build_not_run_answer(
                detail,
                retry_after_s=refused.retry_after_s,
                fractional_retry_after=bool(self._names.attempt_id),
            )
            wait = (WAIT_HEADER, b"%d" % int(refused.retry_after_s * 1000))
            send_answer(
                request, answer, [*self._add_load_header(id_headers, slot_request.route_id), wait]
            )
            return
        refusal = self._check_instance(head, waited=True)
        if refusal is not None:
            # The backend server began to leave, or was replaced, while the call waited.
            self._grant(self._queue.release(now=self._clock(), reached_backend=False))
            send_answer(request, refusal, self._add_load_header(id_headers))
            return
        started_at = self._clock()
        self._counts.observe(
            "ibiswick_slot_wait_seconds", "result", "admitted", started_at - arrived_at
        )
        duration_counts = False
        concurrency = self._queue.busy
        self._board.running_call_priorities[head.attempt_id] = slot_request.priority
        if head.is_repeat and head.attempt_id:
            self._board.repeated_runs.begin(head.attempt_id)
        try:
            duration_counts = await self._forward(
                request, body, head, id_headers, slot_request, arrived_at
            )
        finally:
            self._board.running_call_priorities.pop(head.attempt_id, None)
            now = self._clock()
            if duration_counts and self._policy.estimates_capacity:
                self._note_capacity(slot_request.route_id, now - started_at, concurrency)
            if head.is_repeat and head.attempt_id:
                self._board.repeated_runs.end(head.attempt_id, now=now)
            tickets = self._queue.release(
                now=now,
                duration_s=now - started_at,
                reached_backend=duration_counts,
                route_id=slot_request.route_id,
            )
            self._grant(tickets)
            for ticket in self._queue.expire(now=now):
                self._refuse_waiter(ticket)

    def _update_limits(self) -> None:
        """Apply the policy of a new snapshot; the VM's configured slots stay the upper limit."""
        if self._policy.requires_instance:
            self._update_from_instance()
            return
        snapshot = self._board.snapshot.value
        if snapshot is self._snapshot or snapshot is None:
            return
        self._snapshot = snapshot
        policy = snapshot.services.get(self._service_name)
        if policy is not None:
            self._queue.slots = min(self._slots, policy["slots"])
            self._queue.queue_s = policy["queue_ms"] / 1000
            # With a connection for every slot, no call is refused for lack of one.
            self._max_connections = max(policy["connections"], self._queue.slots)
            self._grant(self._queue.admit(now=self._clock()))

    def _update_from_instance(self) -> None:
        """Apply the slots of a newly announced backend server."""
        instance = self._board.instance.value
        if instance is None or instance is self._instance:
            return
        self._instance = instance
        self._queue.slots = instance.slots
        self._capacity.reset(slots=instance.slots)
        # With a connection for every slot, no call is refused for lack of one.
        self._max_connections = max(DEFAULT_MAX_BACKEND_CONNECTIONS, instance.slots)
        self._grant(self._queue.admit(now=self._clock()))

    def _note_capacity(self, route_id: str, duration_s: float, concurrency: int) -> None:
        """Record the end of a call, and apply the limit that the estimator now chooses."""
        capacity = self._capacity
        chosen = capacity.chosen
        capacity.note_call(
            now=self._clock(),
            route_id=route_id,
            duration_s=duration_s,
            concurrency=concurrency,
            is_saturated=self._queue.queued > 0,
        )
        self._queue.slots = capacity.limit
        if capacity.chosen != chosen:
            _log.info("capacity-changed", limit=capacity.chosen, slots=capacity.slots)

    # Slots

    async def _receive_body(
        self, body: RequestBody, head: RequestHead, slot_request: SlotRequest
    ) -> Refused | None:
        """Receive a body before its call takes a slot, unless the call would be refused anyway.

        A body that arrives over a slow link would otherwise hold a slot that other calls need. Each
        body waits for its turn, which reserves a part of this VM's link.
        """
        if not self._policy.receives_body_first or not head.expects_continue:
            return None
        now = self._clock()
        turn_s = self._turns.estimate_wait() if self._turns.link_bytes_per_s else None
        refused = self._queue.find_refusal(
            now=now, slot_request=slot_request, receives_body=True, turn_wait_s=turn_s
        )
        if refused is not None:
            self._queue.note_refusal(slot_request, now=now)
            return refused
        limit_s = (
            self._upload_idle_s if slot_request.deadline is None else slot_request.deadline - now
        )
        size_bytes = MAX_REPLAY_BYTES if head.content_length is None else head.content_length
        ticket = self._turns.enter(size_bytes, sender_bytes_per_s=head.link_bytes_per_s)
        turn_timeout: asyncio.TimerHandle | None = None
        self._queue.receiving_bodies += 1
        try:
            async with asyncio.timeout(limit_s):
                await self._wait_body_turn(ticket)
                began_at = self._clock()
                turn_timeout = self._start_turn_timeout(ticket, size_bytes, head.link_bytes_per_s)
                await body.fill_buffer(limit=self._policy.max_buffered_body_bytes)
            self._queue.note_received(self._clock() - began_at)
        except TimeoutError:
            return Refused("body-late", self._turns.estimate_wait())
        except NoRoomError:
            return Refused("buffers", RETRY_AFTER_BUFFERS_S)
        finally:
            self._queue.receiving_bodies -= 1
            if turn_timeout is not None:
                turn_timeout.cancel()
            self._end_turn(ticket)
        body.received_early = True
        return None

    async def _wait_body_turn(self, ticket: int) -> None:
        """Wait until the link has room for a body, which its sender holds back until then."""
        if self._turns.is_admitted(ticket):
            return
        waiter = self._turn_waiters[ticket] = asyncio.get_running_loop().create_future()
        started_at = self._clock()
        try:
            await waiter
        finally:
            del self._turn_waiters[ticket]
            waited_s = self._clock() - started_at
            self._counts.observe("ibiswick_body_turn_seconds", "link", "own", waited_s)

    def _start_turn_timeout(
        self, ticket: int, size_bytes: int, sender_bytes_per_s: int
    ) -> asyncio.TimerHandle:
        """Start the timer that ends a turn, as the sender may be gone; a late body is accepted."""
        usual_s = self._turns.estimate_transfer(size_bytes, sender_bytes_per_s=sender_bytes_per_s)
        limit_s = TURN_TIMEOUT_FACTOR * usual_s + TURN_TIMEOUT_SLACK_S
        return asyncio.get_running_loop().call_later(limit_s, self._end_turn, ticket)

    def _end_turn(self, ticket: int) -> None:
        for admitted in self._turns.leave(ticket):
            waiter = self._turn_waiters.get(admitted)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    async def _acquire_slot(self, now: float, slot_request: SlotRequest) -> Refused | None:
        """Wait for a slot; return None once the call has one."""
        decision = self._queue.offer(now=now, slot_request=slot_request)
        if isinstance(decision, Admitted):
            return None
        if isinstance(decision, Refused):
            return decision
        if decision.displaced is not None:
            self._refuse_waiter(decision.displaced)
        return await self._wait_slot(decision, now)

    async def _wait_slot(self, queued: Queued, now: float) -> Refused | None:
        loop = asyncio.get_running_loop()
        granted = loop.create_future()
        self._slot_waiters[queued.ticket] = granted
        timer = loop.call_later(queued.expires_at - now, self._end_slot_wait, queued.ticket)
        try:
            await granted
        except asyncio.CancelledError:
            self._leave_queue(queued.ticket)
            raise
        finally:
            timer.cancel()
            self._slot_waiters.pop(queued.ticket, None)
        if not granted.result():
            return Refused("queue-time", self._queue.estimate_wait(now=self._clock()))
        return None

    def _leave_queue(self, ticket: int) -> None:
        """Remove a call from the queue; a slot granted in the meantime goes to the next call."""
        waiter = self._slot_waiters.pop(ticket, None)
        if self._queue.withdraw(ticket):
            return
        if waiter is not None and waiter.done() and not waiter.cancelled() and waiter.result():
            self._grant(self._queue.release(now=self._clock()))

    def _end_slot_wait(self, ticket: int) -> None:
        """Refuse a call that got no slot in time."""
        self._queue.withdraw(ticket, now=self._clock())
        self._refuse_waiter(ticket)

    def _refuse_waiter(self, ticket: int) -> None:
        waiter = self._slot_waiters.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(False)

    def _grant(self, tickets: list[int]) -> None:
        pending = deque(tickets)
        while pending:
            waiter = self._slot_waiters.get(pending.popleft())
            if waiter is None or waiter.done():
                # The call was cancelled but has not left the queue yet.
                pending.extend(self._queue.release(now=self._clock()))
            else:
                waiter.set_result(True)

    # Forwarding

    async def _forward(
        self,
        request: ServerRequest,
        body: RequestBody,
        head: RequestHead,
        id_headers: Headers,
        slot_request: SlotRequest,
        arrived_at: float,
    ) -> bool:
        """Forward a call; return whether its time in the slot counts as the duration of a call.

        It counts when the response was forwarded or did not arrive in time.
        """
        deadline = slot_request.deadline
        started_at = self._clock()
        if body.received_early:
            pass
        elif head.expects_continue:
            # The calling node sends the body only when this node reads it, which is after the
            # connection to the backend server is open.
            body.is_complete = False
        elif not body.take_arrived() and not await self._read_body_start(body, deadline):
            detail = "the body did not arrive in time"
            answer = build_not_run_answer(detail, retry_after_s=RETRY_AFTER_CONNECT_S)
            send_answer(request, answer, self._add_load_header(id_headers))
            return False
        names = self._names
        limits = ExchangeLimits(
            deadline,
            None,
            self._upload_idle_s if deadline is None else None,
            REUSE_WITHIN_S,
            head.attempt_id or None,
            self._max_connections,
            id_header=names.attempt_id,
            skip_stale_responses=bool(head.attempt_id),
            allow_close_delimited=bool(names.attempt_id),
            max_body_bytes=self._policy.max_buffered_body_bytes or None,
        )
        forwarded_request = self._build_request(request, head, body, deadline)
        is_refused = False
        try:
            response = await self._exchange(self._remote, forwarded_request, limits)
            response_head = read_response_head(response.headers, response.status, names)
            answer = await self._build_replacement(response, response_head)
            # Such a call has not run, and says nothing about the version.
            is_refused = response_head.not_run or response.status == 421
            if answer is None:
                failed = response.status >= 500
                self._record_result(failed)
                await self._forward_response(
                    request, response, response_head, id_headers, slot_request.route_id, arrived_at
                )
                self._policy.observe_call(slot_request.route_id, self._clock() - started_at, failed)
                return True
        except NotSentError as error:
            if deadline is None or deadline - self._clock() > MIN_CONNECT_TIME_S:
                self._watcher.note_connect_failure(str(error))
            answer = build_not_run_answer(str(error), retry_after_s=RETRY_AFTER_CONNECT_S)
        except ExchangeTimeoutError as error:
            answer = build_unknown_answer(str(error), timed_out=True)
        except ResponseLostError as error:
            answer = build_unknown_answer(str(error), timed_out=False)
        self._record_result(True)
        if not is_refused:
            self._policy.observe_call(slot_request.route_id, self._clock() - started_at, True)
        self._log_outcome(head, answer)
        self._counts.add("ibiswick_peer_calls_total", "result", answer.code)
        send_answer(request, answer, self._add_load_header(id_headers, slot_request.route_id))
        return answer.status == 504

    async def _build_replacement(
        self, response: ExchangeResponse, head: ResponseHead
    ) -> Answer | None:
        """Return the answer that replaces a response, or None to forward the response."""
        names = self._names
        status = response.status
        if not names.attempt_id:
            return None
        if head.not_run or status == 421:
            response.close()
            if status == 421:
                self._watcher.note_other_instance()
            detail = f"the backend server refused with {status}"
            return build_rejected_answer(
                detail, retry_after_s=self._queue.estimate_wait(now=self._clock())
            )
        if status in STATUSES_READ_AS_NOT_RUN:
            response.close()
            return build_unknown_answer(f"the backend server answered {status}", timed_out=False)
        if 200 <= status < 300 and not (head.has_signature and head.attempt_id):
            response.close()
            detail = (
                f"a response with {status} without the backend server's signature or attempt id"
            )
            return build_unknown_answer(detail, timed_out=False)
        return None

    def _log_refusal(self, head: RequestHead, slot_request: SlotRequest, refused: Refused) -> None:
        """Log why a call got no slot, except where the calling node limits the wait.

        Such a node may ask other nodes and logs the outcome itself.
        """
        if slot_request.max_slot_wait_s is not None:
            return
        queue = self._queue
        _log.info(
            "call-not-admitted",
            id=head.attempt_id.decode("latin-1") or "-",
            reason=refused.reason,
            kind=slot_request.route_id or "-",
            priority=slot_request.priority,
            busy=queue.busy,
            queued=queue.queued,
            slots=queue.slots,
            wait_ms=int(refused.retry_after_s * 1000),
            duration_ms=int(queue.estimate_duration(slot_request.route_id) * 1000),
            deadline_ms="-" if head.deadline_ms is None else head.deadline_ms,
        )

    def _log_outcome(self, head: RequestHead, answer: Answer) -> None:
        """Log a call that was sent to the backend server and got no response to forward."""
        _log.info(
            "call-not-answered",
            id=head.attempt_id.decode("latin-1") or "-",
            status=answer.status,
            code=answer.code,
            detail=read_problem_detail(answer.body),
            instance=self._instance.instance if self._instance is not None else "-",
            busy=self._queue.busy,
            slots=self._queue.slots,
        )

    async def _read_body_start(self, body: RequestBody, deadline: float | None) -> bool:
        """Read a body up to `MAX_REPLAY_BYTES`; return False when it does not arrive in time."""
        limit_s = self._upload_idle_s if deadline is None else deadline - self._clock()
        try:
            async with asyncio.timeout(limit_s):
                await body.fill_buffer(limit=MAX_REPLAY_BYTES)
        except (TimeoutError, NoRoomError):
            return False
        return True

    async def _forward_response(
        self,
        request: ServerRequest,
        response: ExchangeResponse,
        response_head: ResponseHead,
        id_headers: Headers,
        kind: str,
        arrived_at: float,
    ) -> None:
        """Forward a response; raise ResponseLostError if it breaks off before anything is sent."""
        self._watcher.note_response()
        if self._policy.max_buffered_body_bytes and request.method != "HEAD":
            body = await read_body(
                response,
                limit=self._policy.max_buffered_body_bytes,
                hold=self._open_hold(),
            )
            spent_ms = int((self._clock() - arrived_at) * 1000)
            headers = (
                response_head.headers
                + self._add_load_header(id_headers, kind)
                + [(SPENT_HEADER, b"%d" % spent_ms)]
            )
            request.respond(response.status, headers, body)
            self._counts.add("ibiswick_peer_calls_total", "result", "answered")
            return
        headers = response_head.headers + self._add_load_header(id_headers, kind)
        try:
            await forward_response(request, response, headers)
        except AbortResponseError:
            self._counts.add("ibiswick_peer_calls_total", "result", "cut-off")
            raise
        self._counts.add("ibiswick_peer_calls_total", "result", "answered")

    def _add_load_header(self, id_headers: Headers, kind: str = "") -> Headers:
        queue = self._queue
        duration_s = queue.get_duration(kind) if kind else None
        load = BackendLoad(
            queue.busy,
            queue.queued,
            queue.slots,
            None if duration_s is None else int(duration_s * 1000),
            int(self._failed_share * 100),
        )
        return [*id_headers, (LOAD_HEADER, format_load(load))]

    def _record_result(self, failed: bool) -> None:
        self._failed_share += FAILED_SHARE_WEIGHT * (failed - self._failed_share)

    def _build_request(
        self, request: ServerRequest, head: RequestHead, body: RequestBody, deadline: float | None
    ) -> Request:
        method = request.method
        lines = [method.encode(), b" ", request.target, b" HTTP/1.1\r\n", head.forwarded_headers]
        if deadline is not None:
            remaining_ms = max(1, int((deadline - self._clock()) * 1000))
            lines += (DEADLINE_HEADER, b": ", b"%d\r\n" % remaining_ms)
        if self._names.expected_instance and self._instance is not None:
            instance = self._instance.instance.encode("latin-1")
            lines += (self._names.expected_instance, b": ", instance, b"\r\n")
        if head.tenant and self._names.tenant:
            lines += (self._names.tenant, b": ", head.tenant, b"\r\n")
        lines += (write_framing(head, body), b"\r\n")
        is_head = method == "HEAD"
        if body.is_complete:
            return Request(b"".join(lines), body.buffered, is_head=is_head)
        return Request(b"".join(lines), stream=body.stream(), chunked=head.chunked, is_head=is_head)


def build_slot_request(head: RequestHead, *, now: float, deadline: float | None) -> SlotRequest:
    """Build the slot request from a call's terms, whose times count from its arrival, `now`."""
    tenant = head.tenant.decode(errors="replace")
    if not head.terms:
        return SlotRequest(deadline, tenant=tenant, tenant_weight=head.tenant_weight)
    terms = parse_terms(head.terms)
    target = None if terms.target_ms is None else now + terms.target_ms / 1000
    max_slot_wait_s = None if terms.max_wait_ms is None else terms.max_wait_ms / 1000
    return SlotRequest(
        deadline,
        terms.kind,
        terms.priority,
        target,
        max_slot_wait_s,
        tenant,
        head.tenant_weight,
    )
