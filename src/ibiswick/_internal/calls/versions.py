"""Choose the version of a service's backend servers that runs a call under a roll-out."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from ..shared.blackboard import Cell
from ..shared.records import Endpoint, VersionShare
from .callcounts import CallCounts

# One more endpoint is used where the share takes fewer than this, so that a slow one is avoided.
MIN_ENDPOINTS_WITHOUT_SPARE = 4
# Shares are rounded, which must not add an endpoint.
ROUNDING = 0.01

EndpointKey = tuple[str, int]


class VersionRule(NamedTuple):
    """Tell which endpoints may run a call.

    With `takes_target`, these are endpoints of the target version in `in_use`; otherwise all of
    other versions.
    """

    version: str
    takes_target: bool
    in_use: frozenset[EndpointKey]

    def admits(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint may run the call."""
        if not self.takes_target:
            return endpoint.version != self.version
        return (endpoint.vm, endpoint.incarnation) in self.in_use


class Versions:
    """Draw a version for each call of a service under a roll-out.

    A share of calls goes to about the same share of the target version's endpoints. These then run
    under their full load, so that a version that fails under load only is found at a small share.
    """

    def __init__(
        self,
        *,
        shares: Cell[Mapping[str, VersionShare]],
        endpoints: Cell[Mapping[str, tuple[Endpoint, ...]]],
        rng: random.Random,
        counts: CallCounts,
    ) -> None:
        self._shares = shares
        self._endpoints = endpoints
        self._rng = rng
        self._counts = counts
        self._seen = (-1, -1)
        # By service: the endpoints of the target version in use, and whether there are others.
        self._in_use: dict[str, tuple[frozenset[EndpointKey], bool]] = {}

    def draw(
        self, service: str, drawn: VersionRule | None, *, is_first: bool
    ) -> VersionRule | None:
        """Return the rule for the next attempt of a call, None without a roll-out.

        Only the first attempt draws. Later ones leave the target version while its share is below
        1, so that its failures reach few callers.
        """
        share = self._shares.value.get(service)
        if share is None:
            return None
        in_use, has_others = self._find(service)
        if share.share >= 1.0 and in_use:
            takes_target = True
        elif share.share <= 0.0 or not in_use:
            takes_target = False
        elif not has_others:
            takes_target = True
        else:
            takes_target = is_first and self._rng.random() < share.share
        if is_first or drawn is None:
            version = "target" if takes_target else "other"
            self._counts.add("ibiswick_rollout_calls_total", "version", version)
        return VersionRule(share.version, takes_target, in_use)

    def _find(self, service: str) -> tuple[frozenset[EndpointKey], bool]:
        seen = (self._shares.version, self._endpoints.version)
        if seen != self._seen:
            self._seen = seen
            self._in_use = {
                name: _select(self._endpoints.value.get(name, ()), share)
                for name, share in self._shares.value.items()
            }
        return self._in_use.get(service, (frozenset(), False))


def _select(
    endpoints: tuple[Endpoint, ...], share: VersionShare
) -> tuple[frozenset[EndpointKey], bool]:
    targets = [item for item in endpoints if item.version == share.version]
    if share.share < 1.0:
        targets = sorted(targets, key=_rank)[: count_in_use(share.share, len(targets))]
    keys = frozenset((item.vm, item.incarnation) for item in targets)
    return keys, any(item.version != share.version for item in endpoints)


def count_in_use(share: float, count: int) -> int:
    """Return how many of the target version's endpoints take its share of the calls.

    >>> count_in_use(0.083, 24), count_in_use(0.3, 24), count_in_use(0.09, 3)
    (3, 8, 2)
    """
    needed = math.ceil(share * count - ROUNDING)
    return needed + (needed < MIN_ENDPOINTS_WITHOUT_SPARE)


def _rank(endpoint: Endpoint) -> tuple[int, str]:
    """Return the key by which every node ranks endpoints alike, spread over the zones."""
    return (zlib.crc32(endpoint.vm.encode()), endpoint.vm)
