"""Get configuration and members from the object API, or from the nodes that read it.

A reader is a node that follows the object API for the other nodes of its availability zone, which
poll it over the exchange port.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from ..shared.blackboard import Blackboard
from ..shared.errors import (
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    MessageError,
    UnacknowledgedError,
)
from ..shared.logs import EventLog
from ..shared.objectapi import Listing, Platform
from .configuration import ConfigurationHolder
from .exchange import ExchangeMessage
from .follower import NEVER, WATCH_TIMEOUT_S, Follower
from .members import MemberTable, NodeRecord
from .readers import ReaderSelector, choose_readers, round_up_to_read_ms
from .supervision import supervise

MEMBERS_PREFIX = "meshnodes/"
# Source named in the logs for what comes from the object API and not from another node.
OBJECT_API_SOURCE = "platform"
# Changes of the configuration within this time are read by one call; nodes must apply a change
# within 2 s.
CONFIGURATION_COALESCE_S = 0.8
# Longer for large configurations, as each version takes about 290 KB of a reader's link. The rest
# of the 2 s covers the transfer to the other nodes and one failure.
LARGE_CONFIGURATION_COALESCE_S = 0.9
MEMBERS_COALESCE_S = 0.5
# The coalesce time of members grows with the fleet from this many nodes on.
COALESCE_BASE_NODES = 20
# From this many nodes on, only readers follow the object API, since each change of a member wakes
# every node that does. In a smaller fleet, two readers in each availability zone are already a
# third of the nodes.
LARGE_FLEET_NODES = 40
# Readers that a node polls at the same time, so that the failure of one of them delays nothing.
CONCURRENT_POLLS = 2
# How long a reader may hold a poll open while it has no newer configuration. With two polls at a
# time, each node sends two to three a second.
LONG_POLL_MIN_S = 0.5
LONG_POLL_MAX_S = 0.9
# Time for a poll and its response to travel, on an open connection and on a new one, which needs a
# handshake first. On a busy link, packets often wait for 0.2 s in either direction.
RESPONSE_TIMEOUT_S = 0.5
FIRST_RESPONSE_TIMEOUT_S = 1.0
# A configuration that neither the object API nor a reader has confirmed for this long may have been
# replaced; nodes must apply a change within 2 s.
STALE_CONFIGURATION_S = 2.0
# A node that reads the object API confirms its configuration by a short read when it has not been
# confirmed for this long, as a silent watch may have lost its response. Changes must be applied
# within 2 s. The time varies, so that nodes confirm for each other.
CONFIRM_MIN_S = 1.2
CONFIRM_MAX_S = 1.6
# Shortest time between these reads, and between checks whether one is possible.
CONFIRM_CHECK_INTERVAL_S = 0.1
# How often a node that polls readers checks whether it has to follow the object API itself.
READER_CHECK_INTERVAL_S = 0.25
# A node whose configuration no reader has confirmed for this long follows the object API itself.
# Changes must be applied within 2 s, and the transfer over a slow link takes part of that.
UNCONFIRMED_LIMIT_S = 1.5
# How often a node checks whether it can leave the object API to readers, before and after it has
# listed everything.
STARTUP_CHECK_INTERVAL_S = 0.05
LISTED_CHECK_INTERVAL_S = 0.5
# How long the first watch of a node waits for the listings that decide this.
MAX_WAIT_BEFORE_WATCH_S = 0.5
# How long a node that starts waits for a reader to send the configuration. When the whole fleet
# starts at once, readers have it after a few tenths of a second.
MAX_WAIT_BEFORE_LIST_S = 0.8
# Duration of the start of a node: the first heartbeat of its backend server comes within 1.5 s, and
# other nodes hear of it within another 1.5 s. Watches of the configuration are short until then.
STARTUP_S = 3.0
STARTUP_WATCH_S = 1.0
# Readers do not report deleted entries, so the other nodes list the members at this interval.
MEMBERS_LIST_INTERVAL_S = 30.0
# A reader that has not reached the object API for longer than this stops serving other nodes. It
# retries within 1 s, and all readers lose their watches together when the object API drops its
# history.
READER_OUTAGE_GRACE_S = 1.2
# A reader whose configuration has not been confirmed for longer, as after a pause of its process,
# does not serve other nodes. Without a pause, a read that fails shows the outage before: it begins
# within CONFIRM_MAX_S and takes 1 s at most.
READER_STALE_S = CONFIRM_MAX_S + 1.0 + READER_OUTAGE_GRACE_S
# Failures that are known only when the timeout of a poll has passed.
TIMEOUT_ERRORS = (ConnectTimeoutError, ExchangeTimeoutError, UnacknowledgedError)

_log = EventLog(component="direct")


class ExchangeWithNode(Protocol):
    """Exchange with another node what either of the two lacks."""

    def __call__(
        self, record: NodeRecord, *, timeout_s: float, long_poll_s: float
    ) -> Awaitable[ExchangeMessage | ExchangeError | MessageError]:
        """Return the response of the other node, or the error.

        The other node may wait up to `long_poll_s` for a newer configuration before it responds.
        """


class UpdateSource:
    """Follow the object API, or poll the readers for changes.

    Parameters that need an explanation:

    * `has_link_rate`: the rate of this node's link is known. Readers are then chosen by link rates,
      and the node need not measure its own link by a read.
    * `apply_members`: gets each listing of the members, and whether the listing is complete.
    * `update_own_record`: called when the node's own record may have changed.
    * `is_connected`: tells whether there is an idle connection to a node.
    * `has_common_cause`: tells whether other nodes probably do not respond because of this node's
      own link or processor.
    """

    def __init__(
        self,
        *,
        vm: str,
        availability_zone: str,
        has_link_rate: bool,
        board: Blackboard,
        platform: Platform,
        configuration_key: str,
        configuration: ConfigurationHolder,
        members: MemberTable,
        exchange_with: ExchangeWithNode,
        apply_members: Callable[[Listing, bool], None],
        update_own_record: Callable[[], None],
        is_connected: Callable[[NodeRecord], bool],
        has_common_cause: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._availability_zone = availability_zone
        self._has_link_rate = has_link_rate
        self._board = board
        self._key = configuration_key
        self._configuration = configuration
        self._members = members
        self._exchange_with = exchange_with
        self._update_own_record = update_own_record
        self._is_connected = is_connected
        self._has_common_cause = has_common_cause
        self._rng = rng
        self._clock = clock
        # When a reader last confirmed the configuration and members of this node.
        self._confirmed_at = clock()
        self._started_at = clock()
        # The moment for which the configuration is known to be current from other nodes.
        self._told_holds_at = NEVER
        # Whether this node follows the object API itself.
        self.follows_object_api = True
        self._selector = ReaderSelector(vm=vm, availability_zone=availability_zone, rng=rng)
        # The readers with a poll in progress.
        self._polled: set[str] = set()
        self._configuration_follower = Follower(
            platform=platform,
            prefix=configuration_key.rpartition("/")[0] + "/",
            apply=self._apply_configuration,
            rng=rng,
            get_coalesce_s=self._get_configuration_coalesce_s,
            get_large_key=self._get_large_key,
            wait_before_list=self._wait_before_list,
            wait_before_watch=self._wait_before_watch,
            get_stale_watch_limit_s=self._get_configuration_stale_watch_limit_s,
            era=board.store_era,
            clock=clock,
        )
        self._members_follower = Follower(
            platform=platform,
            prefix=MEMBERS_PREFIX,
            apply=apply_members,
            rng=rng,
            get_coalesce_s=self._get_members_coalesce_s,
            wait_before_watch=self._wait_before_watch,
            get_stale_watch_limit_s=self._get_members_stale_watch_limit_s,
            era=board.store_era,
            clock=clock,
        )
        self._followers = (self._configuration_follower, self._members_follower)
        self._startup_ends_at = clock() + STARTUP_S

    @property
    def configuration_holds_at(self) -> float:
        """Return the moment for which the configuration is known to be current.

        Whatever was written before it is applied here, or was replaced by something newer. What
        this node claims to know follows from this moment, and not from open connections.
        """
        return max(self._configuration_follower.holds_at, self._told_holds_at)

    @property
    def configuration_age_s(self) -> float:
        """Return for how long the configuration has not been confirmed, since the start at most."""
        return self._clock() - max(self.configuration_holds_at, self._started_at)

    @property
    def is_current(self) -> bool:
        """Tell whether a configuration written `STALE_CONFIGURATION_S` ago would be known here.

        A reader holds polls open, so the time of a poll is added for a node that polls.
        """
        limit_s = STALE_CONFIGURATION_S
        if not self.follows_object_api:
            limit_s += LONG_POLL_MAX_S
        return self._clock() - self.configuration_holds_at < limit_s

    def note_told(self, *, generation: int, holds_at: float) -> None:
        """Note that another node's configuration is current for a moment.

        It says nothing about this node's configuration if that one is older.
        """
        if self._configuration.generation >= generation > 0:
            self._told_holds_at = max(self._told_holds_at, min(holds_at, self._clock()))

    @property
    def members_age_s(self) -> float:
        """Return the seconds since the object API or a reader last confirmed the members."""
        return self._clock() - max(self._members_follower.answered_at, self._confirmed_at)

    @property
    def reaches_object_api(self) -> bool:
        """Tell whether the last call for members to the object API succeeded."""
        return self._members_follower.is_reachable

    @property
    def started_in_outage(self) -> bool:
        """Tell whether the object API did not respond when this node first read from it."""
        return any(item.failed_before_listing for item in self._followers)

    @property
    def read_ms(self) -> int:
        """Return the approximate duration of the first read of the configuration, 0 if unknown."""
        first_read_s = self._configuration_follower.first_read_s
        return round_up_to_read_ms(first_read_s) if first_read_s is not None else 0

    @property
    def can_serve_polls(self) -> bool:
        """Tell whether other nodes may rely on what this one reads.

        False as soon as the node drains, so that the others turn to another reader while this one
        still responds.
        """
        if self._board.drain_requested.value:
            return False
        age_s = self._clock() - self.configuration_holds_at
        return (
            self.follows_object_api
            and age_s < READER_STALE_S
            and all(item.outage_s < READER_OUTAGE_GRACE_S for item in self._followers)
        )

    def _get_configuration_coalesce_s(self) -> float:
        if self._configuration.is_large:
            return LARGE_CONFIGURATION_COALESCE_S
        return CONFIGURATION_COALESCE_S

    def _get_configuration_stale_watch_limit_s(self) -> float | None:
        """Return the limit of a stale watch while this node starts, None after that.

        Until the members are known, the node can't tell whether it has to follow the object API. A
        short watch lets it stop soon after it has learned that it need not.
        """
        return STARTUP_WATCH_S if self.is_starting else None

    def _get_members_stale_watch_limit_s(self) -> float | None:
        """Return the limit of a stale watch, None before the first listing.

        Nodes tell each other of changes, so only the first listing has to be current: it holds what
        an earlier process of this node has announced.
        """
        return WATCH_TIMEOUT_S if self._members_follower.has_listed else None

    def _get_large_key(self) -> str | None:
        return self._key if self._configuration.is_large else None

    def _get_members_coalesce_s(self) -> float:
        """Return a time that grows with the fleet, as calls and bytes grow with its square.

        In a large fleet only the readers follow the members, so the time is short again.
        """
        if self._board.fleet_size.value >= LARGE_FLEET_NODES:
            return MEMBERS_COALESCE_S
        share = self._board.fleet_size.value / COALESCE_BASE_NODES
        return MEMBERS_COALESCE_S * max(1.0, share)

    def _apply_configuration(self, listing: Listing, complete: bool) -> None:
        written = [item.value for item in listing.objects if item.key == self._key]
        if written and written[-1] is not None:
            self._configuration.apply_document(written[-1], source=OBJECT_API_SOURCE)

    async def run(self) -> None:
        """Follow the object API while this node has to."""
        while True:
            followers = [
                asyncio.create_task(supervise(name, run))
                for name, run in (
                    ("configuration", self._configuration_follower.run),
                    ("members", self._members_follower.run),
                )
            ]
            try:
                await self._wait_until_need_not_follow()
            finally:
                for task in followers:
                    task.cancel()
                await asyncio.gather(*followers, return_exceptions=True)
            self._set_follows_object_api(False)
            await self._wait_until_must_follow()
            if self._configuration.is_large:
                # A watch from the last revision would return every version since then.
                self._configuration_follower.forget_revision()
            self._set_follows_object_api(True)

    async def confirm_configuration(self) -> None:
        """Confirm the configuration by a short read whenever nothing else has done so."""
        due_s = self._rng.uniform(CONFIRM_MIN_S, CONFIRM_MAX_S)
        while True:
            left_s = self.configuration_holds_at + due_s - self._clock()
            await asyncio.sleep(max(left_s, CONFIRM_CHECK_INTERVAL_S))
            if self._clock() < self.configuration_holds_at + due_s:
                continue
            if self.follows_object_api and self._configuration_follower.is_watching:
                await self._configuration_follower.confirm()
                due_s = self._rng.uniform(CONFIRM_MIN_S, CONFIRM_MAX_S)

    async def _wait_until_must_follow(self) -> None:
        """Wait until this node has to follow the object API itself."""
        list_at = self._clock() + MEMBERS_LIST_INTERVAL_S
        while not self._must_follow_object_api():
            await asyncio.sleep(READER_CHECK_INTERVAL_S)
            if self._clock() >= list_at:
                list_at = self._clock() + MEMBERS_LIST_INTERVAL_S
                await self._members_follower.list_once()

    async def _wait_until_need_not_follow(self) -> None:
        """Wait until this node has listed everything once and need not follow the object API."""
        while True:
            await asyncio.sleep(
                LISTED_CHECK_INTERVAL_S if self._has_listed() else STARTUP_CHECK_INTERVAL_S
            )
            # The duration of the first read may become known only after the backend server has
            # announced itself.
            self._update_own_record()
            can_be_ranked = (
                self._has_link_rate or self.read_ms > 0 or not self._configuration.is_large
            )
            if self._has_listed() and can_be_ranked and not self._must_follow_object_api():
                return

    def _has_listed(self) -> bool:
        """Tell whether the members are listed, and the configuration is listed or received."""
        has_configuration = self._configuration.generation > 0
        if not self._configuration_follower.has_listed and not (
            self._has_link_rate and has_configuration
        ):
            return False
        return self._members_follower.has_listed

    async def _wait_before_list(self) -> None:
        """Wait for a reader to send the configuration if this node need not follow the object API.

        From another node the configuration takes a twelfth of the bytes of a listing, which would
        fill a slow link while calls return to the node. If no reader sends it, the node lists it.
        """
        if not self._has_link_rate:
            return
        until = self._clock() + MAX_WAIT_BEFORE_LIST_S
        while self._clock() < until or self._configuration.generation > 0:
            if self._members_follower.has_listed and self._must_follow_object_api():
                return
            await asyncio.sleep(STARTUP_CHECK_INTERVAL_S)

    async def _wait_before_watch(self) -> None:
        """Wait until it is known whether this node has to watch.

        If it need not, `run` cancels the follower during the wait. An outage, in which the listings
        do not succeed, ends the wait.
        """
        for _ in range(round(MAX_WAIT_BEFORE_WATCH_S / STARTUP_CHECK_INTERVAL_S)):
            if self._has_listed():
                break
            await asyncio.sleep(STARTUP_CHECK_INTERVAL_S)
        # The result changes with each record and with time, so there is no event to wait for.
        while self._has_listed() and not self._must_follow_object_api():  # noqa: ASYNC110
            await asyncio.sleep(STARTUP_CHECK_INTERVAL_S)

    def _set_follows_object_api(self, follows_object_api: bool) -> None:
        self.follows_object_api = follows_object_api
        _log.info(
            "platform-source",
            reading=follows_object_api,
            silent=len(self._selector.list_paused(now=self._clock())),
            age_ms=int(self.configuration_age_s * 1000),
        )

    def _must_follow_object_api(self) -> bool:
        """Tell whether this node has to follow the object API itself.

        It has to if it is chosen as a reader, in a small fleet with a small configuration, and when
        no reader responds.
        """
        if self._needs_no_readers():
            return True
        now = self._clock()
        if self._selector.is_reader(self._members.records.values(), now=now):
            return True
        return now - self._confirmed_at > UNCONFIRMED_LIMIT_S and not self.is_starting

    def list_readers(self) -> list[NodeRecord]:
        """Return the nodes that follow the object API unless it or they fail."""
        records = list(self._members.records.values())
        if self._needs_no_readers():
            return records
        zones = {record.availability_zone for record in records}
        chosen = (choose_readers(records, availability_zone=z, excluded=()) for z in sorted(zones))
        return [record for readers in chosen for record in readers]

    def _needs_no_readers(self) -> bool:
        return len(self._members.records) < LARGE_FLEET_NODES and not self._configuration.is_large

    @property
    def is_starting(self) -> bool:
        """Tell whether the process started less than `STARTUP_S` ago."""
        return self._clock() < self._startup_ends_at

    # Readers

    async def poll_readers(self) -> None:
        """Poll one reader after the other while there are readers and this node is none."""
        while True:
            if not await self._poll_reader():
                has_no_configuration = self._configuration.generation == 0
                await asyncio.sleep(
                    STARTUP_CHECK_INTERVAL_S if has_no_configuration else READER_CHECK_INTERVAL_S
                )

    async def _poll_reader(self) -> bool:
        """Poll a reader for changes; return False if there is none to poll."""
        now = self._clock()
        records = self._members.records.values()
        if self._needs_no_readers() or self._selector.is_reader(records, now=now):
            return False
        reader = self._selector.choose(records, now=now, polled=self._polled)
        if reader is None:
            return False
        # The first poll on a new connection gets a response at once, as the handshake also takes
        # time.
        is_connected = self._is_connected(reader)
        long_poll_s = self._rng.uniform(LONG_POLL_MIN_S, LONG_POLL_MAX_S) if is_connected else 0.0
        timeout_s = long_poll_s + (RESPONSE_TIMEOUT_S if is_connected else FIRST_RESPONSE_TIMEOUT_S)
        before = self._configuration.generation
        self._polled.add(reader.vm)
        try:
            response = await self._exchange_with(
                reader, timeout_s=timeout_s, long_poll_s=long_poll_s
            )
        finally:
            self._polled.discard(reader.vm)
        if isinstance(response, ExchangeMessage) and response.can_serve_polls:
            self._confirmed_at = self._clock()
            self._selector.note_success(reader.vm)
            if self._configuration.generation == before:
                # A reader that responds early has nothing newer either.
                await asyncio.sleep(max(0.0, now + long_poll_s - self._clock()))
        else:
            retry_soon = not isinstance(response, TIMEOUT_ERRORS) or self._has_common_cause()
            self._selector.note_failure(reader.vm, now=self._clock(), retry_soon=retry_soon)
            self._log_failure(reader, response, now)
        return True

    def _log_failure(
        self,
        reader: NodeRecord,
        response: ExchangeMessage | ExchangeError | MessageError,
        started: float,
    ) -> None:
        _log.info(
            "reader-silent",
            vm=reader.vm,
            reason="not-reading" if isinstance(response, ExchangeMessage) else response.code,
            detail="-" if isinstance(response, ExchangeMessage) else response,
            took_ms=int((self._clock() - started) * 1000),
            generation=self._configuration.generation,
            age_ms=int(self.configuration_age_s * 1000),
        )
