"""Enforce the limits of tenants on one node, as lender, coordinator and user of tokens."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from ..shared.records import UNLIMITED, TokenResult
from .limit_messages import GrantItem, RequestItem, TokenGrant, TokenRequest
from .limits import LOAN_S, Limit, LoanBook, find_partition
from .rights import RightLedger
from .tokens import TOKEN_S, TokenBatch, TokenCache

RENEW_S = 0.3
# Loans that are due within this time are renewed together, so that the process wakes up less often.
RENEW_TOGETHER_S = 0.05
# A coordinator that has not answered is asked again after this time.
UNANSWERED_S = 0.1
# After this time it is asked at the usual interval again.
REPEAT_UNTIL_S = 0.7
# Requests for waiting calls are repeated after these times, as a datagram may be lost.
REPEAT_AFTER_S = (0.02, 0.05)
# Longest time that a call waits for a token.
MAX_WAIT_S = 0.1
# Tokens that expire within this time are given back with the next renewal.
RETURN_BEFORE_S = 0.2
# Each renewal asks for one token of the tenants whose calls have arrived within this time.
STANDING_S = 2.0
# How long calls are refused without another question after a coordinator could not tell.
UNKNOWN_S = 0.05
# When callers may come back that were refused because the limit is not known.
UNKNOWN_RETRY_S = 0.3
# How much later than this process others may have started, and buckets fill.
START_SPREAD_S = 0.3
# Space for items in a datagram, and the estimated size of one besides the name of its tenant.
ITEMS_BYTES = 950
ITEM_BYTES = 36


class Ticket:
    """Hold a call that waits for a token."""

    __slots__ = ("deadline", "on_done", "result")

    def __init__(self, *, deadline: float) -> None:
        self.deadline = deadline
        self.result: TokenResult | None = None
        self.on_done: Callable[[TokenResult], None] | None = None

    def finish(self, result: TokenResult) -> None:
        """Set the result and tell the call."""
        self.result = result
        if self.on_done is not None:
            self.on_done(result)


class _TenantState:
    __slots__ = (
        "asked",
        "cache",
        "former",
        "name",
        "partition",
        "unknown_until",
        "valid_from",
        "waiting",
    )

    def __init__(self, *, name: str, limit: Limit, now: float) -> None:
        self.name = name
        self.partition = find_partition(name)
        self.cache = TokenCache(limit=limit, now=now)
        self.waiting: deque[Ticket] = deque()
        # Tokens requested for waiting calls and not answered yet.
        self.asked = 0
        # Grants of requests that were sent earlier are void, as the limit has been lowered.
        self.valid_from = -math.inf
        self.unknown_until = -math.inf
        # The former coordinator, while the present one can't tell.
        self.former: str | None = None


class _Pending:
    """Hold a request for tokens that has not been answered."""

    __slots__ = ("coordinator", "is_counted", "repeats", "request", "sent_at")

    def __init__(self, *, coordinator: str, request: TokenRequest, sent_at: float) -> None:
        self.coordinator = coordinator
        self.request = request
        self.sent_at = sent_at
        self.repeats = 0
        # Whether the wanted tokens count as asked for.
        self.is_counted = True

    def find_due(self) -> float:
        """Return the time of the next repetition or of the end."""
        if self.repeats < len(REPEAT_AFTER_S):
            return self.sent_at + REPEAT_AFTER_S[self.repeats]
        return self.sent_at + (MAX_WAIT_S if self.is_counted else TOKEN_S)


Outgoing = list[tuple[str, TokenRequest]]


class LimitNode:
    """Decide about tokens, given the time and the messages of other nodes.

    Times are those of a clock that counts pauses. After each call of another method, `poll`
    returns the requests to send.
    """

    def __init__(self, *, vm: str, process: int, started_at: float) -> None:
        self._vm = vm
        self._process = process
        self._generation = 0
        self._serial = 0
        self._started_at = started_at
        self._tenants: dict[str, _TenantState] = {}
        self._waiting: dict[str, _TenantState] = {}
        self._dirty: dict[str, _TenantState] = {}
        self._pending: dict[int, _Pending] = {}
        # Tenants with tokens, by the coordinator that granted them.
        # Tenants whose calls have arrived lately.
        self._recent: dict[str, _TenantState] = {}
        self._holding: dict[str, set[str]] = {}
        self.ledger = RightLedger(vm=vm, started_at=started_at)
        self.book = LoanBook(vm=vm, process=process)
        self._lost_coordinators: list[str] = []

    @property
    def has_limits(self) -> bool:
        """Tell whether any tenant has a limit."""
        return bool(self._tenants)

    @property
    def has_dirty(self) -> bool:
        """Tell whether `poll` has tokens to request."""
        return bool(self._dirty)

    def take_lost_coordinators(self) -> list[str]:
        """Return the coordinators given up since the last call."""
        lost, self._lost_coordinators = self._lost_coordinators, []
        return lost

    def configure(self, limits: Mapping[str, Limit], generation: int, *, now: float) -> None:
        """Apply the limits of a new configuration; tokens of lowered limits become void."""
        self._generation = generation
        self.book.configure(limits, generation, now=now)
        for name in self._tenants.keys() - limits.keys():
            state = self._tenants.pop(name)
            self._dirty.pop(name, None)
            self._waiting.pop(name, None)
            self._recent.pop(name, None)
            for ticket in state.waiting:
                ticket.finish(UNLIMITED)
        for name, limit in limits.items():
            state = self._tenants.get(name)
            if state is None:
                self._tenants[name] = _TenantState(name=name, limit=limit, now=now)
                continue
            before = state.cache.limit
            if limit.rate < before.rate or limit.burst < before.burst:
                state.cache.batches.clear()
                state.valid_from = now
            if limit != before:
                state.cache.limit = limit
                state.cache.refused_at = state.cache.booked_at = -math.inf

    def update_members(
        self,
        vms: Iterable[str],
        *,
        is_complete: bool,
        link_rates: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Apply the present members."""
        self.ledger.update_members(vms, is_complete=is_complete, link_rates=link_rates)

    # Tokens for calls

    def acquire(self, tenant: str, *, now: float) -> TokenResult | Ticket:
        """Take a token, or return a ticket for it."""
        state = self._tenants.get(tenant)
        if state is None:
            return UNLIMITED
        cache = state.cache
        cache.note_call(now=now)
        self._recent[tenant] = state
        if not state.waiting:
            batch = cache.take(now=now)
            if batch is not None:
                if not state.asked and cache.count_ahead(now=now):
                    self._dirty[tenant] = state
                return TokenResult(None, True, batch.expires_at, batch.coordinator)
            if now < cache.refused_at:
                return TokenResult(cache.refuse(now=now))
            if now < state.unknown_until:
                return self._refuse_unknown(now)
        ticket = Ticket(deadline=now + MAX_WAIT_S)
        state.waiting.append(ticket)
        self._waiting[tenant] = self._dirty[tenant] = state
        return ticket

    def refund(self, tenant: str, result: TokenResult, *, now: float) -> None:
        """Keep the token of a call that has not run for another one, until it expires."""
        state = self._tenants.get(tenant)
        if state is not None and result.coordinator and now < result.expires_at:
            self._add_tokens(state, TokenBatch(1, result.expires_at, result.coordinator), now)
            self._serve_waiting(state, now)

    def _refuse_unknown(self, now: float) -> TokenResult:
        start_s = self._started_at + LOAN_S + START_SPREAD_S - now
        return TokenResult(max(UNKNOWN_RETRY_S, start_s), False)

    def _add_tokens(self, state: _TenantState, batch: TokenBatch, now: float) -> None:
        state.cache.put(batch, now=now)
        self._holding.setdefault(batch.coordinator, set()).add(state.name)

    def _serve_waiting(self, state: _TenantState, now: float) -> None:
        """Give tokens to waiting calls, the longest wait first."""
        while state.waiting:
            batch = state.cache.take(now=now)
            if batch is None:
                return
            result = TokenResult(None, True, batch.expires_at, batch.coordinator)
            state.waiting.popleft().finish(result)
        self._waiting.pop(state.name, None)
        state.former = None

    def _refuse_waiting(self, state: _TenantState, now: float, *, is_known: bool) -> None:
        while state.waiting:
            ticket = state.waiting.popleft()
            if is_known:
                ticket.finish(TokenResult(state.cache.refuse(now=now)))
            else:
                ticket.finish(self._refuse_unknown(now))
        self._waiting.pop(state.name, None)
        state.former = None

    # Messages

    def handle_request(self, request: TokenRequest, *, now: float) -> TokenGrant | None:
        """Answer a request as a coordinator; return None if it must be dropped."""
        return self.book.handle(request, now=now)

    def handle_grant(self, grant: TokenGrant, *, now: float) -> None:
        """Apply the answer of a coordinator."""
        if grant.process != self._process:
            return
        self.ledger.note_answer(
            grant.sender, grant.serial, grant.stamp, leaving=grant.leaving, now=now
        )
        pending = self._pending.get(grant.serial)
        if pending is None or pending.coordinator != grant.sender:
            return
        del self._pending[grant.serial]
        self._uncount(pending)
        for item in grant.items:
            state = self._tenants.get(item.tenant)
            if state is not None and pending.sent_at >= state.valid_from:
                self._apply_grant(state, item, pending, now)

    def _uncount(self, pending: _Pending) -> None:
        if not pending.is_counted:
            return
        pending.is_counted = False
        for item in pending.request.items:
            state = self._tenants.get(item.tenant)
            if state is not None:
                state.asked = max(0, state.asked - item.wanted)

    def _apply_grant(
        self, state: _TenantState, item: GrantItem, pending: _Pending, now: float
    ) -> None:
        batch = TokenBatch(item.tokens, pending.sent_at + TOKEN_S, pending.coordinator)
        self._add_tokens(state, batch, now)
        self._serve_waiting(state, now)
        if item.wait_s > 0:
            former = self.ledger.find_former_coordinator(state.partition, now=now)
            if former is None or former == pending.coordinator:
                self._note_refusal(state, item, now)
                return
            # While nodes move to another coordinator, the former one may still have tokens.
            state.former = former
        if state.waiting:
            self._dirty[state.name] = state

    def _note_refusal(self, state: _TenantState, item: GrantItem, now: float) -> None:
        """Refuse the waiting calls, and further ones until there may be tokens."""
        if not item.is_known:
            state.unknown_until = now + UNKNOWN_S
        elif state.cache.refused_at <= now:
            state.cache.refused_at = now + item.wait_s
        self._refuse_waiting(state, now, is_known=item.is_known)

    # Requests

    def poll(self, now: float) -> Outgoing:
        """Return the requests to send now, with the VMs of their receivers."""
        if not self._tenants:
            return []
        self.book.expire(now)
        self._lost_coordinators += self.ledger.refresh(now)
        outgoing = self._repeat_pending(now)
        for state in list(self._waiting.values()):
            while state.waiting and state.waiting[0].deadline <= now:
                state.waiting.popleft().finish(self._refuse_unknown(now))
            if not state.waiting:
                del self._waiting[state.name]
                state.former = None
        if self._dirty:
            self._request_tokens(outgoing, now)
        if any(now >= self._find_renewal(vm) for vm in self.ledger.links):
            for vm, link in list(self.ledger.links.items()):
                if now + RENEW_TOGETHER_S >= self._find_renewal(vm):
                    link.renewed_at = now
                    self._add_request(outgoing, vm, self._build_returns(vm, now), now)
        return outgoing

    def find_next_due(self, now: float) -> float:
        """Return the time at which `poll` has something to do."""
        due = [self._find_renewal(vm) for vm in self.ledger.links]
        due += [pending.find_due() for pending in self._pending.values()]
        due += [state.waiting[0].deadline for state in self._waiting.values() if state.waiting]
        return min(due, default=now + RENEW_S)

    def _find_renewal(self, vm: str) -> float:
        link = self.ledger.links[vm]
        is_unanswered = link.heard_at < link.sent_at < link.heard_at + REPEAT_UNTIL_S
        due = link.renewed_at + RENEW_S
        return min(due, link.sent_at + UNANSWERED_S) if is_unanswered else due

    def _repeat_pending(self, now: float) -> Outgoing:
        outgoing: Outgoing = []
        for serial, pending in list(self._pending.items()):
            while pending.repeats < len(REPEAT_AFTER_S) and now >= pending.find_due():
                pending.repeats += 1
                outgoing.append((pending.coordinator, pending.request))
            if now >= pending.sent_at + MAX_WAIT_S:
                self._uncount(pending)
            if now >= pending.sent_at + TOKEN_S:
                del self._pending[serial]
        return outgoing

    def _request_tokens(self, outgoing: Outgoing, now: float) -> None:
        by_vm: dict[str, list[RequestItem]] = {}
        for name, state in self._dirty.items():
            wanted = max(0, len(state.waiting) - state.asked)
            ahead = 0 if state.asked else state.cache.count_ahead(now=now)
            if not wanted and not ahead:
                continue
            vm = self.ledger.get_coordinator(state.partition)
            if state.former in self.ledger.links:
                vm = state.former
            state.asked += wanted
            limit = state.cache.limit
            item = RequestItem(name, wanted, ahead, 0, limit.rate, limit.burst)
            by_vm.setdefault(vm, []).append(item)
        self._dirty.clear()
        for vm, items in by_vm.items():
            self._add_request(outgoing, vm, items, now)

    def _build_returns(self, vm: str, now: float) -> list[RequestItem]:
        items = []
        for name in self._holding.pop(vm, ()):
            state = self._tenants.get(name)
            if state is None:
                continue
            limit = state.cache.limit
            returned = state.cache.take_unused(vm, before=now + RETURN_BEFORE_S, now=now)
            if returned:
                items.append(RequestItem(name, 0, 0, returned, limit.rate, limit.burst))
            if any(batch.coordinator == vm for batch in state.cache.batches):
                self._holding.setdefault(vm, set()).add(name)
        return items + self._build_standing(vm, now)

    def _build_standing(self, vm: str, now: float) -> list[RequestItem]:
        """Request one token for each tenant with recent calls, so that the next need not wait."""
        items = []
        for name, state in list(self._recent.items()):
            cache = state.cache
            if now - cache.called_at > STANDING_S:
                del self._recent[name]
            elif self.ledger.get_coordinator(state.partition) == vm and not cache.count(now=now):
                items.append(RequestItem(name, 0, 1, 0, cache.limit.rate, cache.limit.burst))
        return items

    def _add_request(
        self, outgoing: Outgoing, vm: str, items: list[RequestItem], now: float
    ) -> None:
        """Add a request with the items, or several if they don't fit into a datagram."""
        start = 0
        while True:
            end, size_bytes = start, 0
            while end < len(items):
                size_bytes += ITEM_BYTES + len(items[end].tenant.encode())
                if size_bytes > ITEMS_BYTES and end > start:
                    break
                end += 1
            self._serial += 1
            loan = self.ledger.build_loan(vm, self._serial, now=now)
            part = tuple(items[start:end])
            request = TokenRequest(
                self._vm, self._process, self._serial, self._generation, loan, part
            )
            outgoing.append((vm, request))
            if any(item.wanted or item.ahead for item in part):
                self._pending[self._serial] = _Pending(coordinator=vm, request=request, sent_at=now)
            start = end
            if start >= len(items):
                return
