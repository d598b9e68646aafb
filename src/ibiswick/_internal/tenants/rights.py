"""Decide which nodes coordinate limits, and to which of them a node lends its rights."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from .limit_messages import Loan, Stamp
from .limits import LOAN_S, PARTITIONS

COORDINATORS = 8
# If this many VMs have a link of at least half the fastest rate, only they coordinate. On a slow
# link that is full of bodies, datagrams are lost, and the tenants of its partitions are refused.
MIN_FAST_VMS = 3
# Covers clocks that run at different speeds.
LOAN_MARGIN_S = 0.05
# A coordinator that has not answered for this long is given up. Its loans end 1.05 s after its last
# answer, so that giving it up earlier would gain nothing.
SILENCE_S = 0.8
# While nodes move a partition to another coordinator, the former one may have more of its rights.
MOVE_S = 2.0
NEVER = -math.inf


def rank_vms(key: str, vms: Iterable[str]) -> list[str]:
    """Order VMs by rendezvous hashing.

    >>> rank_vms("a", ["vm-1", "vm-2"]) == rank_vms("a", ["vm-2", "vm-1"])
    True
    """
    salt = key.encode()[:64]

    def score(vm: str) -> bytes:
        return hashlib.blake2b(vm.encode(), digest_size=8, key=salt).digest()

    return sorted(vms, key=lambda vm: (score(vm), vm))


def find_fast_vms(vms: frozenset[str], link_rates: Mapping[str, int]) -> frozenset[str]:
    """Return the VMs with fast links, or all of them if too few have one.

    >>> rates = {"a": 100, "b": 60, "c": 100, "d": 10}
    >>> ["".join(sorted(find_fast_vms(frozenset(vms), rates))) for vms in ("abcd", "ad")]
    ['abc', 'ad']
    """
    fastest = max((link_rates.get(vm, 0) for vm in vms), default=0)
    fast = frozenset(vm for vm in vms if link_rates.get(vm, 0) * 2 >= fastest)
    return fast if fastest and len(fast) >= MIN_FAST_VMS else vms


class SentLoan(NamedTuple):
    """Hold a loan that its coordinator may still use."""

    serial: int
    partitions: int
    expires_at: float


class CoordinatorLink:
    """Hold what a node knows of one coordinator, and what it has lent to it."""

    __slots__ = ("heard_at", "leaving", "loans", "renewed_at", "sent_at", "stamp", "vm")

    def __init__(self, *, vm: str) -> None:
        self.vm = vm
        self.stamp = Stamp()
        self.heard_at = NEVER
        self.sent_at = NEVER
        self.renewed_at = NEVER
        self.leaving = False
        self.loans: list[SentLoan] = []

    def find_in_use(self, now: float) -> int:
        """Return the bitmap of the partitions that the coordinator may still use."""
        in_use = 0
        for loan in self.loans:
            if loan.expires_at > now:
                in_use |= loan.partitions
        return in_use

    def is_live(self, now: float) -> bool:
        """Tell whether the coordinator has answered recently."""
        return now - self.heard_at < SILENCE_S


class RightLedger:
    """Keep account of a node's rights, so that each is used by one node at a time.

    A right that is not lent to another node is lent to this node itself, by the same rules.
    """

    def __init__(self, *, vm: str, started_at: float) -> None:
        self._vm = vm
        # Loans of the earlier process of this node have ended by then.
        self._may_lend_at = started_at + LOAN_S + LOAN_MARGIN_S
        self._is_complete = False
        self._known: frozenset[str] = frozenset()
        self._candidates: frozenset[str] = frozenset()
        self._coordinators: tuple[str, ...] = ()
        self._rankings: list[list[str]] = [[vm]] * PARTITIONS
        # None before the partitions are assigned for the present coordinators.
        self._usable: tuple[str, ...] | None = None
        self._assigned_bitmaps: dict[str, int] = {}
        self._assigned: list[str] = [vm] * PARTITIONS
        self._formerly_assigned: list[str] = [vm] * PARTITIONS
        self._moved_at = NEVER
        self.links: dict[str, CoordinatorLink] = {vm: CoordinatorLink(vm=vm)}
        self.nodes = 1
        self.given_up = 0

    @property
    def coordinators(self) -> tuple[str, ...]:
        """Return the VMs of the coordinators, without this node unless it is one."""
        return self._coordinators

    def may_lend(self, now: float) -> bool:
        """Tell whether this node may use or lend its rights."""
        return self._is_complete and now >= self._may_lend_at

    def update_members(
        self,
        vms: Iterable[str],
        *,
        is_complete: bool,
        link_rates: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Choose the coordinators among the members, by their link rates where these are known."""
        known = frozenset((self._vm, *vms))
        candidates = find_fast_vms(known, link_rates)
        self._is_complete = is_complete
        if known == self._known and candidates == self._candidates:
            return
        self._known, self._candidates = known, candidates
        self.nodes = len(known)
        coordinators = tuple(rank_vms("coordinator", candidates)[:COORDINATORS])
        if coordinators == self._coordinators:
            return
        self._coordinators = coordinators
        for vm in coordinators:
            if vm not in self.links:
                self.links[vm] = CoordinatorLink(vm=vm)
        # A node that reaches no coordinator is its own.
        self._rankings = [
            list(dict.fromkeys([*rank_vms(f"partition-{partition}", coordinators), self._vm]))
            for partition in range(PARTITIONS)
        ]
        self._usable = None

    def refresh(self, now: float) -> list[str]:
        """Assign partitions to the coordinators that answer; return those newly given up."""
        usable = tuple(
            vm
            for vm in (*self._coordinators, self._vm)
            if self.links[vm].is_live(now) and not self.links[vm].leaving
        )
        for vm, link in list(self.links.items()):
            link.loans = [loan for loan in link.loans if loan.expires_at > now]
            if not link.loans and vm not in self._coordinators and vm != self._vm:
                del self.links[vm]
        if usable == self._usable:
            return []
        lost = [
            vm
            for vm in dict.fromkeys(self._usable or ())
            if vm not in usable and vm in self.links and not self.links[vm].leaving
        ]
        self.given_up += len(lost)
        self._usable = usable
        # Rights are withdrawn from one coordinator and lent to another without delay.
        for link in self.links.values():
            link.renewed_at = NEVER
        self._formerly_assigned = self._assigned
        self._moved_at = now
        self._assigned = [
            next((vm for vm in ranking if vm in usable), self._vm) for ranking in self._rankings
        ]
        self._assigned_bitmaps = {
            vm: sum(1 << partition for partition, item in enumerate(self._assigned) if item == vm)
            for vm in set(self._assigned)
        }
        return lost

    def get_coordinator(self, partition: int) -> str:
        """Return the node that a request for tokens of a partition goes to."""
        return self._assigned[partition]

    def find_former_coordinator(self, partition: int, *, now: float) -> str | None:
        """Return the node that recently was the coordinator of a partition, if it still answers."""
        former = self._formerly_assigned[partition]
        if now - self._moved_at > MOVE_S or former == self._assigned[partition]:
            return None
        link = self.links.get(former)
        return former if link is not None and link.is_live(now) else None

    def build_loan(self, vm: str, serial: int, *, now: float) -> Loan:
        """Lend what is assigned to a coordinator and in use by no other node."""
        link = self.links[vm]
        partitions = 0
        if self.may_lend(now) and now - link.heard_at < LOAN_S:
            partitions = self._assigned_bitmaps.get(vm, 0)
            for other in self.links.values():
                if other is not link:
                    partitions &= ~other.find_in_use(now)
        link.sent_at = now
        if partitions:
            # The stamp was taken before it was heard, so the coordinator stops before this time.
            expires_at = link.heard_at + LOAN_S + LOAN_MARGIN_S
            link.loans.append(SentLoan(serial, partitions, expires_at))
        return Loan(link.stamp, self.nodes, partitions)

    def note_answer(self, vm: str, serial: int, stamp: Stamp, *, leaving: bool, now: float) -> None:
        """Note the stamp of a coordinator, which has applied the loan with this serial."""
        link = self.links.get(vm)
        if link is None:
            return
        # A coordinator never applies a loan after one with a higher serial.
        before = link.find_in_use(now)
        link.loans = [loan for loan in link.loans if loan.serial >= serial]
        released = before & ~link.find_in_use(now)
        for other, assigned in self._assigned_bitmaps.items():
            if released & assigned and other in self.links:
                self.links[other].renewed_at = NEVER
        if stamp.process != link.stamp.process or stamp.at > link.stamp.at:
            link.stamp = stamp
            link.heard_at = now
            link.leaving = leaving

    def count_lent(self, now: float) -> int:
        """Return the number of partitions that other nodes may use."""
        in_use = 0
        for vm, link in self.links.items():
            if vm != self._vm:
                in_use |= link.find_in_use(now)
        return in_use.bit_count()

    def find_oldest_answer_s(self, now: float) -> float:
        """Return the age of the oldest answer of the coordinators; -1 if one never answered."""
        oldest = min((self.links[vm].heard_at for vm in self._coordinators), default=now)
        return -1.0 if oldest == NEVER else now - oldest
