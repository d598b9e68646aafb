"""Run the limit decisions of many nodes in virtual time, over a network that loses datagrams."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from ibiswick._internal.shared.records import TokenResult
from ibiswick._internal.tenants.limit_messages import (
    TokenRequest,
    decode_message,
    encode_message,
)
from ibiswick._internal.tenants.limitnode import LimitNode, Ticket
from ibiswick._internal.tenants.limits import PARTITIONS, Limit

LATENCY_S = 0.001
WINDOW_S = 5.0
# After this time from the start, loans are made and buckets are full.
WARM_UP_S = 4.0


class Machine:
    """Hold one VM: its clock, its present process and the members that it knows."""

    def __init__(self, vm: str, *, clock_offset_s: float) -> None:
        self.vm = vm
        self.clock_offset_s = clock_offset_s
        self.node: LimitNode | None = None
        self.view: frozenset[str] = frozenset()
        self.is_listed = True
        self.paused_until = -math.inf
        self.poll_at = math.inf
        # Counts processes, so that events of an earlier one are dropped.
        self.process = 0


class LimitNetwork:
    """Hold machines, the datagrams between them and the calls that were admitted."""

    def __init__(self, vms: Iterable[str], limits: dict[str, Limit], *, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limits = limits
        self.generation = 1
        self.latency_s = LATENCY_S
        self.jitter_s = 0.0
        self.loss = 0.0
        self.copies = 0.0
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.admitted: list[tuple[float, str]] = []
        self.results: Counter[tuple[str, str]] = Counter()
        self.waits: list[float] = []
        self.retry_after_s: list[float] = []
        self.datagrams: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.machines: dict[str, Machine] = {}
        for vm in vms:
            self.add(vm)
        for machine in self.machines.values():
            self.set_view(machine.vm, self.machines)

    # Machines

    def add(self, vm: str) -> None:
        """Add a VM and start its process."""
        self.machines[vm] = Machine(vm, clock_offset_s=self.rng.uniform(0, 1e5))
        self.start(vm)

    def start(self, vm: str) -> None:
        """Start a process without earlier state, after a kill or for the first time."""
        machine = self.machines[vm]
        machine.process += 1
        machine.node = LimitNode(
            vm=vm,
            process=self.rng.getrandbits(48),
            started_at=self.now + machine.clock_offset_s,
        )
        machine.node.update_members(machine.view, is_complete=machine.is_listed)
        machine.poll_at = math.inf
        self.configure(vm)

    def kill(self, vm: str) -> None:
        """End the process of a VM without notice."""
        self.machines[vm].process += 1
        self.machines[vm].node = None

    def set_view(self, vm: str, members: Iterable[str], *, is_listed: bool = True) -> None:
        """Set the members that a node knows."""
        machine = self.machines[vm]
        machine.view, machine.is_listed = frozenset(members), is_listed
        if machine.node is not None:
            machine.node.update_members(machine.view, is_complete=is_listed)
            self._flush(machine)

    def configure(self, vm: str) -> None:
        """Apply the present limits at a node."""
        machine = self.machines[vm]
        if machine.node is not None:
            machine.node.configure(self.limits, self.generation, now=self._read_clock(machine))
            self._flush(machine)

    def pause(self, vm: str, seconds: float) -> None:
        """Stop a process for a while; its clock goes on."""
        self.machines[vm].paused_until = self.now + seconds

    def _read_clock(self, machine: Machine) -> float:
        return self.now + machine.clock_offset_s

    # Time

    def at(self, time: float, run: Callable[[], None]) -> None:
        """Run something at a time."""
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, run))

    def run_until(self, time: float) -> None:
        """Run every event up to a time."""
        while self._events and self._events[0][0] <= time:
            at, _, run = heapq.heappop(self._events)
            self.now = max(self.now, at)
            run()
        self.now = max(self.now, time)

    def _at_machine(self, time: float, machine: Machine, run: Callable[[], None]) -> None:
        """Run something in the present process of a machine, after a pause if there is one."""
        process = machine.process

        def run_if_alive() -> None:
            if machine.process != process:
                return
            if machine.paused_until > self.now:
                self.at(machine.paused_until, run_if_alive)
            else:
                run()

        self.at(time, run_if_alive)

    # Datagrams

    def _flush(self, machine: Machine) -> None:
        node = machine.node
        if node is None:
            return
        now = self._read_clock(machine)
        for receiver, request in node.poll(now):
            self._send(machine.vm, receiver, request)
        due = node.find_next_due(now) - machine.clock_offset_s
        if due < machine.poll_at or machine.poll_at <= self.now:
            machine.poll_at = max(due, self.now + 1e-4)
            self._at_machine(machine.poll_at, machine, lambda: self._run_timer(machine))

    def _run_timer(self, machine: Machine) -> None:
        if self.now >= machine.poll_at:
            machine.poll_at = math.inf
            self._flush(machine)

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        data = encode_message(message)
        assert len(data) <= 1200
        if receiver not in self.machines:
            return
        if sender != receiver:
            self.datagrams[sender] += 1
            self.bytes[sender] += len(data)
            if self.cut(sender, receiver) or self.rng.random() < self.loss:
                return
        copies = 2 if sender != receiver and self.rng.random() < self.copies else 1
        for _ in range(copies):
            delay_s = self.latency_s + self.rng.random() * self.jitter_s
            if sender == receiver:
                delay_s = 0.0
            machine = self.machines[receiver]
            self._at_machine(self.now + delay_s, machine, lambda m=machine: self._deliver(m, data))

    def _deliver(self, machine: Machine, data: bytes) -> None:
        node = machine.node
        if node is None:
            return
        message = decode_message(data)
        now = self._read_clock(machine)
        if isinstance(message, TokenRequest):
            answer = node.handle_request(message, now=now)
            if answer is not None:
                self._send(machine.vm, message.sender, answer)
        else:
            node.handle_grant(message, now=now)
            self._flush(machine)

    # Calls

    def call(self, vm: str, tenant: str, *, does_run: bool = True) -> None:
        """Make a call at a node now."""
        machine = self.machines[vm]
        self._at_machine(self.now, machine, lambda: self._start_call(machine, tenant, does_run))

    def _start_call(self, machine: Machine, tenant: str, does_run: bool) -> None:
        node = machine.node
        assert node is not None
        started = self.now
        acquired = node.acquire(tenant, now=self._read_clock(machine))
        if isinstance(acquired, Ticket):
            acquired.on_done = lambda result: self._end_call(
                machine, tenant, result, started, does_run
            )
            self._flush(machine)
        else:
            self._end_call(machine, tenant, acquired, started, does_run)
            if node.has_dirty:
                self._flush(machine)

    def _end_call(
        self, machine: Machine, tenant: str, result: TokenResult, started: float, does_run: bool
    ) -> None:
        self.waits.append(self.now - started)
        if result.retry_after_s is not None:
            kind = "refused" if result.is_over_limit else "unknown"
            self.results[tenant, kind] += 1
            self.retry_after_s.append(result.retry_after_s)
        elif does_run:
            self.results[tenant, "admitted"] += 1
            self.admitted.append((self.now, tenant))
        elif machine.node is not None:
            node = machine.node
            self._at_machine(
                self.now + 0.05,
                machine,
                lambda: node.refund(tenant, result, now=self._read_clock(machine)),
            )

    # Checks

    def find_double_use(self) -> list[tuple[str, int, list[str]]]:
        """Return the rights that several nodes use now: lender, partition and users."""
        users: dict[tuple[str, int], list[str]] = {}
        for machine in self.machines.values():
            if machine.node is None:
                continue
            now = self._read_clock(machine)
            for lender, partitions in machine.node.book.list_loans(now):
                for partition in range(PARTITIONS):
                    if partitions >> partition & 1:
                        users.setdefault((lender, partition), []).append(machine.vm)
        return [(*right, found) for right, found in users.items() if len(found) > 1]

    def find_excess(self, tenant: str, limit: Limit, *, since: float = 0.0) -> float:
        """Return by how much the calls in any window exceed the stated bound; negative if none."""
        times = [at for at, name in self.admitted if name == tenant and at >= since]
        bound = (limit.rate * WINDOW_S + limit.burst) * 1.1 + 20
        most, first = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most - bound


def build_warm_network(limits: dict[str, Limit], *, nodes: int = 74, seed: int = 1) -> LimitNetwork:
    """Build a network whose buckets are full."""
    network = LimitNetwork([f"vm-{index}" for index in range(nodes)], limits, seed=seed)
    network.run_until(WARM_UP_S)
    network.datagrams.clear()
    network.bytes.clear()
    return network


def add_calls(
    network: LimitNetwork, tenant: str, rate: float, choose: Callable[[float], int], until: float
) -> list[tuple[float, int]]:
    """Add calls at random times from now on; return their times and nodes."""
    calls = []
    at = network.now + network.rng.expovariate(rate)
    while at < until:
        index = choose(at)
        calls.append((at, index))
        network.at(at, lambda index=index: network.call(f"vm-{index}", tenant))
        at += network.rng.expovariate(rate)
    return calls
