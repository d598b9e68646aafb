"""Take, renew and give up the role of a zone root."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..shared.errors import ConflictError, IbiswickError, OutcomeUnknownError
from ..shared.objectapi import StoredObject
from ..shared.records import HeldLease, Lease, MemberState, Snapshot
from ..shared.settings import Address
from .configuration import Configuration
from .context import OWN_LINK_NUMBER, Context, Link, Role
from .directory import Directory, format_lease_key
from .floorresponder import FloorResponder
from .headreader import HeadReader
from .leases import LeaseManager, LeaseStep
from .messages import Drain, FloorRequest, Promote
from .peers import Peers
from .relay import SnapshotHistory
from .reports import aggregate_reports, build_report
from .reportwriter import (
    MEMBERS_INTERVAL_S,
    STATUS_INTERVAL_S,
    ReportWriter,
    build_members_report,
    build_root_report,
)


class RootRole:
    """Hold a zone-root lease and do what only roots do."""

    def __init__(
        self,
        ctx: Context,
        *,
        lease_manager: LeaseManager,
        directory: Directory,
        configuration: Configuration,
        on_lease_taken: Callable[[float], None],
        on_lease_lost: Callable[[float], None],
        on_lease_not_taken: Callable[[float], None],
        on_snapshot: Callable[[str, float], None],
    ) -> None:
        self._ctx = ctx
        self._lease_manager = lease_manager
        self._directory = directory
        self._configuration = configuration
        self._on_lease_taken = on_lease_taken
        self._on_lease_lost = on_lease_lost
        self._on_lease_not_taken = on_lease_not_taken
        self._on_snapshot = on_snapshot
        self._histories: dict[str, SnapshotHistory] = {}
        self._announce_deadline = 0.0
        self._lease_taken_version = 0
        self._next_directory_read_at = 0.0
        self._reading_directory = False
        self._read_leases: dict[int, Lease] | None = None
        self._confirmed_leases: dict[int, Lease] | None = None
        self._promotion_index: int | None = None
        self._promotion_deadline = 0.0
        self._next_drain_at: dict[str, float] = {}
        self.heads = HeadReader(
            ctx,
            may_use=self._may_use_head,
            list_served_workspaces=self.list_served_workspaces,
            get_current=self._get_current,
            on_snapshot=self._apply_snapshot,
        )
        self.peers = Peers(
            ctx,
            directory=directory,
            lease_manager=lease_manager,
            list_served_workspaces=self.list_served_workspaces,
            on_unlisted_root=self._on_unlisted_root,
        )
        self.floors = FloorResponder(
            ctx,
            directory=directory,
            heads=self.heads,
            renew=self._renew_now,
            is_directory_confirmed=self._is_directory_confirmed,
            set_own_floor=configuration.set_floor,
        )
        self._status_writer = ReportWriter(
            ctx, prefix="status", interval_s=STATUS_INTERVAL_S, build=self._build_status
        )
        self._members_writer = ReportWriter(
            ctx,
            prefix="nodes",
            interval_s=MEMBERS_INTERVAL_S,
            build=lambda: build_members_report(ctx),
        )

    def take_free_lease(self, now: float, *, preferred: int | None = None) -> bool:
        """Start to take a free lease; return whether there was one."""
        if not self._ctx.settings.root_eligible or self._ctx.leaving:
            return False
        step = self._lease_manager.choose_take(now, preferred=preferred)
        if step is None:
            return False
        self._write_lease(step, now, self._finish_take)
        return True

    def on_promote(self, message: Promote, now: float) -> None:
        """Try to take a lease that a root found vacant, after watching it for the lease time."""
        if self._ctx.is_root or not self._ctx.settings.root_eligible:
            return
        settings = self._ctx.settings
        if self._promotion_index is None:
            self._promotion_index = message.index
            self._promotion_deadline = now + 3 * settings.lease_s
            self._next_directory_read_at = now

    def tick(self, now: float) -> None:
        """Take the steps that are due."""
        if self._promotion_index is not None and not self._ctx.is_root:
            self._tick_promotion(now)
        if not self._ctx.is_root:
            return
        step = self._lease_manager.choose_renewal(now)
        if step is not None:
            self._write_lease(step, now, self._finish_renewal)
        if now >= self._next_directory_read_at and not self._reading_directory:
            self._read_directory(now)
        self.heads.tick(now)
        self.peers.tick(now)
        self.floors.tick(now)
        self._handle_drains(now)
        self._status_writer.tick(now)
        self._members_writer.tick(now)
        self._drop_unused_histories()

    def resign(self, now: float) -> None:
        """Give up the lease because this node leaves, so that another node can take it at once."""
        if not self._ctx.is_root or self._lease_manager.held_index is None:
            return
        key = format_lease_key(self._ctx.own.availability_zone, self._lease_manager.held_index)
        self._ctx.call(
            "delete", lambda result, now: None, key=key, expected=self._lease_manager.version
        )
        self._end_term(now)

    def list_alternative_roots(self) -> list[Address]:
        """Return the addresses of other roots that children can join instead of this node."""
        return self._directory.list_root_addresses(self._ctx.own.workspace)

    def list_served_workspaces(self) -> set[str]:
        """Return the workspaces of this node and of its children."""
        children = {link.workspace for link in self._ctx.list_links(Role.CHILD)}
        return children | {self._ctx.own.workspace}

    def get_history(self, workspace: str) -> SnapshotHistory | None:
        """Return the snapshots that children of a workspace are sent, or None if there are none."""
        if workspace == self._ctx.own.workspace:
            return self._configuration.history
        return self._histories.get(workspace) if self._ctx.is_root else None

    def request_floor(self, message: FloorRequest, *, link: Link | None) -> None:
        """Queue a floor request from a child's subtree, or of this node if `link` is None."""
        workspace = self._ctx.own.workspace if link is None else link.workspace
        number = OWN_LINK_NUMBER if link is None else link.number
        self.floors.request(message, workspace=workspace, link_number=number)

    # Lease

    def _write_lease(
        self,
        step: LeaseStep,
        now: float,
        finish: Callable[[LeaseStep, int | None, float], None],
    ) -> None:
        """Write the lease object; when the outcome is unknown, read the object back.

        `finish` gets the version written, or None if the write failed or was read back.
        """
        self._lease_manager.start_write(now)
        key = format_lease_key(self._ctx.own.availability_zone, step.index)

        def on_result(result: Any, now: float) -> None:
            if isinstance(result, (ConflictError, OutcomeUnknownError)):
                self._read_lease_back(step, finish)
            elif isinstance(result, IbiswickError):
                self._lease_manager.fail_write()
                finish(step, None, now)
            else:
                self._lease_manager.finish_write(step, result)
                finish(step, result, now)

        own = self._ctx.own
        lease = Lease(
            vm=own.vm,
            host=own.host,
            control_port=own.control_port,
            region=own.region,
            epoch=step.epoch,
        )
        self._ctx.call("put", on_result, key=key, value=lease, expected=step.expected_version)

    def _read_lease_back(
        self, step: LeaseStep, finish: Callable[[LeaseStep, int | None, float], None]
    ) -> None:
        key = format_lease_key(self._ctx.own.availability_zone, step.index)

        def on_result(result: Any, now: float) -> None:
            if isinstance(result, IbiswickError):
                # A later write over the same version shows whether this one took effect.
                self._lease_manager.fail_write()
                finish(step, None, now)
                return
            stored: StoredObject | None = result
            lease = None if stored is None else _parse_lease(stored.value)
            version = 0 if stored is None else stored.version
            self._lease_manager.resolve_write(step, version, lease)
            finish(step, None, now)

        self._ctx.call("get", on_result, key=key)

    def _finish_take(self, step: LeaseStep, _version: int | None, now: float) -> None:
        if self._lease_manager.held_index is None:
            self._on_lease_not_taken(now)
            return
        if self._ctx.leaving:
            self._ctx.is_root = True
            self.resign(now)
            return
        self._promotion_index = None
        self._ctx.is_root = True
        self._ctx.parent_path = ()
        self._ctx.board.lease.set(HeldLease(step.index, step.epoch))
        self._ctx.log("info", "lease-taken", index=step.index, epoch=step.epoch)
        self._announce_deadline = now + self._ctx.settings.link_timeout_s
        self._next_directory_read_at = now
        self._confirmed_leases = None
        self._lease_taken_version = self._lease_manager.version
        self.heads.start(now, min_revision=self._lease_manager.version)
        self._on_lease_taken(now)
        self._ctx.announce(now)

    def _finish_renewal(self, step: LeaseStep, _version: int | None, now: float) -> None:
        if self._lease_manager.held_index is None and self._ctx.is_root:
            self._ctx.log("warn", "lease-lost", index=step.index, epoch=step.epoch)
            self._end_term(now)
            self._on_lease_lost(now)

    def _renew_now(self, done: Callable[[int | None, float], None]) -> bool:
        """Renew the lease at once for floor requests; return whether the renewal started."""
        now = self._ctx.now
        step = self._lease_manager.choose_renewal(now, at_once=True)
        if step is None:
            return False

        def finish(step: LeaseStep, version: int | None, now: float) -> None:
            self._finish_renewal(step, version, now)
            done(version, now)

        self._write_lease(step, now, finish)
        return True

    def _end_term(self, now: float) -> None:
        self._lease_manager.drop_lease()
        self._ctx.is_root = False
        self._ctx.board.lease.set(None)
        self.heads.stop(now)
        self.floors.reset()
        self._status_writer.reset()
        self._members_writer.reset()
        self.peers.stop("no longer a root")
        self._histories.clear()

    def _may_use_head(self, now: float) -> bool:
        """Tell whether newer heads may be used and sent to children.

        A new root first joins the listed roots of its availability zone, so that they include it
        when they find a floor by rule `roots`. Roots that do not answer delay it by the link
        timeout at most.
        """
        if not self._lease_manager.is_valid(now):
            return False
        if now >= self._announce_deadline:
            return True
        # Only a directory read after this lease was taken lists every earlier lease holder.
        if self._directory.revision < self._lease_taken_version:
            return False
        return self.peers.is_announced(self._directory.get_zone_leases())

    # Directory

    def _read_directory(self, now: float) -> None:
        self._reading_directory = True
        lease_s = self._ctx.settings.lease_s
        self._next_directory_read_at = now + lease_s * (0.8 + 0.4 * self._ctx.random.random())
        self._directory.read(self._on_directory_read, all_zones=True)

    def _on_directory_read(self, succeeded: bool, now: float) -> None:
        self._reading_directory = False
        if not self._ctx.is_root:
            return
        self.peers.recheck_pending(now)
        if not succeeded:
            return
        leases = dict(self._directory.get_zone_leases())
        if leases != self._confirmed_leases:
            # Rule `roots` may use changed leases only after the head was read again.
            self._confirm_leases(leases)
        self._promote_child(now)

    def _confirm_leases(self, leases: dict[int, Lease]) -> None:
        def finish(succeeded: bool, _now: float) -> None:
            if succeeded:
                self._confirmed_leases = leases

        self.heads.refresh(finish, min_revision=self._directory.revision)

    def _is_directory_confirmed(self) -> bool:
        return self._confirmed_leases is not None and (
            self._confirmed_leases == self._directory.get_zone_leases()
        )

    def _on_unlisted_root(self, now: float) -> None:
        """Read the directory again because a root joined that it does not list."""
        self._confirmed_leases = None
        self._next_directory_read_at = min(self._next_directory_read_at, now)

    def _promote_child(self, now: float) -> None:
        links = list(self._ctx.list_links(Role.CHILD))
        expired = self._lease_manager.list_expired(now)
        for index in expired:
            if index != self._lease_manager.held_index and links:
                link = self._ctx.random.choice(links)
                self._ctx.send(link, Promote(index), now)

    def _tick_promotion(self, now: float) -> None:
        if now >= self._promotion_deadline:
            self._promotion_index = None
            return
        if now < self._next_directory_read_at or self._reading_directory:
            return
        self._reading_directory = True
        lease_s = self._ctx.settings.lease_s
        self._next_directory_read_at = now + lease_s * (1.0 + 0.2 * self._ctx.random.random())
        self._directory.read(self._on_promotion_read, all_zones=False)

    def _on_promotion_read(self, succeeded: bool, now: float) -> None:
        self._reading_directory = False
        if succeeded and self._promotion_index is not None and not self._ctx.is_root:
            self.take_free_lease(now, preferred=self._promotion_index)

    # Snapshots

    def _get_current(self, workspace: str) -> Snapshot | None:
        if workspace == self._ctx.own.workspace:
            return self._configuration.held
        history = self._histories.get(workspace)
        return None if history is None else history.current

    def _apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        if snapshot.workspace == self._ctx.own.workspace:
            self._configuration.offer(snapshot)
        else:
            self._histories.setdefault(snapshot.workspace, SnapshotHistory()).advance(snapshot)
        self._on_snapshot(snapshot.workspace, now)

    def _drop_unused_histories(self) -> None:
        for workspace in self._histories.keys() - self.list_served_workspaces():
            del self._histories[workspace]
            self.heads.forget(workspace)

    # Drain requests and reports

    def _handle_drains(self, now: float) -> None:
        for vm, stored in list(self.heads.drains.items()):
            entry = self._ctx.member_table.get(vm)
            if entry is None or not isinstance(stored.value, dict):
                continue
            if entry.member.incarnation != stored.value.get("incarnation"):
                continue
            if entry.member.state is MemberState.LEAVING:
                continue
            link = self._ctx.links.get(entry.link_number)
            if entry.link_number == OWN_LINK_NUMBER:
                self._ctx.board.drain_requested.set(True)
            elif link is not None and link.established and link.role is Role.CHILD:
                self._send_drain(link, vm, now)

    def _send_drain(self, link: Link, vm: str, now: float) -> None:
        # Repeated at the heartbeat interval until the VM announces that it leaves.
        if now >= self._next_drain_at.get(vm, 0.0):
            self._next_drain_at[vm] = now + self._ctx.settings.heartbeat_s
            self._ctx.send(link, Drain(vm), now)

    def _build_status(self) -> Any:
        ctx = self._ctx
        workspaces = {}
        for workspace in sorted(self.list_served_workspaces()):
            reports = [
                (link.vm, link.report)
                for link in ctx.list_links(Role.CHILD)
                if link.workspace == workspace and link.report is not None
            ]
            if workspace == ctx.own.workspace:
                own = build_report(
                    vm=ctx.own.vm,
                    snapshot=ctx.board.snapshot.value,
                    refusal=ctx.board.refusal.value,
                    children=(),
                )
                reports.append((ctx.own.vm, own))
            newest = self.heads.index.get_generation(workspace)
            workspaces[workspace] = aggregate_reports(reports, newest=newest)
        return build_root_report(
            ctx,
            index=self._lease_manager.held_index or 0,
            epoch=self._lease_manager.epoch,
            head_generation=self.heads.index.generation,
            workspaces=workspaces,
        )


def _parse_lease(value: Any) -> Lease | None:
    try:
        return msgspec.convert(value, Lease)
    except msgspec.ValidationError:
        return None
