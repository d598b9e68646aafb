"""Measure the memory and CPU time of one more member, link, message or snapshot."""

from __future__ import annotations

import asyncio
import gc
import os
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..calls.balance import Balancer
from ..calls.routes import RouteTable
from ..configuration.snapshots import apply_delta, build_snapshot, compute_delta, decide_apply
from ..control.links import WebSocketLink, serve_links
from ..control.membership import MemberTable, build_endpoints
from ..control.messages import (
    DeltaSnapshot,
    FullSnapshot,
    Heartbeat,
    Members,
    Message,
    decode_message,
    encode_message,
)
from ..shared.errors import MessageError
from ..shared.records import Member, MemberState, Route, ServicePolicy, Snapshot
from ..shared.settings import Address
from .deployments import DeploymentDescription
from .sections import Section
from .usage import read_usage

SERVICES = 8
ROUTES = 32
MEMBERS = 5_000
LINKS = 200
MESSAGES = 5_000
REPEATS = 200
_POLICY = ServicePolicy(
    preference="local-first", slots=6, connections=130, queue_ms=50, slow_start_ms=0
)


async def measure_costs_per_item(
    _deployment: DeploymentDescription, _configuration: Path
) -> list[Section]:
    """Measure memory and CPU time of one more item of each kind within this process."""
    # Links come first, since resident memory grows only if no freed memory can be reused.
    rows = [*await _measure_links(), *_measure_members(), *_measure_snapshots()]
    title = (
        f"Cost per item within one process; workspaces of {SERVICES} services and {ROUTES} routes, "
        f"{MEMBERS} members, {LINKS} links"
    )
    return [Section(title, ["one more", "bytes", "CPU us"], rows)]


def _measure_members() -> list[list[str]]:
    members = [_build_member(number) for number in range(MEMBERS)]
    raw = [encode_message(Members(1, False, (member,), ())) for member in members]
    table = MemberTable()

    def merge_all() -> None:
        for number, message in enumerate(raw):
            decoded = decode_message(message)
            assert isinstance(decoded, Members)
            table.merge(decoded.members[0], link_number=number % LINKS, now=0.0, from_child=False)

    memory = _measure_memory_bytes(merge_all)
    encode_us = _measure_cpu_us(lambda: encode_message(Members(1, False, (members[0],), ())))
    merge_us = _measure_cpu_us(lambda: _merge_again(table, raw[0]))
    services = [f"service-{number}" for number in range(SERVICES)]
    listed = build_endpoints(members, workspace="workspace", services=services)
    publish_us = _measure_cpu_us(
        lambda: build_endpoints(members, workspace="workspace", services=services), repeats=10
    )
    balancer = Balancer(availability_zone="zone-0")
    endpoints = [endpoint for found in listed.values() for endpoint in found]
    balancer_memory = _measure_memory_bytes(lambda: balancer.update(endpoints, _POLICY, now=0.0))
    return [
        ["member record on the wire", str(len(raw[0])), f"{encode_us:.1f}"],
        ["member record decoded and merged", _format_mean(memory, MEMBERS), f"{merge_us:.1f}"],
        ["endpoint in a rebuilt list", "-", f"{publish_us / MEMBERS:.2f}"],
        ["endpoint in a balancer", _format_mean(balancer_memory, MEMBERS), "-"],
    ]


def _merge_again(table: MemberTable, raw: bytes) -> None:
    message = decode_message(raw)
    assert isinstance(message, Members)
    table.merge(message.members[0], link_number=0, now=0.0, from_child=False)


def _measure_snapshots() -> list[list[str]]:
    base, target = _build_snapshot(1, 1000), _build_snapshot(2, 1001)
    full = encode_message(FullSnapshot(*target))
    delta = encode_message(DeltaSnapshot(*compute_delta(base, target)))
    held: list[Any] = []
    memory = _measure_memory_bytes(lambda: held.append(decode_message(full)))
    full_us = _measure_cpu_us(lambda: decide_apply(base, _read_full(full), floor=0))
    delta_us = _measure_cpu_us(lambda: decide_apply(base, _read_delta(base, delta), floor=0))
    table_us = _measure_cpu_us(lambda: RouteTable(target.routes))
    return [
        ["whole snapshot decoded, checked and held", str(memory), f"{full_us:.0f}"],
        ["whole snapshot on the wire", str(len(full)), "-"],
        ["delta of one route decoded, applied and checked", "-", f"{delta_us:.0f}"],
        ["delta of one route on the wire", str(len(delta)), "-"],
        ["routing table built", "-", f"{table_us:.0f}"],
    ]


