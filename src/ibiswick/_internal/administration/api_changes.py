"""Accept changes and rollbacks, and report their outcomes."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

from litestar import Controller, Request, get, post
from litestar.exceptions import ValidationException
from litestar.params import FromPath, FromQuery, JSONBody

from ..configuration.changes import ChangeAcceptor, ChangeRequest, ChangeResult
from ..configuration.plans import list_touched
from ..shared.errors import InvalidInputError, NotFoundError, Problem
from ..shared.records import ChangeRecord
from .access import AccessControl
from .api_models import ChangeBody, ChangeView, PageView, RollbackBody
from .audits import CURSOR_PATTERN, MAX_PAGE_ENTRIES, AuditEntry, AuditTrail
from .tokens import Action, TokenRecord, authorize, can_read_workspace

# Accepted changes are looked up by id for retries and audit entries, which are recent. At the
# design rate of 50,000 changes per day this covers the last seven minutes.
MAX_HISTORY_SEARCH = 256


class ChangeService:
    """Accept changes and rollbacks, and report their outcomes."""

    def __init__(
        self,
        *,
        acceptor: ChangeAcceptor,
        access: AccessControl,
        trail: AuditTrail,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._acceptor = acceptor
        self._access = access
        self._trail = trail
        self._wall_clock = wall_clock

    async def submit(self, token: TokenRecord, body: ChangeBody) -> ChangeView:
        """Accept a change; a retry with the same change id returns the first outcome."""
        request = _build_request(token, body)
        targets = list_touched(request)
        await self._require_change_permission(token, request, targets)
        _check_base(request, targets)
        if body.dry_run:
            return _build_result_view(await self._acceptor.submit(request), state="dry")
        return await self._run_audited(
            token,
            "change",
            targets,
            body.change_id,
            lambda: self._acceptor.submit(request),
            note=body.note,
        )

    async def roll_back(self, token: TokenRecord, body: RollbackBody) -> ChangeView:
        """Create a new generation with the content of an old one."""
        targets = [f"generation/{body.generation}"]
        await self._access.require_permission(
            token, Action.ROLL_BACK, None, targets=targets, change_id=body.change_id
        )
        return await self._run_audited(
            token,
            "roll-back",
            targets,
            body.change_id,
            lambda: self._acceptor.roll_back(body.generation, token.name, body.change_id),
        )

    async def read(self, token: TokenRecord, change_id: str) -> ChangeView:
        """Return the outcome of a change; raise NotFoundError if the change is unknown."""
        generations = await self.find_generations({change_id}, 0)
        if change_id in generations:
            return ChangeView(
                change_id=change_id, state="accepted", generation=generations[change_id]
            )
        page = await self._read_audit_page(None, MAX_PAGE_ENTRIES)
        for entry in page.entries:
            if entry["change_id"] == change_id and _can_read_entry(token, entry):
                return _build_entry_view(entry)
        raise NotFoundError(f"no recent change {change_id}")

    async def read_history(self, token: TokenRecord, before: int | None, limit: int) -> PageView:
        """Return accepted changes of documents that the token may read, newest first."""
        records = await self._acceptor.read_history(before, limit)
        next_cursor = str(records[-1]["generation"]) if len(records) == limit else None
        views = [_build_record_view(token, record) for record in records]
        return PageView(items=[view for view in views if view is not None], next=next_cursor)

    async def read_audit(self, token: TokenRecord, before: str | None, limit: int) -> PageView:
        """Return audit entries, newest first."""
        await self._access.require_permission(token, Action.READ_AUDIT, None)
        if before is not None and not CURSOR_PATTERN.fullmatch(before):
            raise ValidationException("before must be a cursor from an earlier page")
        page = await self._read_audit_page(before, limit)
        return PageView(items=[dict(entry) for entry in page.entries], next=page.next_cursor)

    async def find_generations(self, change_ids: set[str], above_generation: int) -> dict[str, int]:
        """Map the given change ids to their generations; other ids are omitted.

        This searches the recent changes in the head, then up to `MAX_HISTORY_SEARCH` changes of the
        history above `above_generation`.
        """
        head = await self._acceptor.read_head()
        if head is None:
            return {}
        found = {
            change["change_id"]: change["generation"]
            for change in head.value["recent"]
            if change["change_id"] in change_ids
        }
        limit = min(head.value["generation"] - above_generation, MAX_HISTORY_SEARCH)
        if len(found) < len(change_ids) and limit > 0:
            for record in await self._acceptor.read_history(limit=limit):
                if record["change_id"] in change_ids:
                    found[record["change_id"]] = record["generation"]
        return found

    async def _require_change_permission(
        self, token: TokenRecord, request: ChangeRequest, targets: list[str]
    ) -> None:
        # Any workspace may use a template, so changing one requires a token for all workspaces.
        if request.templates:
            await self._access.require_permission(
                token, Action.CHANGE_TEMPLATES, None, targets=targets, change_id=request.change_id
            )
        await self._access.require_permission(
            token,
            Action.CHANGE_PARAMETERS,
            list(request.workspaces),
            targets=targets,
            change_id=request.change_id,
        )

    async def _run_audited(
        self,
        token: TokenRecord,
        action: str,
        targets: list[str],
        change_id: str,
        operation: Callable[[], Awaitable[ChangeResult]],
        *,
        note: str = "",
    ) -> ChangeView:
        head = await self._acceptor.read_head()
        result = await self._access.run_audited(
            token,
            action,
            targets,
            operation,
            describe_result=lambda result: {"generation": result.generation},
            change_id=change_id,
            note=note,
            base_generation=0 if head is None else head.value["generation"],
        )
        return _build_result_view(result, state="accepted")

    async def _read_audit_page(self, before: str | None, limit: int) -> Any:
        return await self._trail.read_page(
            before=before,
            limit=limit,
            now=self._wall_clock(),
            find_generations=self.find_generations,
        )


def _build_request(token: TokenRecord, body: ChangeBody) -> ChangeRequest:
    return ChangeRequest(
        change_id=body.change_id,
        author=token.name,
        note=body.note,
        templates=body.templates,
        workspaces=body.workspaces,
        base=body.base,
        dry_run=body.dry_run,
    )


def _check_base(request: ChangeRequest, targets: list[str]) -> None:
    """Reject a change of a document without a base digest.

    The acceptor does not compare such a document, so another operator's change would be lost.
    """
    problems = [
        Problem(
            "request",
            f"$.base.{target}",
            "the digest that the change is based on, or null",
            "nothing",
        )
        for target in targets
        if target not in request.base
    ]
    if problems:
        raise InvalidInputError(problems)


def _build_result_view(result: ChangeResult, *, state: Any) -> ChangeView:
    return ChangeView(
        change_id=result.change_id,
        state=state,
        generation=result.generation,
        snapshots=dict(result.snapshots),
        differences=[item._asdict() for item in result.differences],
    )


def _build_entry_view(entry: AuditEntry) -> ChangeView:
    view = ChangeView(
        change_id=entry["change_id"], state=entry["state"], generation=entry.get("generation")
    )
    if "code" in entry:
        view["code"] = entry["code"]
    if "problems" in entry:
        view["problems"] = entry["problems"]  # type: ignore[typeddict-item]
    return view


def _build_record_view(token: TokenRecord, record: ChangeRecord) -> dict[str, Any] | None:
    """Return the parts of a change that a token may read, or None if there are none."""
    touched = [target for target in record["touched"] if _can_read_target(token, target)]
    if not touched:
        return None
    snapshots = {
        name: digest
        for name, digest in record["snapshots"].items()
        if can_read_workspace(token, name)
    }
    return {
        "generation": record["generation"],
        "change_id": record["change_id"],
        "author": record["author"],
        "time": record["time"],
        "note": record["note"],
        "touched": touched,
        "snapshots": snapshots,
    }


def _can_read_target(token: TokenRecord, target: str) -> bool:
    kind, _, name = target.partition("/")
    return kind == "template" or can_read_workspace(token, name)


def _can_read_entry(token: TokenRecord, entry: AuditEntry) -> bool:
    can_read_audit = authorize(token, Action.READ_AUDIT, None).allowed
    return can_read_audit or entry["author"] == token.name


class ChangeController(Controller):
    """Serve changes, rollbacks, the history and the audit trail."""

    path = "/v1"
    tags = ("changes",)

    @post("/changes", status_code=200, summary="Accept a change, or check it with dry_run")
    async def submit(
        self, request: Request[Any, Any, Any], data: JSONBody[ChangeBody]
    ) -> ChangeView:
        """Accept a change."""
        return await request.app.state.changes.submit(request.user, data)

    @get("/changes/{change_id:str}", summary="Read the outcome of a change")
    async def read(self, request: Request[Any, Any, Any], change_id: FromPath[str]) -> ChangeView:
        """Read the outcome of a change."""
        return await request.app.state.changes.read(request.user, change_id)

    @post(
        "/rollback", status_code=200, summary="Create a generation with the content of an old one"
    )
    async def roll_back(
        self, request: Request[Any, Any, Any], data: JSONBody[RollbackBody]
    ) -> ChangeView:
        """Create a generation with the content of an old one."""
        return await request.app.state.changes.roll_back(request.user, data)

    @get("/history", summary="List accepted changes, newest first")
    async def read_history(
        self,
        request: Request[Any, Any, Any],
        before: FromQuery[int | None] = None,
        limit: FromQuery[int] = 50,
    ) -> PageView:
        """List accepted changes."""
        _check_page_limit(limit)
        return await request.app.state.changes.read_history(request.user, before, limit)

    @get("/audit", summary="List audit entries, newest first")
    async def read_audit(
        self,
        request: Request[Any, Any, Any],
        before: FromQuery[str | None] = None,
        limit: FromQuery[int] = 50,
    ) -> PageView:
        """List audit entries."""
        _check_page_limit(limit)
        return await request.app.state.changes.read_audit(request.user, before, limit)


def _check_page_limit(limit: int) -> None:
    if not 1 <= limit <= MAX_PAGE_ENTRIES:
        raise ValidationException(f"limit must be from 1 to {MAX_PAGE_ENTRIES}, not {limit}")
