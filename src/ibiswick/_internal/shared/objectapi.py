"""Define the interface to the platform's object API.

The platform is the service outside ibiswick that stores its data. The object API is the platform's
interface, and the store is the versioned data behind it.

Over HTTP with JSON values, the calls are:

* `GET /v1/objects/<key>`: the value, with its version in `ETag: "<version>"`; 404.
* `PUT /v1/objects/<key>` with `If-Match: "<version>"` or `If-None-Match: *` or neither:
  `{"version": n}`; 412 with `{"version": current}` (0 when missing); 413 over 1 MB.
* `DELETE /v1/objects/<key>` with or without `If-Match`: 204; 404; 412.
* `GET /v1/objects?prefix=&after=<key>&limit=&reverse=0|1`: `{"revision", "objects": [{"key",
  "version", "value"}]}`, ordered by key.
* `GET /v1/watch?prefix=&after=<revision>&timeout=<seconds>`: waits until an object under the prefix
  has a version above `after`. The body is that of a listing, in which deleted objects have
  `"deleted": true`; it has no objects if nothing has changed by the timeout.

A version is the store's revision at the object's last write. Responses with 429 and 503 have a
`Retry-After` header.
"""

from __future__ import annotations

import math
import urllib.parse
from collections.abc import Mapping
from typing import Any, NamedTuple, NoReturn, Protocol, TypeVar

import msgspec

from .errors import (
    ConflictError,
    NotSentError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    ResponseLostError,
    ValueTooLargeError,
)

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
# A longer delay would keep clients away long after the platform has recovered.
MAX_RETRY_AFTER_S = 60.0
MAX_VALUE_BYTES = 1_000_000
MUST_NOT_EXIST = 0


class StoredObject(NamedTuple):
    """Hold one object; `value` is None for a deleted object.

    `status` is what the system has reported about the object, where the platform keeps that apart
    from the value.
    """

    key: str
    version: int
    value: Any
    status: Any = None


class Listing(NamedTuple):
    """Hold objects and the store's revision at which they were read.

    A store that is restored from an older copy may use revision numbers again. Each restore begins
    a new `era`, and revisions are comparable only within one era.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    era: int = 0


class Platform(Protocol):
    """Read, write and watch objects.

    A read with `allow_stale` may return a state that is some seconds old, where the platform offers
    such reads at a lower cost; other platforms ignore it.

    `era` is the highest era in any response, including errors. It increases by one each time the
    store is restored from an older copy, and stays 0 on platforms that do not report restores.

    Every method raises PlatformUnavailableError when the call certainly had no effect. `put` and
    `delete` raise ConflictError when `expected` does not match, and OutcomeUnknownError when the
    response was lost.
    """

    era: int

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None when it is missing."""

    async def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object and return its version; with `MUST_NOT_EXIST`, only create it."""

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete one object; a missing one is no error."""

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = 1000,
        reverse: bool = False,
        allow_stale: bool = False,
    ) -> Listing:
        """Return objects under a prefix in order of their keys."""

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float, allow_stale: bool = False
    ) -> Listing:
        """Wait for writes under a prefix newer than a revision.

        Raise HistoryLostError when the platform's history no longer has all of these writes.
        """


class StatusPlatform(Platform, Protocol):
    """Write the status of objects as well, where the platform keeps it apart from the value."""

    async def put_status(self, key: str, status: Any, *, value: Any, expected: int) -> int:
        """Write the status of an object at a version; return the object's new version.

        The value is sent along and is not changed. Fails like `put`.
        """


