"""Check configuration and members of nodes that read the object API themselves, under faults."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from builders import build_node_record
from call_network import VirtualLoop, run_virtual
from direct_network import DirectMesh
from ibiswick._internal.direct.exchange import (
    ExchangeMessage,
    compute_members_digest,
    decode_message,
    encode_message,
)
from ibiswick._internal.direct.members import MemberTable, parse_record
from ibiswick._internal.direct.plane import MEMBERS_PREFIX
from ibiswick._internal.platform.configuration import CONFIGURATION_KEY
from ibiswick._internal.shared.errors import MessageError
from platform_documents import build_beat, build_configuration

logbook.NullHandler().push_application()

SERVICES = ["counter", "counter", "archive"]


def run_mesh(scenario: Any) -> Any:
    """Run a scenario on a mesh in virtual time."""

    async def main(loop: VirtualLoop) -> Any:
        mesh = DirectMesh(loop, SERVICES)
        await mesh.start()
        return await scenario(mesh)

    return run_virtual(main)


def list_generations(mesh: DirectMesh) -> list[int]:
    snapshots = [node.board.snapshot.value for node in mesh.nodes]
    return [snapshot.generation if snapshot is not None else 0 for snapshot in snapshots]


def count_endpoints(mesh: DirectMesh, index: int) -> int:
    return sum(len(found) for found in mesh.nodes[index].board.endpoints.value.values())


def set_platform(mesh: DirectMesh, *, up: bool) -> None:
    for fetch in mesh.fetches:
        fetch.unreachable = not up
        fetch.wake()


def test_a_configuration_is_in_effect_within_its_bound() -> None:
    """Guard against a version that some node does not have when its bound ends."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        for version in ("0000000d", "0000000e", "00000011"):
            mesh.write_configuration(version)
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.9)
        return list_generations(mesh)

    assert run_mesh(scenario) == [17, 17, 17]


def test_an_older_or_malformed_configuration_changes_nothing() -> None:
    """Guard against a node that moves back, or that loses what is in effect."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        mesh.write_configuration("00000003")
        await asyncio.sleep(2)
        mesh.write_configuration("00000020", clusters=[])
        await asyncio.sleep(2)
        mesh.store.put(CONFIGURATION_KEY, "not a configuration")
        await asyncio.sleep(2)
        return list_generations(mesh)

    assert run_mesh(scenario) == [12, 12, 12]


def test_a_foreign_member_harms_nobody() -> None:
    """Guard against calls to what another writer has left among the members."""

    async def scenario(mesh: DirectMesh) -> int:
        mesh.store.put(MEMBERS_PREFIX + "vm-8", "text")
        mesh.store.put(MEMBERS_PREFIX + "vm-9", build_node_record(vm="vm-1")._asdict())
        for fetch in mesh.fetches:
            fetch.wake()
        await asyncio.sleep(2)
        return count_endpoints(mesh, 0)

    assert run_mesh(scenario) == 3


def test_what_is_known_stays_while_the_platform_is_away() -> None:
    """Guard against lists that are emptied because a read failed."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        set_platform(mesh, up=False)
        await asyncio.sleep(60)
        client = await mesh.call(0, "/book/1/ok", "a1", method="POST")
        return count_endpoints(mesh, 0), client.status

    assert run_mesh(scenario) == (3, 200)


def test_a_node_that_restarts_during_an_outage_hears_everything_from_others() -> None:
    """Guard against a node that serves nothing until the platform is back."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], int, int]:
        set_platform(mesh, up=False)
        await asyncio.sleep(1)
        await mesh.restart(0)
        await asyncio.sleep(6)
        client = await mesh.call(0, "/book/1/ok", "a1", method="POST")
        return list_generations(mesh), count_endpoints(mesh, 0), client.status

    assert run_mesh(scenario) == ([12, 12, 12], 3, 200)


@pytest.mark.parametrize("is_up", [True, False])
@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
def test_leaving_holds_after_a_restart_of_the_node(call: str, is_up: bool) -> None:
    """Guard against calls that a late heartbeat brings to a backend server that has left.

    With the object API away, the other nodes tell the new process what the earlier one has said.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, int, int]:
        set_platform(mesh, up=is_up)
        mesh.beating[2] = False
        leaving = build_beat(service="archive", sequence=90, state="draining", born=mesh.born + 2)
        await mesh.announce(2, call, leaving)
        await asyncio.sleep(3)
        await mesh.restart(2)
        await asyncio.sleep(0.01)
        late = build_beat(service="archive", sequence=89, born=mesh.born + 2)
        assert await mesh.announce(2, "heartbeat", late) == 200
        await asyncio.sleep(1)
        client = await mesh.call(0, "/upload/1/ok", "a1", method="POST")
        return client.status, mesh.count_runs("a1"), count_endpoints(mesh, 1)

    assert run_mesh(scenario) == (503, 0, 2)


def test_a_first_start_during_an_outage_is_not_held_back_for_long() -> None:
    """Guard against a node that waits for news of an earlier process that never ran."""

    async def scenario(mesh: DirectMesh) -> int:
        set_platform(mesh, up=False)
        await mesh.restart(0)
        for other in (1, 2):
            await mesh.kill(other)
        await asyncio.sleep(4)
        return count_endpoints(mesh, 0)

    assert run_mesh(scenario) == 1


