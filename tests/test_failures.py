"""Check, on whole nodes, failures that operators of similar systems have reported.

docs/decisions/failures.md names what prevents each of them here.
"""

from __future__ import annotations

import asyncio
import random
import tracemalloc
from typing import Any
from unittest import mock

import logbook
import pytest

from builders import build_node_record
from call_network import VirtualLoop, run_virtual
from direct_network import ENDLESS_RESPONSES, DirectMesh, build_request
from ibiswick._internal.calls.buffering import BufferLedger
from ibiswick._internal.calls.connections import MAX_RESPONSE_HEAD_BYTES
from ibiswick._internal.calls.pressure import compute_buffer_limit
from ibiswick._internal.direct.exchange import EXCHANGE_PATH, ExchangeMessage, encode_message
from ibiswick._internal.direct.policies import MAX_BUFFERED_RESPONSE_BYTES
from ibiswick._internal.shared.errors import NotSentError, UnacknowledgedError

logbook.NullHandler().push_application()

# Memory that endless responses may take in a process on the smallest VM, beyond its normal use.
MAX_GROWTH_BYTES = 100 * 1024 * 1024
# Behaviours that send endless bytes as the content of a response.
CONTENT = ("endless-small-chunks", "endless-body", "endless-unframed")
# A response may be later than its deadline by this time, which covers the way through both nodes.
DEADLINE_MARGIN_S = 0.1


class RawClient(asyncio.Protocol):
    """Collect what a node sends."""

    def __init__(self) -> None:
        self.received = b""
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data


def run_mesh(services: list[str], scenario: Any, *, zones: int = 2) -> Any:
    """Run a scenario on a mesh of nodes in virtual time."""

    async def main(loop: VirtualLoop) -> Any:
        mesh = DirectMesh(loop, services, zones=zones)
        await mesh.start()
        return await scenario(mesh)

    return run_virtual(main)


@pytest.mark.parametrize("behaviour", sorted(ENDLESS_RESPONSES))
def test_bytes_without_end_harm_no_other_call(behaviour: str) -> None:
    """Guard against a faulty backend server whose bytes use the memory or time of other calls."""

    async def scenario(mesh: DirectMesh) -> tuple[int, float, int, int, list[int]]:
        backend = mesh.backends[0]
        started = mesh.loop.time()
        client = await mesh.call(0, f"/book/1/{behaviour}", "a1", method="POST")
        elapsed_s = mesh.loop.time() - started
        await asyncio.sleep(0.1)
        after = [
            (await mesh.call(0, "/book/1/ok", f"b{n}", method="POST")).status for n in range(3)
        ]
        return client.status, elapsed_s, backend.closed_endless, backend.endless_bytes, after

    status, elapsed_s, closed, sent, after = run_mesh(["counter"], scenario)
    assert status in (502, 504)
    assert elapsed_s <= 1.0 + DEADLINE_MARGIN_S
    assert closed == 1
    # Bytes outside the content are cut off at the size limit of a head.
    kept = MAX_BUFFERED_RESPONSE_BYTES if behaviour in CONTENT else 0
    assert sent <= kept + 4 * MAX_RESPONSE_HEAD_BYTES
    assert after == [200] * 3


def test_many_endless_bodies_stay_within_the_memory_of_a_node() -> None:
    """Guard against a process that runs out of memory because each slot collects a large body."""

    async def scenario(mesh: DirectMesh) -> tuple[set[int], int]:
        tracemalloc.start()
        calls = [
            mesh.call(0, "/book/1/endless-body", f"a{n}", method="POST")
            for n in range(6 * len(mesh.nodes))
        ]
        clients = await asyncio.gather(*calls)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return {client.status for client in clients}, peak

    statuses, peak = run_mesh(["counter"] * 3, scenario)
    assert statuses <= {502, 503, 504}
    # Three nodes, each for callers and a backend server, share this process with the fake servers.
    assert peak <= MAX_GROWTH_BYTES * 3
    assert compute_buffer_limit(0) <= MAX_GROWTH_BYTES


def test_bodies_that_are_given_up_make_room_for_others() -> None:
    """Guard against a buffer ledger that shrinks with each failed response."""
    budget = BufferLedger(limit=10)
    assert budget.reserve(6)
    assert not budget.reserve(6)
    budget.release(6)
    assert budget.reserve(10)


MALFORMED = (
    b"",
    b"\r\n\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"GET /read/1/ok HTTP/1.1\r\nHost: ficu95.example\r\nContent-Length: -1\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
    b"POST /exchange HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /instances/i-0/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n[]",
    b"POST /instances/i-0/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nnull",
    b"POST /instances//heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
    b"A" * 200_000,
)


def list_ports(mesh: DirectMesh) -> list[int]:
    settings = mesh.nodes[0].settings
    addresses = (
        settings.caller,
        settings.peer,
        settings.readiness,
        settings.registry,
        settings.exchange,
    )
    return [address.port for address in addresses]


