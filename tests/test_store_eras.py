"""Check nodes when the store of the object API is restored from an older copy.

Writes after the copy are lost, and their revisions are assigned again to other writes. Complete
nodes run in virtual time; the store is a stand-in.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import logbook
import pytest

from call_network import VirtualLoop, run_virtual
from direct_network import DirectMesh
from ibiswick._internal.direct.members import NodeRecord, parse_record
from ibiswick._internal.direct.plane import MEMBERS_PREFIX
from ibiswick._internal.direct.reading import CONFIRM_MIN_S
from ibiswick._internal.platform.configuration import CONFIGURATION_KEY
from platform_documents import build_configuration, build_heartbeat_body

logbook.NullHandler().push_application()

SERVICES = ["counter", "counter", "archive"]
# Lost entries have to be written again within this time after the store is reachable.
RESTORE_LIMIT_S = 2.0
OUTAGE_S = 0.5
FOREIGN_KEY = "others/x"


def run_mesh(scenario: Any, services: list[str] = SERVICES) -> Any:
    """Run a scenario on a mesh in virtual time."""

    async def main(loop: VirtualLoop) -> Any:
        mesh = DirectMesh(loop, services)
        await mesh.start()
        return await scenario(mesh)

    return run_virtual(main)


def set_store_reachable(mesh: DirectMesh, *, reachable: bool) -> None:
    for fetch in mesh.fetches:
        fetch.unreachable = not reachable
        fetch.wake()


async def restore(mesh: DirectMesh, copy: Any, *, writes: int = 0) -> None:
    """Interrupt the store and restore it from a copy, with other writes at the lost revisions."""
    set_store_reachable(mesh, reachable=False)
    await asyncio.sleep(OUTAGE_S)
    mesh.store.restore(copy)
    for number in range(writes):
        mesh.store.put(FOREIGN_KEY, number)
    set_store_reachable(mesh, reachable=True)


def list_generations(mesh: DirectMesh) -> list[int]:
    snapshots = [node.board.snapshot.value for node in mesh.nodes]
    return [snapshot.generation if snapshot is not None else 0 for snapshot in snapshots]


def read_entry(mesh: DirectMesh, index: int) -> NodeRecord | None:
    found = mesh.store.get(MEMBERS_PREFIX + f"vm-{index}")
    return parse_record(found.value) if found is not None else None


def list_endpoints(mesh: DirectMesh, index: int) -> set[str]:
    found = mesh.nodes[index].board.endpoints.value.values()
    return {endpoint.vm for endpoints in found for endpoint in endpoints}


@pytest.mark.parametrize("writes", [0, 1, 30])
def test_a_version_written_at_a_reassigned_revision_is_seen(writes: int) -> None:
    """Guard against a node that mistakes a revision of the new era for one that it has read."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        copy = mesh.store.copy()
        mesh.write_configuration("0000000d")
        await asyncio.sleep(2)
        await restore(mesh, copy, writes=writes)
        mesh.write_configuration("0000000e")
        await asyncio.sleep(2)
        return list_generations(mesh)

    assert run_mesh(scenario) == [14, 14, 14]


