"""Read the head, the chain of change records and the documents of a generation."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

from ..shared.errors import InvalidInputError, PlatformUnavailableError, Problem
from ..shared.objectapi import MUST_NOT_EXIST, Platform, StoredObject
from ..shared.records import ChangeRecord, Head, Manifest, RecentChange
from .blobs import BlobStore
from .plans import EMPTY_MANIFEST, ChangeRequest, find_digest

HEAD_KEY = "live/head"
# Reads of the head until it is at least as new as the version that a conflict reported.
FRESH_READ_ATTEMPTS = 5
# Limits the search for the document version that a conflicting change is based on.
MAX_SEARCHED_RECORDS = 500


class DocumentView(NamedTuple):
    """Hold a document as it was at a generation."""

    kind: str
    name: str
    digest: str
    generation: int
    document: dict[str, Any]


class HeadState(NamedTuple):
    """Hold what one version of the head refers to; empty before the first change."""

    version: int
    generation: int
    # Digest of the newest change record.
    record_digest: str | None
    recent: list[RecentChange]
    manifest: Manifest


class Chain:
    """Read accepted changes; `back_off` waits after the failed attempt of the given number."""

    def __init__(
        self,
        *,
        platform: Platform,
        blobs: BlobStore,
        back_off: Callable[[int], Awaitable[None]],
    ) -> None:
        self._platform = platform
        self._blobs = blobs
        self._back_off = back_off

    async def read_head(self) -> StoredObject | None:
        """Return `live/head`, or None before the first change."""
        return await self._platform.get(HEAD_KEY)

    async def read_manifest(self, head: StoredObject | None) -> Manifest:
        """Return the manifest that a head refers to."""
        if head is None:
            return EMPTY_MANIFEST
        manifest: Manifest = await self._blobs.read(head.value["manifest"])
        return manifest

    async def read_history(
        self, before_generation: int | None = None, limit: int = 50
    ) -> list[ChangeRecord]:
        """Return accepted changes below a generation, newest first."""
        found: list[ChangeRecord] = []
        head = await self.read_head()
        async for record in self.walk(None if head is None else head.value["change"]):
            if len(found) >= limit:
                break
            if before_generation is None or record["generation"] < before_generation:
                found.append(record)
        return found

    async def read_document(
        self, kind: str, name: str, generation: int | None = None
    ) -> DocumentView | None:
        """Return a template or workspace at a generation, or at the newest; None if missing."""
        head = await self.read_head()
        if head is None:
            return None
        manifest = await self.read_manifest(head)
        if generation is None:
            generation = head.value["generation"]
        else:
            manifest = await self.read_old_manifest(head.value["change"], generation)
        digest = find_digest(manifest, f"{kind}/{name}")
        if digest is None:
            return None
        return DocumentView(kind, name, digest, generation, await self._blobs.read(digest))

    async def read_state(self, *, min_version: int = 0) -> HeadState:
        """Read the head, repeatedly until it has at least the given version."""
        for attempt in range(FRESH_READ_ATTEMPTS):
            try:
                stored = await self.read_head()
            except PlatformUnavailableError:
                if attempt == FRESH_READ_ATTEMPTS - 1:
                    raise
                await self._back_off(attempt)
                continue
            if stored is None and min_version == 0:
                return HeadState(MUST_NOT_EXIST, 0, None, [], EMPTY_MANIFEST)
            if stored is not None and stored.version >= min_version:
                head: Head = stored.value
                manifest = await self.read_manifest(stored)
                return HeadState(
                    stored.version, head["generation"], head["change"], head["recent"], manifest
                )
            await self._back_off(attempt)
        raise PlatformUnavailableError("the platform returns an outdated head")

    async def read_old_manifest(self, newest_digest: str | None, generation: int) -> Manifest:
        """Return the manifest of a generation; raise InvalidInputError if there is none."""
        async for record in self.walk(newest_digest):
            if record["generation"] == generation:
                manifest: Manifest = await self._blobs.read(record["manifest"])
                return manifest
            if record["generation"] < generation:
                break
        raise InvalidInputError(
            [Problem("request", "$.generation", "an accepted generation", str(generation))]
        )

    async def walk(self, digest: str | None, *, above: int = 0) -> AsyncIterator[ChangeRecord]:
        """Yield change records above a generation, newest first."""
        while digest is not None:
            record: ChangeRecord = await self._blobs.read(digest)
            if record["generation"] <= above:
                return
            yield record
            digest = record["previous"]

    async def read_bases(
        self, request: ChangeRequest, manifest: Manifest, newest_digest: str | None
    ) -> dict[str, Any]:
        """Return the outdated documents that a change is based on, by key.

        Only earlier versions of the same document count. Otherwise an operator could read any blob,
        also without permission, by giving its digest as the base.
        """
        outdated = {
            (key, base)
            for key, base in request.base.items()
            if base is not None and find_digest(manifest, key) != base
        }
        found: dict[str, Any] = {}
        if not outdated:
            return found
        searched = 0
        async for record in self.walk(newest_digest):
            searched += 1
            if not outdated or searched > MAX_SEARCHED_RECORDS:
                break
            if not any(key in record["touched"] for key, _ in outdated):
                continue
            old_manifest = await self._blobs.read(record["manifest"])
            for key, base in list(outdated):
                if find_digest(old_manifest, key) == base:
                    found[key] = await self._blobs.read(base)
                    outdated.discard((key, base))
        return found
