"""Exchange members with the other zone roots."""

from __future__ import annotations

from collections.abc import Callable

from ..shared.errors import MessageError
from ..shared.records import Lease
from ..shared.settings import Address
from .context import Context, Link, Role
from .directory import Directory
from .leases import LeaseKeeper
from .messages import PROTOCOL_VERSION, Interest, RootJoin

REDIAL_S = 1.0


class Peers:
    """Hold the links to other roots.

    Both ends of a pair open a link, because a new root must make itself known at once. Of two links
    opened at the same time, the one of the root that sorts lower is kept.
    """

    def __init__(
        self,
        ctx: Context,
        *,
        directory: Directory,
        keeper: LeaseKeeper,
        list_carried: Callable[[], set[str]],
        notice_unlisted: Callable[[float], None],
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._keeper = keeper
        self._list_carried = list_carried
        self._notice_unlisted = notice_unlisted
        self._pending: dict[int, RootJoin] = {}
        self._redial_at: dict[str, float] = {}
        # Roots whose process has ended, with the epoch of the lease that it held.
        self._ended: dict[str, int] = {}

    def tick(self, now: float) -> None:
        """Open missing links and pass on changed interests."""
        listed = {lease["vm"]: (zone, lease) for zone, lease in self._directory.list_others()}
        for vm, (_, lease) in listed.items():
            if now >= self._redial_at.get(vm, 0.0) and not self._find_links(vm):
                self._dial(vm, lease, now)
        for link in list(self._ctx.list_links(Role.PEER)):
            if not self._is_current(link, listed.get(link.vm)):
                self._ctx.close(link, "no longer a root")
        self._send_interests(now)

    def send_join(self, link: Link, now: float) -> None:
        """Send the first message on a link that this node opened."""
        self._ctx.send(link, self._build_join(link), now)

    def join(self, link: Link, message: RootJoin, now: float) -> None:
        """Take another root's first message, and answer it on a link that it opened."""
        if link.identity is not None and link.identity.vm != message.vm:
            raise MessageError(f"the certificate names {link.identity.vm}, not {message.vm}")
        if not self._ctx.is_root:
            self._ctx.close(link, "not a root")
            return
        if not self._is_listed(message):
            self._pending[link.number] = message
            self._notice_unlisted(now)
            return
        answer = link.role is Role.NEW
        others = [old for old in self._find_links(message.vm) if old is not link]
        if answer and any(old.address is not None for old in others) and self._is_lower(message):
            self._ctx.close(link, "both roots opened a link")
            return
        for old in others:
            self._ctx.table.mark_stale(old.number, now)
            self._ctx.close(old, "replaced by a new link")
            self._ctx.links.pop(old.number)
        link.role = Role.PEER
        link.admit()
        link.vm = message.vm
        link.workspace = message.workspace
        link.availability_zone = message.availability_zone
        link.index = message.index
        link.epoch = message.epoch
        link.interests = frozenset(message.interests)
        if answer:
            self._ctx.send(link, self._build_join(link), now)
        self._ctx.outbox.note(now)

    def take_interest(self, link: Link, message: Interest, now: float) -> None:
        """Take the workspaces that another root carries; new ones need a complete view."""
        pending = self._pending.get(link.number)
        if pending is not None:
            self._pending[link.number] = pending._replace(interests=message.workspaces)
            return
        if not link.established or link.role is not Role.PEER:
            return
        interests = frozenset(message.workspaces)
        if interests - link.interests:
            link.full_due = True
        link.interests = interests
        self._ctx.outbox.note(now)

    def notice_refused(self, link: Link) -> None:
        """Note that nothing listens where a root should be."""
        self._ended[link.vm] = link.epoch

    def is_announced(self, zone_roots: dict[int, Lease]) -> bool:
        """Tell whether every other root of the availability zone has answered this one.

        A root whose process has ended confirms no floor any more, and a new process of its VM takes
        a lease with a higher epoch, so it need not answer.
        """
        others = {
            lease["vm"]
            for lease in zone_roots.values()
            if self._ended.get(lease["vm"]) != lease["epoch"]
        }
        answered = {link.vm for link in self._ctx.list_links(Role.PEER)}
        return others - {self._ctx.own.vm} <= answered

    def stop(self, reason: str) -> None:
        """Close every link to another root."""
        for link in list(self._ctx.links.values()):
            if link.role is Role.PEER:
                self._ctx.close(link, reason)

    def settle_pending(self, now: float) -> None:
        """Take or close the links of roots that the directory did not list before."""
        pending = self._pending
        self._pending = {}
        for number, message in pending.items():
            link = self._ctx.links.get(number)
            if link is None:
                continue
            if self._is_listed(message):
                self.join(link, message, now)
            else:
                self._ctx.close(link, "not listed as a root")

    def _is_lower(self, message: RootJoin) -> bool:
        own = self._ctx.own
        return (own.availability_zone, own.vm) < (message.availability_zone, message.vm)

    def _is_current(self, link: Link, listed: tuple[str, Lease] | None) -> bool:
        return listed is not None and link.epoch >= listed[1]["epoch"]

    def _find_links(self, vm: str) -> list[Link]:
        links = self._ctx.links.values()
        return [link for link in links if link.role is Role.PEER and link.vm == vm]

    def _dial(self, vm: str, lease: Lease, now: float) -> None:
        self._redial_at[vm] = now + REDIAL_S * (1.0 + self._ctx.random.random())
        address = Address(lease["host"], lease["control_port"])
        link = self._ctx.connect(Role.PEER, address, now)
        link.vm = vm
        link.epoch = lease["epoch"]

    def _is_listed(self, message: RootJoin) -> bool:
        lease = self._directory.zones.get(message.availability_zone, {}).get(message.index)
        return lease is not None and (lease["vm"], lease["epoch"]) == (message.vm, message.epoch)

    def _build_join(self, link: Link) -> RootJoin:
        own = self._ctx.own
        link.told_interests = frozenset(self._list_carried())
        return RootJoin(
            version=PROTOCOL_VERSION,
            vm=own.vm,
            workspace=own.workspace,
            availability_zone=own.availability_zone,
            index=self._keeper.held or 0,
            epoch=self._keeper.epoch,
            interests=tuple(sorted(link.told_interests)),
        )

    def _send_interests(self, now: float) -> None:
        interests = frozenset(self._list_carried())
        for link in self._ctx.list_links(Role.PEER):
            if interests != link.told_interests:
                link.told_interests = interests
                self._ctx.send(link, Interest(tuple(sorted(interests))), now)