def test_the_configuration_in_effect_does_not_move_back() -> None:
    """Guard against nodes that return to the older copy, also if they start after the restore."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        copy = mesh.store.copy()
        mesh.write_configuration("0000000d")
        await asyncio.sleep(2)
        await restore(mesh, copy)
        await mesh.restart(0)
        await asyncio.sleep(3)
        return list_generations(mesh)

    assert run_mesh(scenario) == [13, 13, 13]


def test_lost_entries_are_back_soon() -> None:
    """Guard against the loss of entries that are missing in the copy."""

    async def scenario(mesh: DirectMesh) -> tuple[list[bool], set[str], int]:
        copy = mesh.store.copy()
        for index in range(len(SERVICES)):
            record = read_entry(mesh, index)
            assert record is not None
        empty = mesh.store.copy()
        empty.restore(type(mesh.store)())
        empty.put(CONFIGURATION_KEY, build_configuration("0000000c"))
        await restore(mesh, empty, writes=copy.revision + 5)
        calls = sum(len(fetch.calls) for fetch in mesh.fetches)
        await asyncio.sleep(RESTORE_LIMIT_S)
        made = sum(len(fetch.calls) for fetch in mesh.fetches) - calls
        found = [read_entry(mesh, index) is not None for index in range(len(SERVICES))]
        return found, list_endpoints(mesh, 0), made

    found, known, made = run_mesh(scenario)
    assert found == [True] * 3
    assert known == {"vm-0", "vm-1", "vm-2"}
    # Each node lists two kinds of objects, watches them a few times and writes one entry.
    assert made < 4 * 20


@pytest.mark.parametrize("is_killed", [False, True])
def test_a_leaving_backend_server_stays_gone(is_killed: bool) -> None:
    """Guard against an entry that keeps a departed backend server available after a restore.

    The node of the backend server writes the entry again, or other nodes do if that node is gone.
    """

    async def scenario(mesh: DirectMesh) -> tuple[bool, bool, set[str]]:
        copy = mesh.store.copy()
        leaving = build_heartbeat_body(
            service="counter", sequence=99, born=1_000_001, state="draining"
        )
        mesh.sends_heartbeats[1] = False
        await mesh.announce(1, "heartbeat", leaving)
        await asyncio.sleep(1)
        if is_killed:
            await mesh.kill(1)
        await restore(mesh, copy, writes=10)
        await asyncio.sleep(RESTORE_LIMIT_S)
        record = read_entry(mesh, 1)
        assert record is not None
        return record.leaving, record.accepting, list_endpoints(mesh, 0)

    assert run_mesh(scenario) == (True, False, {"vm-0", "vm-2"})


def test_a_node_that_starts_after_a_restore_knows_that_its_backend_server_leaves() -> None:
    """Guard against a process that trusts an entry written before the backend server left."""

    async def scenario(mesh: DirectMesh) -> list[set[str]]:
        copy = mesh.store.copy()
        leaving = build_heartbeat_body(
            service="counter", sequence=99, born=1_000_001, state="draining"
        )
        mesh.sends_heartbeats[1] = False
        await mesh.announce(1, "heartbeat", leaving)
        await asyncio.sleep(1)
        await mesh.kill(1)
        await restore(mesh, copy, writes=10)
        await mesh.restart(1)
        seen = []
        late = build_heartbeat_body(service="counter", sequence=98, born=1_000_001)
        for _ in range(20):
            await mesh.announce(1, "heartbeat", late)
            await asyncio.sleep(0.1)
            seen.append(list_endpoints(mesh, 0) | list_endpoints(mesh, 1))
        return seen

    assert not any("vm-1" in known for known in run_mesh(scenario))


def test_a_change_after_a_restore_is_written() -> None:
    """Guard against a conditional write with a revision of the former era."""

    async def scenario(mesh: DirectMesh) -> tuple[bool, str]:
        copy = mesh.store.copy()
        more = build_heartbeat_body(service="counter", sequence=90, born=1_000_001, capacity=7)
        await mesh.announce(1, "heartbeat", more)
        await asyncio.sleep(1)
        await restore(mesh, copy, writes=10)
        await asyncio.sleep(RESTORE_LIMIT_S)
        mesh.sends_heartbeats[1] = False
        born = 1_000_001
        leaving = build_heartbeat_body(service="counter", sequence=99, born=born, state="draining")
        await mesh.announce(1, "heartbeat", leaving)
        await asyncio.sleep(1)
        record = read_entry(mesh, 1)
        assert record is not None
        return record.leaving, record.instance

    assert run_mesh(scenario) == (True, "i-1")


def test_two_restores_in_a_row_lose_nothing() -> None:
    """Guard against a second restore while the losses of the first are still being written."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], list[bool], int]:
        copy = mesh.store.copy()
        mesh.write_configuration("0000000d")
        await asyncio.sleep(1.5)
        await restore(mesh, copy, writes=3)
        await asyncio.sleep(0.4)
        await restore(mesh, copy, writes=3)
        mesh.write_configuration("0000000f")
        await asyncio.sleep(RESTORE_LIMIT_S)
        entries = [read_entry(mesh, index) is not None for index in range(len(SERVICES))]
        return list_generations(mesh), entries, mesh.nodes[0].board.store_era.value

    assert run_mesh(scenario) == ([15, 15, 15], [True] * 3, 3)


def test_a_node_that_was_cut_off_learns_of_the_new_era_later() -> None:
    """Guard against a node that continues with revisions of the former era."""

    async def scenario(mesh: DirectMesh) -> tuple[int, list[int]]:
        copy = mesh.store.copy()
        mesh.fetches[2].unreachable = True
        mesh.fetches[2].wake()
        mesh.write_configuration("0000000d")
        await asyncio.sleep(2)
        for fetch in mesh.fetches[:2]:
            fetch.unreachable = True
            fetch.wake()
        mesh.store.restore(copy)
        for fetch in mesh.fetches[:2]:
            fetch.unreachable = False
        await asyncio.sleep(3)
        mesh.fetches[2].unreachable = False
        mesh.write_configuration("0000000e")
        await asyncio.sleep(2)
        return mesh.nodes[2].board.store_era.value, list_generations(mesh)

    assert run_mesh(scenario) == (2, [14, 14, 14])


