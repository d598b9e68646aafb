"""Read committed heads, and the snapshots of the workspaces that a root serves."""

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
from .relay import BatchTimer

LIVE_PREFIX = "live/"
HEAD_KEY = "live/head"
DRAIN_PREFIX = "live/drain/"
WATCH_TIMEOUT_S = 30.0
RETRY_S = 1.0

DoneCallback = Callable[[bool, float], None]


class HeadReader:
    """Watch `live/` while this node is a root, and fetch the snapshots of its workspaces.

    A head is used only while `may_use(now)` holds, so that a root whose lease another node may have
    taken sends out nothing newer than what that node reads.
    """

    def __init__(
        self,
        ctx: Context,
        *,
        may_use: Callable[[float], bool],
        list_served_workspaces: Callable[[], set[str]],
        get_current: Callable[[str], Snapshot | None],
        on_snapshot: Callable[[Snapshot, float], None],
    ) -> None:
        self._ctx = ctx
        self._may_use = may_use
        self._list_served_workspaces = list_served_workspaces
        self._get_current = get_current
        self._on_snapshot = on_snapshot
        self.index = HeadIndex()
        self.drains: dict[str, StoredObject] = {}
        self.read_since_start = False
        self._term = 0
        self._running = False
        self._revision = 0
        self._newest_head: Head | None = None
        self._reading_manifest = False
        self._watching = False
        self._retry_at = 0.0
        self._waiters: list[tuple[int, DoneCallback]] = []
        self._fetching: set[str] = set()
        self._handled_versions: dict[str, WorkspaceVersion] = {}
        self._fetch_timer = BatchTimer(gather_s=ctx.settings.gather_s)

    def start(self, now: float, *, min_revision: int) -> None:
        """Start to watch `live/`; results below `min_revision` are rejected as stale."""
        self._term += 1
        self._running = True
        self._watching = False
        self._reading_manifest = False
        self.read_since_start = False
        self._fetching.clear()
        # Snapshots of other workspaces were dropped when the last term as a root ended.
        self._handled_versions.clear()
        self._revision = max(self._revision, min_revision)
        self._retry_at = now

    def stop(self, now: float) -> None:
        """Stop watching; results of calls still running are ignored."""
        self._term += 1
        self._running = False
        self._watching = False
        self._fail_waiters(now)

    def refresh(self, done: DoneCallback, *, min_revision: int = 0) -> None:
        """Read the head again; report success once the index has reached it."""

        # A listing below a revision already seen is stale.
        lowest_revision = max(min_revision, self._revision)

        def finish(result: Any, now: float) -> None:
            if isinstance(result, IbiswickError) or result.revision < lowest_revision:
                done(False, now)
                return
            self._apply_listing(result, now, whole=True)
            wanted = 0 if self._newest_head is None else self._newest_head["generation"]
            self._waiters.append((wanted, done))
            self._advance_index(now)

        self._ctx.call(
            "list",
            self._ignore_outdated(finish, on_outdated=lambda now: done(False, now)),
            prefix=LIVE_PREFIX,
        )

    def schedule_fetch(self, now: float) -> None:
        """Fetch missing snapshots with the next tick, as a join may have added a workspace."""
        self._fetch_timer.schedule(now, at_once=True)

    def tick(self, now: float) -> None:
        """Take the steps that are due."""
        if not self._running:
            return
        self._advance_index(now)
        if not self._watching and now >= self._retry_at:
            self._start_watching(now)
        if self._fetch_timer.pop_due(now):
            self._fetch(now)

    def get_next_fetch_at(self) -> float | None:
        """Return when the next fetch is due, or None."""
        return self._fetch_timer.due_at if self._running else None

    def get_generation(self, workspace: str) -> int:
        """Return the committed generation of a workspace, or -1 before the first head is read."""
        if not self._running or not self.read_since_start:
            return -1
        return self.index.get_generation(workspace)

    def _start_watching(self, now: float) -> None:
        """Read all of `live/` once, then watch it for changes."""
        self._watching = True
        self._retry_at = now + RETRY_S

        def finish(succeeded: bool, now: float) -> None:
            if succeeded:
                self.read_since_start = True
                self._watch()
            else:
                self._schedule_retry(now)

        self.refresh(finish, min_revision=self._revision)

    def _watch(self) -> None:
        def finish(result: Any, now: float) -> None:
            if isinstance(result, IbiswickError):
                self._schedule_retry(now)
                return
            self._apply_listing(result, now, whole=False)
            self._advance_index(now)
            self._watch()

        self._ctx.call(
            "watch",
            self._ignore_outdated(finish),
            prefix=LIVE_PREFIX,
            after=self._revision,
            timeout_s=WATCH_TIMEOUT_S,
        )

    def _schedule_retry(self, now: float) -> None:
        self._watching = False
        self._retry_at = now + RETRY_S * (0.5 + self._ctx.random.random())

    def _apply_listing(self, listing: Listing, now: float, *, whole: bool) -> None:
        self._revision = max(self._revision, listing.revision)
        if whole:
            self.drains.clear()
        for stored in listing.objects:
            if stored.key == HEAD_KEY and stored.value is not None:
                self._apply_head(stored)
            elif stored.key.startswith(DRAIN_PREFIX):
                self._apply_drain(stored)

    def _apply_head(self, stored: StoredObject) -> None:
        try:
            head = msgspec.convert(stored.value, Head)
        except msgspec.ValidationError as error:
            self._ctx.log("error", "head-malformed", detail=str(error))
            return
        if self._newest_head is None or head["generation"] > self._newest_head["generation"]:
            self._newest_head = head

    def _apply_drain(self, stored: StoredObject) -> None:
        vm = stored.key.removeprefix(DRAIN_PREFIX)
        if stored.value is None:
            self.drains.pop(vm, None)
        else:
            self.drains[vm] = stored

    def _advance_index(self, now: float) -> None:
        """Advance the index to the newest head, by reading the manifest if necessary."""
        head = self._newest_head
        if head is not None and head["generation"] > self.index.generation:
            if not self._may_use(now):
                return
            if self.index.needs_manifest(head):
                self._read_manifest(head)
                return
            if self.index.advance(head) & self._list_served_workspaces():
                self._fetch_timer.schedule(now)
        finished = [done for wanted, done in self._waiters if wanted <= self.index.generation]
        self._waiters = [item for item in self._waiters if item[0] > self.index.generation]
        for done in finished:
            done(True, now)

    def _read_manifest(self, head: Head) -> None:
        if self._reading_manifest:
            return
        self._reading_manifest = True

        def finish(result: Any, now: float) -> None:
            self._reading_manifest = False
            manifest = self._parse_manifest(result)
            if manifest is None:
                self._fail_waiters(now)
                return
            if self._may_use(now):
                self.index.replace(head, manifest)
                self._fetch_timer.schedule(now)
            self._advance_index(now)

        self._ctx.call("get", self._ignore_outdated(finish), key=f"blobs/{head['manifest']}")

    def _parse_manifest(self, result: Any) -> Manifest | None:
        if result is None or isinstance(result, IbiswickError):
            return None
        try:
            return msgspec.convert(result.value, Manifest)
        except msgspec.ValidationError as error:
            self._ctx.log("error", "manifest-malformed", detail=str(error))
            return None

    def _fetch(self, now: float) -> None:
        for workspace in sorted(self._list_served_workspaces()):
            version = self.index.find(workspace)
            if version is None or workspace in self._fetching:
                continue
            if self._handled_versions.get(workspace) == version:
                continue
            current = self._get_current(workspace)
            if current is not None and current.generation >= version.generation:
                continue
            if current is not None and current.digest == version.digest:
                self._deliver_snapshot(
                    workspace, version, current._replace(generation=version.generation), now
                )
                continue
            empty = build_empty_snapshot(workspace, generation=version.generation)
            if version.digest == empty.digest:
                self._deliver_snapshot(workspace, version, empty, now)
                continue
            self._fetch_blob(workspace, version)

    def _fetch_blob(self, workspace: str, version: WorkspaceVersion) -> None:
        self._fetching.add(workspace)

        def finish(result: Any, now: float) -> None:
            self._fetching.discard(workspace)
            if result is None or isinstance(result, IbiswickError):
                self._fetch_timer.schedule(now + RETRY_S)
                return
            try:
                snapshot = parse_snapshot(
                    result.value, generation=version.generation, digest=version.digest
                )
            except SnapshotError as error:
                self._handled_versions[workspace] = version
                self._ctx.log(
                    "error",
                    "snapshot-refused",
                    generation=version.generation,
                    code=error.code,
                    detail=error.detail,
                )
                return
            self._deliver_snapshot(workspace, version, snapshot, now)
            # A newer head may have arrived while the blob was read.
            self._fetch_timer.schedule(now)

        self._ctx.call("get", self._ignore_outdated(finish), key=f"blobs/{version.digest}")

    def _deliver_snapshot(
        self, workspace: str, version: WorkspaceVersion, snapshot: Snapshot, now: float
    ) -> None:
        self._handled_versions[workspace] = version
        self._on_snapshot(snapshot, now)

    def forget(self, workspace: str) -> None:
        """Forget that a workspace's snapshot was handled, so that it can be fetched again."""
        self._handled_versions.pop(workspace, None)

    def _fail_waiters(self, now: float) -> None:
        waiters = self._waiters
        self._waiters = []
        for _, done in waiters:
            done(False, now)

    def _ignore_outdated(
        self,
        callback: Callable[[Any, float], None],
        *,
        on_outdated: Callable[[float], None] | None = None,
    ) -> Callable[[Any, float], None]:
        """Wrap a callback so that it ignores results that arrive after this term as a root."""
        term = self._term

        def run(result: Any, now: float) -> None:
            if term == self._term:
                callback(result, now)
            elif on_outdated is not None:
                on_outdated(now)

        return run
