"""Define and render the metrics that a process exposes on its operations port.

The metrics library is imported when metrics are defined or read, because its import takes a
noticeable part of the startup time of a process.
"""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aioprometheus import Counter, Gauge, Histogram

_counters: dict[str, Counter] = {}
_gauges: dict[str, Gauge] = {}
_histograms: dict[str, Histogram] = {}

# From calls that do no work to those that use up a whole deadline.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


def define_counter(name: str, doc: str) -> Counter:
    """Return the counter with a name; register it on first use."""
    from aioprometheus import Counter

    if name not in _counters:
        _counters[name] = Counter(name, doc)
    return _counters[name]


def define_gauge(name: str, doc: str) -> Gauge:
    """Return the gauge with a name; register it on first use."""
    from aioprometheus import Gauge

    if name not in _gauges:
        _gauges[name] = Gauge(name, doc)
    return _gauges[name]


def define_histogram(name: str, doc: str) -> Histogram:
    """Return the latency histogram with a name; register it on first use."""
    from aioprometheus import Histogram

    if name not in _histograms:
        _histograms[name] = Histogram(name, doc, buckets=list(LATENCY_BUCKETS_S))
    return _histograms[name]


class DurationCounts:
    """Count durations by bucket, at a cost low enough for every call.

    >>> durations = DurationCounts()
    >>> durations.add(0.02)
    >>> durations.add(9.0)
    >>> durations.total, durations.counts[2], durations.counts[-1]
    (2, 1, 1)
    """

    __slots__ = ("counts", "sum_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0

    @property
    def total(self) -> int:
        """Return the number of durations added."""
        return sum(self.counts)

    def add(self, seconds: float) -> None:
        """Add one duration in seconds."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def export(self, histogram: Histogram, labels: dict[str, str]) -> None:
        """Copy the counts to one label set of a histogram."""
        from aioprometheus.histogram import Histogram as Buckets

        buckets = Buckets(*LATENCY_BUCKETS_S)
        for bound, count in zip(buckets.buckets, accumulate(self.counts), strict=True):
            buckets.buckets[bound] = count
        buckets.observations = self.total
        buckets.sum = self.sum_s
        histogram.set_value(labels, buckets)


def render_metrics(accept: str = "") -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of the response to a scrape."""
    from aioprometheus import REGISTRY
    from aioprometheus.renderer import render

    return render(REGISTRY, [accept or "text/plain"])
