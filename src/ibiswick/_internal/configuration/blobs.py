"""Read and write content-addressed objects."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

from ..shared.digests import compute_digest, encode_canonical
from ..shared.errors import DamagedBlobError, OutcomeUnknownError, PlatformUnavailableError
from ..shared.objectapi import Platform

# Attempts of one read or write, so that a single rejected or lost call does not fail a change.
ATTEMPTS = 3
RETRY_DELAY_S = 0.05
# Enough to hide the latency of a few milliseconds, but too few for one change to use up the
# platform's rate.
MAX_CONCURRENT_CALLS = 16
CACHE_BYTES = 16_000_000


class BlobStore:
    """Store values under `blobs/<digest>`, with a cache of the last values read or written."""

    def __init__(
        self,
        *,
        platform: Platform,
        cache_bytes: int = CACHE_BYTES,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._platform = platform
        self._cache_bytes = cache_bytes
        self._sleep = sleep
        self._cache: collections.OrderedDict[str, tuple[Any, int]] = collections.OrderedDict()
        self._cached_bytes = 0

    async def read(self, digest: str) -> Any:
        """Return a value, which the caller must not modify; raise DamagedBlobError."""
        if digest in self._cache:
            self._cache.move_to_end(digest)
            return self._cache[digest][0]
        value = await self._retry(lambda: self._read_once(digest))
        self._remember(digest, value)
        return value

    async def read_all(self, digests: Iterable[str]) -> dict[str, Any]:
        """Return several values by digest."""
        wanted = list(dict.fromkeys(digests))
        values = await _gather_limited([lambda digest=d: self.read(digest) for d in wanted])
        return dict(zip(wanted, values, strict=True))

    async def write_all(self, values: Mapping[str, Any]) -> None:
        """Write several values by digest; values in the cache are known to exist and skipped."""
        missing = [digest for digest in values if digest not in self._cache]
        await _gather_limited(
            [lambda digest=d: self._write(digest, values[digest]) for d in missing]
        )

    async def _read_once(self, digest: str) -> Any:
        stored = await self._platform.get(f"blobs/{digest}")
        if stored is None:
            raise DamagedBlobError(f"blob {digest} is missing")
        if compute_digest(stored.value) != digest:
            raise DamagedBlobError(f"the content of blob {digest} does not match its digest")
        return stored.value

    async def _write(self, digest: str, value: Any) -> None:
        # Writing the same content twice is harmless, so a write with a lost response is repeated.
        await self._retry(lambda: self._platform.put(f"blobs/{digest}", value))
        self._remember(digest, value)

    async def _retry(self, call: Callable[[], Awaitable[Any]]) -> Any:
        for attempt in range(ATTEMPTS):
            try:
                return await call()
            # A blob that seems to be missing may have been written just before an outdated read.
            except (PlatformUnavailableError, DamagedBlobError):
                if attempt == ATTEMPTS - 1:
                    raise
            except OutcomeUnknownError as error:
                if attempt == ATTEMPTS - 1:
                    # An unused blob is harmless, so the change as a whole had no effect.
                    raise PlatformUnavailableError(error.detail) from error
            await self._sleep(RETRY_DELAY_S * 2**attempt)
        raise AssertionError("unreachable")

    def _remember(self, digest: str, value: Any) -> None:
        if digest in self._cache:
            return
        size = len(encode_canonical(value))
        self._cache[digest] = (value, size)
        self._cached_bytes += size
        while self._cached_bytes > self._cache_bytes:
            _, (_, dropped) = self._cache.popitem(last=False)
            self._cached_bytes -= dropped


async def _gather_limited(calls: list[Callable[[], Awaitable[Any]]]) -> list[Any]:
    """Run calls with limited concurrency; the first error cancels the others."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def run(call: Callable[[], Awaitable[Any]]) -> Any:
        async with limit:
            return await call()

    try:
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(run(call)) for call in calls]
    except BaseExceptionGroup as errors:
        raise errors.exceptions[0] from None
    return [task.result() for task in tasks]
