"""Read the zone-root leases that say which nodes are roots."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..shared.errors import IbiswickError
from ..shared.objectapi import Listing, StoredObject
from ..shared.records import Lease
from ..shared.settings import Address
from .context import Context
from .leases import LeaseKeeper
from .tree import rank_roots

PREFIX = "leases/"

Done = Callable[[bool, float], None]


def format_lease_key(availability_zone: str, index: int) -> str:
    """Return the key of a lease object."""
    return f"{PREFIX}{availability_zone}/{index}"


class Directory:
    """Hold the leases last read, by availability zone and index."""

    def __init__(self, ctx: Context, keeper: LeaseKeeper) -> None:
        self._ctx = ctx
        self._keeper = keeper
        self._zone = ctx.own.availability_zone
        self.zones: dict[str, dict[int, Lease]] = {}
        self.revision = 0

    def read(self, done: Done, *, everywhere: bool) -> None:
        """Read the leases of the own availability zone or of all; report whether it worked."""
        prefix = PREFIX if everywhere else f"{PREFIX}{self._zone}/"

        def finish(result: Any, now: float) -> None:
            if isinstance(result, IbiswickError) or result.revision < self.revision:
                done(False, now)
                return
            self._take(result, everywhere, now)
            done(True, now)

        self._ctx.call("list", finish, prefix=prefix)

    def list_zone(self) -> dict[int, Lease]:
        """Return the leases of the own availability zone."""
        return self.zones.get(self._zone, {})

    def list_addresses(self, workspace: str) -> list[Address]:
        """Return the other roots of the own availability zone, the preferred one first."""
        roots = {lease["vm"]: lease for lease in self.list_zone().values()}
        roots.pop(self._ctx.own.vm, None)
        return [
            Address(roots[vm]["host"], roots[vm]["control_port"])
            for vm in rank_roots(workspace, roots)
        ]

    def list_others(self) -> list[tuple[str, Lease]]:
        """Return every other root with its availability zone."""
        return [
            (zone, lease)
            for zone, leases in self.zones.items()
            for lease in leases.values()
            if lease["vm"] != self._ctx.own.vm
        ]

    def _take(self, listing: Listing, everywhere: bool, now: float) -> None:
        self.revision = listing.revision
        zones: dict[str, dict[int, Lease]] = {}
        versions: dict[int, int] = {}
        for stored in listing.objects:
            found = self._parse(stored)
            if found is None:
                continue
            zone, index, lease = found
            zones.setdefault(zone, {})[index] = lease
            if zone == self._zone:
                versions[index] = stored.version
        own = zones.get(self._zone, {})
        for index in range(self._ctx.settings.zone_roots):
            self._keeper.observe(index, versions.get(index, 0), own.get(index), now)
        self.zones = zones if everywhere else {**self.zones, self._zone: own}

    def _parse(self, stored: StoredObject) -> tuple[str, int, Lease] | None:
        zone, _, index = stored.key.removeprefix(PREFIX).partition("/")
        try:
            return zone, int(index), msgspec.convert(stored.value, Lease)
        except (ValueError, msgspec.ValidationError) as error:
            self._ctx.log("error", "lease-malformed", key=stored.key, detail=str(error))
            return None
