"""Pool HTTP/1.1 connections to other nodes and to the local backend server."""

from __future__ import annotations

import asyncio
import socket
import ssl
import time
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import urlsplit

from ..shared.errors import ConnectTimeoutError, NotSentError
from ..shared.logs import EventLog
from ..shared.objectapi import FetchResponse
from .callcounts import CallCounts
from .connections import Connection, RemoteConnections, Response
from .connects import COMMON_CAUSE_VMS, ConnectHistory
from .exchanges import (
    CONNECT_TIMEOUT_S,
    ConnectionsBusyError,
    ExchangeLimits,
    Remote,
    Request,
    read_body,
)
from .pressure import BufferHold, Buffers

# A client of the object API has no other server to try, and its handshake may be delayed by other
# traffic that fills the link.
FETCH_CONNECT_TIMEOUT_S = 1.0
MAX_FETCH_BODY_BYTES = 64 * 1024 * 1024
SWEEP_INTERVAL_S = 1.0
# At most one log line about unanswered handshakes is written in this time.
CONNECT_LOG_INTERVAL_S = 1.0

_log = EventLog(component="pool")


class ConnectionPool:
    """Exchange requests and responses over persistent connections.

    Args:
        idle_limit_s: Idle connections are closed after this time. It must be shorter than the
            servers' keep-alive time, so that this side closes first and no request meets a
            connection that the server is closing.
        unacknowledged_timeout_s: A connection is dropped when sent bytes stay unacknowledged for
            this long, whatever the deadline.
        probe_interval_s: TCP keep-alive probes are sent after this many whole seconds without
            data, so that a silent path is noticed while a response is awaited for long.
    """

    def __init__(
        self,
        *,
        idle_limit_s: float,
        ssl_context: ssl.SSLContext | None = None,
        check_certificate: Callable[[dict[str, Any] | None, Remote], bool] | None = None,
        unacknowledged_timeout_s: float | None = None,
        probe_interval_s: int | None = None,
        counts: CallCounts | None = None,
        own_vm: str = "",
        buffers: Buffers | None = None,
    ) -> None:
        self._buffers = buffers
        self.connect_history = ConnectHistory()
        self._counts = counts or CallCounts()
        self._own_vm = own_vm
        self._logged_at = 0.0
        self._unacknowledged_timeout_s = unacknowledged_timeout_s
        self._probe_interval_s = probe_interval_s
        self._idle_limit_s = idle_limit_s
        self._ssl_context = ssl_context
        self._check_certificate = check_certificate
        self._connections: dict[Remote, RemoteConnections] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._closed = False

    async def exchange(self, remote: Remote, request: Request, limits: ExchangeLimits) -> Response:
        """Send a request and return its response once the response's head has arrived."""
        connections = self._connections.get(remote)
        if connections is None:
            connections = self._connections[remote] = RemoteConnections(buffers=self._buffers)
        connection = connections.acquire(
            now=time.monotonic(),
            idle_limit_s=self._idle_limit_s,
            reuse_within_s=limits.reuse_within_s,
            call_id=limits.expected_id,
        )
        if connection is None:
            connection = await self._open(remote, connections, limits)
        response = connection.begin(request, limits)
        await response.wait_head()
        return response

    async def _open(
        self, remote: Remote, connections: RemoteConnections, limits: ExchangeLimits
    ) -> Connection:
        """Open a connection, or wait for one while as many as allowed are open."""
        loop = asyncio.get_running_loop()
        while connections.size >= limits.max_connections and not connections.close_oldest_idle():
            timeout_s = _find_wait_limit(limits)
            try:
                await connections.wait_release(loop, timeout_s)
            except TimeoutError:
                raise ConnectionsBusyError("every connection was in use") from None
            connection = connections.acquire(
                now=time.monotonic(),
                idle_limit_s=self._idle_limit_s,
                reuse_within_s=limits.reuse_within_s,
                call_id=limits.expected_id,
            )
            if connection is not None:
                return connection
        return await self._connect(loop, remote, connections, limits)

    async def _connect(
        self,
        loop: asyncio.AbstractEventLoop,
        remote: Remote,
        connections: RemoteConnections,
        limits: ExchangeLimits,
    ) -> Connection:
        if self._closed:
            raise NotSentError("the connection pool is closed")
        self._start_sweeper(loop)
        connection = Connection(connections, loop)
        connections.opening += 1
        opened = False
        started_at = time.monotonic()
        try:
            connect_timeout_s = self.connect_history.choose_timeout(
                limits.connect_timeout_s, now=started_at
            )
            async with asyncio.timeout(min(connect_timeout_s, _find_wait_limit(limits))):
                transport, _ = await loop.create_connection(
                    lambda: connection, remote.host, remote.port, ssl=self._ssl_context
                )
            self._set_silence_limits(transport)
            opened = True
            self._record_opened(remote, time.monotonic() - started_at)
        except TimeoutError:
            waited_s = time.monotonic() - started_at
            self._record_unanswered(remote, waited_s)
            local_cause = self.connect_history.is_timeout_local(waited_s, now=time.monotonic())
            detail = f"connecting to {remote.host}:{remote.port} took too long"
            raise ConnectTimeoutError(detail, local_cause=local_cause) from None
        except (OSError, ssl.SSLError) as error:
            self._counts.observe(
                "ibiswick_connect_seconds", "result", "refused", time.monotonic() - started_at
            )
            raise NotSentError(f"cannot connect to {remote.host}:{remote.port}: {error}") from error
        finally:
            connections.opening -= 1
            if opened:
                connections.add(connection)
            else:
                connection.abort()
                connections.wake_waiter()
        check = self._check_certificate
        if check is not None and not check(connection.get_certificate(), remote):
            connection.abort()
            raise NotSentError(f"{remote.host}:{remote.port} has the certificate of another node")
        return connection

    def _record_opened(self, remote: Remote, handshake_s: float) -> None:
        if not self._is_local(remote):
            self.connect_history.note_opened(handshake_s, now=time.monotonic())
        self._counts.observe("ibiswick_connect_seconds", "result", "opened", handshake_s)

    def _is_local(self, remote: Remote) -> bool:
        """Tell whether a server is on this VM, so that connecting shows nothing about the link."""
        return bool(remote.vm) and remote.vm == self._own_vm

    def _record_unanswered(self, remote: Remote, handshake_s: float) -> None:
        """Record a handshake that timed out, and log when those of several VMs do at once."""
        now = time.monotonic()
        self.connect_history.note_unanswered(remote.vm or remote.host, now=now)
        self._counts.observe("ibiswick_connect_seconds", "result", "unanswered", handshake_s)
        summary = self.connect_history.summarize(now=now)
        if (
            summary.unanswered_vms < COMMON_CAUSE_VMS
            or now - self._logged_at < CONNECT_LOG_INTERVAL_S
        ):
            return
        self._logged_at = now
        _log.warn(
            "connects-unanswered",
            unanswered=summary.unanswered,
            vms=summary.unanswered_vms,
            opened=summary.opened,
            slowest_ms=int(summary.slowest_s * 1000),
            common_cause=self.connect_history.is_own_link_suspected(now=now),
        )

    def _set_silence_limits(self, transport: asyncio.Transport) -> None:
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is None:
            return
        if self._unacknowledged_timeout_s is not None:
            limit_ms = int(self._unacknowledged_timeout_s * 1000)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
        if self._probe_interval_s is not None:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self._probe_interval_s)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self._probe_interval_s)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)

    def _start_sweeper(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._sweeper is None:
            self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep, loop)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close expired idle connections and forget servers without connections."""
        self._sweeper = None
        now = time.monotonic()
        for remote, connections in list(self._connections.items()):
            connections.close_expired(now=now, idle_limit_s=self._idle_limit_s)
            if connections.size == 0:
                del self._connections[remote]
        if self._connections and not self._closed:
            self._start_sweeper(loop)

    def count_idle(self, remote: Remote) -> int:
        """Return the number of idle connections to a server."""
        connections = self._connections.get(remote)
        return connections.idle if connections is not None else 0

    def close(self) -> None:
        """Close every connection."""
        self._closed = True
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for connections in self._connections.values():
            connections.close_all()


def _find_wait_limit(limits: ExchangeLimits) -> float:
    if limits.deadline is None:
        return limits.stall_timeout_s if limits.stall_timeout_s is not None else CONNECT_TIMEOUT_S
    return max(0.0, limits.deadline - time.monotonic())


class PoolFetch:
    """Send requests to the origin of a URL, such as that of the platform.

    A request fails after `timeout_s` without a byte; a large response may take longer as a whole.
    """

    def __init__(
        self, *, pool: ConnectionPool, base_url: str, buffers: Buffers | None = None
    ) -> None:
        self._buffers = buffers
        parts = urlsplit(base_url)
        port = parts.port or (443 if parts.scheme == "https" else 80)
        self._pool = pool
        self._remote = Remote(parts.hostname or "", port)
        self._host = parts.netloc.rpartition("@")[2]

    async def __call__(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> FetchResponse:
        """Return the complete response; raise NotSentError, ResponseLostError or its subclass."""
        lines = [f"{method} {target} HTTP/1.1"]
        if "host" not in headers:
            lines.append(f"host: {self._host}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"content-length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        request = Request(head, body, is_head=method == "HEAD")
        limits = ExchangeLimits(
            deadline=None, stall_timeout_s=timeout_s, connect_timeout_s=FETCH_CONNECT_TIMEOUT_S
        )
        response = await self._pool.exchange(self._remote, request, limits)
        hold = None if self._buffers is None else BufferHold(buffers=self._buffers)
        content = await read_body(response, limit=MAX_FETCH_BODY_BYTES)
        if hold is not None:
            # Counted but never refused: the node needs its configuration in any case.
            hold.force(len(content))
        text = {name.decode("latin-1"): value.decode("latin-1") for name, value in response.headers}
        return FetchResponse(response.status, text, content)
