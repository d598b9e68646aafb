"""Roll back to the content of an old generation."""

from __future__ import annotations

import uuid

from .ctl_apply import DEFAULT_TIMEOUT_S, pick_wait_code, report_wait
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
        Generation whose content is wanted.
    wait
        Wait until the new generation is in effect.
    timeout
        Seconds to wait.
    """

    async def operate() -> ExitCode:
        body = {"change_id": uuid.uuid4().hex, "generation": generation}
        async with open_client(options) as client:
            result = await client.send_change("/v1/rollback", body)
            waited = None
            if wait:
                waited = await wait_in_effect(
                    client, result["generation"], timeout_s=timeout, show=not options.json
                )
        if options.json:
            report_wait(result, waited)
            print_json(result)
        else:
            print(f"accepted as generation {result['generation']}")
            if waited is not None:
                print("\n".join(describe_wait(waited, result["generation"])))
        return pick_wait_code(waited)

    return await run_command(operate, as_json=options.json)
