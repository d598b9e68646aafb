"""Check that an acknowledged departure of a backend server holds after restarts and outages."""

from __future__ import annotations

import asyncio
from typing import Any

import logbook
import pytest

from builders import build_heartbeat
from call_network import VirtualLoop, run_virtual
from direct_network import DirectMesh
from ibiswick._internal.direct.instances import (
    Departure,
    InstanceTable,
    LivenessCheck,
    Verdict,
)
from ibiswick._internal.shared.records import LocalInstance
from platform_documents import build_heartbeat_body

logbook.NullHandler().push_application()

SERVICES = ["counter", "counter", "archive"]
# The node whose backend server leaves in these tests.
LEAVING = 1
EARLIER = LocalInstance("i-1", "counter", 6, 2000, False)


def run_mesh(scenario: Any, *, services: list[str] = SERVICES) -> Any:
    """Run a scenario on a mesh in virtual time."""

    async def main(loop: VirtualLoop) -> Any:
        mesh = DirectMesh(loop, services)
        await mesh.start()
        return await scenario(mesh)

    return run_virtual(main)


def set_platform_reachable(mesh: DirectMesh, *, reachable: bool) -> None:
    for fetch in mesh.fetches:
        fetch.unreachable = not reachable
        fetch.wake()


def build_beat(mesh: DirectMesh, index: int, sequence: int, **changes: Any) -> dict[str, Any]:
    return build_heartbeat_body(
        service=mesh.services[index], sequence=sequence, born=mesh.born + index, **changes
    )


async def leave(mesh: DirectMesh, index: int, call: str) -> int:
    """Let a backend server announce that it leaves; return the status of the response."""
    mesh.sends_heartbeats[index] = False
    return await mesh.announce(index, call, build_beat(mesh, index, 90, state="draining"))


async def count_calls(mesh: DirectMesh, index: int) -> int:
    """Make calls through every node and return how many reach one backend server."""
    before = len(mesh.backends[index].seen)
    for number in range(12):
        await mesh.call(number % len(mesh.nodes), "/book/1/ok", f"x{number}", method="POST")
    return len(mesh.backends[index].seen) - before


@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
def test_a_departure_outlives_a_restart_of_all_nodes_in_an_outage(call: str) -> None:
    """Guard against a late heartbeat that makes a departed backend server available again.

    The case of review/5: while the object API is away, no process outlives the acknowledgement.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, int, int]:
        set_platform_reachable(mesh, reachable=False)
        await asyncio.sleep(0.5)
        status = await leave(mesh, LEAVING, call)
        for index in range(3):
            await mesh.kill(index)
        await asyncio.sleep(0.3)
        for index in range(3):
            await mesh.restart(index)
        await asyncio.sleep(0.7)
        set_platform_reachable(mesh, reachable=True)
        await asyncio.sleep(1.0)
        assert await mesh.announce(LEAVING, "heartbeat", build_beat(mesh, LEAVING, 89)) == 200
        await asyncio.sleep(2.0)
        return status, await count_calls(mesh, LEAVING), await count_calls(mesh, 0)

    assert run_mesh(scenario) == (200, 0, 12)


@pytest.mark.parametrize("is_up", [True, False])
@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
def test_a_departure_outlives_a_kill_right_after_its_acknowledgement(
    call: str, is_up: bool
) -> None:
    """Guard against an acknowledgement that is given before anything else holds the departure."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        set_platform_reachable(mesh, reachable=is_up)
        await asyncio.sleep(1.2)
        status = await leave(mesh, LEAVING, call)
        await mesh.kill(LEAVING)
        await asyncio.sleep(0.3)
        await mesh.restart(LEAVING)
        await asyncio.sleep(0.5)
        for sequence in (88, 89):
            await mesh.announce(LEAVING, "heartbeat", build_beat(mesh, LEAVING, sequence))
            await asyncio.sleep(1.0)
        return status, await count_calls(mesh, LEAVING)

    assert run_mesh(scenario) == (200, 0)


def test_a_departure_that_nobody_holds_is_not_acknowledged() -> None:
    """Guard against an acknowledgement that rests on the memory of one process."""

    async def scenario(mesh: DirectMesh) -> tuple[int, float, int]:
        set_platform_reachable(mesh, reachable=False)
        await asyncio.sleep(0.5)
        started = mesh.loop.now
        alone = await leave(mesh, 0, "deregister")
        took_s = mesh.loop.now - started
        set_platform_reachable(mesh, reachable=True)
        await asyncio.sleep(2.0)
        return alone, took_s, await leave(mesh, 0, "deregister")

    alone, took_s, later = run_mesh(scenario, services=["counter"])
    assert (alone, later) == (503, 200)
    # The response to an announcement counts if it arrives within 1 s.
    assert took_s < 1.0


