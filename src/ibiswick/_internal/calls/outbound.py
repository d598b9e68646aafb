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
from ..shared.boundedlogs import EventSummary
from ..shared.errors import (
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    NotSentError,
    ResponseLostError,
    UnacknowledgedError,
)
from ..shared.logs import EventLog
from ..shared.records import UNLIMITED, Caller, Phase, Route, ServicePolicy, Snapshot
from .answers import (
    Answer,
    build_answer,
    build_closing_headers,
    build_not_run_answer,
    build_over_limit_answer,
    build_unknown_answer,
    forward_response,
    send_answer,
)
from .balance import SMALL_SERVICE_ENDPOINTS, Balancer, EndpointState, HealthChange
from .bodies import MAX_REPLAY_BYTES, RequestBody, find_lowest_known_rate, pace_parts
from .callcounts import CallCounts
from .callers import CallerGate, OpenGate
from .exchanges import (
    ConnectionsBusyError,
    Exchange,
    ExchangeLimits,
    ExchangeResponse,
    Remote,
    Request,
    read_body,
)
from .heads import (
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    LINK_HEADER,
    NO_HEADER_NAMES,
    OUTCOME_NOT_RUN,
    OUTCOME_REJECTED,
    REPEAT_HEADER,
    REPEAT_VALUE,
    SERVICE_HEADER,
    TENANT_HEADER,
    TENANT_PROOF_HEADER,
    TENANT_WEIGHT_HEADER,
    TERMS_HEADER,
    WORKSPACE_HEADER,
    HeaderNames,
    RequestHead,
    ResponseHead,
    Terms,
    format_terms,
    format_weight,
    normalize_host,
    parse_retry_after_s,
    read_request_head,
    read_response_head,
    write_framing,
)
from .pressure import BufferHold, Buffers, NoRoomError
from .repeats import RepeatCause, UrgencyProfile
from .retries import (
    MIN_ATTEMPT_S,
    Outcome,
    RetryBudget,
    TokenRetryBudget,
    compute_attempt_deadline,
    compute_deadline,
    compute_hedge_delay,
    compute_max_attempts,
    compute_next_hop_timeout_ms,
    decide_retry,
    spread_retry_after,
)
from .routes import RouteTable, has_dot_segment
from .serving import AbortResponseError, ServerRequest, read_problem_detail
from .splits import Splits
from .versions import VersionRule, Versions

# A connection that has been silent for longer may be closed or cut off, and a call that must not
# run twice could not be sent again.
REUSE_WITHIN_S = 1.0
RETRY_AFTER_UNREADY_S = 1.0
# Stalled connections are closed several times within this time.
RETRY_AFTER_BUFFERS_S = 0.5
# Statuses that count as failures of the backend server when endpoints are chosen. The response
# still goes to the caller, because the call may have run.
FAILURE_STATUSES = frozenset((500, 502, 503, 504))
RETRY_AFTER_DRAINING_S = 1.0
# Another node can take the call at once.
RETRY_AFTER_STOPPING_S = 0.05
# A node learns of a newer configuration within about 0.5 s once it reaches another node again.
RETRY_AFTER_UNCONFIRMED_S = 0.5

# A call waits at a node that expects a free slot within this time, since asking another node takes
# about as long. On a busy link, asking takes longer, and its measured time is used instead.
MIN_POLL_DURATION_MS = 10
# Share of the time left to its target that a call waits in its own availability zone rather than go
# to another one. A short wait costs less than the bytes between zones, and slots are soon free.
LOCAL_EXTRA_WAIT_SHARE = 0.1

# A probe needs a new connection and one response, two round trips.
PROBE_TIMEOUT_S = 0.5

_log = EventLog(component="outbound")


class CallPolicy(NamedTuple):
    """Configure calls where callers and backend servers expect more than the defaults.

    Attributes:
        names: headers that callers and backend servers use besides those of ibiswick.
        build_retry_budget: builds the retry budget of a service, given the present time.
        retry_statuses: statuses of responses after which an idempotent call is tried again.
        max_polls: most nodes that a call asks for a slot before it waits for one; a node that
            refuses counts neither as an attempt nor against the retry budget. With 0, nodes are not
            asked: the better of two random endpoints gets the call, a refusal counts as an attempt
            and is retried within the budget, and an unreachable endpoint is ejected only after
            several failures.
        max_polls_large_service: `max_polls` for a service with many endpoints.
        buffer_bytes: responses up to this size are passed on only once they are complete, and
            larger ones fail; with 0, responses are passed on as they arrive.
        serves_while_draining: keep serving callers until the node stops.
        fractional_retry_after: give `Retry-After` in fractions of a second.
        divides_deadline: end an attempt of an idempotent call early enough for the other attempts.
        prefix_needs_slash: a path that ends where the prefix of a route does has no route.
        expect_continue_above_bytes: a larger body is sent only once the other node has asked for
            it, since a node that refuses the call needs none. The body uses only a share of the
            link.
        link_bytes_per_s: rate of this VM's link, 0 if unknown.
        buffers: bounds the bytes that are held of all bodies together.
        is_current: returns False while this node may lack newer routes.
        gate: identifies callers and enforces the limits of their tenants.
    """

    names: HeaderNames = NO_HEADER_NAMES
    build_retry_budget: Callable[[float], RetryBudget] = lambda now: TokenRetryBudget(now=now)
    retry_statuses: frozenset[int] = frozenset()
    max_polls: int = 0
    max_polls_large_service: int = 0
    buffer_bytes: int = 0
    serves_while_draining: bool = False
    fractional_retry_after: bool = False
    divides_deadline: bool = True
    prefix_needs_slash: bool = False
    expect_continue_above_bytes: int = MAX_REPLAY_BYTES
    link_bytes_per_s: int = 0
    buffers: Buffers | None = None
    is_current: Callable[[], bool] = lambda: True
    gate: CallerGate = OpenGate()


