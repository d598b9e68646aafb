"""Divide the calls of a route among services by weight."""

from __future__ import annotations

from ..shared.records import Route, SplitPart


class SplitPicker:
    """Choose parts in exact proportion to their weights, evenly spread.

    >>> parts = [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
    >>> picker = SplitPicker(parts)
    >>> "".join(picker.choose() for _ in range(8))
    'aabaaaba'
    """

    __slots__ = ("_credits", "_total", "parts")

    def __init__(self, parts: list[SplitPart]) -> None:
        self.parts = parts
        self._total = sum(part["weight"] for part in parts)
        self._credits = [0] * len(parts)

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

    def __init__(self) -> None:
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
                picker = SplitPicker(parts)
            self._pickers[route["id"]] = picker

    def choose(self, route: Route) -> str:
        """Return the service for the next call of a route."""
        picker = self._pickers.get(route["id"])
        return route["service"] if picker is None else picker.choose()
