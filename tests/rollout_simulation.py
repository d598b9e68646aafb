"""Simulate the calls of a service under a roll-out, and the nodes that report to its decider."""

from __future__ import annotations

import heapq
import math
import random
from typing import NamedTuple

from ibiswick._internal.calls.versions import count_in_use
from ibiswick._internal.rollouts.evidence import CallTally
from ibiswick._internal.rollouts.records import Report, RolloutState, Stage
from ibiswick._internal.rollouts.steps import StepDecider

TICK_S = 0.02
DECIDE_S = 0.1
REPORT_S = 0.5
# Time from a decision until every node applies it, with the write of the status.
SPREAD_S = 0.3
COLD_S = 3.0
SLOTS = 6
ROUTES = {"r-read": 0.7, "r-list": 1.0, "r-book": 1.3}
BASE_FAILURES = 0.005
MAX_MEAN_S = 0.2
# Calls that take longer fail.
DEADLINE_S = 1.0


class Scenario(NamedTuple):
    """Describe a service and how its new version turns bad.

    * `load`: slots of the old version in use before the order.
    * `badness`: "" for a good version, or the kind of its failures.
    * `bad_from_s`: when it turns bad after the order.
    * `shared_fault`: from when to when after the order calls of both versions fail.
    * `is_blind_from_s`: from when on no status can be written.
    """

    rate: float = 100.0
    servers: int = 6
    duration_s: float = 12.0
    badness: str = ""
    bad_from_s: float = 0.0
    shared_fault: tuple[float, float] = (math.inf, math.inf)
    is_blind_from_s: float = math.inf
    decider_killed_at: float = math.inf
    starts_within_s: float = 1.5
    load: float = 0.5
    seed: int = 0


class Outcome(NamedTuple):
    """Hold what happened until the deadline.

    * `target_calls`: calls that reached the new version, `since_bad` those after it had turned bad.
    * `exposure_s`: from the 50th bad answer to the last call of the new version; 0 if fewer.
    """

    state: RolloutState
    ended_at: float
    calls: int
    target_calls: int
    since_bad: int
    bad_answers: int
    exposure_s: float
    reason: str
    max_first_share: float
    steps: tuple[tuple[float, float, str], ...]


class _Server:
    def __init__(self, vm: str, version: str, started_at: float, rng: random.Random) -> None:
        self.vm = vm
        self.version = version
        self.started_at = started_at
        self.speed = rng.uniform(0.5, 1.7)
        self.tally = CallTally()
        self.busy = 0
        self.last_at = -1.0
        self.next_report = started_at + rng.uniform(0.0, REPORT_S)


