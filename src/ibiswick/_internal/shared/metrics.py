"""Count and gauge what a process does, for the operations port."""

from __future__ import annotations

from aioprometheus import REGISTRY, Counter, Gauge

_counters: dict[str, Counter] = {}
_gauges: dict[str, Gauge] = {}


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


def render_metrics(accept: str = "") -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of a scrape."""
    from aioprometheus.renderer import render

    return render(REGISTRY, [accept or "text/plain"])
