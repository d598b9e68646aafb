"""Define the records that several modules share."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

# Weight of a tenant without a limit in the order of waiting calls.
DEFAULT_WEIGHT = 1.0


class ServicePolicy(TypedDict):
    """Define how calls may reach the backend servers of a service."""

    preference: Literal["local-first", "any"]
    # Maximum number of calls that one backend server runs at the same time.
    slots: int
    connections: int
    queue_ms: int
    slow_start_ms: int


class SplitPart(TypedDict):
    """Assign a share of a route's calls, by weight, to one service."""

    service: str
    weight: int


class Route(TypedDict):
    """Map a host and a path prefix to a service."""

    id: str
    # "*" matches every host.
    host: str
    prefix: str
    # An empty list matches every method.
    methods: list[str]
    service: str
    idempotent: bool
    kind: Literal["call", "upload"]
    deadline_ms: int
    retries: int
    hedge_ms: int | None
    # If present, the parts replace `service`.
    split: NotRequired[list[SplitPart]]
    # Calls with a lower value are served first.
    priority: NotRequired[int]
    # Time in which callers need the response; a later response is of little use to them.
    target_ms: NotRequired[int]
    # Set for large bodies, which stay in the caller's availability zone unless its backend servers
    # are much slower than others.
    prefers_local: NotRequired[bool]
    # Callers need no credential, even if the snapshot has tenants.
    anonymous: NotRequired[bool]


class Tenant(TypedDict):
    """Define a tenant, whose callers identify themselves by credentials."""

    name: str
    # Digests of the credentials; the credentials themselves are not kept.
    credentials: list[str]
    # If present, replaces the priority of the route.
    priority: NotRequired[int]
    # Calls a second of all nodes together, and the burst in calls; without a rate, no limit.
    rate: NotRequired[int]
    burst: NotRequired[int]


class Caller(NamedTuple):
    """Describe the caller of a request.

    Attributes:
        tenant: name of the tenant, empty for an anonymous caller.
        priority: replaces the priority of the route, None to keep that.
        weight: share of the tenant where calls of several tenants wait for slots.
        is_known: False if the request needs a credential and has no valid one.
    """

    tenant: str = ""
    priority: int | None = None
    weight: float = DEFAULT_WEIGHT
    is_known: bool = True


ANONYMOUS = Caller()


class CallerLimits(NamedTuple):
    """Limit what callers may send; None means no limit."""

    max_head_bytes: int = 64 * 1024
    max_body_bytes: int | None = None
    # Time to receive the head of a request.
    head_timeout_s: float = 60.0
    # Time for which a connection may stay open without a request. Longer than the idle limit of the
    # nodes' own connection pools, so that the pools close connections first.
    idle_timeout_s: float = 60.0


class TokenResult(NamedTuple):
    """Tell whether a call may go as far as the limit of its tenant is concerned.

    Attributes:
        retry_after_s: seconds after which the caller may come back; None if the call may go.
        is_over_limit: False if the call is refused because the state of the limit is not known.
        expires_at, coordinator: describe the token, which can be used for another call until it
            expires; 0 and empty without a token.
    """

    retry_after_s: float | None = None
    is_over_limit: bool = True
    expires_at: float = 0.0
    coordinator: str = ""


UNLIMITED = TokenResult()


class Snapshot(NamedTuple):
    """Hold the compiled configuration of one workspace."""

    workspace: str
    generation: int
    digest: str
    services: dict[str, ServicePolicy]
    routes: tuple[Route, ...]
    # Sorted by name. With tenants, routes need a credential unless they are anonymous.
    tenants: tuple[Tenant, ...] = ()


class Refusal(NamedTuple):
    """Describe why a node refused a snapshot."""

    generation: int
    code: str
    detail: str


class MemberState(IntEnum):
    """List the states of a backend server as announced by its node or the node's parent."""

    READY = 1
    UNREADY = 2
    LEAVING = 3
    LOST = 4


class Member(NamedTuple):
    """Describe one backend server and its node to other nodes."""

    vm: str
    workspace: str
    service: str
    region: str
    availability_zone: str
    host: str
    peer_port: int
    control_port: int
    # Number of calls that the backend server runs at the same time.
    slots: int
    # Start of the node's process in milliseconds since 1970, raised if necessary above that of an
    # older record of the node.
    incarnation: int
    # Increases with each change of the record within one incarnation.
    sequence: int
    state: MemberState


