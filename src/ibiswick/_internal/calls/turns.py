"""Let the bodies that a node receives take turns on its link."""

from __future__ import annotations

from typing import NamedTuple

from .bodies import LINK_SHARE, choose_slower_link


class _Body(NamedTuple):
    size_bytes: int
    rate: float


class BodyTurns:
    """Admit bodies of other nodes up to a share of this VM's link.

    Each sender paces its body by the slower link of both, and knows nothing of the others. Without
    turns a few of them fill the link, and everything else waits behind their bodies. With a rate of
    0, which means that it is unknown, all are admitted.

    >>> turns = BodyTurns(link_bytes_per_s=1000)
    >>> turns.enter(700, sender_bytes_per_s=0), turns.enter(700, sender_bytes_per_s=0)
    (1, 2)
    >>> turns.is_admitted(1), turns.is_admitted(2), turns.estimate_wait()
    (True, False, 2.0)
    >>> turns.leave(1), turns.is_admitted(2)
    ([2], True)
    """

    __slots__ = ("_admitted", "_last", "_rate", "_waiting", "link_bytes_per_s")

    def __init__(self, *, link_bytes_per_s: int) -> None:
        self.link_bytes_per_s = link_bytes_per_s
        self._rate = link_bytes_per_s * LINK_SHARE
        self._admitted: dict[int, _Body] = {}
        # In the order in which they were offered.
        self._waiting: dict[int, _Body] = {}
        self._last = 0

    def enter(self, size_bytes: int, *, sender_bytes_per_s: int) -> int:
        """Take a place for a body; return its ticket."""
        pace = choose_slower_link(sender_bytes_per_s, self.link_bytes_per_s) * LINK_SHARE
        self._last += 1
        self._waiting[self._last] = _Body(size_bytes, pace)
        self._admit()
        return self._last

    def leave(self, ticket: int) -> list[int]:
        """Give a place back; return the tickets that are admitted now."""
        self._waiting.pop(ticket, None)
        self._admitted.pop(ticket, None)
        return self._admit()

    def is_admitted(self, ticket: int) -> bool:
        """Tell whether a body may be sent."""
        return ticket in self._admitted

    def estimate_wait(self) -> float:
        """Return the seconds until a further body would probably have its turn.

        Bodies that are on the way count in full.
        """
        if self._rate <= 0:
            return 0.0
        if not self._waiting and self._has_room(self._rate):
            return 0.0
        bodies = (*self._admitted.values(), *self._waiting.values())
        return sum(body.size_bytes for body in bodies) / self._rate

    def estimate_transfer(self, size_bytes: int, *, sender_bytes_per_s: int) -> float:
        """Return the seconds that a body takes once it has its turn."""
        pace = choose_slower_link(sender_bytes_per_s, self.link_bytes_per_s) * LINK_SHARE
        return size_bytes / pace if pace > 0 else 0.0

    def _admit(self) -> list[int]:
        admitted = []
        for ticket, body in list(self._waiting.items()):
            if not self._has_room(body.rate):
                break
            del self._waiting[ticket]
            self._admitted[ticket] = body
            admitted.append(ticket)
        return admitted

    def _has_room(self, rate: float) -> bool:
        if self._rate <= 0 or not self._admitted:
            return True
        return sum(body.rate for body in self._admitted.values()) + rate <= self._rate