class Simulation:
    """Run one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = rng = random.Random(scenario.seed)
        self.mean_s = min(MAX_MEAN_S, scenario.load * SLOTS * scenario.servers / scenario.rate)
        self.old = [_Server(f"o{i}", "v1", -60.0, rng) for i in range(scenario.servers)]
        for server in self.old:
            server.next_report = rng.uniform(0.0, REPORT_S)
        self.new = [
            _Server(f"n{i}", "v2", rng.uniform(0.1, scenario.starts_within_s), rng)
            for i in range(scenario.servers)
        ]
        self.running: list[tuple[float, int, _Server, str, float, bool, bool]] = []
        self.number = 0

    def run(self) -> Outcome:
        """Return the outcome at the deadline."""
        scenario = self.scenario
        decider = StepDecider(new_version="v2", duration_s=scenario.duration_s)
        stage = Stage("counter", "v2", scenario.duration_s, 1, 1, 1)
        # Stages that are on their way to the nodes: when they apply, and their shares.
        shares: list[tuple[float, float]] = [(0.0, 0.0)]
        steps: list[tuple[float, float, str]] = []
        calls = target_calls = since_bad = 0
        self.bad_times: list[float] = []
        last_target = 0.0
        ended_at, reason = math.inf, "-"
        first_share = 0.0
        next_decide = 0.0
        was_killed = False
        for tick in range(int(scenario.duration_s / TICK_S)):
            now = tick * TICK_S
            if not was_killed and now >= scenario.decider_killed_at:
                was_killed = True
                decider = StepDecider(new_version="v2", duration_s=scenario.duration_s)
                next_decide = now + 1.0
            share = [value for at, value in shares if at <= now][-1]
            for _ in range(self._draw_calls()):
                calls += 1
                server = self._choose(share, now)
                if server.version == "v2":
                    target_calls += 1
                    since_bad += bool(scenario.badness) and now >= scenario.bad_from_s
                    last_target = now
                self._start(server, now)
            self._finish(now)
            self._send_reports(decider, now)
            if now < next_decide:
                continue
            next_decide = now + DECIDE_S
            can_write = now < scenario.is_blind_from_s
            decision = decider.decide(stage, age_s=now, now=now, can_write=can_write)
            if decision is None:
                continue
            halted = stage.halted or decision.state is RolloutState.ROLLED_BACK
            if halted and not stage.halted:
                steps.append((round(now, 2), 0.0, decision.reason))
            if not can_write:
                if halted and not stage.halted:
                    stage = stage._replace(halted=True)
                    shares.append((now + SPREAD_S, 0.0))
                continue
            if not halted:
                steps.append((round(now, 2), decision.share, decision.reason))
            if decision.share > 0 and not first_share:
                first_share = decision.share
            stage = stage._replace(
                state=decision.state,
                share=decision.share,
                halted=False,
                written=True,
                revision=stage.revision + 1,
            )
            shares.append((now + SPREAD_S, stage.target_share))
            if stage.state is not RolloutState.RUNNING and ended_at == math.inf:
                ended_at, reason = now, decision.reason
        exposure_s = last_target - self.bad_times[49] if len(self.bad_times) >= 50 else 0.0
        return Outcome(
            stage.state,
            ended_at,
            calls,
            target_calls,
            since_bad,
            len(self.bad_times),
            exposure_s,
            reason,
            first_share,
            tuple(steps),
        )

    def _draw_calls(self) -> int:
        expected = self.scenario.rate * TICK_S
        count = int(expected)
        return count + (self.rng.random() < expected - count)

    def _choose(self, share: float, now: float) -> _Server:
        ready = [server for server in self.new if server.started_at <= now]
        if not ready or self.rng.random() >= share:
            return min(
                self.rng.sample(self.old, min(2, len(self.old))),
                key=lambda s: (s.busy + 1) * s.speed,
            )
        used = ready if share >= 1 else ready[: count_in_use(share, len(ready))]
        return min(self.rng.sample(used, min(2, len(used))), key=lambda s: (s.busy + 1) * s.speed)

    def _start(self, server: _Server, now: float) -> None:
        scenario, rng = self.scenario, self.rng
        route = rng.choice(list(ROUTES))
        # A sum of two exponentials, as few calls take many times the mean.
        work = rng.expovariate(2.0) + rng.expovariate(2.0)
        seconds = self.mean_s * ROUTES[route] * server.speed * work
        seconds *= 1 + 0.3 * min(server.busy, SLOTS) / SLOTS + max(0, server.busy - SLOTS) / SLOTS
        if now - server.started_at < COLD_S:
            seconds *= 2
        failed = rng.random() < BASE_FAILURES
        is_bad = False
        if server.version == "v2" and now >= scenario.bad_from_s:
            applies = scenario.badness and (scenario.badness != "one-route" or route == "r-book")
            if scenario.badness == "under-load":
                applies = server.busy > SLOTS / 2
            if scenario.badness == "slow" and applies:
                seconds *= 4
                is_bad = True
            elif applies and rng.random() < 1 / 3:
                failed = is_bad = True
        start, end = scenario.shared_fault
        failed = failed or (start <= now < end and rng.random() < 0.4)
        if seconds > DEADLINE_S:
            seconds, failed = DEADLINE_S, True
        server.busy += 1
        self.number += 1
        entry = (now + seconds, self.number, server, route, now, failed, is_bad)
        heapq.heappush(self.running, entry)

    def _finish(self, now: float) -> None:
        while self.running and self.running[0][0] <= now:
            at, _, server, route, started, failed, is_bad = heapq.heappop(self.running)
            server.busy -= 1
            server.last_at = at
            if is_bad:
                self.bad_times.append(at)
            if started - server.started_at >= COLD_S:
                server.tally.note(route, at - started, failed=failed)

    def _send_reports(self, decider: StepDecider, now: float) -> None:
        for server in (*self.old, *self.new):
            if now < server.next_report:
                continue
            server.next_report = now + REPORT_S * self.rng.uniform(0.9, 1.1)
            report = Report(
                vm=server.vm,
                process_start_ms=1,
                service="counter",
                version=server.version,
                is_warm=now - server.started_at >= COLD_S,
                slots=SLOTS,
                busy=server.busy,
                quiet_s=now - server.last_at,
                tallies=server.tally.export(),
            )
            decider.note_report(report, now=now)
