"""Decide which calls may use the slots of the local backend server."""

from __future__ import annotations

import math
from bisect import insort
from typing import NamedTuple

from ..shared.records import DEFAULT_WEIGHT
from ..tenants.shares import FairClock, ShareFloor

QUEUE_LENGTH_PER_SLOT = 2
# Weight of the newest call in the mean duration of calls.
DURATION_WEIGHT = 0.1
INITIAL_DURATION_S = 0.02
# Assumed duration of a call of a route none of whose calls has ended yet, as a share of the time to
# its target. The targets of the deployments are three to five times the duration of their calls.
GUESSED_DURATION_SHARE = 0.3
# Weight of the newest body in the mean time that bodies take to arrive. It is higher than for
# calls, since uploads are rarer.
RECEIVE_WEIGHT = 0.2
# Routes whose durations are kept; a configuration has fewer routes with traffic.
MAX_OBSERVED_ROUTES = 256
# Multiple of the mean duration that a call should have left until its target: nine in ten calls of
# a route last less than twice their mean.
DURATION_MARGIN_FACTOR = 2.0
# Share of the time to its target that a call may wait even if it will probably be late, which keeps
# the slots busy.
MIN_WAIT_SHARE = 0.15
# Priority of calls of a tenant or route that is served too rarely; routes have none below 0.
FLOOR_PRIORITY = -1
# The order by shares ends this long after the last call with a tenant.
SHARES_IDLE_S = 10.0


class Admitted(NamedTuple):
    """Report that a call has got a slot at once."""


class Queued(NamedTuple):
    """Report that a call waits for a slot until `expires_at` (monotonic seconds).

    `displaced` is the ticket of a less urgent call that has lost its place in the full queue.
    """

    ticket: int
    expires_at: float
    displaced: int | None = None


class Refused(NamedTuple):
    """Report why a call is refused before anything is sent to the backend server."""

    reason: str
    retry_after_s: float


class SlotRequest(NamedTuple):
    """Describe a call that needs a slot; `deadline` and `target` are in monotonic seconds.

    A smaller `priority` goes first. A response after `target` is worth less, so a call waits only
    while it will most probably meet its target; without one it may wait up to its deadline.
    `max_slot_wait_s` is the longest wait that the caller's node accepts. Calls of equal priority go
    in the order of their tenants' shares, which are proportional to `tenant_weight`.
    """

    deadline: float | None = None
    route_id: str = ""
    priority: int = 0
    target: float | None = None
    max_slot_wait_s: float | None = None
    tenant: str = ""
    tenant_weight: float = DEFAULT_WEIGHT


class _Order(NamedTuple):
    """Hold the place of a call in the queue; without tenants, all virtual starts are 0."""

    priority: int
    virtual_start: float


class _WaitingCall(NamedTuple):
    """Hold a waiting call; tuples sort by priority, virtual start and arrival."""

    order: _Order
    ticket: int
    expires_at: float
    slot_request: SlotRequest
    # What the tenant was charged.
    virtual_length: float


