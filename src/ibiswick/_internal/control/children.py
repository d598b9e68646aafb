"""Admit children, send them snapshots and forward messages about their subtrees."""

from __future__ import annotations

from collections.abc import Callable

from ..shared.errors import MessageError
from ..shared.records import MemberState
from ..shared.settings import Address
from .context import OWN_LINK_NUMBER, Context, Link, Role
from .messages import (
    MAX_DELAY_S,
    Accept,
    Drain,
    Floor,
    FloorRequest,
    Join,
    Position,
    Redirect,
    Refuse,
    Report,
    SnapshotRequest,
)
from .relay import SnapshotHistory
from .tree import Candidate, JoinLimiter, choose_parent

INNER_JOIN_RATE_PER_S = 20.0
MAX_SPARE_PARENTS = 4
# A child whose link closed is reported lost after this time unless it has joined another parent.
REJOIN_GRACE_S = 3.0

GetHistory = Callable[[str], SnapshotHistory | None]


class Children:
    """Manage the children of one node."""

    def __init__(self, ctx: Context, *, get_history: GetHistory) -> None:
        self._ctx = ctx
        self._get_history = get_history
        rate = ctx.settings.join_rate_per_s
        self._root_limiter = JoinLimiter(rate_per_s=rate, burst=rate)
        inner_rate = min(INNER_JOIN_RATE_PER_S, rate)
        self._inner_limiter = JoinLimiter(rate_per_s=inner_rate, burst=inner_rate)
        self._disconnected: dict[str, tuple[int, float]] = {}
        self._floor_links: dict[tuple[str, int], int] = {}
        self._sent_position: tuple[tuple[str, ...], tuple[Address, ...]] = ((), ())

    def count(self) -> int:
        """Return the number of children."""
        return sum(1 for _ in self._ctx.list_links(Role.CHILD))

    def on_join(self, link: Link, message: Join, now: float) -> bool:
        """Admit, redirect or refuse a joining node; return whether it was admitted."""
        self._check_identity(link, message)
        link.vm = message.member.vm
        link.workspace = message.member.workspace
        refusal = self._find_refusal(message, now)
        if refusal is not None:
            self._ctx.send(link, refusal, now)
            self._ctx.close(link, "join refused")
            return False
        redirect = self._find_redirect(link.workspace, link.vm)
        if redirect is not None:
            self._ctx.send(link, redirect, now)
            self._ctx.close(link, "join redirected")
            return False
        self._admit(link, message, now)
        return True

    def send_snapshots(self, workspace: str, now: float) -> None:
        """Send the children of a workspace the current snapshot if they lack it."""
        for link in list(self._ctx.list_links(Role.CHILD)):
            if link.workspace == workspace:
                self.send_snapshot(link, now)

    def send_snapshot(self, link: Link, now: float) -> None:
        """Send a child the current snapshot, or the difference to its own, if it lacks it."""
        history = self._get_history(link.workspace)
        update = None if history is None else history.choose_update(link.generation, link.digest)
        if update is None:
            return
        link.generation = update.generation
        link.digest = update.digest
        self._ctx.send(link, update, now)

    def resend_snapshot(self, link: Link, message: SnapshotRequest, now: float) -> None:
        """Send the whole snapshot to a child that asked for it."""
        link.generation = message.generation
        link.digest = ""
        self.send_snapshot(link, now)

    def on_report(self, link: Link, message: Report, now: float) -> None:
        """Store a child's report."""
        link.report = message
        link.redirected_total = 0
        if message.generation > link.generation:
            link.generation = message.generation
            link.digest = message.digest
        self._ctx.flush_timer.schedule(now)

    def record_floor_request(self, link: Link, message: FloorRequest) -> None:
        """Remember the link on which a floor request arrived, for the answer."""
        self._floor_links[(message.vm, message.incarnation)] = link.number

    def forward_floor(self, message: Floor, now: float) -> None:
        """Forward a floor to the child that forwarded the request for it."""
        number = self._floor_links.pop((message.vm, message.incarnation), None)
        link = self._ctx.links.get(number) if number is not None else None
        if link is not None and link.established:
            self._ctx.send(link, message, now)

    def forward_drain(self, message: Drain, now: float) -> None:
        """Forward a drain request to the child whose subtree contains the VM."""
        entry = self._ctx.member_table.get(message.vm)
        link = self._ctx.links.get(entry.link_number) if entry is not None else None
        if link is not None and link.established and link.role is Role.CHILD:
            self._ctx.send(link, message, now)

    def on_closed(self, link: Link, now: float, *, silent: bool) -> None:
        """Give a child time to join again; one that had gone silent is reported lost at once."""
        self._disconnected[link.vm] = (link.number, now - REJOIN_GRACE_S if silent else now)
        self._floor_links = {
            key: number for key, number in self._floor_links.items() if number != link.number
        }
        self._ctx.flush_timer.schedule(now)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Report children lost that have not joined again in time, and send a changed position."""
        for vm, (number, since) in list(self._disconnected.items()):
            if now - since >= REJOIN_GRACE_S:
                del self._disconnected[vm]
                self._report_lost(vm, number, now)
        self._send_position(now)

    def redirect_all(self, targets: list[Address], now: float) -> None:
        """Redirect every child to one of the targets, or without a target if there is none."""
        links = list(self._ctx.list_links(Role.CHILD))
        rate = self._ctx.settings.join_rate_per_s
        for position, link in enumerate(links):
            host, port = targets[position % len(targets)] if targets else ("", 0)
            spread = self._ctx.random.uniform(0.0, min(MAX_DELAY_S, len(links) / rate))
            self._ctx.send(link, Redirect(host, port, spread), now)

    def list_spare_parents(self) -> tuple[Address, ...]:
        """Return spare parents for children: this node's parent, then its own spare parents."""
        parents = [
            link.address for link in self._ctx.list_links(Role.PARENT) if link.address is not None
        ]
        spares = dict.fromkeys((*parents, *self._ctx.spare_parents))
        return tuple(spares)[:MAX_SPARE_PARENTS]

    def _check_identity(self, link: Link, message: Join) -> None:
        if link.identity is None:
            return
        if (link.identity.workspace, link.identity.vm) != (
            message.member.workspace,
            message.member.vm,
        ):
            raise MessageError(
                f"the certificate of {link.identity.vm} does not match the join of "
                f"{message.member.vm}"
            )

    def _find_refusal(self, message: Join, now: float) -> Refuse | None:
        ctx = self._ctx
        member = message.member
        if member.availability_zone != ctx.own.availability_zone:
            return Refuse("wrong-zone", 0.0, "", 0)
        if not ctx.is_root and member.workspace != ctx.own.workspace:
            return Refuse("wrong-workspace", 0.0, "", 0)
        if ctx.leaving:
            return self._refuse("draining", 0.0)
        if not ctx.own_path:
            return Refuse("no-parent", 0.0, "", 0)
        if member.vm in ctx.own_path:
            return Refuse("loop", 0.0, "", 0)
        limiter = self._root_limiter if ctx.is_root else self._inner_limiter
        if not limiter.admit(now):
            return self._refuse("busy", limiter.draw_delay(ctx.random, now))
        return None

    def _refuse(self, code: str, delay_s: float) -> Refuse:
        spares = self.list_spare_parents() if self._ctx.is_root or self._ctx.leaving else ()
        if not spares:
            return Refuse(code, delay_s, "", 0)
        sibling = self._ctx.random.choice(spares)
        return Refuse(code, delay_s, sibling.host, sibling.port)

    def _find_redirect(self, workspace: str, vm: str) -> Redirect | None:
        settings = self._ctx.settings
        limit = settings.root_degree if self._ctx.is_root else settings.degree
        links = [
            link
            for link in self._ctx.list_links(Role.CHILD)
            if link.workspace == workspace and link.vm != vm and not self._is_leaving(link)
        ]
        if len(links) < limit:
            return None
        chosen = choose_parent([self._build_candidate(link) for link in links])
        if chosen is None:
            return None
        link = self._ctx.links[chosen.link_number]
        entry = self._ctx.member_table.get(link.vm)
        if entry is None:
            return None
        # Nodes redirected to a child count as its subtree until its next report, so that a burst of
        # joins is spread over the children.
        link.redirected_total += 1
        return Redirect(entry.member.host, entry.member.control_port, 0.0)

    def _is_leaving(self, link: Link) -> bool:
        entry = self._ctx.member_table.get(link.vm)
        return entry is not None and entry.member.state is MemberState.LEAVING

    def _build_candidate(self, link: Link) -> Candidate:
        children = 0 if link.report is None else link.report.children
        total = 1 if link.report is None else link.report.total
        return Candidate(link.number, children, total + link.redirected_total)

    def _admit(self, link: Link, message: Join, now: float) -> None:
        ctx = self._ctx
        old = ctx.find_link(Role.CHILD, link.vm)
        link.role = Role.CHILD
        link.admit()
        link.incarnation = message.member.incarnation
        link.generation = message.generation
        link.digest = message.digest
        if old is not None:
            ctx.member_table.mark_stale(old.number, now)
            ctx.close(old, "replaced by a new link")
        self._disconnected.pop(link.vm, None)
        accept = Accept(
            ctx.own_path, self.list_spare_parents(), self.get_generation(link.workspace)
        )
        ctx.send(link, accept, now)
        ctx.member_table.merge(message.member, link_number=link.number, now=now, from_child=True)
        ctx.flush_timer.schedule(now)
        self.send_snapshot(link, now)

    def get_generation(self, workspace: str) -> int:
        """Return the generation that children of a workspace are sent; 0 without a snapshot."""
        history = self._get_history(workspace)
        if history is None or history.current is None:
            return 0
        return history.current.generation

    def _report_lost(self, vm: str, number: int, now: float) -> None:
        entry = self._ctx.member_table.get(vm)
        # A member that is reached by another link by now has joined another parent.
        if entry is None or entry.link_number != number:
            return
        lost = entry.member._replace(state=MemberState.LOST)
        if self._ctx.member_table.merge(
            lost, link_number=OWN_LINK_NUMBER, now=now, from_child=False
        ):
            self._ctx.log("warn", "member-lost", vm=vm, incarnation=lost.incarnation)
            self._ctx.flush_timer.schedule(now, at_once=True)

    def _send_position(self, now: float) -> None:
        position = (self._ctx.own_path, self.list_spare_parents())
        if position == self._sent_position:
            return
        self._sent_position = position
        for link in self._ctx.list_links(Role.CHILD):
            self._ctx.send(link, Position(*position), now)
