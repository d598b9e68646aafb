"""Administer ibiswick from the command line."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

import cyclopts

from .ctl_apply import apply
from .ctl_audit import audit
from .ctl_diff import diff
from .ctl_digest import digest
from .ctl_drain import drain
from .ctl_explain import explain
from .ctl_history import history
from .ctl_nodes import nodes
from .ctl_rollback import rollback
from .ctl_status import status
from .ctl_support import ExitCode
from .ctl_validate import validate
from .ctl_workspaces import workspaces

COMMANDS = (
    validate,
    diff,
    apply,
    status,
    history,
    audit,
    workspaces,
    nodes,
    drain,
    rollback,
    explain,
    digest,
)

app = cyclopts.App(name="ibiswickctl", help=__doc__, help_format="plaintext", version_flags=())
for command in COMMANDS:
    app.command(command)


async def run(arguments: Sequence[str]) -> int:
    """Run one command line and return its exit code."""
    try:
        result = await app.run_async(
            list(arguments), exit_on_error=False, result_action="return_value"
        )
    except cyclopts.CycloptsError:
        return ExitCode.USAGE
    return int(result or ExitCode.OK)


def main() -> None:
    """Run the command line."""
    try:
        code = asyncio.run(run(sys.argv[1:]))
    except KeyboardInterrupt:
        code = ExitCode.INTERRUPTED
    sys.exit(code)
