"""Choose the endpoint of an attempt by observed load, latency and failures."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..shared.records import Endpoint, ServicePolicy
from .heads import BackendLoad

# An older report of load no longer describes the endpoint.
LOAD_MAX_AGE_S = 1.0
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.005
# The mean latency of a service changes more slowly than that of one endpoint.
MEAN_LATENCY_WEIGHT = 0.05
# Smaller latencies are not distinguished, since they differ by measurement error only.
MIN_LATENCY_S = 0.001
SLOW_START_MIN_WEIGHT = 0.1
# An endpoint that fails at once is always idle, so without a penalty it would attract every call.
MAX_FAILURE_PENALTY = 8
# Load per slot from which endpoints of other availability zones are considered as well.
SPILL_LOAD_PER_SLOT = 1.0
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0
EJECT_MAX_SHARE = 0.4
# Time constant with which the weight of a reported duration decays, so that an endpoint that was
# slow for a while is tried again.
DURATION_REPORT_DECAY_S = 4.0
# Weight of the newest report in the mean duration of a route's calls.
MEAN_DURATION_WEIGHT = 0.05
MAX_OBSERVED_ROUTES = 256
# A call lasts longer by this share when all slots are taken, since many backend servers slow down
# under full load.
FULL_SLOTS_SLOWDOWN = 0.3
# A service with at most this many endpoints is compared as a whole. In a larger one, the best of a
# few random endpoints is chosen, most of them in the same availability zone, to spread the calls.
SMALL_SERVICE_ENDPOINTS = 13
MAX_CANDIDATES = 5
MAX_LOCAL_CANDIDATES = 3
OVERHEAD_WEIGHT = 0.2
# Averages the overhead of a service over some dozens of calls.
MEAN_OVERHEAD_WEIGHT = 0.05
# Factors on the expected time of a call in other availability zones: crossing costs latency and
# bytes, the more for large bodies.
REMOTE_FACTOR = 1.2
REMOTE_FACTOR_LARGE = 3.0
# A call lasts longer than x times its mean with a probability of exp(-DURATION_TAIL_RATE * x): one
# in ten lasts over twice the mean.
DURATION_TAIL_RATE = 1.15
# Penalty of an endpoint in another availability zone for each kilobyte of a call, as a probability
# of missing the target, and its limit. With 0.02, a lookup of 6 KB crosses zones if that keeps one
# in eight from being late; with 0.04, more calls are late than the bytes are worth (docs/load.md).
CROSSING_PENALTY_PER_KB = 0.02
MAX_CROSSING_PENALTY = 0.25
# Size of the heads of a request and its response between two nodes, and of the bodies of a call
# before any is known.
HEADS_BYTES = 1000
INITIAL_CALL_BYTES = 4000
SIZE_WEIGHT = 0.05
# Endpoints with a smaller share of failures are not avoided, since single failures are common.
MIN_FAILED_SHARE = 0.05
MAX_FAILED_SHARE = 0.95
# First and longest period without calls for an endpoint that can't be reached or whose node refuses
# every call.
UNREACHABLE_BASE_S = 0.5
UNREACHABLE_MAX_S = 4.0
# Doublings after which every period has reached its limit.
MAX_DOUBLINGS = 10
# Health reports are ignored if a smaller share of endpoints is ready, since a fault of the reports
# tends to hit many at once.
TRUSTED_READY_SHARE = 0.5


class EndpointState:
    """Hold what this node has observed of one endpoint."""

    __slots__ = (
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "endpoint",
        "failed_share",
        "first_seen_at",
        "in_flight",
        "latency_s",
        "needs_probe",
        "overhead_s",
        "reported_durations",
        "reported_load",
        "reported_load_at",
    )

    def __init__(self, endpoint: Endpoint, *, first_seen_at: float) -> None:
        self.endpoint = endpoint
        self.first_seen_at = first_seen_at
        self.in_flight = 0
        self.reported_load = 0
        self.reported_load_at = -LOAD_MAX_AGE_S
        self.latency_s = INITIAL_LATENCY_S
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        # The node must answer a probe before it gets calls again.
        self.needs_probe = False
        # By route id: seconds that a call holds a slot, and the time of that report.
        self.reported_durations: dict[str, tuple[float, float]] = {}
        self.failed_share = 0.0
        # Mean seconds of a call outside its slot: transfer and waits on the way.
        self.overhead_s = 0.0


class HealthChange(NamedTuple):
    """Describe the ejection or readmission of an endpoint."""

    event: str
    endpoint: Endpoint
    reason: str
    period_s: float


class Balancer:
    """Choose among the endpoints of one service."""

    def __init__(self, *, availability_zone: str) -> None:
        self._availability_zone = availability_zone
        self._states: dict[tuple[str, int], EndpointState] = {}
        self._local: list[EndpointState] = []
        self._remote: list[EndpointState] = []
        self._ejected: list[EndpointState] = []
        self._max_slots = 1
        self._slow_start_s = 0.0
        self._local_first = True
        # These means are moving averages over all endpoints.
        self.mean_latency_s = INITIAL_LATENCY_S
        # Mean seconds of a call outside its slot: the cost of asking a node for a slot.
        self.mean_overhead_s = 0.0
        self._mean_durations_s: dict[str, float] = {}
        # By route id: mean bytes of the bodies of request and response together.
        self._mean_call_bytes: dict[str, float] = {}

    @property
    def states(self) -> tuple[EndpointState, ...]:
        """Return the state of every endpoint."""
        return tuple(self._states.values())

    def update(self, endpoints: Iterable[Endpoint], policy: ServicePolicy, *, now: float) -> None:
        """Replace the endpoints, and keep the observations of those that stay.

        A new incarnation counts as a new endpoint, so it starts slowly and without observations.
        """
        self._max_slots = policy["slots"]
        self._slow_start_s = policy["slow_start_ms"] / 1000
        self._local_first = policy["preference"] == "local-first"
        states = {}
        for endpoint in endpoints:
            key = (endpoint.vm, endpoint.incarnation)
            state = self._states.get(key)
            if state is None:
                state = EndpointState(endpoint, first_seen_at=now)
            state.endpoint = endpoint
            states[key] = state
        self._states = states
        self._ejected = [state for state in self._ejected if self._is_known(state)]
        self._split_by_zone()

    def _is_known(self, state: EndpointState) -> bool:
        endpoint = state.endpoint
        return self._states.get((endpoint.vm, endpoint.incarnation)) is state

    def _split_by_zone(self) -> None:
        """Split the usable endpoints by availability zone, and leave out unready ones.

        Readiness is ignored if too few endpoints report it.
        """
        active = [state for state in self._states.values() if state not in self._ejected]
        ready = [state for state in active if state.endpoint.ready]
        if len(ready) >= TRUSTED_READY_SHARE * len(active):
            active = ready or active
        zone = self._availability_zone
        if self._local_first:
            self._local = [s for s in active if s.endpoint.availability_zone == zone]
            self._remote = [s for s in active if s.endpoint.availability_zone != zone]
        else:
            self._local, self._remote = active, []

    def choose(
        self, *, now: float, rng: random.Random, exclude: tuple[EndpointState, ...] = ()
    ) -> EndpointState | None:
        """Choose an endpoint for the next attempt; one in `exclude` only if there is no other."""
        chosen = self._pick_of_two(self._local, now, rng, exclude)
        if chosen is None or self._load_per_slot(chosen, now) >= SPILL_LOAD_PER_SLOT:
            remote = self._pick_of_two(self._remote, now, rng, exclude)
            if chosen is None or (
                remote is not None and self._score(remote, now) < self._score(chosen, now)
            ):
                chosen = remote
        if chosen is not None or not exclude:
            return chosen
        return self.choose(now=now, rng=rng)

    def _pick_of_two(
        self,
        states: list[EndpointState],
        now: float,
        rng: random.Random,
        exclude: tuple[EndpointState, ...],
    ) -> EndpointState | None:
        if exclude:
            states = [state for state in states if state not in exclude]
        count = len(states)
        if count < 2:
            return states[0] if states else None
        first = int(rng.random() * count)
        second = int(rng.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = states[first], states[second]
        return one if self._score(one, now) <= self._score(other, now) else other

    def _load_per_slot(self, state: EndpointState, now: float) -> float:
        load = state.in_flight
        if now - state.reported_load_at < LOAD_MAX_AGE_S:
            load += state.reported_load
        return load / max(1, min(state.endpoint.slots, self._max_slots))

    def _score(self, state: EndpointState, now: float) -> float:
        slots = max(1, min(state.endpoint.slots, self._max_slots))
        # The new call is counted, so that latency also matters between idle endpoints.
        load = self._load_per_slot(state, now) + 1 / slots
        weight = 1.0
        if self._slow_start_s > 0:
            age = (now - state.first_seen_at) / self._slow_start_s
            weight = min(1.0, max(SLOW_START_MIN_WEIGHT, age))
        penalty = 1 + min(state.consecutive_failures, MAX_FAILURE_PENALTY)
        return load * max(state.latency_s, MIN_LATENCY_S) * penalty / weight

    def choose_by_estimate(
        self,
        *,
        route_id: str,
        now: float,
        rng: random.Random,
        exclude: tuple[EndpointState, ...] = (),
        prefers_local: bool = False,
        target_s: float | None = None,
        admits: Callable[[Endpoint], bool] | None = None,
    ) -> EndpointState | None:
        """Choose the endpoint that is most likely to complete a call of a route in time.

        `target_s` is the time left to the call's target. Without a target, or after it, choose the
        endpoint that will probably complete the call first. An endpoint in `exclude` is chosen only
        if there is no other, and an ejected one only if all are ejected. Only endpoints that
        `admits` accepts are chosen, whatever their state.
        """
        known = list(self._states.values())
        if admits is not None:
            known = [state for state in known if admits(state.endpoint)]
        admitted = [s for s in known if s not in self._ejected] if self._ejected else list(known)
        states = (
            [s for s in admitted if s not in exclude]
            or admitted
            or [s for s in known if s not in exclude]
            or list(known)
        )
        if not states:
            return None
        states = self._sample_candidates(states, rng)
        factor = REMOTE_FACTOR_LARGE if prefers_local else REMOTE_FACTOR
        crossing_penalty = self._compute_crossing_penalty(route_id)

        def estimate(state: EndpointState) -> tuple[float, float, float]:
            is_remote = not self.is_local(state)
            completion_s = self._estimate_completion(state, route_id, now)
            risk = 0.0
            if target_s is not None and target_s > 0:
                risk = self._estimate_risk(state, route_id, now, target_s)
                # Among endpoints where the call will be late, a shorter delay is better.
                risk += max(0.0, completion_s / target_s - 1.0)
                risk += crossing_penalty if is_remote else 0.0
            return (risk, completion_s * (factor if is_remote else 1.0), rng.random())

        return min(states, key=estimate)

    def is_local(self, state: EndpointState) -> bool:
        """Tell whether an endpoint is in this node's availability zone."""
        return state.endpoint.availability_zone == self._availability_zone

    def choose_shortest_wait(
        self, refusals: Iterable[tuple[float, EndpointState]], *, local_extra_wait_s: float
    ) -> EndpointState:
        """Choose among endpoints by the waits in seconds that their nodes reported.

        The wait of an endpoint in this zone may be up to `local_extra_wait_s` longer, since
        crossing zones saves little time when every node has a queue.
        """

        def estimate(refusal: tuple[float, EndpointState]) -> float:
            wait_s, state = refusal
            return wait_s if self.is_local(state) else wait_s + local_extra_wait_s

        return min(refusals, key=estimate)[1]

    def _compute_crossing_penalty(self, route_id: str) -> float:
        """Return the penalty of endpoints in other zones, as a probability of being late."""
        size_bytes = HEADS_BYTES + self._mean_call_bytes.get(route_id, INITIAL_CALL_BYTES)
        return min(MAX_CROSSING_PENALTY, CROSSING_PENALTY_PER_KB * size_bytes / 1000)

    def _estimate_risk(
        self, state: EndpointState, route_id: str, now: float, target_s: float
    ) -> float:
        """Return the probability that a call misses its target or fails at an endpoint."""
        duration_s = self._estimate_duration(state, route_id, now)
        waiting_s = self._estimate_relative_delay(state, now) * duration_s
        left_s = target_s - state.overhead_s - waiting_s
        late_probability = math.exp(
            -DURATION_TAIL_RATE * max(0.0, left_s) / max(duration_s, MIN_LATENCY_S)
        )
        return 1.0 - (1.0 - late_probability) * (1.0 - self._get_relevant_failed_share(state))

    def _sample_candidates(
        self, states: list[EndpointState], rng: random.Random
    ) -> list[EndpointState]:
        """Return a few random endpoints, so that nodes with the same data choose differently."""
        if len(states) <= SMALL_SERVICE_ENDPOINTS:
            return states
        zone = self._availability_zone
        local = [s for s in states if s.endpoint.availability_zone == zone]
        remote = [s for s in states if s.endpoint.availability_zone != zone]
        chosen = rng.sample(local, min(MAX_LOCAL_CANDIDATES, len(local)))
        return chosen + rng.sample(remote, min(MAX_CANDIDATES - len(chosen), len(remote)))

    def _estimate_completion(self, state: EndpointState, route_id: str, now: float) -> float:
        """Return the expected seconds of a call at an endpoint, with a penalty for failures."""
        duration_s = self._estimate_duration(state, route_id, now)
        relative_delay = self._estimate_relative_delay(state, now)
        completion_s = state.overhead_s + duration_s * (1 + relative_delay)
        return completion_s / (1 - self._get_relevant_failed_share(state)) ** 2

    def _estimate_relative_delay(self, state: EndpointState, now: float) -> float:
        """Return the delay by other calls there, as a share of a call's own duration."""
        slots = max(1, state.endpoint.slots)
        load = state.in_flight
        if now - state.reported_load_at < LOAD_MAX_AGE_S:
            load = max(load, state.reported_load)
        waiting = max(0, load + 1 - slots)
        return waiting / slots + FULL_SLOTS_SLOWDOWN * min(load, slots) / slots

    def _get_relevant_failed_share(self, state: EndpointState) -> float:
        return state.failed_share if state.failed_share > MIN_FAILED_SHARE else 0.0

    def _estimate_duration(self, state: EndpointState, route_id: str, now: float) -> float:
        mean_s = self._mean_durations_s.get(route_id, INITIAL_LATENCY_S)
        reported = state.reported_durations.get(route_id)
        if reported is None:
            return mean_s
        duration_s, at = reported
        report_weight = math.exp((at - now) / DURATION_REPORT_DECAY_S)
        return mean_s + report_weight * (duration_s - mean_s)

    def note_report(
        self, state: EndpointState, load: BackendLoad, route_id: str, *, now: float
    ) -> None:
        """Record the load, failures and duration that the endpoint's node reported."""
        self.note_load(state, load.in_flight + load.queued, now=now)
        state.failed_share = min(load.failed_percent / 100, MAX_FAILED_SHARE)
        if load.duration_ms is None or len(state.reported_durations) >= MAX_OBSERVED_ROUTES:
            return
        duration_s = max(load.duration_ms / 1000, MIN_LATENCY_S)
        state.reported_durations[route_id] = (duration_s, now)
        mean_s = self._mean_durations_s.get(route_id, duration_s)
        mean_s += MEAN_DURATION_WEIGHT * (duration_s - mean_s)
        self._mean_durations_s[route_id] = mean_s

    def note_size(self, route_id: str, size_bytes: int) -> None:
        """Record the size of a call: the bodies of its request and response together."""
        if route_id in self._mean_call_bytes:
            self._mean_call_bytes[route_id] += SIZE_WEIGHT * (
                size_bytes - self._mean_call_bytes[route_id]
            )
        elif len(self._mean_call_bytes) < MAX_OBSERVED_ROUTES:
            self._mean_call_bytes[route_id] = size_bytes

    def note_overhead(self, state: EndpointState, seconds: float) -> None:
        """Record the seconds that a call took outside its slot."""
        seconds = max(0.0, seconds)
        state.overhead_s += OVERHEAD_WEIGHT * (seconds - state.overhead_s)
        self.mean_overhead_s += MEAN_OVERHEAD_WEIGHT * (seconds - self.mean_overhead_s)

    def note_unreachable(
        self, state: EndpointState, *, now: float, reason: str, needs_probe: bool = False
    ) -> HealthChange | None:
        """Eject an endpoint that takes no call at all, however many others are ejected.

        With `needs_probe`, it is readmitted only after it has answered a probe, since a call that
        is sent to a silent VM loses most of its time.
        """
        if state in self._ejected or not self._is_known(state):
            return None
        state.needs_probe = needs_probe
        return self._eject(state, _compute_unreachable_period(state), now=now, reason=reason)

    def _eject(
        self, state: EndpointState, period_s: float, *, now: float, reason: str
    ) -> HealthChange:
        state.ejections += 1
        state.ejected_until = now + period_s
        self._ejected.append(state)
        self._split_by_zone()
        return HealthChange("ejected", state.endpoint, reason, period_s)

    def note_load(self, state: EndpointState, load: int, *, now: float) -> None:
        """Record the load that the endpoint's node reported."""
        state.reported_load = load
        state.reported_load_at = now

    def note_success(self, state: EndpointState, *, latency_s: float) -> None:
        """Record a response of the backend server that counts as a success."""
        self._note_latency(state, latency_s)
        state.consecutive_failures = 0
        state.ejections = 0
        state.needs_probe = False

    def note_abandoned(self, state: EndpointState, *, latency_s: float) -> None:
        """Record an attempt that was given up, which would have taken at least that long."""
        if latency_s > state.latency_s:
            self._note_latency(state, latency_s)

    def _note_latency(self, state: EndpointState, latency_s: float) -> None:
        state.latency_s += LATENCY_WEIGHT * (latency_s - state.latency_s)
        self.mean_latency_s += MEAN_LATENCY_WEIGHT * (latency_s - self.mean_latency_s)

    def note_failure(self, state: EndpointState, *, now: float, reason: str) -> HealthChange | None:
        """Record a failed attempt, and eject the endpoint after several in a row."""
        state.consecutive_failures += 1
        if state.consecutive_failures < EJECT_AFTER_FAILURES or state in self._ejected:
            return None
        if len(self._ejected) + 1 > EJECT_MAX_SHARE * len(self._states):
            return None
        if not self._is_known(state):
            return None
        period_s = _compute_period(EJECT_BASE_S, state.ejections, limit_s=EJECT_MAX_S)
        return self._eject(state, period_s, now=now, reason=reason)

    def take_due_probes(self, *, now: float) -> list[EndpointState]:
        """Return the endpoints that are due for a probe, and schedule their next one."""
        due = [s for s in self._ejected if s.needs_probe and s.ejected_until <= now]
        for state in due:
            state.ejections += 1
            state.ejected_until = now + _compute_unreachable_period(state)
        return due

    def note_probe(self, state: EndpointState, *, now: float, answered: bool) -> None:
        """Record the result of a probe; after an answer, the next `readmit` readmits it."""
        if answered:
            state.needs_probe = False
            state.ejected_until = now

    def readmit(self, *, now: float) -> Sequence[HealthChange]:
        """Readmit the endpoints whose period has passed.

        The next failure ejects such an endpoint again, because its failures still count.
        """
        if not self._ejected:
            return ()
        due = [s for s in self._ejected if s.ejected_until <= now and not s.needs_probe]
        if not due:
            return ()
        self._ejected = [state for state in self._ejected if state not in due]
        self._split_by_zone()
        return [HealthChange("readmitted", s.endpoint, "period-passed", 0.0) for s in due]


def _compute_unreachable_period(state: EndpointState) -> float:
    """Return the seconds for which an unreachable endpoint gets no calls."""
    return _compute_period(UNREACHABLE_BASE_S, state.ejections, limit_s=UNREACHABLE_MAX_S)


def _compute_period(base_s: float, ejections: int, *, limit_s: float) -> float:
    """Double a period with each ejection, up to a limit.

    The exponent is bounded because an endpoint may stay ejected for days.
    """
    return min(limit_s, base_s * 2 ** min(ejections, MAX_DOUBLINGS))
