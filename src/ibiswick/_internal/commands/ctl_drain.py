"""Drain a VM."""

from __future__ import annotations

from typing import Annotated

from cyclopts import Parameter

from .ctl_support import ExitCode, Options, open_client, print_json, run_command


async def drain(
    vm: str, /, *, undo: Annotated[bool, Parameter(negative=())] = False, options: Options
) -> int:
    """Ask the node of a VM to take no new calls, finish those in flight, and stop.

    Parameters
    ----------
    vm
        VM to drain.
    undo
        Withdraw the request. A node that has begun to leave still leaves.
    """

    async def execute() -> ExitCode:
        async with open_client(options) as client:
            body = await client.request_drain(vm, undo=undo)
        if options.json:
            print_json(body)
        else:
            print(f"{vm}: drain {'withdrawn' if undo else 'requested'}")
        return ExitCode.OK

    return await run_command(execute, as_json=options.json)
