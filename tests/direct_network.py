"""Run nodes of the direct plane in virtual time, with fake backend servers."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Iterable
from typing import Any

import httptools
import msgspec

from builders import build_direct_settings
from call_network import Client, VirtualLoop, build_vm_context
from ibiswick._internal.calls.serving import bind_socket
from ibiswick._internal.direct.node import DirectNode
from ibiswick._internal.platform.configuration import CONFIGURATION_KEY, decode_configuration
from ibiswick._internal.platform.headers import HEADER_NAMES
from ibiswick._internal.platform.registry import decode_announcement
from ibiswick._internal.platform.rollouts import ROLLOUTS_PREFIX, RolloutObjects
from ibiswick._internal.platform.store import Store
from ibiswick._internal.shared.settings import Address
from ibiswick._internal.standins.store import ObjectStore
from platform_documents import build_configuration, build_heartbeat_body
from platform_store import StoreFetch

HOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S = 1.5
WORK_S = 0.02
WARMUP_S = 3.0


# Status, further headers, and bytes that are repeated after them without end.
ENDLESS_RESPONSES = {
    "endless-head": ("200 OK", "", b"X-More: " + b"x" * 8000 + b"\r\n"),
    "endless-header": ("200 OK", "X-More: ", b"x" * 8000),
    "endless-body": (
        "200 OK",
        "Transfer-Encoding: chunked\r\n\r\n",
        b"1f40\r\n" + b"x" * 8000 + b"\r\n",
    ),
    "endless-unframed": ("200 OK", "\r\n", b"x" * 8000),
    "endless-extension": ("200 OK", "Transfer-Encoding: chunked\r\n\r\n1;a=", b"x" * 8000),
    "endless-trailers": (
        "200 OK",
        "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: x\r\n" * 800,
    ),
    "endless-interim": ("103 Early Hints", "\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 300),
    "endless-junk": ("200 OK", "", b"\x00\xff" * 4000),
    "endless-declared-length": ("200 OK", "Content-Length: 999999999999\r\n\r\n", b"x" * 8000),
    "endless-small-chunks": ("200 OK", "Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "endless-extra-responses": (
        "200 OK",
        "X-Others: follow\r\nContent-Length: 0\r\nIbiswick-Attempt-Id: other\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nIbiswick-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n" * 80,
    ),
}
PIECE_INTERVAL_S = 0.001
# Time between copies of a rejection; about as long as a caller's node waits before it tries again.
COPY_INTERVAL_S = 0.02


class FakeBackendServer:
    """Run calls as their path demands, and record which ran.

    The last part of a path is a behaviour: `ok`, `slow`, `shed`, `fail`, `unsigned`, `crash`,
    `odd-status`, `unframed`, `cut-unframed`, `extra`, or `late-extra`, which sends a second
    response later.
    `fail-then-shed` fails a call on the first of the backend servers that share `failed_attempts`,
    and sheds it after that. `shed-repeatedly-then-run` sheds the first attempt of a call and sends
    further copies of that response, and runs the next attempt. Behaviours in `ENDLESS_RESPONSES`
    send bytes until the node closes the connection.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        *,
        instance: str,
        service: str,
        failed_attempts: set[str] | None = None,
    ) -> None:
        self.failed_attempts = failed_attempts if failed_attempts is not None else set()
        self.loop = loop
        self.instance = instance
        self.service = service
        self.runs: Counter[str] = Counter()
        self.cancelled = 0
        # Connections with an endless response that the node closed, and the bytes sent on them.
        self.closed_endless = 0
        self.endless_bytes = 0
        self.running = 0
        self.peak = 0
        self.seen: list[dict[str, str]] = []
        self.work_s = WORK_S
        self.version = "v1"
        # Behaviour of every call, instead of that in its path, and the share of calls that fail.
        self.behaviour = ""
        self.failed_share = 0.0
        self.rng = random.Random(instance)


