"""Find out how many concurrent calls a backend server handles well.

Long durations at a high concurrency do not show that the concurrency causes them: a server that is
slow for another reason also has more calls at once. The estimator therefore tries another limit in
turn with the present one, in random order, and compares the throughput of the two.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

# A trial compares the two limits this many times. All comparisons must agree, so that a server
# which is slowed for a moment does not decide a trial.
PAIRS = 3
# Completed calls of a measurement, and their least number for each slot of the larger limit.
MIN_MEASURED_CALLS = 12
MEASURED_CALLS_PER_SLOT = 3
# Throughput that another limit must have, as a multiple of that of the present one.
MIN_GAIN = 1.05
# Factor between the present limit and the one that is tried; a server that gains from concurrency
# loses a third of its throughput at the lower one, which is more than measurements vary.
STEP_FACTOR = 2.0
# Pause after a trial that has changed nothing, and after one that has.
REJECTED_PAUSE_S = 2.0
ACCEPTED_PAUSE_S = 0.5
# A lower limit is tried only if calls at a high concurrency last longer by this factor than calls
# at a low one.
MIN_SLOWDOWN = 1.5
# Weights of the newest call in the mean durations of a route, and of high and low concurrency.
ROUTE_WEIGHT = 0.05
LEVEL_WEIGHT = 0.03
MAX_OBSERVED_ROUTES = 256
# Share of a measurement in which the limit must have been in use.
MIN_SATURATED_SHARE = 0.8


class Measurement(NamedTuple):
    """Hold the work done under one limit in one part of a trial."""

    limit: int
    work: float
    seconds: float

    @property
    def throughput(self) -> float:
        """Return the work done in a second."""
        return self.work / max(self.seconds, 1e-6)


class CapacityEstimator:
    """Choose the limit of concurrent calls at one backend server, between 1 and its slots."""

    __slots__ = (
        "_began_at",
        "_calls",
        "_calls_to_skip",
        "_candidate",
        "_durations",
        "_last_at",
        "_levels",
        "_measured",
        "_next_trial_at",
        "_order",
        "_rng",
        "_saturated_s",
        "_work",
        "chosen",
        "slots",
    )

    def __init__(self, *, slots: int, rng: random.Random) -> None:
        self._rng = rng
        self._durations: dict[str, float] = {}
        self.reset(slots=slots)

    def reset(self, *, slots: int) -> None:
        """Begin anew with all slots of another backend server."""
        self.slots = self.chosen = max(1, slots)
        self._candidate: int | None = None
        self._next_trial_at = -math.inf
        # Mean relative durations of calls that began at a low and at a high concurrency.
        self._levels: list[float | None] = [None, None]
        self._order: list[int] = []
        self._measured: list[Measurement] = []
        self._durations.clear()
        self._last_at: float | None = None
        self._begin_measurement(0.0)

    @property
    def limit(self) -> int:
        """Return the number of calls that may run now."""
        return self._order[0] if self._order else self.chosen

    def note_call(
        self, *, now: float, route_id: str, duration_s: float, concurrency: int, is_saturated: bool
    ) -> None:
        """Record the end of a call that began with `concurrency` calls, itself included.

        `is_saturated` tells whether other calls wait for a slot.
        """
        mean_s = self._durations.get(route_id)
        if mean_s is None:
            if len(self._durations) >= MAX_OBSERVED_ROUTES:
                return
            mean_s = duration_s
        relative = duration_s / max(mean_s, 1e-6)
        self._durations[route_id] = mean_s + ROUTE_WEIGHT * (duration_s - mean_s)
        self._note_level(concurrency, relative)
        elapsed_s = 0.0 if self._last_at is None else now - self._last_at
        self._last_at = now
        if not self._order:
            if is_saturated and now >= self._next_trial_at:
                self._start_trial(now)
            return
        if self._calls_to_skip:
            # These calls began under the limit before.
            self._calls_to_skip -= 1
            self._began_at = now
            return
        self._calls += 1
        self._work += mean_s
        self._saturated_s += elapsed_s if is_saturated else 0.0
        if self._calls >= max(MIN_MEASURED_CALLS, MEASURED_CALLS_PER_SLOT * max(self._order)):
            self._end_measurement(now)

    def _note_level(self, concurrency: int, relative: float) -> None:
        if self.chosen // 2 < concurrency < 0.75 * self.chosen:
            return
        level = int(concurrency > self.chosen // 2)
        mean = self._levels[level]
        # Durations have a heavy tail, so their logarithms are averaged.
        value = math.log(max(relative, 1e-3))
        self._levels[level] = value if mean is None else mean + LEVEL_WEIGHT * (value - mean)

    def _start_trial(self, now: float) -> None:
        """Choose a limit to try, lower if calls last longer at a high concurrency."""
        low, high = self._levels
        lower = max(1, min(self.chosen - 1, round(self.chosen / STEP_FACTOR)))
        higher = min(self.slots, max(self.chosen + 1, round(self.chosen * STEP_FACTOR)))
        if low is None or high is None:
            # Nothing is known yet of the levels below a limit that has just been lowered.
            is_slowed = self.chosen < self.slots
        else:
            is_slowed = high - low > math.log(MIN_SLOWDOWN)
        candidates = [lower] if lower < self.chosen and is_slowed else []
        if higher > self.chosen:
            candidates.append(higher)
        if not candidates:
            self._next_trial_at = now + ACCEPTED_PAUSE_S
            return
        self._candidate = self._rng.choice(candidates)
        self._measured = []
        for _ in range(PAIRS):
            pair = [self.chosen, self._candidate]
            self._rng.shuffle(pair)
            self._order += pair
        self._begin_measurement(now)

    def _begin_measurement(self, now: float) -> None:
        self._began_at = now
        self._calls = 0
        self._calls_to_skip = self.slots
        self._work = self._saturated_s = 0.0

    def _end_measurement(self, now: float) -> None:
        seconds = now - self._began_at
        if self._saturated_s < MIN_SATURATED_SHARE * seconds:
            # The load is too low to tell the two limits apart.
            self._end_trial(now, accepted=False)
            return
        self._measured.append(Measurement(self._order.pop(0), self._work, seconds))
        if len(self._measured) % 2 == 0 and not self._agrees(*self._measured[-2:]):
            self._end_trial(now, accepted=False)
        elif self._order:
            self._begin_measurement(now)
        else:
            self._end_trial(now, accepted=self._compute_gain() >= MIN_GAIN)

    def _agrees(self, one: Measurement, other: Measurement) -> bool:
        """Tell whether the candidate did more than the present limit in one comparison."""
        tried, present = (one, other) if one.limit == self._candidate else (other, one)
        return tried.throughput > present.throughput

    def _compute_gain(self) -> float:
        """Return the candidate's throughput as a multiple of that of the present limit."""
        rates = {}
        for limit in (self.chosen, self._candidate):
            parts = [part for part in self._measured if part.limit == limit]
            rates[limit] = sum(p.work for p in parts) / sum(p.seconds for p in parts)
        return rates[self._candidate] / max(rates[self.chosen], 1e-6)

    def _end_trial(self, now: float, *, accepted: bool) -> None:
        if accepted and self._candidate is not None:
            self.chosen = self._candidate
            self._levels = [None, None]
        self._order = []
        self._next_trial_at = now + (ACCEPTED_PAUSE_S if accepted else REJECTED_PAUSE_S)
