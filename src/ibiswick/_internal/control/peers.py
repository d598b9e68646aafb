"""Open, admit and close the links to other zone roots."""

from __future__ import annotations

from collections.abc import Callable

from ..shared.errors import MessageError
from ..shared.records import Lease
from ..shared.settings import Address
from .context import Context, Link, Role
from .directory import Directory
from .leases import LeaseManager
from .messages import PROTOCOL_VERSION, Interest, RootJoin

RECONNECT_INTERVAL_S = 1.0


class Peers:
    """Manage the links to other roots.

    Both roots of a pair open a link, because a new root must join the others at once. Of two links
    opened at the same time, the one opened by the root that sorts lower is kept.
    """

    def __init__(
        self,
        ctx: Context,
        *,
        directory: Directory,
        lease_manager: LeaseManager,
        list_served_workspaces: Callable[[], set[str]],
        on_unlisted_root: Callable[[float], None],
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._lease_manager = lease_manager
        self._list_served_workspaces = list_served_workspaces
        self._on_unlisted_root = on_unlisted_root
        self._pending: dict[int, RootJoin] = {}
        self._reconnect_at: dict[str, float] = {}
        # VMs of roots whose process has ended, with the epoch of the lease that it held.
        self._ended_epochs: dict[str, int] = {}

    def tick(self, now: float) -> None:
        """Open missing links, close outdated ones and send changed interests."""
        listed = {lease["vm"]: (zone, lease) for zone, lease in self._directory.list_other_roots()}
        for vm, (_, lease) in listed.items():
            if now >= self._reconnect_at.get(vm, 0.0) and not self._find_links(vm):
                self._open_link(vm, lease, now)
        for link in list(self._ctx.list_links(Role.PEER)):
            if not self._is_current(link, listed.get(link.vm)):
                self._ctx.close(link, "no longer a root")
        self._send_interests(now)

    def send_join(self, link: Link, now: float) -> None:
        """Send the join on a link that this node opened."""
        self._ctx.send(link, self._build_join(link), now)

    def on_join(self, link: Link, message: RootJoin, now: float) -> None:
        """Admit another root; answer with a join if that root opened the link."""
        if link.identity is not None and link.identity.vm != message.vm:
            raise MessageError(f"the certificate names {link.identity.vm}, not {message.vm}")
        if not self._ctx.is_root:
            self._ctx.close(link, "not a root")
            return
        if not self._is_listed(message):
            self._pending[link.number] = message
            self._on_unlisted_root(now)
            return
        answer = link.role is Role.NEW
        others = [old for old in self._find_links(message.vm) if old is not link]
        if answer and any(old.address is not None for old in others) and self._sorts_below(message):
            self._ctx.close(link, "both roots opened a link")
            return
        for old in others:
            self._ctx.member_table.mark_stale(old.number, now)
            self._ctx.close(old, "replaced by a new link")
            self._ctx.links.pop(old.number)
        link.role = Role.PEER
        link.admit()
        link.vm = message.vm
        link.workspace = message.workspace
        link.availability_zone = message.availability_zone
        link.lease_index = message.index
        link.lease_epoch = message.epoch
        link.interests = frozenset(message.interests)
        if answer:
            self._ctx.send(link, self._build_join(link), now)
        self._ctx.flush_timer.schedule(now)

    def on_interest(self, link: Link, message: Interest, now: float) -> None:
        """Store the workspaces that another root serves; new ones need a complete view."""
        pending = self._pending.get(link.number)
        if pending is not None:
            self._pending[link.number] = pending._replace(interests=message.workspaces)
            return
        if not link.established or link.role is not Role.PEER:
            return
        interests = frozenset(message.workspaces)
        if interests - link.interests:
            link.full_view_due = True
        link.interests = interests
        self._ctx.flush_timer.schedule(now)

    def on_refused(self, link: Link) -> None:
        """Record that a root's process has ended, because nothing listens at its address."""
        self._ended_epochs[link.vm] = link.lease_epoch

    def is_announced(self, zone_roots: dict[int, Lease]) -> bool:
        """Tell whether every other root of the availability zone is joined to this one.

        A root whose process has ended is left out: it confirms no floor any more, and a new process
        of its VM takes a lease with a higher epoch.
        """
        others = {
            lease["vm"]
            for lease in zone_roots.values()
            if self._ended_epochs.get(lease["vm"]) != lease["epoch"]
        }
        answered = {link.vm for link in self._ctx.list_links(Role.PEER)}
        return others - {self._ctx.own.vm} <= answered

    def stop(self, reason: str) -> None:
        """Close every link to another root."""
        for link in list(self._ctx.links.values()):
            if link.role is Role.PEER:
                self._ctx.close(link, reason)

    def recheck_pending(self, now: float) -> None:
        """Admit roots that the directory now lists, and close the links of the others."""
        pending = self._pending
        self._pending = {}
        for number, message in pending.items():
            link = self._ctx.links.get(number)
            if link is None:
                continue
            if self._is_listed(message):
                self.on_join(link, message, now)
            else:
                self._ctx.close(link, "not listed as a root")

    def _sorts_below(self, message: RootJoin) -> bool:
        own = self._ctx.own
        return (own.availability_zone, own.vm) < (message.availability_zone, message.vm)

    def _is_current(self, link: Link, listed: tuple[str, Lease] | None) -> bool:
        return listed is not None and link.lease_epoch >= listed[1]["epoch"]

    def _find_links(self, vm: str) -> list[Link]:
        links = self._ctx.links.values()
        return [link for link in links if link.role is Role.PEER and link.vm == vm]

    def _open_link(self, vm: str, lease: Lease, now: float) -> None:
        self._reconnect_at[vm] = now + RECONNECT_INTERVAL_S * (1.0 + self._ctx.random.random())
        address = Address(lease["host"], lease["control_port"])
        link = self._ctx.connect(Role.PEER, address, now)
        link.vm = vm
        link.lease_epoch = lease["epoch"]

    def _is_listed(self, message: RootJoin) -> bool:
        lease = self._directory.leases_by_zone.get(message.availability_zone, {}).get(message.index)
        return lease is not None and (lease["vm"], lease["epoch"]) == (message.vm, message.epoch)

    def _build_join(self, link: Link) -> RootJoin:
        own = self._ctx.own
        link.sent_interests = frozenset(self._list_served_workspaces())
        return RootJoin(
            version=PROTOCOL_VERSION,
            vm=own.vm,
            workspace=own.workspace,
            availability_zone=own.availability_zone,
            index=self._lease_manager.held_index or 0,
            epoch=self._lease_manager.epoch,
            interests=tuple(sorted(link.sent_interests)),
        )

    def _send_interests(self, now: float) -> None:
        interests = frozenset(self._list_served_workspaces())
        for link in self._ctx.list_links(Role.PEER):
            if interests != link.sent_interests:
                link.sent_interests = interests
                self._ctx.send(link, Interest(tuple(sorted(interests))), now)
