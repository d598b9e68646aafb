"""Check that nodes with slow links get a large configuration while readers stop and start."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from unittest import mock

import logbook
import pytest

from builders import build_node_record
from call_network import VirtualLoop, run_virtual
from direct_network import DirectMesh
from ibiswick._internal.direct import reading
from ibiswick._internal.direct.members import NodeRecord
from ibiswick._internal.direct.readers import ReaderSelector
from platform_documents import build_large_listeners

logbook.NullHandler().push_application()

FAST_BYTES_PER_S = 12_500_000
SLOW_BYTES_PER_S = 625_000
# Transfer time of a version of 290 KB over such a link.
FAST_TRANSFER_S = 0.023
SLOW_TRANSFER_S = 0.46
ZONES = 2
# The first two nodes of each availability zone have fast links.
FAST_NODES = range(2 * ZONES)
NODES = 12
# In the deployments named `...-grown`, nodes that have run for 3 s must apply a configuration
# within 2.5 s.
APPLY_LIMIT_S = 2.5
MIN_UPTIME_S = 3.0


class LatenessMonitor:
    """Record the nodes that had not applied a version when it was due, and by how much it was late.

    `late` holds the index of a node and the age of the version.
    """

    def __init__(self, mesh: DirectMesh) -> None:
        self.mesh = mesh
        self.written: list[tuple[float, int]] = []
        self.started = dict.fromkeys(range(NODES), mesh.loop.now - MIN_UPTIME_S)
        self.late: list[tuple[int, float]] = []

    async def write_storm(self, first: int, count: int, gap_s: float) -> None:
        """Write versions in quick succession."""
        for version in range(first, first + count):
            self.mesh.write_configuration(f"{version:08x}", listeners=build_large_listeners())
            self.written.append((self.mesh.loop.now, version))
            await asyncio.sleep(gap_s)

    async def follow(self, seconds: float) -> None:
        """Check every node ten times a second."""
        loop = self.mesh.loop
        end = loop.now + seconds
        while loop.now < end:
            await asyncio.sleep(0.1)
            for index, node in enumerate(self.mesh.nodes):
                snapshot = node.board.snapshot.value
                generation = snapshot.generation if snapshot is not None else 0
                missed = [at for at, version in self.written if version > generation]
                if not missed or loop.now - self.started[index] < MIN_UPTIME_S:
                    continue
                if loop.now - missed[0] > APPLY_LIMIT_S:
                    self.late.append((index, round(loop.now - missed[0], 2)))

    async def restart(self, index: int) -> None:
        """Stop a node as planned and start it again."""
        mesh = self.mesh
        self.started[index] = float("inf")
        mesh.nodes[index].board.drain_requested.set(True)
        await mesh.tasks[index]
        await asyncio.sleep(0.5)
        await mesh.restart(index)
        self.started[index] = mesh.loop.now

    async def cut_power(self, index: int) -> None:
        """Cut the power of a VM."""
        self.started[index] = float("inf")
        await self.mesh.cut_power(index)


def run_slow_links(scenario: Any) -> Any:
    """Run a scenario on a mesh where two VMs of each availability zone have fast links.

    The fleet counts as large, so that its nodes know from the start that there are readers.
    """

    async def main(loop: VirtualLoop) -> Any:
        link_rates = {
            n: FAST_BYTES_PER_S if n in FAST_NODES else SLOW_BYTES_PER_S for n in range(NODES)
        }
        mesh = DirectMesh(
            loop, ["counter"] * 8 + ["archive"] * 4, zones=ZONES, link_bytes_per_s=link_rates
        )
        await mesh.start()
        for index in range(NODES):
            version_s = FAST_TRANSFER_S if index in FAST_NODES else SLOW_TRANSFER_S
            mesh.limit_link(index, version_s=version_s)
        mesh.write_configuration("00000100", listeners=build_large_listeners())
        await asyncio.sleep(8)
        return await scenario(mesh)

    with mock.patch.object(reading, "LARGE_FLEET_NODES", NODES):
        return run_virtual(main)


def count_slow_reads(mesh: DirectMesh) -> int:
    """Return how many versions the store has sent over slow links."""
    return sum(
        mesh.fetches[index].versions_sent for index in range(NODES) if index not in FAST_NODES
    )


def test_slow_links_carry_no_versions_while_the_readers_restart() -> None:
    """Guard against nodes that fill their own links with versions because the readers restart.

    Observed in run trouble-2 of the deployment bakony-rounds-grown (CONFIG): all four readers of a
    node were stopping or had just started, so it watched the object API from an old revision and
    reached no other node for 3 s.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, list[tuple[int, float]]]:
        monitor = LatenessMonitor(mesh)
        before = count_slow_reads(mesh)
        storm = asyncio.create_task(monitor.write_storm(0x110, 60, 0.25))
        following = asyncio.create_task(monitor.follow(18.0))
        for index in (0, 2, 1, 3, 0, 2):
            restarting = asyncio.create_task(monitor.restart(index))
            await asyncio.sleep(1.6)
        await asyncio.gather(storm, following, restarting)
        return count_slow_reads(mesh) - before, monitor.late

    assert run_slow_links(scenario) == (0, [])


