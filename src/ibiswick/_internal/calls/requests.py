"""Hold one request of a caller and send its response."""

from __future__ import annotations

import asyncio
import http
import urllib.parse
from typing import TYPE_CHECKING

import msgspec

from .parts import BodyBuffer

if TYPE_CHECKING:
    from .serving import ServerConnection

# Reading pauses while more than this many bytes of a request's body are buffered.
REQUEST_HIGH_WATER_BYTES = 64 * 1024
# A handler pauses while more than this many bytes of its response wait for earlier responses.
HELD_HIGH_WATER_BYTES = 64 * 1024
# A larger body is sent behind its head without a copy of both.
MAX_JOINED_BYTES = 64 * 1024

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b\r\n" % (status.value, status.phrase.encode())
    for status in http.HTTPStatus
}
_BODILESS_STATUSES = (204, 304)


class AbortResponseError(Exception):
    """Abort a response that has begun and can't be completed."""


def encode_problem(code: str, detail: str) -> bytes:
    """Encode the body of a response made by ibiswick."""
    return msgspec.json.encode({"code": code, "detail": detail})


def read_problem_detail(body: bytes) -> str:
    """Return the detail of a response made by ibiswick, or nothing if it is malformed.

    >>> read_problem_detail(encode_problem("not-run", "no free slot"))
    'no free slot'
    """
    try:
        problem = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""
    return str(problem.get("detail", "")) if isinstance(problem, dict) else ""


