"""Run nodes as processes on loopback addresses, with a store and a backend server beside them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ibiswick._internal.calls.serving import Listener, ServerRequest
from ibiswick._internal.platform.configuration import CONFIGURATION_KEY
from ibiswick._internal.platform.settings import PATH_VARIABLE
from ibiswick._internal.standins.store import ObjectStore
from platform_documents import build_configuration, build_heartbeat_body
from platform_store import StoreFetch

SOURCES = Path(__file__).parents[1] / "src"
PORTS = {"readiness": 8140, "caller": 8141, "peer": 8145, "registry": 8146, "backend": 8147}
EXCHANGE_PORT = 7660
BYTES_PER_MB = 1024 * 1024
START_LIMIT_S = 20.0
PIECE = b"x" * (64 * 1024)


class ProcessUsage(NamedTuple):
    """Hold what a process uses, as the kernel counts it."""

    peak_mb: float
    resident_mb: float
    descriptors: int


class NodeProcess:
    """Run one node as a program, with the settings that the platform writes."""

    def __init__(self, *, directory: Path, host: str, service: str, store_port: int) -> None:
        self.host = host
        self.service = service
        self._settings = directory / f"{service}.toml"
        self._log = directory / f"{service}.log"
        self._store_port = store_port
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, *, memory_mb: int, max_fds: int) -> None:
        """Start the process."""
        self._settings.write_text(self._format_settings(memory_mb, max_fds))
        variables = {**os.environ, PATH_VARIABLE: str(self._settings), "PYTHONPATH": str(SOURCES)}
        with self._log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ibiswick._internal.commands.direct",
                env=variables,
                stdout=log,
                stderr=log,
            )

    def _format_settings(self, memory_mb: int, max_fds: int) -> str:
        host = self.host
        return f"""
