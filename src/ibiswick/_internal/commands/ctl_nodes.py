"""List nodes."""

from __future__ import annotations

from .ctl_support import ExitCode, Options, open_client, print_json, print_table, run_command

COLUMNS = ("vm", "workspace", "service", "availability_zone", "state", "draining")


async def nodes(*, workspace: str | None = None, options: Options) -> int:
    """List nodes as reported by their zone roots; the list may be 10 s old.

    Parameters
    ----------
    workspace
        List only nodes of this workspace.
    """

    async def execute() -> ExitCode:
        async with open_client(options) as client:
            body = await client.get("/v1/nodes", workspace=workspace)
        if options.json:
            print_json(body)
        else:
            print_table(COLUMNS, [[item[column] for column in COLUMNS] for item in body["items"]])
        return ExitCode.OK

    return await run_command(execute, as_json=options.json)
