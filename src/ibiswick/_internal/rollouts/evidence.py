"""Compare what backend servers of two versions of a service answer at the same time."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from .records import Report, Tally

# Buckets of durations grow by a factor of 2 ** (1 / BUCKETS_PER_DOUBLING); bucket 0 is 1 ms.
BUCKETS_PER_DOUBLING = 2
MAX_ROUTES = 64
# Calls of further routes are counted together.
OTHER_ROUTES = "*"
# Evidence is compared slice by slice, so that a fault of both versions does not look like one of
# the version whose share is larger during the fault.
SLICE_S = 1.0
# Numbers of closed slices that are compared together with the open one, besides all since the
# order. A version that turns bad late is found in few slices, one that fails rarely in many.
WINDOW_SLICES = (1, 3)
# A version is worse if the shares of failures differ by at least the first number, with at least
# as many standard deviations as the second. The comparisons are repeated some hundred times in a
# roll-out, so lower limits roll back good versions.
BAD_DIFFERENCES = ((0.1, 3.6), (0.04, 4.6))
UNCLEAR_DIFFERENCES = ((0.1, 2.6), (0.04, 3.3))
MIN_BAD_ANSWERS = 4
MIN_UNCLEAR_ANSWERS = 3
# A suspicion is checked with calls of which this many would be bad if it were true. A fault is
# shared, or over, if the old version, or the target version, answers badly with these parts of the
# suspected level.
MIN_CHECK_HITS = 3.0
SHARED_LEVEL = 0.4
CLEAN_LEVEL = 0.35
# Few calls of the target version confirm the suspicion at this part of the level, if many calls of
# the old version show no fault.
AGAIN_LEVEL = 0.6
# Lower limit of the suspected level.
MIN_LEVEL = 0.03
FAILURES, EXCEPTIONAL, SLOWDOWN = "failures", "exceptional", "slowdown"
# Backend servers of one version differ in speed by up to 1.7 from the mean. Bad versions are
# several times slower.
BAD_SLOWDOWN = 2.5
CERTAIN_SLOWDOWN = 1.7
UNCLEAR_CERTAIN_SLOWDOWN = 1.5
# Slow backend servers of a good version explain a slowdown up to this in a check.
CLEAN_SLOWDOWN = 2.2
SLOWDOWN_DEVIATIONS = 3.3
MIN_DURATIONS = 5
# Fewer calls of the old version in a slice are no comparison for durations.
MIN_CONTROL_DURATIONS = 3
# A duration is exceptional above this factor of the duration that 95% of the old version's calls do
# not exceed.
EXCEPTIONAL_FACTOR = 1.5
BAD_EXCEPTIONAL_DIFFERENCES = ((0.2, 3.6),)
MIN_LIMIT_CALLS = 20
# Lower limit of the standard deviation of the logarithm of durations.
MIN_LOG_DEVIATION = 0.35
HISTORY_S = 3.0


class Verdict(IntEnum):
    """Grade the evidence about a version."""

    GOOD = 0
    UNCLEAR = 1
    BAD = 2


class Judgement(NamedTuple):
    """Hold a verdict and its reason."""

    verdict: Verdict
    reason: str = "-"
    route: str = ""
    kind: str = ""
    # Share of bad answers, or the logarithm (base 2, in buckets) of the slowdown.
    level: float = 0.0


def choose_bucket(seconds: float) -> int:
    """Return the bucket of a duration.

    >>> choose_bucket(0.0), choose_bucket(0.001), choose_bucket(0.002), choose_bucket(0.1)
    (0, 0, 2, 13)
    """
    return max(0, int(math.log2(max(seconds, 0.001) * 1000) * BUCKETS_PER_DOUBLING))


class CallTally:
    """Count the calls at one backend server by route."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}
        self._durations: dict[str, dict[int, int]] = {}

    def note(self, route_id: str, seconds: float, *, failed: bool) -> None:
        """Count one call."""
        if route_id not in self._counts and len(self._counts) >= MAX_ROUTES:
            route_id = OTHER_ROUTES
        counts = self._counts.setdefault(route_id, [0, 0])
        counts[0] += 1
        if failed:
            counts[1] += 1
            return
        durations = self._durations.setdefault(route_id, {})
        bucket = choose_bucket(seconds)
        durations[bucket] = durations.get(bucket, 0) + 1

    def export(self) -> dict[str, Tally]:
        """Return the counts by route."""
        return {
            route: Tally(calls, failures, dict(self._durations.get(route, {})))
            for route, (calls, failures) in self._counts.items()
        }


