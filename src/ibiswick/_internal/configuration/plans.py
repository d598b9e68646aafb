"""Compute the effect of a change on the templates and workspaces of the mesh."""

from __future__ import annotations

import re
import types
from collections.abc import Generator, Iterable, Mapping
from typing import Any, NamedTuple

from ..shared.digests import compute_digest, encode_canonical
from ..shared.errors import ChangeConflictError, InvalidInputError, Problem
from ..shared.objectapi import MAX_VALUE_BYTES
from ..shared.records import Difference, DocumentConflict, Manifest, ManifestWorkspace, Snapshot
from .compiler import (
    CompiledWorkspace,
    check_template,
    compile_without_schema_check,
    list_used_templates,
)
from .schemas import NAME_PATTERN, build_source_path, check_document, shorten_repr
from .snapshots import build_snapshot, encode_snapshot
from .templates import list_ancestors

EMPTY_MANIFEST = Manifest(templates={}, workspaces={})

_AUTHOR_PATTERN = r"^[^\x00-\x1f\ud800-\udfff]{0,256}\Z"
_NOTE_PATTERN = r"^[^\ud800-\udfff]{0,4096}\Z"
_KEY_PATTERN = r"^(template|workspace)/[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
_DIGEST_PATTERN = r"^[0-9a-f]{32}\Z"
_EMPTY: Mapping[str, Any] = types.MappingProxyType({})


class ChangeRequest(NamedTuple):
    """Request new versions of documents; None deletes a document."""

    change_id: str
    author: str
    note: str = ""
    templates: Mapping[str, dict[str, Any] | None] = _EMPTY
    workspaces: Mapping[str, dict[str, Any] | None] = _EMPTY
    # Maps "template/NAME" or "workspace/NAME" to the digest that the operator saw, or to None for a
    # document that did not exist. Documents without an entry are not checked for conflicts.
    base: Mapping[str, str | None] = _EMPTY
    dry_run: bool = False


class Plan(NamedTuple):
    """Hold the effect of a change."""

    manifest: Manifest
    # Content by digest, which must be written before the head refers to it.
    blobs: dict[str, Any]
    # New snapshot digest of each workspace whose snapshot changed.
    snapshots: dict[str, str]
    touched: list[str]
    differences: tuple[Difference, ...]


def plan_change(
    manifest: Manifest,
    documents: Mapping[str, Any],
    request: ChangeRequest,
    *,
    generation: int,
    base_documents: Mapping[str, Any] = _EMPTY,
) -> Plan:
    """Return the effect of a change that is accepted as `generation`.

    `documents` maps digests to documents and holds all documents of the manifest. `base_documents`
    holds, by the keys of the request's base, outdated documents that the operator may see. Raises
    ChangeConflictError, or InvalidInputError with all errors.
    """
    steps = plan_steps(
        manifest, documents, request, generation=generation, base_documents=base_documents
    )
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            plan: Plan = stop.value
            return plan


def plan_steps(
    manifest: Manifest,
    documents: Mapping[str, Any],
    request: ChangeRequest,
    *,
    generation: int,
    base_documents: Mapping[str, Any] = _EMPTY,
) -> Generator[None, None, Plan]:
    """Do the work of `plan_change`, and yield before compiling each workspace.

    A change of a template that every workspace uses takes hundreds of milliseconds to compile. An
    acceptor may run in the process of a node, so the caller must be able to run other tasks.
    """
    check_request(request)
    conflicts = _find_conflicts(manifest, documents, request, base_documents)
    if conflicts:
        raise ChangeConflictError(conflicts, current=generation - 1)
    before = _InputDocuments.load(manifest, documents)
    after = before.change(request)
    problems, to_compile = _check_input_documents(before, after, request)
    snapshots: dict[str, Snapshot] = {}
    for name in to_compile:
        yield
        try:
            snapshots[name] = _compile_snapshot(name, after, generation)
        except InvalidInputError as error:
            problems += error.problems
    if problems:
        raise InvalidInputError(list(dict.fromkeys(problems)))
    plan = _build_plan(manifest, after, request, snapshots, generation)
    differences = _compare_documents(before, after, plan.touched)
    if request.dry_run:
        differences += _compare_snapshots(before, snapshots)
    return plan._replace(differences=differences)


def build_roll_back_request(
    manifest: Manifest, old: Manifest, documents: Mapping[str, Any], request: ChangeRequest
) -> ChangeRequest:
    """Build the request that restores every document of an older manifest."""
    templates = _find_restored(manifest["templates"], old["templates"], documents)
    workspaces = _find_restored(
        {name: entry["parameters"] for name, entry in manifest["workspaces"].items()},
        {name: entry["parameters"] for name, entry in old["workspaces"].items()},
        documents,
    )
    return request._replace(templates=templates, workspaces=workspaces)


def list_document_digests(manifest: Manifest) -> list[str]:
    """Return the digests of all templates and workspaces of a manifest."""
    workspace_digests = [entry["parameters"] for entry in manifest["workspaces"].values()]
    return [*manifest["templates"].values(), *workspace_digests]