class FetchResponse(NamedTuple):
    """Hold one complete HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Fetch(Protocol):
    """Carry out one HTTP exchange with the origin that the implementation is bound to.

    `target` is a path with an optional query. Raises NotSentError when no byte was sent and
    ResponseLostError when a byte was sent but there is no complete response.
    """

    async def __call__(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> FetchResponse:
        """Return the response, regardless of its status."""


class _ObjectBody(msgspec.Struct):
    key: str
    version: int
    value: Any = None
    deleted: bool = False


class _ListingBody(msgspec.Struct):
    revision: int
    objects: list[_ObjectBody]


class _VersionBody(msgspec.Struct):
    version: int


class HttpPlatform:
    """Call the object API over HTTP.

    `caller` identifies this process in the platform's statistics. `fetch` is bound to the origin of
    `base_url`; the path of `base_url` is prepended to the path of every call.
    """

    def __init__(
        self,
        *,
        fetch: Fetch,
        base_url: str,
        caller: str = "ibiswick",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        parts = urllib.parse.urlsplit(base_url)
        # The HTTP calls above do not report that the store was restored from an older copy.
        self.era = 0
        self._fetch = fetch
        self._path_prefix = parts.path.rstrip("/")
        self._headers = {"host": parts.netloc, "user-agent": caller}
        self._timeout_s = timeout_s

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None when it is missing."""
        response = await self._read(_quote_key(key), self._timeout_s)
        if response.status == 404:
            return None
        if response.status != 200:
            _raise_read_failure(response)
        version = _parse_etag(response.headers.get("etag", ""))
        return StoredObject(key, version, _decode_read(response.body, Any))

    async def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object and return its version."""
        body = msgspec.json.encode(value)
        if len(body) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{key} has {len(body)} bytes, the limit is {MAX_VALUE_BYTES}")
        response = await self._write("PUT", key, body, expected)
        if response.status not in (200, 201):
            _raise_write_failure(response, key)
        try:
            return msgspec.json.decode(response.body, type=_VersionBody).version
        except msgspec.DecodeError as error:
            raise OutcomeUnknownError(f"malformed response to the write of {key}") from error

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete one object; a missing one is no error."""
        response = await self._write("DELETE", key, b"", expected)
        if response.status not in (200, 204, 404):
            _raise_write_failure(response, key)

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = 1000,
        reverse: bool = False,
        allow_stale: bool = False,
    ) -> Listing:
        """Return objects under a prefix in order of their keys."""
        query = {"prefix": prefix, "after": after, "limit": limit, "reverse": int(reverse)}
        return await self._read_listing("/v1/objects", query, self._timeout_s)

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float, allow_stale: bool = False
    ) -> Listing:
        """Wait for writes under a prefix newer than a revision."""
        query = {"prefix": prefix, "after": after, "timeout": timeout_s}
        return await self._read_listing("/v1/watch", query, timeout_s + self._timeout_s)

    async def _read_listing(self, path: str, query: dict[str, Any], timeout_s: float) -> Listing:
        response = await self._read(f"{path}?{urllib.parse.urlencode(query)}", timeout_s)
        if response.status != 200:
            _raise_read_failure(response)
        body = _decode_read(response.body, _ListingBody)
        objects = tuple(
            StoredObject(item.key, item.version, None if item.deleted else item.value)
            for item in body.objects
        )
        return Listing(body.revision, objects)

    async def _read(self, target: str, timeout_s: float) -> FetchResponse:
        try:
            return await self._fetch(
                "GET", self._path_prefix + target, self._headers, b"", timeout_s
            )
        except (NotSentError, ResponseLostError) as error:
            raise PlatformUnavailableError(f"{error.code}: {error.detail}") from error

    async def _write(
        self, method: str, key: str, body: bytes, expected: int | None
    ) -> FetchResponse:
        headers = {**self._headers, **_build_condition_headers(expected)}
        if body:
            headers["content-type"] = "application/json"
        target = self._path_prefix + _quote_key(key)
        try:
            return await self._fetch(method, target, headers, body, self._timeout_s)
        except NotSentError as error:
            raise PlatformUnavailableError(f"{error.code}: {error.detail}") from error
        except ResponseLostError as error:
            raise OutcomeUnknownError(f"{error.code}: {error.detail}") from error


def _quote_key(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key, safe="/")


def _build_condition_headers(expected: int | None) -> dict[str, str]:
    if expected is None:
        return {}
    if expected == MUST_NOT_EXIST:
        return {"if-none-match": "*"}
    return {"if-match": f'"{expected}"'}


def _parse_etag(text: str) -> int:
    try:
        return int(text.strip('"'))
    except ValueError:
        raise PlatformUnavailableError(f"malformed ETag {text[:80]!r}") from None


def _decode_read(body: bytes, value_type: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=value_type)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(f"malformed response: {error}") from error


def _raise_read_failure(response: FetchResponse) -> NoReturn:
    raise PlatformUnavailableError(
        f"status {response.status}", retry_after_s=_parse_retry_after(response.headers)
    )


def _raise_write_failure(response: FetchResponse, key: str) -> NoReturn:
    if response.status == 412:
        raise ConflictError(
            f"{key} was changed by another writer", current=_parse_current_version(response.body)
        )
    if response.status == 413:
        raise ValueTooLargeError(f"the platform rejected the value of {key} as too large")
    if response.status >= 500 and response.status != 503:
        raise OutcomeUnknownError(f"status {response.status} for the write of {key}")
    _raise_read_failure(response)


def _parse_current_version(body: bytes) -> int:
    """Return the current version from the response to a conflict; 0 if it has none."""
    try:
        return msgspec.json.decode(body, type=_VersionBody).version
    except msgspec.DecodeError:
        return 0


def _parse_retry_after(headers: Mapping[str, str]) -> float:
    try:
        delay_s = float(headers.get("retry-after", ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not math.isfinite(delay_s) or delay_s < 0:
        return DEFAULT_RETRY_AFTER_S
    return min(delay_s, MAX_RETRY_AFTER_S)
