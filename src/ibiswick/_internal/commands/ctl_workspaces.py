"""List workspaces."""

from __future__ import annotations

from ..administration.api_client import quote_segment
from .ctl_support import ExitCode, Options, open_client, print_json, print_table, run_command


async def workspaces(name: str | None = None, /, *, options: Options) -> int:
    """List workspaces, or show one.

    Parameters
    ----------
    name
        Workspace to show.
    """

    async def execute() -> ExitCode:
        async with open_client(options) as client:
            if name is not None:
                print_json(await client.get(f"/v1/workspaces/{quote_segment(name)}"))
                return ExitCode.OK
            body = await client.get("/v1/workspaces")
        if options.json:
            print_json(body)
            return ExitCode.OK
        print_table(
            ("workspace", "generation", "digest", "snapshot"),
            [
                (item["name"], item["generation"], item["digest"], item["snapshot"])
                for item in body["items"]
            ],
        )
        return ExitCode.OK

    return await run_command(execute, as_json=options.json)
