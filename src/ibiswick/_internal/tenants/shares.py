"""Share the slots of a backend server between tenants when there are too few."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Iterable

# A tenant or kind of call must be served at least a quarter as often as all calls. The margin is
# for the calls that are served between the decision and its effect.
FLOOR_SHARE = 0.3
# Outcomes of calls are counted in the present interval and the one before it.
FLOOR_INTERVAL_S = 5.0
# A tenant may catch up on what it left unused of its share in this time. With none, calls that
# arrive close together wait behind a backlog although their tenant uses less than its share.
MEMORY_S = 5.0
# A tenant catches up on at most so many calls. With far more, the first second of a large tenant's
# surge goes before the calls of the others.
MEMORY_CALLS = 8
# Samples of virtual time in that period.
SAMPLES = 20


class FairClock:
    """Order waiting calls by start-time fair queueing.

    Each call of a tenant starts, in virtual time, where the tenant's call before it ends. Its
    length is its expected duration divided by the weight of the tenant. Virtual time moves by the
    expected duration of each call that gets a slot, divided by the weights of all tenants with
    recent calls: it is where a tenant stands that has used just its share. A tenant that has used
    less starts earlier, but at most by `MEMORY_S` or by `MEMORY_CALLS` lengths.

    >>> clock = FairClock()
    >>> [clock.charge(tenant, 1.0, now=0.0) for tenant in ("a", "a", "b")]
    [0.0, 1.0, 0.0]
    >>> for tenant in ("a", "a", "b"):
    ...     clock.advance(tenant, 1.0, 1.0, now=0.0)
    >>> [clock.find_start(tenant, 1.0, now=MEMORY_S) for tenant in ("a", "b", "c")]
    [2.0, 1.0, 1.0]
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        # Monotonic seconds and virtual times, the first one of `MEMORY_S` ago or earlier.
        self._samples: deque[tuple[float, float]] = deque([(-math.inf, 0.0)])
        self._ends: dict[str, float] = {}
        # Weights of the tenants that got a slot in the present period and in the one before it.
        self._weights: dict[str, float] = {}
        self._weights_before: dict[str, float] = {}
        self._weights_sum = 0.0
        self._period_ends_at = -math.inf

    def find_start(self, tenant: str, length: float, *, now: float) -> float:
        """Return the virtual start that a call would get now; anonymous calls owe nothing."""
        samples = self._samples
        while len(samples) > 1 and samples[1][0] <= now - MEMORY_S:
            samples.popleft()
        earliest = max(samples[0][1], self._virtual_time - MEMORY_CALLS * length)
        return max(earliest, self._ends.get(tenant, 0.0))

    def charge(self, tenant: str, length: float, *, now: float) -> float:
        """Return the virtual start of a new call, and let the tenant's next call start later."""
        start = self.find_start(tenant, length, now=now)
        if tenant:
            self._ends[tenant] = start + length
        return start

    def refund(self, tenant: str, length: float) -> None:
        """Take back the charge for a call that got no slot."""
        if tenant in self._ends:
            self._ends[tenant] -= length

    def advance(self, tenant: str, weight: float, length: float, *, now: float) -> None:
        """Move virtual time by a call that gets a slot; anonymous calls have no share."""
        if not tenant:
            return
        if now >= self._period_ends_at:
            self._begin_period(now)
        if tenant not in self._weights:
            self._weights[tenant] = weight
            if tenant not in self._weights_before:
                self._weights_sum += weight
        self._virtual_time += length * weight / self._weights_sum
        if now - self._samples[-1][0] >= MEMORY_S / SAMPLES:
            self._samples.append((now, self._virtual_time))

    def _begin_period(self, now: float) -> None:
        """Forget the tenants without recent calls."""
        self._period_ends_at = now + MEMORY_S
        self._weights_before, self._weights = self._weights, {}
        self._weights_sum = sum(self._weights_before.values())
        earliest = self._samples[0][1]
        self._ends = {name: end for name, end in self._ends.items() if end > earliest}

    def reset(self) -> None:
        """Forget what tenants owe, when no call waits or runs."""
        if self._ends:
            self.__init__()  # type: ignore[misc]


class ShareFloor:
    """Find the tenants and kinds of calls that are served far more rarely than all calls.

    >>> floor = ShareFloor()
    >>> for served in (False, False, False, False):
    ...     floor.note(["rare"], served=served, now=0.0)
    >>> for _ in range(10):
    ...     floor.note(["common"], served=True, now=0.0)
    >>> floor.is_below(["rare"], now=0.0), floor.is_below(["common"], now=0.0)
    (True, False)
    """

    def __init__(self) -> None:
        # Numbers of decided and served calls; the empty key is for all calls.
        self._present: defaultdict[str, list[int]] = defaultdict(lambda: [0, 0])
        self._before: defaultdict[str, list[int]] = defaultdict(lambda: [0, 0])
        self._ends_at = 0.0

    def note(self, keys: Iterable[str], *, served: bool, now: float) -> None:
        """Count a call that got a slot, or will get none."""
        self._rotate(now)
        for key in ("", *keys):
            counts = self._present[key]
            counts[0] += 1
            counts[1] += served

    def is_below(self, keys: Iterable[str], *, now: float) -> bool:
        """Tell whether the served share of one of the keys is below its floor."""
        self._rotate(now)
        decided, served = self._count("")
        for key in keys:
            own_decided, own_served = self._count(key)
            if own_served * decided < FLOOR_SHARE * served * own_decided:
                return True
        return False

    def _count(self, key: str) -> tuple[int, int]:
        present, before = self._present.get(key, (0, 0)), self._before.get(key, (0, 0))
        return present[0] + before[0], present[1] + before[1]

    def _rotate(self, now: float) -> None:
        if now < self._ends_at:
            return
        is_recent = now < self._ends_at + FLOOR_INTERVAL_S
        self._before = self._present if is_recent else defaultdict(lambda: [0, 0])
        self._present = defaultdict(lambda: [0, 0])
        self._ends_at = now + FLOOR_INTERVAL_S
