"""Define the state that the state machines of one node's control plane share."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Any

from ..shared.blackboard import Blackboard
from ..shared.records import Member, MemberState
from ..shared.settings import Address, NodeSettings
from ..shared.tls import Identity
from .actions import Action, CallPlatform, Close, Connect, Log, Send
from .membership import MemberTable
from .messages import Message, Report
from .relay import BatchTimer

# Stands for this node itself in `MemberEntry.link_number`.
OWN_LINK_NUMBER = 0

PlatformCallback = Callable[[Any, float], None]


class Role(StrEnum):
    """Role of the node at the other end of a link."""

    NEW = "new"
    PARENT = "parent"
    CHILD = "child"
    PEER = "peer"


class Link:
    """Hold the state of one link.

    `established` means that the peer was admitted and the link is not closing; `was_admitted` stays
    set while it closes.
    """

    def __init__(
        self, number: int, role: Role, *, now: float, address: Address | None = None
    ) -> None:
        self.number = number
        self.role = role
        self.address = address
        self.identity: Identity | None = None
        self.established = False
        self.was_admitted = False
        self.opened_at = now
        self.received_at = now
        self.sent_at = now
        self.heartbeat_sent_at = now
        self.vm = ""
        self.workspace = ""
        self.availability_zone = ""
        self.incarnation = 0
        # Member messages: the last serials sent and received, and the table version sent so far.
        self.sent_serial = 0
        self.received_serial = 0
        self.sent_version = 0
        self.full_view_due = True
        # For a parent or another root: the VMs that it was told to reach through this node.
        self.advertised_vms: set[str] = set()
        self.routed_services: frozenset[str] = frozenset()
        self.interests: frozenset[str] = frozenset()
        self.sent_interests: frozenset[str] = frozenset()
        # For a child: the snapshot that it has or was sent, its last report, and how many nodes
        # were redirected to it since.
        self.generation = 0
        self.digest = ""
        self.report: Report | None = None
        self.redirected_total = 0
        # For another root: its lease.
        self.lease_index = -1
        self.lease_epoch = 0

    def admit(self) -> None:
        """Mark the peer as admitted."""
        self.established = True
        self.was_admitted = True


class Context:
    """Hold the shared state of one node's state machines, and collect their actions."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        board: Blackboard,
        random_source: random.Random,
        own: Member,
    ) -> None:
        self.settings = settings
        self.board = board
        self.random = random_source
        self.own = own
        self.member_table = MemberTable()
        self.links: dict[int, Link] = {}
        self.flush_timer = BatchTimer(gather_s=settings.gather_s)
        # VMs from the root to the parent, and spare parents; both come from the parent.
        self.parent_path: tuple[str, ...] = ()
        self.spare_parents: tuple[Address, ...] = ()
        self.is_root = False
        self.leaving = False
        self.root_beat = 0
        # The time of the event being handled.
        self.now = 0.0
        self._actions: list[Action] = []
        self._calls: dict[int, PlatformCallback] = {}
        self._last_call_number = 0
        self._last_link_number = -1

    @property
    def own_path(self) -> tuple[str, ...]:
        """Return the VMs from the root to this node, or an empty tuple without a root."""
        if self.is_root:
            return (self.own.vm,)
        return (*self.parent_path, self.own.vm) if self.parent_path else ()

    @property
    def own_address(self) -> Address:
        """Return this node's control address."""
        return Address(self.own.host, self.own.control_port)

    def list_links(self, *roles: Role) -> Iterator[Link]:
        """Return the established links of the given roles."""
        return (link for link in self.links.values() if link.established and link.role in roles)

    def find_link(self, role: Role, vm: str) -> Link | None:
        """Return the established link to a VM in a role."""
        return next((link for link in self.list_links(role) if link.vm == vm), None)

    def connect(self, role: Role, address: Address, now: float) -> Link:
        """Open a link; outbound links have odd numbers."""
        self._last_link_number += 2
        link = Link(self._last_link_number, role, now=now, address=address)
        self.links[link.number] = link
        self._actions.append(Connect(link.number, address.host, address.port))
        return link

    def send(self, link: Link, message: Message, now: float) -> None:
        """Send a message on a link."""
        link.sent_at = now
        self._actions.append(Send(link.number, message))

    def close(self, link: Link, reason: str) -> None:
        """Close a link; the driver reports when it is closed."""
        link.established = False
        self._actions.append(Close(link.number, reason))

    def call(self, method: Any, callback: PlatformCallback, **arguments: Any) -> None:
        """Call the platform; the callback gets the result or the exception."""
        self._last_call_number += 1
        self._calls[self._last_call_number] = callback
        self._actions.append(CallPlatform(self._last_call_number, method, arguments))

    def finish_call(self, call_number: int, result: Any, now: float) -> None:
        """Pass the result of a platform call to its callback."""
        self._calls.pop(call_number)(result, now)

    def log(self, level: Any, event: str, **fields: Any) -> None:
        """Log an event."""
        self._actions.append(Log(level, event, fields))

    def take_actions(self) -> list[Action]:
        """Return the actions collected since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def update_own(self, own: Member, now: float) -> None:
        """Replace the own member record."""
        self.own = own
        self.member_table.merge(own, link_number=OWN_LINK_NUMBER, now=now, from_child=True)
        self.flush_timer.schedule(now, at_once=own.state is MemberState.LEAVING)

    def announce(self, now: float, state: MemberState | None = None) -> None:
        """Raise the sequence of the own member record, possibly with a new state."""
        own = self.own._replace(sequence=self.own.sequence + 1)
        self.update_own(own if state is None else own._replace(state=state), now)