class SlotQueue:
    """Assign the slots of one backend server, and queue a few calls, the most urgent ones first.

    `queue_s` limits the wait in the queue; with None, only targets and deadlines limit it.
    """

    def __init__(
        self,
        *,
        slots: int,
        queue_s: float | None,
        length_per_slot: int = QUEUE_LENGTH_PER_SLOT,
    ) -> None:
        self.slots = slots
        self.queue_s = queue_s
        self.busy = 0
        # Calls whose bodies are being received, and which will need a slot soon.
        self.receiving_bodies = 0
        # Mean time in which a body arrives, in seconds.
        self._mean_receive_s = 0.0
        # Sum of the monotonic seconds at which the calls in slots got them.
        self._start_times_sum = 0.0
        self._length_per_slot = length_per_slot
        self._waiting: list[_WaitingCall] = []
        self._next_ticket = 0
        self._mean_duration_s = INITIAL_DURATION_S
        self._observed_calls = 0
        self._mean_durations_by_route: dict[str, float] = {}
        self._clock = FairClock()
        self._floor = ShareFloor()
        # When the order by shares ends; calls with tenants extend it.
        self._shares_until = -math.inf

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    def offer(
        self, *, now: float, deadline: float | None = None, slot_request: SlotRequest | None = None
    ) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a call; without a request, only deadline and queue time count."""
        slot_request = slot_request or SlotRequest(deadline)
        if not self._observed_calls and slot_request.route_id:
            self._mean_duration_s = max(
                self._mean_duration_s, self._estimate_slot_duration(now, slot_request)
            )
        if slot_request.tenant:
            self._shares_until = now + SHARES_IDLE_S
        refused = self.find_refusal(now=now, slot_request=slot_request)
        if refused is not None:
            self.note_refusal(slot_request, now=now)
            return refused
        order = self._find_order(now, slot_request)
        if self.busy < self.slots and not self._waiting:
            length = self._compute_virtual_length(slot_request)
            self._clock.charge(slot_request.tenant, length, now=now)
            self._take_slot(now, slot_request, length)
            return Admitted()
        displaced = None
        if len(self._waiting) >= self._length_per_slot * self.slots:
            displaced = self._displace_last(order, now)
            if displaced is None:
                self.note_refusal(slot_request, now=now)
                return Refused("queue-full", self.estimate_wait(now=now))
        self._next_ticket += 1
        expires_at = self._compute_wait_limit(now, slot_request)
        length = self._compute_virtual_length(slot_request)
        self._clock.charge(slot_request.tenant, length, now=now)
        insort(
            self._waiting,
            _WaitingCall(order, self._next_ticket, expires_at, slot_request, length),
        )
        return Queued(self._next_ticket, expires_at, displaced)

    def _find_order(self, now: float, slot_request: SlotRequest) -> _Order:
        """Return the place that a call would get in the queue."""
        if now >= self._shares_until:
            return _Order(slot_request.priority, 0.0)
        length = self._compute_virtual_length(slot_request)
        start = self._clock.find_start(slot_request.tenant, length, now=now)
        if self._floor.is_below(_list_floor_keys(slot_request), now=now):
            return _Order(FLOOR_PRIORITY, start)
        return _Order(slot_request.priority, start)

    def _compute_virtual_length(self, slot_request: SlotRequest) -> float:
        return self.estimate_duration(slot_request.route_id) / slot_request.tenant_weight

    def note_refusal(self, slot_request: SlotRequest, *, now: float) -> None:
        """Count a call that gets no slot, unless its caller's node will ask another node."""
        if slot_request.max_slot_wait_s is None and now < self._shares_until:
            self._floor.note(_list_floor_keys(slot_request), served=False, now=now)

    def _drop(self, waiting: _WaitingCall, now: float | None) -> None:
        """Settle the account of a call that leaves the queue without a slot."""
        self._clock.refund(waiting.slot_request.tenant, waiting.virtual_length)
        if now is not None:
            self.note_refusal(waiting.slot_request, now=now)

    def find_refusal(
        self,
        *,
        now: float,
        slot_request: SlotRequest,
        receives_body: bool = False,
        turn_wait_s: float | None = None,
    ) -> Refused | None:
        """Return why a call would be refused now, or None, without any change to the queue.

        With `receives_body`, the calls whose bodies are arriving already count as ahead of this
        one. Bodies share a link that may be slow, so a call that would wait for its body for longer
        than `max_slot_wait_s` is refused: its caller can ask another node. `turn_wait_s` is the
        wait until the body may be sent; if None, it is estimated from earlier bodies.
        """
        if slot_request.deadline is not None and slot_request.deadline <= now:
            return Refused("deadline", self.estimate_wait(now=now))
        receiving_bodies = self.receiving_bodies if receives_body else 0
        body_wait_s = (
            receiving_bodies * self._mean_receive_s if turn_wait_s is None else turn_wait_s
        )
        if slot_request.max_slot_wait_s is not None and body_wait_s > slot_request.max_slot_wait_s:
            return Refused("receiving", body_wait_s)
        is_free = self.busy + receiving_bodies < self.slots and not self._waiting
        if is_free and not turn_wait_s:
            return None
        wait_s = 0.0
        if not is_free:
            wait_s = self.estimate_wait(
                now=now,
                order=self._find_order(now, slot_request),
                receiving_bodies=receiving_bodies,
            )
        wait_s = max(wait_s, turn_wait_s or 0.0)
        if slot_request.max_slot_wait_s is not None and wait_s > slot_request.max_slot_wait_s:
            return Refused("busy", wait_s)
        # Without a route, the expected wait does not count against the deadline.
        earliest_start = now + wait_s if slot_request.route_id else now
        if self._compute_wait_limit(now, slot_request) <= earliest_start:
            return Refused("deadline-near", wait_s)
        if self._may_miss_target(now + wait_s, now, slot_request):
            return Refused("late", wait_s)
        return None

    def _may_miss_target(self, start: float, now: float, slot_request: SlotRequest) -> bool:
        """Tell whether a call that gets its slot at `start` is likely to miss its target."""
        if slot_request.target is None:
            return False
        duration_s = self._estimate_slot_duration(now, slot_request)
        latest = slot_request.target - DURATION_MARGIN_FACTOR * duration_s
        return start > max(latest, now + MIN_WAIT_SHARE * (slot_request.target - now))

    def _compute_wait_limit(self, now: float, slot_request: SlotRequest) -> float:
        """Return the time up to which a call may wait, by the present estimate for its route."""
        expires_at = math.inf if self.queue_s is None else now + self.queue_s
        if slot_request.deadline is None:
            return expires_at
        if not slot_request.route_id:
            return min(expires_at, slot_request.deadline)
        return min(
            expires_at, slot_request.deadline - self._estimate_slot_duration(now, slot_request)
        )

    def _estimate_slot_duration(self, now: float, slot_request: SlotRequest) -> float:
        """Return the expected seconds in the slot, by the call's target if its route is new."""
        known = self._mean_durations_by_route.get(slot_request.route_id)
        if known is not None:
            return known
        if slot_request.target is None:
            return self._mean_duration_s
        return max(self._mean_duration_s, GUESSED_DURATION_SHARE * (slot_request.target - now))

    def _displace_last(self, order: _Order, now: float) -> int | None:
        """Remove the last call of the queue if the new one goes before it."""
        if not self._waiting or self._waiting[-1].order <= order:
            return None
        displaced = self._waiting.pop()
        self._drop(displaced, now)
        return displaced.ticket

    def release(
        self,
        *,
        now: float,
        duration_s: float = 0.0,
        reached_backend: bool = True,
        route_id: str = "",
    ) -> list[int]:
        """Release a slot, and return the tickets of the calls that now get one.

        The duration of a call that did not reach the backend server is not recorded, since it says
        nothing about later calls.
        """
        self.busy -= 1
        self._start_times_sum -= now - duration_s
        if not self.busy:
            # Rounding errors must not accumulate.
            self._start_times_sum = 0.0
            if not self._waiting:
                self._clock.reset()
        if reached_backend and duration_s > 0:
            self._note_duration(duration_s, route_id)
        return self.admit(now=now)

    def _take_slot(self, now: float, slot_request: SlotRequest, virtual_length: float) -> None:
        self.busy += 1
        self._start_times_sum += now
        self._clock.advance(
            slot_request.tenant, slot_request.tenant_weight, virtual_length, now=now
        )
        if now < self._shares_until:
            self._floor.note(_list_floor_keys(slot_request), served=True, now=now)

    def _note_duration(self, duration_s: float, route_id: str) -> None:
        self._observed_calls += 1
        # The first durations are averaged with equal weights.
        weight = max(DURATION_WEIGHT, 1 / self._observed_calls)
        self._mean_duration_s += weight * (duration_s - self._mean_duration_s)
        if route_id in self._mean_durations_by_route:
            self._mean_durations_by_route[route_id] += DURATION_WEIGHT * (
                duration_s - self._mean_durations_by_route[route_id]
            )
        elif len(self._mean_durations_by_route) < MAX_OBSERVED_ROUTES:
            self._mean_durations_by_route[route_id] = duration_s

    def note_received(self, duration_s: float) -> None:
        """Record how long a body took to arrive."""
        self._mean_receive_s += RECEIVE_WEIGHT * (duration_s - self._mean_receive_s)

    def admit(self, *, now: float) -> list[int]:
        """Grant free slots, the most urgent calls first, and return their tickets."""
        granted = []
        kept = []
        for waiting in self._waiting:
            if self.busy < self.slots and self._compute_latest_start(waiting, now) > now:
                self._take_slot(now, waiting.slot_request, waiting.virtual_length)
                granted.append(waiting.ticket)
            else:
                kept.append(waiting)
        self._waiting = kept
        return granted

    def expire(self, *, now: float) -> list[int]:
        """Remove the calls that will not get a slot in time, and return their tickets."""
        step_s = self._estimate_current_duration(now) / max(1, self.slots)
        kept: list[_WaitingCall] = []
        expired = []
        for waiting in self._waiting:
            start = now + (len(kept) + 1) * step_s
            if start > self._compute_latest_start(waiting, now):
                expired.append(waiting.ticket)
                self._drop(waiting, now)
            else:
                kept.append(waiting)
        self._waiting = kept
        return expired

    def _compute_latest_start(self, waiting: _WaitingCall, now: float) -> float:
        """Return the latest useful start of a call, by the present estimate for its route."""
        return min(waiting.expires_at, self._compute_wait_limit(now, waiting.slot_request))

    def withdraw(self, ticket: int, *, now: float | None = None) -> bool:
        """Remove a waiting call; return False if it already has a slot.

        With `now`, the call counts as one that got no slot.
        """
        for index, waiting in enumerate(self._waiting):
            if waiting.ticket == ticket:
                del self._waiting[index]
                self._drop(waiting, now)
                return True
        return False

    def get_duration(self, route_id: str) -> float | None:
        """Return the mean seconds that calls of a route have held a slot, or None if none has."""
        return self._mean_durations_by_route.get(route_id)

    def estimate_duration(self, route_id: str = "") -> float:
        """Return the expected seconds that a call of a route holds its slot."""
        return self._mean_durations_by_route.get(route_id, self._mean_duration_s)

    def estimate_wait(
        self, *, now: float, order: _Order | None = None, receiving_bodies: int = 0
    ) -> float:
        """Return the expected seconds until a new call gets a slot; with `order`, at that place.

        Calls that have held their slots for longer than usual raise the estimate, since they show
        that a backend server has become slow before any of them ends.
        """
        ahead = len(self._waiting)
        if order is not None:
            ahead = sum(1 for waiting in self._waiting if waiting.order <= order)
        return (
            (ahead + receiving_bodies + 1)
            * self._estimate_current_duration(now)
            / max(1, self.slots)
        )

    def _estimate_current_duration(self, now: float) -> float:
        """Return the seconds that calls hold their slots, including those still running."""
        if not self.busy:
            return self._mean_duration_s
        return max(self._mean_duration_s, now - self._start_times_sum / self.busy)


def _list_floor_keys(slot_request: SlotRequest) -> list[str]:
    """Return the keys by which the served share of a call's tenant and route is counted."""
    keys = []
    if slot_request.tenant:
        keys.append(f"tenant {slot_request.tenant}")
    if slot_request.route_id:
        keys.append(f"route {slot_request.route_id}")
    return keys


def format_retry_after(seconds: float, *, fractions: bool = False) -> bytes:
    """Return the value of a `Retry-After` header, in whole seconds unless fractions are taken.

    >>> format_retry_after(0.03), format_retry_after(2.1), format_retry_after(0.03, fractions=True)
    (b'1', b'3', b'0.030')
    """
    if fractions:
        return b"%.3f" % max(0.0, seconds)
    return b"%d" % max(1, math.ceil(seconds))
