"""Print the digest of a credential, as templates and workspaces hold it."""

from __future__ import annotations

import getpass
import sys

from ..configuration.schemas import CREDENTIAL_PREFIX
from ..shared.digests import compute_credential_digest
from ..shared.errors import InvalidInputError, Problem
from ..tenants.credentials import MAX_CREDENTIAL_BYTES
from .ctl_support import ExitCode, run_command


async def digest() -> int:
    """Read a credential from standard input, and print its digest."""

    async def execute() -> ExitCode:
        print(CREDENTIAL_PREFIX + compute_credential_digest(parse_credential(_read_line())))
        return ExitCode.OK

    return await run_command(execute, as_json=False)


def _read_line() -> bytes:
    if sys.stdin.isatty():
        return getpass.getpass("credential: ").encode()
    return sys.stdin.buffer.read(2 * MAX_CREDENTIAL_BYTES)


def parse_credential(line: bytes) -> bytes:
    """Return a credential without the end of its line; raise InvalidInputError.

    >>> parse_credential(b"secret\\r\\n")
    b'secret'
    """
    credential = line.removesuffix(b"\n").removesuffix(b"\r")
    is_printable = all(0x20 <= byte < 0x7F for byte in credential)
    fits = 0 < len(credential) <= MAX_CREDENTIAL_BYTES and credential == credential.strip()
    if not (is_printable and fits):
        expected = f"one line of 1 to {MAX_CREDENTIAL_BYTES} printable ASCII characters"
        raise InvalidInputError([Problem("standard input", "$", expected, "something else")])
    return credential
