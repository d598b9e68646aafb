"""Count the calls to the object API."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Any, TypeVar

from ..calls.callcounts import CallCounts
from ..shared.blackboard import Cell
from ..shared.errors import PlatformError
from ..shared.objectapi import Listing, StatusPlatform, StoredObject

METRIC = "ibiswick_platform_calls_total"

T = TypeVar("T")


class CountedPlatform:
    """Pass calls on to another platform and count them by purpose and result.

    The purpose is the method and the kind of the objects; reads that may be stale are counted
    separately, since they cost less. The cell `era` gets the highest era of the store that any
    response has named.
    """

    def __init__(
        self, *, platform: StatusPlatform, counts: CallCounts, era: Cell[int] | None = None
    ) -> None:
        self._platform = platform
        self._counts = counts
        self._era = era if era is not None else Cell(0)

    @property
    def era(self) -> int:
        """Return the highest era of the store that any response has named."""
        return self._platform.era

    async def _count(self, method: str, key: str, call: Awaitable[T], *, stale: bool = False) -> T:
        purpose = f"{'stale-' if stale else ''}{method}:{key.partition('/')[0]}"
        try:
            result = await call
        except PlatformError as error:
            self._counts.add(METRIC, "result", f"{purpose}:{error.code}")
            raise
        finally:
            self._era.set(max(self._era.value, self._platform.era))
        self._counts.add(METRIC, "result", f"{purpose}:ok")
        return result

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None when it is missing."""
        return await self._count("get", key, self._platform.get(key))

    async def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object and return its version."""
        return await self._count("put", key, self._platform.put(key, value, expected=expected))

    async def put_status(self, key: str, status: Any, *, value: Any, expected: int) -> int:
        """Write the status of an object at a version; return the object's new version."""
        call = self._platform.put_status(key, status, value=value, expected=expected)
        return await self._count("put-status", key, call)

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete one object; a missing one is no error."""
        await self._count("delete", key, self._platform.delete(key, expected=expected))

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
        call = self._platform.list(
            prefix, after=after, limit=limit, reverse=reverse, allow_stale=allow_stale
        )
        return await self._count("list", prefix, call, stale=allow_stale)

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float, allow_stale: bool = False
    ) -> Listing:
        """Wait for writes under a prefix newer than a revision."""
        call = self._platform.watch(
            prefix, after=after, timeout_s=timeout_s, allow_stale=allow_stale
        )
        return await self._count("watch", prefix, call, stale=allow_stale)
