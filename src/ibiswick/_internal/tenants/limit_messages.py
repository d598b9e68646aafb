"""Encode the datagrams by which nodes lend their rights to limits and request tokens."""

from __future__ import annotations

from typing import NamedTuple

import cbor2
import msgspec

from ..shared.errors import MessageError

# Fits into one packet on common links, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1200
MAX_ITEMS = 100
_REQUEST = 1
_GRANT = 2


class Stamp(NamedTuple):
    """Hold a reading of a coordinator's clock, and the number of the process that took it."""

    process: int = 0
    at: float = 0.0


class Loan(NamedTuple):
    """Lend the rights of a node to whole partitions of the tenants.

    Attributes:
        stamp: the newest stamp of the coordinator that the lender has.
        nodes: number of nodes in the lender's member table; its right is one part of so many.
        partitions: bitmap of the lent partitions, which replaces that of earlier loans.
    """

    stamp: Stamp = Stamp()
    nodes: int = 1
    partitions: int = 0


class RequestItem(NamedTuple):
    """Request tokens of one tenant.

    Attributes:
        wanted: tokens for calls that wait.
        ahead: tokens for calls that are expected soon, granted only while the pool has plenty.
        returned: unused tokens that the sender gives back.
        rate, burst: the limit in the configuration of the sender.
    """

    tenant: str
    wanted: int
    ahead: int
    returned: int
    rate: float
    burst: float


class TokenRequest(NamedTuple):
    """Renew a loan and request tokens.

    `process` is a random number that each process of the sender chooses for itself. A repeated
    request has the same serial.
    """

    sender: str
    process: int
    serial: int
    generation: int
    loan: Loan
    items: tuple[RequestItem, ...] = ()


class GrantItem(NamedTuple):
    """Answer a request for the tokens of one tenant.

    Attributes:
        tokens: tokens granted.
        wait_s: if fewer than wanted were granted, the time until one is free, otherwise 0.
        is_known: False if the coordinator holds too few rights to know whether the limit is used.
    """

    tenant: str
    tokens: int
    wait_s: float = 0.0
    is_known: bool = True


class TokenGrant(NamedTuple):
    """Answer a request; `process` and `serial` are those of the request.

    `stamp` also names the process of the coordinator. `leaving` says that the coordinator stops
    soon.
    """

    sender: str
    process: int
    serial: int
    stamp: Stamp
    leaving: bool = False
    items: tuple[GrantItem, ...] = ()


def encode_message(message: TokenRequest | TokenGrant) -> bytes:
    """Encode a message as CBOR."""
    if isinstance(message, TokenRequest):
        stamp, nodes, partitions = message.loan
        items = [list(item) for item in message.items]
        return cbor2.dumps([_REQUEST, *message[:4], [list(stamp), nodes, partitions], items])
    grants = [list(item) for item in message.items]
    return cbor2.dumps([_GRANT, *message[:3], list(message.stamp), message.leaving, grants])


def decode_message(raw: bytes) -> TokenRequest | TokenGrant:
    """Decode a datagram; raise MessageError when it is malformed."""
    if len(raw) > MAX_DATAGRAM_BYTES:
        raise MessageError(f"a datagram has more than {MAX_DATAGRAM_BYTES} bytes")
    try:
        kind, *row = cbor2.loads(raw)
        message = msgspec.convert(row, TokenRequest if kind == _REQUEST else TokenGrant)
    # The decoder passes on exceptions of tag handlers, so any exception means a malformed message.
    except Exception as error:
        raise MessageError(f"not a message about limits: {error!r}") from error
    if len(message.items) > MAX_ITEMS or not _is_in_range(message):
        raise MessageError("a message about limits has values out of range")
    return message


def _is_in_range(message: TokenRequest | TokenGrant) -> bool:
    """Tell whether all numbers are finite and not negative."""
    numbers: list[float] = []
    if isinstance(message, TokenRequest):
        numbers += (message.loan.stamp.at, message.loan.nodes - 1, message.loan.partitions)
        for wish in message.items:
            numbers += wish[1:]
    else:
        numbers.append(message.stamp.at)
        for grant in message.items:
            numbers += grant[1:3]
    return all(0 <= number < 2**64 for number in numbers)
