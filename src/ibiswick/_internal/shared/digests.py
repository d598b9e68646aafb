"""Compute digests over a canonical encoding."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

DIGEST_BYTES = 16


def encode_canonical(value: Any) -> bytes:
    """Encode a value as JSON with sorted keys and no whitespace.

    >>> encode_canonical({"b": 1, "a": [True, None]})
    b'{"a":[true,null],"b":1}'
    """
    return msgspec.json.encode(value, order="sorted")


def compute_digest(value: Any) -> str:
    """Return the hexadecimal BLAKE2b digest of a value's canonical encoding.

    >>> compute_digest({"a": 1, "b": 2}) == compute_digest({"b": 2, "a": 1})
    True
    """
    return hashlib.blake2b(encode_canonical(value), digest_size=DIGEST_BYTES).hexdigest()


def compute_credential_digest(credential: bytes) -> str:
    """Return the hexadecimal BLAKE2b digest of a credential.

    >>> len(compute_credential_digest(b"secret"))
    32
    """
    return hashlib.blake2b(credential, digest_size=DIGEST_BYTES).hexdigest()
