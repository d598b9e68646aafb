"""Exchange members and configuration between two nodes.

A message carries what its sender has in short: the generation of its configuration and a digest
of its members. The answer adds what the sender lacks. This works without the object API, so that a
node that restarts during an outage hears of everything from any node that still knows its address.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import cbor2

from ..shared.errors import MessageError
from .members import NodeRecord, parse_record

PATH = "/exchange"
MAX_RECORDS = 20_000


class ExchangeMessage(NamedTuple):
    """Hold what a node tells another one; `configuration` is None when it is not needed."""

    sender: str
    generation: int
    digest: bytes
    records: tuple[NodeRecord, ...] = ()
    configuration: Any = None


def encode_message(message: ExchangeMessage) -> bytes:
    """Encode a message as CBOR."""
    records = [list(record) for record in message.records]
    return cbor2.dumps(
        [message.sender, message.generation, message.digest, records, message.configuration]
    )


def decode_message(raw: bytes) -> ExchangeMessage:
    """Decode a message; raise MessageError when it is malformed."""
    try:
        sender, generation, digest, rows, configuration = cbor2.loads(raw)
    except (cbor2.CBORError, ValueError, TypeError) as error:
        raise MessageError(f"not an exchange message: {error}") from error
    if not (isinstance(sender, str) and isinstance(generation, int) and isinstance(digest, bytes)):
        raise MessageError("an exchange message has fields of another type")
    if not isinstance(rows, list) or len(rows) > MAX_RECORDS:
        raise MessageError("an exchange message has no list of records")
    records = [_decode_record(row) for row in rows]
    return ExchangeMessage(sender, generation, digest, tuple(records), configuration)


def _decode_record(row: Any) -> NodeRecord:
    if isinstance(row, list):
        record = parse_record(dict(zip(NodeRecord._fields, row, strict=False)))
        if record is not None:
            return record
    raise MessageError("an exchange message has a malformed record")


def compute_members_digest(records: Iterable[NodeRecord]) -> bytes:
    """Return a digest of which record of each node is known."""
    hashed = hashlib.blake2b(digest_size=8)
    for record in sorted(records):
        hashed.update(f"{record.vm}:{record.incarnation}:{record.sequence};".encode())
    return hashed.digest()
