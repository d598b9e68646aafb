"""Roll back to the content of an old generation."""

from __future__ import annotations

import uuid

from .ctl_apply import DEFAULT_TIMEOUT_S, add_wait_fields, get_wait_exit_code
from .ctl_support import ExitCode, Options, open_client, print_json, run_command
from .ctl_wait import describe_wait, wait_in_effect


async def rollback(
    generation: int,
    /,
    *,
    wait: bool = True,
    timeout: float = DEFAULT_TIMEOUT_S,
    options: Options,
) -> int:
    """Create a new generation with the content of an old one.

    Parameters
    ----------
    generation
        Generation whose content to restore.
    wait
        Wait until the new generation is in effect.
    timeout
        Seconds to wait.
    """

    async def execute() -> ExitCode:
        body = {"change_id": uuid.uuid4().hex, "generation": generation}
        async with open_client(options) as client:
            result = await client.send_change("/v1/rollback", body)
            wait_result = None
            if wait:
                wait_result = await wait_in_effect(
                    client, result["generation"], timeout_s=timeout, show_progress=not options.json
                )
        if options.json:
            add_wait_fields(result, wait_result)
            print_json(result)
        else:
            print(f"accepted as generation {result['generation']}")
            if wait_result is not None:
                print("\n".join(describe_wait(wait_result, result["generation"])))
        return get_wait_exit_code(wait_result)

    return await run_command(execute, as_json=options.json)
