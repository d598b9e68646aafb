"""Accept changes of templates and workspaces by conditional updates of `live/head`.

Each accepted change has its own generation and change record. Changes that are pending at the same
time share one update of the head, which then advances by several generations.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from ..shared.budgets import FairQueue
from ..shared.digests import compute_digest, encode_canonical
from ..shared.errors import (
    ChangeConflictError,
    ConflictError,
    IbiswickError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    Problem,
)
from ..shared.logs import EventLog
from ..shared.objectapi import MAX_VALUE_BYTES, MUST_NOT_EXIST, Platform, StoredObject
from ..shared.records import ChangeRecord, Difference, Head, Manifest, RecentChange
from .blobs import BlobStore
from .chain import FRESH_READ_ATTEMPTS, HEAD_KEY, Chain, DocumentView, HeadState
from .plans import (
    ChangeRequest,
    Plan,
    check_request,
    list_documents,
    list_touched,
    plan_roll_back,
    plan_steps,
)

__all__ = ["ChangeAcceptor", "ChangeRequest", "ChangeResult", "DocumentView", "plan_steps"]

# Generations that `recent` in the head covers; a root that missed more reads the manifest.
MAX_RECENT_GENERATIONS = 16
# Keeps the head below 3 KB unless a single change affects more workspaces than this.
MAX_RECENT_SNAPSHOTS = 32
# Changes that share one update of the head. At about four writes each, they use up the
# administration's share of the platform's rate in less than a second.
MAX_GROUP_CHANGES = 16
# Updates of the head that may fail for one group because other acceptors were first.
MAX_HEAD_CONFLICTS = 30
# Attempts to learn the outcome of an update whose response was lost; at most 11 s of back-off.
OUTCOME_ATTEMPTS = 10
# Attempts of an update that certainly had no effect, so that one rejected call does not fail it.
UPDATE_ATTEMPTS = 3
BACK_OFF_S = 0.05
MAX_BACK_OFF_S = 2.0


class ChangeResult(NamedTuple):
    """Hold the outcome of a change.

    For a dry run, `generation` is the one that the change was checked against. A change that is
    found in the history, because it was submitted before or the response to its update was lost,
    has no differences.
    """

    change_id: str
    generation: int
    snapshots: dict[str, str]
    differences: tuple[Difference, ...]


class _PendingChange:
    """Hold one submitted change until it has an outcome."""

    def __init__(self, request: ChangeRequest, target_generation: int | None) -> None:
        self.request = request
        self.target_generation = target_generation
        self.fingerprint = _compute_fingerprint(request, target_generation)
        self.outcome: asyncio.Future[ChangeResult] = asyncio.get_running_loop().create_future()

    def succeed(self, result: ChangeResult) -> None:
        if not self.outcome.done():
            self.outcome.set_result(result)

    def fail(self, error: BaseException) -> None:
        if not self.outcome.done():
            self.outcome.set_exception(error)
            # Retrieved so that asyncio does not log a warning if no caller is waiting any more.
            self.outcome.exception()


class _HeadConflict(NamedTuple):
    """Hold the version of the head that an update found instead of the expected one."""

    version: int
    may_be_accepted: bool


class _ChangeGroup(NamedTuple):
    """Hold one update of the head, the changes that it accepts and those that are refused."""

    head: Head | None
    blobs: dict[str, Any]
    accepted: list[tuple[_PendingChange, ChangeResult]]
    refused: list[tuple[_PendingChange, IbiswickError]]


class ChangeAcceptor:
    """Accept changes, also concurrently with other acceptors on the same platform.

    `gather_s` is the time for which a change waits for others to share an update of the head.
    `clock` returns seconds since 1970.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        gather_s: float = 0.0,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        random_source: random.Random | None = None,
    ) -> None:
        self._platform = platform
        self._gather_s = gather_s
        self._clock = clock
        self._sleep = sleep
        self._random = random_source if random_source is not None else random.Random()
        self._blobs = BlobStore(platform=platform, sleep=sleep)
        self._chain = Chain(platform=platform, blobs=self._blobs, back_off=self._back_off)
        self._queue: FairQueue[_PendingChange] = FairQueue()
        self._pending: dict[str, _PendingChange] = {}
        self._worker: asyncio.Task[None] | None = None
        self._log = EventLog(component="changes")

    async def submit(self, request: ChangeRequest) -> ChangeResult:
        """Accept a change and return its result; repeating a change id gives the same outcome.

        Raises InvalidInputError and ChangeConflictError for a change that is refused,
        PlatformUnavailableError for one that had no effect, and OutcomeUnknownError for one that
        must be submitted again with its change id to learn its outcome.
        """
        request = _normalize(request)
        check_request(request)
        if request.dry_run:
            return await self._check_dry_run(request, None)
        if not request.templates and not request.workspaces:
            raise InvalidInputError([Problem("request", "$", "a template or a workspace", "none")])
        return await self._enqueue(_PendingChange(request, None))

    async def roll_back(
        self, generation: int, author: str, change_id: str, *, dry_run: bool = False
    ) -> ChangeResult:
        """Accept a new generation with the documents of an older one."""
        note = f"roll back to generation {generation}"
        request = ChangeRequest(change_id, author, note, dry_run=dry_run)
        check_request(request)
        if dry_run:
            return await self._check_dry_run(request, generation)
        return await self._enqueue(_PendingChange(request, generation))

    async def read_head(self) -> StoredObject | None:
        """Return `live/head`, or None before the first change."""
        return await self._chain.read_head()

    async def read_manifest(self, head: StoredObject | None) -> Manifest:
        """Return the manifest that a head refers to."""
        return await self._chain.read_manifest(head)

    async def read_history(
        self, before_generation: int | None = None, limit: int = 50
    ) -> list[ChangeRecord]:
        """Return accepted changes below a generation, newest first."""
        return await self._chain.read_history(before_generation, limit)

    async def read_document(
        self, kind: str, name: str, generation: int | None = None
    ) -> DocumentView | None:
        """Return a template or workspace at a generation, or at the newest; None if missing."""
        return await self._chain.read_document(kind, name, generation)

    async def _check_dry_run(
        self, request: ChangeRequest, target_generation: int | None
    ) -> ChangeResult:
        """Plan a change on the current head without writing anything."""
        state = await self._chain.read_state()
        plan = await self._plan(_PendingChange(request, target_generation), state.manifest, state)
        return ChangeResult(request.change_id, state.generation, plan.snapshots, plan.differences)

    async def _enqueue(self, pending: _PendingChange) -> ChangeResult:
        change_id = pending.request.change_id
        earlier = self._pending.get(change_id)
        if earlier is None:
            self._pending[change_id] = pending
            pending.outcome.add_done_callback(lambda _: self._pending.pop(change_id, None))
            touched = list_touched(pending.request)
            # A change of several documents is queued under the last, which is a workspace unless
            # the change affects templates only.
            self._queue.push(touched[-1] if touched else "", pending)
            if self._worker is None:
                self._worker = asyncio.create_task(self._process_queue())
        elif earlier.fingerprint != pending.fingerprint:
            raise _build_reused_id_error(change_id)
        else:
            pending = earlier
        # A cancelled caller must not cancel the change for others with the same change id.
        return await asyncio.shield(pending.outcome)

    async def _process_queue(self) -> None:
        try:
            while len(self._queue):
                if self._gather_s:
                    await self._sleep(self._gather_s)
                batch = [self._queue.pop() for _ in range(min(len(self._queue), MAX_GROUP_CHANGES))]
                await self._process_batch(batch)
        finally:
            self._worker = None

    async def _process_batch(self, batch: list[_PendingChange]) -> None:
        """Give every change of a batch its outcome, also after an unexpected error."""
        try:
            await self._commit(batch)
        except Exception as error:
            if not isinstance(error, IbiswickError):
                self._log.error("change-failed", detail=repr(error))
            for pending in batch:
                pending.fail(error)
        except asyncio.CancelledError:
            # The update of the head may have been sent.
            for pending in batch:
                pending.fail(OutcomeUnknownError("the acceptor was stopped"))
            raise

    async def _commit(self, batch: list[_PendingChange]) -> None:
        state = await self._chain.read_state()
        remaining = await self._select_unaccepted(batch, state)
        for attempt in range(MAX_HEAD_CONFLICTS):
            if not remaining:
                return
            group = await self._plan_group(state, remaining)
            await self._blobs.write_all(group.blobs)
            conflict = await self._update_head(state, group)
            if conflict is None:
                self._resolve_group(group)
                return
            state, remaining = await self._rebase(state, conflict, remaining)
            await self._back_off(attempt)
        raise PlatformUnavailableError(
            f"gave up after {MAX_HEAD_CONFLICTS} conflicts with other acceptors"
        )

    async def _select_unaccepted(
        self, batch: list[_PendingChange], state: HeadState
    ) -> list[_PendingChange]:
        """Mark the change ids as attempted and return the changes not accepted before.

        The object `changes/<change id>` holds the generation of the head that the first attempt was
        based on. If the change was accepted, its record has a higher generation. The chain is
        therefore searched only for change ids that were attempted before.
        """
        since = await asyncio.gather(*(self._mark_attempted(pending, state) for pending in batch))
        repeated = [generation for generation in since if generation is not None]
        if not repeated:
            return batch
        return await self._resolve_accepted(batch, state.record_digest, above=min(repeated))

    async def _mark_attempted(self, pending: _PendingChange, state: HeadState) -> int | None:
        """Return the generation of an earlier attempt, or None for the first one."""
        key = f"changes/{pending.request.change_id}"
        for attempt in range(FRESH_READ_ATTEMPTS):
            try:
                await self._platform.put(key, {"since": state.generation}, expected=MUST_NOT_EXIST)
                return None
            except ConflictError:
                found = await self._platform.get(key)
                if found is not None:
                    since: int = found.value["since"]
                    return since
            except (OutcomeUnknownError, PlatformUnavailableError):
                pass
            await self._back_off(attempt)
        raise PlatformUnavailableError(f"no conclusive response about {key}")

    async def _plan_group(self, state: HeadState, batch: list[_PendingChange]) -> _ChangeGroup:
        """Plan each change on the result of the previous one; a refused change has no effect."""
        group = _ChangeGroup(None, {}, [], [])
        manifest, record_digest, recent = state.manifest, state.record_digest, list(state.recent)
        generation = state.generation
        for pending in batch:
            try:
                plan = await self._plan(
                    pending, manifest, state, generation=generation + 1, unwritten=group.blobs
                )
                record = self._build_record(pending, plan, generation + 1, record_digest)
                _check_sizes(record, plan.manifest)
            except (InvalidInputError, ChangeConflictError) as error:
                group.refused.append((pending, error))
                continue
            generation += 1
            manifest = plan.manifest
            record_digest = compute_digest(record)
            group.blobs.update(plan.blobs)
            group.blobs[record["manifest"]] = manifest
            group.blobs[record_digest] = record
            recent.append(_build_recent(record))
            group.accepted.append((pending, _build_result(record, plan.differences)))
        if record_digest is None or not group.accepted:
            return group
        head = Head(
            generation=generation,
            change=record_digest,
            manifest=compute_digest(manifest),
            recent=_trim_recent(recent),
        )
        return group._replace(head=head)

    async def _plan(
        self,
        pending: _PendingChange,
        manifest: Manifest,
        state: HeadState,
        *,
        generation: int | None = None,
        unwritten: Mapping[str, Any] | None = None,
    ) -> Plan:
        """Plan one change on a manifest; `unwritten` holds blobs that are not yet written."""
        request, unwritten = pending.request, unwritten or {}
        documents = await self._read_documents(list_documents(manifest), unwritten)
        bases = await self._chain.read_bases(request, manifest, state.record_digest)
        if pending.target_generation is not None:
            old = await self._chain.read_old_manifest(
                state.record_digest, pending.target_generation
            )
            documents |= await self._read_documents(list_documents(old), unwritten)
            request = plan_roll_back(manifest, old, documents, request)
        steps = plan_steps(
            manifest,
            documents,
            request,
            generation=state.generation + 1 if generation is None else generation,
            bases=bases,
        )
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                plan: Plan = stop.value
                return plan
            await asyncio.sleep(0)

    async def _read_documents(
        self, digests: list[str], unwritten: Mapping[str, Any]
    ) -> dict[str, Any]:
        documents = {digest: unwritten[digest] for digest in digests if digest in unwritten}
        return documents | await self._blobs.read_all(set(digests) - documents.keys())

    def _build_record(
        self, pending: _PendingChange, plan: Plan, generation: int, previous: str | None
    ) -> ChangeRecord:
        return ChangeRecord(
            generation=generation,
            change_id=pending.request.change_id,
            author=pending.request.author,
            time=self._clock(),
            note=pending.request.note,
            touched=plan.touched,
            request=pending.fingerprint,
            snapshots=plan.snapshots,
            manifest=compute_digest(plan.manifest),
            previous=previous,
        )

    async def _update_head(self, state: HeadState, group: _ChangeGroup) -> _HeadConflict | None:
        """Update the head; return None on success.

        An update whose response was lost is repeated with the same condition, so that at most one
        of the attempts can take effect. A conflict then means that the head has advanced, by one of
        these attempts or by another acceptor.
        """
        if group.head is None:
            return None
        may_be_accepted = False
        for attempt in range(OUTCOME_ATTEMPTS):
            try:
                await self._platform.put(HEAD_KEY, group.head, expected=state.version)
                return None
            except ConflictError as error:
                return _HeadConflict(error.current, may_be_accepted)
            except OutcomeUnknownError:
                may_be_accepted = True
            except PlatformUnavailableError:
                if not may_be_accepted and attempt >= UPDATE_ATTEMPTS - 1:
                    raise
            await self._back_off(attempt)
        raise OutcomeUnknownError("the platform did not confirm whether the change was accepted")

    async def _rebase(
        self, state: HeadState, conflict: _HeadConflict, batch: list[_PendingChange]
    ) -> tuple[HeadState, list[_PendingChange]]:
        """Return the newest state and the changes that are not in its chain.

        The chain shows whether an update whose response was lost took effect, and which changes
        another acceptor has accepted in the meantime.
        """
        try:
            newest = await self._chain.read_state(min_version=conflict.version)
            remaining = await self._resolve_accepted(
                batch, newest.record_digest, above=state.generation
            )
        except PlatformError as error:
            if conflict.may_be_accepted:
                raise OutcomeUnknownError(error.detail) from error
            raise
        return newest, remaining

    async def _resolve_accepted(
        self, batch: list[_PendingChange], newest_digest: str | None, *, above: int
    ) -> list[_PendingChange]:
        """Set the outcome of changes that are in the chain, and return the others."""
        by_id = {pending.request.change_id: pending for pending in batch}
        async for record in self._chain.walk(newest_digest, above=above):
            pending = by_id.pop(record["change_id"], None)
            if pending is None:
                continue
            if record["request"] != pending.fingerprint:
                pending.fail(_build_reused_id_error(record["change_id"]))
            else:
                pending.succeed(_build_result(record, ()))
        return list(by_id.values())

    def _resolve_group(self, group: _ChangeGroup) -> None:
        for pending, result in group.accepted:
            self._log.info(
                "change-accepted", change_id=result.change_id, generation=result.generation
            )
            pending.succeed(result)
        for pending, error in group.refused:
            self._log.info("change-refused", change_id=pending.request.change_id, code=error.code)
            pending.fail(error)

    async def _back_off(self, attempt: int) -> None:
        await self._sleep(self._random.uniform(0, min(BACK_OFF_S * 2**attempt, MAX_BACK_OFF_S)))


