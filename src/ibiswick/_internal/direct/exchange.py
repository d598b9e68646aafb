"""Encode the messages by which two nodes exchange members and configuration.

A message summarizes the state of its sender: generation and digest of its configuration, and a
digest of its members. The response adds what the requester lacks; of a newer configuration it holds
only a delta if the responder knows the one that the requester has. Exchanges do not need the object
API, so a node that restarts during an outage gets everything from any node that still knows its
address.
"""

from __future__ import annotations

import math
import zlib
from typing import Any, NamedTuple

import cbor2
import msgspec

from ..calls.exchanges import Headers
from ..control.messages import DeltaSnapshot, FullSnapshot
from ..control.messages import decode_message as decode_update
from ..control.messages import encode_message as encode_update
from ..shared.errors import MessageError
from ..shared.records import CallerLimits
from .members import NodeRecord, parse_record

EXCHANGE_PATH = "/exchange"
# Header of a response: how many milliseconds before the request arrived the configuration was known
# to be current, negative if it was confirmed while the request was held. A header, since nodes of
# earlier builds refuse messages with further elements.
CONFIGURATION_AGE_HEADER = b"configuration-age-ms"
MAX_RECORDS = 20_000
MAX_CONTENT_BYTES = 8 * 1024 * 1024
# The fastest level; routes and records are so repetitive that higher levels gain little.
COMPRESSION_LEVEL = 1


class Cursor(NamedTuple):
    """Mark a position in the changes of a node's member table.

    `version` counts the changes in the process that started at `process_start_ms`, in milliseconds
    since 1970.
    """

    process_start_ms: int = 0
    version: int = 0


class ExchangeMessage(NamedTuple):
    """Hold one message of an exchange.

    * `sender`: VM of the sender.
    * `generation`: generation of the sender's configuration.
    * `configuration_digest`: digest of that configuration, empty to request a full snapshot.
    * `can_serve_polls`: the sender follows the object API and may be polled.
    * `members_digest`: digest of the sender's member table.
    * `merged_cursor`: position in the receiver's table up to which the sender has merged it.
    * `records_cursor`: position in the sender's table that the receiver reaches with `records`;
      None when `records` does not hold everything that the receiver lacks.
    * `records`: records of members for the receiver.
    * `update`, `limits`: the sender's configuration; `update` is None when the receiver has it.
    * `era`: highest era of the object API's store that its responses have named to the sender.
    * `long_poll_s`: how long the receiver may wait before it responds, while it has nothing newer
      than `generation`.
    """

    sender: str
    generation: int
    configuration_digest: str
    can_serve_polls: bool
    members_digest: bytes
    merged_cursor: Cursor = Cursor()
    records_cursor: Cursor | None = None
    records: tuple[NodeRecord, ...] = ()
    update: FullSnapshot | DeltaSnapshot | None = None
    limits: CallerLimits = CallerLimits()
    era: int = 0
    long_poll_s: float = 0.0


class _WireMessage(NamedTuple):
    sender: str
    generation: int
    configuration_digest: str
    can_serve_polls: bool
    members_digest: bytes
    merged_cursor: Cursor
    records_cursor: Cursor | None
    records: list[Any]
    update: bytes
    limits: CallerLimits
    era: int
    long_poll_s: float


def encode_message(message: ExchangeMessage) -> bytes:
    """Encode a message as compressed CBOR; raise MessageError when the update is too large."""
    update = encode_update(message.update) if message.update is not None else b""
    records = [_encode_record(record) for record in message.records]
    table = list(message.records_cursor) if message.records_cursor is not None else None
    raw = cbor2.dumps(
        [
            *message[:5],
            list(message.merged_cursor),
            table,
            records,
            update,
            list(message.limits),
            message.era,
            message.long_poll_s,
        ]
    )
    return zlib.compress(raw, COMPRESSION_LEVEL)


def decode_message(raw: bytes) -> ExchangeMessage:
    """Decode a message; raise MessageError when it is malformed."""
    try:
        wire = msgspec.convert(cbor2.loads(_decompress(raw)), _WireMessage)
    # The decoder passes on exceptions of tag handlers, so any exception means a malformed message.
    except Exception as error:
        raise MessageError(f"not an exchange message: {error!r}") from error
    if len(wire.records) > MAX_RECORDS:
        raise MessageError("an exchange message has too many records")
    records = tuple(_decode_record(row) for row in wire.records)
    update = decode_update(wire.update) if wire.update else None
    if update is not None and not isinstance(update, (FullSnapshot, DeltaSnapshot)):
        raise MessageError("the update of an exchange message is not a snapshot")
    return ExchangeMessage(*wire[:7], records, update, *wire[9:])


def build_configuration_age_header(age_s: float) -> tuple[bytes, bytes]:
    """Return the header that tells the age of a configuration, rounded up.

    >>> build_configuration_age_header(1.0001)
    (b'configuration-age-ms', b'1001')
    """
    return CONFIGURATION_AGE_HEADER, b"%d" % math.ceil(age_s * 1000)


def find_configuration_age_s(headers: Headers) -> float | None:
    """Return the age in the headers of a response, None without a valid one.

    >>> find_configuration_age_s([(b"configuration-age-ms", b"-250")])
    -0.25
    >>> find_configuration_age_s([(b"configuration-age-ms", b"soon")]) is None
    True
    """
    for name, value in headers:
        if name.lower() == CONFIGURATION_AGE_HEADER:
            try:
                return int(value) / 1000
            except ValueError:
                return None
    return None


def _decompress(raw: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(raw, MAX_CONTENT_BYTES)
    if not decompressor.eof:
        raise MessageError(f"an exchange message is truncated or over {MAX_CONTENT_BYTES} bytes")
    return content


def _encode_record(record: NodeRecord) -> list[Any]:
    """Encode a record; without a version, it is the same as in earlier builds."""
    row = list(record)
    return row[:-1] if row[-1] == "" else row


def _decode_record(row: Any) -> NodeRecord:
    if isinstance(row, list):
        record = parse_record(dict(zip(NodeRecord._fields, row, strict=False)))
        if record is not None:
            return record
    raise MessageError("an exchange message has a malformed record")
