"""Check the configuration and members of nodes of the direct plane under faults."""

from __future__ import annotations

import asyncio
import random
import zlib
from typing import Any

import cbor2
import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from builders import build_node_record, build_policy, build_route
from call_network import VirtualLoop, run_virtual
from direct_network import DirectMesh
from ibiswick._internal.configuration.snapshots import build_snapshot, compute_delta
from ibiswick._internal.control.messages import DeltaSnapshot, Drain, FullSnapshot
from ibiswick._internal.direct.exchange import (
    MAX_CONTENT_BYTES,
    ExchangeMessage,
    decode_message,
    encode_message,
)
from ibiswick._internal.direct.members import MemberTable, parse_record
from ibiswick._internal.direct.plane import MAX_MEMBER_LINES
from ibiswick._internal.direct.readers import choose_reader, choose_readers
from ibiswick._internal.direct.reading import MEMBERS_PREFIX
from ibiswick._internal.platform.configuration import CONFIGURATION_KEY
from ibiswick._internal.shared.errors import MessageError
from ibiswick._internal.shared.records import CallerLimits
from ibiswick._internal.standins.store import ObjectStore
from platform_documents import build_configuration, build_heartbeat_body, build_large_listeners

logbook.NullHandler().push_application()

SERVICES = ["counter", "counter", "archive"]
BASE = build_snapshot(
    workspace="", generation=1, services={"a": build_policy()}, routes=[build_route(service="a")]
)
NEXT_VERSION = BASE._replace(generation=2)
FULL = FullSnapshot(*NEXT_VERSION)
DELTA = DeltaSnapshot(*compute_delta(BASE, NEXT_VERSION))


def build_message(**changes: Any) -> ExchangeMessage:
    return ExchangeMessage("a", 12, "abc", True, b"members")._replace(**changes)


def run_mesh(scenario: Any, *, seed: int = 0) -> Any:
    """Run a scenario on a mesh in virtual time."""

    async def main(loop: VirtualLoop) -> Any:
        mesh = DirectMesh(loop, SERVICES, seed=seed)
        await mesh.start()
        return await scenario(mesh)

    return run_virtual(main)


def list_generations(mesh: DirectMesh) -> list[int]:
    snapshots = [node.board.snapshot.value for node in mesh.nodes]
    return [snapshot.generation if snapshot is not None else 0 for snapshot in snapshots]


def count_endpoints(mesh: DirectMesh, index: int) -> int:
    return sum(len(found) for found in mesh.nodes[index].board.endpoints.value.values())


def set_platform_reachable(mesh: DirectMesh, *, reachable: bool) -> None:
    for fetch in mesh.fetches:
        fetch.unreachable = not reachable
        fetch.wake()


def test_a_configuration_is_in_effect_within_its_bound() -> None:
    """Guard against a version that some node has not applied within 2 s."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        for version in ("0000000d", "0000000e", "00000011"):
            mesh.write_configuration(version)
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.9)
        return list_generations(mesh)

    assert run_mesh(scenario) == [17, 17, 17]


def test_an_older_or_malformed_configuration_changes_nothing() -> None:
    """Guard against a node that returns to an older configuration or loses the one in effect."""

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
    """Guard against calls to entries that another writer has stored among the members."""

    async def scenario(mesh: DirectMesh) -> int:
        mesh.store.put(MEMBERS_PREFIX + "vm-8", "text")
        mesh.store.put(MEMBERS_PREFIX + "vm-9", build_node_record(vm="vm-1")._asdict())
        for fetch in mesh.fetches:
            fetch.wake()
        await asyncio.sleep(2)
        return count_endpoints(mesh, 0)

    assert run_mesh(scenario) == 3


def test_what_is_known_stays_while_the_platform_is_away() -> None:
    """Guard against lists of members that are cleared because a read failed."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        set_platform_reachable(mesh, reachable=False)
        await asyncio.sleep(60)
        client = await mesh.call(0, "/book/1/ok", "a1", method="POST")
        return count_endpoints(mesh, 0), client.status

    assert run_mesh(scenario) == (3, 200)


