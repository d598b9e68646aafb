"""Drive the control plane of one node as a state machine: events in, actions out."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..shared.blackboard import Blackboard
from ..shared.errors import MessageError
from ..shared.records import Member, MemberState, Phase
from ..shared.settings import NodeSettings
from ..shared.tls import Identity
from .actions import Action
from .children import Children
from .configuration import Configuration
from .context import OWN_LINK_NUMBER, Context, Link, Role
from .directory import Directory
from .exchange import MemberExchange
from .leases import LeaseManager
from .membership import build_endpoints
from .messages import (
    Accept,
    DeltaSnapshot,
    Drain,
    Floor,
    FloorRequest,
    FullSnapshot,
    GenerationReport,
    GenerationRequest,
    Heartbeat,
    Interest,
    Join,
    Members,
    MembersRequest,
    Message,
    Position,
    Promote,
    Redirect,
    Refuse,
    Report,
    RootJoin,
    SnapshotRequest,
)
from .parent import ParentConnector
from .relay import BatchTimer, list_routed_services
from .reports import build_report
from .root import RootRole

# Longest time between two ticks; the resolution of every timer except those of gathered changes.
TICK_S = 0.25
FLOOR_RETRY_S = 1.0
# Children apply a generation after their parent does. Naming those that have yet to acknowledge it
# would send a longer report up the tree with every change, and a correction a moment later.
BEHIND_NAMED_AFTER_S = 1.0
# Shortest time between two rebuilds of the endpoint lists, except when a member leaves.
ENDPOINTS_GATHER_S = 0.02


class Agent:
    """Act for one node in the control plane.

    The driver calls one method for each event and then executes what `take_actions` returns.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        board: Blackboard,
        random_source: random.Random,
        own: Member,
    ) -> None:
        self.ctx = Context(settings=settings, board=board, random_source=random_source, own=own)
        ctx = self.ctx
        self._settings = settings
        self._board = board
        lease_manager = LeaseManager(
            vm=own.vm,
            lease_count=settings.zone_roots,
            lease_s=settings.lease_s,
            renew_s=settings.lease_s / 3,
        )
        self.directory = Directory(ctx, lease_manager)
        self.configuration = Configuration(ctx)
        self.root = RootRole(
            ctx,
            lease_manager=lease_manager,
            directory=self.directory,
            configuration=self.configuration,
            on_lease_taken=self._on_lease_taken,
            on_lease_lost=self._on_lease_lost,
            on_lease_not_taken=lambda now: self.parent.on_lease_not_taken(now),
            on_snapshot=self._on_new_snapshot,
        )
        self.parent = ParentConnector(
            ctx,
            directory=self.directory,
            configuration=self.configuration,
            take_lease=self.root.take_free_lease,
        )
        self.children = Children(ctx, get_history=self.root.get_history)
        self.members = MemberExchange(ctx, get_history=self.root.get_history)
        self._endpoints_timer = BatchTimer(gather_s=min(settings.gather_s, ENDPOINTS_GATHER_S))
        self._published_state: tuple[int, int] = (-1, -1)
        self._relayed_generation = 0
        self._name_behind_at: float | None = None
        self._next_floor_request_at = 0.0
        self._leave_deadline: float | None = None
        self._sent_report: Report | None = None
        self._sent_report_link: Link | None = None
        self._silent_links: set[int] = set()
        self._handlers: dict[type[Any], Callable[[Link, Any, float], None]] = {
            Accept: self._on_accept,
            Redirect: self._on_redirect,
            Refuse: self._on_refuse,
            Position: self._on_position,
            FullSnapshot: self._on_snapshot,
            DeltaSnapshot: self._on_snapshot,
            Floor: self._on_floor,
            Drain: self._on_drain,
            Promote: self._on_promote,
            Join: self._on_join,
            SnapshotRequest: self._on_snapshot_request,
            Report: self._on_report,
            FloorRequest: self._on_floor_request,
            RootJoin: self._on_root_join,
            Interest: self._on_interest,
            GenerationRequest: self._on_generation_request,
            GenerationReport: self._on_generation_report,
            Heartbeat: self._on_heartbeat,
            Members: self.members.on_members,
            MembersRequest: self.members.on_members_request,
        }

    # Events

    def start(self, now: float) -> None:
        """Start to look for a parent."""
        self.ctx.now = now
        self.ctx.update_own(self.ctx.own, now)
        self.parent.start(now)

    def stop(self, now: float) -> None:
        """Close every link."""
        self.ctx.now = now
        self.parent.stop("stopping")
        for link in list(self.ctx.links.values()):
            self.ctx.close(link, "stopping")

    def accept_link(self, number: int, identity: Identity | None, now: float) -> None:
        """Register a link that another node opened; such links have even numbers."""
        link = Link(number, Role.NEW, now=now)
        link.identity = identity
        self.ctx.links[number] = link

    def on_link_opened(self, number: int, identity: Identity | None, now: float) -> None:
        """Send the first message on a link that this node opened and that is ready."""
        self.ctx.now = now
        link = self.ctx.links.get(number)
        if link is None:
            return
        link.identity = identity
        link.received_at = now
        if link.role is Role.PARENT:
            self.parent.on_opened(link, now)
        else:
            self.root.peers.send_join(link, now)
        self._finish_event(now)

    def on_link_closed(self, number: int, now: float, *, refused: bool = False) -> None:
        """Handle a link that closed or could not be opened; `refused` if nothing listened."""
        self.ctx.now = now
        link = self.ctx.links.pop(number, None)
        if link is None:
            return
        silent = number in self._silent_links
        self._silent_links.discard(number)
        self.ctx.member_table.mark_stale(number, now)
        if link.was_admitted:
            self.ctx.log("info", "link-lost", role=link.role.value, vm=link.vm)
        if link.role is Role.CHILD and self.ctx.find_link(Role.CHILD, link.vm) is None:
            self.children.on_closed(link, now, silent=silent)
        if link.role is Role.PARENT:
            self.parent.on_closed(link, now)
        if link.role is Role.PEER and refused:
            self.root.peers.on_refused(link)
        self._finish_event(now)

    def receive(self, number: int, message: Message, now: float) -> None:
        """Handle a message; an invalid one closes its link and has no other effect."""
        self.ctx.now = now
        link = self.ctx.links.get(number)
        if link is None:
            return
        link.received_at = now
        try:
            self._handlers[type(message)](link, message, now)
        except MessageError as error:
            self.reject(number, error, now)
        self._finish_event(now)

    def reject(self, number: int, error: MessageError, now: float) -> None:
        """Close the link of a peer that sent a bad message."""
        link = self.ctx.links.get(number)
        if link is None:
            return
        self.ctx.log("warn", "message-refused", vm=link.vm, code=error.code, detail=error.detail)
        self.ctx.close(link, error.code)

    def finish_call(self, call_number: int, result: Any, now: float) -> None:
        """Handle the result of a platform call, or its exception."""
        self.ctx.now = now
        self.ctx.finish_call(call_number, result, now)
        self._finish_event(now)

    def tick(self, now: float) -> None:
        """Take the steps that are due by time."""
        self.ctx.now = now
        self._update_state(now)
        self._check_links(now)
        self._tick_floor(now)
        self.parent.tick(now)
        self.root.tick(now)
        self.members.expire(now)
        self._tick_leave(now)
        self._finish_event(now)

    def take_actions(self) -> list[Action]:
        """Return the actions for the driver to execute, and forget them."""
        return self.ctx.take_actions()

    def get_next_tick_at(self, now: float) -> float:
        """Return the latest time for the next call of `tick`."""
        dues = (
            self.ctx.flush_timer.due_at,
            self._endpoints_timer.due_at,
            self.root.heads.get_next_fetch_at(),
        )
        return min((now + TICK_S, *(due for due in dues if due is not None)))

    # Messages from a parent

    def _on_accept(self, link: Link, message: Accept, now: float) -> None:
        if link is not self.parent.link:
            return
        self.parent.on_accept(link, message, now)
        self._next_floor_request_at = now
        self.ctx.flush_timer.schedule(now, at_once=True)

    def _on_redirect(self, link: Link, message: Redirect, now: float) -> None:
        if link is self.parent.link:
            self.parent.on_redirect(message, now)

    def _on_refuse(self, link: Link, message: Refuse, now: float) -> None:
        if link is self.parent.link:
            self.parent.on_refuse(message, now)

    def _on_position(self, link: Link, message: Position, now: float) -> None:
        if self._is_parent(link):
            self.parent.on_position(message, now)

    def _on_snapshot(self, link: Link, message: FullSnapshot | DeltaSnapshot, now: float) -> None:
        if not self._is_parent(link):
            return
        if self.configuration.receive(message):
            self.ctx.send(link, SnapshotRequest(self.configuration.generation), now)
        # A refusal is reported to the parent as well as an applied generation.
        self.ctx.flush_timer.schedule(now)

    def _on_floor(self, link: Link, message: Floor, now: float) -> None:
        if not self._is_parent(link):
            return
        if (message.vm, message.incarnation) == self._floor_key:
            self.configuration.set_floor(message.generation, message.rule)
        else:
            self.children.forward_floor(message, now)

    def _on_drain(self, link: Link, message: Drain, now: float) -> None:
        if not self._is_parent(link):
            return
        if message.vm == self.ctx.own.vm:
            self._board.drain_requested.set(True)
        else:
            self.children.forward_drain(message, now)

    def _on_promote(self, link: Link, message: Promote, now: float) -> None:
        if self._is_parent(link):
            self.root.on_promote(message, now)

    # Messages from a child

    def _on_join(self, link: Link, message: Join, now: float) -> None:
        if link.role is not Role.NEW:
            raise MessageError("a second join on one link")
        if self.children.on_join(link, message, now) and self.ctx.is_root:
            self.root.heads.schedule_fetch(now)

    def _on_snapshot_request(self, link: Link, message: SnapshotRequest, now: float) -> None:
        if self._is_child(link):
            self.children.resend_snapshot(link, message, now)

    def _on_report(self, link: Link, message: Report, now: float) -> None:
        if self._is_child(link):
            self.children.on_report(link, message, now)

    def _on_floor_request(self, link: Link, message: FloorRequest, now: float) -> None:
        if not self._is_child(link):
            return
        if self.ctx.is_root:
            self.root.request_floor(message, link=link)
        elif self.parent.link is not None and self.parent.link.established:
            self.children.record_floor_request(link, message)
            self.ctx.send(self.parent.link, message, now)

    # Messages between roots

    def _on_root_join(self, link: Link, message: RootJoin, now: float) -> None:
        if link.role not in (Role.NEW, Role.PEER) or link.established:
            raise MessageError("a second join on one link")
        self.root.peers.on_join(link, message, now)

    def _on_interest(self, link: Link, message: Interest, now: float) -> None:
        self.root.peers.on_interest(link, message, now)

    def _on_generation_request(self, link: Link, message: GenerationRequest, now: float) -> None:
        if self._is_peer(link):
            self.root.floors.on_generation_request(link, message, now)

    def _on_generation_report(self, link: Link, message: GenerationReport, now: float) -> None:
        if self._is_peer(link):
            self.root.floors.on_generation_report(link, message, now)

    # Messages on every link

    def _on_heartbeat(self, link: Link, message: Heartbeat, now: float) -> None:
        if not link.established:
            return
        if message.serial > link.received_serial:
            # A member message did not arrive; a complete view replaces it.
            link.received_serial = message.serial
            self.ctx.send(link, MembersRequest(message.serial), now)
        if link.role is Role.PARENT:
            self.parent.on_root_beat(message.root_beat, now)
            self._compare_generation(link, message.generation, now)

    def _compare_generation(self, link: Link, generation: int, now: float) -> None:
        """Ask for the parent's snapshot if it is newer, unless this node refused it."""
        refusal = self._board.refusal.value
        refused = 0 if refusal is None else refusal.generation
        if generation > max(self.configuration.generation, refused):
            self.ctx.send(link, SnapshotRequest(self.configuration.generation), now)

    # Own state

    def _update_state(self, now: float) -> None:
        """Announce that the backend server's readiness changed or that this node leaves."""
        if self._board.drain_requested.value and not self.ctx.leaving:
            self._begin_leave(now)
        if self.ctx.leaving:
            return
        serving = self._board.phase.value is Phase.SERVING
        ready = serving and self._board.backend.value.ready
        state = MemberState.READY if ready else MemberState.UNREADY
        if state is not self.ctx.own.state:
            self.ctx.announce(now, state)

    def _begin_leave(self, now: float) -> None:
        self.ctx.leaving = True
        self.ctx.announce(now, MemberState.LEAVING)
        self.ctx.log("info", "leaving-announced", vm=self.ctx.own.vm)
        self._leave_deadline = now + self._settings.leave_notice_s
        self._flush(now)
        if self.ctx.is_root:
            targets = self.root.list_alternative_roots()
        else:
            links = self.ctx.list_links(Role.PARENT)
            targets = [link.address for link in links if link.address is not None]
        self.children.redirect_all(targets, now)

    def _tick_leave(self, now: float) -> None:
        if self._leave_deadline is None or self._board.leave_announced.value:
            return
        alone = next(self.ctx.list_links(Role.PARENT, Role.CHILD, Role.PEER), None) is None
        if now >= self._leave_deadline or alone:
            self._board.leave_announced.set(True)
            self.root.resign(now)

    def _on_lease_taken(self, now: float) -> None:
        self.parent.stop("became a root")
        self.ctx.spare_parents = tuple(self.root.list_alternative_roots())
        self._next_floor_request_at = now

    def _on_lease_lost(self, now: float) -> None:
        """Redirect the children to other roots and look for a parent."""
        self.children.redirect_all(self.root.list_alternative_roots(), now)
        self.parent.start(now)

    def _on_new_snapshot(self, workspace: str, now: float) -> None:
        # The new routes decide which members the children need.
        self.ctx.flush_timer.schedule(now)
        self.children.send_snapshots(workspace, now)

    @property
    def _floor_key(self) -> tuple[str, int]:
        return self.ctx.own.vm, self.ctx.own.incarnation

    def _tick_floor(self, now: float) -> None:
        """Ask for the floor until it is known."""
        if self.configuration.floor is not None or now < self._next_floor_request_at:
            return
        request = FloorRequest(*self._floor_key)
        link = self.parent.link
        if self.ctx.is_root:
            self.root.request_floor(request, link=None)
        elif link is not None and link.established:
            self.ctx.send(link, request, now)
        else:
            return
        self._next_floor_request_at = now + FLOOR_RETRY_S

    # Links

    def _is_parent(self, link: Link) -> bool:
        return link.established and link.role is Role.PARENT

    def _is_child(self, link: Link) -> bool:
        return link.established and link.role is Role.CHILD

    def _is_peer(self, link: Link) -> bool:
        return link.established and link.role is Role.PEER

    def _check_links(self, now: float) -> None:
        """Close silent links and send heartbeats."""
        for link in list(self.ctx.links.values()):
            if now - link.received_at > self._settings.link_timeout_s:
                self._silent_links.add(link.number)
                self.ctx.close(link, "silent")
                # Keeps the link from being closed again until the driver reports it closed.
                link.received_at = now
            elif link.established:
                self._send_heartbeat(link, now)

    def _send_heartbeat(self, link: Link, now: float) -> None:
        # Children need the counter of the root even while other messages are sent.
        last = link.heartbeat_sent_at if link.role is Role.CHILD else link.sent_at
        if now - last < self._settings.heartbeat_s:
            return
        if self.ctx.is_root:
            self.ctx.root_beat = max(self.ctx.root_beat + 1, int(now * 1000))
        link.heartbeat_sent_at = now
        generation = self.children.get_generation(link.workspace) if link.workspace else 0
        self.ctx.send(link, Heartbeat(link.sent_serial, generation, self.ctx.root_beat), now)

    # Sending

    def _finish_event(self, now: float) -> None:
        """Send what is due after an event, and publish the endpoints."""
        self.children.tick(now)
        if self._name_behind_at is not None and now >= self._name_behind_at:
            self._name_behind_at = None
            self.ctx.flush_timer.schedule(now, at_once=True)
        self._relay(now)
        if self.ctx.flush_timer.pop_due(now):
            self._flush(now)
        self._publish_endpoints(now)

    def _relay(self, now: float) -> None:
        snapshot = self._board.snapshot.value
        if snapshot is None or snapshot.generation == self._relayed_generation:
            return
        self._relayed_generation = snapshot.generation
        if self._name_behind_at is None:
            self._name_behind_at = now + BEHIND_NAMED_AFTER_S
        self.children.send_snapshots(snapshot.workspace, now)
        self.ctx.flush_timer.schedule(now)

    def _flush(self, now: float) -> None:
        subtree_links = {link.number for link in self.ctx.list_links(Role.CHILD)} | {
            OWN_LINK_NUMBER
        }
        for link in list(self.ctx.list_links(Role.PARENT, Role.CHILD, Role.PEER)):
            self.members.send(link, subtree_links, now)
        self._send_report(now)

    def _send_report(self, now: float) -> None:
        link = self.parent.link
        if link is None or not link.established:
            return
        report = build_report(
            vm=self.ctx.own.vm,
            snapshot=self._board.snapshot.value,
            refusal=self._board.refusal.value,
            children=[
                (child.vm, child.report)
                for child in self.ctx.list_links(Role.CHILD)
                if child.report is not None
            ],
            name_behind=self._name_behind_at is None,
        )
        if link is self._sent_report_link and report == self._sent_report:
            return
        self._sent_report_link = link
        self._sent_report = report
        self.ctx.send(link, report, now)

    # Endpoints

    def _publish_endpoints(self, now: float) -> None:
        snapshot = self._board.snapshot.value
        state = (self.ctx.member_table.version, 0 if snapshot is None else snapshot.generation)
        if state == self._published_state:
            self._endpoints_timer.due_at = None
            return
        changed = self.ctx.member_table.list_changes(self._published_state[0])
        urgent = any(entry.member.state is MemberState.LEAVING for entry in changed)
        if urgent or self._endpoints_timer.due_at is None:
            self._endpoints_timer.schedule(now, at_once=urgent)
        if not self._endpoints_timer.pop_due(now):
            return
        self._published_state = state
        services = list_routed_services(snapshot)
        members = [entry.member for entry in self.ctx.member_table]
        endpoints = build_endpoints(
            members, workspace=self.ctx.own.workspace, services=sorted(services)
        )
        old = self._board.endpoints.value
        for service, listed in endpoints.items():
            if old.get(service) != listed:
                ready = sum(endpoint.ready for endpoint in listed)
                self.ctx.log("info", "endpoints-changed", service=service, ready=ready)
        self._board.endpoints.set(endpoints)