def subtract(newer: Tally, older: Tally) -> Tally:
    """Return what a later tally counts beyond an earlier one."""
    durations = {
        bucket: count - older.durations.get(bucket, 0)
        for bucket, count in newer.durations.items()
        if count > older.durations.get(bucket, 0)
    }
    return Tally(newer.calls - older.calls, newer.failures - older.failures, durations)


def add(one: Tally, other: Tally) -> Tally:
    """Return the sum of two tallies."""
    durations = dict(one.durations)
    for bucket, count in other.durations.items():
        durations[bucket] = durations.get(bucket, 0) + count
    return Tally(one.calls + other.calls, one.failures + other.failures, durations)


NO_CALLS = Tally(0, 0, {})
# By version (True for the target version) and route.
Totals = dict[tuple[bool, str], Tally]


class Statistics(NamedTuple):
    """Compare the versions on one route; statistics of several slices can be added.

    `excess` is the number of hits of the target version beyond those expected if both versions had
    the same share of hits in each slice, `variance` that of the number (Mantel and Haenszel).
    `shift` is the sum of the differences of the logarithm of durations (base 2, in buckets).
    """

    calls: int = 0
    failures: int = 0
    excess: float = 0.0
    variance: float = 0.0
    timed: int = 0
    exceptional: int = 0
    exceptional_excess: float = 0.0
    exceptional_variance: float = 0.0
    shifted: int = 0
    shift: float = 0.0
    shift_variance: float = 0.0

    def plus(self, other: Statistics) -> Statistics:
        """Return the sum."""
        return Statistics(*(a + b for a, b in zip(self, other, strict=True)))


ALL_ROUTES = "all"
ByRoute = dict[str, Statistics]


