"""Serve the caller port: route calls, choose endpoints, retry and hedge."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from ..shared.blackboard import Blackboard
from ..shared.errors import ExchangeTimeoutError, NotSentError, ResponseLostError
from ..shared.logs import EventLog
from ..shared.records import Phase, Route, ServicePolicy, Snapshot
from .answers import (
    Answer,
    build_answer,
    build_closing_headers,
    build_not_run,
    build_unknown,
    pass_response,
    send_answer,
)
from .balance import Balancer, EndpointState, HealthChange
from .bodies import MAX_REPLAY_BYTES, RequestBody
from .callcounts import CallCounts
from .heads import (
    CALL,
    DEADLINE,
    OUTCOME_NOT_RUN,
    SERVICE,
    WORKSPACE,
    RequestHead,
    ResponseHead,
    find_retry_after,
    normalize_host,
    read_request_head,
    read_response_head,
    write_framing,
)
from .pool import ConnectionsBusyError, Exchange, ExchangeResponse, Limits, Remote, Request
from .retries import (
    Outcome,
    RetryBudget,
    compute_attempt_deadline,
    compute_deadline,
    count_attempts,
    decide_hedge,
    decide_retry,
    shrink_deadline_ms,
)
from .routes import RouteTable, has_dot_segment
from .serving import AbortResponseError, ServerRequest

# A connection that was silent for longer may have been closed or cut off by now, and a call that
# must not run twice could not be sent again.
ALIVE_WITHIN_S = 1.0
RETRY_AFTER_UNREADY_S = 1.0
# Responses of a backend server that count against it when endpoints are chosen. The response itself
# still goes to the caller, because the call may have run.
FAILURE_STATUSES = frozenset((500, 502, 503, 504))
RETRY_AFTER_DRAINING_S = 1.0

_log = EventLog(component="outbound")


class Attempt(NamedTuple):
    """Hold the result of one attempt."""

    outcome: Outcome
    detail: str
    response: ExchangeResponse | None = None
    head: ResponseHead | None = None
    is_busy: bool = False
    retry_after_s: float = RETRY_AFTER_UNREADY_S


class Call:
    """Hold what stays the same over the attempts of one call."""

    __slots__ = (
        "allowed",
        "attempts",
        "body",
        "deadline",
        "head",
        "maybe_ran",
        "method",
        "route",
        "service",
        "target",
        "timed_out",
        "tried",
    )

    def __init__(
        self,
        *,
        method: str,
        target: bytes,
        route: Route,
        service: ServiceState,
        head: RequestHead,
        body: RequestBody,
        deadline: float | None,
    ) -> None:
        self.service = service
        self.method = method
        self.target = target
        self.route = route
        self.head = head
        self.body = body
        self.deadline = deadline
        self.allowed = count_attempts(route["retries"])
        self.attempts = 0
        self.maybe_ran = False
        self.timed_out = False
        self.tried: tuple[EndpointState, ...] = ()


class ServiceState:
    """Hold what this node keeps of one service."""

    __slots__ = ("balancer", "budget", "policy")

    def __init__(self, policy: ServicePolicy, *, availability_zone: str, now: float) -> None:
        self.policy = policy
        self.balancer = Balancer(availability_zone=availability_zone)
        self.budget = RetryBudget(now=now)


class Outbound:
    """Serve the caller port as a handler of requests."""

    def __init__(
        self,
        *,
        workspace: str,
        availability_zone: str,
        board: Blackboard,
        exchange: Exchange,
        counts: CallCounts,
        upload_idle_s: float,
        rng: random.Random | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._workspace = workspace
        self._zone = availability_zone
        self._board = board
        self._exchange = exchange
        self._counts = counts
        self._upload_idle_s = upload_idle_s
        self._rng = rng or random.Random()
        self._clock = clock or time.monotonic
        self._snapshot: Snapshot | None = None
        self._endpoints_version = -1
        self._table = RouteTable(())
        self._services: dict[str, ServiceState] = {}
        # Ids must differ from those of other nodes and of earlier processes on this VM.
        self._id_prefix = os.urandom(6).hex().encode()
        self._ids = itertools.count(1)

    async def __call__(self, request: ServerRequest) -> None:
        """Answer one request of a caller."""
        board = self._board
        in_flight = board.in_flight
        refusal = self._refuse_by_phase()
        if refusal is not None:
            send_answer(request, refusal, build_closing_headers(board, request))
            return
        in_flight.set(in_flight.value + 1)
        try:
            await self._serve(request)
        finally:
            in_flight.set(in_flight.value - 1)

    def _refuse_by_phase(self) -> Answer | None:
        """Return a refusal while this node must not carry calls."""
        board = self._board
        phase = board.phase.value
        if phase in (Phase.DRAINING, Phase.STOPPED):
            self._counts.add("ibiswick_refused_total", "reason", "draining")
            return build_not_run("this node drains", retry_after_s=RETRY_AFTER_DRAINING_S)
        if not board.floor_confirmed.value or board.snapshot.value is None:
            self._counts.add("ibiswick_refused_total", "reason", "starting")
            detail = "this node has not confirmed its configuration yet"
            return build_not_run(detail, retry_after_s=RETRY_AFTER_UNREADY_S)
        return None

    async def _serve(self, request: ServerRequest) -> None:
        call = await self._prepare(request)
        if isinstance(call, Answer):
            self._counts.add("ibiswick_calls_total", "result", call.code)
            send_answer(request, call)
            return
        service = call.service
        service.budget.note_call()
        hedge_s = decide_hedge(
            idempotent=call.route["idempotent"],
            replayable=call.body.whole,
            hedge_ms=call.route["hedge_ms"],
        )
        if hedge_s is None:
            attempt = await self._try_until_final(call, service)
        else:
            attempt = await self._try_hedged(call, service, hedge_s)
        await self._finish(call, attempt, request)

    # Preparation

    async def _prepare(self, request: ServerRequest) -> Call | Answer:
        """Find the route and read the start of the body."""
        self._refresh()
        head = read_request_head(request.headers)
        path = request.path
        if head.trailers:
            return build_answer(501, "trailers-unsupported", "trailers are not supported")
        if head.hosts != 1:
            return build_answer(400, "malformed-request", "exactly one Host header is needed")
        if has_dot_segment(path):
            return build_answer(400, "malformed-request", "the path has dot segments")
        method = request.method
        route = self._table.find(normalize_host(head.host), path, method)
        if route is None:
            return build_answer(404, "no-route", "no route matches the host, path and method")
        # A new snapshot may remove the service while the body arrives.
        service = self._services[route["service"]]
        now = self._clock()
        deadline = None
        is_upload = route["kind"] == "upload"
        if not is_upload:
            deadline = compute_deadline(
                now=now, route_ms=route["deadline_ms"], caller_ms=head.deadline_ms
            )
        body = RequestBody(request)
        if not body.take_start():
            limit = 0 if is_upload else MAX_REPLAY_BYTES
            limit_s = self._upload_idle_s if deadline is None else deadline - now
            try:
                async with asyncio.timeout(limit_s):
                    await body.read_start(limit=limit)
            except TimeoutError:
                self._counts.add("ibiswick_refused_total", "reason", "body-late")
                detail = "the body did not arrive in time"
                return build_not_run(detail, retry_after_s=RETRY_AFTER_UNREADY_S)
        return Call(
            method=method,
            target=request.target,
            route=route,
            service=service,
            head=head,
            body=body,
            deadline=deadline,
        )

    def _refresh(self) -> None:
        """Take over a new snapshot or new endpoints."""
        snapshot = self._board.snapshot.value
        endpoints = self._board.endpoints
        if snapshot is self._snapshot and endpoints.version == self._endpoints_version:
            return
        now = self._clock()
        if snapshot is not None and snapshot is not self._snapshot:
            self._table = RouteTable(snapshot.routes)
            for name, policy in snapshot.services.items():
                state = self._services.get(name)
                if state is None:
                    state = ServiceState(policy, availability_zone=self._zone, now=now)
                    self._services[name] = state
                state.policy = policy
            for name in self._services.keys() - snapshot.services.keys():
                del self._services[name]
        self._snapshot = snapshot
        self._endpoints_version = endpoints.version
        for name, state in self._services.items():
            state.balancer.update(endpoints.value.get(name, ()), state.policy, now=now)

    def _log_health(self, change: HealthChange) -> None:
        self._counts.add("ibiswick_ejections_total", "event", change.event)
        _log.info(
            change.event,
            vm=change.endpoint.vm,
            reason=change.reason,
            period_s=change.period_s,
        )

    # Attempts

    async def _try_until_final(self, call: Call, service: ServiceState) -> Attempt:
        """Make attempts until one is final; at the first that is, return at once."""
        while True:
            attempt = await self._try_once(call, service)
            if attempt.outcome is Outcome.RESPONSE:
                return attempt
            if not await self._may_repeat(call, service, attempt):
                return attempt

    async def _may_repeat(self, call: Call, service: ServiceState, attempt: Attempt) -> bool:
        now = self._clock()
        decision = decide_retry(
            attempt.outcome,
            idempotent=call.route["idempotent"],
            replayable=call.body.replayable,
            attempts=call.attempts,
            allowed=call.allowed,
            remaining_s=self._upload_idle_s if call.deadline is None else call.deadline - now,
            elsewhere=len(set(call.tried)) < len(service.balancer.states),
            budget=service.budget,
            now=now,
            rng=self._rng,
        )
        self._counts.add("ibiswick_retries_total", "reason", decision.reason)
        if decision.delay_s > 0:
            await asyncio.sleep(decision.delay_s)
        return decision.retry

    async def _try_hedged(self, call: Call, service: ServiceState, hedge_s: float) -> Attempt:
        """Make a second attempt when the first is slow; the first response wins."""
        first = asyncio.create_task(self._try_until_final(call, service))
        tasks = {first}
        winner: Attempt | None = None
        try:
            await asyncio.wait(tasks, timeout=hedge_s)
            if not first.done() and call.attempts < call.allowed:
                if service.budget.take(now=self._clock()):
                    self._counts.add("ibiswick_hedges_total", "result", "started")
                    tasks.add(asyncio.create_task(self._try_once(call, service)))
                else:
                    self._counts.add("ibiswick_hedges_total", "result", "budget-exhausted")
            winner = await _take_first(tasks)
            if not (first.done() and first.result() is winner):
                self._counts.add("ibiswick_hedges_total", "result", "won")
            return winner
        finally:
            for task in tasks:
                _dismiss(task, winner)

    async def _try_once(self, call: Call, service: ServiceState) -> Attempt:
        """Make one attempt on one endpoint and note what was observed of it."""
        now = self._clock()
        balancer = service.balancer
        call.attempts += 1
        for change in balancer.readmit(now=now):
            self._log_health(change)
        state = balancer.choose(now=now, rng=self._rng, exclude=call.tried)
        if state is None:
            self._counts.add("ibiswick_refused_total", "reason", "no-endpoint")
            return Attempt(Outcome.NOT_RUN, "the service has no endpoint")
        call.tried += (state,)
        state.in_flight += 1
        try:
            attempt = await self._send(call, service, state, now)
        except asyncio.CancelledError:
            balancer.note_abandoned(state, latency_s=self._clock() - now)
            raise
        finally:
            state.in_flight -= 1
        self._counts.add("ibiswick_attempts_total", "outcome", attempt.outcome)
        if attempt.outcome in (Outcome.LOST, Outcome.TIMEOUT):
            call.maybe_ran = True
            call.timed_out = attempt.outcome is Outcome.TIMEOUT
        self._note_outcome(balancer, state, attempt, now)
        return attempt

    async def _send(
        self, call: Call, service: ServiceState, state: EndpointState, now: float
    ) -> Attempt:
        endpoint = state.endpoint
        if call.deadline is not None and call.deadline <= now:
            return Attempt(Outcome.NOT_RUN, "the deadline passed before the call was sent")
        call_id = b"%b-%d" % (self._id_prefix, next(self._ids))
        idempotent = call.route["idempotent"]
        deadline = head_deadline = call.deadline
        if deadline is not None:
            head_deadline = compute_attempt_deadline(
                now=now,
                deadline=deadline,
                idempotent=idempotent,
                attempts_left=call.allowed - call.attempts + 1,
                typical_s=service.balancer.typical_latency_s,
            )
        limits = Limits(
            deadline,
            head_deadline,
            self._upload_idle_s if deadline is None else None,
            None if idempotent else ALIVE_WITHIN_S,
            call_id,
            service.policy["connections"],
        )
        request = self._build_request(call, call_id, deadline, now)
        remote = Remote(endpoint.host, endpoint.port, endpoint.vm)
        try:
            response = await self._exchange(remote, request, limits)
        except ConnectionsBusyError as error:
            return Attempt(Outcome.NOT_RUN, str(error), is_busy=True)
        except NotSentError as error:
            return Attempt(Outcome.NOT_RUN, str(error))
        except ExchangeTimeoutError as error:
            return Attempt(Outcome.TIMEOUT, str(error))
        except ResponseLostError as error:
            return Attempt(Outcome.LOST, str(error))
        head = read_response_head(response.headers, response.status)
        if not head.outcome:
            return Attempt(Outcome.RESPONSE, "", response, head)
        return await self._read_peer_outcome(response, head)

    async def _read_peer_outcome(self, response: ExchangeResponse, head: ResponseHead) -> Attempt:
        """Interpret a response made by the peer's node itself."""
        detail = f"the peer answered {response.status}"
        try:
            while await response.read():
                # The body repeats in words what the header says.
                pass
        except ResponseLostError as error:
            detail = str(error)
        if head.outcome == OUTCOME_NOT_RUN:
            is_busy = head.load is not None and head.load.in_flight >= head.load.slots
            retry_after_s = find_retry_after(head.headers)
            return Attempt(Outcome.NOT_RUN, detail, None, head, is_busy, retry_after_s)
        if response.status == 504:
            return Attempt(Outcome.TIMEOUT, detail, None, head)
        return Attempt(Outcome.LOST, detail, None, head)

    def _build_request(
        self, call: Call, call_id: bytes, deadline: float | None, now: float
    ) -> Request:
        head, body = call.head, call.body
        lines = [
            call.method.encode(),
            b" ",
            call.target,
            b" HTTP/1.1\r\n",
            head.passed,
            CALL,
            b": ",
            call_id,
            b"\r\n" + WORKSPACE + b": ",
            self._workspace.encode(),
            b"\r\n" + SERVICE + b": ",
            call.route["service"].encode(),
        ]
        if deadline is not None:
            remaining_ms = shrink_deadline_ms(now=now, deadline=deadline)
            lines += (b"\r\n" + DEADLINE + b": ", b"%d" % remaining_ms)
        lines += (b"\r\n", write_framing(head, body))
        if body.whole:
            lines.append(b"\r\n")
            return Request(b"".join(lines), body.start, is_head=call.method == "HEAD")
        # The peer asks for the body once it has a slot, so until then it can go to another one.
        lines.append(b"expect: 100-continue\r\n\r\n")
        return Request(
            b"".join(lines),
            stream=body.stream(),
            chunked=head.chunked,
            is_head=call.method == "HEAD",
            await_continue=True,
        )

    def _note_outcome(
        self, balancer: Balancer, state: EndpointState, attempt: Attempt, started: float
    ) -> None:
        """Note what an attempt says about its endpoint."""
        now = self._clock()
        load = attempt.head.load if attempt.head is not None else None
        if load is not None:
            balancer.note_load(state, load.in_flight + load.queued, now=now)
        status = attempt.response.status if attempt.response is not None else 0
        if attempt.outcome is Outcome.RESPONSE and status not in FAILURE_STATUSES:
            balancer.note_success(state, latency_s=now - started)
            return
        if attempt.outcome is Outcome.TIMEOUT:
            balancer.note_abandoned(state, latency_s=now - started)
        if attempt.is_busy:
            # The backend server is busy, not broken.
            return
        reason = f"status-{status}" if status else attempt.outcome.value
        change = balancer.note_failure(state, now=now, reason=reason)
        if change is not None:
            self._log_health(change)

    # Answers

    async def _finish(self, call: Call, attempt: Attempt, request: ServerRequest) -> None:
        response, head = attempt.response, attempt.head
        if response is None or head is None:
            answer = self._build_failure(call, attempt)
            self._counts.add("ibiswick_calls_total", "result", answer.code)
            send_answer(request, answer)
            return
        try:
            await pass_response(request, response, head.headers)
        except AbortResponseError:
            self._counts.add("ibiswick_calls_total", "result", "cut-off")
            raise
        self._counts.add("ibiswick_calls_total", "result", "answered")

    def _build_failure(self, call: Call, attempt: Attempt) -> Answer:
        """Build the final answer to a call without a response.

        A call is "not run" only if none of its attempts may have run.
        """
        if call.maybe_ran:
            return build_unknown(attempt.detail, timed_out=call.timed_out)
        return build_not_run(attempt.detail, retry_after_s=attempt.retry_after_s)


async def _take_first(tasks: set[asyncio.Task[Attempt]]) -> Attempt:
    """Return the first response, or else the last failure."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        attempts = [task.result() for task in done]
        for attempt in attempts:
            if attempt.outcome is Outcome.RESPONSE:
                return attempt
        if not pending:
            return attempts[-1]


def _dismiss(task: asyncio.Task[Attempt], winner: Attempt | None) -> None:
    """Cancel an attempt that is no longer needed, which cancels its work at the peer."""
    if not task.done():
        task.cancel()
        return
    if task.cancelled() or task.exception() is not None:
        return
    attempt = task.result()
    if attempt is not winner and attempt.response is not None:
        attempt.response.close()
