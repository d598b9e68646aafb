"""Run nodes on an event loop with virtual time and connections in memory."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any

import httptools

from ibiswick._internal.model.clock import VirtualTimeLoop, run_in_virtual_time

LATENCY_S = 0.001
# Time for which the operating system tries to connect to a VM that does not answer.
CONNECT_TIMEOUT_S = 120.0
# The VM on which the current code runs. It is empty for callers, backend servers and the test,
# which are not separated from the nodes by a link.
VM: ContextVar[str] = ContextVar("VM", default="")


def build_vm_context(vm: str) -> Context:
    """Build the context in which the code of a VM runs."""
    context = copy_context()
    context.run(VM.set, vm)
    return context


class Pipe(asyncio.Transport):
    """Carry bytes to the protocol at the other end, in order and with latency."""

    def __init__(self, network: VirtualLoop, protocol: Any, port: int, context: Context) -> None:
        super().__init__({"peername": ("127.0.0.1", port), "sockname": ("127.0.0.1", port)})
        self.network = network
        self.protocol = protocol
        self.port = port
        self.context = context
        self.other: Pipe | None = None
        self.silent = False
        self._closed = False
        self._paused = False
        self._inbox: deque[bytes | BaseException | None] = deque()

    def write(self, data: Any) -> None:
        if not self._closed and data:
            self.network.carried_bytes[self.port] += len(data)
            self._post(bytes(data))

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the other end has not read."""
        unread = self.other._inbox if self.other is not None else ()
        return sum(len(item) for item in unread if isinstance(item, bytes))

    def _post(self, item: bytes | BaseException | None) -> None:
        if self.other is not None and not self.silent:
            self.other._inbox.append(item)
            delay_s = self.network.compute_delay(self.context, self.other.context)
            self.network.call_later(delay_s, self.other._pump, context=self.other.context)

    def _pump(self) -> None:
        while self._inbox and not self._closed and not self._paused:
            item = self._inbox.popleft()
            if isinstance(item, bytes):
                self.protocol.data_received(item)
                return
            if item is None:
                self.protocol.eof_received()
            self._lose(item)

    def _lose(self, reason: BaseException | None) -> None:
        if not self._closed:
            self._closed = True
            self.network.call_soon(self.protocol.connection_lost, reason, context=self.context)

    def close(self) -> None:
        if not self._closed:
            self._post(None)
            self._lose(None)

    def abort(self) -> None:
        if not self._closed:
            self._post(ConnectionResetError("reset by the peer"))
            self._lose(None)

    def is_closing(self) -> bool:
        return self._closed

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        self.network.call_soon(self._pump, context=self.context)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


class _Server:
    """Stand in for a listening server."""

    sockets = ()

    def __init__(self, loop: VirtualLoop, port: int) -> None:
        self._loop = loop
        self._port = port

    def close(self) -> None:
        self._loop.listeners.pop(self._port, None)

    async def wait_closed(self) -> None:
        pass


class VirtualLoop(VirtualTimeLoop):
    """Run in virtual time, and connect protocols in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[int, Callable[[], Any]] = {}
        # The VM of each listener.
        self.contexts: dict[int, Context] = {}
        # Bytes written on the connections to each port, in both directions.
        self.carried_bytes: Counter[int] = Counter()
        self.pipes: list[Pipe] = []
        # Ports of VMs without power, where connections are neither accepted nor refused.
        self.unpowered_ports: set[int] = set()
        # Seconds that packets wait at the link of a VM, in either direction.
        self.link_waits: dict[str, float] = {}
        # Time until which a large transfer occupies the link of a VM; other packets wait behind it.
        self.link_busy_until: dict[str, float] = {}

    async def create_server(self, factory: Any, *args: Any, **options: Any) -> Any:
        port = options["sock"].getsockname()[1]
        self.listeners[port] = factory
        self.contexts[port] = copy_context()
        return _Server(self, port)

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: str, port: int, **options: Any
    ) -> Any:
        context = copy_context()
        far_context = self.contexts.get(port, Context())
        # A handshake takes a packet each way.
        await asyncio.sleep(2 * self.compute_delay(context, far_context) - LATENCY_S)
        if port in self.unpowered_ports:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError(f"no answer from port {port}")
        if port not in self.listeners:
            raise ConnectionRefusedError(f"nothing listens on port {port}")
        near = Pipe(self, factory(), port, context)
        far = Pipe(self, far_context.copy().run(self.listeners[port]), port, far_context)
        near.other, far.other = far, near
        self.pipes += (near, far)
        far_context.copy().run(far.protocol.connection_made, far)
        near.protocol.connection_made(near)
        return near, near.protocol

    def compute_delay(self, one: Context, other: Context) -> float:
        """Return the seconds that a packet takes between two VMs."""
        ends = {one.get(VM, ""), other.get(VM, "")}
        if "" in ends or len(ends) == 1:
            return LATENCY_S
        return LATENCY_S + sum(self._find_link_wait(vm) for vm in ends)

    def _find_link_wait(self, vm: str) -> float:
        busy_s = max(0.0, self.link_busy_until.get(vm, 0.0) - self.now)
        return self.link_waits.get(vm, 0.0) + busy_s

    async def fill_link(self, vm: str, seconds: float) -> None:
        """Wait until a transfer that takes `seconds` has passed the link of a VM."""
        until = max(self.now, self.link_busy_until.get(vm, 0.0)) + seconds
        self.link_busy_until[vm] = until
        await asyncio.sleep(until - self.now)

    def power_off(self, port: int) -> None:
        """Cut the power of a port's VM: open connections are silent, and new ones hang."""
        self.unpowered_ports.add(port)
        self.silence(port)

    def silence_vm(self, vm: str) -> None:
        """Drop all further bytes on the open connections from a VM, in both directions."""
        for pipe in self.pipes:
            if pipe.context.get(VM, "") == vm and pipe.other is not None:
                pipe.silent = pipe.other.silent = True

    def silence(self, port: int) -> None:
        """Drop all further bytes on the open connections to a port; new connections work."""
        for pipe in self.pipes:
            if pipe.port == port:
                pipe.silent = True


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine in virtual time, and cancel the tasks that it leaves behind."""
    loop = VirtualLoop()
    return run_in_virtual_time(loop, lambda: main(loop))


class Client(asyncio.Protocol):
    """Send one request and collect its response."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.done: asyncio.Future[None] = loop.create_future()
        self.started_at = loop.time()
        self.finished_at = self.started_at
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.transport: Any = None
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.status == 100:
            return
        self.complete = True
        self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish()

    def _finish(self) -> None:
        if not self.done.done():
            self.finished_at = self.done.get_loop().time()
            self.done.set_result(None)


async def request(
    loop: asyncio.AbstractEventLoop, port: int, *parts: bytes, pause_s: float = 0.0, tls: Any = None
) -> Client:
    """Send the parts of a request over a new connection, and wait for the response."""
    _, client = await loop.create_connection(lambda: Client(loop), "127.0.0.1", port, ssl=tls)
    try:
        for part in parts:
            client.transport.write(part)
            if pause_s:
                await asyncio.sleep(pause_s)
        await client.done
    finally:
        client.transport.close()
    return client
