"""Check a directory of templates and workspaces without the API."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from ..administration.documents import Documents, read_documents
from ..configuration.compiler import check_template, compile_workspace
from ..shared.errors import InvalidInputError, Problem
from .ctl_support import ExitCode, print_json, run_command


async def validate(
    directory: Path, /, *, json: Annotated[bool, Parameter(negative=())] = False
) -> int:
    """Compile every workspace of a directory and report every problem.

    Parameters
    ----------
    directory
        Directory with templates/*.json and workspaces/*.json.
    json
        Print one JSON object.
    """

    async def execute() -> ExitCode:
        documents = read_documents(directory)
        problems = find_problems(documents)
        if problems:
            raise InvalidInputError(problems)
        if json:
            print_json({"valid": True, "documents": sorted(map(str, documents))})
        else:
            print(f"{len(documents)} documents are valid")
        return ExitCode.OK

    return await run_command(execute, as_json=json)


def find_problems(documents: Documents) -> list[Problem]:
    """Return every problem of the templates and of the workspaces compiled with them."""
    templates: dict[str, Any] = {
        key.name: document for key, document in documents.items() if key.kind == "template"
    }
    problems = [problem for name in templates for problem in check_template(name, templates)]
    for key, document in documents.items():
        if key.kind != "workspace":
            continue
        try:
            compile_workspace(name=key.name, workspace=document, templates=templates)
        except InvalidInputError as error:
            problems += error.problems
    return list(dict.fromkeys(problems))
