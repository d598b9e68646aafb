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
from .leases import LeaseManager
from .tree import rank_roots

LEASES_PREFIX = "leases/"

DoneCallback = Callable[[bool, float], None]


def format_lease_key(availability_zone: str, index: int) -> str:
    """Return the key of a lease object."""
    return f"{LEASES_PREFIX}{availability_zone}/{index}"


class Directory:
    """Hold the leases last read, by availability zone and index."""

    def __init__(self, ctx: Context, lease_manager: LeaseManager) -> None:
        self._ctx = ctx
        self._lease_manager = lease_manager
        self._zone = ctx.own.availability_zone
        self.leases_by_zone: dict[str, dict[int, Lease]] = {}
        self.revision = 0

    def read(self, done: DoneCallback, *, all_zones: bool) -> None:
        """Read the leases of the own availability zone or of all; report whether it worked."""
        prefix = LEASES_PREFIX if all_zones else f"{LEASES_PREFIX}{self._zone}/"

        def finish(result: Any, now: float) -> None:
            if isinstance(result, IbiswickError) or result.revision < self.revision:
                done(False, now)
                return
            self._apply_listing(result, all_zones, now)
            done(True, now)

        self._ctx.call("list", finish, prefix=prefix)

    def get_zone_leases(self) -> dict[int, Lease]:
        """Return the leases of the own availability zone by index."""
        return self.leases_by_zone.get(self._zone, {})

    def list_root_addresses(self, workspace: str) -> list[Address]:
        """Return the other roots of the availability zone, the workspace's preferred one first."""
        roots = {lease["vm"]: lease for lease in self.get_zone_leases().values()}
        roots.pop(self._ctx.own.vm, None)
        return [
            Address(roots[vm]["host"], roots[vm]["control_port"])
            for vm in rank_roots(workspace, roots)
        ]

    def list_other_roots(self) -> list[tuple[str, Lease]]:
        """Return every other root with its availability zone."""
        return [
            (zone, lease)
            for zone, leases in self.leases_by_zone.items()
            for lease in leases.values()
            if lease["vm"] != self._ctx.own.vm
        ]

    def _apply_listing(self, listing: Listing, all_zones: bool, now: float) -> None:
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
        own_leases = zones.get(self._zone, {})
        for index in range(self._ctx.settings.zone_roots):
            self._lease_manager.observe(index, versions.get(index, 0), own_leases.get(index), now)
        self.leases_by_zone = (
            zones if all_zones else {**self.leases_by_zone, self._zone: own_leases}
        )

    def _parse(self, stored: StoredObject) -> tuple[str, int, Lease] | None:
        zone, _, index = stored.key.removeprefix(LEASES_PREFIX).partition("/")
        try:
            return zone, int(index), msgspec.convert(stored.value, Lease)
        except (ValueError, msgspec.ValidationError) as error:
            self._ctx.log("error", "lease-malformed", key=stored.key, detail=str(error))
            return None
