"""Read a directory of templates and workspaces, and compare them with those in the API."""

from __future__ import annotations

import difflib
import json
from pathlib import Path
from typing import Any, Literal, NamedTuple

import msgspec

from ..shared.digests import compute_digest
from ..shared.errors import InvalidInputError, Problem
from ..shared.objectapi import MAX_VALUE_BYTES
from .tokens import NAME_PATTERN

DocumentKind = Literal["template", "workspace"]
DOCUMENT_KINDS: tuple[DocumentKind, ...] = ("template", "workspace")


class DocumentKey(NamedTuple):
    """Identify one document."""

    kind: DocumentKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


Documents = dict[DocumentKey, dict[str, Any]]
Digests = dict[DocumentKey, str]


class DocumentDifference(NamedTuple):
    """Describe one document that a change would add, change or remove."""

    key: DocumentKey
    # None removes the document.
    document: dict[str, Any] | None
    # Digest that the change is based on; None if there was no document.
    base: str | None


def read_documents(directory: Path) -> Documents:
    """Read `templates/*.json` and `workspaces/*.json`; an InvalidInputError has every problem."""
    documents: Documents = {}
    problems: list[Problem] = []
    if not directory.is_dir():
        raise InvalidInputError([Problem(str(directory), "$", "a directory", "none")])
    for kind in DOCUMENT_KINDS:
        for path in sorted((directory / f"{kind}s").glob("*.json")):
            try:
                documents[DocumentKey(kind, _get_document_name(path))] = _read_document(path)
            except InvalidInputError as error:
                problems += error.problems
    if not documents and not problems:
        expected = "templates/*.json or workspaces/*.json"
        problems.append(Problem(str(directory), "$", expected, "no such files"))
    if problems:
        raise InvalidInputError(problems)
    return documents


def compare_documents(
    documents: Documents, current: Digests, *, base: Digests | None = None, prune: bool = False
) -> list[DocumentDifference]:
    """List documents that differ; `prune` removes those that are not in the directory.

    Without `base`, a change is based on the current digests.
    """
    base_digests = current if base is None else base
    differences = [
        DocumentDifference(key, document, base_digests.get(key))
        for key, document in documents.items()
        if compute_digest(document) != current.get(key)
    ]
    if prune:
        removed = [key for key in current if key not in documents]
        differences += [DocumentDifference(key, None, base_digests.get(key)) for key in removed]
    return differences


def build_change(
    differences: list[DocumentDifference], *, change_id: str, note: str, dry_run: bool
) -> dict[str, Any]:
    """Build the body of a change request."""
    changes: dict[DocumentKind, dict[str, Any]] = {"template": {}, "workspace": {}}
    for difference in differences:
        changes[difference.key.kind][difference.key.name] = difference.document
    return {
        "change_id": change_id,
        "note": note,
        "templates": changes["template"],
        "workspaces": changes["workspace"],
        "base": {str(difference.key): difference.base for difference in differences},
        "dry_run": dry_run,
    }


def format_difference(key: DocumentKey, before: Any, after: Any) -> str:
    """Return a unified diff of two documents; None means no document."""
    lines = difflib.unified_diff(
        _format_lines(before), _format_lines(after), f"{key} (current)", f"{key} (new)", lineterm=""
    )
    return "\n".join(lines)


def read_base(path: Path) -> Digests | None:
    """Read the digests written by `write_base`; return None if the file does not exist."""
    if not path.exists():
        return None
    try:
        raw = msgspec.json.decode(path.read_bytes(), type=dict[str, str])
        return {_parse_key(text): digest for text, digest in raw.items()}
    except (OSError, ValueError) as error:
        problem = Problem(str(path), "$", "digests recorded by ibiswickctl diff", str(error))
        raise InvalidInputError([problem]) from error


def write_base(path: Path, digests: Digests) -> None:
    """Write the digests that later changes are based on."""
    text = json.dumps({str(key): digest for key, digest in sorted(digests.items())}, indent=2)
    path.write_text(text + "\n")


def update_base(base: Digests, applied: list[DocumentDifference]) -> Digests:
    """Return the digests after a change; other documents keep their recorded digests."""
    updated = dict(base)
    for difference in applied:
        if difference.document is None:
            updated.pop(difference.key, None)
        else:
            updated[difference.key] = compute_digest(difference.document)
    return updated


def _parse_key(text: str) -> DocumentKey:
    for kind in DOCUMENT_KINDS:
        if text.startswith(f"{kind}/"):
            return DocumentKey(kind, text.removeprefix(f"{kind}/"))
    raise ValueError(f"{text!r} names neither a template nor a workspace")


def _get_document_name(path: Path) -> str:
    if not NAME_PATTERN.fullmatch(path.stem):
        expected = f"a file name matching {NAME_PATTERN.pattern}"
        raise InvalidInputError([Problem(str(path), "$", expected, path.stem)])
    return path.stem


def _read_document(path: Path) -> dict[str, Any]:
    try:
        raw = path.read_bytes()
        document = msgspec.json.decode(raw)
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidInputError([Problem(str(path), "$", "JSON", str(error))]) from error
    if not isinstance(document, dict):
        found = type(document).__name__
        raise InvalidInputError([Problem(str(path), "$", "a JSON object", found)])
    if len(raw) > MAX_VALUE_BYTES:
        expected = f"at most {MAX_VALUE_BYTES} bytes"
        raise InvalidInputError([Problem(str(path), "$", expected, f"{len(raw)} bytes")])
    return document


def _format_lines(document: Any) -> list[str]:
    if document is None:
        return []
    return json.dumps(document, indent=2, sort_keys=True, ensure_ascii=False).splitlines()
