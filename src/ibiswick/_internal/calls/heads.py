"""Parse and format the headers of calls between callers, nodes and backend servers."""

from __future__ import annotations

from typing import NamedTuple

from ..shared.records import DEFAULT_WEIGHT
from .bodies import RequestBody
from .exchanges import Headers

OUTCOME_HEADER = b"ibiswick-outcome"
CALL_ID_HEADER = b"ibiswick-call"
DEADLINE_HEADER = b"ibiswick-deadline-ms"
LOAD_HEADER = b"ibiswick-load"
# Name of the caller's tenant, set by the caller's node only.
TENANT_HEADER = b"ibiswick-tenant"
# Proof that the caller's node knows the credentials of the tenant.
TENANT_PROOF_HEADER = b"ibiswick-tenant-proof"
# Share of the tenant where calls wait for slots, relative to those of other tenants.
TENANT_WEIGHT_HEADER = b"ibiswick-tenant-weight"
MAX_WEIGHT_DIGITS = 9
WORKSPACE_HEADER = b"ibiswick-workspace"
SERVICE_HEADER = b"ibiswick-service"
# How the call may use the slots of the called node; see `Terms`.
TERMS_HEADER = b"ibiswick-terms"
# No link has a rate in bytes/s with more digits.
MAX_LINK_RATE_DIGITS = 12
# Link rate of the VM that sends a body, in bytes/s.
LINK_HEADER = b"ibiswick-link"
# Estimated time in ms that a refused call would have waited for a slot.
WAIT_HEADER = b"ibiswick-wait-ms"
# Time in ms that a call spent at the responding node, including its time at the backend server.
SPENT_HEADER = b"ibiswick-spent-ms"
# Sent with `REPEAT_VALUE` with a call that is an extra arrival at its service (calls/repeats.py).
REPEAT_HEADER = b"ibiswick-repeat"
REPEAT_VALUE = b"1"
OWN_HEADER_PREFIX = b"ibiswick-"

OUTCOME_NOT_RUN = b"not-run"
OUTCOME_UNKNOWN = b"unknown"
# The backend server refused the call, which therefore has not run.
OUTCOME_REJECTED = b"rejected"

MAX_DEADLINE_MS = 86_400_000

