"""Limit the rate of calls to the platform, and queue work fairly across workspaces."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

from .errors import PlatformUnavailableError
from .objectapi import Listing, Platform, StoredObject

T = TypeVar("T")

# A call that would wait longer than this for the rate limit fails, so that queues stay short.
MAX_WAIT_S = 5.0


class TokenBucket:
    """Admit `rate` units per second with bursts of up to `burst` units.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0)
    >>> [bucket.take(0.0), bucket.take(0.0), bucket.take(0.5)]
    [0.0, 0.5, 0.0]
    """

    __slots__ = ("_burst", "_level", "_rate", "_updated")

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = max(burst, 1.0)
        self._level = self._burst
        self._updated: float | None = None

    def take(self, now: float, n: float = 1.0, *, max_wait_s: float = 0.0) -> float:
        """Return the seconds until `n` units are available, and take them if that is soon enough.

        A wait above `max_wait_s` takes nothing. Otherwise the units are taken in advance, so that
        waiting callers are served in the order of their calls.
        """
        self._refill(now)
        # A request above the burst would wait forever, so it waits only for a full bucket.
        missing = min(n, self._burst) - self._level
        wait_s = missing / self._rate if missing > 0 else 0.0
        if wait_s <= max_wait_s:
            self._level -= n
        return wait_s

    def _refill(self, now: float) -> None:
        if self._updated is not None and now > self._updated:
            self._level = min(self._burst, self._level + (now - self._updated) * self._rate)
        if self._updated is None or now > self._updated:
            self._updated = now


class RateLimitedPlatform:
    """Keep the calls of one role within its share of the platform's rate.

    `calls` limits all calls; `writes` additionally limits writes. A call that would have to wait
    longer than `max_wait_s` raises PlatformUnavailableError.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        calls: TokenBucket | None = None,
        writes: TokenBucket | None = None,
        max_wait_s: float = MAX_WAIT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._platform = platform
        self._calls = calls
        self._writes = writes
        self._max_wait_s = max_wait_s
        self._clock = clock
        self._sleep = sleep

    @property
    def era(self) -> int:
        """Return the highest era of the store in any response."""
        return self._platform.era

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None when it is missing."""
        await self._admit(self._calls)
        return await self._platform.get(key)

    async def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object and return its version."""
        await self._admit(self._writes, self._calls)
        return await self._platform.put(key, value, expected=expected)

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete one object; a missing one is no error."""
        await self._admit(self._writes, self._calls)
        await self._platform.delete(key, expected=expected)

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
        await self._admit(self._calls)
        return await self._platform.list(
            prefix, after=after, limit=limit, reverse=reverse, allow_stale=allow_stale
        )

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float, allow_stale: bool = False
    ) -> Listing:
        """Wait for writes under a prefix newer than a revision."""
        await self._admit(self._calls)
        return await self._platform.watch(
            prefix, after=after, timeout_s=timeout_s, allow_stale=allow_stale
        )

    async def _admit(self, *buckets: TokenBucket | None) -> None:
        for bucket in buckets:
            if bucket is None:
                continue
            wait_s = bucket.take(self._clock(), max_wait_s=self._max_wait_s)
            if wait_s > self._max_wait_s:
                raise PlatformUnavailableError(
                    "this role's share of the platform's rate is used up", retry_after_s=wait_s
                )
            if wait_s > 0:
                await self._sleep(wait_s)


class FairQueue(Generic[T]):
    """Queue items by workspace and serve the workspaces in round-robin order.

    >>> queue = FairQueue()
    >>> for workspace, item in [("a", 1), ("a", 2), ("a", 3), ("b", 4)]:
    ...     queue.push(workspace, item)
    >>> [queue.pop() for _ in range(len(queue))]
    [1, 4, 2, 3]
    """

    def __init__(self) -> None:
        # Workspaces in the order in which they are served next.
        self._queues: collections.OrderedDict[str, collections.deque[T]] = collections.OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, workspace: str, item: T) -> None:
        """Add an item at the end of its workspace's queue."""
        self._queues.setdefault(workspace, collections.deque()).append(item)
        self._length += 1

    def pop(self) -> T:
        """Take the next item; raise IndexError when the queue is empty."""
        if not self._queues:
            raise IndexError("the queue is empty")
        workspace, queue = self._queues.popitem(last=False)
        item = queue.popleft()
        if queue:
            self._queues[workspace] = queue
        self._length -= 1
        return item