class Evidence:
    """Sum the reports of one service by version and route, and compare the two versions."""

    def __init__(self, *, new_version: str) -> None:
        self._new_version = new_version
        self._reports: dict[str, Report] = {}
        self._totals: Totals = {}
        self._open: Totals = {}
        self._open_since: float | None = None
        self._closed: deque[tuple[Totals, ByRoute]] = deque(maxlen=max(WINDOW_SLICES))
        self._all_closed: ByRoute = {}
        # The totals when the present share began.
        self._mark: Totals = {}
        # What led to the last `restart`, and the calls of the old version until then.
        self._suspicion = Judgement(Verdict.GOOD)
        self.is_fault_shared = False
        self._baseline: dict[str, Tally] = {}
        # When, and the calls and failures of the target version and of the others until then.
        self._history: deque[tuple[float, tuple[int, int], tuple[int, int]]] = deque()

    def note(self, report: Report) -> None:
        """Add what a node has observed since its last report."""
        before = self._reports.get(report.vm)
        is_same = (
            before is not None
            and before.process_start_ms == report.process_start_ms
            and before.version == report.version
        )
        known = before.tallies if before is not None and is_same else {}
        self._reports[report.vm] = report
        is_target = report.version == self._new_version
        for route, tally in report.tallies.items():
            delta = subtract(tally, known.get(route, NO_CALLS))
            if delta.calls > 0:
                key = (is_target, route)
                self._totals[key] = add(self._totals.get(key, NO_CALLS), delta)
                self._open[key] = add(self._open.get(key, NO_CALLS), delta)

    def mark(self) -> None:
        """Note that another share begins."""
        self._mark = dict(self._totals)

    def restart(self, suspicion: Judgement) -> None:
        """Leave out everything so far, to check a suspicion with new calls."""
        self._suspicion = suspicion
        self._baseline = {
            route: tally for (is_target, route), tally in self._totals.items() if not is_target
        }
        self._mark = {}
        self._totals, self._open, self._open_since = {}, {}, None
        self._closed.clear()
        self._all_closed = {}
        self._history.clear()

    def restore(self) -> None:
        """Count again the calls of the old version that `restart` has left out."""
        for route, tally in self._baseline.items():
            key = (False, route)
            self._totals[key] = add(self._totals.get(key, NO_CALLS), tally)

    def advance(self, now: float) -> None:
        """Close the open slice when its time has passed."""
        self._history.append((now, self._count(target=True), self._count(target=False)))
        while len(self._history) > 1 and self._history[1][0] <= now - HISTORY_S:
            self._history.popleft()
        if self._open_since is None:
            self._open_since = now
        if now - self._open_since < SLICE_S:
            return
        statistics = self._compare_slice()
        self._closed.append((self._open, statistics))
        self._all_closed = _merge((self._all_closed, statistics))
        self._open, self._open_since = {}, now

    def _count(self, *, target: bool) -> tuple[int, int]:
        found = [tally for key, tally in self._totals.items() if key[0] is target]
        return (sum(tally.calls for tally in found), sum(tally.failures for tally in found))

    def count(
        self, *, target: bool, now: float | None = None, window_s: float = 0.0
    ) -> tuple[int, int]:
        """Return the calls and failures of one version, of a window if `now` is given."""
        calls, failures = self._count(target=target)
        if now is None or not self._history:
            return (calls, failures)
        base = (0, 0)
        for at, new, old in self._history:
            if at > now - window_s and base != (0, 0):
                break
            base = new if target else old
            if at > now - window_s:
                break
        return (calls - base[0], failures - base[1])

    def _compare_slice(self) -> ByRoute:
        """Compare the versions in the open slice."""
        found: ByRoute = {}
        everything = Statistics()
        new_all = old_all = NO_CALLS
        for (is_target, route), tally in self._open.items():
            if not is_target:
                old_all = add(old_all, tally)
                continue
            new_all = add(new_all, tally)
            old = self._open.get((False, route), NO_CALLS)
            limit = _find_limit(self._totals.get((False, route), NO_CALLS))
            found[route] = _compare_tallies(tally, old, limit)
            everything = everything.plus(found[route])
        excess, variance = _compute_excess(
            new_all.failures, new_all.calls, old_all.failures, old_all.calls
        )
        found[ALL_ROUTES] = everything._replace(excess=excess, variance=variance)
        return found

    def judge(self, *, has_control: bool) -> Judgement:
        """Return the worst verdict.

        Without calls of the old version at the same time (`has_control`), the newest calls are
        compared with those of the old version since the order; a fault of both versions then looks
        like one of the target version.
        """
        if not has_control:
            return self._judge_without_control()
        open_slice = self._compare_slice()
        recent = [statistics for _, statistics in self._closed]
        worst = Judgement(Verdict.GOOD)
        windows = [(f"{count}", recent[-count:]) for count in WINDOW_SLICES]
        for name, slices in (*windows, ("order", [self._all_closed])):
            for route, statistics in _merge((*slices, open_slice)).items():
                found = _judge_route(route, statistics)
                if found.verdict > worst.verdict:
                    worst = found._replace(reason=f"{name}:{found.reason}")
        return worst

    def check(self) -> Verdict:
        """Compare what both versions answered since `restart` with the suspicion that led to it.

        GOOD: the old version answers as badly, or the target version as well as before. BAD: only
        the target version answers badly. UNCLEAR: there are too few calls to tell.
        """
        kind, route = self._suspicion.kind, self._suspicion.route
        measure = _measure_slowdown if kind == SLOWDOWN else _measure_share
        known = {r: tally for r, tally in self._baseline.items() if route in (ALL_ROUTES, r)}
        _, usual = measure(known, self._baseline, kind)
        # All levels are those beyond the usual level of the old version.
        level = max(MIN_LEVEL, self._suspicion.level - usual)
        new_count, new_level = measure(self._collect(route, target=True), self._baseline, kind)
        old_count, old_level = measure(self._collect(route, target=False), self._baseline, kind)
        certainty = 1.0 if kind == SLOWDOWN else level
        has_old = old_count * certainty >= MIN_CHECK_HITS
        has_new = new_count * certainty >= MIN_CHECK_HITS
        self.is_fault_shared = has_old and old_level - usual >= SHARED_LEVEL * level
        clean = CLEAN_LEVEL * level
        if kind == SLOWDOWN:
            clean = max(clean, BUCKETS_PER_DOUBLING * math.log2(CLEAN_SLOWDOWN))
        if self.is_fault_shared or (has_new and new_level - usual <= clean):
            return Verdict.GOOD
        if has_old and (has_new or new_level - usual >= AGAIN_LEVEL * level):
            return Verdict.BAD
        return Verdict.UNCLEAR

    def check_few(self) -> Verdict:
        """Decide a check that has had too few calls.

        A version that passes wrongly is rolled back by the next bad evidence, without a check.
        """
        kind, route = self._suspicion.kind, self._suspicion.route
        measure = _measure_slowdown if kind == SLOWDOWN else _measure_share
        _, new_level = measure(self._collect(route, target=True), self._baseline, kind)
        _, old_level = measure(self._collect(route, target=False), self._baseline, kind)
        is_bad = new_level >= AGAIN_LEVEL * self._suspicion.level
        return Verdict.BAD if is_bad and old_level < CLEAN_LEVEL * new_level else Verdict.GOOD

    def _collect(self, route: str, *, target: bool) -> dict[str, Tally]:
        return {
            name: tally
            for (is_target, name), tally in self._totals.items()
            if is_target is target and route in (ALL_ROUTES, name)
        }

    def estimate_old_duration(self) -> float:
        """Return about the mean seconds of a call of the old version."""
        durations = _sum_durations(
            tally for (is_target, _), tally in self._totals.items() if not is_target
        )
        count = sum(durations.values())
        if not count:
            return 0.0
        mean_ms = sum(n * 2 ** (b / BUCKETS_PER_DOUBLING) for b, n in durations.items()) / count
        return mean_ms / 1000

    def _judge_without_control(self) -> Judgement:
        recent: dict[str, Tally] = {}
        slices = [totals for totals, _ in self._closed][-1:]
        for totals in (*slices, self._open):
            for (is_target, route), tally in totals.items():
                if is_target:
                    recent[route] = add(recent.get(route, NO_CALLS), tally)
        marked = {
            route: subtract(tally, self._mark.get((True, route), NO_CALLS))
            for (is_target, route), tally in self._totals.items()
            if is_target
        }
        found = (self._compare_with_old(recent), self._compare_with_old(marked))
        return max(found, key=lambda item: item.verdict)

    def _compare_with_old(self, new: dict[str, Tally]) -> Judgement:
        """Compare calls of the target version with all of the old version."""
        everything = Statistics()
        new_all = old_all = NO_CALLS
        worst = Judgement(Verdict.GOOD)
        for route, tally in new.items():
            old = self._totals.get((False, route), NO_CALLS)
            statistics = _compare_tallies(tally, old, _find_limit(old))
            everything = everything.plus(statistics)
            new_all, old_all = add(new_all, tally), add(old_all, old)
            worst = max(worst, _judge_route(route, statistics), key=lambda item: item.verdict)
        excess, variance = _compute_excess(
            new_all.failures, new_all.calls, old_all.failures, old_all.calls
        )
        found = _judge_route(ALL_ROUTES, everything._replace(excess=excess, variance=variance))
        return max(worst, found, key=lambda item: item.verdict)


