"""Apply a directory of templates and workspaces."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from ..administration.api_client import ApiClient
from ..administration.documents import (
    Digests,
    DocumentDifference,
    DocumentKey,
    build_change,
    compare_documents,
    read_base,
    read_documents,
    update_base,
    write_base,
)
from .ctl_support import (
    ExitCode,
    Options,
    format_field_difference,
    open_client,
    print_json,
    run_command,
)
from .ctl_wait import WaitResult, describe_wait, wait_in_effect

DEFAULT_TIMEOUT_S = 30.0


async def apply(
    directory: Path,
    /,
    *,
    wait: bool = True,
    timeout: float = DEFAULT_TIMEOUT_S,
    dry_run: Annotated[bool, Parameter(negative=())] = False,
    prune: Annotated[bool, Parameter(negative=())] = False,
    base: Path | None = None,
    note: str = "",
    options: Options,
) -> int:
    """Apply the documents that differ from the current ones and wait until they are in effect.

    Parameters
    ----------
    directory
        Directory with templates/*.json and workspaces/*.json.
    wait
        Wait until the change is in effect on every affected node.
    timeout
        Seconds to wait.
    dry_run
        Show what the change would do; write nothing.
    prune
        Remove templates and workspaces that are not in the directory.
    base
        File with the digests that the change is based on, as written by `diff --base`. Documents
        that other operators have changed since are conflicts. The file is updated after the change.
    note
        Note for the history.
    """

    async def execute() -> ExitCode:
        documents = read_documents(directory)
        recorded_digests = None if base is None else read_base(base)
        async with open_client(options) as client:
            generation, current = await read_current_digests(client)
            differences = compare_documents(documents, current, base=recorded_digests, prune=prune)
            result = await _submit(client, differences, generation, note=note, dry_run=dry_run)
            if base is not None and not dry_run:
                write_base(base, update_base(recorded_digests or current, differences))
            wait_result = None
            if wait and not dry_run:
                wait_result = await wait_in_effect(
                    client, result["generation"], timeout_s=timeout, show_progress=not options.json
                )
        _print_result(result, differences, wait_result, as_json=options.json)
        return get_wait_exit_code(wait_result)

    return await run_command(execute, as_json=options.json)


async def read_current_digests(client: ApiClient) -> tuple[int, Digests]:
    """Return the current generation and the digests of all documents."""
    templates = await client.get("/v1/templates")
    workspaces = await client.get("/v1/workspaces")
    digests: Digests = {}
    for item in templates["items"]:
        digests[DocumentKey("template", item["name"])] = item["digest"]
    for item in workspaces["items"]:
        digests[DocumentKey("workspace", item["name"])] = item["digest"]
    return workspaces["generation"], digests


def get_wait_exit_code(wait_result: WaitResult | None) -> ExitCode:
    """Return the exit code for the result of waiting; None means that there was no wait."""
    if wait_result is None or wait_result.complete:
        return ExitCode.OK
    return ExitCode.UNAVAILABLE if wait_result.status is None else ExitCode.NOT_IN_EFFECT


def add_wait_fields(body: dict[str, Any], wait_result: WaitResult | None) -> None:
    """Add the result of waiting to a JSON body."""
    body["in_effect"] = None if wait_result is None else wait_result.complete
    body["waited_s"] = None if wait_result is None else wait_result.elapsed_s
    body["status"] = None if wait_result is None else wait_result.status


async def _submit(
    client: ApiClient,
    differences: list[DocumentDifference],
    generation: int,
    *,
    note: str,
    dry_run: bool,
) -> dict[str, Any]:
    if not differences:
        return {"change_id": None, "generation": generation, "state": "unchanged"}
    body = build_change(differences, change_id=uuid.uuid4().hex, note=note, dry_run=dry_run)
    return await client.send_change("/v1/changes", body)


def _print_result(
    result: dict[str, Any],
    differences: list[DocumentDifference],
    wait_result: WaitResult | None,
    *,
    as_json: bool,
) -> None:
    if as_json:
        body = {**result, "changed": [str(difference.key) for difference in differences]}
        add_wait_fields(body, wait_result)
        print_json(body)
        return
    for difference in differences:
        verb = "remove" if difference.document is None else "change" if difference.base else "add"
        print(f"{verb} {difference.key}")
    generation = result["generation"]
    if result["state"] == "unchanged":
        print(f"nothing to change at generation {generation}")
    elif result["state"] == "dry":
        print("the change would be accepted, with these differences:")
        for item in result["differences"]:
            print(f"  {format_field_difference(item)}")
    else:
        print(f"accepted as generation {generation} (change {result['change_id']})")
    if wait_result is not None:
        print("\n".join(describe_wait(wait_result, generation)))
