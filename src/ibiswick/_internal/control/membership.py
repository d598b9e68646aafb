"""Merge member records and store the members that a node knows."""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Container, Iterable, Iterator
from typing import Any

from ..shared.records import Endpoint, Member, MemberState
from .messages import Removal

# Records of leaving and lost members are kept far longer than any message is under way, so that an
# older record that arrives late does not restore the member.
TOMBSTONE_RETENTION_S = 300.0


def rank_member(member: Member) -> tuple[Any, ...]:
    """Return the sort key of a record; the merge of two records is the one that ranks higher.

    A maximum over a total order is commutative, associative and idempotent.
    """
    return (
        member.incarnation,
        member.state is MemberState.LEAVING,
        member.sequence,
        member.state is MemberState.LOST,
        member,
    )


def merge_member(first: Member, second: Member) -> Member:
    """Return the record that ranks higher; all nodes agree on it.

    >>> a = Member("vm", "w", "s", "r", "z", "h", 1, 2, 3, 1, 5, MemberState.READY)
    >>> merge_member(a, a._replace(sequence=2, state=MemberState.LEAVING)).state.name
    'LEAVING'
    """
    return max(first, second, key=rank_member)


def refute_record(own: Member, received: Member) -> Member | None:
    """Return the own record, raised to outrank a received one, or None if it already does."""
    if merge_member(own, received) == own:
        return None
    if received.incarnation > own.incarnation:
        return own._replace(incarnation=received.incarnation + 1, sequence=1)
    if received.state is MemberState.LEAVING and own.state is not MemberState.LEAVING:
        return own._replace(incarnation=received.incarnation + 1, sequence=1)
    return own._replace(sequence=received.sequence + 1)


class MemberEntry:
    """Hold one member record with the links that supply it.

    `link_number` is the link that leads to the member, `other_links` are further links on which the
    same record was received. A record is stale once none of these links supplies it any more.
    """

    __slots__ = ("final_since", "link_number", "member", "other_links", "stale_since", "version")

    def __init__(self, member: Member, *, link_number: int, now: float) -> None:
        self.member = member
        self.link_number = link_number
        self.other_links: tuple[int, ...] = ()
        self.version = 0
        self.stale_since: float | None = None
        self.final_since = now if member.state >= MemberState.LEAVING else None