def _measure_share(
    tallies: dict[str, Tally], baseline: dict[str, Tally], kind: str
) -> tuple[int, float]:
    """Return the calls and their share of failures or of exceptional durations."""
    count = hits = 0
    for route, tally in tallies.items():
        if kind == FAILURES:
            count += tally.calls
            hits += tally.failures
            continue
        limit = _find_limit(baseline.get(route, NO_CALLS))
        if limit is not None:
            count += sum(tally.durations.values())
            hits += sum(n for bucket, n in tally.durations.items() if bucket > limit)
    return count, hits / max(1, count)


def _measure_slowdown(
    tallies: dict[str, Tally], baseline: dict[str, Tally], _kind: str
) -> tuple[int, float]:
    """Return the calls and their mean slowdown against the baseline."""
    count, shift = 0, 0.0
    for route, tally in tallies.items():
        known = baseline.get(route, NO_CALLS).durations
        known_count, part = sum(known.values()), sum(tally.durations.values())
        if part and known_count >= MIN_CONTROL_DURATIONS:
            count += part
            mean = _compute_mean(tally.durations, part)
            shift += part * (mean - _compute_mean(known, known_count))
    return count, shift / max(1, count)


def _sum_durations(tallies: Iterable[Tally]) -> dict[int, int]:
    total = NO_CALLS
    for tally in tallies:
        total = add(total, tally)
    return total.durations


def _merge(parts: Iterable[ByRoute]) -> ByRoute:
    merged: ByRoute = {}
    for part in parts:
        for route, statistics in part.items():
            known = merged.get(route)
            merged[route] = statistics if known is None else known.plus(statistics)
    return merged


def _compute_excess(hits: int, count: int, old_hits: int, old_count: int) -> tuple[float, float]:
    """Return the hits beyond those expected, and their variance."""
    total, all_hits = count + old_count, hits + old_hits
    if not count or not old_count:
        return (0.0, 0.0)
    variance = count * old_count * all_hits * (total - all_hits) / (total**2 * (total - 1))
    return (hits - count * all_hits / total, variance)


