"""List the audit trail."""

from __future__ import annotations

from .ctl_support import ExitCode, Options, open_client, print_json, print_table, run_command


async def audit(*, limit: int = 20, before: str | None = None, options: Options) -> int:
    """List audit entries, newest first.

    Parameters
    ----------
    limit
        Number of entries.
    before
        Cursor printed at the end of an earlier page.
    """

    async def execute() -> ExitCode:
        async with open_client(options) as client:
            page = await client.get("/v1/audit", limit=limit, before=before)
        if options.json:
            print_json(page)
            return ExitCode.OK
        print_table(
            ("time", "author", "action", "state", "generation", "targets", "detail"),
            [
                (
                    item["time"],
                    item["author"],
                    item["action"],
                    item["state"],
                    item.get("generation"),
                    ",".join(item["targets"]),
                    item.get("detail"),
                )
                for item in page["items"]
            ],
        )
        if page["next"] is not None:
            print(f"more: --before {page['next']}")
        return ExitCode.OK

    return await run_command(execute, as_json=options.json)
