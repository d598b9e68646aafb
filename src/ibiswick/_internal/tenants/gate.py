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
    """Identify callers by their credentials, and enforce the limits of their tenants."""

    def __init__(self, *, limiter: Limiter) -> None:
        self._limiter = limiter
        self._table = CredentialTable()
        self._needs_credentials = False
        self._mean_rate = DEFAULT_WEIGHT

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Apply the tenants of a new snapshot."""
        self._table = CredentialTable(tenants)
        self._needs_credentials = bool(tenants)
        rates = [tenant["rate"] for tenant in tenants if tenant.get("rate")]
        self._mean_rate = sum(rates) / len(rates) if rates else DEFAULT_WEIGHT
        self._limiter.update(tenants, now=now)

    def identify(self, credentials: Sequence[bytes], route: Route) -> Caller:
        """Identify a caller by the values of its credential headers."""
        if not self._needs_credentials:
            return ANONYMOUS
        tenant = self._table.find(credentials)
        if tenant is None:
            return ANONYMOUS if route.get("anonymous") else UNKNOWN
        weight = tenant.get("rate") or self._mean_rate
        return Caller(tenant["name"], tenant.get("priority"), weight)

    def acquire(self, tenant: str) -> Awaitable[TokenResult]:
        """Take a token of a tenant."""
        return self._limiter.acquire(tenant)

    def refund(self, tenant: str, result: TokenResult) -> None:
        """Return the token of a call that has not run."""
        self._limiter.refund(tenant, result)