def test_a_departure_during_the_start_is_written() -> None:
    """Guard against a departure that a new process acknowledges without knowing the instance."""

    async def scenario(mesh: DirectMesh) -> tuple[int, bool]:
        mesh.sends_heartbeats[LEAVING] = False
        await mesh.kill(LEAVING)
        await mesh.restart(LEAVING)
        await asyncio.sleep(0.05)
        status = await leave(mesh, LEAVING, "deregister")
        entry = mesh.store.get(f"meshnodes/vm-{LEAVING}")
        assert entry is not None
        return status, entry.value["leaving"]

    assert run_mesh(scenario) == (200, True)


def test_the_departure_of_an_unknown_instance_is_acknowledged_after_an_outage() -> None:
    """Guard against a node that has started in an outage and never acknowledges a departure."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        mesh.sends_heartbeats[LEAVING] = False
        set_platform_reachable(mesh, reachable=False)
        mesh.store.delete(f"meshnodes/vm-{LEAVING}")
        for index in range(3):
            await mesh.restart(index)
        await asyncio.sleep(0.5)
        early = await leave(mesh, LEAVING, "deregister")
        set_platform_reachable(mesh, reachable=True)
        await asyncio.sleep(1.5)
        return early, await leave(mesh, LEAVING, "deregister")

    assert run_mesh(scenario) == (503, 200)


def test_a_running_backend_server_is_used_soon_after_a_restart_in_an_outage() -> None:
    """Guard against backend servers that stay out of use because their node is careful."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        set_platform_reachable(mesh, reachable=False)
        for index in range(3):
            await mesh.restart(index)
        await asyncio.sleep(1.0)
        set_platform_reachable(mesh, reachable=True)
        await asyncio.sleep(3.5)
        return [len(found) for found in mesh.nodes[0].board.endpoints.value.values()]

    assert sorted(run_mesh(scenario)) == [1, 2]


def test_a_first_heartbeat_counts_when_the_object_api_responds() -> None:
    """Guard against a restart that keeps a backend server out of use for two heartbeats."""

    async def scenario(mesh: DirectMesh) -> bool:
        mesh.sends_heartbeats[LEAVING] = False
        await mesh.restart(LEAVING)
        await asyncio.sleep(0.5)
        await mesh.announce(LEAVING, "heartbeat", build_beat(mesh, LEAVING, 89))
        return mesh.nodes[LEAVING].board.instance.value is not None

    assert run_mesh(scenario)


def test_a_first_heartbeat_counts_in_a_later_era() -> None:
    """Guard against a node that trusts no first heartbeat once the store has been restored.

    Another node has sent the earlier record before the members are listed.
    """

    async def scenario(mesh: DirectMesh) -> bool:
        mesh.store.restore(mesh.store.copy())
        await asyncio.sleep(2.0)
        await mesh.restart(LEAVING)
        mesh.nodes[LEAVING].board.earlier_lookup_done.set(True)
        await asyncio.sleep(2.0)
        return mesh.nodes[LEAVING].board.departures_known.value

    assert run_mesh(scenario)


def test_two_heartbeats_that_arrive_together_prove_nothing() -> None:
    """Guard against late heartbeats that were held up together."""
    check = LivenessCheck()
    instance = EARLIER._replace(born=1000)
    check.note_heartbeat(build_heartbeat(born=1000, sequence=7), now=10.0)
    check.note_heartbeat(build_heartbeat(born=1000, sequence=8), now=10.1)
    assert not check.is_running(instance)
    check.note_heartbeat(build_heartbeat(born=1000, sequence=6), now=12.0)
    assert not check.is_running(instance)
    check.note_heartbeat(build_heartbeat(born=1000, sequence=9), now=12.1)
    assert check.is_running(instance)
    assert not check.is_running(EARLIER)
    check.note_heartbeat(build_heartbeat(born=2000, sequence=10), now=14.0)
    assert not check.is_running(EARLIER)


@pytest.mark.parametrize("is_known_first", [True, False])
def test_a_start_before_that_of_the_earlier_process_is_late(is_known_first: bool) -> None:
    """Guard against a restarted node that takes a crashed start for the current one."""
    table = InstanceTable()
    if is_known_first:
        table.note_earlier_instance(EARLIER)
    verdict = table.note_heartbeat(build_heartbeat(instance="i-0", born=1000, sequence=9))
    if not is_known_first:
        table.note_earlier_instance(EARLIER)
    assert table.current is None
    assert (verdict is Verdict.LATE) == is_known_first


@pytest.mark.parametrize("is_known_first", [True, False])
@pytest.mark.parametrize("born", [None, 2000])
def test_the_departure_of_the_earlier_start_is_announced(
    born: int | None, is_known_first: bool
) -> None:
    """Guard against a departure that only the memory of the new process holds."""
    table = InstanceTable()
    if is_known_first:
        table.note_earlier_instance(EARLIER)
    table.note_departure(Departure("i-1", born), now_ms=9_000_000)
    if not is_known_first:
        table.note_earlier_instance(EARLIER)
    assert table.current == EARLIER._replace(leaving=True)
