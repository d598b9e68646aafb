"""Read configuration and members from the object API, or ask the nodes that do so."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from ..shared.blackboard import Blackboard
from ..shared.errors import ExchangeError, MessageError
from ..shared.logs import EventLog
from ..shared.objectapi import Listing, Platform
from .configuration import ConfigurationHolder
from .exchange import ExchangeMessage
from .follower import WATCH_S, Follower
from .members import MemberTable, NodeRecord
from .readers import choose_reader, choose_readers, round_read_time
from .supervision import supervise

MEMBERS_PREFIX = "meshnodes/"
# Where records and configurations come from that no other node has told.
PLATFORM_SOURCE = "platform"
# Changes of the configuration within this time are read by one call; they are due in 2 s.
CONFIGURATION_GATHER_S = 0.8
# The transfer of a large configuration over a slow link takes part of the time until it is due.
LARGE_CONFIGURATION_GATHER_S = 1.2
MEMBERS_GATHER_S = 0.5
SMALL_FLEET = 20
# From this many nodes on, few of them follow the object API, since each change of a member wakes
# those that do. In a smaller fleet two readers in each availability zone are a third of the nodes.
LARGE_FLEET = 40
# The other nodes ask a reader this often; changes are due in 2 s.
READER_POLL_S = 0.5
# How often a node that starts looks whether others read for it, and how long it waits for that
# before it watches the object API itself.
FIRST_POLL_S = 0.05
HOLD_WATCH_S = 0.5
# A node has started after so many seconds: its backend server's first heartbeat comes within 1.5 s,
# and it takes others as long to hear of it. Its watches are short until then.
STARTING_S = 3.0
STARTING_WATCH_S = 1.0
# Readers do not tell which entries have vanished, so the other nodes list them now and then.
MEMBERS_LIST_S = 30.0
# A reader that has lost the object API for longer is no use to the others. It tries again within
# 1 s, and all readers lose their watches together when the object API drops its history.
READER_GRACE_S = 1.2
# A reader that has failed is asked again after this time.
SILENT_S = 5.0
# A reader can be asked twice in a row before a change is due, and be read from in full after that.
READER_TIMEOUT_S = 0.7
# Readers that are asked until one answers, the first alone and the others at the same time.
MAX_QUESTIONS = 3
# A node that has found so many readers silent, two of them elsewhere, reads itself.
MAX_SILENT = 4

_log = EventLog(component="direct")


class AskNode(Protocol):
    """Exchange what two nodes lack."""

    def __call__(
        self, record: NodeRecord, *, timeout_s: float
    ) -> Awaitable[ExchangeMessage | ExchangeError | MessageError]:
        """Return the answer of the other node, or why there is none."""


class Reading:
    """Follow the object API, or ask the readers of it for what is new.

    `apply_members` gets each listing of the members and whether it is complete. `publish_own` is
    called when the node's own record may have to say more of it.
    """

    def __init__(
        self,
        *,
        vm: str,
        availability_zone: str,
        board: Blackboard,
        platform: Platform,
        configuration_key: str,
        configuration: ConfigurationHolder,
        table: MemberTable,
        ask: AskNode,
        apply_members: Callable[[Listing, bool], None],
        publish_own: Callable[[], None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._availability_zone = availability_zone
        self._board = board
        self._key = configuration_key
        self._configuration = configuration
        self._table = table
        self._ask = ask
        self._publish_own = publish_own
        self._rng = rng
        self._clock = clock
        # When a reader last confirmed what this node has.
        self._confirmed_at = clock()
        # Whether this node follows the object API itself.
        self.is_reading = True
        # Readers that have not answered, until when they are not asked.
        self._silent: dict[str, float] = {}
        self._configuration_follower = Follower(
            platform=platform,
            prefix=configuration_key.rpartition("/")[0] + "/",
            apply=self._apply_configuration,
            rng=rng,
            find_gather_s=self._find_configuration_gather_s,
            find_large_key=self._find_large_key,
            hold_watch=self._hold_watch,
            find_stale_s=self._find_configuration_stale_s,
            era=board.store_era,
            clock=clock,
        )
        self._members_follower = Follower(
            platform=platform,
            prefix=MEMBERS_PREFIX,
            apply=apply_members,
            rng=rng,
            find_gather_s=self._find_members_gather_s,
            hold_watch=self._hold_watch,
            find_stale_s=self._find_members_stale_s,
            era=board.store_era,
            clock=clock,
        )
        self._followers = (self._configuration_follower, self._members_follower)
        self._starting_until = clock() + STARTING_S

    @property
    def configuration_age_s(self) -> float:
        """Return the seconds since the object API or a reader last told the configuration."""
        heard_at = max(self._configuration_follower.answered_at, self._confirmed_at)
        return self._clock() - heard_at

    @property
    def members_age_s(self) -> float:
        """Return the seconds since the object API or a reader last told the members."""
        return self._clock() - max(self._members_follower.answered_at, self._confirmed_at)

    @property
    def reaches_platform(self) -> bool:
        """Tell whether the object API answered the last question for members."""
        return self._members_follower.connected

    @property
    def read_ms(self) -> int:
        """Return about how long the first read of the configuration took, 0 if unknown."""
        first_read_s = self._configuration_follower.first_read_s
        return round_read_time(first_read_s) if first_read_s is not None else 0

    @property
    def serves_others(self) -> bool:
        """Tell whether other nodes may rely on what this one reads.

        A node that stops says no at once, so that they turn to others while it still answers.
        """
        if self._board.drain.value:
            return False
        return self.is_reading and all(item.lost_s < READER_GRACE_S for item in self._followers)

    def _find_configuration_gather_s(self) -> float:
        if self._configuration.is_large:
            return LARGE_CONFIGURATION_GATHER_S
        return CONFIGURATION_GATHER_S

    def _find_configuration_stale_s(self) -> float | None:
        """Return for how long a watch may be stale: only while this node starts.

        Until its members are known it can't tell whether others read for it.
        """
        return STARTING_WATCH_S if self._clock() < self._starting_until else None

    def _find_members_stale_s(self) -> float | None:
        """Return for how long a watch may be stale.

        Nodes tell each other of changes, so only the first listing, which holds what an earlier
        process has announced, has to be current.
        """
        return WATCH_S if self._members_follower.has_listed else None

    def _find_large_key(self) -> str | None:
        return self._key if self._configuration.is_large else None

    def _find_members_gather_s(self) -> float:
        """Return a longer time for more nodes: calls and bytes grow with their square.

        Few nodes of a large fleet read, so there the time is short again.
        """
        if self._board.fleet_size.value >= LARGE_FLEET:
            return MEMBERS_GATHER_S
        share = self._board.fleet_size.value / SMALL_FLEET
        return MEMBERS_GATHER_S * max(1.0, share)

    def _apply_configuration(self, listing: Listing, complete: bool) -> None:
        written = [item.value for item in listing.objects if item.key == self._key]
        if written and written[-1] is not None:
            self._configuration.offer(written[-1], source=PLATFORM_SOURCE)

    async def run(self) -> None:
        """Follow the object API, or ask the nodes that do so for this one."""
        while True:
            followers = [
                asyncio.create_task(supervise(name, run))
                for name, run in (
                    ("configuration", self._configuration_follower.run),
                    ("members", self._members_follower.run),
                )
            ]
            try:
                await self._wait_until_spared()
            finally:
                for task in followers:
                    task.cancel()
                await asyncio.gather(*followers, return_exceptions=True)
            self._note_reading(False)
            await self._ask_readers()
            self._note_reading(True)

    async def _ask_readers(self) -> None:
        """Ask the readers for what is new until this node has to read itself."""
        list_at = self._clock() + MEMBERS_LIST_S
        while not self._is_reader():
            if not await self._ask_reader():
                # Readers that restart in turn would be found silent one after the other.
                await asyncio.gather(*(self._ask_reader() for _ in range(MAX_QUESTIONS - 1)))
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * READER_POLL_S)
            if self._clock() >= list_at:
                list_at = self._clock() + MEMBERS_LIST_S
                await self._members_follower.list_once()

    async def _wait_until_spared(self) -> None:
        """Wait until this node has listed everything once and others read for it."""
        while True:
            await asyncio.sleep(READER_POLL_S if self._has_listed() else FIRST_POLL_S)
            # The time of the first read may have become known after the instance.
            self._publish_own()
            has_read = self.read_ms > 0 or not self._configuration.is_large
            if self._has_listed() and has_read and not self._is_reader():
                return

    def _has_listed(self) -> bool:
        return all(item.has_listed for item in self._followers)

    async def _hold_watch(self) -> None:
        """Wait until both listings tell whether this node watches; an outage ends the wait."""
        for _ in range(round(HOLD_WATCH_S / FIRST_POLL_S)):
            if self._has_listed() and self._is_reader():
                return
            await asyncio.sleep(FIRST_POLL_S)

    def _note_reading(self, reading: bool) -> None:
        self.is_reading = reading
        _log.info("platform-source", reading=reading, silent=len(self._silent))

    def _is_reader(self) -> bool:
        """Tell whether this node follows the object API itself.

        It does so in a small fleet with a small configuration, and when no reader answers.
        """
        is_small = len(self._table.records) < LARGE_FLEET and not self._configuration.is_large
        silent = self._find_silent()
        if is_small or len(silent) >= MAX_SILENT:
            return True
        readers = choose_readers(
            self._table.records.values(),
            availability_zone=self._availability_zone,
            silent=silent,
        )
        return any(record.vm == self._vm for record in readers)

    def _find_silent(self) -> dict[str, float]:
        now = self._clock()
        self._silent = {vm: until for vm, until in self._silent.items() if now < until}
        return self._silent

    async def _ask_reader(self) -> bool:
        """Ask one of the readers for what is new; return whether it could tell."""
        reader = choose_reader(
            [record for record in self._table.records.values() if record.vm != self._vm],
            availability_zone=self._availability_zone,
            silent=self._find_silent(),
            rng=self._rng,
        )
        if reader is None:
            return False
        # Questions at the same time go to different readers.
        started = self._clock()
        self._silent[reader.vm] = started + READER_TIMEOUT_S
        answer = await self._ask(reader, timeout_s=READER_TIMEOUT_S)
        if isinstance(answer, ExchangeMessage) and answer.reading:
            self._confirmed_at = self._clock()
            self._silent.pop(reader.vm, None)
            return True
        self._silent[reader.vm] = self._clock() + SILENT_S
        _log.info(
            "reader-silent",
            vm=reader.vm,
            reason="not-reading" if isinstance(answer, ExchangeMessage) else answer.code,
            detail="-" if isinstance(answer, ExchangeMessage) else answer,
            took_ms=int((self._clock() - started) * 1000),
            generation=self._configuration.generation,
            age_ms=int(self.configuration_age_s * 1000),
        )
        return False
