"""Carry bytes over the links of VMs in virtual time."""

from __future__ import annotations

from collections.abc import Callable

BYTES_PER_MEGABIT = 1_000_000 // 8


class Link:
    """Carry the bytes of one VM in one direction, one after the other; a rate of 0 is unlimited."""

    def __init__(self, *, bytes_per_s: int, clock: Callable[[], float]) -> None:
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._free_at = 0.0

    @property
    def wait_s(self) -> float:
        """Return how long a byte that is sent now waits for those before it, in seconds."""
        return max(0.0, self._free_at - self._clock())

    def reserve(self, size_bytes: int, *, at: float) -> float:
        """Take the next free time for bytes that come at a moment; return when they have passed."""
        if not self._bytes_per_s:
            return at
        self._free_at = max(at, self._free_at) + size_bytes / self._bytes_per_s
        return self._free_at
