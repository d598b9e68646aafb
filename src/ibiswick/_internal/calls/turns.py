"""Schedule the bodies that a node receives over its link."""

from __future__ import annotations

from typing import NamedTuple

from .bodies import BODY_LINK_SHARE, find_lowest_known_rate


class _Body(NamedTuple):
    size_bytes: int
    rate_bytes_per_s: float


class BodyTurns:
    """Admit bodies of other nodes up to a share of the rate of this VM's link.

    Each sender paces its body by the slower of both links, without regard to other senders. Without
    turns, a few senders fill the link, and all other traffic waits behind their bodies. If the rate
    of the link is unknown (0), all bodies are admitted.

    >>> turns = BodyTurns(link_bytes_per_s=1000)
    >>> turns.enter(700, sender_bytes_per_s=0), turns.enter(700, sender_bytes_per_s=0)
    (1, 2)
    >>> turns.is_admitted(1), turns.is_admitted(2), turns.estimate_wait()
    (True, False, 2.0)
    >>> turns.leave(1), turns.is_admitted(2)
    ([2], True)
    """

    __slots__ = (
        "_admitted",
        "_body_rate_bytes_per_s",
        "_last_ticket",
        "_waiting",
        "link_bytes_per_s",
    )

    def __init__(self, *, link_bytes_per_s: int) -> None:
        self.link_bytes_per_s = link_bytes_per_s
        self._body_rate_bytes_per_s = link_bytes_per_s * BODY_LINK_SHARE
        self._admitted: dict[int, _Body] = {}
        # In the order in which `enter` was called.
        self._waiting: dict[int, _Body] = {}
        self._last_ticket = 0

    def enter(self, size_bytes: int, *, sender_bytes_per_s: int) -> int:
        """Add a body and return its ticket."""
        pace_bytes_per_s = (
            find_lowest_known_rate(sender_bytes_per_s, self.link_bytes_per_s) * BODY_LINK_SHARE
        )
        self._last_ticket += 1
        self._waiting[self._last_ticket] = _Body(size_bytes, pace_bytes_per_s)
        self._admit()
        return self._last_ticket

    def leave(self, ticket: int) -> list[int]:
        """Remove a body, and return the tickets that are now admitted."""
        self._waiting.pop(ticket, None)
        self._admitted.pop(ticket, None)
        return self._admit()

    def is_admitted(self, ticket: int) -> bool:
        """Tell whether a body may be sent."""
        return ticket in self._admitted

    def estimate_wait(self) -> float:
        """Return the expected seconds until a new body is admitted.

        Bodies that are arriving count with their full size.
        """
        if self._body_rate_bytes_per_s <= 0:
            return 0.0
        if not self._waiting and self._has_room(self._body_rate_bytes_per_s):
            return 0.0
        bodies = (*self._admitted.values(), *self._waiting.values())
        return sum(body.size_bytes for body in bodies) / self._body_rate_bytes_per_s

    def estimate_transfer(self, size_bytes: int, *, sender_bytes_per_s: int) -> float:
        """Return the seconds that a body takes to arrive once it is admitted."""
        pace_bytes_per_s = (
            find_lowest_known_rate(sender_bytes_per_s, self.link_bytes_per_s) * BODY_LINK_SHARE
        )
        return size_bytes / pace_bytes_per_s if pace_bytes_per_s > 0 else 0.0

    def _admit(self) -> list[int]:
        admitted = []
        for ticket, body in list(self._waiting.items()):
            if not self._has_room(body.rate_bytes_per_s):
                break
            del self._waiting[ticket]
            self._admitted[ticket] = body
            admitted.append(ticket)
        return admitted

    def _has_room(self, rate_bytes_per_s: float) -> bool:
        if self._body_rate_bytes_per_s <= 0 or not self._admitted:
            return True
        return (
            sum(body.rate_bytes_per_s for body in self._admitted.values()) + rate_bytes_per_s
            <= self._body_rate_bytes_per_s
        )
