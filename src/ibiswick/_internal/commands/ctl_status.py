"""Show where a generation is in effect."""

from __future__ import annotations

from .ctl_support import ExitCode, Options, open_client, print_json, print_table, run_command
from .ctl_wait import describe_incomplete


async def status(generation: int | None = None, /, *, options: Options) -> int:
    """Show where a generation, by default the newest, is in effect and where it is not.

    Parameters
    ----------
    generation
        Generation of a change.
    """

    async def execute() -> ExitCode:
        async with open_client(options) as client:
            body = await client.get("/v1/status", generation=generation)
        if options.json:
            print_json(body)
            return ExitCode.OK
        state = "in effect" if body["complete"] else "not in effect everywhere"
        print(f"generation {body['generation']} (newest {body['head_generation']}): {state}")
        print_table(
            ("workspace", "generation", "nodes", "in effect"),
            [
                (name, item["generation"], item["nodes"], item["in_effect"])
                for name, item in sorted(body["workspaces"].items())
            ],
        )
        for line in describe_incomplete(body):
            print(line)
        return ExitCode.OK

    return await run_command(execute, as_json=options.json)
