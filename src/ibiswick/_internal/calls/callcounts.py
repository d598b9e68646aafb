"""Count what the call path does, cheaply enough for every call."""

from __future__ import annotations

from collections import defaultdict

from ..shared.metrics import define_counter

_DOCS = {
    "ibiswick_calls_total": "Calls by what became of them on the caller port.",
    "ibiswick_peer_calls_total": "Calls by what became of them on the peer port.",
    "ibiswick_refused_total": "Calls refused before anything was sent, by reason.",
    "ibiswick_attempts_total": "Attempts of calls by outcome.",
    "ibiswick_retries_total": "Decisions about another attempt, by reason.",
    "ibiswick_hedges_total": "Hedged attempts by result.",
    "ibiswick_ejections_total": "Changes of endpoints between ejected and readmitted, by event.",
    "ibiswick_requests_rejected_total": "Malformed or unsupported requests by code.",
}


class CallCounts:
    """Hold the counts as plain integers and copy them to the metrics when these are read."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: defaultdict[tuple[str, str, str], int] = defaultdict(int)

    def add(self, metric: str, label: str, value: str) -> None:
        """Count one event."""
        self._counts[metric, label, value] += 1

    def get(self, metric: str, label: str, value: str) -> int:
        """Return one count."""
        return self._counts.get((metric, label, value), 0)

    def export(self) -> None:
        """Copy every count to the metrics of the process."""
        for (metric, label, value), count in self._counts.items():
            define_counter(metric, _DOCS[metric]).set({label: value}, count)
