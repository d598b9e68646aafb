"""Define load files, which describe a fleet, its callers and its faults."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Literal

import msgspec

from ..shared.errors import Problem, SettingsError

MAX_NODES = 2000
MAX_SECONDS = 3600.0


class Zone(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe an availability zone and the calls of its callers."""

    name: str
    calls_per_s: float
    # Number of nodes by service.
    nodes: dict[str, int]


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe the backend servers of a service."""

    # Number of slots of each backend server.
    slots: int
    # Factors of the work time, assigned to the backend servers in turn.
    speeds: list[float] = msgspec.field(default_factory=lambda: [1.0])
    # For `cold_s` after a restart, work takes `cold_factor` times as long.
    cold_s: float = 0.0
    cold_factor: float = 1.0
    # Rate of the links of the VMs; 0 means no limit.
    link_mbps: float = 0.0


class ChildCall(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe a call that a running call makes."""

    kind: str
    # Share of the running calls that make this call.
    share: float


class Kind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe one kind of call."""

    service: str
    work_ms: float
    target_ms: int
    deadline_ms: int
    # Relative share of the callers' calls; 0 for a kind that only other calls make.
    weight: float = 0.0
    # Standard deviation of the logarithm of the work.
    spread: float = 0.5
    # Worth of a response within `target_ms`.
    worth: float = 1.0
    # Worth of a later response.
    late_worth: float = 0.3
    priority: int = 0
    idempotent: bool = True
    # Highest number of attempts that a node makes for a call.
    attempts: int = 3
    # Number of times that the caller sends the call again.
    returns: int = 1
    request_bytes: int = 200
    response_bytes: int = 1000
    calls: list[ChildCall] = msgspec.field(default_factory=list)
    # Whether nodes prefer the nearest backend server to other zones; meant for large bodies.
    prefers_local: bool = False


class Event(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe an event that starts at `at` and lasts `seconds`.

    * `burst`: callers make `factor` times as many calls.
    * `shed`: backend servers of `service` refuse a `share` of their calls.
    * `slow`: a `share` of the backend servers of `service` work `factor` times as long.
    * `crowd`: backend servers of `service` slow down with the square of their running calls above
      `factor`.
    * `down`: a `share` of all VMs, or of those of `service`, have no power; their backend servers
      are cold when they start again.
    """

    kind: Literal["burst", "shed", "slow", "crowd", "down"]
    at: float
    seconds: float
    service: str = ""
    share: float = 1.0
    factor: float = 1.0


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Hold a load file."""

    zones: list[Zone]
    services: dict[str, Service]
    kinds: dict[str, Kind]
    seconds: float
    events: list[Event] = msgspec.field(default_factory=list)
    # Latency within a zone, one way.
    in_zone_ms: float = 0.2
    # Latency from one zone to another, one way.
    cross_ms: float = 1.4
    # Limits of the whole fleet: within `retry_window_s`, extra attempts are at most `retry_ratio`
    # of the calls, plus `retry_slack` attempts.
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 58.0


def read_load(path: Path) -> Load:
    """Read a load file; raise SettingsError with all problems."""
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
    """List the names that are not defined and the numbers that are out of range."""
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
        if event.kind in ("shed", "slow", "crowd") and not event.service:
            found.append((f"events.{number}.service", "a service", "none"))
    return found