def _normalize(request: ChangeRequest) -> ChangeRequest:
    """Copy the documents in the form in which the platform returns them.

    A document that can't be encoded as JSON is kept as it is; its check reports the error.
    """
    return request._replace(
        templates={name: _copy_as_json(document) for name, document in request.templates.items()},
        workspaces={name: _copy_as_json(document) for name, document in request.workspaces.items()},
        base=dict(request.base),
    )


def _copy_as_json(document: Any) -> Any:
    try:
        return msgspec.json.decode(msgspec.json.encode(document))
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError):
        return document


def _compute_fingerprint(request: ChangeRequest, target_generation: int | None) -> str:
    try:
        return compute_digest(
            {
                "templates": request.templates,
                "workspaces": request.workspaces,
                "target": target_generation,
            }
        )
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError):
        # The documents can't be encoded as JSON, so the change will be refused.
        return ""


def _build_reused_id_error(change_id: str) -> InvalidInputError:
    expected = "a change id that no other change has used"
    return InvalidInputError([Problem("request", "$.change_id", expected, change_id)])


def _check_sizes(record: ChangeRecord, manifest: Manifest) -> None:
    """Raise InvalidInputError for a record or manifest that is too large for the platform.

    The documents and snapshots themselves are checked when the change is planned.
    """
    for path, value in (("$.touched", record), ("$.manifest", manifest)):
        size = len(encode_canonical(value))
        if size > MAX_VALUE_BYTES:
            expected = f"at most {MAX_VALUE_BYTES} bytes for all names"
            raise InvalidInputError([Problem("request", path, expected, f"{size} bytes")])


def _build_recent(record: ChangeRecord) -> RecentChange:
    return RecentChange(
        generation=record["generation"],
        change_id=record["change_id"],
        snapshots=record["snapshots"],
    )


def _build_result(record: ChangeRecord, differences: tuple[Difference, ...]) -> ChangeResult:
    return ChangeResult(record["change_id"], record["generation"], record["snapshots"], differences)


def _trim_recent(recent: list[RecentChange]) -> list[RecentChange]:
    """Keep the newest generations, as many as fit, but at least the newest one."""
    kept: list[RecentChange] = []
    snapshots = 0
    for change in reversed(recent[-MAX_RECENT_GENERATIONS:]):
        snapshots += len(change["snapshots"])
        if kept and snapshots > MAX_RECENT_SNAPSHOTS:
            break
        kept.append(change)
    return kept[::-1]
