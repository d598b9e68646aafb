"""Divide the calls of a route among services by weight."""

from __future__ import annotations

import math
import random

from ..shared.records import Route, SplitPart

# Most steps by which a picker is advanced at its start. Cycles of weights are mostly shorter.
MAX_START_STEPS = 1000


class SplitPicker:
    """Choose parts in exact proportion to their weights, by smooth weighted round-robin.

    With `rng`, a picker starts at a random step of its cycle. If all nodes started at the same
    step, they would all send their first calls to the same part, which distorts the split where
    each node has few calls.

    >>> parts = [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
    >>> picker = SplitPicker(parts)
    >>> "".join(picker.choose() for _ in range(8))
    'aabaaaba'
    """

    __slots__ = ("_credits", "_total", "parts")

    def __init__(self, parts: list[SplitPart], *, rng: random.Random | None = None) -> None:
        self.parts = parts
        self._total = sum(part["weight"] for part in parts)
        self._credits = [0] * len(parts)
        if rng is not None:
            cycle = self._total // math.gcd(*(part["weight"] for part in parts))
            for _ in range(rng.randrange(min(cycle, MAX_START_STEPS))):
                self.choose()

    def choose(self) -> str:
        """Return the service of the next call."""
        best = 0
        for index, part in enumerate(self.parts):
            self._credits[index] += part["weight"]
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self.parts[best]["service"]


class Splits:
    """Choose the service of each call, with one picker for each route that has a split."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._pickers: dict[str, SplitPicker] = {}

    def update(self, routes: tuple[Route, ...]) -> None:
        """Apply the routes of a new snapshot, keeping the pickers of unchanged splits."""
        previous = self._pickers
        self._pickers = {}
        for route in routes:
            parts = route.get("split")
            if parts is None:
                continue
            picker = previous.get(route["id"])
            if picker is None or picker.parts != parts:
                picker = SplitPicker(parts, rng=self._rng)
            self._pickers[route["id"]] = picker

    def choose(self, route: Route) -> str:
        """Return the service for the next call of a route."""
        picker = self._pickers.get(route["id"])
        return route["service"] if picker is None else picker.choose()