def test_a_node_that_restarts_during_an_outage_hears_everything_from_others() -> None:
    """Guard against a node that serves no calls until the object API is reachable again."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], int, int]:
        set_platform_reachable(mesh, reachable=False)
        await asyncio.sleep(1)
        await mesh.restart(0)
        await asyncio.sleep(6)
        client = await mesh.call(0, "/book/1/ok", "a1", method="POST")
        return list_generations(mesh), count_endpoints(mesh, 0), client.status

    assert run_mesh(scenario) == ([12, 12, 12], 3, 200)


@pytest.mark.parametrize("is_up", [True, False])
@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
def test_leaving_holds_after_a_restart_of_the_node(call: str, is_up: bool) -> None:
    """Guard against calls to a departed backend server because of a late heartbeat.

    During an outage of the object API, the other nodes send the new process of the node the record
    of the earlier one.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, int, int]:
        set_platform_reachable(mesh, reachable=is_up)
        mesh.sends_heartbeats[2] = False
        leaving = build_heartbeat_body(
            service="archive", sequence=90, state="draining", born=mesh.born + 2
        )
        await mesh.announce(2, call, leaving)
        await asyncio.sleep(3)
        await mesh.restart(2)
        await asyncio.sleep(0.01)
        late = build_heartbeat_body(service="archive", sequence=89, born=mesh.born + 2)
        assert await mesh.announce(2, "heartbeat", late) == 200
        await asyncio.sleep(1)
        client = await mesh.call(0, "/upload/1/ok", "a1", method="POST")
        return client.status, mesh.count_runs("a1"), count_endpoints(mesh, 1)

    assert run_mesh(scenario) == (503, 0, 2)


def test_a_first_start_during_an_outage_is_not_held_back_for_long() -> None:
    """Guard against a node that waits for the record of an earlier process that never ran."""

    async def scenario(mesh: DirectMesh) -> int:
        set_platform_reachable(mesh, reachable=False)
        await mesh.restart(0)
        for other in (1, 2):
            await mesh.kill(other)
        await asyncio.sleep(4)
        return count_endpoints(mesh, 0)

    assert run_mesh(scenario) == 1


def test_entries_that_vanish_are_back_soon_after_the_platform() -> None:
    """Guard against the removal of backend servers that are still running."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        set_platform_reachable(mesh, reachable=False)
        await asyncio.sleep(5)
        for key in [item.key for item in mesh.store.list(MEMBERS_PREFIX).objects]:
            mesh.store.delete(key)
        set_platform_reachable(mesh, reachable=True)
        await asyncio.sleep(2)
        return len(mesh.store.list(MEMBERS_PREFIX).objects), count_endpoints(mesh, 1)

    assert run_mesh(scenario) == (3, 3)


@pytest.mark.parametrize("seed", range(8))
def test_a_change_is_announced_soon_after_an_outage(seed: int) -> None:
    """Guard against a node that announces nothing while its first watch after an outage waits."""

    async def scenario(mesh: DirectMesh) -> tuple[bool, int]:
        set_platform_reachable(mesh, reachable=False)
        await asyncio.sleep(2)
        set_platform_reachable(mesh, reachable=True)
        await asyncio.sleep(1.5)
        mesh.nodes[0].board.accepts_peer_calls.set(False)
        await asyncio.sleep(0.01)
        # The object API ends the pending watches of the other nodes.
        for fetch in mesh.fetches:
            fetch.wake()
        await asyncio.sleep(0.49)
        entry = mesh.store.get(MEMBERS_PREFIX + "vm-0")
        assert entry is not None
        return entry.value["accepting"], count_endpoints(mesh, 1)

    assert run_mesh(scenario, seed=seed) == (False, 2)


def test_a_node_whose_entry_stays_away_is_gone() -> None:
    """Guard against calls to a node that has been removed for good."""

    async def scenario(mesh: DirectMesh) -> int:
        await mesh.kill(2)
        mesh.sends_heartbeats[2] = False
        mesh.store.delete(MEMBERS_PREFIX + "vm-2")
        for fetch in mesh.fetches:
            fetch.wake()
        await asyncio.sleep(8)
        return count_endpoints(mesh, 0)

    assert run_mesh(scenario) == 2


def test_lost_history_is_listed_anew() -> None:
    """Guard against a watch that misses the changes in a history that was dropped."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        for fetch in mesh.fetches:
            fetch.history_from = mesh.store.revision + 10
        mesh.write_configuration("0000000d")
        await asyncio.sleep(3)
        return list_generations(mesh)

    assert run_mesh(scenario) == [13, 13, 13]


