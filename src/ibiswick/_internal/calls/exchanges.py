"""Define requests, responses and limits of HTTP exchanges, and read the bodies of responses."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from ..shared.errors import NotSentError, ResponseLostError
from .buffering import FREE_BYTES
from .parts import append_part, join_parts
from .pressure import BufferHold, NoRoomError

CONNECT_TIMEOUT_S = 0.3
DEFAULT_MAX_CONNECTIONS = 128
# No allowed length has more digits.
MAX_LENGTH_DIGITS = 18

Headers = list[tuple[bytes, bytes]]


class ConnectionsBusyError(NotSentError):
    """Report that every allowed connection to a server was in use."""

    code = "connections-busy"


class Remote(NamedTuple):
    """Hold the address of a server, and the VM that its certificate must name, if any."""

    host: str
    port: int
    vm: str = ""


class Request(NamedTuple):
    """Hold a request that is ready to be sent."""

    # Request line and headers up to the empty line, with the header that frames the body.
    head: bytes
    # Sent together with the head, already framed.
    body: bytes = b""
    # Parts of the body that are sent after `body`, framed as chunks if `chunked` is set.
    stream: AsyncIterator[bytes] | None = None
    chunked: bool = False
    # The method is HEAD.
    is_head: bool = False
    # Read `stream` only after the server has answered 100 (Continue).
    await_continue: bool = False


class ExchangeLimits(NamedTuple):
    """Limit and configure one exchange; deadlines are in seconds of the monotonic clock."""

    deadline: float | None
    # When the head of the response is due, if earlier than the deadline.
    head_deadline: float | None = None
    # The exchange fails after this time without a byte in either direction.
    stall_timeout_s: float | None = None
    # An open connection is reused only if it has received bytes within this time.
    reuse_within_s: float | None = None
    # The id that the response must carry in the header `id_header`.
    expected_id: bytes | None = None
    # How many connections to the server may be open.
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    id_header: bytes = b"ibiswick-call"
    # Skip a response with another id, which answers an earlier call, instead of failing.
    skip_stale_responses: bool = False
    # Accept a body without a length, which is complete when the server closes the connection.
    allow_close_delimited: bool = False
    # A response that announces a longer body is refused at its head.
    max_body_bytes: int | None = None
    connect_timeout_s: float = CONNECT_TIMEOUT_S


class ExchangeResponse(Protocol):
    """Provide the response of one exchange."""

    status: int
    headers: Headers

    @property
    def complete(self) -> bool:
        """Tell whether the whole body has arrived."""

    async def read(self) -> bytes:
        """Return the next part of the body, or nothing at its end; raise ResponseLostError."""

    def read_available(self) -> bytes:
        """Return the part of the body that has arrived, without waiting."""

    def close(self) -> None:
        """Discard the rest of the body, which cancels the exchange."""


class Exchange(Protocol):
    """Send a request and return its response once the response's head has arrived."""

    async def __call__(
        self, remote: Remote, request: Request, limits: ExchangeLimits
    ) -> ExchangeResponse:
        """Raise NotSentError, ResponseLostError or ExchangeTimeoutError."""


async def read_body(
    response: ExchangeResponse, *, limit: int, hold: BufferHold | None = None
) -> bytes:
    """Read the rest of a body; raise ResponseLostError if it breaks off or exceeds a limit.

    `hold` counts the bytes. Those of an announced length are counted at once, so that bodies which
    are read in part don't wait for each other's room.
    """
    parts: list[bytes | bytearray] = []
    size_bytes = counted_bytes = 0
    try:
        part = response.read_available()
        if hold is not None and not (response.complete and len(part) <= FREE_BYTES):
            counted_bytes = max(len(part), min(limit, _find_length(response.headers)))
            await hold.grow(counted_bytes)
        part = part or await response.read()
        while part:
            size_bytes += len(part)
            if size_bytes > limit:
                response.close()
                raise ResponseLostError("the response body is too large")
            if hold is not None and size_bytes > counted_bytes + FREE_BYTES:
                await hold.grow(size_bytes - counted_bytes)
                counted_bytes = size_bytes
            append_part(parts, part)
            part = await response.read()
    except NoRoomError as error:
        response.close()
        raise ResponseLostError(str(error)) from error
    return join_parts(parts)


def _find_length(headers: Headers) -> int:
    """Return the announced length of a body, or 0."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value[:MAX_LENGTH_DIGITS])
    return 0
