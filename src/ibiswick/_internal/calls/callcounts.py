"""Count events of calls, cheaply enough to do so for every call."""

from __future__ import annotations

from collections import defaultdict

from ..shared.metrics import DurationCounts, define_counter, define_histogram

_COUNTER_DOCS = {
    "ibiswick_calls_total": "Calls on the caller port, by result.",
    "ibiswick_callers_total": "Requests where tenants are configured, by the caller's identity.",
    "ibiswick_peer_calls_total": "Calls on the peer port, by result.",
    "ibiswick_refused_total": "Calls refused before anything was sent, by reason.",
    "ibiswick_attempts_total": "Attempts of calls, by outcome.",
    "ibiswick_retries_total": "Decisions about another attempt, by reason.",
    "ibiswick_repeats_total": "Arrivals at services beyond the first of each call, by cause.",
    "ibiswick_hedges_total": "Hedged attempts, by result.",
    "ibiswick_ejections_total": "Ejections and readmissions of endpoints, by event.",
    "ibiswick_requests_rejected_total": "Malformed or unsupported requests, by code.",
    "ibiswick_cut_total": "Connections closed and bodies given up for want of room, by reason.",
    "ibiswick_crossing_bytes_total": "Bytes to and from other availability zones, by purpose.",
    "ibiswick_limit_tokens_total": "Calls of tenants with a limit, by result.",
    "ibiswick_limit_datagrams_total": "Datagrams about limits, by kind.",
    "ibiswick_rollout_calls_total": "Calls under a roll-out, by the version that was drawn.",
    "ibiswick_rollout_answers_total": "Answers of warm backend servers, by version and result.",
    "ibiswick_rollout_steps_total": "Steps of roll-outs that this node decided, by state.",
    "ibiswick_platform_calls_total": "Calls to the object API by method, kind and result.",
}
_HISTOGRAM_DOCS = {
    "ibiswick_call_seconds": "Time from the arrival of a call to its final answer, by result.",
    "ibiswick_slot_wait_seconds": "Time that calls waited for a slot, by result.",
    "ibiswick_body_turn_seconds": "Time that bodies waited for their turn on the VM's link.",
    "ibiswick_connect_seconds": "Time that handshakes took or were waited for, by result.",
    "ibiswick_exchange_seconds": "Time that exchanges with other nodes took, by result.",
    "ibiswick_loop_late_seconds": "Time by which a timer of the process fired late.",
}


class CallCounts:
    """Hold counts as plain integers, and copy them to the metrics when those are read."""

    __slots__ = ("_counts", "_durations")

    def __init__(self) -> None:
        self._counts: defaultdict[tuple[str, str, str], int] = defaultdict(int)
        self._durations: defaultdict[tuple[str, str, str], DurationCounts] = defaultdict(
            DurationCounts
        )

    def add(self, metric: str, label: str, value: str, amount: int = 1) -> None:
        """Add an amount to a counter, by default one event."""
        self._counts[metric, label, value] += amount

    def observe(self, metric: str, label: str, value: str, seconds: float) -> None:
        """Add one duration to a histogram."""
        self._durations[metric, label, value].add(seconds)

    def get(self, metric: str, label: str, value: str) -> int:
        """Return one count."""
        return self._counts.get((metric, label, value), 0)

    def export(self) -> None:
        """Copy every count to the metrics of the process."""
        for (metric, label, value), count in self._counts.items():
            define_counter(metric, _COUNTER_DOCS[metric]).set({label: value}, count)
        for (metric, label, value), durations in self._durations.items():
            durations.export(define_histogram(metric, _HISTOGRAM_DOCS[metric]), {label: value})
