"""Simulate a backend server that keeps a ledger of the work that took effect."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import hashlib
import os
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..shared.errors import InvalidInputError, Problem

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

# Share of the service time after which the work takes effect. A connection lost between the effect
# and the response leaves the caller with an unknown outcome, which is a case that tests need.
_EFFECT_SHARE = 0.5
_CHUNK_BYTES = 65_536
_RETRY_AFTER_S = 1
_MAX_HEALTH_SAMPLES = 1024


class BackendSettings(NamedTuple):
    """Configure one backend server.

    * `service_ms`: service times by path prefix; other paths take `default_ms`.
    * `cold_s`: time after the start in which the service time falls from `cold_factor` times its
      usual value to that value.
    * `queue_length`: number of waiting requests at which further requests are shed.
    * `health_lag_s`: age of the state that health responses report.
    """

    vm: str
    service: str
    slots: int = 6
    connections: int = 130
    default_ms: float = 4.0
    service_ms: tuple[tuple[str, float], ...] = ()
    cold_s: float = 0.0
    cold_factor: float = 4.0
    queue_length: int = 64
    health_lag_s: float = 0.0
    seed: int = 1
    ledger_file: str | None = None


class Faults(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Describe the faults of a backend server; `fail`, `shed`, `cut_body` are shares of requests.

    * `slow_ms`, `slow_factor`: added to and multiplied with the service time.
    * `fail`: answers with status 500 after the work took effect.
    * `silent`: never again answers on connections that are open now; new ones work.
    * `lie`: reports good health without any load.
    * `shed`: refuses the request with status 503.
    * `cut_body`: closes the connection in the middle of the response body.
    """

    slow_ms: float = 0.0
    slow_factor: float = 1.0
    fail: float = 0.0
    silent: bool = False
    lie: bool = False
    shed: float = 0.0
    cut_body: float = 0.0


class LedgerEntry(msgspec.Struct, kw_only=True):
    """Record the work on one request; `started`, `effect`, `finished`, `aborted` are Unix times.

    Work that was aborted before its effect has no `effect`.
    """

    request_id: str
    vm: str
    path: str
    started: float
    effect: float | None = None
    finished: float | None = None
    aborted: float | None = None
    received: int = 0


class _Request(NamedTuple):
    request_id: str
    path: str
    response_bytes: int
    deadline_s: float | None
    client_address: Any


class _DisconnectedError(Exception):
    """Signal that the client closed its connection."""


class Ledger:
    """Keep entries in memory, and append them to a file if given, so that they survive a kill.

    The file holds one JSON object per line. Of several lines with the same `request_id` and
    `started`, the last one is valid.
    """

    def __init__(self, *, path: str | None) -> None:
        self.entries: list[LedgerEntry] = []
        self.aborted: list[LedgerEntry] = []
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else None

    def record_effect(self, entry: LedgerEntry) -> None:
        """Record that work took effect."""
        self.entries.append(entry)
        self._append(entry)

    def record_finish(self, entry: LedgerEntry) -> None:
        """Record that the response was sent in full."""
        self._append(entry)

    def record_abort(self, entry: LedgerEntry) -> None:
        """Record that work ended before its response was complete."""
        self.aborted.append(entry)
        self._append(entry)

    def _append(self, entry: LedgerEntry) -> None:
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(entry) + b"\n")


