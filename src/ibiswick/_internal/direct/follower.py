"""Follow the objects under one prefix of the object API."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable

from ..shared.blackboard import Cell
from ..shared.errors import (
    EraChangedError,
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
)
from ..shared.logs import EventLog
from ..shared.objectapi import Listing, Platform

WATCH_TIMEOUT_S = 20.0
# Spread over this range, the retries of nodes that lost the object API together do not coincide.
RETRY_MIN_S = 0.4
RETRY_MAX_S = 1.0
# Nodes list again at random moments within this time after the object API has dropped its history.
RELIST_SPREAD_S = 0.3
# A moment before any other.
NEVER = -math.inf

_log = EventLog(component="follower")


class Follower:
    """List the objects under a prefix, then watch them until cancelled.

    A read that fails changes nothing: what has been applied stays until a newer listing replaces
    it. `holds_at` is the moment for which the applied objects are known to be current: the object
    API received the last current read no earlier than that. It is `NEVER` before such a read.

    The parameters that control the reads:

    * `apply`: gets each listing, and whether it is complete or holds only changes.
    * `get_coalesce_s`: how long changes are collected before the next watch.
    * `get_large_key`: an object that is read once after that time, since a watch would return each
      of its versions; None if there is none.
    * `wait_before_list` and `wait_before_watch`: awaited before the first listing and the first
      watch; they return once it is known that this node has to list, and to watch.
    * `get_stale_watch_limit_s`: returns None while reads must be current. Otherwise reads may be
      stale, and a watch waits at most this long.
    * `era`: the highest era of the store that any of its responses has named. Once it is above the
      era of the watched revision, everything is listed again, and no response of an earlier era is
      applied.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        prefix: str,
        apply: Callable[[Listing, bool], None],
        rng: random.Random,
        get_coalesce_s: Callable[[], float],
        get_large_key: Callable[[], str | None] = lambda: None,
        wait_before_list: Callable[[], Awaitable[None]] | None = None,
        wait_before_watch: Callable[[], Awaitable[None]] | None = None,
        get_stale_watch_limit_s: Callable[[], float | None] = lambda: None,
        era: Cell[int] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self.answered_at = clock()
        self.holds_at = NEVER
        self.has_listed = False
        # Whether a read failed before the first listing.
        self.failed_before_listing = False
        # Duration of the first read that returned an object; None before it.
        self.first_read_s: float | None = None
        self._platform = platform
        self._prefix = prefix
        self._apply = apply
        self._rng = rng
        self._get_coalesce_s = get_coalesce_s
        self._get_large_key = get_large_key
        self._wait_before_list = wait_before_list
        self._wait_before_watch = wait_before_watch
        self._get_stale_watch_limit_s = get_stale_watch_limit_s
        # Whether the next listing must not be stale: a stale one may be older than the dropped
        # history.
        self._needs_current_list = False
        self._revision: int | None = None
        # The era to which the revision belongs, and the highest one known.
        self._era = 0
        self._known_era = era if era is not None else Cell(0)
        # Ends the pending watch: with an error, or without one if its changes are known. None while
        # no watch is pending.
        self._interruption: asyncio.Future[None] | None = None
        # Whether the last read got a response.
        self.is_reachable = False
        self._unreachable_since = clock()

    @property
    def outage_s(self) -> float:
        """Return the seconds since the object API stopped responding; 0 while it responds."""
        return 0.0 if self.is_reachable else self._clock() - self._unreachable_since

    async def run(self) -> None:
        """Follow until cancelled."""
        has_relisted = False
        while True:
            try:
                await self._step()
                has_relisted = False
            except HistoryLostError as error:
                _log.warn(
                    error.code,
                    prefix=self._prefix,
                    revision=self._revision,
                    era=self._known_era.value,
                    detail=error,
                )
                self._revision = None
                self._needs_current_list = True
                # Listing at once again would get the same response.
                spread = (RETRY_MIN_S, RETRY_MAX_S) if has_relisted else (0.0, RELIST_SPREAD_S)
                has_relisted = True
                await asyncio.sleep(self._rng.uniform(*spread))
            except PlatformError as error:
                self._note_unreachable(error)
                await asyncio.sleep(self._choose_retry_delay_s(error))

    @property
    def is_watching(self) -> bool:
        """Tell whether a watch is pending."""
        return self._interruption is not None

    async def confirm(self) -> None:
        """Read what has changed since the last read while a watch is pending.

        A watch whose response was lost is as silent as one without changes, and its connection
        stays open. If this read finds a change or fails, `run` replaces the pending watch.
        """
        interruption, revision, era = self._interruption, self._revision, self._era
        if interruption is None or revision is None:
            return
        started = self._clock()
        try:
            listing = await self._platform.watch(self._prefix, after=revision, timeout_s=0.0)
            self._check_era(listing.era)
            self._check_era(era)
        except PlatformError as error:
            if not interruption.done():
                interruption.set_exception(error)
            return
        self._note_current(started)
        if not listing.objects:
            return
        _log.info("changes-found", prefix=self._prefix, after=revision, revision=listing.revision)
        self._apply(listing, False)
        if not interruption.done():
            self._revision = listing.revision
            interruption.set_result(None)

    def forget_revision(self) -> None:
        """Let `run` list everything before its next watch; call this only while it is stopped."""
        self._revision = None

    async def list_once(self) -> None:
        """List everything; a failure is logged and changes nothing.

        Call this only while `run` is stopped. The listing may be some seconds old.
        """
        self._revision = None
        try:
            await self._list(stale=not self._needs_current_list)
        except PlatformError as error:
            self._note_unreachable(error)
        # A watch from this old revision would only return events that have been listed.
        self._revision = None

    async def _step(self) -> None:
        """List once, or wait for the next changes."""
        if self._revision is None:
            if self._wait_before_list is not None:
                await self._wait_before_list()
                self._wait_before_list = None
            await self._list(
                stale=self._get_stale_watch_limit_s() is not None and not self._needs_current_list
            )
        else:
            if self._wait_before_watch is not None:
                await self._wait_before_watch()
                self._wait_before_watch = None
            if self.holds_at == NEVER and await self._read_large_object(self._revision):
                return
            # After a failure or a stale listing, the first watch is current and returns at once, so
            # that the recovery of the object API is known before the next change.
            returns_at_once = not self.is_reachable or self.holds_at == NEVER
            stale_s = None if returns_at_once else self._get_stale_watch_limit_s()
            wait_s = 0.0 if returns_at_once else WATCH_TIMEOUT_S
            if stale_s is not None:
                wait_s = min(wait_s, stale_s)
            listing = await self._watch(self._revision, wait_s, stale=stale_s is not None)
            if listing is None:
                return
            self._note_answered(listing)
            self._revision = listing.revision
            if listing.objects:
                self._apply(listing, False)
                await asyncio.sleep(self._get_coalesce_s())
                await self._read_large_object(listing.revision)

    async def _watch(self, revision: int, wait_s: float, *, stale: bool) -> Listing | None:
        """Wait for changes; return None if `confirm` has found them first.

        Raise EraChangedError as soon as the era of the revision has ended. A pending watch does not
        report another era before it returns, so a response to another call that names one ends the
        wait.
        """
        self._check_era(self._era)
        started = self._clock()
        version = self._known_era.version
        watch = asyncio.ensure_future(
            self._platform.watch(self._prefix, after=revision, timeout_s=wait_s, allow_stale=stale)
        )
        era_change = asyncio.ensure_future(self._known_era.wait_change(version))
        interruption = asyncio.get_running_loop().create_future()
        self._interruption = interruption
        try:
            waits = (watch, era_change, interruption)
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                self._check_era(self._era)
                if interruption.done():
                    return interruption.result()
            listing = await watch
        finally:
            self._interruption = None
            for item in waits:
                item.cancel()
            if interruption.done() and not interruption.cancelled():
                # Marks an error as seen if the watch has returned at the same time.
                interruption.exception()
        self._check_era(listing.era)
        self._check_era(self._era)
        if not stale:
            # A watch without changes was current when it ended.
            waited_s = 0.0 if listing.objects else min(wait_s, self._clock() - started)
            self._note_current(started + waited_s)
        return listing

    def _check_era(self, era: int) -> None:
        """Raise EraChangedError if an era is earlier than the highest known one."""
        if era < self._known_era.value:
            self._needs_current_list = True
            raise EraChangedError(f"era {era} has ended")

    async def _list(self, *, stale: bool) -> None:
        """List everything and remember the revision from which to watch."""
        started = self._clock()
        listing = await self._platform.list(self._prefix, allow_stale=stale)
        self._check_era(listing.era)
        self._era = listing.era
        self._needs_current_list = False
        self.has_listed = True
        if listing.objects:
            self._note_read(started)
        if not stale:
            self._note_current(started)
        self._note_answered(listing)
        self._apply(listing, True)
        self._revision = listing.revision

    async def _read_large_object(self, revision: int) -> bool:
        """Read a large object once instead of watching every version since a revision.

        Return False if there is no large object.
        """
        key = self._get_large_key()
        if key is None:
            return False
        started = self._clock()
        found = await self._platform.get(key)
        self._check_era(self._era)
        self._note_read(started)
        if found is not None and found.version > revision:
            self._apply(Listing(found.version, (found,), self._era), False)
            self._revision = found.version
        self._note_current(started)
        return True

    def _note_current(self, moment: float) -> None:
        self.holds_at = max(self.holds_at, moment)

    def _note_read(self, started: float) -> None:
        if self.first_read_s is None:
            self.first_read_s = self._clock() - started

    def _choose_retry_delay_s(self, error: PlatformError) -> float:
        delay_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
        if isinstance(error, PlatformUnavailableError):
            return min(max(delay_s, error.retry_after_s), RETRY_MAX_S)
        return delay_s

    def _note_unreachable(self, error: PlatformError) -> None:
        self.failed_before_listing = self.failed_before_listing or not self.has_listed
        if self.is_reachable:
            _log.warn("platform-lost", prefix=self._prefix, code=error.code, detail=error)
            self._unreachable_since = self._clock()
        self.is_reachable = False

    def _note_answered(self, listing: Listing) -> None:
        if not self.is_reachable:
            _log.info("platform-regained", prefix=self._prefix, revision=listing.revision)
        self.is_reachable = True
        self.answered_at = self._clock()
