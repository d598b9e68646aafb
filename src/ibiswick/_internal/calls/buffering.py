"""Decide which buffered bytes a process may hold, and which connections make room.

The ledger is pure: `pressure.py` drives it with time and with what the connections report.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, Protocol

# Bytes that a connection may hold without an entry in the ledger. Ordinary calls stay below it, so
# they cost no accounting.
FREE_BYTES = 16 * 1024
# A connection counts for nothing before it has had this long to take its bytes.
MIN_HELD_S = 1.0
# Connections that would be done within this time are not closed to make room.
MIN_DRAIN_S = 3.0
# Rate that stands for no movement, so that the bytes held decide between such connections.
MIN_RATE_BYTES_PER_S = 1024.0


class Holder(Protocol):
    """Hold bytes for another party."""

    @property
    def stall_s(self) -> float | None:
        """Return the seconds without movement after which to close, None if nothing is sent."""

    def measure_sent(self) -> int:
        """Return how many bytes the other party has taken or sent in all."""

    def cut(self, reason: str) -> None:
        """Close the connection at once, which frees its bytes."""


class BufferAccount:
    """Count the bytes that one connection holds."""

    __slots__ = ("held_bytes", "holder", "measured_at", "moved_at", "rate", "sent_bytes", "since")

    def __init__(self, *, holder: Holder) -> None:
        self.holder = holder
        self.held_bytes = 0
        self.sent_bytes = 0
        # Bytes per second that the other party has taken lately.
        self.rate = 0.0
        self.since = 0.0
        self.moved_at = 0.0
        self.measured_at = 0.0

    @property
    def drain_s(self) -> float:
        """Return the seconds until the other party has taken everything, at its present rate."""
        return self.held_bytes / max(self.rate, MIN_RATE_BYTES_PER_S)


class Reservation(NamedTuple):
    """Hold a reservation that waits for room."""

    ticket: int
    size_bytes: int


class BufferLedger:
    """Limit the bytes that a process buffers for other parties.

    >>> ledger = BufferLedger(limit=10)
    >>> ledger.reserve(8), ledger.reserve(8), ledger.used
    (True, False, 8)
    """

    __slots__ = ("_next_ticket", "_waiting", "accounts", "limit", "used")

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0
        # Accounts that hold bytes.
        self.accounts: set[BufferAccount] = set()
        # In the order of their arrival.
        self._waiting: deque[Reservation] = deque()
        self._next_ticket = 0

    @property
    def is_short(self) -> bool:
        """Tell whether a reservation waits, or more bytes are held than allowed."""
        return bool(self._waiting) or self.used >= self.limit

    @property
    def is_over(self) -> bool:
        """Tell whether more bytes are held than allowed, as those that have arrived must be."""
        return self.used > self.limit

    def reserve(self, size_bytes: int) -> bool:
        """Count bytes to be buffered; return False if they have to wait.

        A reservation above the limit is granted while nothing else is held.
        """
        if self._waiting or not self._fits(size_bytes):
            return False
        self.used += size_bytes
        return True

    def _fits(self, size_bytes: int) -> bool:
        return self.used + size_bytes <= self.limit or self.used <= 0

    def force(self, size_bytes: int) -> None:
        """Count bytes that have arrived already, or that the node needs for itself."""
        self.used += size_bytes

    def release(self, size_bytes: int) -> None:
        """Uncount bytes that are no longer buffered."""
        self.used -= size_bytes

    def set_held(self, account: BufferAccount, held_bytes: int, *, now: float) -> None:
        """Set the bytes that a connection holds."""
        if not account.held_bytes:
            account.since = account.moved_at = account.measured_at = now
            account.rate = 0.0
            account.sent_bytes = account.holder.measure_sent()
        self.used += held_bytes - account.held_bytes
        account.held_bytes = held_bytes
        if held_bytes:
            self.accounts.add(account)
        else:
            self.accounts.discard(account)

    # Waiting

    def wait(self, size_bytes: int) -> int:
        """Add a reservation that waits; return its ticket."""
        self._next_ticket += 1
        self._waiting.append(Reservation(self._next_ticket, size_bytes))
        return self._next_ticket

    def withdraw(self, ticket: int) -> None:
        """Remove a reservation that waits."""
        self._waiting = deque(entry for entry in self._waiting if entry.ticket != ticket)

    def grant(self) -> list[Reservation]:
        """Count the waiting reservations that fit now, in their order, and return them."""
        granted = []
        while self._waiting and self._fits(self._waiting[0].size_bytes):
            reservation = self._waiting.popleft()
            self.used += reservation.size_bytes
            granted.append(reservation)
        return granted

    # Closing

    def measure(self, *, now: float) -> None:
        """Note how much each connection has moved since the last call."""
        for account in self.accounts:
            sent_bytes = account.holder.measure_sent()
            moved_bytes = sent_bytes - account.sent_bytes
            elapsed_s = max(now - account.measured_at, 0.001)
            account.rate = (account.rate + moved_bytes / elapsed_s) / 2
            account.sent_bytes = sent_bytes
            account.measured_at = now
            if moved_bytes > 0 or account.holder.stall_s is None:
                account.moved_at = now

    def list_stalled(self, *, now: float) -> list[BufferAccount]:
        """Return the connections whose party has taken nothing for too long."""
        return [
            account
            for account in self.accounts
            if (limit_s := account.holder.stall_s) is not None and now - account.moved_at >= limit_s
        ]

    def list_closable(self, *, now: float) -> list[BufferAccount]:
        """Return the connections to close for want of room: those that hold most and move least."""
        if not self.is_short:
            return []
        needed = max(self.used - self.limit, 1)
        if self._waiting:
            needed = max(needed, self.used + self._waiting[0].size_bytes - self.limit)
        candidates = [
            account
            for account in self.accounts
            if now - account.since >= MIN_HELD_S
            and (self.is_over or account.drain_s >= MIN_DRAIN_S)
        ]
        candidates.sort(key=lambda account: account.drain_s, reverse=True)
        chosen = []
        for account in candidates:
            if needed <= 0:
                break
            needed -= account.held_bytes
            chosen.append(account)
        return chosen