def find_digest(manifest: Manifest, key: str) -> str | None:
    """Return the digest of "template/NAME" or "workspace/NAME", or None when it is missing."""
    kind, _, name = key.partition("/")
    if kind == "template":
        return manifest["templates"].get(name)
    entry = manifest["workspaces"].get(name)
    return None if entry is None else entry["parameters"]


def list_touched(request: ChangeRequest) -> list[str]:
    """Return the keys of the documents that a change replaces or deletes."""
    return [
        *(f"template/{name}" for name in sorted(request.templates)),
        *(f"workspace/{name}" for name in sorted(request.workspaces)),
    ]


def compare_values(document: str, before: Any, after: Any, path: str = "$") -> list[Difference]:
    """Return the places where two values differ; match routes by ids and tenants by names.

    >>> compare_values("w", {"a": 1, "b": [2]}, {"a": 1, "b": [3]})
    [Difference(document='w', path='$.b[0]', before=2, after=3)]
    """
    if before == after:
        return []
    pairs = _pair_members(before, after)
    if pairs is None:
        return [Difference(document, path, before, after)]
    found = []
    for suffix, old, new in pairs:
        found += compare_values(document, old, new, path + suffix)
    return found


class _InputDocuments(NamedTuple):
    templates: dict[str, Any]
    workspaces: dict[str, Any]

    @classmethod
    def load(cls, manifest: Manifest, documents: Mapping[str, Any]) -> _InputDocuments:
        return cls(
            {name: documents[digest] for name, digest in manifest["templates"].items()},
            {
                name: documents[entry["parameters"]]
                for name, entry in manifest["workspaces"].items()
            },
        )

    def change(self, request: ChangeRequest) -> _InputDocuments:
        return _InputDocuments(
            _apply_changes(self.templates, request.templates),
            _apply_changes(self.workspaces, request.workspaces),
        )


def check_request(request: ChangeRequest) -> None:
    """Raise InvalidInputError unless the request is well formed apart from its documents."""
    problems = [
        *_check_text("$.change_id", request.change_id, NAME_PATTERN),
        *_check_text("$.author", request.author, _AUTHOR_PATTERN),
        *_check_text("$.note", request.note, _NOTE_PATTERN),
    ]
    for key, digest in request.base.items():
        problems += _check_text("$.base", key, _KEY_PATTERN)
        if digest is not None:
            problems += _check_text(f"$.base.{key}", digest, _DIGEST_PATTERN)
    if problems:
        raise InvalidInputError(problems)


def _check_text(path: str, value: Any, pattern: str) -> list[Problem]:
    if isinstance(value, str) and re.search(pattern, value):
        return []
    return [Problem("request", path, f"a string that matches {pattern}", shorten_repr(value))]


def _apply_changes(documents: Mapping[str, Any], changes: Mapping[str, Any]) -> dict[str, Any]:
    merged = {**documents, **changes}
    return {name: document for name, document in merged.items() if document is not None}


def _find_conflicts(
    manifest: Manifest,
    documents: Mapping[str, Any],
    request: ChangeRequest,
    base_documents: Mapping[str, Any],
) -> tuple[DocumentConflict, ...]:
    conflicts = []
    for key, base in sorted(request.base.items()):
        current = find_digest(manifest, key)
        if current == base:
            continue
        differences = []
        if base is None or key in base_documents:
            differences = compare_values(key, base_documents.get(key), documents.get(current or ""))
        conflicts.append(DocumentConflict(key, base, current, tuple(differences)))
    return tuple(conflicts)


def _check_input_documents(
    before: _InputDocuments, after: _InputDocuments, request: ChangeRequest
) -> tuple[list[Problem], list[str]]:
    """Return the errors in documents, and the affected workspaces whose documents are valid."""
    problems = [
        *_check_deletions("template", before.templates, request.templates),
        *_check_deletions("workspace", before.workspaces, request.workspaces),
    ]
    invalid_templates = set()
    for name in request.templates:
        if name in after.templates:
            found_problems = check_document("template", name, after.templates[name])
            problems += found_problems
            invalid_templates |= {name} if found_problems else set()
    valid_templates = {
        name: template
        for name, template in after.templates.items()
        if name not in invalid_templates
    }
    for name in sorted(valid_templates):
        ancestors = list_ancestors(name, valid_templates)
        if ancestors & request.templates.keys() and not ancestors & invalid_templates:
            problems += check_template(name, valid_templates)
    to_compile = []
    for name in sorted(after.workspaces):
        found_problems = []
        if name in request.workspaces:
            found_problems = check_document("workspace", name, after.workspaces[name])
            problems += found_problems
        if found_problems:
            continue
        used = list_used_templates(after.workspaces[name], valid_templates)
        if used & invalid_templates:
            continue
        if name in request.workspaces or used & request.templates.keys():
            to_compile.append(name)
    return problems, to_compile


