"""Convert exceptions to JSON responses of the administration API."""

from __future__ import annotations

import math
from typing import Any

from litestar import MediaType, Request, Response
from litestar.exceptions import HTTPException

from ..shared.errors import ChangeConflictError, IbiswickError, InvalidInputError
from ..shared.logs import EventLog
from ..shared.records import DocumentConflict
from .api_models import ConflictView, ErrorView

STATUS_BY_CODE = {
    "invalid-input": 400,
    "unauthenticated": 401,
    "forbidden": 403,
    "not-found": 404,
    "conflict": 409,
    "change-conflict": 409,
    "value-too-large": 413,
    "too-many-requests": 429,
    "platform-unavailable": 503,
    # The change may have been accepted: the client retries it with the same change id.
    "platform-outcome-unknown": 504,
}
CODE_BY_STATUS = {
    400: "invalid-input",
    401: "unauthenticated",
    403: "forbidden",
    404: "not-found",
    405: "method-not-allowed",
    413: "too-large",
    429: "too-many-requests",
}

_log = EventLog(component="api")


def handle_error(request: Request[Any, Any, Any], error: Exception) -> Response[ErrorView]:
    """Return the response to a request that failed with an exception."""
    if isinstance(error, IbiswickError):
        return _build_ibiswick_response(error)
    if isinstance(error, HTTPException):
        return _build_http_response(error)
    _log.error(
        "request-failed", path=request.url.path, kind=type(error).__name__, detail=str(error)
    )
    return _build_response(500, ErrorView(code="internal", detail="internal error", problems=[]))


def _build_ibiswick_response(error: IbiswickError) -> Response[ErrorView]:
    problems = error.problems if isinstance(error, InvalidInputError) else ()
    view = ErrorView(
        code=error.code,
        detail=error.detail,
        problems=[problem._asdict() for problem in problems],  # type: ignore[misc]
    )
    if hasattr(error, "current"):
        view["current"] = error.current
    if isinstance(error, ChangeConflictError):
        view["conflicts"] = [_build_conflict_view(conflict) for conflict in error.conflicts]
    headers = {}
    if hasattr(error, "retry_after_s"):
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    if error.code == "unauthenticated":
        headers["WWW-Authenticate"] = "Bearer"
    return _build_response(STATUS_BY_CODE.get(error.code, 500), view, headers)


def _build_conflict_view(conflict: DocumentConflict) -> ConflictView:
    return ConflictView(
        document=conflict.document,
        base=conflict.base,
        current=conflict.current,
        differences=[item._asdict() for item in conflict.differences],  # type: ignore[misc]
    )


def _build_http_response(error: HTTPException) -> Response[ErrorView]:
    extra = error.extra if isinstance(error.extra, list) else []
    problems = [
        {
            "source": str(item.get("source", "request")),
            "path": _format_path(str(item.get("key", ""))),
            "expected": str(item.get("message", "")),
            "found": "",
        }
        for item in extra
        if isinstance(item, dict)
    ]
    code = CODE_BY_STATUS.get(error.status_code, "internal")
    view = ErrorView(code=code, detail=error.detail, problems=problems)  # type: ignore[typeddict-item]
    return _build_response(error.status_code, view, dict(error.headers or {}))


def _format_path(key: str) -> str:
    """Return the path of a problem; litestar calls the whole body "data"."""
    return "$" if key in ("", "data") else f"$.{key}"


def _build_response(
    status: int, view: ErrorView, headers: dict[str, str] | None = None
) -> Response[ErrorView]:
    return Response(view, status_code=status, headers=headers, media_type=MediaType.JSON)
