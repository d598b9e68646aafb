"""Provide fakes of the platform and of the clock, with faults on demand."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

from ibiswick._internal.shared.errors import OutcomeUnknownError, PlatformUnavailableError
from ibiswick._internal.shared.objectapi import Listing, StoredObject
from ibiswick._internal.standins.store import ObjectStore


class FakeClock:
    """Hold a time in seconds that moves only on demand.

    Calling the clock returns the time. `sleep` advances it and lets other tasks run.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the time forward."""
        self.now += seconds

    async def sleep(self, seconds: float) -> None:
        """Move the time forward and let other tasks run once."""
        self.now += max(seconds, 0.0)
        await asyncio.sleep(0)


class FakePlatform:
    """Implement `Platform` in memory, on an ObjectStore that several fakes may share.

    * `down`: every call raises PlatformUnavailableError.
    * `reject_calls`: number of next calls that raise PlatformUnavailableError.
    * `lose_answers`: number of next writes that take effect and raise OutcomeUnknownError.
    * `lose_requests`: number of next writes that have no effect and raise OutcomeUnknownError.
    * `stale_reads`: number of next `get` calls that return the object before its last write.
    * `fault_prefix`: the counted faults above apply only to keys under this prefix.
    * `cut_watches()`: pending watches raise PlatformUnavailableError.
    * `slow_s`: seconds that every call sleeps first (on the event loop's clock).

    `yields` is the number of times that a call lets other tasks run before and after it takes
    effect. `calls` counts calls by method, and `log` lists (method, key).
    """

    def __init__(self, store: ObjectStore | None = None) -> None:
        self.store = store if store is not None else ObjectStore()
        self.down = False
        self.reject_calls = 0
        self.lose_answers = 0
        self.lose_requests = 0
        self.stale_reads = 0
        self.fault_prefix = ""
        self.slow_s = 0.0
        self.yields = 1
        self.calls: collections.Counter[str] = collections.Counter()
        self.log: list[tuple[str, str]] = []
        self._previous: dict[str, StoredObject | None] = {}
        self._cut_count = 0
        self._changed = asyncio.Event()

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or the one before its last write."""
        await self._enter("get", key)
        found = self.store.get(key)
        if key in self._previous and self._use_fault("stale_reads", key):
            found = self._previous[key]
        await self._run_other_tasks()
        return found

    async def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object."""
        await self._enter("put", key)
        self._lose_request(key)
        before = self.store.get(key)
        version = self.store.put(key, value, expected=expected)
        self._finish_write(key, before)
        await self._run_other_tasks()
        return version

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete one object."""
        await self._enter("delete", key)
        self._lose_request(key)
        before = self.store.get(key)
        if self.store.delete(key, expected=expected):
            self._finish_write(key, before)
        await self._run_other_tasks()

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = 1000,
        reverse: bool = False,
        allow_stale: bool = False,
    ) -> Listing:
        """Return objects under a prefix."""
        await self._enter("list", prefix)
        return self.store.list(prefix, after=after, limit=limit, reverse=reverse)

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float, allow_stale: bool = False
    ) -> Listing:
        """Wait for a write through this fake; find writes through other fakes at the timeout."""
        await self._enter("watch", prefix)
        cut_count = self._cut_count
        deadline = asyncio.get_running_loop().time() + timeout_s
        while not (listing := self.store.list_changes(prefix, after=after)).objects:
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                return self.store.list_changes(prefix, after=after)
            if self.down or self._cut_count != cut_count:
                raise PlatformUnavailableError("the watch was cut")
        return listing

    def cut_watches(self) -> None:
        """Break the pending watches."""
        self._cut_count += 1
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _enter(self, method: str, key: str) -> None:
        self.calls[method] += 1
        self.log.append((method, key))
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        await self._run_other_tasks()
        if self._use_fault("reject_calls", key):
            raise PlatformUnavailableError("rejected")
        if self.down:
            raise PlatformUnavailableError("the platform is down")

    def _use_fault(self, name: str, key: str) -> bool:
        remaining: int = getattr(self, name)
        if not remaining or not key.startswith(self.fault_prefix):
            return False
        setattr(self, name, remaining - 1)
        return True

    async def _run_other_tasks(self) -> None:
        for _ in range(self.yields):
            await asyncio.sleep(0)

    def _lose_request(self, key: str) -> None:
        if self._use_fault("lose_requests", key):
            raise OutcomeUnknownError(f"the request for {key} was lost")

    def _finish_write(self, key: str, before: StoredObject | None) -> None:
        self._previous[key] = before
        self._notify()
        if self._use_fault("lose_answers", key):
            raise OutcomeUnknownError(f"the response for {key} was lost")


class FakeHolder:
    """Hold bytes of which a party has taken as many as the test says."""

    def __init__(self, *, stall_s: float | None = 15.0) -> None:
        self.stall_s = stall_s
        self.sent_bytes = 0
        self.cuts: list[str] = []

    def measure_sent(self) -> int:
        return self.sent_bytes

    def cut(self, reason: str) -> None:
        self.cuts.append(reason)