def test_calls_beyond_the_rate_of_the_object_api_are_made_later() -> None:
    """Guard against a node that gives up, or that retries refused calls without a delay."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], int, int]:
        for fetch in mesh.fetches:
            fetch.calls_per_s = 2
            fetch.history_from = mesh.store.revision + 10
            fetch.wake()
        mesh.write_configuration("0000000d")
        await asyncio.sleep(6)
        refused = [fetch.refused for fetch in mesh.fetches]
        return list_generations(mesh), min(refused), max(refused)

    generations, least, most = run_mesh(scenario)
    assert generations == [13, 13, 13]
    assert least >= 1
    # Each of the two followers waits for at least 0.4 s after a refusal.
    assert most <= 2 * 6 / 0.4


def test_a_lost_answer_is_settled_by_reading() -> None:
    """Guard against a node that never notices that its entry has been written."""

    async def scenario(mesh: DirectMesh) -> tuple[bool, int]:
        mesh.fetches[0].lose_answers = 3
        mesh.nodes[0].board.accepts_peer_calls.set(False)
        await asyncio.sleep(2)
        entry = mesh.store.get(MEMBERS_PREFIX + "vm-0")
        assert entry is not None
        return entry.value["accepting"], count_endpoints(mesh, 1)

    assert run_mesh(scenario) == (False, 2)


@given(st.integers(0, 1000))
def test_records_merge_to_the_newest_in_any_order(seed: int) -> None:
    """Guard against members that depend on the order in which their records arrive."""
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
    """Guard against a removed node that is added again by the outdated table of another node."""
    table = MemberTable(retention_s=10.0)
    record = build_node_record(vm="a", sequence=2)
    table.merge([record], now=0.0)
    table.remove("a", now=0.0)
    assert not table.merge([record], now=5.0)
    assert table.merge([record._replace(sequence=3)], now=5.0)


@pytest.mark.parametrize("update", [None, FULL, DELTA])
def test_messages_survive_their_encoding(update: FullSnapshot | DeltaSnapshot | None) -> None:
    """Guard against members or a configuration that differ after an exchange."""
    records = (build_node_record(vm="a"), build_node_record(vm="b", leaving=True))
    message = build_message(records=records, update=update, limits=CallerLimits(1000, 2000))
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff",
        encode_message(build_message())[:-3],
        encode_message(build_message(generation="1")),
        encode_message(build_message(records=("text",))),
        encode_message(build_message(records=(["short"],))),
        encode_message(build_message(update=Drain("vm-1"))),
        zlib.compress(cbor2.dumps(["a", 1, "", True, b"", [], b"text", []])),
        zlib.compress(bytes(MAX_CONTENT_BYTES + 1)),
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


def run_large_mesh(scenario: Any, *, zones: int = 2) -> Any:
    """Run a scenario on ten nodes in two availability zones with a large configuration."""

    async def main(loop: VirtualLoop) -> Any:
        mesh = DirectMesh(loop, ["counter"] * 6 + ["archive"] * 4, zones=zones)
        await mesh.start()
        mesh.write_configuration("00000100", listeners=build_large_listeners())
        await asyncio.sleep(6)
        return await scenario(mesh)

    return run_virtual(main)


def test_few_nodes_read_a_large_configuration() -> None:
    """Guard against full transfers to every node, which load slow links and the object API."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], list[int], int]:
        before = [fetch.versions_sent for fetch in mesh.fetches]
        for number in range(10):
            listeners = build_large_listeners()
            listeners[0]["rules"][number]["action"]["timeout"] = "700ms"
            mesh.write_configuration(f"{0x101 + number:08x}", listeners=listeners)
            await asyncio.sleep(0.3)
        await asyncio.sleep(2)
        sent = [fetch.versions_sent - was for fetch, was in zip(mesh.fetches, before, strict=True)]
        digests = {node.board.snapshot.value.digest for node in mesh.nodes}
        return list_generations(mesh), sorted(sent)[:6], len(digests)

    assert run_large_mesh(scenario) == ([0x10A] * 10, [0] * 6, 1)


