"""Check the HTTP server of the node's ports on in-memory connections."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import httptools
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from call_network import VirtualLoop, run_virtual
from ibiswick._internal.calls.serving import (
    KEEP_ALIVE_S,
    SHUTDOWN_LIMIT_S,
    Listener,
    ServerConnection,
    ServerRequest,
)


class Wire(asyncio.Transport):
    """Deliver segments to a connection unless it has paused reading, and record what it writes."""

    def __init__(self, protocol: ServerConnection, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.closed = False
        self.aborted = False
        self.paused = False
        self._loop = loop
        self._segments: deque[bytes] = deque()
        protocol.connection_made(self)

    def feed(self, *segments: bytes) -> None:
        self._segments += segments
        self._deliver()

    def _deliver(self) -> None:
        while self._segments and not self.paused and not self.closed:
            self.protocol.data_received(self._segments.popleft())

    @property
    def undelivered(self) -> int:
        return len(self._segments)

    def leave(self) -> None:
        """Close from the caller's side."""
        self._lose()

    def _lose(self) -> None:
        if not self.closed:
            self.closed = True
            self._loop.call_soon(self.protocol.connection_lost, None)

    def write(self, data: Any) -> None:
        if not self.closed:
            self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        self._lose()

    def abort(self) -> None:
        self.aborted = True
        self._lose()

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        assert not self.paused
        self.paused = True

    def resume_reading(self) -> None:
        assert self.paused
        self.paused = False
        self._loop.call_soon(self._deliver)


