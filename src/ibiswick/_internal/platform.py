"""Define the interface to the platform's object API.

Over HTTP with JSON values, the calls are:

* `GET /v1/objects/<key>`: the value, with its version in `ETag: "<version>"`; 404.
* `PUT /v1/objects/<key>` with `If-Match: "<version>"` or `If-None-Match: *` or neither:
  `{"version": n}`; 412 with `{"version": current}` (0 when missing); 413 over 1 MB.
* `DELETE /v1/objects/<key>` with or without `If-Match`: 204; 404; 412.
* `GET /v1/objects?prefix=&after=<key>&limit=&reverse=0|1`: `{"revision", "objects": [{"key",
  "version", "value"}]}`, ordered by key.
* `GET /v1/watch?prefix=&after=<revision>&timeout=<seconds>`: waits until an object under the prefix
  has a version above `after`; the same body, where deleted objects have `"deleted": true`. With
  nothing new by the timeout: no objects.

A version is the store's revision at the object's last write. 429 and 503 carry `Retry-After`.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

MAX_VALUE_BYTES = 1_000_000
MUST_NOT_EXIST = 0


class StoredObject(NamedTuple):
    """Hold one object; `value` is None for a deleted one."""

    key: str
    version: int
    value: Any


class Listing(NamedTuple):
    """Hold objects and the store's revision at which they were read."""

    revision: int
    objects: tuple[StoredObject, ...]


class Platform(Protocol):
    """Read, write and watch objects.

    Every method raises PlatformUnavailableError when the call certainly had no effect; `put` and
    `delete` raise ConflictError when `expected` does not match and OutcomeUnknownError when the
    answer was lost.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None when it is missing."""

    async def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object and return its version; `MUST_NOT_EXIST` expects it to be missing."""

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete one object; a missing one is no error."""

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 1000, reverse: bool = False
    ) -> Listing:
        """Return objects under a prefix in order of their keys."""

    async def watch(self, prefix: str, *, after: int, timeout_s: float) -> Listing:
        """Wait for writes under a prefix newer than a revision."""
