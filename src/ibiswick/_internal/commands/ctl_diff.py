"""Show how a directory differs from the current documents."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from ..administration.api_client import ApiClient
from ..administration.documents import (
    DocumentDifference,
    Documents,
    compare_documents,
    format_difference,
    read_documents,
    write_base,
)
from ..configuration.schemas import check_document
from ..shared.errors import InvalidInputError
from .ctl_apply import read_current_digests
from .ctl_support import ExitCode, Options, open_client, print_json, run_command


async def diff(
    directory: Path,
    /,
    *,
    prune: Annotated[bool, Parameter(negative=())] = False,
    base: Path | None = None,
    options: Options,
) -> int:
    """Show how the documents of a directory differ from the current ones.

    Parameters
    ----------
    directory
        Directory with templates/*.json and workspaces/*.json.
    prune
        Show documents that are not in the directory as removed.
    base
        File to write the current digests to, for `apply --base`.
    """

    async def execute() -> ExitCode:
        documents = read_documents(directory)
        check_tenants(documents)
        async with open_client(options) as client:
            generation, current = await read_current_digests(client)
            differences = compare_documents(documents, current, prune=prune)
            rows = [await _describe_difference(client, difference) for difference in differences]
        if base is not None:
            write_base(base, current)
        if options.json:
            print_json({"generation": generation, "differences": rows})
        else:
            print(
                "\n".join(row["diff"] for row in rows)
                or f"no difference from generation {generation}"
            )
        return ExitCode.OK

    return await run_command(execute, as_json=options.json)


def check_tenants(documents: Documents) -> None:
    """Raise InvalidInputError if tenants are not valid, since they may hold a credential."""
    problems = [
        problem
        for key, document in documents.items()
        if "tenants" in document
        for problem in check_document(key.kind, key.name, document)
    ]
    if problems:
        raise InvalidInputError(problems)


async def _describe_difference(client: ApiClient, difference: DocumentDifference) -> dict[str, Any]:
    key = difference.key
    current = await client.read_document(key.kind, key.name) if difference.base else None
    before = None if current is None else current["document"]
    return {
        "kind": key.kind,
        "name": key.name,
        "base": difference.base,
        "diff": format_difference(key, before, difference.document),
    }