def test_few_nodes_of_a_large_fleet_follow_the_members() -> None:
    """Guard against calls of every node to the object API for each change of a member."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], int]:
        before = [len(fetch.calls) for fetch in mesh.fetches]
        leaving = build_heartbeat_body(
            service="archive", sequence=90, state="draining", born=mesh.born + 9
        )
        mesh.sends_heartbeats[9] = False
        await mesh.announce(9, "heartbeat", leaving)
        await asyncio.sleep(1.5)
        calls = [
            len(fetch.calls) - was
            for index, (fetch, was) in enumerate(zip(mesh.fetches, before, strict=True))
            if not mesh.nodes[index].plane.update_source.follows_object_api and index != 9
        ]
        return [count_endpoints(mesh, index) for index in range(9)], sum(calls)

    assert run_large_mesh(scenario) == ([9] * 9, 0)


def test_a_vanished_entry_is_noticed_by_nodes_that_read_seldom() -> None:
    """Guard against calls to a removed node from nodes that only list the members now and then."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        await mesh.kill(9)
        mesh.sends_heartbeats[9] = False
        mesh.store.delete(MEMBERS_PREFIX + "vm-9")
        for fetch in mesh.fetches:
            fetch.wake()
        await asyncio.sleep(45)
        return [count_endpoints(mesh, index) for index in range(9)]

    assert run_large_mesh(scenario) == [9] * 9


def test_only_changed_records_are_exchanged() -> None:
    """Guard against exchanges that send the records of the whole fleet for one change."""
    table = MemberTable(retention_s=10.0)
    table.merge([build_node_record(vm=f"vm-{n}") for n in range(50)], now=0.0)
    seen = table.version
    assert table.list_changed_since(seen) == ()
    changed = build_node_record(vm="vm-7", sequence=2)
    table.merge([changed, build_node_record(vm="vm-8")], now=1.0)
    assert table.list_changed_since(seen) == (changed,)
    table.remove("vm-7", now=2.0)
    assert table.list_changed_since(seen) == ()
    assert len(table.list_changed_since(0)) == 49


def test_an_exchange_tells_a_new_process_everything() -> None:
    """Guard against a restarted node that gets only what its earlier process did not know."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        set_platform_reachable(mesh, reachable=False)
        await asyncio.sleep(3)
        await mesh.restart(0)
        await asyncio.sleep(4)
        return count_endpoints(mesh, 0), count_endpoints(mesh, 9)

    assert run_large_mesh(scenario) == (10, 10)


@pytest.mark.parametrize("zones", [1, 2])
def test_a_change_is_in_effect_though_the_readers_have_just_failed(zones: int) -> None:
    """Guard against nodes that wait for a reader that was killed."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        await asyncio.sleep(0.5)
        readers = [
            index
            for index, node in enumerate(mesh.nodes)
            if node.plane.update_source.follows_object_api
        ]
        assert len(readers) == 2 * zones
        for index in readers:
            await mesh.kill(index)
        mesh.write_configuration("00000110", listeners=build_large_listeners())
        await asyncio.sleep(2)
        return [generation for generation in list_generations(mesh) if generation != 0x100]

    assert run_large_mesh(scenario, zones=zones) == [0x110] * (10 - 2 * zones)


APPLY_LIMIT_S = 2.0
MIN_UPTIME_S = 3.0


