"""Read committed heads and the snapshots of the workspaces that a root carries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..configuration.snapshots import parse_snapshot
from ..shared.errors import IbiswickError, SnapshotError
from ..shared.objectapi import Listing, StoredObject
from ..shared.records import Head, Manifest, Snapshot
from .context import Context
from .floors import HeadIndex, WorkspaceVersion, build_empty_snapshot
from .relay import SendGate

LIVE_PREFIX = "live/"
HEAD_KEY = "live/head"
DRAIN_PREFIX = "live/drain/"
WATCH_TIMEOUT_S = 30.0
RETRY_S = 1.0

Done = Callable[[bool, float], None]


class HeadReader:
    """Follow `live/` while this node is a root and fetch what its workspaces need.

    A head is used only while `may_use(now)` holds, so that a root whose lease may have passed to
    another node sends out nothing newer than what its successor reads.
    """

    def __init__(
        self,
        ctx: Context,
        *,
        may_use: Callable[[float], bool],
        list_carried: Callable[[], set[str]],
        get_current: Callable[[str], Snapshot | None],
        take_snapshot: Callable[[Snapshot, float], None],
    ) -> None:
        self._ctx = ctx
        self._may_use = may_use
        self._list_carried = list_carried
        self._get_current = get_current
        self._take_snapshot = take_snapshot
        self.index = HeadIndex()
        self.drains: dict[str, StoredObject] = {}
        self.read_since_start = False
        self._token = 0
        self._running = False
        self._revision = 0
        self._newest: Head | None = None
        self._manifest_asked = False
        self._watching = False
        self._retry_at = 0.0
        self._waiters: list[tuple[int, Done]] = []
        self._fetching: set[str] = set()
        self._settled: dict[str, WorkspaceVersion] = {}
        self._gate = SendGate(gather_s=ctx.settings.gather_s)

    def start(self, now: float, *, min_revision: int) -> None:
        """Start to follow `live/`; reads older than a revision are not trusted."""
        self._token += 1
        self._running = True
        self._watching = False
        self._manifest_asked = False
        self.read_since_start = False
        self._fetching.clear()
        # The snapshots of other workspaces went with the last term of the role.
        self._settled.clear()
        self._revision = max(self._revision, min_revision)
        self._retry_at = now

    def stop(self, now: float) -> None:
        """Stop; answers to earlier calls are ignored from now on."""
        self._token += 1
        self._running = False
        self._watching = False
        self._fail_waiters(now)

    def refresh(self, done: Done, *, min_revision: int = 0) -> None:
        """Read the head anew; report success once the index is at or above it."""

        # A revision below one already seen shows a stale answer.
        lowest = max(min_revision, self._revision)

        def finish(result: Any, now: float) -> None:
            if isinstance(result, IbiswickError) or result.revision < lowest:
                done(False, now)
                return
            self._take_listing(result, now, whole=True)
            wanted = 0 if self._newest is None else self._newest["generation"]
            self._waiters.append((wanted, done))
            self._advance(now)

        self._ctx.call(
            "list", self._guard(finish, lost=lambda now: done(False, now)), prefix=LIVE_PREFIX
        )

    def carry(self, now: float) -> None:
        """Fetch what a workspace needs that this root begins to carry."""
        self._gate.note(now, at_once=True)

    def tick(self, now: float) -> None:
        """Take the steps that are due."""
        if not self._running:
            return
        self._advance(now)
        if not self._watching and now >= self._retry_at:
            self._begin(now)
        if self._gate.take(now):
            self._fetch(now)

    def get_due(self) -> float | None:
        """Return when gathered changes are due."""
        return self._gate.due if self._running else None

    def get_generation(self, workspace: str) -> int:
        """Return the committed generation of a workspace, or -1 before the first head is read."""
        if not self._running or not self.read_since_start:
            return -1
        return self.index.get_generation(workspace)

    def _begin(self, now: float) -> None:
        """Read everything once; watch from there on."""
        self._watching = True
        self._retry_at = now + RETRY_S

        def finish(worked: bool, now: float) -> None:
            if worked:
                self.read_since_start = True
                self._watch()
            else:
                self._pause(now)

        self.refresh(finish, min_revision=self._revision)

    def _watch(self) -> None:
        def finish(result: Any, now: float) -> None:
            if isinstance(result, IbiswickError):
                self._pause(now)
                return
            self._take_listing(result, now, whole=False)
            self._advance(now)
            self._watch()

        self._ctx.call(
            "watch",
            self._guard(finish),
            prefix=LIVE_PREFIX,
            after=self._revision,
            timeout_s=WATCH_TIMEOUT_S,
        )

    def _pause(self, now: float) -> None:
        self._watching = False
        self._retry_at = now + RETRY_S * (0.5 + self._ctx.random.random())

    def _take_listing(self, listing: Listing, now: float, *, whole: bool) -> None:
        self._revision = max(self._revision, listing.revision)
        if whole:
            self.drains.clear()
        for stored in listing.objects:
            if stored.key == HEAD_KEY and stored.value is not None:
                self._take_head(stored)
            elif stored.key.startswith(DRAIN_PREFIX):
                self._take_drain(stored)

    def _take_head(self, stored: StoredObject) -> None:
        try:
            head = msgspec.convert(stored.value, Head)
        except msgspec.ValidationError as error:
            self._ctx.log("error", "head-malformed", detail=str(error))
            return
        if self._newest is None or head["generation"] > self._newest["generation"]:
            self._newest = head

    def _take_drain(self, stored: StoredObject) -> None:
        vm = stored.key.removeprefix(DRAIN_PREFIX)
        if stored.value is None:
            self.drains.pop(vm, None)
        else:
            self.drains[vm] = stored

    def _advance(self, now: float) -> None:
        """Bring the index up to the newest head, through the manifest where needed."""
        head = self._newest
        if head is not None and head["generation"] > self.index.generation:
            if not self._may_use(now):
                return
            if self.index.needs_manifest(head):
                self._ask_manifest(head)
                return
            if self.index.advance(head) & self._list_carried():
                self._gate.note(now)
        reached = [done for wanted, done in self._waiters if wanted <= self.index.generation]
        self._waiters = [item for item in self._waiters if item[0] > self.index.generation]
        for done in reached:
            done(True, now)

    def _ask_manifest(self, head: Head) -> None:
        if self._manifest_asked:
            return
        self._manifest_asked = True

        def finish(result: Any, now: float) -> None:
            self._manifest_asked = False
            manifest = self._parse_manifest(result)
            if manifest is None:
                self._fail_waiters(now)
                return
            if self._may_use(now):
                self.index.replace(head, manifest)
                self._gate.note(now)
            self._advance(now)

        self._ctx.call("get", self._guard(finish), key=f"blobs/{head['manifest']}")

    def _parse_manifest(self, result: Any) -> Manifest | None:
        if result is None or isinstance(result, IbiswickError):
            return None
        try:
            return msgspec.convert(result.value, Manifest)
        except msgspec.ValidationError as error:
            self._ctx.log("error", "manifest-malformed", detail=str(error))
            return None

    def _fetch(self, now: float) -> None:
        for workspace in sorted(self._list_carried()):
            version = self.index.find(workspace)
            if version is None or workspace in self._fetching:
                continue
            if self._settled.get(workspace) == version:
                continue
            current = self._get_current(workspace)
            if current is not None and current.generation >= version.generation:
                continue
            if current is not None and current.digest == version.digest:
                self._settle(
                    workspace, version, current._replace(generation=version.generation), now
                )
                continue
            empty = build_empty_snapshot(workspace, generation=version.generation)
            if version.digest == empty.digest:
                self._settle(workspace, version, empty, now)
                continue
            self._fetch_blob(workspace, version)

    def _fetch_blob(self, workspace: str, version: WorkspaceVersion) -> None:
        self._fetching.add(workspace)

        def finish(result: Any, now: float) -> None:
            self._fetching.discard(workspace)
            if result is None or isinstance(result, IbiswickError):
                self._gate.note(now + RETRY_S)
                return
            try:
                snapshot = parse_snapshot(
                    result.value, generation=version.generation, digest=version.digest
                )
            except SnapshotError as error:
                self._settled[workspace] = version
                self._ctx.log(
                    "error",
                    "snapshot-refused",
                    generation=version.generation,
                    code=error.code,
                    detail=error.detail,
                )
                return
            self._settle(workspace, version, snapshot, now)
            # The head may have moved on while the blob was read.
            self._gate.note(now)

        self._ctx.call("get", self._guard(finish), key=f"blobs/{version.digest}")

    def _settle(
        self, workspace: str, version: WorkspaceVersion, snapshot: Snapshot, now: float
    ) -> None:
        self._settled[workspace] = version
        self._take_snapshot(snapshot, now)

    def forget(self, workspace: str) -> None:
        """Forget that a workspace's snapshot was fetched."""
        self._settled.pop(workspace, None)

    def _fail_waiters(self, now: float) -> None:
        waiters = self._waiters
        self._waiters = []
        for _, done in waiters:
            done(False, now)

    def _guard(
        self,
        callback: Callable[[Any, float], None],
        *,
        lost: Callable[[float], None] | None = None,
    ) -> Callable[[Any, float], None]:
        """Ignore an answer that arrives after the role changed."""
        token = self._token

        def run(result: Any, now: float) -> None:
            if token == self._token:
                callback(result, now)
            elif lost is not None:
                lost(now)

        return run