def _find_limit(old: Tally) -> int | None:
    """Return the highest bucket of durations that are not exceptional, None if it is unknown."""
    count = sum(old.durations.values())
    if count < MIN_LIMIT_CALLS:
        return None
    left = count * 0.05
    bucket = 0
    for bucket in sorted(old.durations, reverse=True):
        left -= old.durations[bucket]
        if left < 0:
            break
    return bucket + math.ceil(BUCKETS_PER_DOUBLING * math.log2(EXCEPTIONAL_FACTOR))


def _compare_tallies(new: Tally, old: Tally, limit: int | None) -> Statistics:
    excess, variance = _compute_excess(new.failures, new.calls, old.failures, old.calls)
    timed, old_timed = sum(new.durations.values()), sum(old.durations.values())
    found = Statistics(new.calls, new.failures, excess, variance)
    if limit is not None:
        exceptional = sum(n for bucket, n in new.durations.items() if bucket > limit)
        old_exceptional = sum(n for bucket, n in old.durations.items() if bucket > limit)
        excess, variance = _compute_excess(exceptional, timed, old_exceptional, old_timed)
        found = found._replace(
            timed=timed,
            exceptional=exceptional,
            exceptional_excess=excess,
            exceptional_variance=variance,
        )
    if not timed or old_timed < MIN_CONTROL_DURATIONS:
        return found
    mean, old_mean = _compute_mean(new.durations, timed), _compute_mean(old.durations, old_timed)
    spread = sum(n * (bucket - old_mean) ** 2 for bucket, n in old.durations.items()) / old_timed
    spread = max(spread, (MIN_LOG_DEVIATION * BUCKETS_PER_DOUBLING / math.log(2)) ** 2)
    return found._replace(
        shifted=timed,
        shift=timed * (mean - old_mean),
        shift_variance=timed**2 * spread * (1 / timed + 1 / old_timed),
    )


def _compute_mean(durations: dict[int, int], count: int) -> float:
    return sum(bucket * n for bucket, n in durations.items()) / count


def _judge_route(route: str, found: Statistics) -> Judgement:
    candidates = (
        _judge_excess(
            (route, FAILURES),
            (found.failures, found.calls),
            (found.excess, found.variance),
            BAD_DIFFERENCES,
        ),
        _judge_excess(
            (route, EXCEPTIONAL),
            (found.exceptional, found.timed),
            (found.exceptional_excess, found.exceptional_variance),
            BAD_EXCEPTIONAL_DIFFERENCES,
        ),
        _judge_shift(route, found),
    )
    return max(candidates, key=lambda item: item.verdict)


def _judge_excess(
    name: tuple[str, str],
    counted: tuple[int, int],
    excess: tuple[float, float],
    limits: tuple[tuple[float, float], ...],
) -> Judgement:
    hits, count = counted
    if hits < MIN_UNCLEAR_ANSWERS or excess[0] <= 0 or excess[1] <= 0:
        return Judgement(Verdict.GOOD)
    difference = excess[0] / count
    deviations = excess[0] / math.sqrt(excess[1])
    route, kind = name
    found = Judgement(
        Verdict.GOOD,
        f"{route}:{kind}={hits}/{count},excess={excess[0]:.1f}",
        route,
        kind,
        hits / count,
    )
    is_worse = any(difference >= least and deviations >= limit for least, limit in limits)
    if is_worse and hits >= MIN_BAD_ANSWERS:
        return found._replace(verdict=Verdict.BAD)
    is_unclear = any(
        difference >= least and deviations >= limit for least, limit in UNCLEAR_DIFFERENCES
    )
    return found._replace(verdict=Verdict.UNCLEAR) if is_unclear else found


def _judge_shift(route: str, found: Statistics) -> Judgement:
    if found.shifted < MIN_DURATIONS:
        return Judgement(Verdict.GOOD)
    scale = math.log(2) / BUCKETS_PER_DOUBLING / found.shifted
    shift = found.shift * scale
    certain = shift - SLOWDOWN_DEVIATIONS * math.sqrt(found.shift_variance) * scale
    reason = f"{route}:slowdown={math.exp(shift):.2f}/{found.shifted}"
    level = found.shift / found.shifted
    if shift < math.log(BAD_SLOWDOWN) or certain < math.log(UNCLEAR_CERTAIN_SLOWDOWN):
        return Judgement(Verdict.GOOD, reason)
    is_bad = certain >= math.log(CERTAIN_SLOWDOWN)
    verdict = Verdict.BAD if is_bad else Verdict.UNCLEAR
    return Judgement(verdict, reason, route, SLOWDOWN, level)
