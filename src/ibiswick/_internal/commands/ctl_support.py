"""Provide options, output and exit codes for the subcommands of ibiswickctl."""

from __future__ import annotations

import json
import sys
import urllib.parse
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any

import httpx
from cyclopts import Parameter

from ..administration.api_client import ApiClient, ApiRefusedError, ClientSettings
from ..shared.errors import IbiswickError, InvalidInputError, Problem


class ExitCode(IntEnum):
    """Define the exit codes, which docs/OPERATIONS.md explains."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_EFFECT = 4
    UNAVAILABLE = 5
    NOT_AUTHORIZED = 6
    INTERRUPTED = 130


EXIT_CODE_BY_STATUS = {
    401: ExitCode.NOT_AUTHORIZED,
    403: ExitCode.NOT_AUTHORIZED,
    409: ExitCode.CONFLICT,
}
LOOPBACK_HOSTS = frozenset({"127.0.0.1", "::1", "localhost"})


class UsageError(IbiswickError):
    """Report options that are invalid or cannot be used together."""

    code = "usage"


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Options:
    """Hold the options of every subcommand that calls the API."""

    url: Annotated[str, Parameter(env_var="IBISWICK_URL")]
    """Address of the administration API."""

    token: Annotated[str, Parameter(env_var="IBISWICK_TOKEN")]
    """Bearer token; set it in the environment to keep it out of the process list."""

    ca: Annotated[Path | None, Parameter(env_var="IBISWICK_CA")] = None
    """File with the certificate authority that signed the API's certificate."""

    json: Annotated[bool, Parameter(negative=())] = False
    """Print one JSON object."""


# Tests set a transport that calls the application in the same process.
transport: httpx.AsyncBaseTransport | None = None


def open_client(options: Options) -> ApiClient:
    """Return a client of the API; raise UsageError for an invalid address."""
    parts = urllib.parse.urlsplit(options.url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise UsageError(f"--url must be an http or https address, not {options.url!r}")
    if parts.scheme == "http" and parts.hostname not in LOOPBACK_HOSTS:
        print("warning: the token is sent unencrypted", file=sys.stderr)
    authority_file = None if options.ca is None else str(options.ca)
    settings = ClientSettings(options.url, options.token, authority_file)
    return ApiClient(settings=settings, transport=transport)


async def run_command(operation: Callable[[], Awaitable[ExitCode]], *, as_json: bool) -> int:
    """Run a subcommand and return its exit code; print an error if it fails."""
    try:
        return await operation()
    except IbiswickError as error:
        print_failure(error, as_json=as_json)
        return get_exit_code(error)


def get_exit_code(error: IbiswickError) -> ExitCode:
    """Return the exit code of a failure."""
    if isinstance(error, ApiRefusedError):
        return EXIT_CODE_BY_STATUS.get(error.status, ExitCode.REFUSED)
    if isinstance(error, UsageError):
        return ExitCode.USAGE
    if isinstance(error, InvalidInputError):
        return ExitCode.REFUSED
    return ExitCode.UNAVAILABLE


def print_failure(error: IbiswickError, *, as_json: bool) -> None:
    """Print a failure, as JSON on standard output or as text on standard error."""
    code = error.refusal_code if isinstance(error, ApiRefusedError) else error.code
    problems: Sequence[Problem] = getattr(error, "problems", ())
    conflicts = getattr(error, "conflicts", [])
    if as_json:
        body = {
            "code": code,
            "detail": error.detail,
            "problems": [problem._asdict() for problem in problems],
            "current": getattr(error, "current", None),
            "conflicts": conflicts,
        }
        print_json(body)
        return
    print(f"error: {code}: {error.detail}", file=sys.stderr)
    for problem in problems:
        print(f"  {problem}", file=sys.stderr)
    for conflict in conflicts:
        print(f"  {conflict['document']} was changed by another operator:", file=sys.stderr)
        for item in conflict["differences"]:
            print(f"    {format_field_difference(item)}", file=sys.stderr)


def format_field_difference(difference: dict[str, Any]) -> str:
    """Format one value that differs between two versions of a document."""
    before, after = (json.dumps(difference[key]) for key in ("before", "after"))
    return f"{difference['document']} {difference['path']}: {before} -> {after}"


def format_time(seconds: float) -> str:
    """Format a Unix time.

    >>> format_time(0.0)
    '1970-01-01T00:00:00Z'
    """
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def print_json(body: dict[str, Any]) -> None:
    """Print one JSON object."""
    print(json.dumps(body, indent=2))


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in columns of equal width."""
    table = [tuple(header), *(tuple("" if v is None else str(v) for v in row) for row in rows)]
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())
