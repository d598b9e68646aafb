"""Simulate requests and responses between callers, nodes and backend servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from urllib.parse import unquote

from ..calls.exchanges import Headers, Request
from ..calls.heads import HeaderNames

# Header names that the simulated callers and backend servers use.
NAMES = HeaderNames(
    attempt_id=b"ibiswick-model-attempt",
    caller_service=b"ibiswick-model-caller",
    expected_instance=b"ibiswick-model-instance",
    signature=b"ibiswick-model-signature",
    not_run=b"ibiswick-model-not-run",
    child_separator=b".",
)
HOST = b"model"


class ModelRequest:
    """Hold one request with its whole body, and receive its response."""

    def __init__(self, *, method: str, target: bytes, headers: Headers, body: bytes) -> None:
        self.method = method
        self.target = target
        self.path = unquote(target.partition(b"?")[0].decode("latin-1"))
        self.headers = headers
        self.body_arrived = True
        self.at_end = not body
        self.status = 0
        self.response_headers: Headers = []
        self.response_body = b""
        self._body = body

    def read_available(self) -> bytes:
        """Return the body."""
        body, self._body = self._body, b""
        self.at_end = True
        return body

    async def read(self) -> bytes:
        """Return the whole body, and an empty part after that."""
        return self.read_available()

    async def wait_turn(self) -> None:
        """Return at once, since a caller has only one request on its connection."""

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Store a whole response."""
        self.status = status
        self.response_headers = headers
        self.response_body = body


class StreamedRequest(ModelRequest):
    """Hold a request whose body arrives in parts, and only when it is read."""

    def __init__(
        self, *, method: str, target: bytes, headers: Headers, parts: AsyncIterator[bytes]
    ) -> None:
        super().__init__(method=method, target=target, headers=headers, body=b"")
        self.body_arrived = self.at_end = False
        self._parts = parts

    def read_available(self) -> bytes:
        """Return nothing, since no part arrives before it is read."""
        return b""

    async def read(self) -> bytes:
        """Return the next part of the body, or an empty part at its end."""
        async for part in self._parts:
            return part
        self.at_end = True
        return b""


class ModelResponse:
    """Hold a whole response."""

    complete = True

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def read_available(self) -> bytes:
        """Return the body."""
        body, self.body = self.body, b""
        return body

    async def read(self) -> bytes:
        """Return the whole body, and an empty part after that."""
        return self.read_available()

    def close(self) -> None:
        """Do nothing, since the whole response has arrived."""


async def receive_request(request: Request) -> ModelRequest:
    """Read a whole request from a node to another node or to a backend server."""
    method, target, headers = _read_head(request.head)
    # The body is read below, so the sender needs no 100-continue response.
    headers = [item for item in headers if item[0] != b"expect"]
    body = request.body
    if request.stream is not None:
        body = b"".join([part async for part in request.stream])
    return ModelRequest(method=method, target=target, headers=headers, body=body)


def stream_request(request: Request, parts: AsyncIterator[bytes]) -> StreamedRequest:
    """Build a request whose body the receiving node reads part by part."""
    method, target, headers = _read_head(request.head)
    return StreamedRequest(method=method, target=target, headers=headers, parts=parts)


def _read_head(head: bytes) -> tuple[str, bytes, Headers]:
    lines = head.split(b"\r\n")
    method, target, _ = lines[0].split(b" ")
    headers: Headers = []
    for line in lines[1:]:
        name, separator, value = line.partition(b": ")
        if separator:
            headers.append((name.lower(), value))
    return method.decode(), target, headers
