"""Authorize requests and record them in the audit trail."""

from __future__ import annotations

import time
import uuid
from collections.abc import Awaitable, Callable, Collection
from typing import Any, TypeVar

from ..shared.budgets import TokenBucket
from ..shared.errors import (
    ConflictError,
    ForbiddenError,
    IbiswickError,
    InvalidInputError,
    OutcomeUnknownError,
)
from ..shared.logs import EventLog
from .audits import AuditEntry, AuditState, AuditTrail, build_entry
from .tokens import Action, TokenRecord, require_permission

T = TypeVar("T")

# Limit of audit entries for refusals, so that a token without permissions cannot use up the share
# of platform writes. Refusals above the limit are only logged.
AUDITED_REFUSALS_PER_S = 5.0
AUDITED_REFUSALS_BURST = 20.0


class AccessControl:
    """Authorize requests, and write audit entries before and after operations."""

    def __init__(
        self,
        *,
        trail: AuditTrail,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._trail = trail
        self._clock = clock
        self._wall_clock = wall_clock
        self._refusal_budget = TokenBucket(AUDITED_REFUSALS_PER_S, AUDITED_REFUSALS_BURST)
        self._log = EventLog(component="access")

    async def require_permission(
        self,
        token: TokenRecord,
        action: Action,
        workspaces: Collection[str] | None,
        *,
        targets: Collection[str] = (),
        change_id: str | None = None,
    ) -> None:
        """Write an audit entry and raise ForbiddenError unless the token permits the action."""
        try:
            require_permission(token, action, workspaces)
        except ForbiddenError as error:
            await self._audit_refusal(token, action, targets, change_id, error)
            raise

    async def run_audited(
        self,
        token: TokenRecord,
        action: str,
        targets: Collection[str],
        operation: Callable[[], Awaitable[T]],
        *,
        describe_result: Callable[[T], dict[str, Any]] | None = None,
        change_id: str | None = None,
        note: str = "",
        base_generation: int = 0,
    ) -> T:
        """Record an attempt, run the operation and record the outcome.

        `describe_result` returns the fields that the result adds to the audit entry. The state
        of a success is "accepted" with `describe_result`, which operations that create a generation
        pass, and "done" without.
        """
        entry = self._build_entry(token, action, targets, change_id)
        entry = AuditEntry(**{**entry, "note": note, "base_generation": base_generation})
        await self._trail.record_attempt(entry)
        try:
            result = await operation()
        except IbiswickError as error:
            await self._trail.record_outcome(
                entry, _get_audit_state(error), **_describe_error(error)
            )
            raise
        outcome = {} if describe_result is None else describe_result(result)
        await self._trail.record_outcome(
            entry, "accepted" if describe_result else "done", **outcome
        )
        return result

    def _build_entry(
        self, token: TokenRecord, action: str, targets: Collection[str], change_id: str | None
    ) -> AuditEntry:
        return build_entry(
            now=self._wall_clock(),
            change_id=change_id or uuid.uuid4().hex,
            author=token.name,
            action=action,
            targets=sorted(targets),
        )

    async def _audit_refusal(
        self,
        token: TokenRecord,
        action: Action,
        targets: Collection[str],
        change_id: str | None,
        error: ForbiddenError,
    ) -> None:
        self._log.warn("request-refused", token=token.name, action=action, detail=error)
        # A wait of more than 0 s means that the limit is exceeded.
        if self._refusal_budget.take(self._clock()) > 0:
            return
        entry = self._build_entry(token, action, targets, change_id)
        await self._trail.record_outcome(entry, "refused", **_describe_error(error))


def _get_audit_state(error: IbiswickError) -> AuditState:
    if isinstance(error, OutcomeUnknownError):
        return "unknown"
    return "conflict" if isinstance(error, ConflictError) else "refused"


def _describe_error(error: IbiswickError) -> dict[str, Any]:
    outcome: dict[str, Any] = {"code": error.code, "detail": error.detail}
    if isinstance(error, InvalidInputError):
        outcome["problems"] = [problem._asdict() for problem in error.problems]
    return outcome