def test_entries_that_vanish_are_back_soon_after_the_platform() -> None:
    """Guard against backend servers that are taken for gone though they live."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        set_platform(mesh, up=False)
        await asyncio.sleep(5)
        for key in [item.key for item in mesh.store.list(MEMBERS_PREFIX).objects]:
            mesh.store.delete(key)
        set_platform(mesh, up=True)
        await asyncio.sleep(2)
        return len(mesh.store.list(MEMBERS_PREFIX).objects), count_endpoints(mesh, 1)

    assert run_mesh(scenario) == (3, 3)


def test_a_node_whose_entry_stays_away_is_gone() -> None:
    """Guard against calls to a node that has been removed for good."""

    async def scenario(mesh: DirectMesh) -> int:
        await mesh.kill(2)
        mesh.beating[2] = False
        mesh.store.delete(MEMBERS_PREFIX + "vm-2")
        for fetch in mesh.fetches:
            fetch.wake()
        await asyncio.sleep(8)
        return count_endpoints(mesh, 0)

    assert run_mesh(scenario) == 2


def test_lost_history_is_listed_anew() -> None:
    """Guard against a watch that never hears of changes made while history was dropped."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        for fetch in mesh.fetches:
            fetch.history_from = mesh.store.revision + 10
        mesh.write_configuration("0000000d")
        await asyncio.sleep(3)
        return list_generations(mesh)

    assert run_mesh(scenario) == [13, 13, 13]


def test_a_lost_answer_is_settled_by_reading() -> None:
    """Guard against a node that never notices that its entry has been written."""

    async def scenario(mesh: DirectMesh) -> tuple[bool, int]:
        mesh.fetches[0].lose_answers = 3
        mesh.nodes[0].board.drain.set(True)
        await asyncio.sleep(2)
        entry = mesh.store.get(MEMBERS_PREFIX + "vm-0")
        assert entry is not None
        return entry.value["accepting"], count_endpoints(mesh, 1)

    assert run_mesh(scenario) == (False, 2)


@given(st.integers(0, 1000))
def test_records_merge_to_the_newest_in_any_order(seed: int) -> None:
    """Guard against members that depend on the way their records came."""
    records = [
        build_node_record(vm=vm, incarnation=incarnation, sequence=sequence)
        for vm in ("a", "b")
        for incarnation in (1, 2)
        for sequence in (1, 2, 3)
    ]
    random.Random(seed).shuffle(records)
    table = MemberTable(retention_s=10.0)
    for record in records:
        table.merge([record], now=0.0)
    assert [table.records[vm].order for vm in ("a", "b")] == [(2, 3), (2, 3)]


def test_a_removed_record_stays_away_unless_it_is_newer() -> None:
    """Guard against a node that comes back from the memory of another one."""
    table = MemberTable(retention_s=10.0)
    record = build_node_record(vm="a", sequence=2)
    table.merge([record], now=0.0)
    table.remove("a", now=0.0)
    assert not table.merge([record], now=5.0)
    assert table.merge([record._replace(sequence=3)], now=5.0)


def test_messages_survive_their_encoding() -> None:
    """Guard against members that differ after an exchange."""
    records = (build_node_record(vm="a"), build_node_record(vm="b"))
    message = ExchangeMessage("a", 12, compute_members_digest(records), records, {"version": "1"})
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff",
        encode_message(ExchangeMessage("a", 1, b"", ("text",)))[:-3],  # type: ignore[arg-type]
        encode_message(ExchangeMessage("a", "1", b"")),  # type: ignore[arg-type]
        encode_message(ExchangeMessage("a", 1, b"", (["short"],))),  # type: ignore[arg-type]
    ],
)
def test_a_malformed_message_is_refused(raw: bytes) -> None:
    """Guard against a node that fails on what a peer of another version sends."""
    with pytest.raises(MessageError):
        decode_message(raw)


@pytest.mark.parametrize(
    "change", [{"slots": "6"}, {"vm": None}, {"accepting": 1}, {"incarnation": -0.5}]
)
def test_a_malformed_record_is_no_member(change: dict[str, Any]) -> None:
    """Guard against members with fields of another type."""
    assert parse_record(build_node_record()._asdict() | change) is None


def test_a_storm_of_large_configurations_is_not_read_version_by_version() -> None:
    """Guard against slow links that carry every version of a large configuration."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], int]:
        document = build_configuration()
        rule = document["listeners"][0]["rules"][0]
        document["listeners"][0]["rules"] += [
            rule | {"name": f"r-{n}", "match": {"prefix": f"/idle-{n}/"}} for n in range(900)
        ]
        mesh.write_configuration("00000100", listeners=document["listeners"])
        await asyncio.sleep(3)
        sent = mesh.fetches[0].versions_sent
        for number in range(30):
            mesh.write_configuration(f"{0x101 + number:08x}", listeners=document["listeners"])
            await asyncio.sleep(0.2)
        await asyncio.sleep(2)
        return list_generations(mesh), mesh.fetches[0].versions_sent - sent

    generations, sent = run_mesh(scenario)
    assert generations == [0x11E] * 3
    assert sent <= 12
