"""Share the slots of a backend server between tenants when there are too few."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

# A tenant or kind of call must be served at least a quarter as often as all calls. The margin is
# for the calls that are served between the decision and its effect.
FLOOR_SHARE = 0.3
# Outcomes of calls are counted in the present interval and the one before it.
FLOOR_INTERVAL_S = 5.0
# Tenants that owe nothing are forgotten when at least so many are kept.
MIN_PRUNED_TENANTS = 64


class FairClock:
    """Order waiting calls by start-time fair queueing.

    Each call of a tenant starts, in virtual time, where the tenant's call before it ends, but not
    before the start of the call that got a slot last. Its length is the expected duration divided
    by the weight of the tenant, so that tenants whose calls wait get slots in proportion to their
    weights.

    >>> clock = FairClock()
    >>> [clock.charge("a", 1.0), clock.charge("a", 1.0), clock.charge("b", 0.5)]
    [0.0, 1.0, 0.0]
    >>> clock.advance(1.0)
    >>> clock.find_start("a"), clock.find_start("b")
    (2.0, 1.0)
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._ends: dict[str, float] = {}
        self._prune_at = MIN_PRUNED_TENANTS

    def find_start(self, tenant: str) -> float:
        """Return the virtual start that a call would get now; anonymous calls owe nothing."""
        return max(self.virtual_time, self._ends.get(tenant, 0.0))

    def charge(self, tenant: str, length: float) -> float:
        """Return the virtual start of a new call, and let the tenant's next call start later."""
        start = self.find_start(tenant)
        if tenant:
            if tenant not in self._ends and len(self._ends) >= self._prune_at:
                self._prune()
            self._ends[tenant] = start + length
        return start

    def refund(self, tenant: str, length: float) -> None:
        """Take back the charge for a call that got no slot."""
        if tenant in self._ends:
            self._ends[tenant] -= length

    def advance(self, start: float) -> None:
        """Move virtual time to the start of a call that gets a slot."""
        self.virtual_time = max(self.virtual_time, start)

    def reset(self) -> None:
        """Forget what tenants owe, when no call waits or runs."""
        self.virtual_time = 0.0
        self._ends.clear()

    def _prune(self) -> None:
        self._ends = {name: end for name, end in self._ends.items() if end > self.virtual_time}
        self._prune_at = max(MIN_PRUNED_TENANTS, 2 * len(self._ends))


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
