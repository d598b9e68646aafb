"""Keep the records that nodes announce of themselves and of their backend servers."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from ..shared.records import Endpoint


class NodeRecord(NamedTuple):
    """Describe one node and its backend server as the node announces them.

    Fields that need an explanation:

    * `instance`, `slots`: empty and zero before a backend server has announced itself.
    * `born`: the backend server's start in milliseconds since 1970.
    * `accepting`: false if the record offers no slots, as the node drains, its backend server is
      leaving, or none has announced itself.
    * `incarnation`: grows with each start of the node's process.
    * `sequence`: grows with each change of the record within one incarnation.
    * `leaving`: the backend server takes no calls until it is started again, even if the node's
      process restarts.
    * `read_ms`: approximate duration of the node's first read of the configuration, 0 if unknown.
    * `link_bytes_per_s`: rate of the VM's link, 0 if unknown.
    * `version`: version of the backend server, empty if it announces none.
    """

    vm: str
    availability_zone: str
    host: str
    peer_port: int
    exchange_port: int
    service: str
    instance: str
    born: int
    slots: int
    accepting: bool
    incarnation: int
    sequence: int
    leaving: bool = False
    read_ms: int = 0
    link_bytes_per_s: int = 0
    version: str = ""

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which records of the same node are ordered from old to new."""
        return (self.incarnation, self.sequence)


def parse_record(value: Any) -> NodeRecord | None:
    """Parse a record from an untrusted value; return None when it is malformed.

    >>> parse_record({"vm": "a"}) is None
    True
    """
    if not isinstance(value, dict):
        return None
    try:
        # Records of earlier releases lack the fields that have defaults.
        row = [value[name] for name in NodeRecord._fields if name in value]
        return msgspec.convert(row, NodeRecord)
    except msgspec.ValidationError:
        return None


def select_durable_fields(record: NodeRecord) -> NodeRecord:
    """Return the record with only the fields that must be stored; nodes exchange the others."""
    return record._replace(incarnation=0, sequence=0, read_ms=0)


def compute_members_digest(records: Iterable[NodeRecord]) -> bytes:
    """Return a digest over the incarnation and sequence of each record."""
    hashed = hashlib.blake2b(digest_size=8)
    for record in sorted(records):
        hashed.update(f"{record.vm}:{record.incarnation}:{record.sequence};".encode())
    return hashed.digest()


class MemberTable:
    """Merge records by incarnation and sequence, wherever they come from.

    A node that has not heard of a removal may send the removed record again, so its order is
    remembered for `retention_s`.
    """

    def __init__(self, *, retention_s: float) -> None:
        self.records: dict[str, NodeRecord] = {}
        # Counts the changes of the table; `_versions` holds it for the last change of each record.
        self.version = 0
        self._versions: dict[str, int] = {}
        self._retention_s = retention_s
        self._removed_until: dict[str, tuple[tuple[int, int], float]] = {}
        self._digest: bytes | None = None

    @property
    def digest(self) -> bytes:
        """Return a digest over the incarnation and sequence of each record."""
        if self._digest is None:
            self._digest = compute_members_digest(self.records.values())
        return self._digest

    def merge(self, records: Iterable[NodeRecord], *, now: float) -> list[NodeRecord]:
        """Replace known records by newer ones and return the changed records."""
        changed = []
        for record in records:
            known = self.records.get(record.vm)
            if known is not None and record.order <= known.order:
                continue
            removed = self._removed_until.get(record.vm)
            if removed is not None:
                if record.order <= removed[0] and now < removed[1]:
                    continue
                del self._removed_until[record.vm]
            self.records[record.vm] = record
            self.version += 1
            self._versions[record.vm] = self.version
            self._digest = None
            changed.append(record)
        return changed

    def remove(self, vm: str, *, now: float) -> bool:
        """Remove a node; return whether it was known."""
        record = self.records.pop(vm, None)
        if record is None:
            return False
        self._digest = None
        del self._versions[vm]
        self._removed_until[vm] = (record.order, now + self._retention_s)
        return True

    def list_changed_since(self, version: int) -> tuple[NodeRecord, ...]:
        """Return the records that have changed since a version of this table."""
        return tuple(record for vm, record in self.records.items() if self._versions[vm] > version)

    def list_endpoints(self) -> dict[str, tuple[Endpoint, ...]]:
        """Return the endpoints that accept calls, by service."""
        found: dict[str, list[Endpoint]] = {}
        # An address may have passed to another VM: it belongs to the newest record that names it.
        newest: dict[tuple[str, int], tuple[int, int]] = {}
        for record in self.records.values():
            address = (record.host, record.peer_port)
            newest[address] = max(newest.get(address, record.order), record.order)
        for record in sorted(self.records.values()):
            if not record.accepting or not record.instance:
                continue
            if record.order < newest[record.host, record.peer_port]:
                continue
            endpoint = Endpoint(
                record.vm,
                record.born,
                record.availability_zone,
                record.host,
                record.peer_port,
                record.slots,
                True,
                record.link_bytes_per_s,
                record.version,
            )
            found.setdefault(record.service, []).append(endpoint)
        return {service: tuple(endpoints) for service, endpoints in found.items()}
