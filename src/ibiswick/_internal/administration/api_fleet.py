"""Serve the state of nodes and of changes on them, and drain VMs."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

from litestar import Controller, Request, delete, get, post
from litestar.params import FromPath, FromQuery

from ..configuration.changes import ChangeAcceptor
from ..shared.errors import NotFoundError
from ..shared.objectapi import Platform
from ..shared.records import Head, Member
from .access import AccessControl
from .api_models import (
    DrainView,
    NodesView,
    NodeView,
    RootStatusView,
    StatusView,
    WorkspaceStatusView,
)
from .fleet import DRAIN_PREFIX, DrainRequest, FleetReader
from .status import (
    ChangeStatus,
    RootStatus,
    WorkspaceStatus,
    compute_status,
    list_changed_workspaces,
)
from .tokens import Action, TokenRecord, can_read_workspace

EMPTY_HEAD = Head(generation=0, change="", manifest="", recent=[])

# Age at which drain requests are removed. A request takes effect within seconds; a VM that is
# unreachable for this long is replaced.
DRAIN_RETENTION_S = 3600.0


class FleetService:
    """Read the state of nodes as written by zone roots, and request drains."""

    def __init__(
        self,
        *,
        acceptor: ChangeAcceptor,
        platform: Platform,
        fleet: FleetReader,
        access: AccessControl,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._acceptor = acceptor
        self._platform = platform
        self._fleet = fleet
        self._access = access
        self._wall_clock = wall_clock

    async def read_status(self, token: TokenRecord, generation: int | None) -> StatusView:
        """Return where a generation, by default the newest, is in effect."""
        stored = await self._acceptor.read_head()
        head: Head = EMPTY_HEAD if stored is None else stored.value
        manifest = await self._acceptor.read_manifest(stored)
        observed = await self._fleet.read_reports_and_leases()
        requested_generation = head["generation"] if generation is None else generation
        changed = list(manifest["workspaces"])
        if generation is not None:
            changed = list_changed_workspaces(generation, head, manifest)
        # A token for some workspaces sees, and waits for, only the nodes of those workspaces.
        readable = [name for name in changed if can_read_workspace(token, name)]
        return _build_status_view(
            compute_status(
                requested_generation,
                head,
                manifest,
                observed.reports,
                observed.leases.current,
                workspace_names=readable,
                expired=observed.leases.expired,
            )
        )

    async def list_nodes(self, token: TokenRecord, workspace: str | None) -> NodesView:
        """List the nodes of the workspaces in the token's scope."""
        if workspace is not None:
            await self._access.require_permission(token, Action.READ, [workspace])
        members = await self._fleet.read_members()
        drains = await self._fleet.read_drain_requests()
        return NodesView(
            items=[
                _build_node_view(member, drains)
                for _, member in sorted(members.items())
                if workspace in (None, member.workspace)
                and can_read_workspace(token, member.workspace)
            ]
        )

    async def request_drain(self, token: TokenRecord, vm: str) -> DrainView:
        """Request a drain of the current incarnation of a VM's node."""
        member = await self._find_member(token, vm)
        await self._remove_expired_drain_requests()
        value = DrainRequest(
            vm=vm, incarnation=member.incarnation, author=token.name, time=self._wall_clock()
        )
        await self._access.run_audited(
            token, "drain", [f"vm/{vm}"], lambda: self._platform.put(DRAIN_PREFIX + vm, value)
        )
        return DrainView(vm=vm, incarnation=member.incarnation, requested=True)

    async def withdraw_drain(self, token: TokenRecord, vm: str) -> DrainView:
        """Withdraw a drain request; an incarnation that has begun to leave still leaves."""
        member = await self._find_member(token, vm)
        await self._access.run_audited(
            token, "undrain", [f"vm/{vm}"], lambda: self._platform.delete(DRAIN_PREFIX + vm)
        )
        return DrainView(vm=vm, incarnation=member.incarnation, requested=False)

    async def _remove_expired_drain_requests(self) -> None:
        """Remove requests older than `DRAIN_RETENTION_S`; every root watches all that remain."""
        oldest = self._wall_clock() - DRAIN_RETENTION_S
        for vm, value in (await self._fleet.read_drain_requests()).items():
            if value["time"] < oldest:
                await self._platform.delete(DRAIN_PREFIX + vm)

    async def _find_member(self, token: TokenRecord, vm: str) -> Member:
        """Return the member; a token without permission cannot find out which other VMs exist."""
        member = (await self._fleet.read_members()).get(vm)
        scope = None if member is None else [member.workspace]
        await self._access.require_permission(token, Action.DRAIN, scope, targets=[f"vm/{vm}"])
        if member is None:
            raise NotFoundError(f"no zone root lists VM {vm}")
        return member


def _build_status_view(status: ChangeStatus) -> StatusView:
    return StatusView(
        generation=status.generation,
        head_generation=status.head_generation,
        complete=status.complete,
        nodes=status.nodes,
        in_effect=status.in_effect,
        roots=status.roots,
        roots_behind=_build_root_views(status.roots_behind),
        roots_expired=_build_root_views(status.roots_expired),
        workspaces={
            name: _build_workspace_view(workspace) for name, workspace in status.workspaces.items()
        },
    )


def _build_root_views(roots: Iterable[RootStatus]) -> list[RootStatusView]:
    return [RootStatusView(**root._asdict()) for root in roots]  # type: ignore[typeddict-item]


def _build_workspace_view(status: WorkspaceStatus) -> WorkspaceStatusView:
    return WorkspaceStatusView(
        generation=status.generation,
        nodes=status.nodes,
        in_effect=status.in_effect,
        behind=status.behind,
        exceptions=list(status.exceptions),
    )


def _build_node_view(member: Member, drains: dict[str, DrainRequest]) -> NodeView:
    drain = drains.get(member.vm)
    return NodeView(
        vm=member.vm,
        workspace=member.workspace,
        service=member.service,
        availability_zone=member.availability_zone,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
        draining=drain is not None and drain["incarnation"] == member.incarnation,
    )


class FleetController(Controller):
    """Serve the status of changes, nodes and drains."""

    path = "/v1"
    tags = ("fleet",)

    @get("/status", summary="Show where a generation is in effect")
    async def read_status(
        self, request: Request[Any, Any, Any], generation: FromQuery[int | None] = None
    ) -> StatusView:
        """Show where a generation is in effect."""
        return await request.app.state.fleet.read_status(request.user, generation)

    @get("/nodes", summary="List nodes")
    async def list_nodes(
        self, request: Request[Any, Any, Any], workspace: FromQuery[str | None] = None
    ) -> NodesView:
        """List nodes."""
        return await request.app.state.fleet.list_nodes(request.user, workspace)

    @post("/nodes/{vm:str}/drain", status_code=200, summary="Request a drain of a VM")
    async def request_drain(self, request: Request[Any, Any, Any], vm: FromPath[str]) -> DrainView:
        """Request a drain of a VM."""
        return await request.app.state.fleet.request_drain(request.user, vm)

    @delete("/nodes/{vm:str}/drain", status_code=200, summary="Withdraw a drain request")
    async def withdraw_drain(self, request: Request[Any, Any, Any], vm: FromPath[str]) -> DrainView:
        """Withdraw a drain request."""
        return await request.app.state.fleet.withdraw_drain(request.user, vm)
