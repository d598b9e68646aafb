"""Stand in for requests and responses between callers, nodes and backend servers."""

from __future__ import annotations

from urllib.parse import unquote

from ..calls.heads import WireNames
from ..calls.pool import Headers, Request

# The names that a model's callers and backend servers use.
NAMES = WireNames(
    attempt=b"ibiswick-model-attempt",
    caller_service=b"ibiswick-model-caller",
    expected_instance=b"ibiswick-model-instance",
    signature=b"ibiswick-model-signature",
    not_run=b"ibiswick-model-not-run",
    child_separator=b".",
)
HOST = b"model"


class ModelRequest:
    """Hold one request with its whole body, and take its response."""

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

    def take(self) -> bytes:
        """Return the body."""
        body, self._body = self._body, b""
        self.at_end = True
        return body

    async def read(self) -> bytes:
        """Return the body, then nothing."""
        return self.take()

    async def wait_turn(self) -> None:
        """Return at once: a caller has one request on its connection."""

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep a whole response."""
        self.status = status
        self.response_headers = headers
        self.response_body = body


class ModelResponse:
    """Hold a whole response."""

    complete = True

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self._body = body

    def take(self) -> bytes:
        """Return the body."""
        body, self._body = self._body, b""
        return body

    async def read(self) -> bytes:
        """Return the body, then nothing."""
        return self.take()

    def close(self) -> None:
        """Do nothing: the whole response is there."""


async def receive_request(request: Request) -> ModelRequest:
    """Read a request that a node sends to another node or to a backend server."""
    lines = request.head.split(b"\r\n")
    method, target, _ = lines[0].split(b" ")
    headers: Headers = []
    for line in lines[1:]:
        name, separator, value = line.partition(b": ")
        # A body is whole here, so no node asks for it.
        if separator and name != b"expect":
            headers.append((name.lower(), value))
    body = request.body
    if request.stream is not None:
        body = b"".join([part async for part in request.stream])
    return ModelRequest(method=method.decode(), target=target, headers=headers, body=body)
