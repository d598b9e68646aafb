"""Compute an upper bound of the worth that a scheduler with full knowledge could earn.

The bound assumes:

* Only slots limit the work. A call holds a slot for its own work and for that of its child calls.
* Backend servers are never idle, and calls with the most worth per second of work go first.
* No response is late.
* While backend servers shed calls, the retry budget of a window is spent evenly, and on the calls
  with the most worth first. The bound is the mean over the random choice of shed calls.
* Work does not move to another window, so a window after an outage may earn more than its bound.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ..calls.retries import compute_max_attempts
from .loads import Event, Kind, Load


def find_bound(
    load: Load, *, start_s: float, end_s: float, call_counts: Mapping[str, int]
) -> float:
    """Return the share of the worth of a window's calls that could be earned.

    * `start_s`, `end_s`: limits of the window, counted from the start of the load.
    * `call_counts`: number of calls of each kind that start in the window.
    """
    total_worth = sum(count * load.kinds[name].worth for name, count in call_counts.items())
    if not total_worth:
        return 1.0
    earned_worth = 0.0
    capacity_s = {name: _compute_capacity_s(load, name, start_s, end_s) for name in load.services}
    unshed_shares = _compute_unshed_shares(load, start_s, end_s, call_counts)
    for name in sorted(
        call_counts, key=lambda name: _compute_worth_per_s(load, name), reverse=True
    ):
        kind = load.kinds[name]
        count = call_counts[name] * unshed_shares[name]
        work_by_service = _compute_work_by_service(load, kind)
        served = min(
            [count, *(capacity_s[service] / work_s for service, work_s in work_by_service.items())]
        )
        for service, work_s in work_by_service.items():
            capacity_s[service] -= served * work_s
        earned_worth += served * kind.worth
    return earned_worth / total_worth


def _compute_worth_per_s(load: Load, name: str) -> float:
    kind = load.kinds[name]
    return kind.worth / sum(_compute_work_by_service(load, kind).values())


def _compute_work_by_service(load: Load, kind: Kind) -> dict[str, float]:
    """Return the seconds of work that a call takes at each service."""
    work_by_service = Counter({kind.service: kind.work_ms / 1000})
    for child in kind.calls:
        work_s = child.share * load.kinds[child.kind].work_ms / 1000
        work_by_service[load.kinds[child.kind].service] += work_s
        work_by_service[kind.service] += work_s
    return dict(work_by_service)


def _compute_capacity_s(load: Load, service: str, start_s: float, end_s: float) -> float:
    """Return the seconds of work that the slots of a service can do in a window."""
    settings = load.services[service]
    count = sum(zone.nodes.get(service, 0) for zone in load.zones)
    work_factors = [settings.speeds[number % len(settings.speeds)] for number in range(count)]
    capacity_s = sum(settings.slots * (end_s - start_s) / factor for factor in work_factors)
    for event in load.events:
        if event.service not in ("", service):
            continue
        active_share = _compute_overlap_s(event, start_s, end_s) / (end_s - start_s)
        if event.kind == "down":
            power_restored_at_s = event.at + event.seconds
            cold_share = max(
                0.0,
                min(end_s, power_restored_at_s + settings.cold_s)
                - max(start_s, power_restored_at_s),
            ) / (end_s - start_s)
            capacity_s *= 1 - event.share * (
                active_share + cold_share * (1 - 1 / settings.cold_factor)
            )
        elif event.kind == "slow":
            capacity_s *= 1 - event.share * active_share * (1 - 1 / event.factor)
    return max(0.0, capacity_s)


def _compute_unshed_shares(
    load: Load, start_s: float, end_s: float, call_counts: Mapping[str, int]
) -> dict[str, float]:
    """Return the share of each kind's calls that reach a backend server which accepts them."""
    shares = dict.fromkeys(call_counts, 1.0)
    for event in load.events:
        overlap_s = _compute_overlap_s(event, start_s, end_s)
        if event.kind != "shed" or overlap_s <= 0:
            continue
        active_share = overlap_s / (end_s - start_s)
        names = [name for name in call_counts if load.kinds[name].service == event.service]
        requests_per_s = sum(
            call_counts[name] * (1 + load.kinds[name].returns) for name in names
        ) / (end_s - start_s)
        # What the calls before the event have earned is left for its retries.
        earning_s = min(load.retry_window_s, event.at + event.seconds)
        spending_s = min(load.retry_window_s, event.seconds)
        extras_per_s = load.retry_ratio * requests_per_s * earning_s + load.retry_slack
        extras = overlap_s * extras_per_s / spending_s
        accepted_share = 1 - event.share
        for name in sorted(names, key=lambda name: load.kinds[name].worth, reverse=True):
            kind = load.kinds[name]
            sends = 1 + kind.returns
            base = 1 - event.share**sends
            most = 1 - event.share ** (sends * compute_max_attempts(kind.attempts - 1))
            affected = call_counts[name] * active_share
            # Each extra arrival is accepted with the same probability, whichever call it is for.
            gained = min(affected * (most - base), extras * accepted_share)
            extras -= gained / accepted_share if accepted_share else 0.0
            if affected:
                shares[name] *= 1 - active_share * (1 - base) + gained / call_counts[name]
    return shares


def _compute_overlap_s(event: Event, start_s: float, end_s: float) -> float:
    """Return the seconds of a window in which an event is active."""
    return max(0.0, min(end_s, event.at + event.seconds) - max(start_s, event.at))