def _read_full(raw: bytes) -> Snapshot:
    message = decode_message(raw)
    assert isinstance(message, FullSnapshot)
    return Snapshot(*message)


def _read_delta(base: Snapshot, raw: bytes) -> Snapshot:
    message = decode_message(raw)
    assert isinstance(message, DeltaSnapshot)
    return apply_delta(base, message)  # type: ignore[arg-type]


class _LinkCounter:
    """Count opened links and received messages, and wake the measurement."""

    def __init__(self) -> None:
        self.opened = 0
        self.received = 0
        self.size = 0
        self.changed = asyncio.Event()

    def on_accepted(self, link: WebSocketLink) -> None:
        pass

    def on_opened(self, link: WebSocketLink) -> None:
        self.opened += 1
        self.changed.set()

    def on_message(self, link: WebSocketLink, message: Message, size: int) -> None:
        self.received += 1
        self.size = size
        self.changed.set()

    def on_bad_message(self, link: WebSocketLink, error: MessageError) -> None:
        raise error

    def on_sent(self, message: Message, size: int) -> None:
        pass

    def on_closed(self, link: WebSocketLink) -> None:
        pass

    async def wait(self, check: Callable[[], bool]) -> None:
        while not check():
            self.changed.clear()
            await self.changed.wait()


async def _measure_links() -> list[list[str]]:
    counter = _LinkCounter()
    server = await serve_links(
        Address("127.0.0.1", 0),
        None,
        lambda: WebSocketLink(counter, number=0, is_client=False),
    )
    port = next(iter(server.sockets)).getsockname()[1]
    links = [WebSocketLink(counter, number=1, is_client=True) for _ in range(LINKS)]
    gc.collect()
    before, started = _read_rss_bytes(), time.process_time()
    for position, link in enumerate(links, start=1):
        link.open(Address("127.0.0.1", port), None)
        await counter.wait(lambda position=position: counter.opened >= position)  # type: ignore[misc]
    # Both ends of every link are in this process.
    memory = (_read_rss_bytes() - before) / LINKS / 2
    open_us = (time.process_time() - started) / LINKS / 2 * 1e6
    started = time.process_time()
    for number in range(MESSAGES):
        links[number % LINKS].send(Heartbeat(number, 123_456, number))
        await counter.wait(lambda number=number: counter.received > number)  # type: ignore[misc]
    heartbeat_us = (time.process_time() - started) / MESSAGES * 1e6
    for link in links:
        link.abort("measured")
    server.close()
    return [
        ["link, each end (CPU: opening it)", f"{memory:.0f}", f"{open_us:.0f}"],
        [
            "heartbeat sent and received, without TCP/IP headers",
            str(counter.size),
            f"{heartbeat_us:.0f}",
        ],
    ]


def _measure_memory_bytes(action: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    action()
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown


def _measure_cpu_us(action: Callable[[], Any], *, repeats: int = REPEATS) -> float:
    """Return the CPU time of one call in microseconds."""
    action()
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) / repeats * 1e6


def _format_mean(total: int, count: int) -> str:
    return f"{total / count:.0f}"


def _build_member(number: int) -> Member:
    return Member(
        vm=f"vm-{number:05d}",
        workspace="workspace",
        service=f"service-{number % SERVICES}",
        region=f"region-{number % 3}",
        availability_zone=f"zone-{number % 10}",
        host=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        peer_port=7001,
        control_port=7002,
        slots=6,
        incarnation=1_790_000_000_000 + number,
        sequence=3,
        state=MemberState.READY,
    )


def _build_snapshot(generation: int, deadline_ms: int) -> Snapshot:
    routes = [
        Route(
            id=f"route-{number}",
            host="*",
            prefix=f"/path-{number}",
            methods=[],
            service=f"service-{number % SERVICES}",
            idempotent=True,
            kind="call",
            deadline_ms=deadline_ms if number == 0 else 1000,
            retries=2,
            hedge_ms=None,
        )
        for number in range(ROUTES)
    ]
    services = {f"service-{number}": _POLICY for number in range(SERVICES)}
    return build_snapshot(
        workspace="workspace", generation=generation, services=services, routes=routes
    )


def _read_rss_bytes() -> float:
    return read_usage(os.getpid()).rss_mb * 1e6
