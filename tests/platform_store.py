"""Stand in for the platform's store, with rate limits, lost responses and dropped history."""

from __future__ import annotations

import asyncio
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from ibiswick._internal.platform.configuration import CONFIGURATION_KEY
from ibiswick._internal.platform.rollouts import ROLLOUTS_PREFIX
from ibiswick._internal.shared.errors import (
    ConflictError,
    ExchangeTimeoutError,
    NotSentError,
    ResponseLostError,
)
from ibiswick._internal.shared.objectapi import MUST_NOT_EXIST, FetchResponse, StoredObject
from ibiswick._internal.standins.store import ObjectStore

CONFIGURATION_KIND = CONFIGURATION_KEY.partition("/")[0]


async def _transfer_at_once(versions: int) -> None:
    """Return at once, as a transfer over a link of unlimited rate."""


class StoreFetch:
    """Implement `Fetch` on an ObjectStore, with the responses of the platform's store.

    * `status`: status with which every call is refused.
    * `unreachable`: no connection can be opened.
    * `lose_answers`: number of the next writes that take effect but get no response.
    * `history_from`: watches from an earlier revision get a 410.
    * `objects_per_page`: number of objects in one page of a list.
    * `calls_per_s`: rate limit; further calls in the same second are refused with 429.
    * `delay_s`: how long a read of the configuration takes.
    * `names_era`: whether responses name the era of the store.
    * `transfer_versions`: transfers a number of versions of the configuration over the link of the
      VM.
    * `written`: the revisions of all versions of the configuration.
    * `stale_store`: the store that stale reads see, instead of the present one.
    * `loses_responses`: responses to reads get lost while the connection stays open, also those to
      watches that are pending.

    A watch sends every version of an object; `versions_sent` counts the versions of the
    configuration that were sent by any kind of read.
    """

    def __init__(self, store: ObjectStore | None = None) -> None:
        self.store = store if store is not None else ObjectStore()
        self.status = 0
        self.unreachable = False
        self.lose_answers = 0
        self.history_from = 0
        self.objects_per_page = 500
        self.delay_s = 0.0
        self.transfer_versions: Callable[[int], Awaitable[None]] = _transfer_at_once
        self.written: list[int] = []
        self.stale_store: ObjectStore | None = None
        self.loses_responses = False
        self.names_era = True
        self.calls_per_s: int | None = None
        self.refused = 0
        self._second = 0
        self._calls_of_second = 0
        self.versions_sent = 0
        self.calls: list[tuple[str, str]] = []
        self._wake = asyncio.Event()

    async def __call__(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> FetchResponse:
        """Respond to one call."""
        self.calls.append((method, target))
        if self.unreachable:
            raise NotSentError("refused")
        if self.status:
            return self._answer(self.status, {})
        if self._is_over_rate():
            self.refused += 1
            return self._answer(429, {})
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        key = path.removeprefix("/objects/")
        if method != "GET":
            response = self._write(method, key, query, body)
            self.wake()
            if self.lose_answers:
                self.lose_answers -= 1
                raise ResponseLostError("the answer was lost")
            return response
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._read(key, query)
                if self.loses_responses:
                    await asyncio.Event().wait()
                return response
        except TimeoutError as error:
            raise ExchangeTimeoutError(f"no response within {timeout_s} s") from error

    async def _read(self, key: str, query: dict[str, str]) -> FetchResponse:
        is_stale = "serializable" in query
        if "watch" in query:
            wait_s = int(query["wait_ms"]) / 1000
            return await self._watch(key, int(query["watch"]), wait_s, stale=is_stale)
        if "/" in key:
            found = self.store.get(key)
            await asyncio.sleep(self.delay_s if key == CONFIGURATION_KEY else 0.0)
            if key == CONFIGURATION_KEY:
                self.versions_sent += 1
                await self.transfer_versions(1)
            return self._answer(404, {}) if found is None else self._answer_object(key)
        if key == CONFIGURATION_KIND:
            await self.transfer_versions(1)
        return self._list(key, query.get("after", ""), stale=is_stale)

    def _is_over_rate(self) -> bool:
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second, self._calls_of_second = second, 0
        self._calls_of_second += 1
        return self.calls_per_s is not None and self._calls_of_second > self.calls_per_s

    def wake(self) -> None:
        """Let the pending watches check for changes that another writer made."""
        self._wake.set()
        self._wake = asyncio.Event()

    def _list(self, kind: str, after: str, *, stale: bool) -> FetchResponse:
        prefix = kind + "/"
        store = self._select_store(stale=stale)
        listing = store.list(prefix, after=prefix + after if after else "", limit=10_000)
        items = [self._show(item) for item in listing.objects]
        page = {
            "items": items[: self.objects_per_page],
            "more": len(items) > self.objects_per_page,
            "current_rev": listing.revision,
        }
        return self._answer(200, page)

    def _select_store(self, *, stale: bool) -> ObjectStore:
        return self.stale_store if stale and self.stale_store is not None else self.store

    async def _watch(self, kind: str, after: int, wait_s: float, *, stale: bool) -> FetchResponse:
        if after < self.history_from or after > self.store.revision:
            return self._answer(410, {})
        store = self._select_store(stale=stale)
        changes = store.list_changes(kind + "/", after=after)
        if not changes.objects:
            wake = self._wake
            try:
                async with asyncio.timeout(wait_s):
                    await wake.wait()
            except TimeoutError:
                pass
            changes = store.list_changes(kind + "/", after=after)
        if kind == CONFIGURATION_KIND and changes.objects:
            versions = sum(after < revision <= changes.revision for revision in self.written)
            self.versions_sent += versions
            await self.transfer_versions(versions)
        events = [
            {
                "deleted": item.value is None,
                "object": {
                    "metadata": {"name": item.key.partition("/")[2], "revision": item.version},
                    **_split_status(item),
                },
            }
            for item in changes.objects
        ]
        return self._answer(200, {"events": events, "current_rev": changes.revision})

    def _write(self, method: str, key: str, query: dict[str, str], body: bytes) -> FetchResponse:
        document = msgspec.json.decode(body) if body else {"metadata": {}}
        revision = document["metadata"].get("revision") or query.get("revision")
        expected = None if revision is None else int(revision)
        if method == "POST":
            key += "/" + document["metadata"]["name"]
            expected = MUST_NOT_EXIST
        elif key.endswith("/status"):
            return self._write_status(key.removesuffix("/status"), document, expected)
        elif self.store.get(key) is None:
            return self._answer(404, {})
        try:
            if method == "DELETE":
                self.store.delete(key, expected=expected)
                return self._answer(200, {})
            self.store.put(key, document["spec"], expected=expected)
        except ConflictError:
            return self._answer(409, self._show_current(key))
        return self._answer_object(key)

    def _write_status(
        self, key: str, document: dict[str, Any], expected: int | None
    ) -> FetchResponse:
        found = self.store.get(key)
        if found is None:
            return self._answer(404, {})
        try:
            self.store.put(key, found.value | {"status": document["status"]}, expected=expected)
        except ConflictError:
            return self._answer(409, self._show_current(key))
        return self._answer_object(key)

    def _show_current(self, key: str) -> dict[str, Any]:
        found = self.store.get(key)
        assert found is not None
        return self._show(found)

    @staticmethod
    def _show(found: StoredObject) -> dict[str, Any]:
        metadata = {
            "name": found.key.partition("/")[2],
            "revision": found.version,
            "created_rev": 1,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, **_split_status(found)}

    def _answer_object(self, key: str) -> FetchResponse:
        return self._answer(200, self._show_current(key))

    def _answer(self, status: int, value: Any) -> FetchResponse:
        headers = {"store-era": str(self.store.era)} if self.names_era else {}
        return FetchResponse(status, headers, msgspec.json.encode(value))


def _split_status(found: StoredObject) -> dict[str, Any]:
    if found.key.startswith(ROLLOUTS_PREFIX) and found.value is not None:
        return {"spec": found.value["spec"], "status": found.value["status"]}
    return {"spec": found.value, "status": None}
