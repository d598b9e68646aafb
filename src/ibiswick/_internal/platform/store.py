"""Provide the object API on the platform's store.

A key consists of the kind and the name of an object, its value is the object's `spec`, and its
version the revision of the object's last change.
"""

from __future__ import annotations

import time
import urllib.parse
from typing import Any, NoReturn

import msgspec

from ..shared.errors import (
    ConflictError,
    EraChangedError,
    HistoryLostError,
    NotSentError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    ResponseLostError,
    ValueTooLargeError,
)
from ..shared.logs import EventLog
from ..shared.objectapi import MUST_NOT_EXIST, Fetch, FetchResponse, Listing, StoredObject

# The store responds within milliseconds, and within half a second when it is slow.
TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5
# Header of every response; the era rises by one when the store is restored from an older copy.
ERA_HEADER = "store-era"
MAX_ERA_DIGITS = 18
# Limit of the pages that are read for one listing.
MAX_PAGES = 200
# A response of this size takes a noticeable part of a second on a link of 5 Mbit/s.
LARGE_ANSWER_BYTES = 64 * 1024

_log = EventLog(component="store")


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0
    deleting: bool = False


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None
    status: Any = None


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Page(msgspec.Struct):
    current_rev: int
    # Objects are decoded one by one, since a malformed one must not hide the others.
    items: list[msgspec.Raw] = []
    events: list[msgspec.Raw] = []
    more: bool = False


class Store:
    """Implement `Platform` on the platform's store."""

    def __init__(self, *, fetch: Fetch) -> None:
        self._fetch = fetch
        self.era = 0

    async def _fetch_and_note_era(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> FetchResponse:
        """Send one request and note the era that the response names."""
        started = time.monotonic()
        response = await self._fetch(method, target, headers, body, timeout_s)
        if len(response.body) >= LARGE_ANSWER_BYTES:
            _log.info(
                "store-answer-large",
                method=method,
                target=target,
                size_bytes=len(response.body),
                took_ms=int((time.monotonic() - started) * 1000),
            )
        self.era = max(self.era, self._find_era(response))
        return response

    def _find_era(self, response: FetchResponse) -> int:
        """Return the era that a response names, or the highest known era if it names none."""
        era = parse_era(response.headers.get(ERA_HEADER, ""))
        return self.era if era is None else era

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None when it is missing."""
        response = await self._send_read(_build_path(key), TIMEOUT_S)
        if response.status == 404:
            return None
        if response.status != 200:
            _raise_unavailable(response)
        return _decode_object(key.partition("/")[0], response.body)

    async def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object and return its version."""
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name}
        if expected == MUST_NOT_EXIST:
            return await self._write_object("POST", _build_path(kind), metadata, value, key)
        if expected is not None:
            metadata["revision"] = expected
        return await self._write_object("PUT", _build_path(key), metadata, value, key)

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete one object; a missing one is no error."""
        query = "" if expected is None else f"?revision={expected}"
        response = await self._send_write("DELETE", _build_path(key) + query, b"")
        if response.status not in (200, 204, 404):
            _raise_write_failure(response, key)

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = 0,
        reverse: bool = False,
        allow_stale: bool = False,
    ) -> Listing:
        """Return every object of a kind; the revision is that of the first page."""
        kind = prefix.partition("/")[0]
        found: list[StoredObject] = []
        revision = era = 0
        for number in range(MAX_PAGES):
            query = {"after": after} if after else {}
            page, page_era = await self._read_page(kind, query, TIMEOUT_S, stale=allow_stale)
            if number == 0:
                revision, era = page.current_rev, page_era
            elif page_era != era:
                raise EraChangedError(f"pages of {kind} belong to the eras {era} and {page_era}")
            objects = [_decode_object(kind, raw) for raw in page.items]
            found += [item for item in objects if item is not None]
            if not page.more or not found:
                break
            after = found[-1].key.partition("/")[2]
        return Listing(revision, tuple(found), era)

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float, allow_stale: bool = False
    ) -> Listing:
        """Wait for changes of objects of a kind."""
        kind = prefix.partition("/")[0]
        query = {"watch": after, "wait_ms": int(timeout_s * 1000)}
        page, era = await self._read_page(kind, query, timeout_s + TIMEOUT_S, stale=allow_stale)
        events = [_decode_event(kind, raw) for raw in page.events]
        objects = tuple(event for event in events if event is not None)
        return Listing(page.current_rev, objects, era)

    async def _read_page(
        self, kind: str, query: dict[str, Any], timeout_s: float, *, stale: bool
    ) -> tuple[_Page, int]:
        """Return a page and the era of its response."""
        target = _build_path(kind)
        if stale:
            # Costs a tenth of a current read and does not count against the rate limit, but may be
            # some seconds old.
            query = query | {"serializable": 1}
        if query:
            target += "?" + urllib.parse.urlencode(query)
        response = await self._send_read(target, timeout_s)
        if response.status == 410:
            raise HistoryLostError(f"the store has no history of {kind} from {query}")
        if response.status != 200:
            _raise_unavailable(response)
        try:
            page = msgspec.json.decode(response.body, type=_Page)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise PlatformUnavailableError(f"malformed response: {error}") from error
        return page, self._find_era(response)

    async def _send_read(self, target: str, timeout_s: float) -> FetchResponse:
        try:
            return await self._fetch_and_note_era("GET", target, {}, b"", timeout_s)
        except (NotSentError, ResponseLostError) as error:
            raise PlatformUnavailableError(
                f"{error.code}: {error.detail}", retry_after_s=RETRY_AFTER_S
            ) from error

    async def put_status(self, key: str, status: Any, *, value: Any, expected: int) -> int:
        """Write the status of an object at a version; return the object's new version."""
        metadata = {"name": key.partition("/")[2], "revision": expected}
        target = _build_path(key) + "/status"
        return await self._write_object("PUT", target, metadata, value, key, status)

    async def _write_object(
        self,
        method: str,
        target: str,
        metadata: dict[str, Any],
        value: Any,
        key: str,
        status: Any = None,
    ) -> int:
        body = msgspec.json.encode({"metadata": metadata, "spec": value, "status": status})
        response = await self._send_write(method, target, body)
        if response.status not in (200, 201):
            _raise_write_failure(response, key)
        written = _decode_object(key.partition("/")[0], response.body)
        if written is None:
            raise OutcomeUnknownError(f"malformed response to the write of {key}")
        return written.version

    async def _send_write(self, method: str, target: str, body: bytes) -> FetchResponse:
        headers = {"content-type": "application/json"} if body else {}
        try:
            return await self._fetch_and_note_era(method, target, headers, body, TIMEOUT_S)
        except NotSentError as error:
            raise PlatformUnavailableError(
                f"{error.code}: {error.detail}", retry_after_s=RETRY_AFTER_S
            ) from error
        except ResponseLostError as error:
            raise OutcomeUnknownError(f"{error.code}: {error.detail}") from error