class BackendServer:
    """Serve HTTP as an ASGI application without a framework."""

    def __init__(self, *, settings: BackendSettings) -> None:
        self.settings = settings
        self.faults = Faults()
        self.draining = False
        self.ledger = Ledger(path=settings.ledger_file)
        self._rng = random.Random(settings.seed)
        self._slots = asyncio.Semaphore(settings.slots)
        self._started = time.monotonic()
        self._in_flight = 0
        self._queued = 0
        self._connections_seen: set[Any] = set()
        self._silent_connections: set[Any] = set()
        self._samples: collections.deque[tuple[float, dict[str, Any]]] = collections.deque(
            maxlen=_MAX_HEALTH_SAMPLES
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        handler = _CONTROL_PATHS.get((scope["method"], path))
        if handler is not None:
            status, body = await handler(self, receive)
            await _send_json(send, status, body)
            return
        client_address = scope["client"]
        self._connections_seen.add(client_address)
        if client_address in self._silent_connections:
            await _wait_disconnect(receive)
            return
        with contextlib.suppress(_DisconnectedError):
            await self._serve(_parse_request(scope), receive, send)

    def apply_faults(self, raw: bytes) -> None:
        """Replace the faults; raise InvalidInputError for an invalid document."""
        try:
            self.faults = msgspec.json.decode(raw or b"{}", type=Faults)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise InvalidInputError([Problem("faults", "$", "known faults", str(error))]) from error
        if self.faults.silent:
            self._silent_connections |= self._connections_seen

    def report_health(self) -> dict[str, Any]:
        """Return health and load, delayed or falsified according to settings and faults."""
        now = time.monotonic()
        self._samples.append((now, self._measure_health()))
        if self.faults.lie:
            return {"status": "ok", "in_flight": 0, "queued": 0, "slots": self.settings.slots}
        horizon = now - self.settings.health_lag_s
        old_enough = [sample for at, sample in self._samples if at <= horizon]
        return old_enough[-1] if old_enough else self._samples[0][1]

    def _measure_health(self) -> dict[str, Any]:
        return {
            "status": "draining" if self.draining else "ok",
            "in_flight": self._in_flight,
            "queued": self._queued,
            "slots": self.settings.slots,
        }

    async def _serve(self, request: _Request, receive: Receive, send: Send) -> None:
        if self._must_shed():
            headers = [(b"retry-after", b"%d" % _RETRY_AFTER_S)]
            await _send_json(send, 503, {"code": "shed", "detail": "overloaded"}, headers)
            return
        entry = LedgerEntry(
            request_id=request.request_id,
            vm=self.settings.vm,
            path=request.path,
            started=time.time(),
        )
        try:
            await self._process_request(request, entry, receive, send)
        except TimeoutError:
            self._abort(entry)
            await _send_json(send, 504, {"code": "deadline", "detail": "deadline passed"})
        except (_DisconnectedError, asyncio.CancelledError):
            self._abort(entry)
            raise

    def _must_shed(self) -> bool:
        if self.draining or self._queued >= self.settings.queue_length:
            return True
        return self._rng.random() < self.faults.shed

    def _abort(self, entry: LedgerEntry) -> None:
        entry.aborted = time.time()
        self.ledger.record_abort(entry)

    async def _process_request(
        self, request: _Request, entry: LedgerEntry, receive: Receive, send: Send
    ) -> None:
        async with asyncio.timeout(request.deadline_s) as deadline:
            digest = await self._read_body(entry, receive)
            disconnect_task = asyncio.create_task(_wait_disconnect(receive))
            try:
                await self._run_in_slot(request, entry, deadline, disconnect_task)
            finally:
                disconnect_task.cancel()
        if request.client_address in self._silent_connections:
            await _wait_disconnect(receive)
            raise _DisconnectedError
        await self._respond(request, entry, digest, send)

    async def _read_body(self, entry: LedgerEntry, receive: Receive) -> str:
        digest = hashlib.blake2b(digest_size=16)
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _DisconnectedError
            body = message.get("body", b"")
            entry.received += len(body)
            digest.update(body)
            if not message.get("more_body", False):
                return digest.hexdigest()

    async def _run_in_slot(
        self,
        request: _Request,
        entry: LedgerEntry,
        deadline: asyncio.Timeout,
        disconnect_task: asyncio.Task[None],
    ) -> None:
        self._queued += 1
        try:
            await self._acquire_slot(disconnect_task)
        finally:
            self._queued -= 1
        self._in_flight += 1
        try:
            service_s = self._draw_service_s(request.path)
            await _sleep(service_s * _EFFECT_SHARE, disconnect_task)
            # The deadline no longer applies to work that took effect: it runs to its end.
            deadline.reschedule(None)
            entry.effect = time.time()
            self.ledger.record_effect(entry)
            await _sleep(service_s * (1 - _EFFECT_SHARE), disconnect_task)
        finally:
            self._in_flight -= 1
            self._slots.release()

    async def _acquire_slot(self, disconnect_task: asyncio.Task[None]) -> None:
        if not self._slots.locked():
            await self._slots.acquire()
            return
        acquiring = asyncio.ensure_future(self._slots.acquire())
        try:
            await _await_unless_disconnected(acquiring, disconnect_task)
        except BaseException:
            # Otherwise a slot granted just as the deadline passes would never be released.
            if acquiring.done() and not acquiring.cancelled():
                self._slots.release()
            raise

    def _draw_service_s(self, path: str) -> float:
        base_ms = next(
            (ms for prefix, ms in self.settings.service_ms if path.startswith(prefix)),
            self.settings.default_ms,
        )
        age_s = time.monotonic() - self._started
        if age_s < self.settings.cold_s:
            cold_share = 1 - age_s / self.settings.cold_s
            base_ms *= 1 + (self.settings.cold_factor - 1) * cold_share
        jitter = self._rng.uniform(0.5, 1.5)
        return (base_ms * jitter * self.faults.slow_factor + self.faults.slow_ms) / 1000

    async def _respond(
        self, request: _Request, entry: LedgerEntry, digest: str, send: Send
    ) -> None:
        failed = self._rng.random() < self.faults.fail
        cut = self._rng.random() < self.faults.cut_body
        document = {
            "request_id": request.request_id,
            "service": self.settings.service,
            "vm": self.settings.vm,
            "path": request.path,
            "received": entry.received,
            "digest": digest,
        }
        first_line = msgspec.json.encode(document) + b"\n"
        total_bytes = max(len(first_line), request.response_bytes)
        await _start_response(send, 500 if failed else 200, total_bytes)
        if cut:
            await send({"type": "http.response.body", "body": first_line[:20], "more_body": True})
            # Leaving the application without the whole body makes uvicorn close the connection.
            self._abort(entry)
            return
        await _send_padded(send, first_line, total_bytes)
        entry.finished = time.time()
        self.ledger.record_finish(entry)

    async def _answer_health(self, receive: Receive) -> tuple[int, Any]:
        return 200, self.report_health()

    async def _answer_ledger(self, receive: Receive) -> tuple[int, Any]:
        return 200, {"entries": self.ledger.entries, "aborted": self.ledger.aborted}

    async def _answer_faults(self, receive: Receive) -> tuple[int, Any]:
        try:
            self.apply_faults(await _read_all(receive))
        except InvalidInputError as error:
            return 400, {"code": error.code, "detail": error.detail}
        return 200, self.faults

    async def _answer_drain(self, receive: Receive) -> tuple[int, Any]:
        self.draining = True
        return 200, {"draining": True}


_Handler = Callable[[BackendServer, Receive], Awaitable[tuple[int, Any]]]

_CONTROL_PATHS: dict[tuple[str, str], _Handler] = {
    ("GET", "/health"): BackendServer._answer_health,
    ("GET", "/_ledger"): BackendServer._answer_ledger,
    ("POST", "/_faults"): BackendServer._answer_faults,
    ("POST", "/_drain"): BackendServer._answer_drain,
}


def limit_connections(limit: int) -> type[HttpToolsProtocol]:
    """Return a protocol class that closes each connection above the limit at once."""

    class LimitedProtocol(HttpToolsProtocol):
        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if len(self.connections) > limit:
                transport.abort()

    return LimitedProtocol


def _parse_request(scope: Scope) -> _Request:
    headers = dict(scope["headers"])
    query = parse_qs(scope["query_string"].decode())
    deadline = headers.get(b"ibiswick-deadline-ms")
    return _Request(
        request_id=headers.get(b"x-request-id", b"").decode("latin-1"),
        path=scope["path"],
        response_bytes=int(query.get("size", ["0"])[0]),
        deadline_s=int(deadline) / 1000 if deadline else None,
        client_address=scope["client"],
    )


async def _await_unless_disconnected(
    awaitable: Awaitable[Any], disconnect_task: asyncio.Task[None]
) -> None:
    """Await an awaitable; raise _DisconnectedError if the client disconnects first."""
    task = asyncio.ensure_future(awaitable)
    try:
        await asyncio.wait({task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise _DisconnectedError
    finally:
        task.cancel()


async def _sleep(seconds: float, disconnect_task: asyncio.Task[None]) -> None:
    # A service time of 0 is used to measure the latency of the nodes, so it must not cost a task.
    if seconds > 0:
        await _await_unless_disconnected(asyncio.sleep(seconds), disconnect_task)


async def _wait_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _read_all(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _start_response(
    send: Send, status: int, length: int, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    fields = [(b"content-type", b"application/json"), (b"content-length", b"%d" % length)]
    await send(
        {"type": "http.response.start", "status": status, "headers": fields + (headers or [])}
    )


async def _send_json(
    send: Send, status: int, body: Any, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    encoded = msgspec.json.encode(body)
    await _start_response(send, status, len(encoded), headers)
    await send({"type": "http.response.body", "body": encoded})


async def _send_padded(send: Send, body_start: bytes, total_bytes: int) -> None:
    """Send the start of the body, then padding up to the total length."""
    left = total_bytes - len(body_start)
    await send({"type": "http.response.body", "body": body_start, "more_body": left > 0})
    while left > 0:
        chunk = b"x" * min(left, _CHUNK_BYTES)
        left -= len(chunk)
        await send({"type": "http.response.body", "body": chunk, "more_body": left > 0})