@pytest.mark.parametrize("without_power", [(0,), (0, 2), (0, 1), (0, 1, 2)])
def test_a_version_is_in_force_though_readers_have_just_lost_power(
    without_power: tuple[int, ...],
) -> None:
    """Guard against nodes that wait for unresponsive readers until a version is overdue."""

    async def scenario(mesh: DirectMesh) -> list[tuple[int, float]]:
        monitor = LatenessMonitor(mesh)
        storm = asyncio.create_task(monitor.write_storm(0x110, 40, 0.2))
        await asyncio.sleep(2.0)
        for index in without_power:
            await monitor.cut_power(index)
        await asyncio.gather(storm, monitor.follow(9.0))
        return monitor.late

    assert run_slow_links(scenario) == []


def test_a_node_that_starts_in_a_storm_reads_once() -> None:
    """Guard against a node that fills its link at its start with a burst of versions.

    Observed in run trouble-2 of the deployment bakony-rounds-grown: a node that had just started
    watched from a listing that was some seconds old, and reached no other node for 3 s. Its first
    listing is not counted here.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, list[tuple[int, float]]]:
        monitor = LatenessMonitor(mesh)
        storm = asyncio.create_task(monitor.write_storm(0x110, 40, 0.2))
        await asyncio.sleep(0.5)
        for fetch in mesh.fetches:
            fetch.stale_store = mesh.store.copy()
        await asyncio.sleep(2.5)
        mesh.fetches[7].versions_sent = 0
        await monitor.restart(7)
        await asyncio.gather(storm, monitor.follow(8.0))
        return mesh.fetches[7].versions_sent, monitor.late

    assert run_slow_links(scenario) == (0, [])


@pytest.mark.parametrize("restarts", [False, True])
def test_versions_reach_a_node_whose_packets_wait(restarts: bool) -> None:
    """Guard against a node that reaches no other node because its handshakes time out too early.

    Packets wait for 0.2 s in either direction, which is less than the delay from which the
    requirements exempt a node with a full link.
    """

    async def scenario(mesh: DirectMesh) -> tuple[int, list[tuple[int, float]]]:
        monitor = LatenessMonitor(mesh)
        mesh.loop.link_waits["vm-7"] = 0.2
        if restarts:
            await monitor.restart(7)
            await asyncio.sleep(MIN_UPTIME_S)
        mesh.fetches[7].versions_sent = 0
        storm = asyncio.create_task(monitor.write_storm(0x110, 40, 0.25))
        following = asyncio.create_task(monitor.follow(14.0))
        for index in (1, 3, 0, 2):
            await asyncio.sleep(2.0)
            restarting = asyncio.create_task(monitor.restart(index))
        await asyncio.gather(storm, following, restarting)
        return mesh.fetches[7].versions_sent, monitor.late

    assert run_slow_links(scenario) == (0, [])


def test_a_version_reaches_those_who_are_left_when_all_readers_lose_power() -> None:
    """Guard against nodes that rely on VMs with fast links when all of these have lost power."""

    async def scenario(mesh: DirectMesh) -> list[tuple[int, float]]:
        monitor = LatenessMonitor(mesh)
        for index in FAST_NODES:
            await monitor.cut_power(index)
        await asyncio.gather(monitor.write_storm(0x110, 12, 0.5), monitor.follow(9.0))
        return monitor.late

    assert run_slow_links(scenario) == []


def test_a_route_is_not_denied_by_a_node_that_nobody_tells_anything() -> None:
    """Guard against 404 for a route that was just added: callers do not retry after a 404."""

    async def scenario(mesh: DirectMesh) -> tuple[list[int], str, int]:
        before = await mesh.call(7, "/nowhere/x", "a")
        ports = [node.settings.exchange.port for node in mesh.nodes]
        mesh.fetches[7].unreachable = True
        for port in ports:
            mesh.loop.power_off(port)
        await asyncio.sleep(4.0)
        cut_off = await mesh.call(7, "/nowhere/x", "b")
        known = await mesh.call(7, "/read/1/ok", "c")
        statuses = [before.status, cut_off.status, known.status]
        for port in ports:
            mesh.loop.unpowered_ports.discard(port)
        mesh.fetches[7].unreachable = False
        await asyncio.sleep(6.0)
        after = await mesh.call(7, "/nowhere/x", "d")
        return statuses, cut_off.headers["retry-after"], after.status

    assert run_slow_links(scenario) == ([404, 503, 200], "0.500", 404)


def list_configuration_calls(mesh: DirectMesh, index: int) -> list[str]:
    """Return the targets of a node's calls for the configuration."""
    return [target for _, target in mesh.fetches[index].calls if "/config" in target]


