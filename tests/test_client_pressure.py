"""Test that clients that nobody controls can't exhaust the memory or descriptors of a node.

Nodes run as processes, so the memory counted is that of the kernel. The bound is `memory_mb` of the
settings. Nothing is said about times and shares of served requests.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from node_processes import (
    EXCHANGE_PORT,
    PORTS,
    ProcessMesh,
    build_call,
    open_crowd,
    run_mesh,
)

# The base of a process is about 30 MB.
MEMORY_MB = 100
MAX_FDS = 256
PRESSURE_S = 3.0
ANSWER_LIMIT_S = 15.0
LARGE_ANSWER_BYTES = 8_000_000

PORTS_OF_NODE = {
    "caller": PORTS["caller"],
    "peer": PORTS["peer"],
    "registry": PORTS["registry"],
    "exchange": EXCHANGE_PORT,
}


def check_nodes(mesh: ProcessMesh, *, max_fds: int = MAX_FDS) -> None:
    """Check that both processes live within their memory and descriptors."""
    for node in mesh.nodes:
        assert node.is_running, node.read_log()[-2000:]
        usage = node.read_usage()
        assert usage.peak_mb < MEMORY_MB, (node.service, usage)
        assert usage.descriptors < max_fds, (node.service, usage)


async def apply_pressure(mesh: ProcessMesh, *, max_fds: int = MAX_FDS) -> None:
    """Wait while the clients press, then check the nodes, and that a request is answered."""
    await asyncio.sleep(PRESSURE_S)
    check_nodes(mesh, max_fds=max_fds)
    await mesh.wait_answer(limit_s=ANSWER_LIMIT_S)
    check_nodes(mesh, max_fds=max_fds)


def find_target(mesh: ProcessMesh, port_name: str) -> tuple[str, int]:
    """Return the address of a port, of the node beside the backend server if callers have none."""
    node = mesh.front if port_name == "caller" else mesh.back
    return node.host, PORTS_OF_NODE[port_name]


def run_pressure(
    directory: Path,
    kinds: list[tuple[bytes, bytes]],
    *,
    clients: int,
    max_fds: int = MAX_FDS,
    port_names: list[str] | None = None,
) -> None:
    """Let clients press on ports, each with first bytes and bytes that it repeats."""

    async def scenario() -> None:
        async with run_mesh(directory, memory_mb=MEMORY_MB, max_fds=max_fds) as mesh:
            with contextlib.ExitStack() as stack:
                for port_name in port_names or PORTS_OF_NODE:
                    for first, further in kinds:
                        crowd = stack.enter_context(open_crowd())
                        host, port = find_target(mesh, port_name)
                        await crowd.connect(host, port, count=clients, first=first)
                        if further:
                            crowd.send_often(further, interval_s=0.02)
                await apply_pressure(mesh, max_fds=max_fds)

    asyncio.run(scenario())


@pytest.mark.parametrize("reads", [False, True])
def test_large_answers_that_are_not_read_stay_within_the_memory(
    tmp_path: Path, reads: bool
) -> None:
    """Guard against one held answer for each of many callers that read slowly or not at all."""

    async def scenario() -> None:
        async with run_mesh(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as mesh:
            with open_crowd() as crowd:
                await crowd.connect(
                    mesh.front.host,
                    PORTS["caller"],
                    count=60,
                    first=lambda: build_call(size=LARGE_ANSWER_BYTES),
                )
                if reads:
                    crowd.read_slowly(duration_s=0.001, interval_s=0.3)
                await apply_pressure(mesh)

    asyncio.run(scenario())


def test_pipelined_requests_with_large_answers_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against finished answers that wait behind one that is not read."""

    async def scenario() -> None:
        async with run_mesh(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as mesh:
            with open_crowd() as crowd:
                await crowd.connect(
                    mesh.front.host,
                    PORTS["caller"],
                    count=20,
                    first=lambda: build_call(size=2_000_000, count=40),
                )
                await apply_pressure(mesh)

    asyncio.run(scenario())


def test_unread_answers_of_the_other_ports_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against pipelined requests on the ports that callers are not meant to use."""
    requests = b"GET /none HTTP/1.1\r\nhost: x\r\n\r\n" * 200
    run_pressure(
        tmp_path, [(requests, requests)], clients=60, port_names=["peer", "registry", "exchange"]
    )


def test_large_answers_of_the_peer_port_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against answers that are held for clients of the port between nodes."""
    node_headers = b"Ibiswick-Call: c\r\nIbiswick-Service: counter\r\n\r\n"
    call = build_call(size=LARGE_ANSWER_BYTES).removesuffix(b"\r\n") + node_headers
    run_pressure(tmp_path, [(call, b"")], clients=50, port_names=["peer"])


HEADS = [
    # Neither ends: the first stays under the limit of 16 KiB, the others go over it.
    (b"GET / HTTP/1.1\r\nhost: x\r\n" + b"a: b\r\n" * 2500, b""),
    (b"GET / HTTP/1.1\r\nhost: x\r\n", b"a: b\r\n" * 1000),
    (b"GET / HTTP/1.1\r\nhost: x\r\na: ", b"b" * 8000),
    (b"GET /", b"b" * 8000),
]


def test_heads_without_end_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against heads that are held without a limit of their bytes."""
    run_pressure(tmp_path, HEADS, clients=50, max_fds=1024)


def test_empty_lines_without_end_do_not_keep_connections(tmp_path: Path) -> None:
    """Guard against bytes before a request that no limit of size or time counts."""

    async def scenario() -> None:
        async with run_mesh(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as mesh:
            before = [node.read_usage().descriptors for node in mesh.nodes]
            with open_crowd() as crowd:
                for port_name in PORTS_OF_NODE:
                    await crowd.connect(*find_target(mesh, port_name), count=40)
                crowd.send_often(b"\r\n" * 2000, interval_s=0.02)
                await apply_pressure(mesh)
                # Each has sent several times the limit of a head.
                for node, count in zip(mesh.nodes, before, strict=True):
                    assert node.read_usage().descriptors < count + 20

    asyncio.run(scenario())


def test_bodies_of_a_few_bytes_at_a_time_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against the overhead of many small parts of a body."""
    first = (
        b"POST /read/x HTTP/1.1\r\nHost: ficu95.example\r\nIbiswick-Call: c\r\n"
        b"Ibiswick-Service: counter\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    run_pressure(tmp_path, [(first, b"2\r\nxy\r\n" * 500)], clients=60)


def test_large_bodies_for_a_slow_backend_server_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against bodies that are held whole for many calls at a time."""

    async def scenario() -> None:
        async with run_mesh(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as mesh:
            head = b"POST /upload/x HTTP/1.1\r\nHost: ficu95.example\r\nIbiswick-Attempt-Id: a-%d"
            with open_crowd() as crowd:
                for number in range(60):
                    await crowd.connect(
                        mesh.front.host,
                        PORTS["caller"],
                        count=1,
                        first=head % number + b"\r\nContent-Length: 8000000\r\n\r\n",
                    )
                crowd.send_often(b"x" * 500_000, interval_s=0.02)
                await apply_pressure(mesh)

    asyncio.run(scenario())


def test_bodies_without_end_for_other_nodes_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against messages between nodes that are held whole before anything is known of them."""
    first = b"POST /exchange HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000\r\n\r\n"
    run_pressure(
        tmp_path,
        [(first + b"x" * 3_900_000, b"")],
        clients=50,
        max_fds=1024,
        port_names=["exchange"],
    )


def test_connections_that_are_left_do_not_use_up_descriptors(tmp_path: Path) -> None:
    """Guard against clients that take the descriptors that the node needs for itself."""
    run_pressure(tmp_path, [(b"", b"")], clients=MAX_FDS + 50)


def test_an_answer_within_the_limits_is_served_to_a_steady_reader(tmp_path: Path) -> None:
    """Guard against limits that cut an answer although the process is not under pressure."""

    async def scenario() -> int:
        async with run_mesh(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as mesh:
            reader, writer = await asyncio.open_connection(mesh.front.host, PORTS["caller"])
            writer.write(build_call(size=LARGE_ANSWER_BYTES))
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            await reader.readuntil(b"\r\n\r\n")
            size_bytes = 0
            while size_bytes < LARGE_ANSWER_BYTES and (part := await reader.read(40_000)):
                size_bytes += len(part)
                await asyncio.sleep(0.01)
            writer.transport.abort()
            check_nodes(mesh)
            return size_bytes

    assert asyncio.run(scenario()) == LARGE_ANSWER_BYTES