def parse_era(text: str) -> int | None:
    """Return the era in a header, None if it is not a number.

    >>> parse_era("3"), parse_era(""), parse_era("soon")
    (3, None, None)
    """
    return int(text) if text.isdecimal() and len(text) <= MAX_ERA_DIGITS else None


def _build_path(key: str) -> str:
    return "/objects/" + urllib.parse.quote(key, safe="/")


def _decode_object(kind: str, raw: bytes | msgspec.Raw) -> StoredObject | None:
    """Return an object, or None when it is malformed."""
    try:
        found = msgspec.json.decode(raw, type=_Object)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return StoredObject(
        f"{kind}/{found.metadata.name}", found.metadata.revision, found.spec, found.status
    )


def _decode_event(kind: str, raw: msgspec.Raw) -> StoredObject | None:
    """Return the object of an event, without a value if deleted; None when malformed."""
    try:
        event = msgspec.json.decode(raw, type=_Event)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    metadata = event.object.metadata
    value = None if event.deleted else event.object.spec
    return StoredObject(f"{kind}/{metadata.name}", metadata.revision, value, event.object.status)


def _raise_unavailable(response: FetchResponse) -> NoReturn:
    raise PlatformUnavailableError(f"status {response.status}", retry_after_s=RETRY_AFTER_S)


def _raise_write_failure(response: FetchResponse, key: str) -> NoReturn:
    if response.status == 409:
        current = _decode_object(key.partition("/")[0], response.body)
        raise ConflictError(
            f"{key} was changed by another writer",
            current=current.version if current is not None else 0,
        )
    if response.status == 404:
        raise ConflictError(f"{key} does not exist", current=0)
    if response.status == 413:
        raise ValueTooLargeError(f"the platform rejected the value of {key} as too large")
    if response.status >= 500 and response.status != 503:
        raise OutcomeUnknownError(f"status {response.status} to the write of {key}")
    _raise_unavailable(response)
