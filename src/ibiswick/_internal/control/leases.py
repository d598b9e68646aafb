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
    """Describe a write of a lease object: over which version, and with which epoch."""

    action: LeaseAction
    index: int
    expected_version: int
    epoch: int


class _Observation(NamedTuple):
    version: int
    lease: Lease | None
    since: float


class LeaseManager:
    """Track the lease objects of one availability zone by the node's own clock.

    A lease has expired once its version has not changed for `lease_s` of watching; the clocks of
    other nodes are not used. Until `valid_until` no other node can have taken the held lease: it is
    `lease_s` after the start of the last successful write.
    """

    def __init__(self, *, vm: str, lease_count: int, lease_s: float, renew_s: float) -> None:
        self._vm = vm
        self._lease_count = lease_count
        self._lease_s = lease_s
        self._renew_s = renew_s
        self._observations: dict[int, _Observation] = {}
        self.held_index: int | None = None
        self.epoch = 0
        self.version = 0
        self.valid_until = float("-inf")
        self._renew_at = 0.0
        self._write_started_at: float | None = None

    def observe(self, index: int, version: int, lease: Lease | None, now: float) -> None:
        """Record the version (0 if missing) and content of a lease object."""
        known = self._observations.get(index)
        if known is None or known.version != version:
            self._observations[index] = _Observation(version, lease, now)

    def list_expired(self, now: float) -> list[int]:
        """Return the indexes of leases that are missing or expired."""
        return [
            index
            for index, observation in sorted(self._observations.items())
            if index < self._lease_count and self._is_expired(observation, now)
        ]

    def choose_take(self, now: float, *, preferred: int | None = None) -> LeaseStep | None:
        """Return the write that takes a free lease, or None if no lease is free."""
        if self.held_index is not None or self._write_started_at is not None:
            return None
        free = self.list_expired(now)
        if not free:
            return None
        index = preferred if preferred in free else free[0]
        observation = self._observations[index]
        epoch = 1 if observation.lease is None else observation.lease["epoch"] + 1
        return LeaseStep(LeaseAction.TAKE, index, observation.version, epoch)

    def choose_renewal(self, now: float, *, at_once: bool = False) -> LeaseStep | None:
        """Return the write that renews the held lease, or None if none is due."""
        if self.held_index is None or self._write_started_at is not None:
            return None
        if now < self._renew_at and not at_once:
            return None
        return LeaseStep(LeaseAction.RENEW, self.held_index, self.version, self.epoch)

    def start_write(self, now: float) -> None:
        """Record that a write starts."""
        self._write_started_at = now
        self._renew_at = now + self._renew_s

    def finish_write(self, step: LeaseStep, version: int) -> None:
        """Record that the write took effect."""
        started = self._write_started_at if self._write_started_at is not None else float("-inf")
        self._write_started_at = None
        self.held_index = step.index
        self.epoch = step.epoch
        self.version = version
        self.valid_until = started + self._lease_s

    def fail_write(self) -> None:
        """Record that the write failed or that its outcome could not be read back."""
        self._write_started_at = None

    def resolve_write(self, step: LeaseStep, version: int, lease: Lease | None) -> bool:
        """Resolve a write of unknown outcome from the object read back; return whether it is held.

        Only this node writes its VM with this epoch, so a match proves that it holds the lease.
        """
        if lease is not None and (lease["vm"], lease["epoch"]) == (self._vm, step.epoch):
            self._write_started_at = None
            self.held_index = step.index
            self.epoch = step.epoch
            self.version = version
            # The version read may be of an earlier write, so only a renewal may extend validity.
            self._renew_at = float("-inf")
            return True
        self.drop_lease()
        return False

    def drop_lease(self) -> None:
        """Record that this node holds no lease any more."""
        self._write_started_at = None
        self.held_index = None
        self.valid_until = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Tell whether this node holds a lease that no other node can have taken."""
        return self.held_index is not None and now < self.valid_until

    def _is_expired(self, observation: _Observation, now: float) -> bool:
        # A lease with the name of this VM that it does not hold was taken before a restart.
        if observation.lease is None or observation.lease["vm"] == self._vm:
            return True
        return now - observation.since >= self._lease_s
