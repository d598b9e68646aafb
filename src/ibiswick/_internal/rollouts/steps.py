"""Decide the share of a version and the state of its roll-out from evidence and time."""

from __future__ import annotations

import math
from typing import NamedTuple

from .evidence import HISTORY_S, Evidence, Judgement, Verdict
from .records import Report, RolloutState, Stage

# Highest share before the first decision; the bound is a tenth of all calls.
MAX_FIRST_SHARE = 0.09
MIN_FIRST_SHARE = 0.04
# Backend servers that a share loads fully at least, if it may be as large.
MIN_LOADED = 2
# Calls a second of the target version that suffice for the first decision.
FIRST_CALLS_PER_S = 25.0
RAMP_SHARES = (0.3, 1.0)
# Shortest duration of each step: nodes learn of it within 0.3 s, and reports come every 0.5 s.
FIRST_STEP_S = 1.3
STEP_S = 1.3
# A step is shorter from this part of the duration on, as after the failure of a decider.
LATE_STEP_S = 0.9
LATE_AT = 0.72
# Shortest duration of the full share before the old backend servers may stop.
FULL_STEP_S = 1.6
# Part of the duration of the order after which it is completed; the rest is a margin for failures.
COMPLETE_AT = 0.81
EARLIEST_COMPLETE_AT = 0.75
# From this part on, unfinished calls at old backend servers no longer delay the completion.
LATEST_COMPLETE_AT = 0.9
# From this part on, a roll-out that can't be completed is rolled back.
GIVE_UP_AT = 0.98
# From this part on, the first share is given to the backend servers that are warm, even if few.
FIRST_STEP_AT = 0.42
# Bad evidence must last for this long, since nodes report at different times, and a fault that
# affects both versions is reported by some of them first.
CONFIRM_BAD_S = 0.55
# Longer while the old version fails more than usual as well.
CONFIRM_SHARED_S = 1.0
SHARED_FAILED_SHARE = 0.03
# A step that is due waits at most this long for unclear evidence to become clear, since the next
# share tells more.
MAX_UNCLEAR_S = 1.2
# A full share leaves no calls of the old version to compare with. On bad evidence the share falls
# to this much, and the evidence from SETTLE_S on decides.
CHECK_CALLS_PER_S = 30.0
MAX_CHECK_SHARE = 0.5
SETTLE_S = 0.6
CHECK_S = 0.9
# With few calls the check takes longer, up to this.
MAX_CHECK_S = 2.2
# Shortest duration of the full share after such a check, as the nodes have left the old backend
# servers before.
CHECKED_FULL_STEP_S = 1.1
# Calls of the target version that a step needs, if its share of the calls allows as many.
STEP_CALLS = 20
# Part of the expected calls that must have ended, and the time until a call that has ended is
# known. Calls of a slow version end late, and until then they are no evidence.
STEP_CALLS_SHARE = 0.6
REPORT_DELAY_S = 0.8
# With few calls the full share begins earlier, by the time of this many calls: the bound on the
# calls of a bad version allows 50 beyond a tenth of all.
EARLY_CALLS = 20.0
MAX_EARLY_S = 2.0
# With fewer calls of the target version in the last seconds, the completion waits longer.
COMPLETE_CALLS = 25
COMPLETE_WITH_FEW_CALLS_AT = 0.85
# Old backend servers without a call for this long have been left by every node.
QUIET_S = 0.5
# Slots needed for each call that runs or waits.
SLOTS_PER_BUSY = 1.25
RATE_WINDOW_S = 2.0
# With more calls that run or wait than this factor of the usual number, plus the slack, a roll-out
# is not completed yet.
USUAL_BUSY_WEIGHT = 0.1
MAX_BUSY_FACTOR = 1.8
MAX_BUSY_SLACK = 4
REPORT_MAX_AGE_S = 1.8


class Decision(NamedTuple):
    """Hold the next state and share of a roll-out, and the reason."""

    state: RolloutState
    share: float
    reason: str


