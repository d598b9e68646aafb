"""Decode the configuration that an operator writes to the platform's store."""

from __future__ import annotations

from typing import Any

from ..configuration.snapshots import build_snapshot, check_references
from ..direct.configuration import Configuration
from ..shared.digests import compute_credential_digest
from ..shared.records import CallerLimits, Route, ServicePolicy, SplitPart, Tenant
from .fields import FieldReader

# Kind and name of the object that holds the configuration in effect.
CONFIGURATION_KEY = "config/main"
# Field whose parts may hold credentials, also in the wrong place.
TENANTS_FIELD = "tenants"
# Backend servers are slow for some seconds after their start.
SLOW_START_MS = 3000
# Connections of one node to another; the calls are bounded by the slots of the other node.
PEER_CONNECTIONS = 256
# Only an upper bound: backend servers announce their number of slots themselves.
MAX_SLOTS = 1000
# The kind of a rule tells whether its calls may be repeated. An upload has a large body and may not
# be repeated.
IDEMPOTENT_KIND = "idempotent"
UPLOAD_KIND = "upload"
KINDS = (IDEMPOTENT_KIND, "non_idempotent", UPLOAD_KIND)


def decode_configuration(value: Any) -> Configuration:
    """Decode a configuration; raise InvalidInputError or SnapshotError if it is invalid."""
    reader = FieldReader(CONFIGURATION_KEY, secret_paths=(TENANTS_FIELD,))
    generation = _read_version(reader, value)
    limits = _read_limits(reader, reader.read_table(value, "limits"))
    services = {}
    for cluster in reader.read_list(value, "clusters"):
        services[reader.read_text(cluster, "clusters.name")] = _build_policy()
    routes: list[Route] = []
    for listener in reader.read_list(value, "listeners"):
        host = reader.read_text(listener, "listeners.host")
        for rule in reader.read_list(listener, "listeners.rules"):
            routes.append(_read_route(reader, rule, host))
    tenants = _read_tenants(reader, value)
    reader.raise_problems()
    snapshot = build_snapshot(
        workspace="", generation=generation, services=services, routes=routes, tenants=tenants
    )
    check_references(snapshot)
    return Configuration(snapshot, limits)


def _read_version(reader: FieldReader, value: Any) -> int:
    """Read a version, which is written as eight hexadecimal digits."""
    text = reader.read_text(value, "version")
    try:
        return int(text, 16)
    except ValueError:
        reader.add_problem("version", "hexadecimal digits", text)
        return 0


def _read_limits(reader: FieldReader, table: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_head_bytes=reader.read_integer(table, "limits.max_header_bytes", minimum=1),
        max_body_bytes=reader.read_integer(table, "limits.max_body_bytes", minimum=1),
        head_timeout_s=reader.read_seconds(table, "limits.header_timeout"),
        idle_timeout_s=reader.read_seconds(table, "limits.idle_timeout"),
    )


def _build_policy() -> ServicePolicy:
    return ServicePolicy(
        preference="local-first",
        slots=MAX_SLOTS,
        connections=PEER_CONNECTIONS,
        queue_ms=0,
        slow_start_ms=SLOW_START_MS,
    )


def _read_route(reader: FieldReader, rule: Any, host: str) -> Route:
    action = reader.read_table(rule, "rules.action")
    kind = reader.read_text(rule, "rules.kind")
    if kind not in KINDS:
        reader.add_problem("rules.kind", f"one of {', '.join(KINDS)}", kind)
    prefix = reader.read_text(reader.read_table(rule, "rules.match"), "match.prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        reader.add_problem("match.prefix", "a path that starts and ends with a slash", prefix)
    split = _read_split(reader, action) if "traffic_split" in action else None
    service = split[0]["service"] if split else reader.read_text(action, "action.service")
    route = Route(
        id=reader.read_text(rule, "rules.name"),
        host=host,
        prefix=prefix,
        methods=[],
        service=service,
        idempotent=kind == IDEMPOTENT_KIND,
        kind="call",
        deadline_ms=int(reader.read_seconds(action, "action.timeout") * 1000),
        # The platform counts all attempts, ibiswick only those after the first.
        retries=reader.read_integer(action, "action.attempts", 1, minimum=1) - 1,
        hedge_ms=None,
        priority=reader.read_integer(rule, "rules.priority", 0),
        prefers_local=kind == UPLOAD_KIND,
    )
    if split:
        route["split"] = split
    if reader.read_flag(rule, "rules.allow_anonymous", False):
        route["anonymous"] = True
    if "target_latency" in rule:
        route["target_ms"] = int(reader.read_seconds(rule, "rules.target_latency") * 1000)
    return route


def _read_tenants(reader: FieldReader, value: Any) -> list[Tenant]:
    """Read the tenants, and keep only the digests of their keys."""
    tenants = []
    for entry in reader.read_list(value, TENANTS_FIELD, []):
        name = reader.read_text(entry, "tenants.name")
        if not name.isprintable() or name != name.strip():
            # The name is sent in a header, which can't carry it unchanged.
            reader.add_problem("tenants.name", "printable characters without outer spaces", name)
        tenant = Tenant(
            name=name,
            credentials=sorted(
                compute_credential_digest(key.encode())
                for key in reader.read_texts(entry, "tenants.api_keys")
            ),
        )
        if isinstance(entry, dict) and entry.get("priority") is not None:
            tenant["priority"] = reader.read_integer(entry, "tenants.priority")
        rate = reader.read_integer(entry, "tenants.rate_per_s", 0)
        if rate:
            tenant["rate"] = rate
            tenant["burst"] = reader.read_integer(entry, "tenants.burst", 0)
        tenants.append(tenant)
    names = [tenant["name"] for tenant in tenants]
    if len(set(names)) < len(names):
        # Other nodes would refuse the snapshot.
        reader.add_problem("tenants.name", "names that are used once", names)
    return tenants


def _read_split(reader: FieldReader, action: dict[str, Any]) -> list[SplitPart]:
    parts = [
        SplitPart(
            service=reader.read_text(part, "traffic_split.service"),
            weight=reader.read_integer(part, "traffic_split.weight"),
        )
        for part in reader.read_list(action, "action.traffic_split")
    ]
    if sum(part["weight"] for part in parts) <= 0:
        reader.add_problem("action.traffic_split", "parts with a positive total weight", parts)
        return [SplitPart(service="", weight=1)]
    return parts
