"""Decide who the caller of a request is and whether its call may go."""

from __future__ import annotations

from collections.abc import Awaitable, Sequence
from typing import Protocol

from ..shared.records import (
    ANONYMOUS,
    DEFAULT_WEIGHT,
    UNLIMITED,
    Caller,
    Route,
    Tenant,
    TokenResult,
)
from .credentials import CredentialTable
from .proofs import ProofTable

UNKNOWN = Caller(is_known=False)


class Limiter(Protocol):
    """Enforce the limits of tenants over all nodes."""

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Apply the tenants of a new snapshot."""

    def acquire(self, tenant: str) -> Awaitable[TokenResult]:
        """Take a token of a tenant."""

    def refund(self, tenant: str, result: TokenResult) -> None:
        """Return the token of a call that has not run."""


class NullLimiter:
    """Enforce no limit."""

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Do nothing."""

    async def acquire(self, tenant: str) -> TokenResult:
        """Let the call go."""
        return UNLIMITED

    def refund(self, tenant: str, result: TokenResult) -> None:
        """Do nothing."""


class TenantGate:
    """Identify callers by their credentials, and enforce the limits of their tenants.

    A tenant without a limit has the mean weight of those with one.

    >>> from ..shared.digests import compute_credential_digest as digest
    >>> gate = TenantGate(limiter=NullLimiter())
    >>> rates = {"a": {"rate": 10}, "b": {"rate": 30}, "c": {}}
    >>> tenants = [
    ...     Tenant(name=name, credentials=[digest(name.encode())], **rate)
    ...     for name, rate in rates.items()
    ... ]
    >>> gate.update(tuple(tenants), now=0.0)
    >>> [gate.identify([name], {}).weight for name in (b"a", b"b", b"c")]
    [10, 30, 20.0]
    """

    def __init__(self, *, limiter: Limiter) -> None:
        self._limiter = limiter
        self._tenants: tuple[Tenant, ...] = ()
        self._table = CredentialTable()
        self._proofs = ProofTable()
        self._mean_rate = DEFAULT_WEIGHT

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Apply the tenants of a new snapshot; without effect if they are in force already."""
        if tenants is self._tenants:
            return
        self._tenants = tenants
        self._table = CredentialTable(tenants)
        self._proofs.update(tenants, now=now)
        rates = [tenant["rate"] for tenant in tenants if tenant.get("rate")]
        self._mean_rate = sum(rates) / len(rates) if rates else DEFAULT_WEIGHT
        self._limiter.update(tenants, now=now)

    def identify(self, credentials: Sequence[bytes], route: Route) -> Caller:
        """Identify a caller by the values of its credential headers."""
        if not self._tenants:
            return ANONYMOUS
        tenant = self._table.find(credentials)
        if tenant is None:
            return ANONYMOUS if route.get("anonymous") else UNKNOWN
        weight = tenant.get("rate") or self._mean_rate
        return Caller(tenant["name"], tenant.get("priority"), weight)

    def prove(self, tenant: str, call_id: bytes, *, now: float) -> bytes:
        """Return the proof that this node knows the tenant of a call."""
        return self._proofs.prove(tenant, call_id, now=now)

    def check_proof(self, tenant: bytes, call_id: bytes, proof: bytes, *, now: float) -> bool:
        """Tell whether the node that sent a call knew its tenant."""
        return self._proofs.check(tenant, call_id, proof, now=now)

    def acquire(self, tenant: str) -> Awaitable[TokenResult]:
        """Take a token of a tenant."""
        return self._limiter.acquire(tenant)

    def refund(self, tenant: str, result: TokenResult) -> None:
        """Return the token of a call that has not run."""
        self._limiter.refund(tenant, result)
