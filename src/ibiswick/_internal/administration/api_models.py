"""Define the request and response bodies of the administration API."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NotRequired, TypedDict

import msgspec

from ..shared.records import NodeException

Identifier = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Note = Annotated[str, msgspec.Meta(max_length=2000)]
Document = dict[str, Any]


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Request a change; a document of None is removed.

    `base` maps "template/NAME" or "workspace/NAME" to the digest that the change is based on, None
    for no document.
    """

    change_id: Identifier
    note: Note = ""
    templates: dict[Identifier, Document | None] = {}
    workspaces: dict[Identifier, Document | None] = {}
    base: dict[str, str | None] = {}
    dry_run: bool = False


class RollbackBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Request a new generation with the content of an old one."""

    change_id: Identifier
    generation: Annotated[int, msgspec.Meta(ge=1)]


class TokenBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Request a new token; `workspaces` of "*" means all."""

    name: Identifier
    role: Literal["read", "parameters", "templates", "admin"]
    workspaces: Literal["*"] | list[Identifier] = "*"
    expires_in_s: Annotated[float, msgspec.Meta(gt=0)] | None = None


class ProblemView(TypedDict):
    """Describe one problem in the input."""

    source: str
    path: str
    expected: str
    found: str


class DifferenceView(TypedDict):
    """Describe one difference of a document; `before` or `after` is None if the value is absent."""

    document: str
    path: str
    before: Any
    after: Any


class ConflictView(TypedDict):
    """Describe how a document differs from the version that a change was based on."""

    document: str
    base: str | None
    current: str | None
    differences: list[DifferenceView]


class ErrorView(TypedDict):
    """Describe a failed request; conflicts add the current generation and the differences."""

    code: str
    detail: str
    problems: list[ProblemView]
    current: NotRequired[int]
    conflicts: NotRequired[list[ConflictView]]


class ChangeView(TypedDict):
    """Describe the outcome of a change; `snapshots` maps workspaces to their new digests."""

    change_id: str
    state: Literal["accepted", "refused", "conflict", "unknown", "attempted", "not-accepted", "dry"]
    generation: int | None
    snapshots: NotRequired[dict[str, str]]
    differences: NotRequired[list[DifferenceView]]
    code: NotRequired[str]
    problems: NotRequired[list[ProblemView]]


class WorkspaceStatusView(TypedDict):
    """Count the nodes of one workspace on which a change is in effect, and list those behind."""

    generation: int
    nodes: int
    in_effect: int
    behind: int
    exceptions: list[NodeException]


class RootStatusView(TypedDict):
    """Identify a zone root and the head generation that it reported, None for no report."""

    vm: str
    availability_zone: str
    index: int
    epoch: int
    head_generation: int | None


class StatusView(TypedDict):
    """Describe where a generation is in effect and where it is not."""

    generation: int
    head_generation: int
    complete: bool
    nodes: int
    in_effect: int
    roots: int
    roots_behind: list[RootStatusView]
    roots_expired: list[RootStatusView]
    workspaces: dict[str, WorkspaceStatusView]


class PageView(TypedDict):
    """Hold a page of the history or audit trail, newest first; `next` is the next page's cursor."""

    items: list[dict[str, Any]]
    next: str | None


class ItemsView(TypedDict):
    """Hold all templates, or all workspaces that the token may read, ordered by name."""

    generation: int
    items: list[dict[str, Any]]


class DocumentView(TypedDict):
    """Hold one template or workspace with the digest that a change must be based on."""

    name: str
    generation: int
    digest: str
    document: Document


class NodeView(TypedDict):
    """Describe one node as last written by its zone root."""

    vm: str
    workspace: str
    service: str
    availability_zone: str
    state: str
    incarnation: int
    draining: bool


class NodesView(TypedDict):
    """List nodes, ordered by VM."""

    items: list[NodeView]


class DrainView(TypedDict):
    """Confirm a request to drain a VM, or its withdrawal."""

    vm: str
    incarnation: int
    requested: bool


class TokenView(TypedDict):
    """Describe a token without its secret."""

    name: str
    role: str
    workspaces: Any
    created: float
    expires: float | None


class NewTokenView(TypedDict):
    """Hold a new token; it cannot be shown again."""

    name: str
    token: str


class TokensView(TypedDict):
    """List the tokens, ordered by name."""

    items: list[TokenView]
