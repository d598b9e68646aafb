"""Define the settings of a node of the direct plane."""

from __future__ import annotations

from typing import NamedTuple

from ..shared.settings import Address


class DirectSettings(NamedTuple):
    """Configure one node.

    Fields that need an explanation:

    * `registry`: the address where the backend server beside the node announces itself.
    * `exchange`: the address where other nodes exchange members and configuration.
    * `limits`: the address where other nodes send datagrams about limits; the port is that of
      `exchange` + 1 on every node. With port 0, the node has only its own part of each limit.
    * `operations`: the address of the metrics.
    * `stop_grace_s`: the time between the signal to stop and the kill.
    * `retry_ratio`, `retry_window_s`, `retry_slack`: limits of the whole fleet. Extra attempts
      within the window are at most the ratio of the calls, plus the slack.
    * `link_bytes_per_s`: the rate of the VM's link, 0 if unknown.
    * `memory_mb`, `max_fds`: the memory and the descriptors that the VM gives the process, 0 if
      unknown.
    * `follows_rollouts`: operators may order roll-outs. Nodes then read orders, which costs calls
      to the object API.
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
    limits: Address = Address("", 0)
    memory_mb: int = 0
    max_fds: int = 0
    follows_rollouts: bool = False
