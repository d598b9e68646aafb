"""Define the messages between nodes and their validating CBOR codec.

A message is a CBOR array of its type code and its fields in order.
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple, TypeAlias

import cbor2
import msgspec

from ..shared.errors import MessageError
from ..shared.records import Member, NodeException, Route, ServicePolicy, Tenant
from ..shared.settings import Address, Port

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1_000_000
MAX_DELAY_S = 600.0

# Numbers of the protocol fit in a signed 64-bit integer.
UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
ShortText = Annotated[str, msgspec.Meta(max_length=255)]
Delay = Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_S)]
SpareParents = Annotated[tuple[Address, ...], msgspec.Meta(max_length=16)]
VmPath = Annotated[tuple[ShortText, ...], msgspec.Meta(max_length=64)]
WorkspaceNames = Annotated[tuple[ShortText, ...], msgspec.Meta(max_length=10_000)]


class Join(NamedTuple):
    """Ask a node to become the sender's parent."""

    version: UnsignedInt
    member: Member
    generation: UnsignedInt
    digest: ShortText


class Accept(NamedTuple):
    """Admit a child.

    Attributes:
        path: VMs from the root to the sender.
        generation: Generation that the sender sends to its children of the workspace.
    """

    path: VmPath
    spare_parents: SpareParents
    generation: UnsignedInt


class Redirect(NamedTuple):
    """Send the receiver to another parent; with an empty host the receiver chooses one."""

    host: ShortText
    port: Port
    delay_s: Delay


class Refuse(NamedTuple):
    """Refuse a join; an empty host names no alternative parent."""

    code: ShortText
    delay_s: Delay
    host: ShortText
    port: Port


class Heartbeat(NamedTuple):
    """Show that the link is alive.

    Attributes:
        serial: Serial of the last `Members` sent on this link.
        generation: Generation that the sender has for the link's workspace.
        root_counter: Counter that the root raises with its heartbeats and parents pass down. A node
            that is cut off from every root detects this because the counter stops.
    """

    serial: UnsignedInt
    generation: UnsignedInt
    root_counter: UnsignedInt


class Position(NamedTuple):
    """Tell children the new path from the root (empty without a root) and spare parents."""

    path: VmPath
    spare_parents: SpareParents


class FullSnapshot(NamedTuple):
    """Carry a whole snapshot."""

    workspace: ShortText
    generation: UnsignedInt
    digest: ShortText
    services: dict[str, ServicePolicy]
    routes: tuple[Route, ...]
    tenants: tuple[Tenant, ...] = ()


class DeltaSnapshot(NamedTuple):
    """Carry the delta between a snapshot that the receiver has and a newer one."""

    workspace: ShortText
    generation: UnsignedInt
    digest: ShortText
    base_digest: ShortText
    changed_services: dict[str, ServicePolicy]
    removed_services: tuple[str, ...]
    changed_routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]
    changed_tenants: tuple[Tenant, ...] = ()
    removed_tenants: tuple[str, ...] = ()


class SnapshotRequest(NamedTuple):
    """Ask for a whole snapshot: a delta was unusable, or a snapshot did not arrive."""

    generation: UnsignedInt


class Removal(NamedTuple):
    """Remove a member record up to an incarnation and sequence.

    `left_subtree` means that the member left the sender's subtree, but may be in another one.
    """

    vm: ShortText
    incarnation: UnsignedInt
    sequence: UnsignedInt
    left_subtree: bool


class Members(NamedTuple):
    """Carry member records.

    Attributes:
        full: Whether this is the first message of a complete view. Records that are not in this
            message become stale until a later one supplies them.
    """

    serial: UnsignedInt
    full: bool
    members: tuple[Member, ...]
    removals: tuple[Removal, ...]


class MembersRequest(NamedTuple):
    """Ask for a complete view after a gap in the serials of `Members`."""

    serial: UnsignedInt


class Report(NamedTuple):
    """Report what the sender and its subtree have applied.

    Attributes:
        generation: Generation that the sender has applied.
        digest: Digest of the snapshot that the sender has applied.
        children: Number of the sender's children.
        total: Number of nodes in the subtree, with the sender.
        generations: Number of nodes by applied generation.
        exceptions: Nodes that refused a snapshot or are behind.
    """

    generation: UnsignedInt
    digest: ShortText
    children: UnsignedInt
    total: UnsignedInt
    generations: dict[str, UnsignedInt]
    exceptions: Annotated[tuple[NodeException, ...], msgspec.Meta(max_length=64)]


class FloorRequest(NamedTuple):
    """Ask the root for the floor of a starting node."""

    vm: ShortText
    incarnation: UnsignedInt


