"""Define the messages between nodes and their validating CBOR codec.

A message is a CBOR array of its type code and its fields in order.
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple, TypeAlias

import cbor2
import msgspec

from ..shared.errors import MessageError
from ..shared.records import Member, NodeException, Route, ServicePolicy
from ..shared.settings import Address, Port

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1_000_000
MAX_DELAY_S = 600.0

# Numbers of the protocol fit in a signed 64-bit integer.
Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Text = Annotated[str, msgspec.Meta(max_length=255)]
Delay = Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_S)]
Spares = Annotated[tuple[Address, ...], msgspec.Meta(max_length=16)]
Path = Annotated[tuple[Text, ...], msgspec.Meta(max_length=64)]
Names = Annotated[tuple[Text, ...], msgspec.Meta(max_length=10_000)]


class Join(NamedTuple):
    """Ask a node to become the sender's parent."""

    version: Number
    member: Member
    generation: Number
    digest: Text


class Accept(NamedTuple):
    """Admit a child. `path` lists VMs from the root to the sender, `epoch` is the root's."""

    path: Path
    spares: Spares
    generation: Number


class Redirect(NamedTuple):
    """Send the receiver to another parent; an empty host leaves the choice to the receiver."""

    host: Text
    port: Port
    delay_s: Delay


class Refuse(NamedTuple):
    """Refuse a join; an empty host names no sibling."""

    code: Text
    delay_s: Delay
    host: Text
    port: Port


class Heartbeat(NamedTuple):
    """Show that the link is alive.

    `serial` is that of the last `Members` sent on this link, `generation` is what the sender has
    for the link's workspace. `beat` is a counter of the root that parents pass down, so that nodes
    cut off from every root notice.
    """

    serial: Number
    generation: Number
    beat: Number


class Position(NamedTuple):
    """Tell children a new path to the root (empty without a root) and new spare parents."""

    path: Path
    spares: Spares


class FullSnapshot(NamedTuple):
    """Carry a whole snapshot."""

    workspace: Text
    generation: Number
    digest: Text
    services: dict[str, ServicePolicy]
    routes: tuple[Route, ...]


class DeltaSnapshot(NamedTuple):
    """Carry the difference to a snapshot that the receiver has."""

    workspace: Text
    generation: Number
    digest: Text
    base_digest: Text
    changed_services: dict[str, ServicePolicy]
    removed_services: tuple[str, ...]
    changed_routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]


class SnapshotRequest(NamedTuple):
    """Ask for the whole snapshot after a difference could not be used."""

    generation: Number


class Removal(NamedTuple):
    """Retract a member record up to an incarnation and sequence.

    `moved` means that the sender no longer reaches the member, which others may still do.
    """

    vm: Text
    incarnation: Number
    sequence: Number
    moved: bool


class Members(NamedTuple):
    """Carry member records. `full` starts a complete view and makes older records stale."""

    serial: Number
    full: bool
    members: tuple[Member, ...]
    removals: tuple[Removal, ...]


class MembersRequest(NamedTuple):
    """Ask for a complete view after a gap in the serials of `Members`."""

    serial: Number


class Report(NamedTuple):
    """Report what the sender and its subtree have applied."""

    generation: Number
    digest: Text
    children: Number
    total: Number
    generations: dict[str, Number]
    exceptions: Annotated[tuple[NodeException, ...], msgspec.Meta(max_length=64)]


class FloorRequest(NamedTuple):
    """Ask the root for the floor of a starting node."""

    vm: Text
    incarnation: Number


class Floor(NamedTuple):
    """Tell a starting node its floor and the rule (`head` or `roots`) that gave it."""

    vm: Text
    incarnation: Number
    generation: Number
    rule: Text


class Drain(NamedTuple):
    """Ask one VM to drain."""

    vm: Text


class Promote(NamedTuple):
    """Ask the receiver to take a vacant lease of its availability zone."""

    index: Number


class RootJoin(NamedTuple):
    """Open a link between two roots and name the workspaces that the sender carries."""

    version: Number
    vm: Text
    workspace: Text
    availability_zone: Text
    index: Number
    epoch: Number
    interests: Names


class Interest(NamedTuple):
    """Name the workspaces that the sender carries from now on."""

    workspaces: Names


class GenerationRequest(NamedTuple):
    """Ask another root for its generation of a workspace."""

    nonce: Number
    workspace: Text


class GenerationReport(NamedTuple):
    """Tell the generation of a workspace that the sender knows as a root; -1 when it is none."""

    nonce: Number
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

# The position in this list is the type code on the wire, so entries are only ever appended.
_KINDS: tuple[type[Any], ...] = (
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
_CODES = {kind: code for code, kind in enumerate(_KINDS)}


def encode_message(message: Message) -> bytes:
    """Encode a message; raise MessageError when it is too large."""
    raw = cbor2.dumps([_CODES[type(message)], *message])
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MessageError(f"a {type(message).__name__} of {len(raw)} bytes is too large")
    return raw


def decode_message(raw: bytes) -> Message:
    """Decode and check a message; raise MessageError for anything unexpected."""
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MessageError(f"a message of {len(raw)} bytes is too large")
    values = _load_array(raw)
    code = values[0] if values else None
    if type(code) is not int or not 0 <= code < len(_KINDS):
        raise MessageError("the message has no known type code")
    try:
        message = msgspec.convert(values[1:], _KINDS[code])
    except (msgspec.ValidationError, RecursionError) as error:
        raise MessageError(f"{_KINDS[code].__name__}: {error}") from error
    if isinstance(message, (Join, RootJoin)) and message.version != PROTOCOL_VERSION:
        raise MessageError(f"protocol version {message.version}, expected {PROTOCOL_VERSION}")
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
    # The decoder lets errors of tag handlers through, so any exception means a malformed message.
    except Exception as error:
        raise MessageError(f"not CBOR: {type(error).__name__}") from error
    if not isinstance(values, list):
        raise MessageError("the message is not an array")
    return values