node_id = "vm-{self.service}"
zone = "ege-bir"
internal_ports = [{EXCHANGE_PORT}, {EXCHANGE_PORT + 15}]
app_addr = "{host}:{PORTS["backend"]}"
service = "{self.service}"
[listen_addrs]
inbound = "{host}:{PORTS["peer"]}"
outbound = "{host}:{PORTS["caller"]}"
readiness = "{host}:{PORTS["readiness"]}"
admin = "{host}:{PORTS["registry"]}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
grace = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_slack = 64
[platform]
address = "127.0.0.1:{self._store_port}"
"""

    @property
    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self._process is not None and self._process.returncode is None

    def read_usage(self) -> ProcessUsage:
        """Read what the process uses, and its highest use of memory."""
        assert self._process is not None
        root = Path("/proc") / str(self._process.pid)
        status = (root / "status").read_text()
        peak, resident = (
            int(re.search(rf"{name}:\s+(\d+) kB", status)[1]) / 1024  # type: ignore[index]
            for name in ("VmHWM", "VmRSS")
        )
        return ProcessUsage(peak, resident, len(list((root / "fd").iterdir())))

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors="replace")

    async def stop(self) -> None:
        """End the process."""
        if self.is_running:
            assert self._process is not None
            self._process.kill()
            await self._process.wait()


class ProcessMesh:
    """Run one node for callers (`front`) and one beside a backend server (`counter`)."""

    def __init__(self, directory: Path) -> None:
        # The metrics port is fixed, so each run takes addresses of its own.
        prefix = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}"
        self._directory = directory
        self._prefix = prefix
        self._store = ObjectStore()
        self._fetch = StoreFetch(self._store)
        self._store_listener = Listener(handler=self._serve_store, host="127.0.0.1", port=0)
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self.nodes: list[NodeProcess] = []

    @property
    def front(self) -> NodeProcess:
        """Return the node that callers use."""
        return self.nodes[0]

    @property
    def back(self) -> NodeProcess:
        """Return the node beside the backend server."""
        return self.nodes[1]

    async def start(self, *, memory_mb: int, max_fds: int) -> None:
        """Start both nodes, and wait until a call is answered."""
        self._store.put(CONFIGURATION_KEY, build_pressure_configuration())
        await self._store_listener.start()
        for number, service in enumerate(("front", "counter"), start=1):
            node = NodeProcess(
                directory=self._directory,
                host=f"{self._prefix}.{number}",
                service=service,
                store_port=self._store_listener.port,
            )
            self.nodes.append(node)
            await node.start(memory_mb=memory_mb, max_fds=max_fds)
        self._server = await asyncio.start_server(
            _serve_backend, self.back.host, PORTS["backend"], limit=1 << 20
        )
        self._tasks = [asyncio.create_task(self._announce(node)) for node in self.nodes]
        await self.wait_answer(limit_s=START_LIMIT_S)

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            await node.stop()
        if self._server is not None:
            self._server.close()
        self._store_listener.abort()

    async def wait_answer(self, *, limit_s: float) -> None:
        """Repeat an ordinary request until it is answered 200; raise TimeoutError."""
        async with asyncio.timeout(limit_s):
            while True:
                if await self._call_once() == b"200":
                    return
                await asyncio.sleep(0.1)

    async def _call_once(self) -> bytes:
        try:
            reader, writer = await asyncio.open_connection(self.front.host, PORTS["caller"])
        except OSError:
            return b""
        try:
            writer.write(build_call(size=100))
            async with asyncio.timeout(2.0):
                line = await reader.readline()
            return line[9:12]
        except (OSError, TimeoutError):
            return b""
        finally:
            writer.transport.abort()

    async def _serve_store(self, request: ServerRequest) -> None:
        body = bytearray()
        while part := await request.read():
            body += part
        target = request.target.decode()
        response = await self._fetch(request.method, target, {}, bytes(body), 30.0)
        headers = [(name.encode(), value.encode()) for name, value in response.headers.items()]
        request.respond(response.status, headers, response.body)

    async def _announce(self, node: NodeProcess) -> None:
        """Send heartbeats for the backend server of a node."""
        sequence = 0
        while True:
            sequence += 1
            body = build_heartbeat_body(
                service=node.service, sequence=sequence, capacity=200, warmup_left="0ms"
            )
            raw = msgspec.json.encode(body)
            head = f"POST /instances/i-{node.service}/heartbeat HTTP/1.1\r\nhost: x\r\n"
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(node.host, PORTS["registry"])
                writer.write(f"{head}content-length: {len(raw)}\r\n\r\n".encode() + raw)
                await asyncio.sleep(0.3)
                writer.transport.abort()
            await asyncio.sleep(0.3)


@contextlib.asynccontextmanager
async def run_mesh(
    directory: Path, *, memory_mb: int, max_fds: int = 1024
) -> AsyncIterator[ProcessMesh]:
    """Run two nodes, and end them afterwards."""
    mesh = ProcessMesh(directory)
    try:
        await mesh.start(memory_mb=memory_mb, max_fds=max_fds)
        yield mesh
    finally:
        await mesh.stop()


def build_pressure_configuration() -> dict[str, Any]:
    """Build a configuration whose calls have time to move large bodies."""
    document = build_configuration()
    for rule in document["listeners"][0]["rules"]:
        rule.pop("target_latency")
        rule["action"] = {"service": "counter", "timeout": "8000ms", "attempts": 1}
    document["clusters"] = document["clusters"][:1]
    return document


def build_call(*, size: int = 0, count: int = 1) -> bytes:
    """Build pipelined requests whose responses have `size` bytes each."""
    return b"".join(
        f"GET /read/big?size={size} HTTP/1.1\r\nHost: ficu95.example\r\n"
        f"Ibiswick-Attempt-Id: a-{os.urandom(6).hex()}\r\n\r\n".encode()
        for _ in range(count)
    )


async def _serve_backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests with as many bytes as their query asks for."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = re.search(rb"content-length: (\d+)", head)
            left = int(length[1]) if length else 0
            while left > 0:
                left -= len(await reader.readexactly(min(left, len(PIECE))))
            size = re.search(rb"size=(\d+)", head)
            attempt = re.search(rb"ibiswick-attempt-id: (\S+)", head)
            body_bytes = int(size[1]) if size else 0
            writer.write(
                b"HTTP/1.1 200 OK\r\nIbiswick-Attempt-Id: %b\r\n"
                b"Ibiswick-Response-Signature: s\r\nContent-Length: %d\r\n\r\n"
                % (attempt[1] if attempt else b"", body_bytes)
            )
            while body_bytes > 0:
                writer.write(PIECE[:body_bytes])
                body_bytes -= len(PIECE)
                await writer.drain()
    writer.transport.abort()


class Crowd:
    """Hold connections of clients that send what a test says and read only as much as it says."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def connect(
        self, host: str, port: int, *, count: int, first: Callable[[], bytes] | bytes = b""
    ) -> None:
        """Open connections that send `first` and read nothing."""
        for _ in range(count):
            try:
                # Reading pauses at twice the limit, so almost nothing is taken from the node.
                _, writer = await asyncio.open_connection(host, port, limit=1024)
            except OSError:
                continue
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(first() if callable(first) else first)
            self._writers.append(writer)

    def send_often(self, data: bytes, *, interval_s: float) -> None:
        """Send the same bytes on every connection again and again."""
        self._tasks.append(asyncio.create_task(self._repeat(data, interval_s)))

    def read_slowly(self, *, duration_s: float, interval_s: float) -> None:
        """Read for a moment on every connection again and again."""
        self._tasks.append(asyncio.create_task(self._sip(duration_s, interval_s)))

    async def _repeat(self, data: bytes, interval_s: float) -> None:
        while True:
            for writer in self._writers:
                # A client that is held back stops at the kernel's buffers.
                if not writer.is_closing() and not writer.transport.get_write_buffer_size():
                    writer.write(data)
            await asyncio.sleep(interval_s)

    async def _sip(self, duration_s: float, interval_s: float) -> None:
        while True:
            for writer in self._writers:
                if not writer.is_closing():
                    with contextlib.suppress(RuntimeError):
                        writer.transport.resume_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(duration_s)
            for writer in self._writers:
                if not writer.is_closing():
                    with contextlib.suppress(RuntimeError):
                        writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(interval_s)

    def close(self) -> None:
        """Leave at once."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


@contextlib.contextmanager
def open_crowd() -> Any:
    """Build a crowd that leaves at the end."""
    crowd = Crowd()
    try:
        yield crowd
    finally:
        crowd.close()
