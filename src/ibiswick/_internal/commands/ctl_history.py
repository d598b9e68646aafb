"""List accepted changes."""

from __future__ import annotations

from .ctl_support import (
    ExitCode,
    Options,
    format_time,
    open_client,
    print_json,
    print_table,
    run_command,
)


async def history(*, limit: int = 20, before: int | None = None, options: Options) -> int:
    """List accepted changes, newest first.

    Parameters
    ----------
    limit
        Number of changes.
    before
        List only changes before this generation.
    """

    async def execute() -> ExitCode:
        async with open_client(options) as client:
            page = await client.get("/v1/history", limit=limit, before=before)
        if options.json:
            print_json(page)
            return ExitCode.OK
        print_table(
            ("generation", "time", "author", "change", "touched", "note"),
            [
                (
                    item["generation"],
                    format_time(item["time"]),
                    item["author"],
                    item["change_id"],
                    ",".join(item["touched"]),
                    item["note"],
                )
                for item in page["items"]
            ],
        )
        return ExitCode.OK

    return await run_command(execute, as_json=options.json)
