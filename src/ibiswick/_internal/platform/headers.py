"""Define the names of the platform's headers."""

from __future__ import annotations

from ..calls.heads import HeaderNames

HEADER_NAMES = HeaderNames(
    attempt_id=b"ibiswick-attempt-id",
    caller_service=b"ibiswick-caller-service",
    expected_instance=b"ibiswick-expected-instance",
    signature=b"ibiswick-response-signature",
    not_run=b"ibiswick-not-executed",
    credential=b"x-api-key",
    tenant=b"ibiswick-tenant",
    # The id of a call that a running call makes is the id of the running call, this separator and
    # more: observed, but not guaranteed by the platform (see docs/decisions/platform.md).
    child_separator=b".",
)
