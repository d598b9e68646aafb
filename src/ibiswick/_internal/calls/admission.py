"""Decide which calls may use the slots of the local backend server."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

QUEUE_LENGTH_PER_SLOT = 2
# Weight of the newest observation in the mean duration of calls.
DURATION_WEIGHT = 0.1
INITIAL_DURATION_S = 0.02


class Admitted(NamedTuple):
    """Grant a slot at once."""


class Queued(NamedTuple):
    """Keep a call waiting for a slot until a moment (monotonic seconds)."""

    ticket: int
    until: float


class Refused(NamedTuple):
    """Refuse a call that has sent nothing to the backend server."""

    reason: str
    retry_after_s: float


class SlotQueue:
    """Share the slots of one backend server and keep a short queue in order of arrival."""

    def __init__(self, *, slots: int, queue_s: float) -> None:
        self.slots = slots
        self.queue_s = queue_s
        self.busy = 0
        self._waiting: OrderedDict[int, float] = OrderedDict()
        self._next_ticket = 0
        self._duration_s = INITIAL_DURATION_S

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    def offer(self, *, now: float, deadline: float | None) -> Admitted | Queued | Refused:
        """Decide about a new call; without a deadline only the queue time limits its wait."""
        if deadline is not None and deadline <= now:
            return Refused("deadline", self.estimate_wait())
        if self.busy < self.slots and not self._waiting:
            self.busy += 1
            return Admitted()
        if len(self._waiting) >= QUEUE_LENGTH_PER_SLOT * self.slots or self.queue_s <= 0:
            return Refused("queue-full", self.estimate_wait())
        until = now + self.queue_s
        if deadline is not None:
            until = min(until, deadline)
        self._next_ticket += 1
        self._waiting[self._next_ticket] = until
        return Queued(self._next_ticket, until)

    def release(self, *, now: float, duration_s: float | None = None) -> list[int]:
        """Give back a slot; return the tickets of the calls that now get one.

        The duration of a call that did not reach the backend server is None.
        """
        self.busy -= 1
        if duration_s is not None:
            self._duration_s += DURATION_WEIGHT * (duration_s - self._duration_s)
        return self.admit(now=now)

    def admit(self, *, now: float) -> list[int]:
        """Grant free slots in order of arrival and return the tickets."""
        granted = []
        while self._waiting and self.busy < self.slots:
            ticket, until = self._waiting.popitem(last=False)
            if until > now:
                self.busy += 1
                granted.append(ticket)
        return granted

    def withdraw(self, ticket: int) -> bool:
        """Remove a waiting call; False means that it has already been granted a slot."""
        return self._waiting.pop(ticket, None) is not None

    def estimate_wait(self) -> float:
        """Return the seconds until a new call would probably get a slot."""
        ahead = len(self._waiting) + 1
        return ahead * self._duration_s / max(1, self.slots)


def format_retry_after(seconds: float) -> bytes:
    """Return the value of a `Retry-After` header, which has whole seconds.

    >>> format_retry_after(0.03), format_retry_after(2.1)
    (b'1', b'3')
    """
    return b"%d" % max(1, math.ceil(seconds))
