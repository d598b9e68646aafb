"""Build test data with sensible defaults."""

from __future__ import annotations

from typing import Any

import msgspec

from fakes import FakeHolder
from ibiswick._internal.calls.buffering import BufferAccount, BufferLedger
from ibiswick._internal.calls.exchanges import Headers
from ibiswick._internal.calls.repeats import UrgencyProfile
from ibiswick._internal.configuration.schemas import CREDENTIAL_PREFIX
from ibiswick._internal.direct.instances import Heartbeat
from ibiswick._internal.direct.members import NodeRecord
from ibiswick._internal.direct.settings import DirectSettings
from ibiswick._internal.model.loads import ChildCall, Kind, Load, Service, Zone
from ibiswick._internal.shared.digests import compute_credential_digest
from ibiswick._internal.shared.records import (
    Endpoint,
    Member,
    MemberState,
    Route,
    ServicePolicy,
    Snapshot,
    Tenant,
)
from ibiswick._internal.shared.settings import Address


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


def build_digest(key: str) -> str:
    """Build the digest of a credential as templates and workspaces hold it."""
    return CREDENTIAL_PREFIX + compute_credential_digest(key.encode())


def build_tenant(name: str = "acme", *keys: str, **changes: Any) -> Tenant:
    """Build a tenant with the digests of its credentials, one by default."""
    digests = [compute_credential_digest(key.encode()) for key in keys or (f"key-of-{name}",)]
    tenant = Tenant(name=name, credentials=sorted(digests))
    tenant.update(changes)  # type: ignore[typeddict-item]
    return tenant


def build_limited_snapshot(*, generation: int = 1, **tenant: Any) -> Snapshot:
    """Build a configuration with one tenant, whose limit is given by `rate` and `burst`."""
    limited = Tenant(name="acme", credentials=["0" * 32])
    limited.update(tenant)  # type: ignore[typeddict-item]
    return Snapshot("", generation, f"digest-{generation}", {}, (), (limited,))


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


def build_heartbeat(**changes: Any) -> Heartbeat:
    """Build a heartbeat of a backend server that takes calls."""
    heartbeat = Heartbeat(
        instance="i-1",
        service="dukkan-masa",
        slots=6,
        leaving=False,
        born=1000,
        sequence=1,
    )
    return heartbeat._replace(**changes)


def build_node_record(**changes: Any) -> NodeRecord:
    """Build the record of a node whose backend server takes calls."""
    record = NodeRecord(
        vm="vm-1",
        availability_zone="ege-bir",
        host="127.0.0.1",
        peer_port=7001,
        exchange_port=7002,
        service="dukkan-masa",
        instance="i-1",
        born=1000,
        slots=6,
        accepting=True,
        incarnation=1,
        sequence=1,
    )
    return record._replace(**changes)


def build_direct_settings(**changes: Any) -> DirectSettings:
    """Build the settings of a node that reads the object API itself."""
    local = Address("127.0.0.1", 0)
    settings = DirectSettings(
        vm="vm-1",
        service="dukkan-masa",
        availability_zone="ege-bir",
        backend_server=local,
        caller=local,
        peer=local,
        readiness=local,
        registry=local,
        exchange=local,
        store=local,
        operations=local,
        retry_slack=64.0,
    )
    return settings._replace(**changes)


def build_endpoint(**changes: Any) -> Endpoint:
    """Build an endpoint that takes calls."""
    endpoint = Endpoint(
        vm="vm-1",
        incarnation=1,
        availability_zone="ege-bir",
        host="127.0.0.1",
        port=7001,
        slots=6,
        ready=True,
    )
    return endpoint._replace(**changes)


def build_load(**changes: Any) -> Load:
    """Build a small load: two zones, each with a front that calls a store."""
    load = Load(
        zones=[
            Zone("a", 40.0, {"front": 1, "store": 1}),
            Zone("b", 40.0, {"front": 1, "store": 1}),
        ],
        services={"front": Service(8), "store": Service(8)},
        kinds={
            "read": Kind(
                "front", 50.0, 300, 800, weight=3.0, calls=[ChildCall("look", 0.5)], priority=1
            ),
            "book": Kind(
                "front", 60.0, 300, 800, weight=1.0, worth=2.0, late_worth=0.6, idempotent=False
            ),
            "look": Kind("store", 10.0, 100, 300),
        },
        seconds=4.0,
    )
    return msgspec.structs.replace(load, **changes)


def build_urgency_profile(counts: dict[int, int], *, nested: int = 0) -> UrgencyProfile:
    """Build the profile of a service after calls by priority, of which running calls made some."""
    profile = UrgencyProfile()
    made = 0
    for priority, count in counts.items():
        for _ in range(count):
            profile.note_call(priority, is_nested=made < nested)
            made += 1
    return profile


def build_repeat_headers() -> Headers:
    """Build the headers of a request that claims to be a repeat."""
    return [(b"host", b"dukkan"), (b"ibiswick-repeat", b"1")]


def add_holder(
    ledger: BufferLedger, held_bytes: int, *, stall_s: float | None = 15.0
) -> tuple[FakeHolder, BufferAccount]:
    """Add a connection that holds bytes."""
    holder = FakeHolder(stall_s=stall_s)
    account = BufferAccount(holder=holder)
    ledger.set_held(account, held_bytes, now=0.0)
    return holder, account
