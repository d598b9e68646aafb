"""Define every exception of ibiswick, each with a stable code.

Codes appear in logs, in responses to callers and operators, and in the documentation.
"""

from __future__ import annotations

from typing import ClassVar, NamedTuple

from .records import DocumentConflict


class Problem(NamedTuple):
    """Describe one error in an input document."""

    source: str
    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.source}: {self.path}: expected {self.expected}, found {self.found}"


class IbiswickError(Exception):
    """Serve as the base of all exceptions raised by ibiswick."""

    code: ClassVar[str] = "internal"

    @property
    def detail(self) -> str:
        """Return the message without the code."""
        return str(self)


class InvalidInputError(IbiswickError):
    """Report all errors found in the input at once."""

    code = "invalid-input"

    def __init__(self, problems: list[Problem] | tuple[Problem, ...]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class SettingsError(InvalidInputError):
    """Report the errors in a settings file."""

    code = "invalid-settings"


class PlatformError(IbiswickError):
    """Serve as the base of failures of the platform's object API."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """Report a call to the platform that certainly had no effect."""

    code = "platform-unavailable"

    def __init__(self, message: str, *, retry_after_s: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class HistoryLostError(PlatformError):
    """Report a watch from a revision that the platform's history no longer covers."""

    code = "history-lost"


class EraChangedError(HistoryLostError):
    """Report that the store was restored from an older copy and may reuse revision numbers."""

    code = "era-changed"


class OutcomeUnknownError(PlatformError):
    """Report a write to the platform that may or may not have taken effect."""

    code = "platform-outcome-unknown"


class ConflictError(PlatformError):
    """Report a conditional write whose expected version is not the current one."""

    code = "conflict"

    def __init__(self, message: str, *, current: int) -> None:
        super().__init__(message)
        self.current = current


class UnauthenticatedError(IbiswickError):
    """Report a request without a valid bearer token."""

    code = "unauthenticated"


class ForbiddenError(IbiswickError):
    """Report a request that the token's role or scope does not cover."""

    code = "forbidden"


class NotFoundError(IbiswickError):
    """Report an object that the administration API does not have."""

    code = "not-found"


class OverloadedError(IbiswickError):
    """Report a request refused because too many others are waiting."""

    code = "too-many-requests"

    def __init__(self, message: str, *, retry_after_s: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class ChangeConflictError(ConflictError):
    """Report a change based on outdated documents; `current` is the current generation."""

    code = "change-conflict"

    def __init__(self, conflicts: tuple[DocumentConflict, ...], *, current: int) -> None:
        names = ", ".join(conflict.document for conflict in conflicts)
        super().__init__(f"changed by others since: {names}", current=current)
        self.conflicts = conflicts


class DamagedBlobError(PlatformError):
    """Report a content-addressed object that is missing or does not match its digest."""

    code = "damaged-blob"


class ValueTooLargeError(PlatformError):
    """Report a value that is too large for the platform."""

    code = "value-too-large"


class SnapshotError(IbiswickError):
    """Report a snapshot that a node refuses as a whole."""

    code = "snapshot-refused"


class DigestMismatchError(SnapshotError):
    """Report a snapshot whose content does not match its digest."""

    code = "digest-mismatch"


class DanglingReferenceError(SnapshotError):
    """Report a route to a service that the snapshot does not have."""

    code = "dangling-reference"


class BaseMismatchError(SnapshotError):
    """Report a delta to a snapshot that the node does not hold."""

    code = "base-mismatch"


class MalformedSnapshotError(SnapshotError):
    """Report a malformed snapshot or delta."""

    code = "malformed-snapshot"


class MessageError(IbiswickError):
    """Report a message with a wrong structure, size or protocol version."""

    code = "invalid-message"


class ExchangeError(IbiswickError):
    """Serve as the base of failures of one HTTP exchange."""

    code = "exchange"


class NotSentError(ExchangeError):
    """Report an exchange of which no byte was sent."""

    code = "not-sent"


class ConnectTimeoutError(NotSentError):
    """Report an exchange for which no connection could be opened in time.

    With `local_cause`, the cause is probably on this machine and tells nothing about the other one.
    """

    code = "connect-timeout"

    def __init__(self, detail: str, *, local_cause: bool = False) -> None:
        super().__init__(detail)
        self.local_cause = local_cause


class ResponseLostError(ExchangeError):
    """Report an exchange that was sent, at least in part, and has no complete response."""

    code = "response-lost"


class SilentPathError(ResponseLostError):
    """Report an exchange whose bytes the other machine did not acknowledge in time."""

    code = "path-silent"


class ExchangeTimeoutError(ResponseLostError):
    """Report an exchange that was sent and received no complete response in time."""

    code = "response-timeout"
