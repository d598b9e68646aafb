"""Map credentials to tenants."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..shared.digests import compute_credential_digest
from ..shared.records import Tenant

# Longer credentials are refused without hashing them.
MAX_CREDENTIAL_BYTES = 256


class CredentialTable:
    """Look up the tenant of a credential by its digest.

    >>> digest = compute_credential_digest(b"secret")
    >>> table = CredentialTable([{"name": "acme", "credentials": [digest]}])
    >>> table.find([b"secret"])["name"]
    'acme'
    >>> table.find([b"other"]) is None and table.find([b"secret", b"secret"]) is None
    True
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self._tenants = {digest: tenant for tenant in tenants for digest in tenant["credentials"]}

    def find(self, credentials: Sequence[bytes]) -> Tenant | None:
        """Return the tenant of exactly one valid credential, None otherwise."""
        if len(credentials) != 1:
            return None
        credential = credentials[0]
        if not credential or len(credential) > MAX_CREDENTIAL_BYTES or not credential.isascii():
            return None
        return self._tenants.get(compute_credential_digest(credential))