def test_a_wrong_era_of_another_node_harms_nobody() -> None:
    """Guard against one damaged message after which every response of the store seems too old."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], list[int], int]:
        calls = sum(len(fetch.calls) for fetch in mesh.fetches)
        mesh.nodes[0].board.store_era.value = 1 << 60
        await asyncio.sleep(3)
        mesh.nodes[0].board.store_era.value = 1
        made = sum(len(fetch.calls) for fetch in mesh.fetches) - calls
        mesh.write_configuration("0000000d")
        await asyncio.sleep(2)
        eras = [node.board.store_era.value for node in mesh.nodes]
        return list_generations(mesh), eras, made

    generations, eras, made = run_mesh(scenario)
    assert generations == [13, 13, 13]
    assert eras == [1, 1, 1]
    assert made < 15


def test_a_restore_without_an_outage_is_noticed_by_what_other_nodes_tell() -> None:
    """Guard against a watch that does not notice a restore for up to 20 s."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        copy = mesh.store.copy()
        mesh.write_configuration("0000000d")
        await asyncio.sleep(2)
        mesh.store.restore(copy)
        # One node learns of the restore by a read.
        await mesh.nodes[0].plane._read_own_entry(MEMBERS_PREFIX + "vm-0")
        await asyncio.sleep(3)
        return [node.board.store_era.value for node in mesh.nodes]

    assert run_mesh(scenario) == [2, 2, 2]


def test_a_store_that_names_no_era_has_one_for_ever() -> None:
    """Guard against nodes that list everything repeatedly if responses name no era."""

    async def scenario(mesh: DirectMesh) -> tuple[list[str], int]:
        for fetch in mesh.fetches:
            fetch.names_era = False
            fetch.calls.clear()
        await asyncio.sleep(10)
        targets = [target for fetch in mesh.fetches for _, target in fetch.calls]
        return targets, len(list_endpoints(mesh, 0))

    targets, known = run_mesh(scenario)
    assert known == 3
    # Each node confirms its configuration by a short watch; nothing is listed.
    assert [target for target in targets if "watch=" not in target] == []
    assert len(targets) <= len(SERVICES) * 10 / CONFIRM_MIN_S


@pytest.mark.parametrize("seed", range(24))
def test_copies_and_restores_at_random_lose_nothing(seed: int) -> None:
    """Guard against losses in any order of changes, departures, restarts, copies and restores.

    The expected state is the highest configuration that was in effect, and the set of backend
    servers that have announced that they leave.
    """

    async def scenario(mesh: DirectMesh) -> tuple[list[int], int, set[str], set[str], list[bool]]:
        rng = random.Random(seed)
        copies = [mesh.store.copy()]
        version, left = 12, set()
        for step in range(10):
            action = rng.choice(("change", "leave", "copy", "restore", "restart", "pass"))
            index = rng.randrange(len(mesh.services))
            if action == "change":
                version += rng.randint(1, 3)
                mesh.write_configuration(f"{version:08x}")
                await asyncio.sleep(2)
            elif action == "leave" and len(left) < 2:
                left.add(f"vm-{index}")
                mesh.sends_heartbeats[index] = False
                beat = build_heartbeat_body(
                    service=mesh.services[index],
                    sequence=1000 + step,
                    born=1_000_000 + index,
                    state="draining",
                )
                await mesh.announce(index, "heartbeat", beat)
                await asyncio.sleep(1)
            elif action == "copy":
                copies.append(mesh.store.copy())
            elif action == "restore":
                await restore(mesh, rng.choice(copies), writes=rng.randrange(20))
            elif action == "restart":
                await mesh.restart(index)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
        # Other backend servers announce themselves every 1.5 s to the node beside them.
        await asyncio.sleep(2 * RESTORE_LIMIT_S)
        known = {vm for index in range(len(mesh.nodes)) for vm in list_endpoints(mesh, index)}
        entries = [read_entry(mesh, index) for index in range(len(mesh.nodes))]
        return (
            list_generations(mesh),
            version,
            known,
            left,
            [record is not None and record.accepting for record in entries],
        )

    services = ["counter", "counter", "archive", "archive"]
    generations, version, known, left, accepting = run_mesh(scenario, services)
    assert generations == [version] * len(services)
    names = [f"vm-{index}" for index in range(len(services))]
    assert known == set(names) - left
    assert accepting == [name not in left for name in names]