class MemberTable:
    """Store member records, ordered by the table version of their last change.

    A stale record is removed unless a link supplies it again in time.
    """

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[str, MemberEntry] = {}
        self._removals: dict[str, tuple[int, float, Removal]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[MemberEntry]:
        return iter(self._entries.values())

    def get(self, vm: str) -> MemberEntry | None:
        """Return the entry of a VM."""
        return self._entries.get(vm)

    def merge(self, member: Member, *, link_number: int, now: float, from_child: bool) -> bool:
        """Merge a record received on a link; return whether the table changed.

        `from_child` means that the link leads to a child. An equal record from a child replaces the
        link to the member, because a parent may still send a record from before the member moved.
        """
        entry = self._entries.get(member.vm)
        if entry is not None and rank_member(member) < rank_member(entry.member):
            return False
        if entry is not None and member == entry.member:
            return self._add_source(entry, link_number, from_child=from_child)
        self._put(MemberEntry(_intern(member), link_number=link_number, now=now))
        return True

    def remove(self, removal: Removal, *, link_number: int, now: float) -> bool:
        """Apply a removal received on a link; return whether the table changed."""
        entry = self._entries.get(removal.vm)
        if entry is None or link_number not in (entry.link_number, *entry.other_links):
            return False
        if (entry.member.incarnation, entry.member.sequence) > (
            removal.incarnation,
            removal.sequence,
        ):
            return False
        changed = self._drop_source(entry, link_number, now)
        if entry.stale_since is not None and entry.final_since is None and not removal.moved:
            self._remove_entry(entry, now)
            return True
        return changed

    def mark_changed(self, vm: str) -> None:
        """Give a record a new version, so that it is sent again."""
        if vm in self._entries:
            self._put(self._entries[vm])

    def mark_stale(self, link_number: int, now: float, *, keep: Container[str] = ()) -> None:
        """Withdraw a link from its records, because it closed or its complete view lacks them."""
        supplied = [
            entry
            for entry in self
            if link_number == entry.link_number or link_number in entry.other_links
        ]
        for entry in supplied:
            if entry.member.vm not in keep:
                self._drop_source(entry, link_number, now)

    def expire(self, now: float, *, retention_s: float) -> bool:
        """Remove stale records and old final ones; return whether any stale one was removed."""
        old = [
            e
            for e in self
            if e.final_since is not None and now - e.final_since > TOMBSTONE_RETENTION_S
        ]
        for entry in old:
            del self._entries[entry.member.vm]
        stale = [
            entry
            for entry in self
            if entry.stale_since is not None
            and entry.final_since is None
            and now - entry.stale_since > retention_s
        ]
        for entry in stale:
            self._remove_entry(entry, now)
        kept = {
            vm: item
            for vm, item in self._removals.items()
            if now - item[1] <= TOMBSTONE_RETENTION_S
        }
        self._removals = kept
        return bool(stale)

    def list_changes(self, after: int) -> list[MemberEntry]:
        """Return the entries changed after a table version, newest first."""
        newer = itertools.takewhile(
            lambda entry: entry.version > after, reversed(self._entries.values())
        )
        return list(newer)

    def list_removals(self, after: int) -> list[Removal]:
        """Return the removals made after a table version."""
        return [removal for version, _, removal in self._removals.values() if version > after]

    def _put(self, entry: MemberEntry) -> None:
        self.version += 1
        entry.version = self.version
        vm = entry.member.vm
        self._entries.pop(vm, None)
        self._removals.pop(vm, None)
        self._entries[vm] = entry

    def _add_source(self, entry: MemberEntry, link_number: int, *, from_child: bool) -> bool:
        if entry.link_number == link_number:
            entry.stale_since = None
            return False
        if entry.stale_since is None and not from_child:
            if link_number not in entry.other_links:
                entry.other_links = (*entry.other_links, link_number)
            return False
        other_links = (
            () if entry.stale_since is not None else (*entry.other_links, entry.link_number)
        )
        self._switch_link(entry, link_number, other_links)
        return True

    def _drop_source(self, entry: MemberEntry, link_number: int, now: float) -> bool:
        if entry.link_number != link_number:
            entry.other_links = tuple(other for other in entry.other_links if other != link_number)
            return False
        if entry.other_links:
            self._switch_link(entry, entry.other_links[-1], entry.other_links[:-1])
            return True
        if entry.stale_since is None:
            entry.stale_since = now
        return False

    def _switch_link(
        self, entry: MemberEntry, link_number: int, other_links: tuple[int, ...]
    ) -> None:
        """Replace the link to a member; this is a change that other nodes must be told."""
        entry.link_number = link_number
        entry.other_links = tuple(other for other in other_links if other != link_number)
        entry.stale_since = None
        self._put(entry)

    def _remove_entry(self, entry: MemberEntry, now: float) -> None:
        member = entry.member
        self.version += 1
        del self._entries[member.vm]
        removal = Removal(member.vm, member.incarnation, member.sequence, False)
        self._removals[member.vm] = (self.version, now, removal)


def build_endpoints(
    members: Iterable[Member], *, workspace: str, services: Iterable[str]
) -> dict[str, tuple[Endpoint, ...]]:
    """Return the endpoints of services, without leaving and lost members.

    Of several VMs at the same address only the one with the highest incarnation counts.
    """
    newest: dict[tuple[str, int], Member] = {}
    for member in members:
        known = newest.get((member.host, member.peer_port))
        if known is None or member.incarnation > known.incarnation:
            newest[(member.host, member.peer_port)] = member
    found: dict[str, list[Endpoint]] = {service: [] for service in services}
    for member in newest.values():
        if is_usable(member) and member.workspace == workspace and member.service in found:
            found[member.service].append(_build_endpoint(member))
    return {service: tuple(sorted(endpoints)) for service, endpoints in found.items()}


def is_usable(member: Member) -> bool:
    """Tell whether new calls may be sent to a member."""
    return member.state in (MemberState.READY, MemberState.UNREADY)


def select_members(
    entries: Iterable[MemberEntry], keep: Callable[[MemberEntry], bool]
) -> tuple[Member, ...]:
    """Return the records of the entries that `keep` accepts, the oldest change first."""
    chosen = [entry.member for entry in entries if keep(entry)]
    chosen.reverse()
    return tuple(chosen)


def _build_endpoint(member: Member) -> Endpoint:
    return Endpoint(
        vm=member.vm,
        incarnation=member.incarnation,
        availability_zone=member.availability_zone,
        host=member.host,
        port=member.peer_port,
        slots=member.slots,
        ready=member.state is MemberState.READY,
    )


def _intern(member: Member) -> Member:
    # Thousands of records share these names; one copy of each saves memory.
    return member._replace(
        vm=sys.intern(member.vm),
        workspace=sys.intern(member.workspace),
        service=sys.intern(member.service),
        region=sys.intern(member.region),
        availability_zone=sys.intern(member.availability_zone),
    )
