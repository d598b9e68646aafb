"""Decide from announcements of backend servers which one runs beside this node."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from ..shared.records import LocalInstance

# Incarnations that are remembered as departed; one VM has far fewer during the life of a process.
MAX_REMEMBERED_DEPARTURES = 64
# Heartbeats that were delayed together arrive together; a running backend server sends one about
# every 1.5 s.
MIN_HEARTBEAT_GAP_S = 0.5


class Heartbeat(NamedTuple):
    """Describe a backend server and whether it accepts calls.

    `born` is its start in milliseconds since 1970; `sequence` grows with each heartbeat after one
    start.
    """

    instance: str
    service: str
    slots: int
    leaving: bool
    born: int
    sequence: int
    version: str = ""
    # Seconds for which the backend server is still slow after its start, None if unknown.
    slow_for_s: float | None = None


class Departure(NamedTuple):
    """Report that a backend server accepts no more calls; `born` is None if it was not given."""

    instance: str
    born: int | None


class Verdict(StrEnum):
    """Tell the effect of an announcement on the table.

    LATE: it is older than what is known, or concerns another start of the current instance.
    DEPARTED: the start that it concerns has departed.
    """

    NEW = "new"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    LATE = "late"
    DEPARTED = "departed"


class InstanceTable:
    """Keep the newest incarnation of the local backend server.

    An incarnation is one start of an instance, identified by its id and `born`. Announcements may
    arrive late or twice: a later start wins, then a higher sequence, and an incarnation that has
    departed is not accepted again.
    """

    def __init__(self) -> None:
        self.current: LocalInstance | None = None
        self._sequence = -1
        self._departed: dict[tuple[str, int], None] = {}
        self._earlier: LocalInstance | None = None
        self._is_earlier_absent = False
        # By the id of an unknown instance, when a departure without `born` arrived (ms since 1970).
        # Every start of the instance up to that time has departed.
        self._departed_before_ms: dict[str, int] = {}

    def note_earlier_instance(self, earlier: LocalInstance) -> None:
        """Note what an earlier process of this node has announced."""
        if earlier != self._earlier:
            self._is_earlier_absent = False
        self._earlier = earlier
        if self.current is not None and self.current.born < earlier.born:
            # A late heartbeat of a start before the one that the earlier process has announced.
            self.current = None
            self._sequence = -1
        departed = self._departed_before_ms.pop(earlier.instance, None) is not None
        if earlier.leaving or departed or _get_key(earlier) in self._departed:
            self._note_earlier_departed(earlier)

    def _note_earlier_departed(self, earlier: LocalInstance) -> None:
        """Note that the start which an earlier process has announced has departed.

        Without a newer start it stays the current one, and this process announces it as leaving.
        """
        self._remember_departed(_get_key(earlier))
        if self.current is None or _get_key(self.current) == _get_key(earlier):
            self.current = (self.current or earlier)._replace(leaving=True)

    @property
    def presumed(self) -> LocalInstance | None:
        """Return what an earlier process announced, while it probably still runs.

        Heartbeats come every 1.5 s. After a restart of all nodes, half of the slots would stay
        unused for most of that time if their nodes waited for one.
        """
        earlier = self._earlier
        if self.current is not None or earlier is None or self._is_earlier_absent:
            return None
        return None if earlier.leaving or _get_key(earlier) in self._departed else earlier

    def note_absent(self) -> None:
        """Note that the presumed backend server did not respond, or another one did."""
        self._is_earlier_absent = True

    def note_heartbeat(self, heartbeat: Heartbeat) -> Verdict:
        """Apply a heartbeat if it is the newest."""
        key = (heartbeat.instance, heartbeat.born)
        if key in self._departed or heartbeat.born <= self._departed_before_ms.get(
            heartbeat.instance, -1
        ):
            return Verdict.DEPARTED
        current = self.current
        is_same = current is not None and _get_key(current) == key
        if current is not None and not is_same and heartbeat.born <= current.born:
            return Verdict.LATE
        if is_same and heartbeat.sequence <= self._sequence:
            return Verdict.LATE
        if self._earlier is not None and heartbeat.born < self._earlier.born:
            return Verdict.LATE
        leaving = heartbeat.leaving or (is_same and current is not None and current.leaving)
        self._sequence = heartbeat.sequence
        self.current = LocalInstance(
            heartbeat.instance,
            heartbeat.service,
            heartbeat.slots,
            heartbeat.born,
            leaving,
            heartbeat.version,
        )
        if not is_same:
            return Verdict.NEW
        return Verdict.UNCHANGED if self.current == current else Verdict.CHANGED

    def note_departure(self, departure: Departure, *, now_ms: int) -> Verdict:
        """Note that an incarnation has departed; `now_ms` is in milliseconds since 1970."""
        current = self.current
        if departure.born is not None:
            self._remember_departed((departure.instance, departure.born))
        if current is None or current.instance != departure.instance:
            earlier = self._earlier
            if earlier is not None and departure in (
                (earlier.instance, earlier.born),
                (earlier.instance, None),
            ):
                self._note_earlier_departed(earlier)
            elif departure.born is None:
                self._departed_before_ms[departure.instance] = now_ms
                _drop_oldest(self._departed_before_ms)
            return Verdict.DEPARTED
        if departure.born is not None and departure.born != current.born:
            return Verdict.LATE
        self._remember_departed(_get_key(current))
        if current.leaving:
            return Verdict.UNCHANGED
        self.current = current._replace(leaving=True)
        return Verdict.CHANGED

    def _remember_departed(self, key: tuple[str, int]) -> None:
        self._departed[key] = None
        _drop_oldest(self._departed)


class LivenessCheck:
    """Decide from two heartbeats whether a backend server is running.

    A single heartbeat proves nothing: it may be a late one from before the backend server left. It
    takes a second one with a higher sequence that did not arrive together with the first.
    """

    def __init__(self) -> None:
        self._key: tuple[str, int] | None = None
        self._first_sequence = 0
        self._first_at = 0.0
        self._is_running = False

    def note_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> None:
        """Note a heartbeat that arrived at `now`, in seconds."""
        key = (heartbeat.instance, heartbeat.born)
        if key != self._key:
            self._key = key
            self._first_sequence = heartbeat.sequence
            self._first_at = now
            self._is_running = False
        elif heartbeat.sequence > self._first_sequence:
            is_apart = now - self._first_at >= MIN_HEARTBEAT_GAP_S
            self._is_running = self._is_running or is_apart

    def is_running(self, instance: LocalInstance) -> bool:
        """Tell whether this start of a backend server is known to run."""
        return self._is_running and _get_key(instance) == self._key


def _get_key(instance: LocalInstance) -> tuple[str, int]:
    return (instance.instance, instance.born)


def _drop_oldest(remembered: dict[Any, Any]) -> None:
    if len(remembered) > MAX_REMEMBERED_DEPARTURES:
        del remembered[next(iter(remembered))]
