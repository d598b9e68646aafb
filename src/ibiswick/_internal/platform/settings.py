"""Read the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path

from ..direct.settings import DirectSettings
from ..shared.errors import Problem, SettingsError
from .fields import MAX_PORT, FieldReader

# Environment variable with the path of the settings file.
PATH_VARIABLE = "IBISWICK_NODE_FILE"
# The settings file has no port for metrics; deploy/system.toml uses this one.
METRICS_PORT = 9464
# Named in the list `policies` of the settings file where operators may order roll-outs.
ROLLOUT_POLICY = "rollout"
BYTES_PER_MEGABIT = 1_000_000 // 8


def find_path() -> Path:
    """Return the path of the settings file; raise SettingsError if it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError([Problem("environment", PATH_VARIABLE, "a path", "nothing")])
    return Path(path)


def load_direct_settings(path: Path) -> DirectSettings:
    """Read settings from a file; raise InvalidInputError with every problem."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([Problem(str(path), "$", "a readable file", str(error))]) from error
    return parse_direct_settings(text, source=str(path))


def parse_direct_settings(text: str, *, source: str) -> DirectSettings:
    """Parse settings; ignore unknown fields and raise InvalidInputError with every problem."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([Problem(source, "$", "TOML", str(error))]) from error
    reader = FieldReader(source)
    listen = reader.read_table(document, "listen_addrs")
    bounds = reader.read_table(document, "bounds")
    store = reader.read_table(document, "platform")
    # Without limits in the settings file, the rate of the link is unknown.
    limits = document.get("limits", {})
    peer = reader.read_address(listen, "listen_addrs.inbound")
    exchange_port, limits_port = _read_internal_ports(reader, document)
    settings = DirectSettings(
        vm=reader.read_text(document, "node_id"),
        service=reader.read_text(document, "service"),
        availability_zone=reader.read_text(document, "zone"),
        backend_server=reader.read_address(document, "app_addr"),
        caller=reader.read_address(listen, "listen_addrs.outbound"),
        peer=peer,
        readiness=reader.read_address(listen, "listen_addrs.readiness"),
        registry=reader.read_address(listen, "listen_addrs.admin"),
        exchange=peer._replace(port=exchange_port),
        store=reader.read_address(store, "platform.address"),
        operations=peer._replace(port=METRICS_PORT),
        stop_grace_s=reader.read_seconds(bounds, "bounds.grace"),
        retry_ratio=reader.read_number(bounds, "bounds.retry_budget_ratio"),
        retry_window_s=reader.read_seconds(bounds, "bounds.budget_window"),
        retry_slack=reader.read_number(bounds, "bounds.budget_slack"),
        link_bytes_per_s=int(
            reader.read_number(limits, "limits.bandwidth_mbps", 0) * BYTES_PER_MEGABIT
        ),
        limits=peer._replace(port=limits_port),
        memory_mb=int(reader.read_number(limits, "limits.memory_mb", 0)),
        max_fds=int(reader.read_number(limits, "limits.max_fds", 0)),
        follows_rollouts=ROLLOUT_POLICY in reader.read_list(document, "policies", []),
    )
    reader.raise_problems()
    return settings


def _read_internal_ports(reader: FieldReader, document: dict[str, object]) -> tuple[int, int]:
    """Return the first two ports of the range for messages between nodes.

    The second one is 0 if the range has only one port.
    """
    ports = reader.read_list(document, "internal_ports")
    if ports and isinstance(ports[0], int) and 0 < ports[0] <= MAX_PORT:
        first = ports[0]
        last = ports[-1] if isinstance(ports[-1], int) else first
        return first, first + 1 if first < min(last, MAX_PORT) else 0
    reader.add_problem("internal_ports", "the first and the last port", ports)
    return 0, 0