class BackendConnection(asyncio.Protocol):
    """Answer the requests of one connection."""

    def __init__(self, server: FakeBackendServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: Any = None
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None and not self._task.done():
            self._server.cancelled += 1
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._url, self._headers, self._body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._task = self._server.loop.create_task(
            self._run(self._url.decode(), dict(self._headers), self._body)
        )

    async def _run(self, url: str, headers: dict[str, str], body: bytes) -> None:
        server = self._server
        server.seen.append(headers)
        attempt = headers["ibiswick-attempt-id"]
        behaviour = server.behaviour or url.rpartition("/")[2]
        if server.failed_share and server.rng.random() < server.failed_share:
            behaviour = "fail"
        if headers.get("ibiswick-expected-instance") != server.instance:
            self._write("421 Misdirected", attempt, b"", signed=False)
            return
        if behaviour == "fail-then-shed":
            behaviour = "shed" if attempt in server.failed_attempts else "fail"
            server.failed_attempts.add(attempt)
        if behaviour == "shed-repeatedly-then-run":
            is_first = attempt not in server.failed_attempts
            server.failed_attempts.add(attempt)
            behaviour = "shed" if is_first else "slow"
            if is_first:
                for number in range(1, 20):
                    server.loop.call_later(COPY_INTERVAL_S * number, self._shed, attempt)
        if behaviour == "shed":
            self._shed(attempt)
            return
        server.runs[attempt] += 1
        server.running += 1
        server.peak = max(server.peak, server.running)
        try:
            await asyncio.sleep(server.work_s * (10 if behaviour == "slow" else 1))
        finally:
            server.running -= 1
        content = f"{attempt} by {server.instance}, {len(body)} bytes".encode()
        self._respond(behaviour, attempt, content)

    def _shed(self, attempt: str) -> None:
        extra = "Ibiswick-Not-Executed: 1\r\n"
        self._write("503 Busy", attempt, b"", signed=False, extra=extra)

    def _respond(self, behaviour: str, attempt: str, content: bytes) -> None:
        if behaviour == "crash":
            self._transport.abort()
        elif behaviour == "odd-status":
            self._write("000 Odd", attempt, b"")
            self._write("200 OK", attempt, content)
        elif behaviour == "fail":
            self._write("500 Failed", attempt, b"")
        elif behaviour in ENDLESS_RESPONSES:
            self._server.loop.create_task(self._flood(attempt, *ENDLESS_RESPONSES[behaviour]))
        elif behaviour == "unsigned":
            self._write("200 OK", attempt, content, signed=False)
        elif behaviour in ("unframed", "cut-unframed"):
            self._transport.write(self._build_head("200 OK", attempt) + b"\r\n" + content)
            if behaviour == "unframed":
                self._transport.close()
            else:
                self._transport.abort()
        else:
            self._write("200 OK", attempt, content)
            if behaviour == "extra":
                self._write("200 OK", attempt, b"extra")
            if behaviour == "late-extra":
                loop = self._server.loop
                loop.call_later(0.05, self._write, "200 OK", attempt, b"late extra")

    async def _flood(self, attempt: str, status: str, headers: str, piece: bytes) -> None:
        """Send a head and then repeat the same bytes until the connection is closed."""
        start = f"HTTP/1.1 {status}\r\n"
        if status.startswith("200"):
            start = self._build_head(status, attempt).decode()
        self._transport.write((start + headers).encode())
        while not self._transport.is_closing():
            self._transport.write(piece)
            self._server.endless_bytes += len(piece)
            await asyncio.sleep(PIECE_INTERVAL_S)
        self._server.closed_endless += 1

    def _build_head(self, status: str, attempt: str, *, signed: bool = True) -> bytes:
        signature = "Ibiswick-Response-Signature: s\r\n" if signed else ""
        return f"HTTP/1.1 {status}\r\nIbiswick-Attempt-Id: {attempt}\r\n{signature}".encode()

    def _write(
        self, status: str, attempt: str, body: bytes, *, signed: bool = True, extra: str = ""
    ) -> None:
        head = self._build_head(status, attempt, signed=signed)
        length = f"{extra}Content-Length: {len(body)}\r\n\r\n".encode()
        self._transport.write(head + length + body)


class DirectMesh:
    """Run nodes that share one store, each with a backend server that announces itself."""

    def __init__(
        self,
        loop: VirtualLoop,
        services: list[str],
        *,
        zones: int = 2,
        link_bytes_per_s: dict[int, int] | None = None,
        seed: int = 0,
        follows_rollouts: bool = False,
    ) -> None:
        self.loop = loop
        self.follows_rollouts = follows_rollouts
        self._seed = seed * 1000
        self.zones = zones
        # Link rates of the VMs by the index of their node, as the settings name them.
        self.link_bytes_per_s = link_bytes_per_s or {}
        self.store = ObjectStore()
        # The revisions of all versions of the configuration.
        self.written: list[int] = []
        self.fetches: list[StoreFetch] = []
        self.backends: list[FakeBackendServer] = []
        self.nodes: list[DirectNode] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.sends_heartbeats: list[bool] = []
        self.services = services
        self.born = 1_000_000
        self.failed_attempts: set[str] = set()
        self._bound: list[socket.socket] = []

    def write_configuration(self, version: str = "0000000c", **changes: Any) -> None:
        """Write a configuration as the operator does."""
        document = build_configuration(version) | changes
        self.written.append(self.store.put(CONFIGURATION_KEY, document))
        for fetch in self.fetches:
            fetch.wake()

    def limit_link(self, index: int, *, version_s: float) -> None:
        """Let each version of the configuration occupy a VM's link for `version_s`."""
        vm = self.nodes[index].settings.vm
        self.fetches[index].transfer_versions = lambda count: self.loop.fill_link(
            vm, count * version_s
        )

    async def start(self, *, wait_s: float = 4.0) -> None:
        """Start every node and wait until all of them know each other."""
        self.write_configuration()
        for index in range(len(self.services)):
            await self.add(index)
        await asyncio.sleep(wait_s)

    def write_order(self, service: str, **order: Any) -> None:
        """Order a roll-out as the operator does."""
        spec = {"service": service, "target_version": "v2", "duration": "12s"} | order
        self.store.put(ROLLOUTS_PREFIX + service, {"spec": spec, "status": None})
        for fetch in self.fetches:
            fetch.wake()

    def set_mixed_failures(self, indexes: Iterable[int], share: float) -> None:
        """Let a share of the calls of some backend servers fail."""
        for index in indexes:
            if index < len(self.backends):
                self.backends[index].failed_share = share

    def get_status(self, service: str) -> dict[str, Any]:
        """Return the status of a roll-out, empty before the first one."""
        found = self.store.get(ROLLOUTS_PREFIX + service)
        return (found.value["status"] or {}) if found is not None else {}

    async def add(self, index: int, *, version: str = "v1") -> None:
        """Start one node and its backend server."""
        service = self.services[index]
        backend = FakeBackendServer(
            self.loop, instance=f"i-{index}", service=service, failed_attempts=self.failed_attempts
        )
        backend.version = version
        held = [bind_socket(HOST, 0) for _ in range(6)]
        await self.loop.create_server(lambda: BackendConnection(backend), sock=held[0])
        addresses = [Address(HOST, item.getsockname()[1]) for item in held]
        # The port of the backend server stays bound: a later node that got it would take its calls.
        self._bound.append(held[0])
        for item in held[1:]:
            item.close()
        settings = build_direct_settings(
            vm=f"vm-{index}",
            service=service,
            availability_zone=f"zone-{index % self.zones}",
            backend_server=addresses[0],
            caller=addresses[1],
            peer=addresses[2],
            readiness=addresses[3],
            registry=addresses[4],
            exchange=addresses[5],
            link_bytes_per_s=self.link_bytes_per_s.get(index, 0),
            follows_rollouts=self.follows_rollouts,
        )
        self.backends.append(backend)
        fetch = StoreFetch(self.store)
        fetch.written = self.written
        self.fetches.append(fetch)
        node = self._build_node(settings, fetch, index)
        self.nodes.append(node)
        self.tasks.append(self._start_node(node))
        self.sends_heartbeats.append(True)
        await asyncio.sleep(0.01)
        self.loop.create_task(self._send_heartbeats(index))

    def _build_node(self, settings: Any, fetch: StoreFetch, seed: int) -> DirectNode:
        return DirectNode(
            settings=settings,
            platform=Store(fetch=fetch),
            names=HEADER_NAMES,
            configuration_key=CONFIGURATION_KEY,
            decode_configuration=decode_configuration,
            decode_announcement=decode_announcement,
            rollout_decoder=RolloutObjects(),
            rng=random.Random(self._seed + seed),
            clock=self.loop.time,
            wall_clock=self.loop.time,
        )

    def _start_node(self, node: DirectNode) -> asyncio.Task[None]:
        return self.loop.create_task(node.run(), context=build_vm_context(node.settings.vm))

    async def restart(self, index: int) -> None:
        """Kill a node's process and start it again; its backend server keeps running."""
        await self.kill(index)
        node = self._build_node(self.nodes[index].settings, self.fetches[index], index + 100)
        self.nodes[index] = node
        self.tasks[index] = self._start_node(node)

    async def kill(self, index: int) -> None:
        """End a node's process without notice."""
        self.tasks[index].cancel()
        await asyncio.gather(self.tasks[index], return_exceptions=True)
        self.nodes[index].abort()

    def _list_ports(self, index: int) -> list[int]:
        settings = self.nodes[index].settings
        addresses = (settings.caller, settings.peer, settings.exchange, settings.registry)
        return [address.port for address in addresses]

    async def cut_power(self, index: int) -> None:
        """Cut the power of a node's VM: open connections are not reset, new ones hang."""
        for port in self._list_ports(index):
            self.loop.power_off(port)
        self.loop.silence_vm(self.nodes[index].settings.vm)
        self.sends_heartbeats[index] = False
        self.fetches[index].unreachable = True
        self.tasks[index].cancel()
        await asyncio.gather(self.tasks[index], return_exceptions=True)

    async def restore_power(self, index: int) -> None:
        """Restore the power of a node's VM, and start the node and its backend server."""
        self.loop.unpowered_ports.difference_update(self._list_ports(index))
        self.fetches[index].unreachable = False
        self.nodes[index].abort()
        await self.restart(index)
        self.sends_heartbeats[index] = True
        self.loop.create_task(self._send_heartbeats(index))

    async def _send_heartbeats(self, index: int) -> None:
        backend = self.backends[index]
        sequence = 0
        started_at = self.loop.time()
        while self.sends_heartbeats[index]:
            sequence += 1
            await self.announce(
                index,
                "heartbeat",
                build_heartbeat_body(
                    service=backend.service,
                    sequence=sequence,
                    born=self.born + index,
                    version=backend.version,
                    warmup_left=f"{max(0.0, started_at + WARMUP_S - self.loop.time()):.3f}s",
                ),
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def announce(self, index: int, call: str, body: dict[str, Any]) -> int:
        """Announce a backend server; return the status, 0 if the node refuses the connection."""
        raw = msgspec.json.encode(body)
        path = f"/instances/{self.backends[index].instance}/{call}"
        head = f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(raw)}\r\n\r\n".encode()
        client = await self.connect(self.nodes[index].settings.registry.port)
        if client is None:
            return 0
        client.transport.write(head + raw)
        await client.done
        client.transport.close()
        return client.status

    async def connect(self, port: int) -> Client | None:
        """Open a connection; None when nothing listens."""
        try:
            _, client = await self.loop.create_connection(lambda: Client(self.loop), HOST, port)
        except ConnectionRefusedError:
            return None
        return client

    async def call(
        self,
        index: int,
        path: str,
        attempt: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: str = "",
    ) -> Client:
        """Make one call through a node and wait for its end."""
        client = await self.connect(self.nodes[index].settings.caller.port)
        assert client is not None
        client.transport.write(
            build_request(path, attempt, method=method, body=body, headers=headers)
        )
        await client.done
        client.transport.close()
        return client

    def count_runs(self, attempt: str) -> int:
        """Return how often a call has run on all backend servers together."""
        return sum(backend.runs[attempt] for backend in self.backends)


def build_request(
    path: str,
    attempt: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1000,
    headers: str = "",
) -> bytes:
    """Build a request as a caller sends it."""
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nIbiswick-Attempt-Id: {attempt}\r\n"
        f"Ibiswick-Deadline-Ms: {deadline_ms}\r\n"
        f"Ibiswick-Caller-Service: forged\r\n{headers}{length}\r\n"
    )
    return head.encode() + body
