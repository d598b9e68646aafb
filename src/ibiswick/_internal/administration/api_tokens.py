"""Manage bearer tokens over the administration API."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from litestar import Controller, Request, delete, get, post
from litestar.params import FromPath, JSONBody

from ..shared.errors import NotFoundError
from .access import AccessControl
from .api_models import NewTokenView, TokenBody, TokensView, TokenView
from .tokens import (
    ALL_WORKSPACES,
    Action,
    TokenRecord,
    TokenStore,
    create_token,
    encode_record,
    parse_role,
)


class TokenService:
    """Create, list and remove tokens."""

    def __init__(
        self,
        *,
        store: TokenStore,
        access: AccessControl,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._access = access
        self._wall_clock = wall_clock

    async def list(self, token: TokenRecord) -> TokensView:
        """List all tokens."""
        await self._access.require_permission(token, Action.MANAGE_TOKENS, None)
        return TokensView(items=[build_token_view(record) for record in await self._store.list()])

    async def add(self, token: TokenRecord, body: TokenBody) -> NewTokenView:
        """Create a token and return its text."""
        targets = [f"token/{body.name}"]
        await self._access.require_permission(token, Action.MANAGE_TOKENS, None, targets=targets)
        now = self._wall_clock()
        scope = None if body.workspaces == ALL_WORKSPACES else body.workspaces
        expires = None if body.expires_in_s is None else now + body.expires_in_s
        record, text = create_token(
            body.name, parse_role(body.role), scope, now=now, expires=expires
        )
        await self._access.run_audited(token, "add-token", targets, lambda: self._store.add(record))
        return NewTokenView(name=body.name, token=text)

    async def remove(self, token: TokenRecord, name: str) -> None:
        """Remove a token."""
        targets = [f"token/{name}"]
        await self._access.require_permission(token, Action.MANAGE_TOKENS, None, targets=targets)
        if await self._store.read(name) is None:
            raise NotFoundError(f"no token {name}")
        await self._access.run_audited(
            token, "remove-token", targets, lambda: self._store.remove(name)
        )


def build_token_view(record: TokenRecord) -> TokenView:
    """Return a record without salt and hash."""
    value = encode_record(record)
    return TokenView(**{key: value[key] for key in TokenView.__annotations__})  # type: ignore


class TokenController(Controller):
    """Serve tokens."""

    path = "/v1/tokens"
    tags = ("tokens",)

    @get(summary="List tokens")
    async def list(self, request: Request[Any, Any, Any]) -> TokensView:
        """List tokens."""
        return await request.app.state.tokens.list(request.user)

    @post(summary="Create a token")
    async def add(self, request: Request[Any, Any, Any], data: JSONBody[TokenBody]) -> NewTokenView:
        """Create a token."""
        return await request.app.state.tokens.add(request.user, data)

    @delete("/{name:str}", summary="Remove a token")
    async def remove(self, request: Request[Any, Any, Any], name: FromPath[str]) -> None:
        """Remove a token."""
        await request.app.state.tokens.remove(request.user, name)
