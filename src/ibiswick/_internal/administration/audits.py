"""Record operations that operators attempt, and their outcomes, in the audit trail."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from ..shared.errors import OutcomeUnknownError, PlatformError
from ..shared.logs import EventLog
from ..shared.objectapi import Platform

AUDIT_PREFIX = "audit/"
# An attempt older than this that is not in the history was not accepted, because platform timeouts
# end every attempt within seconds.
MAX_ATTEMPT_DURATION_S = 60.0
MAX_PAGE_ENTRIES = 200
OUTCOME_WRITE_TRIES = 2
# Actions that create a generation, so that the history shows their outcome.
HISTORY_ACTIONS = frozenset({"change", "roll-back"})
KEY_TIME_FORMAT = "%Y%m%dT%H%M%S.%fZ"
CURSOR_PATTERN = re.compile(r"\d{8}T\d{6}\.\d{6}Z-[A-Za-z0-9._-]{1,64}")

AuditState = Literal[
    "attempted", "accepted", "done", "refused", "conflict", "unknown", "not-accepted"
]


class AuditEntry(TypedDict):
    """Hold one audit entry, stored under `audit/<time>-<change id>`.

    An operation without a change id has a random `change_id`.
    """

    time: str
    change_id: str
    author: str
    action: str
    targets: list[str]
    note: str
    state: AuditState
    # Head generation before the attempt; the history is searched only above it.
    base_generation: int
    generation: NotRequired[int]
    code: NotRequired[str]
    detail: NotRequired[str]
    problems: NotRequired[list[dict[str, str]]]


class AuditPage(NamedTuple):
    """Hold entries, newest first; `next_cursor` requests the next page, None on the last one."""

    entries: tuple[AuditEntry, ...]
    next_cursor: str | None


# Maps the given change ids to their generations, if the history lists them above a generation.
FindGenerations = Callable[[set[str], int], Awaitable[dict[str, int]]]


def build_entry(
    *,
    now: float,
    change_id: str,
    author: str,
    action: str,
    targets: list[str],
    note: str = "",
    base_generation: int = 0,
) -> AuditEntry:
    """Build the entry of an attempt at Unix time `now`."""
    return AuditEntry(
        time=datetime.fromtimestamp(now, UTC).strftime(KEY_TIME_FORMAT),
        change_id=change_id,
        author=author,
        action=action,
        targets=targets,
        note=note,
        state="attempted",
        base_generation=base_generation,
    )


class AuditTrail:
    """Write and read audit entries."""

    def __init__(self, *, platform: Platform) -> None:
        self._platform = platform
        self._log = EventLog(component="audits")

    async def record_attempt(self, entry: AuditEntry) -> None:
        """Write the entry of an attempt; the operation may start only after this succeeds."""
        key = _build_key(entry)
        try:
            await self._platform.put(key, entry)
        except OutcomeUnknownError:
            # The key is unique to this attempt, so writing it twice is harmless.
            await self._platform.put(key, entry)

    async def record_outcome(self, entry: AuditEntry, state: AuditState, **outcome: Any) -> None:
        """Write the outcome; if that fails, the entry stays "attempted" and is resolved on read."""
        completed = {**entry, **outcome, "state": state}
        for write_try in range(OUTCOME_WRITE_TRIES):
            try:
                await self._platform.put(_build_key(entry), completed)
            except PlatformError as error:
                if write_try == OUTCOME_WRITE_TRIES - 1:
                    change_id = entry["change_id"]
                    self._log.warn(
                        "audit-incomplete", change_id=change_id, state=state, code=error.code
                    )
            else:
                return

    async def read_page(
        self, *, before: str | None, limit: int, now: float, find_generations: FindGenerations
    ) -> AuditPage:
        """Return a page of entries, with outcomes taken from the history where it shows them."""
        after = "" if before is None else AUDIT_PREFIX + before
        listing = await self._platform.list(AUDIT_PREFIX, after=after, limit=limit, reverse=True)
        entries = await self._resolve(
            [item.value for item in listing.objects], now, find_generations
        )
        page_is_full = len(listing.objects) == limit
        next_cursor = listing.objects[-1].key.removeprefix(AUDIT_PREFIX) if page_is_full else None
        return AuditPage(tuple(entries), next_cursor)

    async def _resolve(
        self, entries: list[AuditEntry], now: float, find_generations: FindGenerations
    ) -> list[AuditEntry]:
        unresolved = {entry["change_id"]: entry for entry in entries if is_unresolved(entry)}
        if not unresolved:
            return entries
        oldest = min(entry["base_generation"] for entry in unresolved.values())
        generations = await find_generations(set(unresolved), oldest)
        return [resolve_entry(entry, generations, now=now) for entry in entries]


def is_unresolved(entry: AuditEntry) -> bool:
    """Check whether the outcome of an entry must be looked up in the history."""
    return entry["action"] in HISTORY_ACTIONS and entry["state"] in ("attempted", "unknown")


def resolve_entry(entry: AuditEntry, generations: dict[str, int], *, now: float) -> AuditEntry:
    """Return the entry; if it is unresolved, with the outcome that the history shows."""
    if not is_unresolved(entry):
        return entry
    generation = generations.get(entry["change_id"])
    if generation is not None:
        return {**entry, "state": "accepted", "generation": generation}
    if now - parse_time(entry["time"]) < MAX_ATTEMPT_DURATION_S:
        return entry
    return {**entry, "state": "not-accepted"}


def parse_time(text: str) -> float:
    """Return the Unix time of an entry.

    >>> parse_time("19700101T000001.500000Z")
    1.5
    """
    return datetime.strptime(text, KEY_TIME_FORMAT).replace(tzinfo=UTC).timestamp()


def _build_key(entry: AuditEntry) -> str:
    return f"{AUDIT_PREFIX}{entry['time']}-{entry['change_id']}"