def test_malformed_bytes_end_no_process() -> None:
    """Guard against one message or one unexpected error that ends a node's process."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], bool]:
        rng = random.Random(4711)
        messages = [*MALFORMED, *(rng.randbytes(rng.randrange(1, 400)) for _ in range(20))]
        for port in list_ports(mesh):
            for message in messages:
                client = await mesh.connect(port)
                assert client is not None
                client.transport.write(message)
                await asyncio.sleep(0.001)
                client.transport.abort()
        statuses = [
            (await mesh.call(n % 2, "/book/1/ok", f"a{n}", method="POST")).status for n in range(4)
        ]
        return statuses, any(task.done() for task in mesh.tasks)

    assert run_mesh(["counter", "counter"], scenario) == ([200] * 4, False)


OUT_OF_RANGE_RECORDS = (
    {"slots": -7},
    {"slots": 10**6, "host": "not an address"},
    {"peer_port": 10**9},
    {"incarnation": 2**62, "accepting": False},
    {"born": -1, "instance": "i-1\r\nHost: x"},
    {"link_bytes_per_s": -5},
    {"service": ""},
)


@pytest.mark.parametrize("change", OUT_OF_RANGE_RECORDS)
def test_a_valid_message_with_values_out_of_range_stops_no_calls(change: dict[str, Any]) -> None:
    """Guard against a record of one node that breaks the choice of endpoints on all others."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        record = build_node_record(vm="vm-9", service="counter", incarnation=5)._replace(**change)
        node = mesh.nodes[0]
        message = ExchangeMessage("vm-9", 0, "", False, b"", records=(record,))
        body = encode_message(message)
        head = (
            f"POST {EXCHANGE_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        ).encode()
        client = await mesh.connect(node.settings.exchange.port)
        assert client is not None
        client.transport.write(head + body)
        await client.done
        # Calls that are sent to the record's endpoint fail, and the endpoint is ejected.
        for number in range(6):
            await mesh.call(0, "/read/1/ok", f"r{number}")
        return [(await mesh.call(0, "/book/1/ok", f"b{n}", method="POST")).status for n in range(6)]

    assert run_mesh(["counter", "counter"], scenario) == [200] * 6


def test_requests_read_at_the_moment_of_the_stop_are_answered() -> None:
    """Guard against a planned stop that cuts off requests that have just been accepted.

    Requests arrive just before and after the signal, several on each connection.
    """

    async def scenario(mesh: DirectMesh) -> list[bytes]:
        answers = []
        for number in range(12):
            client = RawClient()
            await mesh.loop.create_connection(
                lambda client=client: client, "127.0.0.1", mesh.nodes[0].settings.caller.port
            )
            requests = [build_request("/read/1/ok", f"p{number}-{part}") for part in range(3)]
            client.transport.write(b"".join(requests))
            if number == 5:
                mesh.nodes[0].board.drain_requested.set(True)
            answers.append(client)
        await mesh.tasks[0]
        return [client.received for client in answers]

    for received in run_mesh(["counter", "counter", "archive"], scenario):
        # Requests without an answer follow one whose answer closes the connection.
        answers = received.count(b"HTTP/1.1 200") + received.count(b"HTTP/1.1 503")
        assert answers >= 1
        assert answers == 3 or b"connection: close" in received.lower()


def test_a_silent_node_stays_an_endpoint_and_its_calls_run_on() -> None:
    """Guard against repeating running work because its node is slow to report."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int, int]:
        silent = mesh.nodes[1]
        running = asyncio.create_task(mesh.call(0, "/upload/1/slow", "a1", method="POST"))
        await asyncio.sleep(0.05)
        mesh.loop.silence(silent.settings.exchange.port)
        mesh.fetches[1].unreachable = True
        client = await running
        await asyncio.sleep(20)
        known = sum(len(found) for found in mesh.nodes[0].board.endpoints.value.values())
        return client.status, mesh.count_runs("a1"), known

    assert run_mesh(["counter", "archive"], scenario) == (200, 1, 2)


BURST = 8


async def make_bursts(mesh: DirectMesh, prefix: str) -> None:
    """Make bursts of calls, each of which needs the slots of two backend servers."""
    for burst in range(40):
        calls = [mesh.call(0, "/read/1/ok", f"{prefix}{burst}-{n}") for n in range(BURST)]
        await asyncio.gather(*calls)
        await asyncio.sleep(0.1)


def test_calls_avoid_a_vm_that_has_gone_silent() -> None:
    """Guard against calls that are lost one after the other at a VM without power.

    Until power is back, its connections acknowledge nothing and new ones can't be opened.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, int, int]:
        outbound = mesh.nodes[0]._outbound
        exchange = outbound._exchange
        port = mesh.nodes[1].settings.peer.port
        is_power_off = True
        attempts = 0

        async def lose(remote: Any, request: Any, limits: Any) -> Any:
            nonlocal attempts
            if is_power_off and remote.port == port:
                if limits.expected_id is None:
                    raise NotSentError("cannot connect")
                attempts += 1
                await asyncio.sleep(0.3)
                raise UnacknowledgedError("the connection was lost: timed out")
            return await exchange(remote, request, limits)

        with mock.patch.object(outbound, "_exchange", lose):
            await make_bursts(mesh, "a")
            lost = attempts
            is_power_off = False
            runs = mesh.backends[1].runs.total()
            await make_bursts(mesh, "b")
        return lost, runs, mesh.backends[1].runs.total()

    # In one zone, so that both counters get calls.
    lost, before, after = run_mesh(["counter", "counter", "archive"], scenario, zones=1)
    # Only calls of the first burst are lost, before the fault is known.
    assert 1 <= lost <= BURST
    assert after > before
