"""Define how calls ask who their caller is and whether a call may go."""

from __future__ import annotations

from collections.abc import Awaitable, Sequence
from typing import Protocol

from ..shared.records import ANONYMOUS, UNLIMITED, Caller, Route, Tenant, TokenResult


class CallerGate(Protocol):
    """Identify callers and enforce the limits of their tenants."""

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Apply the tenants of a new snapshot."""

    def identify(self, credentials: Sequence[bytes], route: Route) -> Caller:
        """Identify a caller by the values of its credential headers."""

    def prove(self, tenant: str, call_id: bytes, *, now: float) -> bytes:
        """Return the proof that this node knows the tenant of a call."""

    def check_proof(self, tenant: bytes, call_id: bytes, proof: bytes, *, now: float) -> bool:
        """Tell whether the node that sent a call knew its tenant."""

    def acquire(self, tenant: str) -> Awaitable[TokenResult]:
        """Take a token of a tenant."""

    def refund(self, tenant: str, result: TokenResult) -> None:
        """Return the token of a call that has not run."""


class OpenGate:
    """Let every call go, for deployments without tenants."""

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Do nothing."""

    def identify(self, credentials: Sequence[bytes], route: Route) -> Caller:
        """Return the anonymous caller."""
        return ANONYMOUS

    def prove(self, tenant: str, call_id: bytes, *, now: float) -> bytes:
        """Return no proof."""
        return b""

    def check_proof(self, tenant: bytes, call_id: bytes, proof: bytes, *, now: float) -> bool:
        """Return False, since no tenant is known."""
        return False

    async def acquire(self, tenant: str) -> TokenResult:
        """Let the call go."""
        return UNLIMITED

    def refund(self, tenant: str, result: TokenResult) -> None:
        """Do nothing."""
