"""Describe exchanges of a request for a response, and read the bodies of responses."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from ..shared.errors import NotSentError, ResponseLostError

CONNECT_TIMEOUT_S = 0.3
DEFAULT_CONNECTIONS = 128

Headers = list[tuple[bytes, bytes]]


class ConnectionsBusyError(NotSentError):
    """Report that every allowed connection to an address was in use."""

    code = "connections-busy"


class Remote(NamedTuple):
    """Locate a server; `vm` is the name its certificate must carry, if any."""

    host: str
    port: int
    vm: str = ""


class Request(NamedTuple):
    """Hold a request; `head` ends with the empty line and announces the body's framing.

    `body` is sent with the head, already framed. `stream` follows it part by part; with
    `await_continue` it is not touched before the server has answered 100 (Continue).
    """

    head: bytes
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    chunked: bool = False
    is_head: bool = False
    await_continue: bool = False


class Limits(NamedTuple):
    """Limit one exchange.

    `deadline` is in monotonic seconds; the head of the response is due by `head_deadline` if that
    is given. With `idle_s` the exchange fails after that many seconds without a byte in either
    direction. `alive_within_s` allows only connections that received bytes within that time, or
    new ones. `call_id` must come back in the header `call_header` of the response; a response with
    another id answers an earlier call and is skipped if `skip_others` is set. Without a length, the
    body of a response is complete at the end of the connection if `until_close` is set. A response
    that announces more than `body_bytes` is refused at its head. A new connection is given up after
    `connect_s`.
    """

    deadline: float | None
    head_deadline: float | None = None
    idle_s: float | None = None
    alive_within_s: float | None = None
    call_id: bytes | None = None
    connections: int = DEFAULT_CONNECTIONS
    call_header: bytes = b"ibiswick-call"
    skip_others: bool = False
    until_close: bool = False
    body_bytes: int | None = None
    connect_s: float = CONNECT_TIMEOUT_S


class ExchangeResponse(Protocol):
    """Read the response of one exchange."""

    status: int
    headers: Headers

    @property
    def complete(self) -> bool:
        """Tell whether the whole body has arrived."""

    async def read(self) -> bytes:
        """Return the next part of the body, or nothing at its end; raise ResponseLostError."""

    def take(self) -> bytes:
        """Return what has arrived of the body, without waiting."""

    def close(self) -> None:
        """Give up the rest of the body, which cancels the exchange."""


class Exchange(Protocol):
    """Send a request and return its response once the head has arrived."""

    async def __call__(self, remote: Remote, request: Request, limits: Limits) -> ExchangeResponse:
        """Raise NotSentError, ResponseLostError or ExchangeTimeoutError."""


class ByteBudget:
    """Limit the bytes of bodies that a process collects at the same time.

    >>> budget = ByteBudget(limit=10)
    >>> budget.take(8), budget.take(8), budget.used
    (True, False, 8)
    """

    __slots__ = ("limit", "used")

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def take(self, size: int) -> bool:
        """Count bytes that are kept; return False if there is no room for them."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Count bytes that are no longer kept."""
        self.used -= size


async def read_whole(
    response: ExchangeResponse, *, limit: int, budget: ByteBudget | None = None
) -> bytes:
    """Read the rest of a body; raise ResponseLostError when it breaks off or exceeds a limit."""
    budget = budget or ByteBudget(limit=limit)
    parts: list[bytes] = []
    size = 0
    try:
        part = response.take() or await response.read()
        while part:
            if size + len(part) > limit or not budget.take(len(part)):
                response.close()
                raise ResponseLostError("the response body is too large")
            parts.append(part)
            size += len(part)
            part = await response.read()
    finally:
        budget.release(size)
    return b"".join(parts)
