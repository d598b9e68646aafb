"""Record handshakes, to distinguish faults of this VM's link from faults of other VMs."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Handshakes are compared within this time.
WINDOW_S = 1.0
# This VM's own link is suspected when handshakes of at least this many VMs are unanswered in one
# window. One or two VMs may fail together, and a node calls several unrelated ones within a second.
COMMON_CAUSE_VMS = 3
# A handshake within an availability zone or between two of them takes a few milliseconds, so one
# that was this fast shows that this VM's link and processor are not overloaded.
FAST_CONNECT_S = 0.1
# Timeout of a handshake as a multiple of the fastest recent one.
TIMEOUT_FACTOR = 2.0
# A handshake unanswered for this multiple of the fastest recent one shows a fault of the other VM,
# whatever the state of this VM's link.
REMOTE_FAULT_FACTOR = 1.5
# Longest timeout of a handshake, used while this VM's own link or processor delays all of them.
# Other VMs would answer just as late, and each further connect adds to the load.
OVERLOAD_TIMEOUT_S = 1.0


class ConnectSummary(NamedTuple):
    """Summarize the handshakes of a window, answered and unanswered."""

    opened: int
    unanswered: int
    unanswered_vms: int
    # The slowest of those that were answered.
    slowest_s: float


class ConnectHistory:
    """Record the handshakes of the last second.

    >>> history = ConnectHistory()
    >>> for vm in ("a", "b", "c"):
    ...     history.note_unanswered(vm, now=1.0)
    >>> history.is_own_link_suspected(now=1.2)
    True
    >>> history.note_opened(0.01, now=1.3)
    >>> history.is_own_link_suspected(now=1.4)
    False
    """

    __slots__ = ("_last_handshake_s", "_opened", "_unanswered")

    def __init__(self) -> None:
        # How long the last answered handshake took.
        self._last_handshake_s = 0.0
        self._opened: deque[tuple[float, float]] = deque()
        self._unanswered: deque[tuple[float, str]] = deque()

    def note_opened(self, handshake_s: float, *, now: float) -> None:
        """Record an opened connection and how long its handshake took."""
        self._last_handshake_s = handshake_s
        self._opened.append((now, handshake_s))
        self._drop_expired(now)

    def note_unanswered(self, vm: str, *, now: float) -> None:
        """Record a handshake that timed out."""
        self._unanswered.append((now, vm))
        self._drop_expired(now)

    def is_own_link_suspected(self, *, now: float) -> bool:
        """Tell whether handshakes probably fail because of this VM's link or processor.

        Unrelated VMs that are silent at the same time have only these in common. A fast handshake
        in the same window rules them out.
        """
        self._drop_expired(now)
        if len({vm for _, vm in self._unanswered}) < COMMON_CAUSE_VMS:
            return False
        fastest_s = self._find_fastest()
        return fastest_s is None or fastest_s > FAST_CONNECT_S

    def is_timeout_local(self, waited_s: float, *, now: float) -> bool:
        """Tell whether a timeout after `waited_s` may be due to this VM, not to the other one."""
        if not self.is_own_link_suspected(now=now):
            return False
        fastest_s = self._find_fastest()
        return fastest_s is None or waited_s < REMOTE_FAULT_FACTOR * fastest_s

    def choose_timeout(self, min_timeout_s: float, *, now: float) -> float:
        """Return the timeout of the next handshake, at least `min_timeout_s`.

        The fastest recent handshake shows how much this VM's link delays each.
        """
        if self.is_own_link_suspected(now=now):
            return max(min_timeout_s, OVERLOAD_TIMEOUT_S)
        fastest_s = self._find_fastest()
        reference_s = self._last_handshake_s if fastest_s is None else fastest_s
        return max(min_timeout_s, min(OVERLOAD_TIMEOUT_S, TIMEOUT_FACTOR * reference_s))

    def _find_fastest(self) -> float | None:
        return min((seconds for _, seconds in self._opened), default=None)

    def summarize(self, *, now: float) -> ConnectSummary:
        """Summarize the last window."""
        self._drop_expired(now)
        return ConnectSummary(
            opened=len(self._opened),
            unanswered=len(self._unanswered),
            unanswered_vms=len({vm for _, vm in self._unanswered}),
            slowest_s=max((seconds for _, seconds in self._opened), default=0.0),
        )

    def _drop_expired(self, now: float) -> None:
        for records in (self._opened, self._unanswered):
            while records and records[0][0] < now - WINDOW_S:
                records.popleft()
