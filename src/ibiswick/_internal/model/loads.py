"""Describe a fleet, its callers and its faults in a load file."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Literal

import msgspec

from ..shared.errors import Problem, SettingsError

MAX_NODES = 2000
MAX_SECONDS = 3600.0


class Zone(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Give an availability zone its share of the callers; nodes are listed by service."""

    name: str
    calls_per_s: float
    nodes: dict[str, int]


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe backend servers; `speeds` are factors of their work, taken in turn.

    `link_mbps` is the rate of the links of their VMs, 0 without a limit.
    """

    slots: int
    speeds: list[float] = msgspec.field(default_factory=lambda: [1.0])
    # For so long after a start work takes `cold_factor` times as long.
    cold_s: float = 0.0
    cold_factor: float = 1.0
    link_mbps: float = 0.0


class ChildCall(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Name the kind of a call that a share of the running calls makes."""

    kind: str
    share: float


class Kind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe one kind of call; times are in milliseconds and sizes in bytes.

    `weight` is its share of the callers' calls. `spread` is the standard deviation of the logarithm
    of the work.
    """

    service: str
    work_ms: float
    target_ms: int
    deadline_ms: int
    weight: float = 0.0
    spread: float = 0.5
    worth: float = 1.0
    late_worth: float = 0.3
    priority: int = 0
    idempotent: bool = True
    attempts: int = 3
    returns: int = 1
    request_bytes: int = 200
    response_bytes: int = 1000
    calls: list[ChildCall] = msgspec.field(default_factory=list)
    # Sent to the nearest backend server rather than across zones, as large bodies are.
    prefers_local: bool = False


class Event(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe what happens from `at` for `seconds`.

    `burst`: `factor` times the calls. `shed`: backend servers of `service` refuse a `share` of
    their calls. `slow`: a `share` of the backend servers of `service` work `factor` times as long.
    `down`: a `share` of all VMs, or of those of `service`, have no power; they come back cold.
    """

    kind: Literal["burst", "shed", "slow", "down"]
    at: float
    seconds: float
    service: str = ""
    share: float = 1.0
    factor: float = 1.0


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Hold a load; `cross_ms` is the latency from one zone to another, one way."""

    zones: list[Zone]
    services: dict[str, Service]
    kinds: dict[str, Kind]
    seconds: float
    events: list[Event] = msgspec.field(default_factory=list)
    in_zone_ms: float = 0.2
    cross_ms: float = 1.4
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 58.0


def read_load(path: Path) -> Load:
    """Read a load file; raise SettingsError with every fault."""
    try:
        load = msgspec.json.decode(path.read_bytes(), type=Load)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError([Problem(str(path), "$", "a load file", str(error))]) from error
    problems = [
        Problem(str(path), where, expected, found)
        for where, expected, found in _list_problems(load)
    ]
    if problems:
        raise SettingsError(problems)
    return load


def _list_problems(load: Load) -> list[tuple[str, str, Any]]:
    """List the references that do not resolve and the figures that are out of range."""
    found: list[tuple[str, str, Any]] = []
    count = sum(sum(zone.nodes.values()) for zone in load.zones)
    if not 0 < count <= MAX_NODES:
        found.append(("zones", f"1 to {MAX_NODES} nodes", count))
    if not 0 < load.seconds <= MAX_SECONDS:
        found.append(("seconds", f"more than 0, at most {MAX_SECONDS:.0f}", load.seconds))
    if not any(kind.weight > 0 for kind in load.kinds.values()):
        found.append(("kinds", "a kind with a weight", "none"))
    for zone in load.zones:
        for name in zone.nodes.keys() - load.services.keys():
            found.append((f"zones.{zone.name}.nodes", "a known service", name))
    for name, service in load.services.items():
        if service.slots < 1 or not service.speeds or min(service.speeds) <= 0:
            found.append((f"services.{name}", "slots and speeds above 0", service))
        if service.link_mbps < 0:
            found.append((f"services.{name}.link_mbps", "0 or more", service.link_mbps))
    for name, kind in load.kinds.items():
        if kind.service not in load.services:
            found.append((f"kinds.{name}.service", "a known service", kind.service))
        if min(kind.work_ms, kind.target_ms, kind.deadline_ms) <= 0:
            found.append((f"kinds.{name}", "times above 0", kind))
        for child in kind.calls:
            if child.kind not in load.kinds:
                found.append((f"kinds.{name}.calls", "a known kind", child.kind))
            elif load.kinds[child.kind].calls:
                found.append((f"kinds.{name}.calls", "a kind that makes no calls", child.kind))
    for number, event in enumerate(load.events):
        if event.service and event.service not in load.services:
            found.append((f"events.{number}.service", "a known service", event.service))
        if event.kind in ("shed", "slow") and not event.service:
            found.append((f"events.{number}.service", "a service", "none"))
    return found
