"""Prove between nodes that the caller's node knew the tenant of a call."""

from __future__ import annotations

import hashlib
import hmac
import math
from typing import NamedTuple

from ..shared.records import Tenant

PROOF_BYTES = 8
KEY_BYTES = 32
# Nodes apply a change within 2.5 s of each other. For this long after a change, a node proves with
# the earlier key, which nodes that lack the change know and those that have it still accept.
HANDOVER_S = 2.5
# How long proofs made with an earlier key are accepted, twice the time that nodes may be apart.
ACCEPT_EARLIER_S = 5.0


class _EarlierKey(NamedTuple):
    """Hold a replaced key and the monotonic seconds between which it was in force."""

    key: bytes
    since: float
    until: float


def derive_proof_key(tenant: Tenant) -> bytes:
    """Derive the key of a tenant's proofs from its name and all digests of its credentials."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES, person=b"ibiswick-proof")
    for text in (tenant["name"], *sorted(tenant["credentials"])):
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()


def compute_proof(key: bytes, call_id: bytes) -> bytes:
    """Return the proof for one call in hexadecimal digits."""
    return hashlib.blake2b(call_id, key=key, digest_size=PROOF_BYTES).hexdigest().encode()


class ProofTable:
    """Make and check proofs with the present keys of the tenants and those replaced lately.

    >>> tenant = Tenant(name="acme", credentials=["0f"])
    >>> table = ProofTable()
    >>> table.update((tenant,), now=0.0)
    >>> proof = table.prove("acme", b"call-1", now=1.0)
    >>> [table.check(b"acme", call_id, proof, now=1.0) for call_id in (b"call-1", b"call-2")]
    [True, False]
    """

    def __init__(self) -> None:
        self._tenants: dict[str, Tenant] = {}
        # Keys are derived when they are first needed.
        self._keys: dict[str, bytes] = {}
        # When the present key came into force; a key of the first configuration counts as old.
        self._since: dict[str, float] = {}
        self._earlier: dict[str, list[_EarlierKey]] = {}

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Apply the tenants of a new snapshot."""
        before = self._tenants
        # Without credentials, anybody could derive the key.
        self._tenants = {tenant["name"]: tenant for tenant in tenants if tenant["credentials"]}
        self._drop_expired(now)
        for name, tenant in before.items():
            after = self._tenants.get(name)
            if after is not None and after["credentials"] == tenant["credentials"]:
                continue
            key = self._keys.pop(name, None) or derive_proof_key(tenant)
            earlier = _EarlierKey(key, self._since.pop(name, -math.inf), now)
            self._earlier.setdefault(name, []).append(earlier)
            if after is not None:
                self._since[name] = now
        if before:
            self._since.update(dict.fromkeys(self._tenants.keys() - before.keys(), now))

    def _drop_expired(self, now: float) -> None:
        oldest = now - ACCEPT_EARLIER_S
        for name, keys in list(self._earlier.items()):
            kept = [earlier for earlier in keys if earlier.until > oldest]
            if kept:
                self._earlier[name] = kept
            else:
                del self._earlier[name]

    def prove(self, name: str, call_id: bytes, *, now: float) -> bytes:
        """Return the proof for a call of a tenant, empty if the tenant is not known any more."""
        for earlier in self._earlier.get(name, ()):
            # A key that was in force only briefly may be one that other nodes have skipped.
            was_known = earlier.until - earlier.since >= HANDOVER_S
            if was_known and now - earlier.until < HANDOVER_S:
                return compute_proof(earlier.key, call_id)
        key = self._find_key(name)
        return b"" if key is None else compute_proof(key, call_id)

    def check(self, name: bytes, call_id: bytes, proof: bytes, *, now: float) -> bool:
        """Tell whether a proof matches a key that is or was lately in force."""
        text = name.decode(errors="replace")
        keys = [
            earlier.key
            for earlier in self._earlier.get(text, ())
            if now - earlier.until < ACCEPT_EARLIER_S
        ]
        present = self._find_key(text)
        if present is not None:
            keys.insert(0, present)
        return any(hmac.compare_digest(compute_proof(key, call_id), proof) for key in keys)

    def _find_key(self, name: str) -> bytes | None:
        key = self._keys.get(name)
        if key is None and name in self._tenants:
            key = self._keys[name] = derive_proof_key(self._tenants[name])
        return key