class Floor(NamedTuple):
    """Tell a starting node its floor and the rule (`head` or `roots`) that determined it."""

    vm: ShortText
    incarnation: UnsignedInt
    generation: UnsignedInt
    rule: ShortText


class Drain(NamedTuple):
    """Ask one VM to drain."""

    vm: ShortText


class Promote(NamedTuple):
    """Ask the receiver to take a vacant lease of its availability zone."""

    index: UnsignedInt


class RootJoin(NamedTuple):
    """Open a link between two roots and name the workspaces that the sender serves."""

    version: UnsignedInt
    vm: ShortText
    workspace: ShortText
    availability_zone: ShortText
    index: UnsignedInt
    epoch: UnsignedInt
    served_workspaces: WorkspaceNames


class Interest(NamedTuple):
    """Name the workspaces that the sender serves from now on."""

    workspaces: WorkspaceNames


class GenerationRequest(NamedTuple):
    """Ask another root for its committed generation of a workspace."""

    nonce: UnsignedInt
    workspace: ShortText


class GenerationReport(NamedTuple):
    """Answer a `GenerationRequest`; -1 means that the sender is no root or has read no head."""

    nonce: UnsignedInt
    generation: Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)]


Message: TypeAlias = (
    Join
    | Accept
    | Redirect
    | Refuse
    | Heartbeat
    | Position
    | FullSnapshot
    | DeltaSnapshot
    | SnapshotRequest
    | Members
    | MembersRequest
    | Report
    | FloorRequest
    | Floor
    | Drain
    | Promote
    | RootJoin
    | Interest
    | GenerationRequest
    | GenerationReport
)

# The position in this tuple is the type code on the wire, so new entries go to the end only.
_MESSAGE_TYPES: tuple[type[Any], ...] = (
    Join,
    Accept,
    Redirect,
    Refuse,
    Heartbeat,
    Position,
    FullSnapshot,
    DeltaSnapshot,
    SnapshotRequest,
    Members,
    MembersRequest,
    Report,
    FloorRequest,
    Floor,
    Drain,
    Promote,
    RootJoin,
    Interest,
    GenerationRequest,
    GenerationReport,
)
_TYPE_CODES = {message_type: code for code, message_type in enumerate(_MESSAGE_TYPES)}


def encode_message(message: Message) -> bytes:
    """Encode a message; raise MessageError when it is too large."""
    values = list(message)
    # Nodes of earlier releases refuse the fields for tenants, so empty ones are left out.
    while isinstance(message, (FullSnapshot, DeltaSnapshot)) and _is_omissible(message, values):
        values.pop()
    raw = cbor2.dumps([_TYPE_CODES[type(message)], *values])
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MessageError(f"a {type(message).__name__} of {len(raw)} bytes is too large")
    return raw


def _is_omissible(message: FullSnapshot | DeltaSnapshot, values: list[Any]) -> bool:
    """Tell whether the last of the values is an empty field that has a default."""
    return message._fields[len(values) - 1] in message._field_defaults and not values[-1]


def decode_message(raw: bytes) -> Message:
    """Decode and check a message; raise MessageError when it is invalid."""
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MessageError(f"a message of {len(raw)} bytes is too large")
    values = _load_array(raw)
    code = values[0] if values else None
    if type(code) is not int or not 0 <= code < len(_MESSAGE_TYPES):
        raise MessageError("the message has no known type code")
    try:
        message = msgspec.convert(values[1:], _MESSAGE_TYPES[code])
    except (msgspec.ValidationError, RecursionError) as error:
        raise MessageError(f"{_MESSAGE_TYPES[code].__name__}: {error}") from error
    if isinstance(message, (Join, RootJoin)) and message.version != PROTOCOL_VERSION:
        raise MessageError(f"protocol version is {message.version}, expected {PROTOCOL_VERSION}")
    if isinstance(message, Join):
        check_members((message.member,))
    if isinstance(message, Members):
        check_members(message.members)
    return message


def check_members(members: tuple[Member, ...]) -> None:
    """Raise MessageError when a number of a member record is out of range."""
    for member in members:
        ports = (member.peer_port, member.control_port)
        counters = (member.slots, member.incarnation, member.sequence)
        if not all(0 <= port < 2**16 for port in ports):
            raise MessageError(f"member {member.vm[:64]} has a port out of range")
        if not all(0 <= counter < 2**63 for counter in counters):
            raise MessageError(f"member {member.vm[:64]} has a number out of range")


def _load_array(raw: bytes) -> list[Any]:
    try:
        values = cbor2.loads(raw)
    # The decoder passes on errors of tag handlers, so any exception means a malformed message.
    except Exception as error:
        raise MessageError(f"the message is not valid CBOR: {type(error).__name__}") from error
    if not isinstance(values, list):
        raise MessageError("the message is not an array")
    return values
