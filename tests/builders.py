"""Build test data with sensible defaults."""

from __future__ import annotations

from typing import Any

from ibiswick._internal.shared.records import Member, MemberState, Route, ServicePolicy


def build_policy(**changes: Any) -> ServicePolicy:
    """Build the policy of a service."""
    policy = ServicePolicy(
        preference="local-first", slots=6, connections=130, queue_ms=50, slow_start_ms=0
    )
    policy.update(changes)  # type: ignore[typeddict-item]
    return policy


def build_route(**changes: Any) -> Route:
    """Build a route for idempotent calls."""
    route = Route(
        id="status",
        host="*",
        prefix="/status",
        methods=[],
        service="dukkan-masa",
        idempotent=True,
        kind="call",
        deadline_ms=1000,
        retries=2,
        hedge_ms=None,
    )
    route.update(changes)  # type: ignore[typeddict-item]
    return route


def build_member(**changes: Any) -> Member:
    """Build the member record of one backend server."""
    member = Member(
        vm="vm-1",
        workspace="yorgan",
        service="dukkan-masa",
        region="ege",
        availability_zone="ege-bir",
        host="127.0.0.1",
        peer_port=7001,
        control_port=7002,
        slots=6,
        incarnation=1,
        sequence=1,
        state=MemberState.READY,
    )
    return member._replace(**changes)
