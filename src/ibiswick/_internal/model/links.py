"""Simulate the network links of VMs in virtual time."""

from __future__ import annotations

from collections.abc import Callable

BYTES_PER_MEGABIT = 1_000_000 // 8


class Link:
    """Transmit the bytes of one VM in one direction in order; a rate of 0 means no limit."""

    def __init__(self, *, bytes_per_s: int, clock: Callable[[], float]) -> None:
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._free_at = 0.0

    @property
    def wait_s(self) -> float:
        """Return the seconds that a byte sent now waits for the bytes queued before it."""
        return max(0.0, self._free_at - self._clock())

    def enqueue(self, size_bytes: int, *, at: float) -> float:
        """Queue bytes that reach the link at `at`; return the time when all are transmitted."""
        if not self._bytes_per_s:
            return at
        self._free_at = max(at, self._free_at) + size_bytes / self._bytes_per_s
        return self._free_at