def _check_deletions(
    kind: str, existing: Mapping[str, Any], changes: Mapping[str, Any]
) -> list[Problem]:
    return [
        Problem(build_source_path(kind, name), "$", f"a {kind} that exists", "none to delete")
        for name, document in sorted(changes.items())
        if document is None and name not in existing
    ]


def _compile_snapshot(name: str, inputs: _InputDocuments, generation: int) -> Snapshot:
    compiled = compile_without_schema_check(
        name=name, workspace=inputs.workspaces[name], templates=inputs.templates
    )
    snapshot = _build_named_snapshot(name, compiled, generation)
    size = len(encode_canonical(encode_snapshot(snapshot)))
    if size > MAX_VALUE_BYTES:
        source = build_source_path("workspace", name)
        expected = f"a snapshot of at most {MAX_VALUE_BYTES} bytes"
        raise InvalidInputError([Problem(source, "$", expected, f"{size} bytes")])
    return snapshot


def _build_named_snapshot(name: str, compiled: CompiledWorkspace, generation: int) -> Snapshot:
    return build_snapshot(
        workspace=name,
        generation=generation,
        services=compiled.services,
        routes=compiled.routes,
        tenants=compiled.tenants,
    )


def _build_plan(
    manifest: Manifest,
    after: _InputDocuments,
    request: ChangeRequest,
    snapshots: dict[str, Snapshot],
    generation: int,
) -> Plan:
    # A deleted workspace gets an empty snapshot, so that its nodes stop routing calls.
    for name, document in request.workspaces.items():
        if document is None:
            snapshots[name] = _build_named_snapshot(name, CompiledWorkspace({}, ()), generation)
    blobs: dict[str, Any] = {}
    templates = dict(manifest["templates"])
    workspaces = dict(manifest["workspaces"])
    for name in request.templates:
        templates.pop(name, None)
        if name in after.templates:
            templates[name] = _add_blob(blobs, after.templates[name])
    changed: dict[str, str] = {}
    for name, snapshot in sorted(snapshots.items()):
        previous = workspaces.pop(name, None)
        if previous is None or previous["snapshot"] != snapshot.digest:
            changed[name] = _add_blob(blobs, encode_snapshot(snapshot))
        if name in after.workspaces:
            workspaces[name] = ManifestWorkspace(
                parameters=_add_blob(blobs, after.workspaces[name]),
                snapshot=snapshot.digest,
                generation=generation if name in changed else previous["generation"],
            )
    return Plan(
        manifest=Manifest(templates=templates, workspaces=workspaces),
        blobs=blobs,
        snapshots=changed,
        touched=list_touched(request),
        differences=(),
    )


def _add_blob(blobs: dict[str, Any], value: Any) -> str:
    digest = compute_digest(value)
    blobs[digest] = value
    return digest


def _compare_documents(
    before: _InputDocuments, after: _InputDocuments, touched: Iterable[str]
) -> tuple[Difference, ...]:
    found = []
    for key in touched:
        kind, _, name = key.partition("/")
        old = before.templates if kind == "template" else before.workspaces
        new = after.templates if kind == "template" else after.workspaces
        found += compare_values(key, old.get(name), new.get(name))
    return tuple(found)


def _compare_snapshots(
    before: _InputDocuments, snapshots: Mapping[str, Snapshot]
) -> tuple[Difference, ...]:
    found = []
    for name, snapshot in sorted(snapshots.items()):
        old = {}
        if name in before.workspaces:
            old = encode_snapshot(_compile_snapshot(name, before, 0))
        found += compare_values(f"snapshot/{name}", old, encode_snapshot(snapshot))
    return tuple(found)


def _find_restored(
    current: Mapping[str, str], old: Mapping[str, str], documents: Mapping[str, Any]
) -> dict[str, Any]:
    names = sorted(current.keys() | old.keys())
    return {
        name: documents[old[name]] if name in old else None
        for name in names
        if current.get(name) != old.get(name)
    }


def _pair_members(before: Any, after: Any) -> list[tuple[str, Any, Any]] | None:
    if isinstance(before, dict) and isinstance(after, dict):
        keys = sorted(before.keys() | after.keys())
        return [(f".{key}", before.get(key), after.get(key)) for key in keys]
    if not isinstance(before, list | tuple) or not isinstance(after, list | tuple):
        return None
    old, new = _index_members(before), _index_members(after)
    if old is not None and new is not None:
        return [(f"[{key}]", old.get(key), new.get(key)) for key in sorted(old.keys() | new.keys())]
    length = max(len(before), len(after))
    return [
        (f"[{index}]", _get_item(before, index), _get_item(after, index)) for index in range(length)
    ]


def _index_members(values: Iterable[Any]) -> dict[str, Any] | None:
    if not all(isinstance(value, dict) for value in values):
        return None
    for key in ("id", "name"):
        if all(key in value for value in values):
            return {value[key]: value for value in values}
    return None


def _get_item(values: Any, index: int) -> Any:
    return values[index] if index < len(values) else None
