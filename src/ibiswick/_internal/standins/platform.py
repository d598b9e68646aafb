"""Simulate the platform's object API in memory, with rate limits and injected faults."""

from __future__ import annotations

import asyncio
import collections
import random
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from ..shared.budgets import TokenBucket
from ..shared.errors import ConflictError, ValueTooLargeError
from ..shared.objectapi import MAX_VALUE_BYTES, MUST_NOT_EXIST, Listing, StoredObject
from .store import ObjectStore

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]

OBJECTS = "/v1/objects"
WATCH = "/v1/watch"
COUNTS = "/_counts"
FAULTS = "/_faults"

MAX_WATCH_S = 60.0
MAX_LISTED_OBJECTS = 1000
OUTAGE_RETRY_AFTER_S = 1


class Faults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe faults to set; faults that are not named stay as they are.

    * `outage`: answers every call with 503.
    * `slow_s`: delays every call, half of it before the call takes effect and half of it after.
    * `lose_answers`: probability that a write takes effect, but its connection is closed without a
      complete response.
    * `cut_watches`: breaks the pending watches and new ones.
    * `stale_reads`: probability that a read of one object returns its value before the last write.
    * `duration_s`: time after which the named faults end.
    """

    outage: bool | msgspec.UnsetType = msgspec.UNSET
    slow_s: float | msgspec.UnsetType = msgspec.UNSET
    lose_answers: float | msgspec.UnsetType = msgspec.UNSET
    cut_watches: bool | msgspec.UnsetType = msgspec.UNSET
    stale_reads: float | msgspec.UnsetType = msgspec.UNSET
    duration_s: float | None = None


class Response(NamedTuple):
    """Hold the response to one call; `lost` closes the connection before its end."""

    status: int
    body: Any = None
    headers: tuple[tuple[bytes, bytes], ...] = ()
    lost: bool = False


# Its status is one with a body: the missing body shows the client that the response is incomplete.
LOST_RESPONSE = Response(200, lost=True)


class _Call(NamedTuple):
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    caller: str


class _RequestError(Exception):
    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class _Watcher(NamedTuple):
    prefix: str
    wake: asyncio.Event


class PlatformApplication:
    """Serve the object API as an ASGI application."""

    def __init__(
        self,
        *,
        store: ObjectStore | None = None,
        writes_per_s: float = 500.0,
        reads_per_s: float = 2000.0,
        seed: int = 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store if store is not None else ObjectStore()
        # A burst of a tenth of a second tolerates uneven scheduling of clients on one machine.
        self._writes = TokenBucket(writes_per_s, writes_per_s / 10)
        self._reads = TokenBucket(reads_per_s, reads_per_s / 10)
        self._random = random.Random(seed)
        self._clock = clock
        self._faults: dict[str, Any] = {}
        self._fault_ends: dict[str, float] = {}
        self._previous_objects: dict[str, StoredObject | None] = {}
        self._watchers: set[_Watcher] = set()
        self._call_counts: collections.Counter[str] = collections.Counter()
        self._rejected_counts: collections.Counter[str] = collections.Counter()
        self._counts_by_caller: dict[str, collections.Counter[str]] = {}
        self._body_bytes: collections.Counter[str] = collections.Counter()

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        try:
            response = await self._answer(await _read_call(scope, receive))
        except _RequestError as error:
            response = Response(error.status, {"detail": str(error)})
        await self._send(response, send)

    async def _answer(self, call: _Call) -> Response:
        if call.path == COUNTS and call.method == "GET":
            return Response(200, self._report_counts())
        if call.path == FAULTS and call.method == "POST":
            return self._set_faults(call.body)
        kind = _classify(call)
        self._count(kind, call)
        rejection = self._check_limits(kind)
        if rejection is not None:
            self._rejected_counts[kind] += 1
            return rejection
        return await self._serve(kind, call)

    async def _serve(self, kind: str, call: _Call) -> Response:
        half_s = self._get_fault("slow_s", 0.0) / 2
        if half_s:
            await asyncio.sleep(half_s)
        if kind == "watch":
            response = await self._watch(call)
        else:
            response = self._handle(kind, call)
        if half_s:
            await asyncio.sleep(half_s)
        return response

    def _handle(self, kind: str, call: _Call) -> Response:
        if kind == "list":
            return self._list(call)
        key = call.path.removeprefix(OBJECTS + "/")
        if kind == "get":
            return self._get(key)
        try:
            return self._write(kind, key, call)
        except ConflictError as error:
            return Response(412, {"version": error.current})
        except ValueTooLargeError as error:
            return Response(413, {"detail": error.detail})

    def _get(self, key: str) -> Response:
        found = self._store.get(key)
        if key in self._previous_objects and self._draw_fault("stale_reads"):
            found = self._previous_objects[key]
        if found is None:
            return Response(404, {"detail": "no such object"})
        return Response(200, found.value, ((b"etag", f'"{found.version}"'.encode()),))

    def _list(self, call: _Call) -> Response:
        limit = _parse_int(call.query, "limit", MAX_LISTED_OBJECTS)
        listing = self._store.list(
            call.query.get("prefix", ""),
            after=call.query.get("after", ""),
            limit=max(0, min(limit, MAX_LISTED_OBJECTS)),
            reverse=call.query.get("reverse", "0") == "1",
        )
        return _build_listing(listing)

    def _write(self, kind: str, key: str, call: _Call) -> Response:
        expected = _parse_condition(call.headers)
        before = self._store.get(key)
        response = Response(204)
        if kind == "delete":
            if not self._store.delete(key, expected=expected):
                return Response(404, {"detail": "no such object"})
        else:
            _check_json(call.body)
            version = self._store.put_raw(key, call.body, expected=expected)
            response = Response(200, {"version": version})
        self._previous_objects[key] = before
        for watcher in self._watchers:
            if key.startswith(watcher.prefix):
                watcher.wake.set()
        return LOST_RESPONSE if self._draw_fault("lose_answers") else response

    async def _watch(self, call: _Call) -> Response:
        prefix = call.query.get("prefix", "")
        after = _parse_int(call.query, "after", 0)
        timeout_s = min(_parse_float(call.query, "timeout", MAX_WATCH_S), MAX_WATCH_S)
        if self._get_fault("cut_watches", False):
            return LOST_RESPONSE
        listing = self._store.list_changes(prefix, after=after)
        if not listing.objects:
            await self._wait_change(prefix, timeout_s)
            if self._get_fault("cut_watches", False):
                return LOST_RESPONSE
            if self._get_fault("outage", False):
                return _build_retry_later(503, OUTAGE_RETRY_AFTER_S)
            listing = self._store.list_changes(prefix, after=after)
        return _build_listing(listing)

    async def _wait_change(self, prefix: str, timeout_s: float) -> None:
        watcher = _Watcher(prefix, asyncio.Event())
        self._watchers.add(watcher)
        try:
            async with asyncio.timeout(timeout_s):
                await watcher.wake.wait()
        except TimeoutError:
            pass
        finally:
            self._watchers.discard(watcher)

    def _check_limits(self, kind: str) -> Response | None:
        if self._get_fault("outage", False):
            return _build_retry_later(503, OUTAGE_RETRY_AFTER_S)
        bucket = self._writes if kind in ("put", "delete") else self._reads
        wait_s = bucket.take(self._clock())
        return _build_retry_later(429, round(wait_s, 3)) if wait_s > 0 else None

    def _set_faults(self, body: bytes) -> Response:
        try:
            faults = msgspec.json.decode(body, type=Faults)
        except msgspec.DecodeError as error:
            raise _RequestError(400, str(error)) from error
        named = msgspec.structs.asdict(faults)
        duration_s = named.pop("duration_s")
        for name, value in named.items():
            if value is msgspec.UNSET:
                continue
            self._faults[name] = value
            self._fault_ends.pop(name, None)
            if duration_s is not None:
                self._fault_ends[name] = self._clock() + duration_s
        if faults.outage is True or faults.cut_watches is True:
            for watcher in self._watchers:
                watcher.wake.set()
        return Response(200, self._faults)

    def _get_fault(self, name: str, default: Any) -> Any:
        if self._clock() >= self._fault_ends.get(name, float("inf")):
            self._faults.pop(name, None)
            self._fault_ends.pop(name, None)
        return self._faults.get(name, default)

    def _draw_fault(self, name: str) -> bool:
        probability = self._get_fault(name, 0.0)
        return probability > 0 and self._random.random() < probability

    def _count(self, kind: str, call: _Call) -> None:
        self._call_counts[kind] += 1
        self._counts_by_caller.setdefault(call.caller, collections.Counter())[kind] += 1
        self._body_bytes["received"] += len(call.body)

    def _report_counts(self) -> dict[str, Any]:
        return {
            "revision": self._store.revision,
            "calls": self._call_counts,
            "rejected": self._rejected_counts,
            "callers": self._counts_by_caller,
            "pending_watches": len(self._watchers),
            "body_bytes": self._body_bytes,
        }

    async def _send(self, response: Response, send: Send) -> None:
        body = b""
        if response.status != 204 and not response.lost:
            body = msgspec.json.encode(response.body)
        # A response that ends before its announced length makes uvicorn close the connection.
        length = 1 if response.lost else len(body)
        headers = [(b"content-type", b"application/json"), *response.headers]
        if response.status != 204:
            headers.append((b"content-length", str(length).encode()))
        self._body_bytes["sent"] += len(body)
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        if not response.lost:
            await send({"type": "http.response.body", "body": body})


async def _read_call(scope: dict[str, Any], receive: Receive) -> _Call:
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    body = bytearray()
    more = True
    while more:
        message = await receive()
        if message["type"] != "http.request":
            raise _RequestError(400, "the request is incomplete")
        body += message.get("body", b"")
        if len(body) > MAX_VALUE_BYTES:
            raise _RequestError(413, f"the limit is {MAX_VALUE_BYTES} bytes")
        more = message.get("more_body", False)
    client = scope.get("client") or ("unknown", 0)
    return _Call(
        method=scope["method"],
        path=scope["path"],
        query=dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))),
        headers=headers,
        body=bytes(body),
        caller=headers.get("user-agent", client[0]),
    )


def _classify(call: _Call) -> str:
    if call.path == WATCH and call.method == "GET":
        return "watch"
    if call.path == OBJECTS and call.method == "GET":
        return "list"
    if not call.path.startswith(OBJECTS + "/") or call.path == OBJECTS + "/":
        raise _RequestError(404, "no such path")
    if call.method not in ("GET", "PUT", "DELETE"):
        raise _RequestError(405, "GET, PUT or DELETE")
    return call.method.lower()


def _build_retry_later(status: int, retry_after_s: float) -> Response:
    headers = ((b"retry-after", str(retry_after_s).encode()),)
    return Response(status, {"detail": "try again later"}, headers)


def _build_listing(listing: Listing) -> Response:
    objects = [
        (
            {"key": found.key, "version": found.version, "deleted": True}
            if found.value is None
            else found._asdict()
        )
        for found in listing.objects
    ]
    return Response(200, {"revision": listing.revision, "objects": objects})


def _check_json(body: bytes) -> None:
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _RequestError(400, f"the value is not JSON: {error}") from error


def _parse_condition(headers: dict[str, str]) -> int | None:
    if headers.get("if-none-match") == "*":
        return MUST_NOT_EXIST
    if "if-match" not in headers:
        return None
    try:
        return int(headers["if-match"].strip('"'))
    except ValueError:
        raise _RequestError(400, "If-Match must be a quoted version") from None


def _parse_int(query: dict[str, str], name: str, default: int) -> int:
    try:
        return int(query.get(name, default))
    except ValueError:
        raise _RequestError(400, f"{name} must be an integer") from None


def _parse_float(query: dict[str, str], name: str, default: float) -> float:
    try:
        return float(query.get(name, default))
    except ValueError:
        raise _RequestError(400, f"{name} must be a number") from None