def test_versions_reach_every_node_while_the_whole_fleet_restarts_in_turn() -> None:
    """Guard against late versions when a node polls only readers that are restarting.

    Nodes are stopped one by one, 1 s apart, while versions follow in quick succession. Observed in
    a deployment named `...-grown`: a node used an older version 2.52 s after the newer one was
    written, as it had polled three readers in a row that were all restarting.
    """

    async def scenario(mesh: DirectMesh) -> list[tuple[float, int, int, int]]:
        loop = mesh.loop
        started = dict.fromkeys(range(len(mesh.nodes)), loop.now - MIN_UPTIME_S)
        written = [(loop.now, 0x100)]
        late = []

        async def write() -> None:
            for version in range(0x110, 0x180):
                mesh.write_configuration(f"{version:08x}", listeners=build_large_listeners())
                written.append((loop.now, version))
                await asyncio.sleep(0.3)

        async def stop(index: int) -> None:
            started[index] = float("inf")
            mesh.nodes[index].board.drain_requested.set(True)
            await mesh.tasks[index]
            await asyncio.sleep(0.3)
            await mesh.restart(index)
            started[index] = loop.now

        writing = asyncio.create_task(write())
        stopping = []
        for tick in range(200):
            if tick % 10 == 0 and tick // 10 < 2 * len(mesh.nodes):
                stopping.append(asyncio.create_task(stop(tick // 10 % len(mesh.nodes))))
            await asyncio.sleep(0.1)
            due = max((v for at, v in written if at <= loop.now - APPLY_LIMIT_S), default=0)
            for index, generation in enumerate(list_generations(mesh)):
                if loop.now - started[index] >= MIN_UPTIME_S and generation < due:
                    late.append((loop.now, index, generation, due))
        writing.cancel()
        await asyncio.gather(*stopping)
        return late

    assert run_large_mesh(scenario) == []


def test_a_reader_that_stops_sends_the_others_elsewhere() -> None:
    """Guard against nodes that rely on a reader until its process has ended."""

    async def scenario(mesh: DirectMesh) -> list[bool]:
        reader = next(node for node in mesh.nodes if node.plane.update_source.follows_object_api)
        before = reader.plane._build_request("x").can_serve_polls
        reader.board.drain_requested.set(True)
        return [before, reader.plane._build_request("x").can_serve_polls]

    assert run_large_mesh(scenario) == [True, False]


def test_an_address_belongs_to_the_newest_record_with_it() -> None:
    """Guard against calls for a VM that is gone when another VM has its address.

    Observed in incident inc-28e8 of kus-tuyu: a few calls a second were rejected until the end of
    the day.
    """
    table = MemberTable(retention_s=30.0)
    gone = build_node_record(vm="gone", host="10.0.0.9", incarnation=5, service="archive")
    here = build_node_record(vm="here", host="10.0.0.9", incarnation=9, service="counter")
    table.merge([here, gone], now=0.0)
    found = table.list_endpoints()
    assert [endpoint.vm for endpoints in found.values() for endpoint in endpoints] == ["here"]


def test_readers_without_the_object_api_are_replaced() -> None:
    """Guard against nodes that rely on a reader that can't reach the object API."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        for index, node in enumerate(mesh.nodes):
            if node.plane.update_source.follows_object_api:
                mesh.fetches[index].unreachable = True
                mesh.fetches[index].wake()
        mesh.write_configuration("00000110", listeners=build_large_listeners())
        await asyncio.sleep(2)
        return list_generations(mesh)

    assert run_large_mesh(scenario) == [0x110] * 10


def test_a_delta_that_does_not_fit_is_replaced_by_a_full_snapshot() -> None:
    """Guard against a node that requests the same unusable delta again and again."""

    async def scenario(mesh: DirectMesh) -> int:
        index = next(
            i
            for i, node in enumerate(mesh.nodes)
            if not node.plane.update_source.follows_object_api
        )
        node = mesh.nodes[index]
        current = node.board.snapshot.value
        assert current is not None
        spoilt = current.routes[:-1]
        node.plane.configuration.history.current = current._replace(routes=spoilt)
        mesh.write_configuration("00000110", listeners=build_large_listeners())
        await asyncio.sleep(2)
        return list_generations(mesh)[index]

    assert run_large_mesh(scenario) == 0x110


def test_readers_are_the_nodes_with_fast_links() -> None:
    """Guard against readers with slow links while there are nodes with fast ones."""
    records = [
        build_node_record(vm=f"vm-{n}", availability_zone="a", read_ms=read_ms)
        for n, read_ms in enumerate((512, 0, 64, 128))
    ]
    records.append(build_node_record(vm="vm-9", availability_zone="b", read_ms=1))

    def choose(excluded: set[str]) -> list[str]:
        chosen = choose_readers(records, availability_zone="a", excluded=excluded)
        return [record.vm for record in chosen]

    assert choose(set()) == ["vm-2", "vm-3"]
    assert choose({"vm-2"}) == ["vm-3", "vm-0"]


def test_a_reader_elsewhere_is_polled_when_those_here_are_silent() -> None:
    """Guard against full transfers over slow links because two readers of a zone failed."""
    records = [
        build_node_record(vm=f"{zone}-{n}", availability_zone=zone, read_ms=2**n)
        for zone in ("a", "b")
        for n in range(1, 5)
    ]

    def choose(excluded: set[str]) -> str | None:
        rng = random.Random(1)
        chosen = choose_reader(records, availability_zone="a", excluded=excluded, rng=rng)
        return chosen.vm if chosen is not None else None

    assert choose(set()) in ("a-1", "a-2")
    assert choose({"a-1"}) == "a-2"
    assert choose({"a-1", "a-2", "b-1"}) == "b-2"
    assert choose({"a-1", "a-2", "b-1", "b-2"}) in ("a-3", "a-4")


def test_the_time_of_an_empty_listing_says_nothing_of_a_link() -> None:
    """Guard against readers with slow links, chosen for a short read of an empty store.

    Observed in run scale-1 of the deployment kus-tuyu-grown, where the configuration is written
    after the nodes have started.
    """

    async def main(loop: VirtualLoop) -> tuple[list[bool], list[bool]]:
        mesh = DirectMesh(loop, ["counter"] * 6 + ["archive"] * 4)
        for index in range(10):
            await mesh.add(index)
            mesh.fetches[index].delay_s = 0.1 if index in (6, 7, 8, 9) else 0.9
        await asyncio.sleep(3)
        mesh.write_configuration("00000100", listeners=build_large_listeners())
        await asyncio.sleep(8)
        reading = [node.plane.update_source.follows_object_api for node in mesh.nodes]
        return reading[:6], reading[6:]

    assert run_virtual(main) == ([False] * 6, [True] * 4)


def test_large_availability_zones_have_more_readers() -> None:
    """Guard against readers that are polled by too many nodes."""
    records = [build_node_record(vm=f"vm-{n}", availability_zone="a") for n in range(100)]
    assert len(choose_readers(records, availability_zone="a", excluded=())) == 4


def test_a_storm_of_large_configurations_is_not_read_version_by_version() -> None:
    """Guard against the transfer of every version of a large configuration over a slow link."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], int]:
        listeners = build_large_listeners()
        mesh.write_configuration("00000100", listeners=listeners)
        await asyncio.sleep(3)
        sent = mesh.fetches[0].versions_sent
        for number in range(30):
            mesh.write_configuration(f"{0x101 + number:08x}", listeners=listeners)
            await asyncio.sleep(0.2)
        await asyncio.sleep(2)
        return list_generations(mesh), mesh.fetches[0].versions_sent - sent

    generations, sent = run_mesh(scenario)
    assert generations == [0x11E] * 3
    assert sent <= 12


def test_readers_that_lose_their_watches_together_stay_readers() -> None:
    """Guard against a fleet in which every node lists everything because the history was dropped.

    The object API drops its history and cuts all watches. Observed in run scale-1 of the deployment
    bakony-rounds-grown, where a third of the nodes then read 290 KB over slow links.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, list[int]]:
        listed = [len(fetch.calls) for fetch in mesh.fetches]
        set_platform_reachable(mesh, reachable=False)
        for fetch in mesh.fetches:
            fetch.history_from = mesh.store.revision + 10
        await asyncio.sleep(0.3)
        set_platform_reachable(mesh, reachable=True)
        mesh.write_configuration("00000110", listeners=build_large_listeners())
        await asyncio.sleep(3)
        calls = [len(fetch.calls) > was for fetch, was in zip(mesh.fetches, listed, strict=True)]
        return calls.count(True), list_generations(mesh)

    assert run_large_mesh(scenario) == (4, [0x110] * 10)


def test_the_age_of_what_readers_tell_is_short() -> None:
    """Guard against metrics that show a node as cut off because it gets updates from readers."""

    async def scenario(mesh: DirectMesh) -> float:
        await asyncio.sleep(20)
        spared = [
            node.plane for node in mesh.nodes if not node.plane.update_source.follows_object_api
        ]
        assert len(spared) == 6
        return max(
            max(plane.update_source.configuration_age_s, plane.update_source.members_age_s)
            for plane in spared
        )

    assert run_large_mesh(scenario) < 2.0


def list_calls(mesh: DirectMesh, index: int) -> list[str]:
    """Return the calls that a node has made, without revisions and names."""
    return [
        f"{method} {target.partition('?')[0]}" + (" stale" if "serializable" in target else "")
        for method, target in mesh.fetches[index].calls
    ]


def test_a_node_that_restarts_in_a_large_fleet_reads_once() -> None:
    """Guard against restarts whose calls to the object API grow with the changes of other nodes.

    Observed in run quiet-1 of the deployment kus-tuyu-large, where each of 195 nodes made eleven
    calls while it started.
    """

    async def scenario(mesh: DirectMesh) -> list[str]:
        index = next(
            n for n in range(10) if not mesh.nodes[n].plane.update_source.follows_object_api
        )
        mesh.fetches[index].calls.clear()
        await mesh.restart(index)
        await asyncio.sleep(6)
        return list_calls(mesh, index)

    assert sorted(run_large_mesh(scenario)) == [
        "GET /objects/config stale",
        "GET /objects/meshnodes",
    ]


def test_a_stale_listing_hides_neither_a_newer_version_nor_a_newer_member() -> None:
    """Guard against a node that starts from a stale listing and keeps its old state."""

    async def main(loop: VirtualLoop) -> tuple[list[int], list[int]]:
        mesh = DirectMesh(loop, SERVICES)
        stale_store = ObjectStore()
        stale_store.put(CONFIGURATION_KEY, build_configuration("00000001"))
        await mesh.start()
        mesh.write_configuration("00000020")
        await asyncio.sleep(2)
        for fetch in mesh.fetches:
            fetch.stale_store = stale_store
        set_platform_reachable(mesh, reachable=False)
        for index in range(3):
            await mesh.kill(index)
        set_platform_reachable(mesh, reachable=True)
        for index in range(3):
            await mesh.restart(index)
        await asyncio.sleep(3)
        return list_generations(mesh), [count_endpoints(mesh, index) for index in range(3)]

    assert run_virtual(main) == ([32] * 3, [3] * 3)


def test_a_periodic_stale_listing_removes_no_member() -> None:
    """Guard against nodes that are removed because a listing is older than their entries."""

    async def scenario(mesh: DirectMesh) -> list[int]:
        for fetch in mesh.fetches:
            fetch.stale_store = ObjectStore()
        await asyncio.sleep(80)
        return [count_endpoints(mesh, index) for index in range(10)]

    assert run_large_mesh(scenario) == [10] * 10


def test_the_start_of_a_node_logs_few_lines() -> None:
    """Guard against a line for each of hundreds of members, which delays the first calls."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        with logbook.TestHandler() as handler:
            await mesh.restart(0)
            await asyncio.sleep(3)
        messages = [record.message for record in handler.records]
        lines = sum(text.startswith("event=member-changed") for text in messages)
        return lines, sum(text.startswith("event=members-changed") for text in messages)

    lines, summaries = run_large_mesh(scenario)
    assert lines <= 2 * MAX_MEMBER_LINES
    assert summaries >= 1
