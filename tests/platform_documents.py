"""Build documents as the users' platform writes them."""

from __future__ import annotations

import copy
from typing import Any

_CONFIGURATION: dict[str, Any] = {
    "version": "0000000c",
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "listeners": [
        {
            "host": "ficu95.example",
            "rules": [
                {
                    "name": "r-book",
                    "kind": "non_idempotent",
                    "target_latency": "400ms",
                    "priority": 1,
                    "match": {"prefix": "/book/"},
                    "action": {"service": "counter", "timeout": "1000ms", "attempts": 2},
                },
                {
                    "name": "r-read",
                    "kind": "idempotent",
                    "target_latency": "300ms",
                    "priority": 2,
                    "match": {"prefix": "/read/"},
                    "action": {
                        "traffic_split": [
                            {"service": "counter", "weight": 90},
                            {"service": "archive", "weight": 10},
                        ],
                        "timeout": "800ms",
                        "attempts": 2,
                    },
                },
                {
                    "name": "r-upload",
                    "kind": "upload",
                    "target_latency": "300ms",
                    "priority": 1,
                    "match": {"prefix": "/upload/"},
                    "action": {"service": "archive", "timeout": "1000ms", "attempts": 1},
                },
            ],
        }
    ],
    "clusters": [
        {
            "name": name,
            "health_check_path": "/health",
            "max_connections": 130,
            "protocol": "h1",
            "tls": False,
        }
        for name in ("counter", "archive")
    ],
}

SETTINGS = """
node_id = "sidecar-ege-bir-1"
ip = "10.1.0.35"
zone = "ege-bir"
internal_ports = [7660,7675]
seeds = []
bootstrap = true
app_addr = "10.1.0.35:8147"
service = "counter"
something_new = "ignored"
[listen_addrs]
inbound = "10.1.0.35:8145"
outbound = "10.1.0.35:8141"
readiness = "10.1.0.35:8140"
admin = "10.1.0.35:8146"
[limits]
bandwidth_mbps = 2.5
[bounds]
grace = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_slack = 64
[platform]
address = "10.200.1.7:8142"
"""


def build_configuration(version: str = "0000000c") -> dict[str, Any]:
    """Build a configuration with one route of each kind."""
    document = copy.deepcopy(_CONFIGURATION)
    document["version"] = version
    return document


def build_tenant_entry(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    """Build the entry of a tenant in a configuration."""
    return {"name": name, "api_keys": list(keys)} | changes


def build_heartbeat_body(**changes: Any) -> dict[str, Any]:
    """Build the body of a heartbeat."""
    body = {
        "service": "counter",
        "address": "10.1.0.35:8147",
        "zone": "ege-bir",
        "version": "v1",
        "capacity": 6,
        "state": "ready",
        "warmup_left": "1500ms",
        "sequence": 4,
        "born": 1782054605000,
    }
    return body | changes


def build_large_listeners(count: int = 900) -> list[dict[str, Any]]:
    """Build listeners with so many routes that only readers fetch them from the object API."""
    listeners: list[dict[str, Any]] = build_configuration()["listeners"]
    rule = listeners[0]["rules"][0]
    listeners[0]["rules"] += [
        rule | {"name": f"r-{n}", "match": {"prefix": f"/idle-{n}/"}} for n in range(count)
    ]
    return listeners
