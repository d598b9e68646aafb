"""Divide the calls of a route among services by weight."""

from __future__ import annotations

import math
import random

from ..shared.records import Route, SplitPart

# Steps by which a picker may be advanced at its start; cycles of weights are mostly shorter.
MAX_PHASE = 1000


class SplitPicker:
    """Choose parts in exact proportion to their weights, evenly spread.

    With `rng` it begins at a random place of its cycle. Nodes that all began at the same place
    would send their first calls to the same part, which shows where each node has few calls.

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
            for _ in range(rng.randrange(min(cycle, MAX_PHASE))):
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
    """Keep a picker for each route with a split; one whose parts stay the same is kept."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._pickers: dict[str, SplitPicker] = {}

    def update(self, routes: tuple[Route, ...]) -> None:
        """Take over the routes of a new snapshot."""
        kept = self._pickers
        self._pickers = {}
        for route in routes:
            parts = route.get("split")
            if parts is None:
                continue
            picker = kept.get(route["id"])
            if picker is None or picker.parts != parts:
                picker = SplitPicker(parts, rng=self._rng)
            self._pickers[route["id"]] = picker

    def choose(self, route: Route) -> str:
        """Return the service for the next call of a route."""
        picker = self._pickers.get(route["id"])
        return route["service"] if picker is None else picker.choose()
