"""Decide when a node takes, renews or gives up a zone-root lease."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ..shared.records import Lease


class LeaseAction(StrEnum):
    """Action on one lease object."""

    TAKE = "take"
    RENEW = "renew"


class LeaseStep(NamedTuple):
    """Say which lease object to write, over which version and with which epoch."""

    action: LeaseAction
    index: int
    expected: int
    epoch: int


class _Observation(NamedTuple):
    version: int
    lease: Lease | None
    since: float


class LeaseKeeper:
    """Watch the lease objects of one availability zone by the node's own clock.

    An expired lease is one whose version has not changed for `lease_s` of watching; clocks of other
    nodes play no part. `valid_until` bounds the time in which no other node can have taken the
    lease: it counts from the start of the last successful renewal.
    """

    def __init__(self, *, vm: str, slots: int, lease_s: float, renew_s: float) -> None:
        self._vm = vm
        self._slots = slots
        self._lease_s = lease_s
        self._renew_s = renew_s
        self._seen: dict[int, _Observation] = {}
        self.held: int | None = None
        self.epoch = 0
        self.version = 0
        self.valid_until = float("-inf")
        self._renew_at = 0.0
        self._started: float | None = None

    def observe(self, index: int, version: int, lease: Lease | None, now: float) -> None:
        """Note the version (0 when missing) and content of a lease object."""
        known = self._seen.get(index)
        if known is None or known.version != version:
            self._seen[index] = _Observation(version, lease, now)

    def list_expired(self, now: float) -> list[int]:
        """Return the indexes of leases that are missing or expired."""
        return [
            index
            for index, seen in sorted(self._seen.items())
            if index < self._slots and self._is_expired(seen, now)
        ]

    def choose_take(self, now: float, *, preferred: int | None = None) -> LeaseStep | None:
        """Return the lease to take, or None when none is free."""
        if self.held is not None or self._started is not None:
            return None
        free = self.list_expired(now)
        if not free:
            return None
        index = preferred if preferred in free else free[0]
        seen = self._seen[index]
        epoch = 1 if seen.lease is None else seen.lease["epoch"] + 1
        return LeaseStep(LeaseAction.TAKE, index, seen.version, epoch)

    def choose_renewal(self, now: float, *, at_once: bool = False) -> LeaseStep | None:
        """Return the renewal that is due, or None."""
        if self.held is None or self._started is not None:
            return None
        if now < self._renew_at and not at_once:
            return None
        return LeaseStep(LeaseAction.RENEW, self.held, self.version, self.epoch)

    def start(self, now: float) -> None:
        """Note that a write of the chosen step starts."""
        self._started = now
        self._renew_at = now + self._renew_s

    def finish(self, step: LeaseStep, version: int) -> None:
        """Note that the write took effect."""
        started = self._started if self._started is not None else float("-inf")
        self._started = None
        self.held = step.index
        self.epoch = step.epoch
        self.version = version
        self.valid_until = started + self._lease_s

    def fail(self) -> None:
        """Note that the write certainly had no effect."""
        self._started = None

    def resolve(self, step: LeaseStep, version: int, lease: Lease | None) -> bool:
        """Settle a write with unknown outcome from the object read back; return whether it is ours.

        Only this node writes its VM with this epoch, so a match proves that it holds the lease.
        """
        if lease is not None and (lease["vm"], lease["epoch"]) == (self._vm, step.epoch):
            self._started = None
            self.held = step.index
            self.epoch = step.epoch
            self.version = version
            # The write seen may be an earlier one, so only the next renewal extends the validity.
            self._renew_at = float("-inf")
            return True
        self.give_up()
        return False

    def give_up(self) -> None:
        """Note that another node holds the lease."""
        self._started = None
        self.held = None
        self.valid_until = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Tell whether certainly no other node has taken the lease yet."""
        return self.held is not None and now < self.valid_until

    def _is_expired(self, seen: _Observation, now: float) -> bool:
        # A lease in this VM's name that it does not hold is from before a restart.
        if seen.lease is None or seen.lease["vm"] == self._vm:
            return True
        return now - seen.since >= self._lease_s
