"""Serve the current templates and workspaces."""

from __future__ import annotations

from typing import Any

from litestar import Controller, Request, get
from litestar.params import FromPath

from ..configuration.changes import ChangeAcceptor
from ..shared.errors import NotFoundError
from ..shared.records import Manifest
from .access import AccessControl
from .api_models import DocumentView, ItemsView
from .tokens import Action, TokenRecord, can_read_workspace


class DocumentService:
    """Read templates and workspaces with the digests that changes are based on."""

    def __init__(self, *, acceptor: ChangeAcceptor, access: AccessControl) -> None:
        self._acceptor = acceptor
        self._access = access

    async def list_templates(self) -> ItemsView:
        """List every template."""
        generation, manifest = await self._read_manifest()
        items = [
            {"name": name, "digest": digest}
            for name, digest in sorted(manifest["templates"].items())
        ]
        return ItemsView(generation=generation, items=items)

    async def list_workspaces(self, token: TokenRecord) -> ItemsView:
        """List the workspaces in the token's scope."""
        generation, manifest = await self._read_manifest()
        items = [
            {
                "name": name,
                "digest": workspace["parameters"],
                "snapshot": workspace["snapshot"],
                "generation": workspace["generation"],
            }
            for name, workspace in sorted(manifest["workspaces"].items())
            if can_read_workspace(token, name)
        ]
        return ItemsView(generation=generation, items=items)

    async def read_template(self, name: str) -> DocumentView:
        """Return one template."""
        return await self._read_document("template", name)

    async def read_workspace(self, token: TokenRecord, name: str) -> DocumentView:
        """Return one workspace."""
        await self._access.require_permission(
            token, Action.READ, [name], targets=[f"workspace/{name}"]
        )
        return await self._read_document("workspace", name)

    async def _read_manifest(self) -> tuple[int, Manifest]:
        head = await self._acceptor.read_head()
        generation = 0 if head is None else head.value["generation"]
        return generation, await self._acceptor.read_manifest(head)

    async def _read_document(self, kind: str, name: str) -> DocumentView:
        found = await self._acceptor.read_document(kind, name)
        if found is None:
            raise NotFoundError(f"no {kind} {name}")
        return DocumentView(
            name=name, generation=found.generation, digest=found.digest, document=found.document
        )


class DocumentController(Controller):
    """Serve templates and workspaces."""

    path = "/v1"
    tags = ("documents",)

    @get("/templates", summary="List templates")
    async def list_templates(self, request: Request[Any, Any, Any]) -> ItemsView:
        """List templates."""
        return await request.app.state.documents.list_templates()

    @get("/templates/{name:str}", summary="Read a template")
    async def read_template(
        self, request: Request[Any, Any, Any], name: FromPath[str]
    ) -> DocumentView:
        """Read a template."""
        return await request.app.state.documents.read_template(name)

    @get("/workspaces", summary="List workspaces")
    async def list_workspaces(self, request: Request[Any, Any, Any]) -> ItemsView:
        """List workspaces."""
        return await request.app.state.documents.list_workspaces(request.user)

    @get("/workspaces/{name:str}", summary="Read a workspace")
    async def read_workspace(
        self, request: Request[Any, Any, Any], name: FromPath[str]
    ) -> DocumentView:
        """Read a workspace."""
        return await request.app.state.documents.read_workspace(request.user, name)