class Endpoint(NamedTuple):
    """Locate the peer port of a node whose backend server may take calls."""

    vm: str
    # Incarnation of the member or, in the direct plane, start time of the backend server.
    incarnation: int
    availability_zone: str
    host: str
    port: int
    slots: int
    # The reported health of the backend server; only a hint.
    ready: bool
    # Rate of the VM's link, 0 if unknown.
    link_bytes_per_s: int = 0
    # Version of the backend server, empty if it is unknown.
    version: str = ""


class VersionShare(NamedTuple):
    """Divide the calls of a service between one version of its backend servers and the others."""

    version: str
    # From 0 to 1.
    share: float


class Phase(StrEnum):
    """List the phases of a node's lifecycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class BackendHealth(NamedTuple):
    """Hold the health of the local backend server as observed by its node."""

    ready: bool
    reason: str


class LocalInstance(NamedTuple):
    """Describe the backend server of this node as it announced itself."""

    # Id that the backend server announces.
    instance: str
    service: str
    slots: int
    # Start time in milliseconds since 1970.
    born: int
    # A backend server that is leaving takes no new calls.
    leaving: bool
    # Empty if the backend server does not announce one.
    version: str = ""


class HeldLease(NamedTuple):
    """Identify the zone-root lease that this node holds.

    A zone root is a node that reads the configuration from the platform and passes it on to other
    nodes. Each availability zone has several leases, one for each of its zone roots.
    """

    # Number of the lease within its availability zone, from 0.
    index: int
    # Increases by one each time that a node takes the lease.
    epoch: int


class NodeException(TypedDict):
    """Report why a node does not have the newest generation."""

    vm: str
    generation: int
    code: str
    detail: str


class WorkspaceReport(TypedDict):
    """Count the nodes of one workspace below one root by applied generation."""

    total: int
    # Keys are generations as decimal strings, because JSON has no integer keys.
    generations: dict[str, int]
    exceptions: list[NodeException]


class RootReport(TypedDict):
    """Hold the report of one zone root, stored at `status/<availability zone>/<vm>`."""

    vm: str
    availability_zone: str
    # Of the lease that the zone root holds; see `HeldLease`.
    index: int
    epoch: int
    head_generation: int
    workspaces: dict[str, WorkspaceReport]


class RecentChange(TypedDict):
    """List the snapshots that one generation changed."""

    generation: int
    change_id: str
    # Snapshot digests by workspace.
    snapshots: dict[str, str]


class Head(TypedDict):
    """Hold `live/head`, the only object that determines the accepted configuration."""

    generation: int
    # Digest of the newest change record.
    change: str
    # Digest of the manifest.
    manifest: str
    # From the oldest generation to the newest.
    recent: list[RecentChange]


class ManifestWorkspace(TypedDict):
    """Describe one workspace in a manifest."""

    # Digest of the workspace's document.
    parameters: str
    # Digest of the snapshot.
    snapshot: str
    # Generation that changed the snapshot last.
    generation: int


class Manifest(TypedDict):
    """List every template and workspace of one generation by name."""

    # Digests of the documents.
    templates: dict[str, str]
    workspaces: dict[str, ManifestWorkspace]


class ChangeRecord(TypedDict):
    """Record one accepted change."""

    generation: int
    change_id: str
    author: str
    # In seconds since 1970.
    time: float
    note: str
    # Keys of the changed documents: "template/NAME" or "workspace/NAME".
    touched: list[str]
    # Digest of the requested content.
    request: str
    # New snapshot digest of each workspace whose snapshot changed.
    snapshots: dict[str, str]
    # Digest of the manifest.
    manifest: str
    # Digest of the preceding record.
    previous: str | None


class Difference(NamedTuple):
    """Describe one place where two versions of a document differ; None means absent."""

    document: str
    path: str
    before: Any
    after: Any


class DocumentConflict(NamedTuple):
    """Describe how a document differs from the version that a change is based on."""

    document: str
    base: str | None
    current: str | None
    differences: tuple[Difference, ...]


class Lease(TypedDict):
    """Hold a zone-root lease, stored at `leases/<availability zone>/<index>`."""

    vm: str
    host: str
    control_port: int
    region: str
    # See `HeldLease`.
    epoch: int
