"""Merge member records and keep the members that a node knows."""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from .messages import Removal
from .records import Endpoint, Member, MemberState

# Final records outlive every message that may still be on its way, by a wide margin.
TOMBSTONE_S = 300.0


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
    """Return the record that both sides agree on.

    >>> a = Member("vm", "w", "s", "r", "z", "h", 1, 2, 3, 1, 5, MemberState.READY)
    >>> merge_member(a, a._replace(sequence=2, state=MemberState.LEAVING)).state.name
    'LEAVING'
    """
    return max(first, second, key=rank_member)


def refute_record(own: Member, heard: Member) -> Member | None:
    """Return the own record raised above a differing one heard, or None when it already wins."""
    if merge_member(own, heard) == own:
        return None
    if heard.incarnation > own.incarnation:
        return own._replace(incarnation=heard.incarnation + 1, sequence=1)
    if heard.state is MemberState.LEAVING and own.state is not MemberState.LEAVING:
        return own._replace(incarnation=heard.incarnation + 1, sequence=1)
    return own._replace(sequence=heard.sequence + 1)


class Entry:
    """Hold one member with the link it is reached by."""

    __slots__ = ("final_since", "member", "stale_since", "version", "via")

    def __init__(self, member: Member, *, via: int, version: int, now: float) -> None:
        self.member = member
        self.via = via
        self.version = version
        self.stale_since: float | None = None
        self.final_since = now if member.state >= MemberState.LEAVING else None


class MemberTable:
    """Keep member records, ordered by the version of their last change.

    `via` is the number of the link that a record was last heard on. A record whose link closed is
    stale; it is removed unless it is heard again in time.
    """

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[str, Entry] = {}
        self._removals: dict[str, tuple[int, float, Removal]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries.values())

    def get(self, vm: str) -> Entry | None:
        """Return the entry of a VM."""
        return self._entries.get(vm)

    def merge(self, member: Member, *, via: int, now: float, closer: bool) -> bool:
        """Merge a record heard on a link; return whether the table changed.

        `closer` means that the link leads to a child. An equal record from there takes the member
        over from another link. From elsewhere it does so only when the known way to the member is
        stale, because a parent may still send what it heard before the member moved.
        """
        entry = self._entries.get(member.vm)
        if entry is None:
            self._put(Entry(_intern(member), via=via, version=0, now=now))
            return True
        if rank_member(member) < rank_member(entry.member):
            return False
        if member == entry.member:
            return self._refresh(entry, via, closer=closer)
        self._put(Entry(_intern(member), via=via, version=0, now=now))
        return True

    def remove(self, removal: Removal, *, via: int, now: float) -> bool:
        """Apply a retraction from the link that the member is reached by."""
        entry = self._entries.get(removal.vm)
        if entry is None or entry.via != via or entry.final_since is not None:
            return False
        if (entry.member.incarnation, entry.member.sequence) > removal[1:]:
            return False
        self._drop(entry, now)
        return True

    def repeat(self, vm: str) -> None:
        """Count a record as changed, so that it is sent again."""
        if vm in self._entries:
            self._put(self._entries[vm])

    def mark_stale(self, via: int, now: float) -> None:
        """Mark what was heard on a link as stale, because it closed or sends a complete view."""
        for entry in self._entries.values():
            if entry.via == via and entry.stale_since is None:
                entry.stale_since = now

    def expire(self, now: float, *, retention_s: float) -> bool:
        """Remove stale records and old final ones; return whether a live record went."""
        old = [e for e in self if e.final_since is not None and now - e.final_since > TOMBSTONE_S]
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
            self._drop(entry, now)
        kept = {vm: item for vm, item in self._removals.items() if now - item[1] <= TOMBSTONE_S}
        self._removals = kept
        return bool(stale)

    def list_changes(self, after: int) -> list[Entry]:
        """Return entries changed after a version, the newest first."""
        newer = itertools.takewhile(
            lambda entry: entry.version > after, reversed(self._entries.values())
        )
        return list(newer)

    def list_removals(self, after: int) -> list[Removal]:
        """Return retractions made after a version."""
        return [removal for version, _, removal in self._removals.values() if version > after]

    def _put(self, entry: Entry) -> None:
        self.version += 1
        entry.version = self.version
        vm = entry.member.vm
        self._entries.pop(vm, None)
        self._removals.pop(vm, None)
        self._entries[vm] = entry

    def _refresh(self, entry: Entry, via: int, *, closer: bool) -> bool:
        if entry.via == via:
            entry.stale_since = None
            return False
        if entry.stale_since is None and not closer:
            return False
        entry.stale_since = None
        # A new link may change who must be told, so the record counts as changed.
        entry.via = via
        self._put(entry)
        return True

    def _drop(self, entry: Entry, now: float) -> None:
        member = entry.member
        self.version += 1
        del self._entries[member.vm]
        removal = Removal(member.vm, member.incarnation, member.sequence)
        self._removals[member.vm] = (self.version, now, removal)


def build_endpoints(
    members: Iterable[Member], *, workspace: str, services: Iterable[str]
) -> dict[str, tuple[Endpoint, ...]]:
    """Return the endpoints of services; leaving and lost members are left out.

    A VM that was replaced at the same address hides its predecessor.
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


def select_members(entries: Iterable[Entry], keep: Callable[[Entry], bool]) -> tuple[Member, ...]:
    """Return the records of the entries that pass, the oldest change first."""
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
    # Thousands of records share these names; one copy of each keeps a node within its memory.
    return member._replace(
        vm=sys.intern(member.vm),
        workspace=sys.intern(member.workspace),
        service=sys.intern(member.service),
        region=sys.intern(member.region),
        availability_zone=sys.intern(member.availability_zone),
    )