def test_a_node_with_a_slow_link_starts_with_what_a_reader_tells() -> None:
    """Guard against starts that fill slow links with full configurations.

    Observed in the deployment bakony-rounds-grown: a start occupied a link of 5 Mbit/s for 0.5 to
    1.1 s, while calls returned to the node.
    """

    async def scenario(mesh: DirectMesh) -> tuple[list[str], int, bool]:
        await mesh.kill(7)
        mesh.fetches[7].calls.clear()
        await mesh.restart(7)
        await asyncio.sleep(0.4)
        snapshot = mesh.nodes[7].board.snapshot.value
        generation = snapshot.generation if snapshot is not None else 0
        await asyncio.sleep(3.0)
        follows_object_api = mesh.nodes[7].plane.update_source.follows_object_api
        return list_configuration_calls(mesh, 7), generation, follows_object_api

    assert run_slow_links(scenario) == ([], 0x100, False)


def test_a_fleet_that_starts_at_once_is_told_by_its_fast_links() -> None:
    """Guard against a start of the whole fleet that waits for transfers over every slow link."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int]:
        for index in range(NODES):
            await mesh.kill(index)
        for fetch in mesh.fetches:
            fetch.calls.clear()
        for index in range(NODES):
            await mesh.restart(index)
        await asyncio.sleep(0.8)
        told = sum(node.board.snapshot.value is not None for node in mesh.nodes)
        await asyncio.sleep(3.0)
        slow = (index for index in range(NODES) if index not in FAST_NODES)
        return told, sum(len(list_configuration_calls(mesh, index)) for index in slow)

    assert run_slow_links(scenario) == (NODES, 0)


def test_a_node_that_no_reader_answers_lists_the_configuration_itself() -> None:
    """Guard against a start that waits for readers that have all lost power."""

    async def scenario(mesh: DirectMesh) -> bool:
        for index in range(NODES):
            if index != 7:
                await mesh.cut_power(index)
        await mesh.restart(7)
        await asyncio.sleep(2.0)
        return mesh.nodes[7].board.snapshot.value is not None

    assert run_slow_links(scenario)


class FaultInjector:
    """Stop, kill or cut the power of VMs at random, sometimes many at once."""

    def __init__(self, monitor: LatenessMonitor, rng: random.Random) -> None:
        self._monitor = monitor
        self._rng = rng
        self._faulty: set[int] = set()

    async def run(self, until: float) -> None:
        """Inject faults until a time, and wait until every VM is back."""
        rng, loop = self._rng, self._monitor.mesh.loop
        tasks = []
        while loop.now < until:
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            count = rng.randint(3, 7) if rng.random() < 0.15 else 1
            tasks += [
                asyncio.create_task(self._disturb_vm(index))
                for index in rng.sample(range(NODES), count)
            ]
        await asyncio.gather(*tasks)

    async def _disturb_vm(self, index: int) -> None:
        monitor, mesh, rng = self._monitor, self._monitor.mesh, self._rng
        if index in self._faulty:
            return
        self._faulty.add(index)
        monitor.started[index] = float("inf")
        how = rng.choice(("stop", "kill", "cut-power"))
        if how == "stop":
            await monitor.restart(index)
        elif how == "kill":
            await mesh.kill(index)
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            await mesh.restart(index)
        else:
            await mesh.cut_power(index)
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            await mesh.restore_power(index)
        monitor.started[index] = mesh.loop.now
        self._faulty.discard(index)


def run_at_random(seed: int) -> list[tuple[int, float]]:
    """Run a fleet with random faults and storms; return which nodes were late with a version."""

    async def scenario(mesh: DirectMesh) -> list[tuple[int, float]]:
        rng = random.Random(seed)
        monitor = LatenessMonitor(mesh)
        end = mesh.loop.now + 20.0
        for index in rng.sample(range(len(FAST_NODES), NODES), 2):
            mesh.loop.link_waits[f"vm-{index}"] = rng.uniform(0.05, 0.2)

        async def write() -> None:
            first = 0x110
            while mesh.loop.now < end:
                count = rng.randint(1, 15)
                await monitor.write_storm(first, count, rng.choice((0.1, 0.25, 0.6)))
                first += count
                await asyncio.sleep(rng.uniform(0.0, 3.0))

        injector = FaultInjector(monitor, rng)
        await asyncio.gather(write(), injector.run(end - 3.0), monitor.follow(20.0))
        return monitor.late

    return run_slow_links(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_versions_are_in_force_in_time_whatever_vms_come_and_go(seed: int) -> None:
    """Guard against late versions under combinations of faults that no other test covers."""
    assert run_at_random(seed) == []


def build_records() -> list[NodeRecord]:
    """Build two availability zones with two fast links and two slow ones each."""
    rates = (FAST_BYTES_PER_S, FAST_BYTES_PER_S, SLOW_BYTES_PER_S, SLOW_BYTES_PER_S)
    return [
        build_node_record(vm=f"{zone}-{n}", availability_zone=zone, link_bytes_per_s=rate)
        for zone in ("a", "b")
        for n, rate in enumerate(rates)
    ]


def build_selector(vm: str = "a-3") -> ReaderSelector:
    return ReaderSelector(vm=vm, availability_zone="a", rng=random.Random(1))


def test_a_fast_link_stays_a_reader_while_it_restarts() -> None:
    """Guard against a reader with a slow link because one with a fast link stops or restarts."""
    records = build_records()
    stopping = records[0]._replace(accepting=False, instance="i", read_ms=0)
    records[0] = stopping
    assert not build_selector("a-2").is_reader(records, now=0.0)
    assert build_selector("a-0").is_reader(records, now=0.0)
    assert build_selector("a-1").is_reader(records, now=0.0)


def test_readers_elsewhere_are_polled_before_a_slow_link_reads() -> None:
    """Guard against a reader with a slow link while readers of other zones respond."""
    records, selector = build_records(), build_selector("a-2")
    for vm in ("a-0", "a-1"):
        selector.note_failure(vm, now=0.0, retry_soon=False)
    chosen = selector.choose(records, now=0.1, polled=())
    assert chosen is not None
    assert chosen.availability_zone == "b"
    assert not selector.is_reader(records, now=0.1)
    for vm in ("b-0", "b-1"):
        selector.note_failure(vm, now=0.2, retry_soon=False)
    assert selector.is_reader(records, now=0.3)


def test_a_reader_that_is_away_is_polled_again_soon() -> None:
    """Guard against readers that are not polled for seconds after a planned restart."""
    records, selector = build_records(), build_selector()
    selector.note_failure("a-0", now=0.0, retry_soon=True)
    selector.note_failure("a-1", now=0.0, retry_soon=False)
    chosen_zones = {selector.choose(records, now=0.1, polled=()).availability_zone}  # type: ignore[union-attr]
    assert chosen_zones == {"b"}
    chosen = selector.choose(records, now=1.0, polled=())
    assert chosen is not None
    assert chosen.vm == "a-0"


def test_a_reader_that_stays_away_is_replaced_until_it_is_back() -> None:
    """Guard against a zone without readers of its own after two VMs are gone for good."""
    records, selector = build_records(), build_selector("a-2")
    for now in range(7):
        for vm in ("a-0", "a-1"):
            selector.note_failure(vm, now=float(now), retry_soon=True)
    assert selector.is_reader(records, now=7.0)
    selector.note_success("a-0")
    selector.note_success("a-1")
    assert not selector.is_reader(records, now=7.0)


def test_a_slow_link_does_not_replace_a_reader_that_was_not_polled_again() -> None:
    """Guard against a reader with a slow link in place of one that is back but was not polled.

    Such a node read every version in a storm, and applied them up to 5.8 s late.
    """
    records, selector = build_records(), build_selector("a-2")
    selector.note_failure("a-0", now=0.0, retry_soon=False)
    assert not selector.is_reader(records, now=5.5)
    selector.note_failure("a-0", now=6.5, retry_soon=False)
    assert selector.is_reader(records, now=6.6)


def test_polls_at_the_same_time_go_to_different_readers() -> None:
    """Guard against two polls that both wait for the same unresponsive reader."""
    records, selector = build_records(), build_selector()
    first = selector.choose(records, now=0.0, polled=())
    assert first is not None
    second = selector.choose(records, now=0.0, polled={first.vm})
    assert second is not None
    assert {first.vm, second.vm} == {"a-0", "a-1"}