DEFAULT_POLICY = CallPolicy()


class Attempt(NamedTuple):
    """Hold the result of one attempt.

    Attributes:
        is_busy: every connection to the node or every slot there was in use.
        maybe_reached: the call may have reached a backend server; with `Outcome.NOT_RUN`, the
            backend server itself rejected it.
        wait_s: how long a refused call would probably have waited for a slot there.
        peer_silent: the other VM has not even acknowledged what was sent.
        local_cause: the other VM could not be reached, probably because of this VM's own network.
        hold: counts the bytes of `body`.
    """

    outcome: Outcome
    detail: str
    response: ExchangeResponse | None = None
    head: ResponseHead | None = None
    is_busy: bool = False
    retry_after_s: float = RETRY_AFTER_UNREADY_S
    maybe_reached: bool = True
    wait_s: float | None = None
    body: bytes | None = None
    peer_silent: bool = False
    local_cause: bool = False
    hold: BufferHold | None = None


class Call:
    """Hold the state of one call that its attempts share."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "body",
        "caller",
        "deadline",
        "head",
        "inherits_repeat",
        "max_attempts",
        "maybe_ran",
        "method",
        "polls_left",
        "refusals",
        "reported_failure",
        "route",
        "service",
        "service_name",
        "target",
        "timed_out",
        "tried",
        "version_rule",
    )

    def __init__(
        self,
        *,
        method: str,
        target: bytes,
        route: Route,
        service: ServiceState,
        service_name: str,
        head: RequestHead,
        body: RequestBody,
        caller: Caller,
        arrived_at: float,
        deadline: float | None,
        polls_left: int,
        inherits_repeat: bool = False,
    ) -> None:
        self.caller = caller
        # A run that was itself a repeat makes the call.
        self.inherits_repeat = inherits_repeat
        self.service = service
        self.service_name = service_name
        self.arrived_at = arrived_at
        # How many more nodes may be asked for a slot.
        self.polls_left = polls_left
        # An error response of a backend server, kept while another attempt may succeed.
        self.reported_failure: Attempt | None = None
        # Expected waits in seconds for a slot at the nodes that have refused the call.
        self.refusals: list[tuple[float, EndpointState]] = []
        self.method = method
        self.target = target
        self.route = route
        self.head = head
        self.body = body
        self.deadline = deadline
        self.max_attempts = compute_max_attempts(route["retries"])
        self.attempts = 0
        # An attempt was lost or timed out, so the call may have run. `timed_out` tells whether the
        # last such attempt timed out.
        self.maybe_ran = False
        self.timed_out = False
        self.tried: tuple[EndpointState, ...] = ()
        # Which versions may run the call; None until it is drawn and without a roll-out.
        self.version_rule: VersionRule | None = None


class ServiceState:
    """Hold the policy, the balancer and the retry budget of one service."""

    __slots__ = ("balancer", "policy", "retry_budget", "urgency")

    def __init__(
        self, policy: ServicePolicy, *, availability_zone: str, retry_budget: RetryBudget
    ) -> None:
        self.policy = policy
        self.balancer = Balancer(availability_zone=availability_zone)
        self.retry_budget = retry_budget
        self.urgency = UrgencyProfile()


class Outbound:
    """Handle the requests of the caller port."""

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
        policy: CallPolicy = DEFAULT_POLICY,
        caller_service: str = "",
    ) -> None:
        self._policy = policy
        self._names = policy.names
        self._caller_service_line = _build_caller_service_line(policy.names, caller_service)
        self._workspace = workspace
        self._availability_zone = availability_zone
        self._board = board
        self._exchange = exchange
        self._counts = counts
        self._upload_idle_s = upload_idle_s
        self._rng = rng or random.Random()
        self._splits = Splits(rng=self._rng)
        self._versions = Versions(
            shares=board.version_shares, endpoints=board.endpoints, rng=self._rng, counts=counts
        )
        self._clock = clock or time.monotonic
        self._snapshot: Snapshot | None = None
        # Wrong credentials may arrive by the thousand.
        self._unidentified = EventSummary()
        self._endpoints_version = -1
        self._route_table = RouteTable(())
        self._services: dict[str, ServiceState] = {}
        self._probes: set[asyncio.Task[None]] = set()
        # Call ids must differ from those of other nodes and of earlier processes on this VM.
        self._call_id_prefix = os.urandom(6).hex().encode()
        self._call_numbers = itertools.count(1)

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
        """Return a refusal while the phase of this node does not allow calls."""
        board = self._board
        phase = board.phase.value
        serves = self._policy.serves_while_draining and phase is Phase.DRAINING
        if phase in (Phase.DRAINING, Phase.STOPPED) and not serves:
            self._counts.add("ibiswick_refused_total", "reason", "draining")
            return self._build_not_run("this node is draining", RETRY_AFTER_DRAINING_S)
        if not board.floor_confirmed.value or board.snapshot.value is None:
            self._counts.add("ibiswick_refused_total", "reason", "starting")
            detail = "this node has not confirmed its configuration yet"
            return self._build_not_run(detail, RETRY_AFTER_UNREADY_S)
        if self._policy.buffers is not None and self._policy.buffers.is_short:
            self._counts.add("ibiswick_refused_total", "reason", "buffers")
            return self._build_not_run("no buffer is free", RETRY_AFTER_BUFFERS_S)
        return None

    def _build_not_run(self, detail: str, retry_after_s: float) -> Answer:
        return build_not_run_answer(
            detail,
            retry_after_s=retry_after_s,
            fractional_retry_after=self._policy.fractional_retry_after,
        )

    async def _serve(self, request: ServerRequest) -> None:
        call = await self._prepare_call(request)
        if isinstance(call, Answer):
            self._send_refusal(request, call)
            return
        # A caller sends a request again if an earlier response closes the connection, so a call
        # that must not run twice waits until the earlier requests there have been answered.
        if self._names.attempt_id and not call.route["idempotent"]:
            await request.wait_turn()
        tenant = call.caller.tenant
        token = UNLIMITED
        if tenant:
            # The credential may have been removed while the body arrived or the call waited.
            self._apply_updates()
            call.caller = self._policy.gate.identify(call.head.credentials, call.route)
            if not call.caller.is_known:
                self._send_refusal(request, self._refuse_unidentified())
                return
            tenant = call.caller.tenant
        if tenant:
            token = await self._policy.gate.acquire(tenant)
            if token.retry_after_s is not None:
                self._refuse_without_token(request, token.retry_after_s, token.is_over_limit)
                return
        service = call.service
        is_nested = self._find_parent_priority(call) is not None
        service.urgency.note_call(self._find_priority(call), is_nested=is_nested)
        if not call.inherits_repeat:
            service.retry_budget.note_call(now=call.arrived_at)
        hedge_s = compute_hedge_delay(
            idempotent=call.route["idempotent"],
            replayable=call.body.is_complete,
            hedge_ms=call.route["hedge_ms"],
        )
        if call.inherits_repeat and not self._take_inherited(call, service):
            detail = "the retry budget has no room for the calls of a repeated run"
            attempt = Attempt(Outcome.NOT_RUN, detail, maybe_reached=False)
        elif hedge_s is None:
            attempt = await self._try_until_final(call, service)
        else:
            attempt = await self._try_hedged(call, service, hedge_s)
        if tenant and attempt.response is None and not call.maybe_ran:
            self._policy.gate.refund(tenant, token)
        await self._send_result(call, attempt, request)
        result = "answered" if attempt.response is not None else attempt.outcome.value
        elapsed_s = self._clock() - call.arrived_at
        self._counts.observe("ibiswick_call_seconds", "result", result, elapsed_s)

    def _send_refusal(self, request: ServerRequest, answer: Answer) -> None:
        """Send and log a refusal that was decided before the first attempt."""
        self._counts.add("ibiswick_calls_total", "result", answer.code)
        if not answer.is_logged:
            head = read_request_head(request.headers, self._names)
            _log.info(
                "call-refused",
                id=head.attempt_id.decode("latin-1") or "-",
                code=answer.code,
                host=normalize_host(head.host),
                path=request.path,
                generation=self._snapshot.generation if self._snapshot else 0,
            )
        send_answer(request, answer)

    def _refuse_without_token(
        self, request: ServerRequest, retry_after_s: float, is_over_limit: bool
    ) -> None:
        """Refuse a call with 429, or with 503 while the state of the limit is not known."""
        if is_over_limit:
            answer = build_over_limit_answer(
                retry_after_s=retry_after_s,
                fractional_retry_after=self._policy.fractional_retry_after,
            )
        else:
            self._counts.add("ibiswick_refused_total", "reason", "limit-unknown")
            detail = "the state of the tenant's limit is not known"
            answer = self._build_not_run(detail, retry_after_s)
        self._counts.add("ibiswick_calls_total", "result", answer.code)
        send_answer(request, answer)

    # Preparation

    async def _prepare_call(self, request: ServerRequest) -> Call | Answer:
        """Find the route and read the body up to the size that can be replayed."""
        self._apply_updates()
        head = read_request_head(request.headers, self._names)
        path = request.path
        if head.trailers:
            return build_answer(501, "trailers-unsupported", "trailers are not supported")
        if head.host_count != 1:
            return build_answer(400, "malformed-request", "exactly one Host header is needed")
        if has_dot_segment(path):
            return build_answer(400, "malformed-request", "the path has dot segments")
        method = request.method
        route = self._route_table.find(normalize_host(head.host), path, method)
        if route is None:
            return self._refuse_unrouted()
        caller = self._policy.gate.identify(head.credentials, route)
        if not caller.is_known:
            return self._refuse_unidentified()
        if self._snapshot is not None and self._snapshot.tenants:
            identity = "tenant" if caller.tenant else "anonymous"
            self._counts.add("ibiswick_callers_total", "identity", identity)
        # A new snapshot may remove the service while the body arrives.
        service_name = self._splits.choose(route)
        service = self._services[service_name]
        now = self._clock()
        deadline = None
        is_upload = route["kind"] == "upload"
        if not is_upload:
            deadline = compute_deadline(
                now=now, route_ms=route["deadline_ms"], caller_ms=head.deadline_ms
            )
        stop_at = self._board.stop_at.value
        if stop_at is not None and deadline is not None and deadline > stop_at:
            self._counts.add("ibiswick_refused_total", "reason", "stopping")
            detail = "this node stops before the call's deadline"
            return self._build_not_run(detail, RETRY_AFTER_STOPPING_S)
        body = RequestBody(request, hold=self._open_hold())
        if not body.take_arrived():
            limit = 0 if is_upload else MAX_REPLAY_BYTES
            limit_s = self._upload_idle_s if deadline is None else deadline - now
            try:
                async with asyncio.timeout(limit_s):
                    await body.fill_buffer(limit=limit)
            except TimeoutError:
                self._counts.add("ibiswick_refused_total", "reason", "body-late")
                detail = "the body did not arrive in time"
                return self._build_not_run(detail, RETRY_AFTER_UNREADY_S)
            except NoRoomError as error:
                self._counts.add("ibiswick_refused_total", "reason", "buffers")
                return self._build_not_run(str(error), RETRY_AFTER_BUFFERS_S)
        return Call(
            method=method,
            target=request.target,
            route=route,
            service=service,
            service_name=service_name,
            head=head,
            body=body,
            caller=caller,
            arrived_at=now,
            deadline=deadline,
            polls_left=self._get_max_polls(service),
            inherits_repeat=self._board.repeated_runs.contains(self._find_parent_id(head), now=now),
        )

    def _refuse_unrouted(self) -> Answer:
        """Refuse a call without a route, with 404 only if the configuration is current.

        Callers do not retry after 404, and the route may have been added so recently that this node
        does not know it yet.
        """
        if self._policy.is_current():
            return build_answer(404, "no-route", "no route matches the host, path and method")
        self._counts.add("ibiswick_refused_total", "reason", "unconfirmed")
        detail = "no route matches, and the configuration was not confirmed recently"
        return self._build_not_run(detail, RETRY_AFTER_UNCONFIRMED_S)

    def _refuse_unidentified(self) -> Answer:
        """Refuse a call without a valid credential, with 401 only if the configuration is current.

        Callers do not retry after 401, and the credential may have been added so recently that this
        node does not know it yet.
        """
        if self._policy.is_current():
            identity = "refused"
            answer = build_answer(401, "unknown-credential", "a valid credential is needed")
        else:
            identity = "unconfirmed"
            self._counts.add("ibiswick_refused_total", "reason", "unconfirmed")
            detail = "the credential is unknown, and the configuration was not confirmed recently"
            answer = self._build_not_run(detail, RETRY_AFTER_UNCONFIRMED_S)
        self._counts.add("ibiswick_callers_total", "identity", identity)
        count = self._unidentified.note(now=self._clock())
        if count:
            _log.info(
                "callers-refused",
                code=answer.code,
                count=count,
                generation=self._snapshot.generation if self._snapshot else 0,
            )
        return answer._replace(is_logged=True)

    def _get_max_polls(self, service: ServiceState) -> int:
        is_small = len(service.balancer.states) <= SMALL_SERVICE_ENDPOINTS
        return self._policy.max_polls if is_small else self._policy.max_polls_large_service

    def _apply_updates(self) -> None:
        """Apply a new snapshot or new endpoints from the blackboard."""
        snapshot = self._board.snapshot.value
        endpoints = self._board.endpoints
        if snapshot is self._snapshot and endpoints.version == self._endpoints_version:
            return
        now = self._clock()
        if snapshot is not None and snapshot is not self._snapshot:
            self._route_table = RouteTable(
                snapshot.routes, prefix_needs_slash=self._policy.prefix_needs_slash
            )
            self._splits.update(snapshot.routes)
            self._policy.gate.update(snapshot.tenants, now=now)
            for name, policy in snapshot.services.items():
                state = self._services.get(name)
                if state is None:
                    retry_budget = self._policy.build_retry_budget(now)
                    state = ServiceState(
                        policy, availability_zone=self._availability_zone, retry_budget=retry_budget
                    )
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
        """Make attempts until one is final and return it."""
        while True:
            attempt = await self._try_once(call, service)
            if attempt.outcome is Outcome.RESPONSE and not self._is_retryable_response(
                call, attempt
            ):
                return attempt
            if attempt.outcome is Outcome.RESPONSE:
                call.reported_failure = attempt
            if self._use_poll(call, attempt):
                continue
            if not await self._wait_for_retry(call, service, attempt):
                # If an attempt has run the call, a later "not run" must not be reported.
                return call.reported_failure or attempt

    def _is_retryable_response(self, call: Call, attempt: Attempt) -> bool:
        """Tell whether a response allows another attempt, whose response replaces it."""
        status = attempt.response.status if attempt.response is not None else 0
        return call.route["idempotent"] and status in self._policy.retry_statuses

    def _use_poll(self, call: Call, attempt: Attempt) -> bool:
        """Tell whether another node is asked after one that did not forward the call.

        If so, one of the remaining polls is used.
        """
        if attempt.maybe_reached or call.polls_left <= 0 or not call.body.replayable:
            return False
        call.polls_left -= 1
        return call.deadline is None or call.deadline - self._clock() > MIN_ATTEMPT_S

    async def _wait_for_retry(self, call: Call, service: ServiceState, attempt: Attempt) -> bool:
        """Tell whether the call is retried, after waiting for the back-off."""
        now = self._clock()
        outcome = attempt.outcome
        if outcome is Outcome.RESPONSE:
            # The backend server reported an error, so the call has run.
            outcome = Outcome.LOST
        elif not attempt.maybe_reached and self._policy.max_polls:
            return False
        is_nested = self._find_parent_priority(call) is not None
        cause = RepeatCause.NESTED if is_nested else RepeatCause.RETRY
        decision = decide_retry(
            outcome,
            idempotent=call.route["idempotent"],
            replayable=call.body.replayable,
            attempts=call.attempts,
            max_attempts=call.max_attempts,
            remaining_s=self._upload_idle_s if call.deadline is None else call.deadline - now,
            has_untried_endpoint=len(set(call.tried)) < len(service.balancer.states),
            retry_budget=service.retry_budget,
            now=now,
            rng=self._rng,
            budget_share=service.urgency.compute_budget_share(cause, self._find_priority(call)),
        )
        if decision.retry:
            self._counts.add("ibiswick_repeats_total", "cause", cause)
        self._counts.add("ibiswick_retries_total", "reason", decision.reason)
        if decision.delay_s > 0:
            await asyncio.sleep(decision.delay_s)
        return decision.retry

    def _take_inherited(self, call: Call, service: ServiceState) -> bool:
        """Count a call of a repeated run against the retry budget of the service it calls."""
        priority = self._find_priority(call)
        share = service.urgency.compute_budget_share(RepeatCause.INHERITED, priority)
        if not service.retry_budget.take(now=self._clock(), share=share):
            self._counts.add("ibiswick_refused_total", "reason", "repeat-budget")
            return False
        self._counts.add("ibiswick_repeats_total", "cause", RepeatCause.INHERITED)
        return True

    async def _try_hedged(self, call: Call, service: ServiceState, hedge_s: float) -> Attempt:
        """Start a second attempt if the first is slow, and return the first response."""
        first = asyncio.create_task(self._try_until_final(call, service))
        tasks = {first}
        winner: Attempt | None = None
        try:
            await asyncio.wait(tasks, timeout=hedge_s)
            if not first.done() and call.attempts < call.max_attempts:
                priority = self._find_priority(call)
                share = service.urgency.compute_budget_share(RepeatCause.RETRY, priority)
                if service.retry_budget.take(now=self._clock(), share=share):
                    self._counts.add("ibiswick_hedges_total", "result", "started")
                    tasks.add(asyncio.create_task(self._try_once(call, service)))
                else:
                    self._counts.add("ibiswick_hedges_total", "result", "budget-exhausted")
            winner = await _wait_for_response(tasks)
            if not (first.done() and first.result() is winner):
                self._counts.add("ibiswick_hedges_total", "result", "won")
            return winner
        finally:
            for task in tasks:
                _discard(task, winner)

    async def _try_once(self, call: Call, service: ServiceState) -> Attempt:
        """Make one attempt at one endpoint and record its result for later choices."""
        now = self._clock()
        balancer = service.balancer
        for change in balancer.readmit(now=now):
            self._log_health(change)
        for due in balancer.take_due_probes(now=now):
            task = asyncio.create_task(self._probe(balancer, due))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)
        call.attempts += 1
        state = self._choose(call, balancer, now)
        if state is None:
            self._counts.add("ibiswick_refused_total", "reason", "no-endpoint")
            call.polls_left = 0
            return Attempt(Outcome.NOT_RUN, "the service has no endpoint", maybe_reached=False)
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
        if self._policy.max_polls and not attempt.maybe_reached:
            call.attempts -= 1
            if attempt.wait_s is not None:
                call.refusals.append((attempt.wait_s, state))
        if attempt.outcome in (Outcome.LOST, Outcome.TIMEOUT):
            call.maybe_ran = True
            call.timed_out = attempt.outcome is Outcome.TIMEOUT
        self._note_outcome(call, balancer, state, attempt, now)
        return attempt

    async def _probe(self, balancer: Balancer, state: EndpointState) -> None:
        """Probe a silent node with a request of its own, since a call would lose its time there."""
        endpoint = state.endpoint
        request = Request(b"GET / HTTP/1.1\r\nhost: %b\r\n\r\n" % endpoint.host.encode())
        remote = Remote(endpoint.host, endpoint.port, endpoint.vm)
        try:
            # Only a new connection is allowed, since older ones may stay silent for good.
            limits = ExchangeLimits(self._clock() + PROBE_TIMEOUT_S, reuse_within_s=0.0)
            response = await self._exchange(remote, request, limits)
            await read_body(response, limit=MAX_REPLAY_BYTES)
            answered = True
        except ExchangeError as error:
            _log.debug("probe-failed", vm=endpoint.vm, code=error.code, detail=error)
            answered = False
        balancer.note_probe(state, now=self._clock(), answered=answered)

    def _choose(self, call: Call, balancer: Balancer, now: float) -> EndpointState | None:
        """Choose an endpoint; after the last poll, the one with the shortest expected wait."""
        call.version_rule = self._versions.draw(
            call.service_name, call.version_rule, is_first=not call.tried
        )
        admits = call.version_rule.admits if call.version_rule is not None else None
        refusals = call.refusals
        if admits is not None:
            refusals = [item for item in refusals if admits(item[1].endpoint)]
        if refusals and call.polls_left == 0:
            local_extra_wait_s = self._compute_local_extra_wait(call, now)
            return balancer.choose_shortest_wait(refusals, local_extra_wait_s=local_extra_wait_s)
        if not self._policy.max_polls:
            return balancer.choose(now=now, rng=self._rng, exclude=call.tried)
        return balancer.choose_by_estimate(
            route_id=call.route["id"],
            now=now,
            rng=self._rng,
            exclude=call.tried,
            prefers_local=call.route.get("prefers_local", False),
            target_s=_compute_target_left(call, now),
            admits=admits,
        )

    def _compute_local_extra_wait(self, call: Call, now: float) -> float:
        """Return the seconds that a call waits in its own zone rather than go to another one.

        They are 0 for a service with many endpoints, where another endpoint of the zone is probably
        free.
        """
        target_s = _compute_target_left(call, now)
        if target_s is None or len(call.service.balancer.states) > SMALL_SERVICE_ENDPOINTS:
            return 0.0
        return LOCAL_EXTRA_WAIT_SHARE * max(0.0, target_s)

    async def _send(
        self, call: Call, service: ServiceState, state: EndpointState, now: float
    ) -> Attempt:
        endpoint = state.endpoint
        if call.deadline is not None and call.deadline <= now:
            call.polls_left = 0
            detail = "the deadline passed before the call was sent"
            return Attempt(Outcome.NOT_RUN, detail, maybe_reached=False)
        call_id = b"%b-%d" % (self._call_id_prefix, next(self._call_numbers))
        idempotent = call.route["idempotent"]
        deadline = head_deadline = call.deadline
        if deadline is not None and self._policy.divides_deadline:
            head_deadline = compute_attempt_deadline(
                now=now,
                deadline=deadline,
                idempotent=idempotent,
                attempts_left=call.max_attempts - call.attempts + 1,
                mean_latency_s=service.balancer.mean_latency_s,
            )
        limits = ExchangeLimits(
            deadline,
            head_deadline,
            self._upload_idle_s if deadline is None else None,
            None if idempotent else REUSE_WITHIN_S,
            call_id,
            service.policy["connections"],
            max_body_bytes=self._policy.buffer_bytes or None,
        )
        request = self._build_request(call, call_id, deadline, now, state)
        remote = Remote(endpoint.host, endpoint.port, endpoint.vm)
        attempt = await self._exchange_request(call.method, remote, request, limits)
        if not service.balancer.is_local(state):
            self._count_crossing_bytes(request, attempt)
        return attempt

    def _count_crossing_bytes(self, request: Request, attempt: Attempt) -> None:
        """Count the bytes of an attempt in another availability zone, without a streamed body.

        The purpose is "question" for an attempt that a node refused, which includes everything
        that was sent for it.
        """
        purpose = "call" if attempt.maybe_reached else "question"
        size_bytes = len(request.head) + len(request.body)
        if attempt.head is not None:
            size_bytes += sum(len(name) + len(value) + 4 for name, value in attempt.head.headers)
        if attempt.body is not None:
            size_bytes += len(attempt.body)
        self._counts.add("ibiswick_crossing_bytes_total", "purpose", purpose, size_bytes)

    async def _exchange_request(
        self, method: str, remote: Remote, request: Request, limits: ExchangeLimits
    ) -> Attempt:
        """Send a request and classify the response or the error."""
        try:
            response = await self._exchange(remote, request, limits)
        except ConnectionsBusyError as error:
            return Attempt(Outcome.NOT_RUN, str(error), is_busy=True, maybe_reached=False)
        except NotSentError as error:
            local_cause = isinstance(error, ConnectTimeoutError) and error.local_cause
            return Attempt(
                Outcome.NOT_RUN, str(error), maybe_reached=False, local_cause=local_cause
            )
        except ExchangeTimeoutError as error:
            return Attempt(Outcome.TIMEOUT, str(error))
        except UnacknowledgedError as error:
            return Attempt(Outcome.LOST, str(error), peer_silent=True)
        except ResponseLostError as error:
            return Attempt(Outcome.LOST, str(error))
        head = read_response_head(response.headers, response.status, self._names)
        if head.outcome:
            return await self._read_peer_outcome(response, head)
        if not self._policy.buffer_bytes or method == "HEAD":
            return Attempt(Outcome.RESPONSE, "", response, head)
        try:
            hold = self._open_hold()
            body = await read_body(response, limit=self._policy.buffer_bytes, hold=hold)
        except ExchangeTimeoutError as error:
            return Attempt(Outcome.TIMEOUT, str(error))
        except ResponseLostError as error:
            return Attempt(Outcome.LOST, str(error))
        return Attempt(Outcome.RESPONSE, "", response, head, body=body, hold=hold)

    def _open_hold(self) -> BufferHold | None:
        buffers = self._policy.buffers
        return None if buffers is None else BufferHold(buffers=buffers)

    async def _read_peer_outcome(self, response: ExchangeResponse, head: ResponseHead) -> Attempt:
        """Interpret a response that the peer node made itself."""
        try:
            detail = read_problem_detail(await read_body(response, limit=MAX_REPLAY_BYTES))
        except ResponseLostError as error:
            detail = str(error)
        if head.outcome in (OUTCOME_NOT_RUN, OUTCOME_REJECTED):
            is_busy = head.load is not None and head.load.in_flight >= head.load.slots
            return Attempt(
                Outcome.NOT_RUN,
                detail,
                None,
                head,
                is_busy,
                parse_retry_after_s(head.headers),
                maybe_reached=head.outcome == OUTCOME_REJECTED,
                wait_s=None if head.wait_ms is None else head.wait_ms / 1000,
            )
        if response.status == 504:
            return Attempt(Outcome.TIMEOUT, detail, None, head)
        return Attempt(Outcome.LOST, detail, None, head)

    def _build_request(
        self, call: Call, call_id: bytes, deadline: float | None, now: float, state: EndpointState
    ) -> Request:
        head, body, endpoint = call.head, call.body, state.endpoint
        lines = [
            call.method.encode(),
            b" ",
            call.target,
            b" HTTP/1.1\r\n",
            head.forwarded_headers,
            CALL_ID_HEADER,
            b": ",
            call_id,
            b"\r\n" + WORKSPACE_HEADER + b": ",
            self._workspace.encode(),
            b"\r\n" + SERVICE_HEADER + b": ",
            call.service_name.encode(),
        ]
        if call.caller.tenant:
            proof = self._policy.gate.prove(call.caller.tenant, call_id, now=now)
            lines += (b"\r\n" + TENANT_HEADER + b": ", call.caller.tenant.encode())
            lines += (b"\r\n" + TENANT_PROOF_HEADER + b": ", proof)
            weight = format_weight(call.caller.weight)
            lines += (b"\r\n" + TENANT_WEIGHT_HEADER + b": ", weight)
        if self._names.attempt_id:
            terms = self._build_terms(call, state, now)
            lines += (
                self._caller_service_line,
                b"\r\n" + TERMS_HEADER + b": ",
                format_terms(terms),
            )
        elif call.caller.priority is not None:
            terms = Terms(priority=call.caller.priority)
            lines += (b"\r\n" + TERMS_HEADER + b": ", format_terms(terms))
        if deadline is not None:
            remaining_ms = compute_next_hop_timeout_ms(now=now, deadline=deadline)
            lines += (b"\r\n" + DEADLINE_HEADER + b": ", b"%d" % remaining_ms)
        if self._names.child_separator and (call.inherits_repeat or call.attempts > 1):
            lines += (b"\r\n" + REPEAT_HEADER + b": ", REPEAT_VALUE)
        lines += (b"\r\n", write_framing(head, body))
        if body.is_complete and len(body.buffered) <= self._policy.expect_continue_above_bytes:
            lines.append(b"\r\n")
            return Request(b"".join(lines), body.buffered, is_head=call.method == "HEAD")
        link_bytes_per_s = find_lowest_known_rate(
            self._policy.link_bytes_per_s, endpoint.link_bytes_per_s
        )
        # The peer asks for the body when its link has room. Until then, the call can go to another
        # node.
        if self._policy.link_bytes_per_s:
            lines.append(b"%b: %d\r\n" % (LINK_HEADER, self._policy.link_bytes_per_s))
        lines.append(b"expect: 100-continue\r\n\r\n")
        return Request(
            b"".join(lines),
            stream=pace_parts(body.stream(), link_bytes_per_s=link_bytes_per_s),
            chunked=head.chunked and not body.is_complete,
            is_head=call.method == "HEAD",
            await_continue=True,
        )

    def _build_terms(self, call: Call, state: EndpointState, now: float) -> Terms:
        """Build the terms of a call: its urgency and the longest wait for a slot."""
        route = call.route
        target_s = _compute_target_left(call, now)
        target_ms = None if target_s is None else max(0, int(target_s * 1000))
        max_slot_wait_ms = None
        if call.polls_left > 0:
            balancer = call.service.balancer
            max_slot_wait_ms = compute_max_slot_wait_ms(balancer.mean_overhead_s)
            if balancer.is_local(state):
                local_max_slot_wait_ms = int(self._compute_local_extra_wait(call, now) * 1000)
                max_slot_wait_ms = max(max_slot_wait_ms, local_max_slot_wait_ms)
        if self._find_parent_priority(call) is not None:
            # A call made by a running call has no target: without its response, however late, the
            # work of the running call is lost.
            target_ms = None
        return Terms(route["id"], self._find_priority(call), target_ms, max_slot_wait_ms)

    def _find_priority(self, call: Call) -> int:
        """Return the priority of a call, for a call of a running call that of the run."""
        priority = call.caller.priority
        if priority is None:
            priority = call.route.get("priority", 0)
        parent_priority = self._find_parent_priority(call)
        if parent_priority is None:
            return priority
        # The priority of a tenant also replaces that of the routes of calls that its runs make.
        has_tenants = self._snapshot is not None and bool(self._snapshot.tenants)
        return parent_priority if has_tenants else max(priority, parent_priority)

    def _find_parent_priority(self, call: Call) -> int | None:
        """Return the priority of the running call that makes this call, or None if none does."""
        parent_id = self._find_parent_id(call.head)
        return self._board.running_call_priorities.get(parent_id) if parent_id else None

    def _find_parent_id(self, head: RequestHead) -> bytes:
        """Return the id of the running call that makes a call; it is empty if none does."""
        separator = self._names.child_separator
        return head.attempt_id.rpartition(separator)[0] if separator else b""

    def _note_outcome(
        self,
        call: Call,
        balancer: Balancer,
        state: EndpointState,
        attempt: Attempt,
        started: float,
    ) -> None:
        """Record what an attempt says about its endpoint."""
        now = self._clock()
        load = attempt.head.load if attempt.head is not None else None
        if load is not None:
            balancer.note_report(state, load, call.route["id"], now=now)
            if attempt.head is not None and attempt.head.spent_ms is not None:
                balancer.note_overhead(state, now - started - attempt.head.spent_ms / 1000)
        status = attempt.response.status if attempt.response is not None else 0
        if attempt.outcome is Outcome.RESPONSE and status not in FAILURE_STATUSES:
            if attempt.body is not None:
                size_bytes = len(call.body.buffered) + len(attempt.body)
                balancer.note_size(call.route["id"], size_bytes)
            balancer.note_success(state, latency_s=now - started)
            return
        if attempt.outcome is Outcome.TIMEOUT:
            balancer.note_abandoned(state, latency_s=now - started)
        if attempt.is_busy or attempt.wait_s is not None or attempt.local_cause:
            # A busy node or a fault of this VM's network says nothing about the backend server.
            return
        reason = f"status-{status}" if status else attempt.outcome.value
        if self._policy.max_polls and (attempt.peer_silent or not attempt.maybe_reached):
            needs_probe = attempt.head is None
            change = balancer.note_unreachable(
                state, now=now, reason=attempt.detail, needs_probe=needs_probe
            )
        else:
            change = balancer.note_failure(state, now=now, reason=reason)
        if change is not None:
            self._log_health(change)

    # Answers

    async def _send_result(self, call: Call, attempt: Attempt, request: ServerRequest) -> None:
        response, head = attempt.response, attempt.head
        if response is None or head is None:
            answer = self._build_failure(call, attempt)
            self._counts.add("ibiswick_calls_total", "result", answer.code)
            self._log_failure(call, attempt, answer.status)
            send_answer(request, answer)
            return
        if attempt.body is not None:
            if response.status >= 500:
                self._log_failure(call, attempt, response.status)
            request.respond(response.status, head.headers, attempt.body)
            if attempt.hold is not None:
                # From now on, the connection counts what the caller has not taken.
                attempt.hold.release()
            self._counts.add("ibiswick_calls_total", "result", "answered")
            return
        try:
            await forward_response(request, response, head.headers)
        except AbortResponseError:
            self._counts.add("ibiswick_calls_total", "result", "cut-off")
            raise
        self._counts.add("ibiswick_calls_total", "result", "answered")

    def _build_failure(self, call: Call, attempt: Attempt) -> Answer:
        """Build the answer to a call without a response.

        It says "not run" only if no attempt can have run.
        """
        if call.maybe_ran:
            return build_unknown_answer(attempt.detail, timed_out=call.timed_out)
        if not self._policy.fractional_retry_after:
            return build_not_run_answer(attempt.detail, retry_after_s=attempt.retry_after_s)
        remaining_s = 0.0 if call.deadline is None else call.deadline - self._clock()
        retry_after_s = spread_retry_after(
            wait_s=attempt.retry_after_s, remaining_s=remaining_s, rng=self._rng
        )
        return self._build_not_run(attempt.detail, retry_after_s)

    def _log_failure(self, call: Call, attempt: Attempt, status: int) -> None:
        """Log a failed call with its attempts and its remaining time."""
        now = self._clock()
        _log.info(
            "call-failed",
            id=call.head.attempt_id.decode("latin-1") or "-",
            status=status,
            route=call.route["id"],
            service=call.service_name,
            generation=self._snapshot.generation if self._snapshot else 0,
            tried=",".join(state.endpoint.vm for state in call.tried) or "-",
            attempts=call.attempts,
            outcome=attempt.outcome.value,
            detail=attempt.detail,
            age_ms=int((now - call.arrived_at) * 1000),
            left_ms="-" if call.deadline is None else int((call.deadline - now) * 1000),
        )


def compute_max_slot_wait_ms(poll_s: float) -> int:
    """Return how long a call waits for a slot at a node before it asks another one.

    `poll_s` is the time that asking a node usually takes.

    >>> compute_max_slot_wait_ms(0.001), compute_max_slot_wait_ms(0.25)
    (10, 250)
    """
    return max(MIN_POLL_DURATION_MS, int(poll_s * 1000))


def _compute_target_left(call: Call, now: float) -> float | None:
    """Return the seconds left to the target of a call, or None if its route has no target."""
    target_ms = call.route.get("target_ms")
    return None if target_ms is None else target_ms / 1000 - (now - call.arrived_at)


def _build_caller_service_line(names: HeaderNames, service: str) -> bytes:
    """Build the header line that names the service whose backend server runs on this VM."""
    if not names.caller_service:
        return b""
    return b"\r\n%b: %b" % (names.caller_service, service.encode("latin-1"))


async def _wait_for_response(tasks: set[asyncio.Task[Attempt]]) -> Attempt:
    """Return the first response, or the last failure if every task fails."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        attempts = [task.result() for task in done]
        for attempt in attempts:
            if attempt.outcome is Outcome.RESPONSE:
                return attempt
        if not pending:
            return attempts[-1]


def _discard(task: asyncio.Task[Attempt], winner: Attempt | None) -> None:
    """Cancel an attempt that is no longer needed, and with it the work at the peer."""
    if not task.done():
        task.cancel()
        return
    if task.cancelled() or task.exception() is not None:
        return
    attempt = task.result()
    if attempt is not winner and attempt.response is not None:
        attempt.response.close()
