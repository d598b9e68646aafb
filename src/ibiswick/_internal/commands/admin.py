"""Run the administration API and manage its tokens."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import cyclopts

from ..administration.tokens import (
    ALL_WORKSPACES,
    TokenStore,
    create_token,
    encode_record,
    format_role,
    parse_role,
)
from ..shared.errors import IbiswickError
from ..shared.logs import install_handler
from ..shared.settings import AdminSettings, load_settings
from .ctl_support import format_time

EXIT_FAILED = 1
EXIT_USAGE = 2
PROGRAM = "ibiswick-admin"

app = cyclopts.App(name=PROGRAM, help=__doc__, help_format="plaintext", version_flags=())
token_app = cyclopts.App(name="token", help="Manage bearer tokens directly in the platform.")
app.command(token_app)


@app.command
async def serve(*, settings: Path) -> None:
    """Serve the administration API until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        File with the settings.
    """
    from ..administration.api import serve_admin

    loaded = load_settings(AdminSettings, settings)
    install_handler(level=loaded.log_level, program=PROGRAM)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await serve_admin(loaded, stop=stop)


@token_app.command
async def add(
    name: str,
    /,
    *,
    settings: Path,
    role: str,
    workspace: list[str] | None = None,
    expires_in: float | None = None,
) -> None:
    """Create a token and print it; it cannot be shown again.

    Parameters
    ----------
    name
        Name of the token, shown in the history and the audit trail.
    settings
        File with the settings.
    role
        read, parameters, templates or admin.
    workspace
        Workspace in the token's scope; may be repeated. The default is all workspaces.
    expires_in
        Seconds until the token expires.
    """
    now = time.time()
    expires = None if expires_in is None else now + expires_in
    record, text = create_token(name, parse_role(role), workspace, now=now, expires=expires)
    await _run_with_store(settings, lambda store: store.add(record))
    print(text)


@token_app.command(name="list")
async def list_tokens(*, settings: Path) -> None:
    """List tokens: name, role, workspaces, expiry.

    Parameters
    ----------
    settings
        File with the settings.
    """
    for record in await _run_with_store(settings, lambda store: store.list()):
        scope = encode_record(record)["workspaces"]
        workspaces = scope if scope == ALL_WORKSPACES else ",".join(scope)
        expiry = "-" if record.expires is None else format_time(record.expires)
        print(record.name, format_role(record.role), workspaces, expiry)


@token_app.command
async def remove(name: str, /, *, settings: Path) -> None:
    """Remove a token; the API stops accepting it within 10 s.

    Parameters
    ----------
    name
        Name of the token.
    settings
        File with the settings.
    """
    await _run_with_store(settings, lambda store: store.remove(name))


async def _run_with_store(path: Path, operation: Callable[[TokenStore], Awaitable[Any]]) -> Any:
    from ..shared.objectapi_httpx import connect_platform

    settings = load_settings(AdminSettings, path)
    platform, transport = connect_platform(settings.platform, caller=PROGRAM)
    try:
        return await operation(TokenStore(platform=platform))
    finally:
        await transport.close()


async def run(arguments: list[str]) -> int:
    """Run one command line and return its exit code."""
    try:
        await app.run_async(arguments, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        return EXIT_USAGE
    except IbiswickError as error:
        print(f"error: {error.code}: {error.detail}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(asyncio.run(run(sys.argv[1:])))