class Server:
    """Run a handler on wires, and record which requests are started, cancelled or rejected."""

    def __init__(self, handler: Any = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.rejected: list[str] = []
        self._handler = handler or echo
        self.listener = Listener(
            handler=self._handle, host="127.0.0.1", port=0, on_rejected=self.rejected.append
        )

    async def _handle(self, request: ServerRequest) -> None:
        self.started.append(request.target)
        try:
            await self._handler(request)
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise

    def connect(self) -> Wire:
        return Wire(ServerConnection(self.listener, self.loop), self.loop)


async def echo(request: ServerRequest) -> None:
    """Answer with the target and the body, in parts for targets under /parts."""
    body = b""
    while part := await request.read():
        body += part
    answer = request.target + b" " + body
    if not request.target.startswith(b"/parts"):
        request.respond(200, [], answer)
        return
    request.start(200, [])
    for start in range(0, len(answer), 7):
        await request.write(answer[start : start + 7])
    request.finish()


async def settle(rounds: int = 20) -> None:
    """Let all tasks run that are ready."""
    for _ in range(rounds):
        await asyncio.sleep(0)


class Responses:
    """Parse the bytes that a connection wrote into responses."""

    def __init__(self, written: bytes) -> None:
        self.complete: list[tuple[int, bytes]] = []
        self.headers: list[tuple[bytes, bytes]] = []
        self._body = b""
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(written)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status != 100:
            self.complete.append((status, self._body))
        self._body = b""


def read_responses(wire: Wire) -> list[tuple[int, bytes]]:
    return Responses(wire.written).complete


def run(main: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a test in virtual time."""

    async def start(_: VirtualLoop) -> Any:
        return await main()

    return run_virtual(start)


def build_get(target: bytes) -> bytes:
    return b"GET %b HTTP/1.1\r\nhost: shop\r\n\r\n" % target


def build_post(target: bytes, body: bytes) -> bytes:
    head = b"POST %b HTTP/1.1\r\nhost: shop\r\ncontent-length: %d\r\n\r\n"
    return head % (target, len(body)) + body


def build_chunked(target: bytes, body: bytes) -> bytes:
    head = b"POST %b HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n" % target
    chunks = [body[:1], body[1:]]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks if c) + b"0\r\n\r\n"


# Order on one connection


async def test_pipelined_requests_run_one_at_a_time() -> None:
    """Guard against overlapping calls of one connection, and against an unbounded queue."""
    gates = {b"/%d" % number: asyncio.Event() for number in range(3)}

    async def wait(request: ServerRequest) -> None:
        await gates[request.target].wait()
        request.respond(200, [], request.target)

    server = Server(wait)
    wire = server.connect()
    wire.feed(build_get(b"/0") + build_get(b"/1"), build_get(b"/2"))
    await settle()
    assert server.started == [b"/0"]
    assert wire.paused
    assert wire.undelivered == 1
    for number, gate in enumerate(gates.values()):
        assert len(server.started) == number + 1
        gate.set()
        await settle()
    assert not wire.paused
    assert read_responses(wire) == [(200, b"/0"), (200, b"/1"), (200, b"/2")]


async def test_a_request_behind_the_end_of_a_body_is_another_request() -> None:
    """Guard against bytes of the second request that are taken for the first body, or lost."""
    server = Server()
    wire = server.connect()
    first = build_post(b"/1", b"first body")
    wire.feed(first[:-4])
    await settle()
    wire.feed(first[-4:] + build_post(b"/2", b"second")[:-2])
    await settle()
    wire.feed(b"nd")
    await settle()
    assert read_responses(wire) == [(200, b"/1 first body"), (200, b"/2 second")]


async def test_the_rest_of_an_unread_body_is_not_a_request() -> None:
    """Guard against serving the rest of a body that its handler did not read as a request."""

    async def ignore(request: ServerRequest) -> None:
        request.respond(200, [], request.target)

    server = Server(ignore)
    wire = server.connect()
    # More than may be buffered for a handler, which never reads it.
    first = build_post(b"/1", build_get(b"/smuggled") * 10_000)
    wire.feed(first[:70])
    await settle()
    wire.feed(first[70:-70])
    await settle()
    wire.feed(first[-70:] + build_get(b"/2"))
    await settle()
    assert read_responses(wire) == [(200, b"/1"), (200, b"/2")]


async def test_nothing_is_served_after_the_last_request() -> None:
    """Guard against serving a request after `connection: close`, when no response is expected."""
    server = Server()
    wire = server.connect()
    last = b"GET /last HTTP/1.1\r\nhost: shop\r\nconnection: close\r\n\r\n"
    wire.feed(last + build_get(b"/more"))
    await settle()
    assert read_responses(wire) == [(200, b"/last ")]
    assert wire.closed


async def test_malformed_bytes_in_an_answered_body_get_no_answer() -> None:
    """Guard against an error response that is taken for the response to the next request."""

    async def ignore(request: ServerRequest) -> None:
        request.respond(200, [], b"")

    server = Server(ignore)
    wire = server.connect()
    wire.feed(b"POST /1 HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n")
    await settle()
    wire.feed(b"zz\r\n")
    await settle()
    assert read_responses(wire) == [(200, b"")]
    assert wire.aborted


# Heads and bodies


async def test_a_head_without_end_is_refused() -> None:
    """Guard against a header that grows in memory, as the parser reports only complete ones."""
    server = Server()
    wire = server.connect()
    wire.feed(b"GET / HTTP/1.1\r\nx-long: ", *[b"x" * 1024] * 80)
    assert [status for status, _ in read_responses(wire)] == [431]
    assert server.rejected == ["head-too-large"]


async def test_continue_is_sent_once_and_only_to_a_reader() -> None:
    """Guard against uploads that wait for 100 (Continue), or get it although they are refused."""
    expecting = build_post(b"/1", b"body").replace(b"\r\n\r\n", b"\r\nexpect: 100-continue\r\n\r\n")
    server = Server()
    wire = server.connect()
    wire.feed(expecting[:-4])
    await settle()
    assert wire.written == b"HTTP/1.1 100 Continue\r\n\r\n"
    wire.feed(b"body")
    await settle()
    assert wire.written.count(b"100 Continue") == 1
    assert wire.written.endswith(b"/1 body")

    async def refuse(request: ServerRequest) -> None:
        request.respond(503, [], b"")

    wire = Server(refuse).connect()
    wire.feed(expecting[:-4])
    await settle()
    assert b"100 Continue" not in wire.written
    # The next bytes may be the body or another request.
    assert wire.closed


async def test_a_slow_handler_stops_the_sender() -> None:
    """Guard against buffering a whole upload because its reader is slow."""
    gate = asyncio.Event()

    async def read_late(request: ServerRequest) -> None:
        await gate.wait()
        await echo(request)

    server = Server(read_late)
    wire = server.connect()
    body = b"x" * 1_000_000
    raw = build_post(b"/1", body)
    wire.feed(*[raw[start : start + 10_000] for start in range(0, len(raw), 10_000)])
    await settle()
    assert wire.paused
    assert wire.undelivered > 90
    gate.set()
    await settle(500)
    assert read_responses(wire) == [(200, b"/1 " + body)]


async def test_a_slow_sender_is_served() -> None:
    """Guard against state that is lost between segments of one byte."""
    server = Server()
    wire = server.connect()
    for byte in build_post(b"/1", b"slow") + build_chunked(b"/2", b"slower") + build_get(b"/3"):
        wire.feed(bytes((byte,)))
        await settle(3)
    assert read_responses(wire) == [(200, b"/1 slow"), (200, b"/2 slower"), (200, b"/3 ")]


async def test_a_slow_reader_stops_the_handler_and_the_next_request() -> None:
    """Guard against buffering responses for a caller that does not read them."""
    written = []

    async def write_parts(request: ServerRequest) -> None:
        request.start(200, [])
        for number in range(3):
            written.append((request.target, number))
            await request.write(b"part")
        request.finish()

    server = Server(write_parts)
    wire = server.connect()
    wire.feed(build_get(b"/1"))
    wire.protocol.pause_writing()
    await settle()
    assert written == [(b"/1", 0)]
    wire.protocol.resume_writing()
    await settle()
    assert len(written) == 3
    wire.protocol.pause_writing()
    wire.feed(build_get(b"/2"), build_get(b"/3"))
    await settle()
    assert len(written) == 3
    assert wire.undelivered == 1
    wire.protocol.resume_writing()
    await settle()
    assert len(written) == 9
    assert read_responses(wire) == [(200, b"partpartpart")] * 3


async def test_a_slow_reader_stops_pipelined_requests() -> None:
    """Guard against serving many requests of a caller that reads no response."""
    server = Server()
    wire = server.connect()
    wire.feed(build_get(b"/1") + build_get(b"/2"))
    wire.protocol.pause_writing()
    await settle()
    assert server.started == [b"/1"]
    wire.protocol.resume_writing()
    await settle()
    assert read_responses(wire) == [(200, b"/1 "), (200, b"/2 ")]


@pytest.mark.parametrize("length", [b"3", b"5"])
async def test_a_body_of_another_length_breaks_the_connection(length: bytes) -> None:
    """Guard against a response whose end a caller would look for in the next response."""

    async def lie(request: ServerRequest) -> None:
        request.start(200, [(b"content-length", length)])
        await request.write(b"four")
        request.finish()

    server = Server(lie)
    wire = server.connect()
    wire.feed(build_get(b"/1") + build_get(b"/2"))
    await settle()
    assert wire.aborted
    assert read_responses(wire) == []
    assert server.started == [b"/1"]


@pytest.mark.parametrize("starts", [False, True])
async def test_a_handler_that_fails_breaks_the_connection(starts: bool) -> None:
    """Guard against a caller that waits for the response of a failed handler."""

    async def fail(request: ServerRequest) -> None:
        if starts:
            request.start(200, [])
            await request.write(b"part")
            raise ValueError("the handler failed")

    wire = Server(fail).connect()
    wire.feed(build_get(b"/1"))
    await settle()
    assert wire.aborted
    assert read_responses(wire) == []


# Callers that disconnect


@pytest.mark.parametrize(
    ("raw", "phase"),
    [
        (build_get(b"/1")[:20], "head"),
        (build_post(b"/1", b"body")[:-2], "body"),
        (build_get(b"/1"), "call"),
        (build_get(b"/1") + build_get(b"/2"), "pipelined"),
        (build_get(b"/1"), "answer"),
        (build_get(b"/1"), "before-start"),
    ],
)
async def test_a_caller_that_leaves_cancels_its_call(raw: bytes, phase: str) -> None:
    """Guard against calls that continue, or start, after their caller has disconnected."""

    async def serve(request: ServerRequest) -> None:
        while await request.read():
            pass
        if phase == "answer":
            request.start(200, [])
            await request.write(b"part")
        await asyncio.Event().wait()

    server = Server(serve)
    wire = server.connect()
    wire.feed(raw)
    if phase == "answer":
        wire.protocol.pause_writing()
    if phase == "before-start":
        wire.closed = True
        wire.protocol.connection_lost(None)
    await settle()
    wire.leave()
    await settle()
    expected = [] if phase in ("head", "before-start") else [b"/1"]
    assert server.cancelled == expected
    assert server.started == expected
    assert server.listener.connections == set()


# Keep-alive


def test_an_idle_connection_is_closed_and_a_late_request_is_not() -> None:
    """Guard against a timer that cuts off a request which began just before it fired."""

    async def main() -> None:
        server = Server()
        wire = server.connect()
        await asyncio.sleep(KEEP_ALIVE_S - 1)
        wire.feed(build_get(b"/1")[:10])
        await asyncio.sleep(2)
        wire.feed(build_get(b"/1")[10:])
        await settle()
        assert read_responses(wire) == [(200, b"/1 ")]
        await asyncio.sleep(KEEP_ALIVE_S - 1)
        wire.feed(build_get(b"/2"))
        await settle()
        assert len(read_responses(wire)) == 2
        await asyncio.sleep(KEEP_ALIVE_S - 1)
        assert not wire.closed
        await asyncio.sleep(2)
        assert wire.closed

    run(main)


def test_a_head_that_never_ends_does_not_hold_its_connection() -> None:
    """Guard against connections that are kept open by occasional bytes of a head."""

    async def main() -> None:
        wire = Server().connect()
        for byte in build_get(b"/1")[:30]:
            wire.feed(bytes((byte,)))
            await asyncio.sleep(10)
        assert wire.closed

    run(main)


def test_a_long_call_is_not_idle() -> None:
    """Guard against a keep-alive timer that ends a call."""

    async def serve(request: ServerRequest) -> None:
        await asyncio.sleep(10 * KEEP_ALIVE_S)
        request.respond(200, [], b"late")

    async def main() -> None:
        wire = Server(serve).connect()
        wire.feed(build_get(b"/1"))
        await asyncio.sleep(10 * KEEP_ALIVE_S + 1)
        assert read_responses(wire) == [(200, b"late")]
        assert not wire.closed

    run(main)


# Stop


def test_a_stop_lets_a_request_finish() -> None:
    """Guard against a stop that cuts off a response, or waits for idle connections."""

    async def serve(request: ServerRequest) -> None:
        await asyncio.sleep(SHUTDOWN_LIMIT_S - 1)
        request.respond(200, [], request.target)

    async def main() -> None:
        server = Server(serve)
        await server.listener.start()
        idle, busy = server.connect(), server.connect()
        busy.feed(build_get(b"/1") + build_get(b"/2"))
        await settle()
        stopping = asyncio.create_task(server.listener.stop())
        await settle()
        assert idle.closed
        assert not busy.closed
        assert not stopping.done()
        await stopping
        assert not busy.aborted
        responses = Responses(busy.written)
        assert responses.complete == [(200, b"/1")]
        assert (b"connection", b"close") in responses.headers
        assert server.started == [b"/1"]

    run(main)


@pytest.mark.parametrize("way", ["drain", "stop", "handler"])
async def test_the_close_is_announced_on_the_last_response(way: str) -> None:
    """Guard against a close that drops a request which arrived behind a held response."""
    gates = {b"/%d" % number: asyncio.Event() for number in range(1, 4)}

    async def serve(request: ServerRequest) -> None:
        await gates[request.target].wait()
        closing = [(b"connection", b"close")] if way == "handler" else []
        request.respond(200, closing, request.target)

    server = Server(serve)
    server.listener.pipeline_limit = 16
    wire = server.connect()
    wire.feed(build_get(b"/1"))
    await settle()
    if way == "drain":
        server.listener.stopping = True
    elif way == "stop":
        wire.protocol.stop()
    wire.feed(build_get(b"/2"))
    await settle()
    gates[b"/2"].set()
    await settle()
    wire.feed(build_get(b"/3"))
    await settle()
    gates[b"/1"].set()
    await settle()
    gates[b"/3"].set()
    await settle()
    assert read_responses(wire) == [(200, b"/%d" % number) for number in range(1, 4)]
    assert wire.written.count(b"connection: close") == 1
    assert wire.written.rindex(b"HTTP/1.1") < wire.written.index(b"connection: close")
    assert wire.closed
    assert not wire.aborted


async def test_nothing_is_started_behind_an_announced_close() -> None:
    """Guard against a call that is passed on although its connection is about to close."""
    finished = asyncio.Event()

    async def serve(request: ServerRequest) -> None:
        request.start(200, [])
        await request.write(b"part")
        await finished.wait()
        request.finish()

    server = Server(serve)
    server.listener.pipeline_limit = 16
    server.listener.stopping = True
    wire = server.connect()
    wire.feed(build_get(b"/1"))
    await settle()
    assert b"connection: close" in wire.written
    wire.feed(build_get(b"/2"), build_get(b"/3"))
    await settle()
    finished.set()
    await settle()
    assert server.started == [b"/1"]
    assert read_responses(wire) == [(200, b"part")]
    assert wire.closed


async def test_a_body_goes_on_after_the_close_is_announced() -> None:
    """Guard against a stop that cuts off an upload whose response has begun."""

    async def serve(request: ServerRequest) -> None:
        request.start(200, [(b"connection", b"close")])
        await request.write(b"read ")
        while part := await request.read():
            await request.write(part)
        request.finish()

    server = Server(serve)
    wire = server.connect()
    raw = build_post(b"/1", b"body")
    wire.feed(raw[:-3])
    await settle()
    wire.feed(raw[-3:] + build_get(b"/2"))
    await settle()
    assert server.started == [b"/1"]
    assert read_responses(wire) == [(200, b"read body")]
    assert wire.closed


async def test_a_body_that_came_without_continue_does_not_close_the_connection() -> None:
    """Guard against an early response that drops the request behind a body that has arrived."""
    first = asyncio.Event()

    async def serve(request: ServerRequest) -> None:
        if request.target == b"/1":
            await first.wait()
        request.respond(200, [], request.target)

    server = Server(serve)
    server.listener.pipeline_limit = 16
    wire = server.connect()
    expecting = build_post(b"/2", b"body").replace(b"host", b"expect: 100-continue\r\nhost")
    wire.feed(build_get(b"/1") + expecting[:-4])
    await settle()
    wire.feed(expecting[-4:] + build_get(b"/3"))
    await settle()
    first.set()
    await settle()
    assert read_responses(wire) == [(200, b"/%d" % number) for number in range(1, 4)]
    assert not wire.closed


def test_a_stop_ends_a_call_that_takes_too_long() -> None:
    """Guard against a node that does not stop because a call does not end."""

    async def serve(request: ServerRequest) -> None:
        await asyncio.Event().wait()

    async def main() -> None:
        server = Server(serve)
        await server.listener.start()
        wire = server.connect()
        wire.feed(build_get(b"/1"))
        await settle()
        await server.listener.stop()
        await settle()
        assert wire.aborted
        assert server.cancelled == [b"/1"]

    run(main)


# Arbitrary bytes in arbitrary segments

KINDS = {
    "get": lambda target, body: (build_get(target), target + b" "),
    "post": lambda target, body: (build_post(target, body), target + b" " + body),
    "chunked": lambda target, body: (build_chunked(target, body), target + b" " + body),
}
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(sorted(KINDS)), st.sampled_from([b"/", b"/parts"]), st.binary(max_size=30)
    ),
    max_size=5,
)
CUTS = st.lists(st.tuples(st.integers(0, 600), st.integers(0, 3)), max_size=12)
KNOWN_MALFORMED = (
    b"GET / HTTP/1.0\r\n\r\n",
    b"GET http://other/ HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n",
    b"CONNECT shop:80 HTTP/1.1\r\n\r\n",
    b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    b"POST / HTTP/1.1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-trailer: 1\r\n\r\n",
    b"GET / HTTP/1.1\r\nx-long: " + b"x" * 70_000 + b"\r\n\r\n",
    b"GET / HTTP/1.1\r\nbad name: 1\r\n\r\n",
    b"GET / HTTP/1.1\r\nx: a\0b\r\n\r\n",
)
MALFORMED = st.one_of(st.sampled_from(KNOWN_MALFORMED), st.binary(max_size=60))
# A head as RFC 9112 defines it. Arbitrary bytes may form one, such as `*:` for a field.
WELL_FORMED = re.compile(
    rb"(\r\n)*[A-Z]+ /[\x21-\x7e]* HTTP/1\.1\r\n"
    rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n"
)


def serve_bytes(raw: bytes, cuts: list[tuple[int, int]]) -> tuple[Wire, list[Any]]:
    """Send bytes in segments, with some rounds of the event loop after each."""

    async def main() -> tuple[Wire, list[Any]]:
        failures: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context)
        )
        wire = Server().connect()
        edges = [(0, 0), *sorted((cut % (len(raw) + 1), rounds) for cut, rounds in cuts)]
        for (start, _), (end, rounds) in itertools.pairwise([*edges, (len(raw), 0)]):
            if end > start:
                wire.feed(raw[start:end])
            await settle(rounds)
        await settle(200)
        return wire, failures

    return run(main)


@given(requests=REQUESTS, cuts=CUTS)
@settings(max_examples=150, deadline=None)
def test_cuts_do_not_change_the_answers(
    requests: list[tuple[str, bytes, bytes]], cuts: list[tuple[int, int]]
) -> None:
    """Guard against responses that depend on how the network splits the requests."""
    pairs = [
        KINDS[kind](prefix + b"%d" % number, body)
        for number, (kind, prefix, body) in enumerate(requests)
    ]
    wire, failures = serve_bytes(b"".join(raw for raw, _ in pairs), cuts)
    assert failures == []
    assert read_responses(wire) == [(200, answer) for _, answer in pairs]
    assert not wire.closed


@given(requests=REQUESTS, tail=MALFORMED, cuts=CUTS)
@example(requests=[], tail=b"GET / HTTP/1.1\r\n*:\r\n\r\n", cuts=[])
@settings(max_examples=300, deadline=None)
def test_malformed_bytes_never_cross_answers(
    requests: list[tuple[str, bytes, bytes]], tail: bytes, cuts: list[tuple[int, int]]
) -> None:
    """Guard against a crash, and against an error in place of another request's response."""
    pairs = [
        KINDS[kind](prefix + b"%d" % number, body)
        for number, (kind, prefix, body) in enumerate(requests)
    ]
    wire, failures = serve_bytes(b"".join(raw for raw, _ in pairs) + tail, cuts)
    assert failures == []
    answers = read_responses(wire)
    expected = [(200, answer) for _, answer in pairs]
    assert answers[: len(expected)] == expected[: len(answers)]
    refusals = [status for status, _ in answers[len(expected) :]]
    is_request = tail not in KNOWN_MALFORMED and WELL_FORMED.match(tail) is not None
    if is_request and refusals:
        assert refusals.pop(0) in {200, 400, 431, 501}
    assert len(refusals) <= 1
    assert set(refusals) <= {400, 431, 501}


# Limits for clients


async def test_a_head_within_the_limit_is_served_however_it_is_cut() -> None:
    """Guard against counting the bytes of a head twice when it arrives in pieces."""
    server = Server()
    limit = server.listener.limits.max_head_bytes
    raw = b"GET /1 HTTP/1.1\r\nhost: shop\r\nx-long: " + b"x" * (limit - 100) + b"\r\n\r\n"
    for size in (1000, 4096, len(raw)):
        wire = server.connect()
        wire.feed(*[raw[start : start + size] for start in range(0, len(raw), size)])
        await settle()
        assert [status for status, _ in read_responses(wire)] == [200]


async def test_empty_lines_count_towards_the_size_of_a_head() -> None:
    """Guard against bytes before a request that never end."""
    server = Server()
    wire = server.connect()
    wire.feed(b"\r\n", build_get(b"/1"), b"\r\n" * 100, build_get(b"/2"))
    await settle()
    assert read_responses(wire) == [(200, b"/1 "), (200, b"/2 ")]
    wire = server.connect()
    wire.feed(*[b"\r\n" * 1000] * 40)
    assert [status for status, _ in read_responses(wire)] == [431]
    assert wire.closed


async def test_many_pipelined_requests_stay_bytes_until_they_start() -> None:
    """Guard against the memory of requests that are parsed long before they can start."""
    server = Server()
    wire = server.connect()
    targets = [b"/%d" % number for number in range(2000)]
    wire.feed(b"".join(build_get(target) for target in targets))
    assert len(wire.protocol._waiting) < 200
    await settle(10_000)
    assert [body for _, body in read_responses(wire)] == [target + b" " for target in targets]


async def test_a_new_connection_takes_the_place_of_an_idle_one_only() -> None:
    """Guard against idle clients that keep others out, and against cutting a running request."""
    gate = asyncio.Event()

    async def answer_late(request: ServerRequest) -> None:
        await gate.wait()
        await echo(request)

    server = Server(answer_late)
    server.listener._max_connections = 2
    busy, idle = server.connect(), server.connect()
    busy.feed(build_get(b"/1"))
    await settle()
    newer = server.connect()
    newer.feed(build_get(b"/2"))
    await settle()
    assert (busy.closed, idle.closed, newer.closed) == (False, True, False)
    refused = server.connect()
    assert refused.closed
    gate.set()
    await settle()
    assert read_responses(busy) == [(200, b"/1 ")]
    assert read_responses(newer) == [(200, b"/2 ")]