class Fleet(NamedTuple):
    """Sum up the backend servers of a service that have reported lately.

    `needed_slots` is the number of slots that the present load takes.
    """

    warm_count: int
    target_count: int
    old_count: int
    warm_slots: int
    needed_slots: float
    old_quiet_s: float
    # Calls that run or wait.
    busy: int


class StepDecider:
    """Decide the steps of one order.

    A process that takes over from another one starts with the reports that it gets, and with the
    stage that the other one has written.
    """

    def __init__(self, *, new_version: str, duration_s: float) -> None:
        self._new_version = new_version
        self._duration_s = duration_s
        self.evidence = Evidence(new_version=new_version)
        self._reports: dict[str, tuple[Report, float]] = {}
        self._share = -1.0
        self._share_since = 0.0
        self._bad_since: float | None = None
        # Whether the full share was left to compare the versions again.
        self._is_checking = False
        self._check_share: float | None = None
        self._has_settled = False
        self._has_checked = False
        # Whether a check has found no fault at all, so that the next suspicion is final.
        self._was_clean = False
        self._suspicion = Judgement(Verdict.GOOD)
        self._peak_busy = 0.0
        self._old_slots = math.inf
        # Moving average of the calls that run or wait before the full share.
        self._usual_busy = 0.0
        self._warm_target: list[Report] = []
        self.judgement = Judgement(Verdict.GOOD)

    def note_report(self, report: Report, *, now: float) -> None:
        """Add the report of a node."""
        self._reports[report.vm] = (report, now)
        self.evidence.note(report)

    def list_reporters(self, *, now: float) -> set[str]:
        """Return the VMs that have reported lately."""
        return {vm for vm, (_, at) in self._reports.items() if now - at < REPORT_MAX_AGE_S}

    def _sum_up(self, now: float) -> Fleet:
        known = [item for item in self._reports.values() if now - item[1] < REPORT_MAX_AGE_S]
        target = [(r, at) for r, at in known if r.version == self._new_version]
        old = [(r, at) for r, at in known if r.version != self._new_version]
        warm = [report for report, _ in target if report.is_warm]
        self._warm_target = warm
        if old:
            self._old_slots = sum(report.slots for report, _ in old)
        busy = sum(report.busy for report, _ in known)
        self._peak_busy += (1.0 if busy > self._peak_busy else 0.02) * (busy - self._peak_busy)
        return Fleet(
            warm_count=len(warm),
            target_count=len(target),
            old_count=len(old),
            warm_slots=sum(report.slots for report in warm),
            # As many slots as the old version has are enough, whatever waits there.
            needed_slots=min(self._peak_busy * SLOTS_PER_BUSY, self._old_slots),
            old_quiet_s=min(
                ((0.0 if r.busy else r.quiet_s) + now - at for r, at in old), default=math.inf
            ),
            busy=busy,
        )

    def _measure_rate(self, now: float) -> float:
        new = self.evidence.count(target=True, now=now, window_s=RATE_WINDOW_S)
        old = self.evidence.count(target=False, now=now, window_s=RATE_WINDOW_S)
        return (new[0] + old[0]) / RATE_WINDOW_S

    def decide(
        self, stage: Stage, *, age_s: float, now: float, can_write: bool = True
    ) -> Decision | None:
        """Return the next step, or None to keep the present one.

        `age_s` is the time since the order. Without `can_write`, only a roll-back takes effect.
        """
        if stage.state is not RolloutState.RUNNING:
            return None
        if stage.share != self._share:
            if self._is_checking and stage.share >= 1.0:
                self._end_checking()
            self._share, self._share_since = stage.share, now
            # A step whose status could not be written has not begun.
            self._is_checking = stage.share == self._check_share
            self._has_settled = False
            self.evidence.mark()
        self.evidence.advance(now)
        if self._is_checking and not self._has_settled and now - self._share_since >= SETTLE_S:
            self._has_settled = True
            self.evidence.restart(self._suspicion)
        # Calls that the old version got just before the full share are reported with a delay.
        is_full = stage.share >= 1.0
        self.judgement = self.evidence.judge(has_control=not is_full)
        fleet = self._sum_up(now)
        if not is_full and not self._is_checking:
            self._usual_busy += USUAL_BUSY_WEIGHT * (fleet.busy - self._usual_busy)
        if stage.halted:
            return Decision(RolloutState.ROLLED_BACK, 0.0, "halted")
        bad = self._find_bad(stage, age_s, now, can_write)
        if bad is not None:
            return bad
        if age_s >= GIVE_UP_AT * self._duration_s and not self._may_complete(fleet, now, age_s):
            return Decision(RolloutState.ROLLED_BACK, 0.0, f"out-of-time:{self.judgement.reason}")
        if not stage.written:
            return Decision(RolloutState.RUNNING, stage.share, "ordered")
        return self._decide_step(stage.share, fleet, age_s, now)

    def _end_checking(self) -> None:
        """Note that the full share has returned after a check."""
        self._check_share = None
        self._has_checked = True
        self._was_clean = not self.evidence.is_fault_shared
        if self._was_clean:
            self.evidence.restore()

    def _find_bad(self, stage: Stage, age_s: float, now: float, can_write: bool) -> Decision | None:
        is_full = stage.share >= 1.0
        if self._is_checking and not self._has_settled:
            return None
        # At the full share a suspicion is checked while there is time, as a check can be undone.
        needed_s = CHECK_S + CHECKED_FULL_STEP_S + 0.3
        has_time = age_s < GIVE_UP_AT * self._duration_s - needed_s
        least = Verdict.UNCLEAR if is_full and has_time else Verdict.BAD
        if self.judgement.verdict < least:
            self._bad_since = None
            return None
        if self._bad_since is None:
            self._bad_since = now
        old = self.evidence.count(target=False, now=now, window_s=1.0)
        is_shared = old[1] > SHARED_FAILED_SHARE * max(1, old[0])
        confirm_s = CONFIRM_SHARED_S if is_shared else CONFIRM_BAD_S
        is_certain = self.judgement.verdict is Verdict.BAD
        if is_full and is_certain and not self._was_clean:
            confirm_s = 0.0
        if now - self._bad_since < confirm_s:
            return None
        self._bad_since = None
        if is_full and not self._was_clean and can_write:
            if self.evidence.is_fault_shared and not has_time:
                # The fault of both versions probably goes on.
                return None
            self._suspicion = self.judgement
            rate = max(1.0, self._measure_rate(now))
            share = min(MAX_CHECK_SHARE, max(MAX_FIRST_SHARE, CHECK_CALLS_PER_S / rate))
            share = fit_share(share, len(self._warm_target), most=MAX_CHECK_SHARE)
            self._check_share = share
            return Decision(RolloutState.RUNNING, share, f"check:{self.judgement.reason}")
        if not is_certain:
            return None
        return Decision(RolloutState.ROLLED_BACK, 0.0, self.judgement.reason)

    def _decide_step(self, share: float, fleet: Fleet, age_s: float, now: float) -> Decision | None:
        spent_s = now - self._share_since
        if share <= 0.0:
            return self._decide_first(fleet, age_s, now)
        if share >= 1.0:
            if self._may_complete(fleet, now, age_s):
                return Decision(RolloutState.COMPLETED, 1.0, "complete")
            return None
        if self._is_checking:
            return self._end_check(spent_s, age_s)
        following = next(item for item in RAMP_SHARES if item > share + 0.01)
        is_first = share <= MAX_FIRST_SHARE
        step_s = FIRST_STEP_S if is_first else STEP_S
        if age_s >= LATE_AT * self._duration_s:
            step_s = LATE_STEP_S
        if spent_s < step_s:
            return None
        due = self._schedule(following, now)
        if self.judgement.verdict is not Verdict.GOOD and age_s < due + MAX_UNCLEAR_S:
            return None
        if age_s < due or not self._has_calls(share, spent_s, now):
            return None
        if fleet.warm_slots < following * fleet.needed_slots:
            return None
        return Decision(RolloutState.RUNNING, following, "step")

    def _end_check(self, spent_s: float, age_s: float) -> Decision | None:
        """Return the step after a check, None while it goes on."""
        if not self._has_settled or spent_s < CHECK_S:
            return None
        verdict = self.evidence.check()
        latest_s = GIVE_UP_AT * self._duration_s - CHECKED_FULL_STEP_S - 0.2
        is_late = spent_s >= MAX_CHECK_S or age_s >= latest_s
        if verdict is Verdict.UNCLEAR:
            if not is_late:
                return None
            verdict = self.evidence.check_few()
        if verdict is not Verdict.GOOD:
            return Decision(RolloutState.ROLLED_BACK, 0.0, f"confirmed:{self._suspicion.reason}")
        return Decision(RolloutState.RUNNING, 1.0, "checked")

    def _decide_first(self, fleet: Fleet, age_s: float, now: float) -> Decision | None:
        is_complete = 0 < fleet.target_count == fleet.warm_count >= fleet.old_count
        is_late = age_s >= FIRST_STEP_AT * self._duration_s and fleet.warm_count > 0
        if not is_complete and not is_late:
            return None
        rate = max(1.0, self._measure_rate(now))
        share = min(MAX_FIRST_SHARE, max(MIN_FIRST_SHARE, FIRST_CALLS_PER_S / rate))
        share = fit_share(share, fleet.target_count, most=MAX_FIRST_SHARE)
        return Decision(RolloutState.RUNNING, share, "first")

    def _schedule(self, share: float, now: float) -> float:
        """Return the time after the order at which a share is due.

        A version that turns out bad must have got few calls by then, so the share rises late.
        """
        index = RAMP_SHARES.index(share)
        steps_left = len(RAMP_SHARES) - 1 - index
        early_s = min(MAX_EARLY_S, EARLY_CALLS / max(1.0, self._measure_rate(now)))
        full_s = FULL_STEP_S + 0.2 + early_s
        return COMPLETE_AT * self._duration_s - full_s - steps_left * STEP_S

    def _has_calls(self, share: float, spent_s: float, now: float) -> bool:
        """Tell whether the target version has got about as many calls as its share allows."""
        rate = self._measure_rate(now)
        delay_s = REPORT_DELAY_S + self.evidence.estimate_old_duration()
        seen_s = max(0.0, min(spent_s - delay_s, HISTORY_S))
        expected = min(float(STEP_CALLS), STEP_CALLS_SHARE * share * rate * seen_s)
        found = self.evidence.count(target=True, now=now, window_s=min(spent_s, HISTORY_S))[0]
        return found >= math.floor(expected)

    def _may_complete(self, fleet: Fleet, now: float, age_s: float) -> bool:
        """Tell whether the old backend servers may stop at once."""
        full_s = CHECKED_FULL_STEP_S if self._has_checked else FULL_STEP_S
        if self._share < 1.0 or now - self._share_since < full_s:
            return False
        if self.judgement.verdict is Verdict.BAD or age_s < EARLIEST_COMPLETE_AT * self._duration_s:
            return False
        is_late = age_s >= LATEST_COMPLETE_AT * self._duration_s
        if self.judgement.verdict is not Verdict.GOOD and not is_late:
            return False
        few = self.evidence.count(target=True, now=now, window_s=HISTORY_S)[0] < COMPLETE_CALLS
        if few and age_s < COMPLETE_WITH_FEW_CALLS_AT * self._duration_s:
            return False
        if not fleet.warm_count or fleet.warm_slots < fleet.needed_slots:
            return False
        if is_late:
            return True
        # Calls of a version that has just become slow run for long before they are evidence.
        is_piling_up = fleet.busy > MAX_BUSY_FACTOR * self._usual_busy + MAX_BUSY_SLACK
        return not is_piling_up and fleet.old_quiet_s >= QUIET_S


def fit_share(share: float, count: int, *, most: float) -> float:
    """Return a share near another one that loads whole backend servers of `count` fully.

    The calls of a share go to as large a part of the backend servers, so these then have their full
    load, under which some versions fail.

    >>> fit_share(0.0625, 24, most=0.09), fit_share(0.08, 41, most=0.09)
    (0.0833, 0.0731)
    >>> fit_share(0.09, 3, most=0.09)
    0.09
    """
    if count <= 0:
        return min(most, share)
    return min(most, math.floor(max(MIN_LOADED, share * count)) / count // 0.0001 / 10_000)
