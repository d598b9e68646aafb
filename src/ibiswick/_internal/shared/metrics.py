"""Count and gauge what a process does, for the operations port."""

from __future__ import annotations

from aioprometheus import REGISTRY, Counter, Gauge, Histogram

_counters: dict[str, Counter] = {}
_gauges: dict[str, Gauge] = {}
_histograms: dict[str, Histogram] = {}

# Seconds; from calls that touch nothing to those that use a whole deadline.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


def define_counter(name: str, doc: str) -> Counter:
    """Return the counter of a name, registered once for the process."""
    if name not in _counters:
        _counters[name] = Counter(name, doc)
    return _counters[name]


def define_gauge(name: str, doc: str) -> Gauge:
    """Return the gauge of a name, registered once for the process."""
    if name not in _gauges:
        _gauges[name] = Gauge(name, doc)
    return _gauges[name]


def define_histogram(name: str, doc: str) -> Histogram:
    """Return the latency histogram of a name, registered once for the process."""
    if name not in _histograms:
        _histograms[name] = Histogram(name, doc, buckets=list(LATENCY_BUCKETS_S))
    return _histograms[name]


def render_metrics(accept: str = "") -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of a scrape."""
    from aioprometheus.renderer import render

    return render(REGISTRY, [accept or "text/plain"])
