"""Build responses made by ibiswick itself, and forward those of other servers."""

from __future__ import annotations

from typing import NamedTuple

from ..shared.blackboard import Blackboard
from ..shared.errors import ResponseLostError
from ..shared.records import Phase
from .admission import format_retry_after
from .exchanges import ExchangeResponse, Headers
from .heads import OUTCOME_HEADER, OUTCOME_NOT_RUN, OUTCOME_REJECTED, OUTCOME_UNKNOWN
from .serving import AbortResponseError, ServerRequest, encode_problem


class Answer(NamedTuple):
    """Hold a complete response made by ibiswick; `is_logged` tells whether it was logged."""

    status: int
    code: str
    headers: Headers
    body: bytes
    is_logged: bool = False


def build_answer(status: int, code: str, detail: str, headers: Headers | None = None) -> Answer:
    """Build a response with a JSON body."""
    body = encode_problem(code, detail)
    default_headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    return Answer(status, code, default_headers + (headers or []), body)


def build_not_run_answer(
    detail: str, *, retry_after_s: float, fractional_retry_after: bool = False
) -> Answer:
    """Build the response to a call that did not reach a backend server."""
    retry_after = format_retry_after(retry_after_s, fractions=fractional_retry_after)
    headers = [(OUTCOME_HEADER, OUTCOME_NOT_RUN), (b"retry-after", retry_after)]
    return build_answer(503, "not-run", detail, headers)


def build_over_limit_answer(*, retry_after_s: float, fractional_retry_after: bool) -> Answer:
    """Build the response to a call beyond the limit of its tenant, which has not run."""
    retry_after = format_retry_after(retry_after_s, fractions=fractional_retry_after)
    headers = [(OUTCOME_HEADER, OUTCOME_NOT_RUN), (b"retry-after", retry_after)]
    return build_answer(429, "over-limit", "the tenant is over its limit", headers)


def build_rejected_answer(detail: str, *, retry_after_s: float) -> Answer:
    """Build the response to a call that has not run because the backend server refused it."""
    headers = [
        (OUTCOME_HEADER, OUTCOME_REJECTED),
        (b"retry-after", format_retry_after(retry_after_s, fractions=True)),
    ]
    return build_answer(503, "not-run", detail, headers)


def build_unknown_answer(detail: str, *, timed_out: bool) -> Answer:
    """Build the response to a call that may have run."""
    status = 504 if timed_out else 502
    return build_answer(status, "outcome-unknown", detail, [(OUTCOME_HEADER, OUTCOME_UNKNOWN)])


def send_answer(request: ServerRequest, answer: Answer, extra: Headers | None = None) -> None:
    """Send a response made by ibiswick."""
    headers = answer.headers + extra if extra else answer.headers
    request.respond(answer.status, headers, answer.body)


async def forward_response(
    request: ServerRequest, response: ExchangeResponse, headers: Headers
) -> None:
    """Forward a response as it arrives; raise AbortResponseError if it breaks off."""
    if response.complete:
        request.respond(response.status, headers, response.read_available())
        return
    request.start(response.status, headers)
    try:
        while part := await response.read():
            await request.write(part)
    except ResponseLostError as error:
        raise AbortResponseError(str(error)) from error
    finally:
        response.close()
    request.finish()


def build_closing_headers(board: Blackboard, request: ServerRequest) -> Headers:
    """Return the header that closes the connection if this node is stopping.

    Requests with a body get none: closing a connection with unread bytes resets it, and the
    response could be lost.
    """
    if board.phase.value not in (Phase.DRAINING, Phase.STOPPED):
        return []
    for name, _ in request.headers:
        if name in (b"content-length", b"transfer-encoding"):
            return []
    return [(b"connection", b"close")]