class ServerRequest(BodyBuffer):
    """Hold one request and send its response.

    `target` is the path with the query as received, `path` the decoded path. Header names are in
    lower case. Headers of a response are not checked: they come from a strict parser or from this
    package.
    """

    __slots__ = (
        "_chunked",
        "_connection",
        "_expects_continue",
        "_held_bytes",
        "_held_head_end",
        "_held_parts",
        "_kept_bytes",
        "_pending_head",
        "_turn_waiter",
        "_unsent_bytes",
        "aborted",
        "body_arrived",
        "body_size",
        "complete",
        "disconnected",
        "has_turn",
        "headers",
        "keep_alive",
        "method",
        "path",
        "started",
        "target",
        "task",
    )

    def __init__(
        self,
        connection: ServerConnection,
        *,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        keep_alive: bool,
        expects_continue: bool,
    ) -> None:
        super().__init__()
        path = target.partition(b"?")[0].decode("latin-1")
        self.method = method
        self.target = target
        self.path = urllib.parse.unquote(path) if "%" in path else path
        self.headers = headers
        self.keep_alive = keep_alive
        self.body_arrived = False
        self.started = False
        self.complete = False
        self.disconnected = False
        # The handler ended without a complete response; the connection closes after earlier ones.
        self.aborted = False
        # Every earlier response on the connection has been sent.
        self.has_turn = False
        self.body_size = 0
        self.task: asyncio.Task[None] | None = None
        self._held_parts: list[bytes] = []
        self._held_bytes = 0
        # Bytes of the body that the handler keeps until it responds.
        self._kept_bytes = 0
        # Index in `_held_parts` at which the last line of a held head belongs.
        self._held_head_end: int | None = None
        self._turn_waiter: asyncio.Future[None] | None = None
        self._connection = connection
        self._expects_continue = expects_continue
        self._pending_head: tuple[int, list[tuple[bytes, bytes]]] | None = None
        self._chunked = False
        self._unsent_bytes = 0

    # Body

    @property
    def at_end(self) -> bool:
        """Tell whether the whole body has been read."""
        return self.body_arrived and not self._parts

    @property
    def is_backed_up(self) -> bool:
        """Tell whether so much of the body is unread that reading must pause."""
        return self._size_bytes > REQUEST_HIGH_WATER_BYTES

    def add(self, part: bytes) -> None:
        """Buffer a part of the body until it is read."""
        if self.complete or self.disconnected:
            # The handler has responded without reading the rest, or the caller disconnected.
            return
        self._append(part)
        self._connection.count_held(len(part))

    def read_available(self) -> bytes:
        """Return the part of the body that has arrived, without waiting."""
        if not self._parts:
            return b""
        self._connection.count_held(-self._size_bytes)
        body = self._pop_all()
        if not self.body_arrived:
            self._connection.update_reading()
        return body

    async def read(self) -> bytes:
        """Return the next part of the body, or nothing at its end.

        Raise AbortResponseError if the caller has disconnected.
        """
        while not self._parts:
            if self.disconnected:
                raise AbortResponseError("the caller disconnected")
            if self.body_arrived:
                return b""
            if self._expects_continue and not self.started:
                self._expects_continue = False
                self._send(_CONTINUE)
            self._waiter = self._connection.loop.create_future()
            await self._waiter
        return self.read_available()

    @property
    def may_lack_body(self) -> bool:
        """Tell whether the caller may omit the body, so that the next bytes could be misread."""
        return self._expects_continue and not self.body_arrived

    def keep(self, size_bytes: int) -> None:
        """Count bytes that have been read and are kept until the response ends."""
        self._kept_bytes += size_bytes
        self._connection.count_held(size_bytes)

    # Response

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a whole response; raise AbortResponseError if its length does not match."""
        if self.disconnected:
            return
        head = self._build_head(status, headers, len(body))
        self._send(self._frame(body, more=False), head=head)
        self._finish_response()

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Set the head of a response, which is sent with the first part of its body."""
        self._pending_head = (status, headers)

    async def write(self, part: bytes) -> None:
        """Send a part of the body, and wait while the caller reads slowly."""
        if self.disconnected:
            return
        head = self._pop_pending_head()
        self._send(self._frame(part, more=True), head=head)
        if not self.has_turn and self._held_bytes > HELD_HIGH_WATER_BYTES:
            await self.wait_turn()
        await self._connection.drain()

    def finish(self) -> None:
        """End the body; raise AbortResponseError if its length does not match."""
        if self.disconnected:
            return
        head = self._pop_pending_head()
        self._send(self._frame(b"", more=False), head=head)
        self._finish_response()

    # Order of responses

    async def wait_turn(self) -> None:
        """Wait until every earlier response on the connection has been sent.

        If an earlier response closes the connection, the caller repeats this request, so one that
        must not run twice must wait here before it starts.
        """
        while not self.has_turn:
            if self.disconnected:
                raise AbortResponseError("the caller disconnected")
            if self._turn_waiter is None:
                self._turn_waiter = self._connection.loop.create_future()
            await asyncio.shield(self._turn_waiter)

    def give_turn(self) -> list[bytes]:
        """Allow this response to be sent, and return the parts of it that were held back."""
        self.has_turn = True
        if self._held_head_end is not None:
            self._held_parts.insert(self._held_head_end, self._end_head())
            self._held_head_end = None
        held, self._held_parts = self._held_parts, []
        self._connection.count_held(-self._held_bytes)
        self._held_bytes = 0
        self.wake_turn()
        return held

    def wake_turn(self) -> None:
        """Wake the handler if it waits for its turn."""
        turn, self._turn_waiter = self._turn_waiter, None
        if turn is not None and not turn.done():
            turn.set_result(None)

    def _send(self, data: bytes, *, head: bytes = b"") -> None:
        """Send data, behind a head if it is the first of the response, or hold it back."""
        if self.has_turn:
            if head:
                head += self._end_head()
            if head and len(data) > MAX_JOINED_BYTES:
                # A copy of a large body would need its memory twice.
                self._connection.write(head)
                self._connection.write(data)
            elif head or data:
                self._connection.write(head + data)
            return
        if head:
            self._held_parts.append(head)
            self._held_head_end = len(self._held_parts)
        self._held_parts.append(data)
        self._held_bytes += len(head) + len(data)
        self._connection.count_held(len(head) + len(data))

    def _pop_pending_head(self) -> bytes:
        head, self._pending_head = self._pending_head, None
        return self._build_head(*head, None) if head is not None else b""

    def _end_head(self) -> bytes:
        """Return the end of the head, which tells whether the connection closes.

        Call this only when the head is sent: until then, further requests may arrive and start,
        and they are owed a response as well.
        """
        self.keep_alive = not self._connection.settle_close(self)
        return b"\r\n" if self.keep_alive else b"connection: close\r\n\r\n"

    def _build_head(
        self, status: int, headers: list[tuple[bytes, bytes]], length: int | None
    ) -> bytes:
        """Build the head up to its last line; `length` is None if the body is sent in parts."""
        self.started = True
        parts = [STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        has_length = False
        for name, value in headers:
            if name == b"content-length":
                has_length = True
                self._unsent_bytes = int(value)
            elif name == b"connection" and value == b"close":
                self.keep_alive = False
                continue
            parts += (name, b": ", value, b"\r\n")
        if not has_length and self.method != "HEAD" and status not in _BODILESS_STATUSES:
            if length is None:
                self._chunked = True
                parts.append(b"transfer-encoding: chunked\r\n")
            else:
                self._unsent_bytes = length
                parts.append(b"content-length: %d\r\n" % length)
        return b"".join(parts)

    def _frame(self, body: bytes, *, more: bool) -> bytes:
        """Frame a part of the body; raise AbortResponseError if the length does not match."""
        if self.method == "HEAD":
            return b""
        if self._chunked:
            end = b"" if more else b"0\r\n\r\n"
            return b"%x\r\n%b\r\n%b" % (len(body), body, end) if body else end
        self._unsent_bytes -= len(body)
        if self._unsent_bytes < 0 or (not more and self._unsent_bytes):
            raise AbortResponseError("the body differs from its announced length")
        return body

    def _finish_response(self) -> None:
        self.complete = True
        self._connection.count_held(-self._size_bytes - self._kept_bytes)
        self._parts.clear()
        self._size_bytes = self._kept_bytes = 0
        self._connection.end_response(self)
