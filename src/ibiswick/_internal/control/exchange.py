"""Exchange member records on a node's links."""

from __future__ import annotations

from collections.abc import Callable

from ..shared.errors import MessageError
from ..shared.records import Member, MemberState
from .context import Context, Link, Role
from .membership import MemberEntry, refute_record, select_members
from .messages import Members, MembersRequest, Removal
from .relay import SnapshotHistory, list_routed_services

EXPIRE_INTERVAL_S = 1.0
# Keeps a message far below its size limit.
MAX_MEMBERS_PER_MESSAGE = 2000


class MemberExchange:
    """Merge member records from links, and send each link the records that it needs.

    A parent and other roots are sent the members of this node's subtree, children those of their
    workspace.
    """

    def __init__(
        self, ctx: Context, *, get_history: Callable[[str], SnapshotHistory | None]
    ) -> None:
        self._ctx = ctx
        self._get_history = get_history
        self._next_expiry_at = 0.0

    def on_members(self, link: Link, message: Members, now: float) -> None:
        """Merge member records; raise MessageError for one of another workspace or zone."""
        if not link.established:
            return
        for member in message.members:
            self._check_member(link, member)
        if message.serial <= link.received_serial:
            # A repeated message, or a late one whose gap led to a request for a complete view.
            return
        if message.serial > link.received_serial + 1 and not message.full:
            self._ctx.send(link, MembersRequest(link.received_serial), now)
        link.received_serial = message.serial
        if message.full:
            self._apply_full_view(link, message, now)
        else:
            for member in message.members:
                self._merge(link, member, now)
        for removal in message.removals:
            self._remove(link, removal, now)

    def _apply_full_view(self, link: Link, message: Members, now: float) -> None:
        """Merge a complete view; records of the link that the view lacks become stale."""
        for member in message.members:
            self._merge(link, member, now)
        repeated = {member.vm for member in message.members}
        self._ctx.member_table.mark_stale(link.number, now, keep=repeated)
        self._ctx.flush_timer.schedule(now)

    def on_members_request(self, link: Link, _message: MembersRequest, now: float) -> None:
        """Schedule a complete view for a peer that asked for it."""
        if link.established:
            link.full_view_due = True
            self._ctx.flush_timer.schedule(now)

    def _check_member(self, link: Link, member: Member) -> None:
        if link.role is Role.PEER:
            if member.availability_zone != link.availability_zone:
                raise MessageError(
                    f"member {member.vm} is not in availability zone {link.availability_zone}"
                )
            return
        workspace = self._ctx.own.workspace if link.role is Role.PARENT else link.workspace
        if member.workspace != workspace:
            raise MessageError(f"member {member.vm} is not in workspace {workspace}")

    def _merge(self, link: Link, member: Member, now: float) -> None:
        if member.vm == self._ctx.own.vm:
            refuted = refute_record(self._ctx.own, member)
            if refuted is not None:
                self._ctx.log("warn", "record-refuted", state=member.state.name)
                self._ctx.update_own(refuted, now)
            return
        from_child = link.role is Role.CHILD
        if self._ctx.member_table.merge(
            member, link_number=link.number, now=now, from_child=from_child
        ):
            self._ctx.flush_timer.schedule(now, at_once=member.state is MemberState.LEAVING)

    def _remove(self, link: Link, removal: Removal, now: float) -> None:
        if removal.vm == self._ctx.own.vm:
            self._ctx.announce(now)
        elif self._ctx.member_table.remove(removal, link_number=link.number, now=now):
            self._ctx.flush_timer.schedule(now)
        elif link.role is Role.PARENT and self._is_below(removal.vm):
            # The removal is of an earlier place of a member that is now below this node.
            self._ctx.member_table.mark_changed(removal.vm)
            self._ctx.flush_timer.schedule(now)

    def expire(self, now: float) -> None:
        """Remove members whose records have been stale for the retention time."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRE_INTERVAL_S
        if self._ctx.member_table.expire(now, retention_s=self._ctx.settings.member_retention_s):
            self._ctx.flush_timer.schedule(now)

    def send(self, link: Link, subtree_links: set[int], now: float) -> None:
        """Send changed records on a link; `subtree_links` lead to this node and its children."""
        table = self._ctx.member_table
        full = link.full_view_due
        after = 0 if full else link.sent_version
        if link.role is Role.CHILD:
            members = self._select_for_child(link, after)
            moved: list[Removal] = []
        else:
            members, moved = self._select_for_parent_or_root(link, after, subtree_links)
        removals = [] if full else [*table.list_removals(after), *moved]
        link.sent_version = table.version
        link.full_view_due = False
        if not (members or removals or full):
            return
        chunks = [
            members[start : start + MAX_MEMBERS_PER_MESSAGE]
            for start in range(0, len(members), MAX_MEMBERS_PER_MESSAGE)
        ]
        for position, chunk in enumerate(chunks or [()]):
            link.sent_serial += 1
            first = position == 0
            message = Members(
                link.sent_serial, full and first, chunk, tuple(removals) if first else ()
            )
            self._ctx.send(link, message, now)

    def _select_for_child(self, link: Link, after: int) -> tuple[Member, ...]:
        """Return due records for a child: of its workspace's routed services, and its own."""
        services = self._list_services(link)
        new_services = services - link.routed_services
        link.routed_services = services

        def is_due(entry: MemberEntry) -> bool:
            member = entry.member
            if entry.link_number == link.number or member.workspace != link.workspace:
                return False
            if member.service in new_services:
                return True
            routed = member.service in services or member.vm == link.vm
            return routed and entry.version > after

        return select_members(
            self._ctx.member_table.list_changes(0 if new_services else after), is_due
        )

    def _select_for_parent_or_root(
        self, link: Link, after: int, subtree_links: set[int]
    ) -> tuple[tuple[Member, ...], list[Removal]]:
        """Return due records of this subtree for a parent or another root.

        Members that moved out of the subtree are returned as removals.
        """
        workspaces = link.interests if link.role is Role.PEER else {self._ctx.own.workspace}
        if link.full_view_due:
            link.advertised_vms.clear()
        moved = []
        entries = self._ctx.member_table.list_changes(after)
        for entry in entries:
            member = entry.member
            if entry.link_number not in subtree_links and member.vm in link.advertised_vms:
                moved.append(Removal(member.vm, member.incarnation, member.sequence, True))
                link.advertised_vms.discard(member.vm)
        members = select_members(
            entries,
            lambda entry: entry.link_number in subtree_links
            and entry.member.workspace in workspaces,
        )
        link.advertised_vms.update(member.vm for member in members)
        return members, moved

    def _list_services(self, link: Link) -> frozenset[str]:
        if link.role is not Role.CHILD:
            return frozenset()
        history: SnapshotHistory | None = self._get_history(link.workspace)
        return frozenset() if history is None else list_routed_services(history.current)

    def _is_below(self, vm: str) -> bool:
        entry = self._ctx.member_table.get(vm)
        link = self._ctx.links.get(entry.link_number) if entry is not None else None
        return link is not None and link.established and link.role is Role.CHILD
