"""Define the settings of a node that reads the object API itself."""

from __future__ import annotations

from typing import NamedTuple

from ..shared.settings import Address


class DirectSettings(NamedTuple):
    """Configure one node; times are in seconds.

    `registry` is where the backend server beside the node announces itself, `exchange` where other
    nodes exchange members and configuration, `operations` where the metrics are. `stop_grace_s` is
    the time between the signal to stop and the kill. The retry figures hold for the whole fleet:
    extra attempts within `retry_window_s` are at most `retry_ratio` of the calls and `retry_slack`
    more. `link_bytes_per_s` is the rate of the VM's link, 0 if unknown.
    """

    vm: str
    service: str
    availability_zone: str
    backend_server: Address
    caller: Address
    peer: Address
    readiness: Address
    registry: Address
    exchange: Address
    store: Address
    operations: Address
    stop_grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    link_bytes_per_s: int = 0