_HOP_BY_HOP_HEADERS = frozenset(
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
# Nodes write the framing anew and answer `Expect: 100-continue` themselves.
_DROPPED_REQUEST_HEADERS = _HOP_BY_HOP_HEADERS | {b"content-length", b"expect"}
_USUAL_CONNECTION_VALUES = frozenset((b"keep-alive", b"close", b"Keep-Alive"))


class HeaderNames(NamedTuple):
    """Name the headers that callers and backend servers use besides those of ibiswick.

    They share the prefix of ibiswick's own headers, except for `credential`, and all others with
    it are removed. A header with an empty name is not used.
    """

    # The caller's id of the call, which a backend server echoes.
    attempt_id: bytes = b""
    # The service of the VM on which the call began.
    caller_service: bytes = b""
    # The only backend server instance that may run the call.
    expected_instance: bytes = b""
    # Proves that a response comes from a backend server.
    signature: bytes = b""
    # Says that a backend server has not run the call.
    not_run: bytes = b""
    # Identifies the caller's tenant, and is not forwarded.
    credential: bytes = b""
    # Tells a backend server the name of the caller's tenant.
    tenant: bytes = b""
    # Not a header: in the id of a call made by a running call, ends the id of the running call.
    # Ids of another form also work: their calls have the priority of their route.
    child_separator: bytes = b""


NO_HEADER_NAMES = HeaderNames()


class Terms(NamedTuple):
    """Say how a call may use slots; times count from its arrival."""

    kind: str = ""
    # Calls with a smaller number go first.
    priority: int = 0
    # A later response is worth little.
    target_ms: int | None = None
    # The longest wait for a slot that the calling node accepts before it asks another node.
    max_wait_ms: int | None = None


def format_terms(terms: Terms) -> bytes:
    """Format terms as the value of a header.

    >>> parse_terms(format_terms(Terms("status", 2, 300, None)))
    Terms(kind='status', priority=2, target_ms=300, max_wait_ms=None)
    """
    target = "" if terms.target_ms is None else terms.target_ms
    max_wait = "" if terms.max_wait_ms is None else terms.max_wait_ms
    return f"{terms.priority},{target},{max_wait},{terms.kind}".encode("latin-1", "replace")


def parse_terms(value: bytes) -> Terms:
    """Parse terms; malformed parts have their defaults.

    >>> parse_terms(b"soon") == parse_terms(b"") == Terms()
    True
    """
    fields = value.decode("latin-1").split(",", 3)
    if len(fields) < 4 or not fields[0].isdigit():
        return Terms()
    target, max_wait = (int(field[:9]) if field.isdigit() else None for field in fields[1:3])
    return Terms(fields[3], int(fields[0][:4]), target, max_wait)


class RequestHead(NamedTuple):
    """Hold the headers of a request that a node uses, and those that it forwards."""

    host: bytes
    # How many `Host` headers the request has.
    host_count: int
    content_length: int | None
    chunked: bool
    trailers: bool
    expects_continue: bool
    deadline_ms: int | None
    # Made by the calling node, anew for each of its attempts.
    call_id: bytes
    workspace: bytes
    service: bytes
    # Lines of the headers that are forwarded.
    forwarded_headers: bytes
    # Made by the caller, the same in all attempts of the calling node.
    attempt_id: bytes = b""
    terms: bytes = b""
    # Rate of the link of the sending VM, 0 if unknown.
    link_bytes_per_s: int = 0
    # Values of the credential headers.
    credentials: tuple[bytes, ...] = ()
    # Of the caller, as its node states them; empty in requests that come from callers.
    tenant: bytes = b""
    tenant_proof: bytes = b""
    tenant_weight: float = DEFAULT_WEIGHT
    # See `REPEAT_HEADER`.
    is_repeat: bool = False


def read_request_head(
    headers: Headers, names: HeaderNames = NO_HEADER_NAMES, *, from_node: bool = False
) -> RequestHead:
    """Parse the headers of a request in one pass; only a node may name the caller's service."""
    host = call_id = workspace = service = attempt_id = terms = tenant = tenant_proof = b""
    credentials: tuple[bytes, ...] = ()
    host_count = 0
    link_bytes_per_s = 0
    tenant_weight = DEFAULT_WEIGHT
    length = deadline_ms = None
    chunked = trailers = expects_continue = is_repeat = False
    dropped = _DROPPED_REQUEST_HEADERS
    forwarded_lines = []
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
            elif name == b"connection" and value not in _USUAL_CONNECTION_VALUES:
                return read_request_head(
                    _drop_connection_headers(headers, names), names, from_node=from_node
                )
            continue
        if name == names.credential:
            credentials += (value,)
            continue
        if b"_" in name and _is_reserved(name.replace(b"_", b"-"), names):
            continue
        if name.startswith(OWN_HEADER_PREFIX):
            if name == names.attempt_id:
                attempt_id = value
                forwarded_lines += (name, b": ", value, b"\r\n")
            elif name == names.caller_service and from_node:
                forwarded_lines += (name, b": ", value, b"\r\n")
            elif name == DEADLINE_HEADER:
                deadline_ms = parse_milliseconds(value)
            elif name == CALL_ID_HEADER:
                call_id = value
            elif name == WORKSPACE_HEADER:
                workspace = value
            elif name == SERVICE_HEADER:
                service = value
            elif name == TERMS_HEADER:
                terms = value
            elif name == TENANT_HEADER and from_node:
                tenant = value
            elif name == TENANT_PROOF_HEADER and from_node:
                tenant_proof = value
            elif name == TENANT_WEIGHT_HEADER and from_node:
                tenant_weight = parse_weight(value)
            elif name == REPEAT_HEADER and from_node:
                is_repeat = value == REPEAT_VALUE
            elif name == LINK_HEADER and value.isdigit():
                link_bytes_per_s = int(value[:MAX_LINK_RATE_DIGITS])
            continue
        if name == b"host":
            host = value
            host_count += 1
        forwarded_lines += (name, b": ", value, b"\r\n")
    return RequestHead(
        host,
        host_count,
        length,
        chunked,
        trailers,
        expects_continue,
        deadline_ms,
        call_id,
        workspace,
        service,
        b"".join(forwarded_lines),
        attempt_id,
        terms,
        link_bytes_per_s,
        credentials,
        tenant,
        tenant_proof,
        tenant_weight,
        is_repeat,
    )


def _is_reserved(name: bytes, names: HeaderNames) -> bool:
    """Tell whether a header is the credential or has the prefix of ibiswick's own headers.

    Servers with an interface like CGI take underscores for hyphens, so a header with underscores
    would reach their applications as the one that the node has set.

    >>> names = HeaderNames(credential=b"x-secret")
    >>> [_is_reserved(name, names) for name in (b"x-secret", b"ibiswick-tenant")]
    [True, True]
    >>> [_is_reserved(name, names) for name in (b"x-trace-id", b"my-ibiswick-id")]
    [False, False]
    """
    return name == names.credential or name.startswith(OWN_HEADER_PREFIX)


def _drop_connection_headers(headers: Headers, names: HeaderNames) -> Headers:
    """Remove the `Connection` headers and the headers that they name.

    Headers of the framing, `Host`, the credential and ibiswick's own headers can't be removed in
    this way.
    """
    kept = {b"content-length", b"transfer-encoding", b"trailer", b"host", names.credential}
    named = {b"connection"}
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    named -= kept
    return [
        (name, value)
        for name, value in headers
        if name not in named or name.startswith(OWN_HEADER_PREFIX)
    ]


def parse_weight(value: bytes) -> float:
    """Return the weight of a tenant, the default one if it is malformed.

    >>> parse_weight(b"450"), parse_weight(b"0"), parse_weight(b"-1"), parse_weight(b"9" * 12)
    (450.0, 1.0, 1.0, 1.0)
    """
    is_valid = value.isdigit() and len(value) <= MAX_WEIGHT_DIGITS
    return float(value) if is_valid and int(value) else DEFAULT_WEIGHT


def format_weight(weight: float) -> bytes:
    """Format the weight of a tenant as a whole number.

    >>> format_weight(449), format_weight(0.2)
    (b'449', b'1')
    """
    return b"%d" % min(max(1, round(weight)), 10**MAX_WEIGHT_DIGITS - 1)


def parse_milliseconds(value: bytes) -> int | None:
    """Return the milliseconds in a header, or None if it is not a number.

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


class BackendLoad(NamedTuple):
    """Hold the load of a backend server as its node reports it."""

    in_flight: int
    queued: int
    slots: int
    # Mean time that a call of the same kind holds a slot, None if that is not known yet.
    duration_ms: int | None = None
    # Share of recent calls that failed.
    failed_percent: int = 0


def format_load(load: BackendLoad) -> bytes:
    """Format the load of a backend server as the value of a header."""
    text = b"%d,%d,%d" % load[:3]
    if load.duration_ms is None:
        return text
    return b"%b,%d,%d" % (text, load.duration_ms, load.failed_percent)


def parse_load(value: bytes) -> BackendLoad | None:
    """Parse the load of a backend server, or return None if it is malformed.

    >>> parse_load(b"3,0,6")
    BackendLoad(in_flight=3, queued=0, slots=6, duration_ms=None, failed_percent=0)
    >>> parse_load(format_load(BackendLoad(3, 0, 6, 90, 2))) == (3, 0, 6, 90, 2)
    True
    >>> parse_load(b"3,0") is None
    True
    """
    try:
        numbers = [int(number) for number in value[:60].split(b",")]
    except ValueError:
        return None
    return BackendLoad(*numbers) if len(numbers) in (3, 5) else None


class ResponseHead(NamedTuple):
    """Hold the headers of a response for the caller, and what the responding node reports."""

    headers: Headers
    outcome: bytes
    load: BackendLoad | None
    attempt_id: bytes = b""
    # Whether the response has the signature header of a backend server.
    has_signature: bool = False
    # Whether the backend server says that it has not run the call.
    not_run: bool = False
    # See `WAIT_HEADER`.
    wait_ms: int | None = None
    # See `SPENT_HEADER`.
    spent_ms: int | None = None


def read_response_head(
    headers: Headers, status: int, names: HeaderNames = NO_HEADER_NAMES
) -> ResponseHead:
    """Parse the headers of a response in one pass."""
    outcome = attempt_id = b""
    load = wait_ms = spent_ms = None
    signed = not_run = False
    forwarded = []
    dropped = _HOP_BY_HOP_HEADERS
    for item in headers:
        name, value = item
        if name in dropped:
            if name == b"connection" and value not in _USUAL_CONNECTION_VALUES:
                return read_response_head(_drop_connection_headers(headers, names), status, names)
        elif name.startswith(OWN_HEADER_PREFIX):
            if name == names.attempt_id:
                attempt_id = value
                forwarded.append(item)
            elif name == names.signature:
                signed = True
                forwarded.append(item)
            elif name == names.not_run:
                not_run = True
            elif name == WAIT_HEADER:
                wait_ms = parse_milliseconds(value)
            elif name == SPENT_HEADER:
                spent_ms = parse_milliseconds(value)
            elif name == OUTCOME_HEADER:
                outcome = value
            elif name == LOAD_HEADER:
                load = parse_load(value)
        elif name != b"content-length" or status not in (204, 304):
            forwarded.append(item)
    return ResponseHead(forwarded, outcome, load, attempt_id, signed, not_run, wait_ms, spent_ms)


def write_framing(head: RequestHead, body: RequestBody) -> bytes:
    """Format the header line that frames the body of a request, or nothing without a body."""
    if head.chunked and not body.is_complete:
        return b"transfer-encoding: chunked\r\n"
    if head.chunked:
        return b"content-length: %d\r\n" % len(body.buffered)
    if head.content_length is not None:
        return b"content-length: %d\r\n" % head.content_length
    return b""


def parse_retry_after_s(headers: Headers) -> float:
    """Return the seconds in a `Retry-After` header, or one second without a valid header.

    >>> parse_retry_after_s([(b"retry-after", b"3")])
    3.0
    >>> parse_retry_after_s([(b"retry-after", b"0.25")])
    0.25
    >>> parse_retry_after_s([])
    1.0
    """
    for name, value in headers:
        if name == b"retry-after" and value.replace(b".", b"", 1).isdigit():
            return float(value[:6])
    return 1.0
