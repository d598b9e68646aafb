"""Read and write the headers of calls between callers, nodes and backend servers."""

from __future__ import annotations

from typing import NamedTuple

from .bodies import RequestBody
from .pool import Headers

OUTCOME = b"ibiswick-outcome"
CALL = b"ibiswick-call"
DEADLINE = b"ibiswick-deadline-ms"
LOAD = b"ibiswick-load"
WORKSPACE = b"ibiswick-workspace"
SERVICE = b"ibiswick-service"
OWN_PREFIX = b"ibiswick-"

OUTCOME_NOT_RUN = b"not-run"
OUTCOME_UNKNOWN = b"unknown"

MAX_DEADLINE_MS = 86_400_000

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# The framing is written anew, and an interim response has already been given where it was due.
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | {b"content-length", b"expect"}
_COMMON_CONNECTION_VALUES = frozenset((b"keep-alive", b"close", b"Keep-Alive"))


class RequestHead(NamedTuple):
    """Hold what a node needs to know of a request's headers, and those that it passes on."""

    host: bytes
    hosts: int
    length: int | None
    chunked: bool
    trailers: bool
    expects_continue: bool
    deadline_ms: int | None
    call_id: bytes
    workspace: bytes
    service: bytes
    passed: bytes


def read_request_head(headers: Headers) -> RequestHead:
    """Sort the headers of a request in one pass."""
    host = call_id = workspace = service = b""
    hosts = 0
    length = deadline_ms = None
    chunked = trailers = expects_continue = False
    dropped = _DROPPED_FROM_REQUESTS
    passed = []
    for name, value in headers:
        if name in dropped:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
            elif name == b"trailer":
                trailers = True
            elif name == b"expect":
                expects_continue = True
            elif name == b"connection" and value not in _COMMON_CONNECTION_VALUES:
                return read_request_head(_drop_named(headers))
            continue
        if name.startswith(OWN_PREFIX):
            if name == DEADLINE:
                deadline_ms = parse_milliseconds(value)
            elif name == CALL:
                call_id = value
            elif name == WORKSPACE:
                workspace = value
            elif name == SERVICE:
                service = value
            continue
        if name == b"host":
            host = value
            hosts += 1
        passed += (name, b": ", value, b"\r\n")
    return RequestHead(
        host,
        hosts,
        length,
        chunked,
        trailers,
        expects_continue,
        deadline_ms,
        call_id,
        workspace,
        service,
        b"".join(passed),
    )


def _drop_named(headers: Headers) -> Headers:
    """Remove the headers that `Connection` headers name, and those headers themselves.

    The framing, the host and the node's own headers can't be removed in this way.
    """
    kept = {b"content-length", b"transfer-encoding", b"trailer", b"host"}
    named = {b"connection"}
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    named -= kept
    return [
        (name, value) for name, value in headers if name not in named or name.startswith(OWN_PREFIX)
    ]


def parse_milliseconds(value: bytes) -> int | None:
    """Return a deadline from a header, or None when it is not a number.

    >>> parse_milliseconds(b"250"), parse_milliseconds(b"-1"), parse_milliseconds(b"soon")
    (250, None, None)
    """
    if not value.isdigit() or len(value) > 12:
        return None
    return min(int(value), MAX_DEADLINE_MS)


def normalize_host(value: bytes) -> str:
    """Return a host in lower case without its port.

    >>> normalize_host(b"Shop.Example:8080"), normalize_host(b"[::1]:80")
    ('shop.example', '[::1]')
    """
    host = value.decode("latin-1").lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def format_load(in_flight: int, queued: int, slots: int) -> bytes:
    """Write the load of a backend server."""
    return b"%d,%d,%d" % (in_flight, queued, slots)


class Load(NamedTuple):
    """Load of a backend server as its node reports it."""

    in_flight: int
    queued: int
    slots: int


def parse_load(value: bytes) -> Load | None:
    """Read the load of a backend server, or return None when it is malformed.

    >>> parse_load(b"3,0,6")
    Load(in_flight=3, queued=0, slots=6)
    >>> parse_load(b"3,0") is None
    True
    """
    try:
        in_flight, queued, slots = value[:30].split(b",")
        return Load(int(in_flight), int(queued), int(slots))
    except ValueError:
        return None


class ResponseHead(NamedTuple):
    """Hold a response's headers for the caller and what the peer's node said about the call."""

    headers: Headers
    outcome: bytes
    load: Load | None


def read_response_head(headers: Headers, status: int) -> ResponseHead:
    """Sort the headers of a response in one pass."""
    outcome = b""
    load = None
    passed = []
    dropped = _HOP_BY_HOP
    for item in headers:
        name, value = item
        if name in dropped:
            if name == b"connection" and value not in _COMMON_CONNECTION_VALUES:
                return read_response_head(_drop_named(headers), status)
        elif name.startswith(OWN_PREFIX):
            if name == OUTCOME:
                outcome = value
            elif name == LOAD:
                load = parse_load(value)
        elif name != b"content-length" or status not in (204, 304):
            passed.append(item)
    return ResponseHead(passed, outcome, load)


def write_framing(head: RequestHead, body: RequestBody) -> bytes:
    """Write the header that announces the length of a request's body, if it has one."""
    if head.chunked and not body.whole:
        return b"transfer-encoding: chunked\r\n"
    if head.chunked:
        return b"content-length: %d\r\n" % len(body.start)
    if head.length is not None:
        return b"content-length: %d\r\n" % head.length
    return b""


def find_retry_after(headers: Headers) -> float:
    """Return the seconds in a `Retry-After` header, or one.

    >>> find_retry_after([(b"retry-after", b"3")]), find_retry_after([])
    (3.0, 1.0)
    """
    for name, value in headers:
        if name == b"retry-after" and value.isdigit():
            return float(value[:6])
    return 1.0
