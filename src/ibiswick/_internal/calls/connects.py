"""Watch how connections are opened, to tell a fault of the own link from one of another VM."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Connects of this time are compared.
WINDOW_S = 1.0
# VMs that do not answer a handshake in the same window before the own link is suspected. One or two
# VMs may fail together, and a node calls several unrelated ones within a second.
COMMON_CAUSE_VMS = 3
# A handshake within the availability zone or between two of them takes a few milliseconds, so one
# that was this fast shows that the own link and processor have room.
FAST_CONNECT_S = 0.1


class ConnectSummary(NamedTuple):
    """Summarize the connects of a window; `vms` counts those that did not answer."""

    opened: int
    unanswered: int
    vms: int
    slowest_s: float


class ConnectWatch:
    """Remember the connects of the last second.

    >>> watch = ConnectWatch()
    >>> for host in ("a", "b", "c"):
    ...     watch.note_unanswered(host, now=1.0)
    >>> watch.has_common_cause(now=1.2)
    True
    >>> watch.note_opened("d", 0.01, now=1.3)
    >>> watch.has_common_cause(now=1.4)
    False
    """

    __slots__ = ("_opened", "_unanswered")

    def __init__(self) -> None:
        self._opened: deque[tuple[float, float]] = deque()
        self._unanswered: deque[tuple[float, str]] = deque()

    def note_opened(self, host: str, seconds: float, *, now: float) -> None:
        """Note a connection that was opened, and how long its handshake took."""
        self._opened.append((now, seconds))
        self._forget(now)

    def note_unanswered(self, host: str, *, now: float) -> None:
        """Note a handshake that was given up."""
        self._unanswered.append((now, host))
        self._forget(now)

    def has_common_cause(self, *, now: float) -> bool:
        """Tell whether handshakes probably fail for a reason on this side.

        Unrelated VMs that stay silent in the same moment while nobody answers fast have this VM's
        link or processor in common.
        """
        self._forget(now)
        if len({host for _, host in self._unanswered}) < COMMON_CAUSE_VMS:
            return False
        return all(seconds > FAST_CONNECT_S for _, seconds in self._opened)

    def summarize(self, *, now: float) -> ConnectSummary:
        """Return what the last window showed."""
        self._forget(now)
        return ConnectSummary(
            opened=len(self._opened),
            unanswered=len(self._unanswered),
            vms=len({host for _, host in self._unanswered}),
            slowest_s=max((seconds for _, seconds in self._opened), default=0.0),
        )

    def _forget(self, now: float) -> None:
        for noted in (self._opened, self._unanswered):
            while noted and noted[0][0] < now - WINDOW_S:
                noted.popleft()
