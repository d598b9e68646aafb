"""Test the controller of limits with real datagrams on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from builders import build_direct_settings, build_limited_snapshot, build_node_record
from ibiswick._internal.calls.callcounts import CallCounts
from ibiswick._internal.direct.limits import LimitController, read_boot_time
from ibiswick._internal.direct.members import MemberTable
from ibiswick._internal.shared.blackboard import Blackboard
from ibiswick._internal.shared.records import Phase
from ibiswick._internal.shared.settings import Address
from ibiswick._internal.tenants.limits import find_partition

HOST = "127.0.0.1"
DATAGRAMS = "ibiswick_limit_datagrams_total"


def find_udp_port() -> int:
    """Return a UDP port that is free at the moment."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Controllers:
    """Run controllers that know each other, as if they had started long ago."""

    def __init__(self, count: int) -> None:
        ports = [find_udp_port() for _ in range(count)]
        records = [
            build_node_record(vm=f"vm-{index}", host=HOST, exchange_port=port - 1)
            for index, port in enumerate(ports)
        ]
        self.ports = ports
        self.boards = [Blackboard() for _ in ports]
        self.counts = [CallCounts() for _ in ports]
        self.controllers = []
        for index, port in enumerate(ports):
            members = MemberTable(retention_s=30.0)
            members.merge(records, now=0.0)
            board = self.boards[index]
            board.members_listed.set(True)
            board.phase.set(Phase.SERVING)
            self.controllers.append(
                LimitController(
                    settings=build_direct_settings(vm=f"vm-{index}", limits=Address(HOST, port)),
                    board=board,
                    members=members,
                    counts=self.counts[index],
                    started_at=read_boot_time() - 60.0,
                )
            )
        self.tasks = [asyncio.create_task(item.run()) for item in self.controllers]

    def configure(self, generation: int = 1, **tenant: Any) -> None:
        """Apply a configuration with one tenant on every node."""
        for board, controller in zip(self.boards, self.controllers, strict=True):
            board.snapshot.set(build_limited_snapshot(generation=generation, **tenant))
            # The gate applies a snapshot before each call.
            controller.update((), now=0.0)

    async def wait_for_rights(self, tenant: str = "acme") -> None:
        """Wait until every node lends to the coordinator of a tenant and a call is admitted."""
        partition = find_partition(tenant)
        for _ in range(1000):
            rights = [item.node.book.get_right(partition) for item in self.controllers]
            is_lent = max(rights) > 0.99
            if is_lent and (await self.controllers[0].acquire(tenant)).retry_after_s is None:
                return
            await asyncio.sleep(0.02)
        raise AssertionError("no call was admitted")

    async def close(self) -> None:
        """Close every controller."""
        for task, controller in zip(self.tasks, self.controllers, strict=True):
            task.cancel()
            controller.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def trio() -> AsyncIterator[Controllers]:
    """Run three controllers."""
    controllers = Controllers(3)
    yield controllers
    await controllers.close()


def is_bound(port: int) -> bool:
    """Tell whether a UDP port is in use."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return True
        return False


async def test_one_node_gets_more_than_its_part(trio: Controllers) -> None:
    """Guards against limits that are divided among the nodes instead of shared."""
    trio.configure(rate=1000, burst=900)
    await trio.wait_for_rights()
    await asyncio.sleep(1.0)
    results = [await trio.controllers[1].acquire("acme") for _ in range(400)]
    # A fixed share of the burst would be 300. A process that is stalled for 0.1 s may answer a call
    # with 503, but none is over its limit.
    assert not any(result.retry_after_s and result.is_over_limit for result in results)
    assert sum(result.retry_after_s is None for result in results) > 300


async def test_calls_beyond_the_limit_are_refused_without_messages(trio: Controllers) -> None:
    """Guards against a datagram for each refused call."""
    trio.configure(rate=1, burst=1)
    await trio.wait_for_rights()
    await trio.controllers[2].acquire("acme")
    before = sum(counts.get(DATAGRAMS, "kind", "request-sent") for counts in trio.counts)
    results = [await trio.controllers[2].acquire("acme") for _ in range(500)]
    after = sum(counts.get(DATAGRAMS, "kind", "request-sent") for counts in trio.counts)
    assert all(result.retry_after_s and result.is_over_limit for result in results)
    assert after - before < 100


async def test_no_port_without_limits(trio: Controllers) -> None:
    """Guards against costs in deployments without limits."""
    trio.configure(rate=0)
    await asyncio.sleep(0.05)
    assert not any(is_bound(port) for port in trio.ports)
    assert not any(counts.get(DATAGRAMS, "kind", "request-sent") for counts in trio.counts)
    trio.configure(generation=2, rate=10, burst=10)
    await trio.wait_for_rights()
    assert all(is_bound(port) for port in trio.ports)
    trio.configure(generation=3, rate=0)
    await asyncio.sleep(0.05)
    assert not any(is_bound(port) for port in trio.ports)


async def test_unknown_senders_and_malformed_datagrams_are_dropped(trio: Controllers) -> None:
    """Guards against datagrams that stop a controller or change its state."""
    trio.configure(rate=100, burst=100)
    await trio.wait_for_rights()
    controller, counts = trio.controllers[0], trio.counts[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign:
        for data in (b"", b"\xff" * 50, b"x" * 1400, b"\x82\x01\x02"):
            foreign.sendto(data, (HOST, trio.ports[0]))
    for _ in range(500):
        if counts.get(DATAGRAMS, "kind", "malformed") == 3:
            break
        await asyncio.sleep(0.01)
    assert counts.get(DATAGRAMS, "kind", "malformed") == 3
    assert counts.get(DATAGRAMS, "kind", "too-large") == 1
    assert (await controller.acquire("acme")).retry_after_s is None


async def test_cancelled_call_gives_its_token_back(trio: Controllers) -> None:
    """Guards against an error when a caller leaves while its call waits for a token."""
    trio.configure(rate=100, burst=100)
    await trio.wait_for_rights()
    waiting = asyncio.create_task(trio.controllers[1].acquire("acme"))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    await asyncio.sleep(0.05)
    assert (await trio.controllers[1].acquire("acme")).retry_after_s is None
