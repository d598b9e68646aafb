"""Keep the configuration and members of one node current, and announce the node."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from ..calls.callcounts import CallCounts
from ..calls.exchanges import ExchangeLimits, ExchangeResponse, Remote, Request, read_body
from ..calls.pool import ConnectionPool
from ..calls.serving import AbortResponseError, ServerRequest
from ..rollouts.records import RolloutDecoder
from ..shared.blackboard import Blackboard, Cell
from ..shared.errors import (
    ConflictError,
    ExchangeError,
    MessageError,
    PlatformError,
)
from ..shared.logs import EventLog
from ..shared.objectapi import MUST_NOT_EXIST, Listing, StatusPlatform, StoredObject
from ..shared.records import LocalInstance
from .configuration import ConfigurationDecoder, ConfigurationHolder
from .exchange import (
    EXCHANGE_PATH,
    Cursor,
    ExchangeMessage,
    build_configuration_age_header,
    decode_message,
    encode_message,
    find_configuration_age_s,
)
from .follower import NEVER
from .members import MemberTable, NodeRecord, parse_record, select_durable_fields
from .reading import CONCURRENT_POLLS, MEMBERS_PREFIX, OBJECT_API_SOURCE, UpdateSource
from .rollouts import ROLLOUT_PATH, RolloutController
from .settings import DirectSettings
from .supervision import supervise

# A node is removed when its entry has been missing from the object API for this long and this node
# has not exchanged a message with it since.
MISSING_GRACE_S = 3.0
REMOVED_RECORD_RETENTION_S = 30.0
# Longest wait for the record that an earlier process of this node has announced. During an outage
# of the object API, other nodes send it; each of them is heard about once a second.
EARLIER_RECORD_TIMEOUT_S = 2.0
# Mean time between the exchanges that a node starts; about as often, another node starts one with
# it.
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_S = 0.5
# Longest time for which a request of another node may be held open.
MAX_LONG_POLL_S = 1.0
MAX_EXCHANGE_BYTES = 4 * 1024 * 1024
# A timer that is later than this is logged: everything else in the process is delayed as well.
LATE_TIMER_LOG_S = 0.1
# Nodes for which the position in their member tables is kept; others send all of their records.
MAX_CURSORS = 256
# Up to this many changed records are logged line by line. A node that starts hears of the whole
# fleet at once, and a line for each would delay its first calls.
MAX_MEMBER_LINES = 8
# The era of a store that has never been restored from a copy.
FIRST_ERA = 1
# Nodes that are asked for the earlier record of this node when the store may have lost it.
EARLIER_RECORD_PEERS = 2
# How long the acknowledgement that a backend server leaves waits for the write to the object API,
# and then for other nodes; it counts if it arrives within 1 s.
DEPARTURE_WRITE_S = 0.25
DEPARTURE_EXCHANGE_S = 0.4
# Nodes that are sent the record of a leaving backend server while the object API does not take it.
DEPARTURE_HOLDERS = 2
# Nodes that hear of another era read their own entries at random moments within this time; lost
# entries have to be written again within 2 s.
ERA_SPREAD_S = 0.5
# Shortest time between reads of the store because another node names a later era.
ERA_CHECK_INTERVAL_S = 5.0
# Delay before entries of other nodes are written again, so that these nodes can do so first.
RESTORE_MIN_S = 0.8
RESTORE_MAX_S = 1.6
# Delay before a write is tried again, spread over this range as the object API takes only several
# hundred writes a second from the whole fleet.
ANNOUNCE_RETRY_MIN_S = 0.3
ANNOUNCE_RETRY_MAX_S = 1.0

_log = EventLog(component="direct")


class DirectPlane:
    """Update the blackboard with configuration and members, and announce this node's record."""

    def __init__(
        self,
        *,
        settings: DirectSettings,
        board: Blackboard,
        platform: StatusPlatform,
        pool: ConnectionPool,
        configuration_key: str,
        decode: ConfigurationDecoder,
        rollout_decoder: RolloutDecoder | None = None,
        counts: CallCounts | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._board = board
        self._platform = platform
        self._pool = pool
        self._counts = counts or CallCounts()
        self._rng = rng or random.Random()
        self._clock = clock
        self._members = MemberTable(retention_s=REMOVED_RECORD_RETENTION_S)
        self.configuration = ConfigurationHolder(board=board, decode=decode)
        self._stored_entries: dict[str, StoredObject] = {}
        # The era of the store to which the versions of these entries belong; 0 before a listing.
        self._entries_era = 0
        self._next_era_check_at = 0.0
        # When a node whose entry is missing is removed, unless it is heard before.
        self._remove_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._changed = asyncio.Event()
        # Set for a moment when this node's entry has been written.
        self._entry_changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        # Tasks that end on their own.
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._incarnation = int(wall_clock() * 1000)
        self._sequence = 0
        # Identifies this process in cursors; unlike the incarnation it never changes.
        self._process_start_ms = self._incarnation
        self._merged_cursors: dict[str, Cursor] = {}
        self.update_source = UpdateSource(
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            has_link_rate=settings.link_bytes_per_s > 0,
            board=board,
            platform=platform,
            configuration_key=configuration_key,
            configuration=self.configuration,
            members=self._members,
            exchange_with=self._exchange_with,
            apply_members=self._apply_members,
            update_own_record=self._update_own_record_if_announced,
            is_connected=lambda record: pool.count_idle(_get_exchange_address(record)) > 0,
            has_common_cause=lambda: pool.connect_history.is_own_link_suspected(now=clock()),
            rng=self._rng,
            clock=clock,
        )
        # None where no roll-outs can be ordered.
        self.rollouts: RolloutController | None = None
        if settings.follows_rollouts and rollout_decoder is not None:
            self.rollouts = RolloutController(
                vm=settings.vm,
                board=board,
                platform=platform,
                decoder=rollout_decoder,
                members=self._members,
                source=self.update_source,
                send=self._send_to_path,
                process_start_ms=self._process_start_ms,
                counts=self._counts,
                rng=self._rng,
                clock=clock,
            )
        self._own_record = self._build_own(None)
        self._earlier_order = (0, 0)
        self._members.merge([self._own_record], now=clock())

    async def start(self) -> None:
        """Start the controllers."""
        self._tasks = [
            asyncio.create_task(supervise(name, run))
            for name, run in (
                ("platform", self.update_source.run),
                ("confirm", self.update_source.confirm_configuration),
                *(("reader", self.update_source.poll_readers) for _ in range(CONCURRENT_POLLS)),
                ("instance", self._follow_instance),
                ("drain", self._follow_accepts_peers),
                ("earlier", self._time_out_earlier_record),
                ("announce", self._write_own_entry_on_change),
                ("exchange", self._exchange_forever),
                ("era", self._follow_era),
                ("hold", self._follow_holds_back),
                *(self.rollouts.list_controllers() if self.rollouts is not None else ()),
            )
        ]

    def cancel(self) -> None:
        """Cancel the controllers."""
        for task in (*self._tasks, *self._background_tasks):
            task.cancel()

    async def stop(self) -> None:
        """Stop the controllers."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Members

    @property
    def members(self) -> MemberTable:
        """Return the table of the known nodes."""
        return self._members

    def _apply_members(self, listing: Listing, complete: bool) -> None:
        now = self._clock()
        found = {item.key: item for item in listing.objects}
        is_new_era = listing.era != self._entries_era
        had_listed = self._entries_era > 0
        if is_new_era:
            # Versions of the former era say nothing about the present content of the store.
            vanished = self._stored_entries.keys() - found.keys()
            self._stored_entries.clear()
            self._entries_era = listing.era
        elif complete:
            # A stale listing says nothing about entries that were written after it.
            old = {
                key
                for key, item in self._stored_entries.items()
                if item.version <= listing.revision
            }
            vanished = old - found.keys()
        else:
            vanished = {key for key, item in found.items() if item.value is None}
        for key in vanished:
            self._stored_entries.pop(key, None)
            self._remove_at.setdefault(key.removeprefix(MEMBERS_PREFIX), now + MISSING_GRACE_S)
        records = []
        for key, item in found.items():
            if item.value is None:
                continue
            known = self._stored_entries.get(key)
            if known is None or known.version < item.version:
                self._stored_entries[key] = item
            record = parse_record(item.value)
            if record is None or MEMBERS_PREFIX + record.vm != key:
                _log.warn("member-refused", key=key, revision=item.version)
                continue
            self._remove_at.pop(record.vm, None)
            records.append(record)
        self._merge_records(records, source=OBJECT_API_SOURCE)
        if complete:
            self._board.members_listed.set(True)
        if complete and listing.era <= FIRST_ERA:
            self._finish_earlier_record_lookup(OBJECT_API_SOURCE)
            self._note_departures_known()
        elif complete and self._board.earlier_lookup_done.value:
            self._note_departures_known()
        elif complete:
            self._start_background_task(self._look_up_earlier_record_at_peers())
        if is_new_era and had_listed:
            self._start_background_task(self._restore_entries())
        self._changed.set()

    def _start_background_task(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _look_up_earlier_record_at_peers(self) -> None:
        """Ask other nodes for the earlier record before the entry in the store is trusted.

        The store may have been restored from a copy in which the backend server is not yet leaving.
        """
        peers = [
            record for vm, record in self._members.records.items() if vm != self._own_record.vm
        ]
        asked = self._rng.sample(peers, min(EARLIER_RECORD_PEERS, len(peers)))
        await asyncio.gather(*(self._exchange_with(record) for record in asked))
        self._finish_earlier_record_lookup(OBJECT_API_SOURCE)
        self._note_departures_known()

    def _note_departures_known(self) -> None:
        """Note that the object API responded when this process started.

        While it does not respond, an acknowledged departure is only held by other nodes, which may
        have been killed together with the earlier process of this node.
        """
        if not self.update_source.started_in_outage:
            self._board.departures_known.set(True)

    async def _restore_entries(self) -> None:
        """Write again the entries of leaving backend servers that the store has lost.

        Nodes write their own entries first, so this is for nodes that are gone. Of these, only the
        entries with `leaving` matter.
        """
        if not self.update_source.follows_object_api:
            return
        era = self._entries_era
        await asyncio.sleep(self._rng.uniform(RESTORE_MIN_S, RESTORE_MAX_S))
        for record in list(self._members.records.values()):
            if self._entries_era != era:
                return
            if record.vm != self._own_record.vm and self._has_lost_leaving(record):
                await self._restore_entry(record)

    def _has_lost_leaving(self, record: NodeRecord) -> bool:
        """Tell whether the store has lost the entry that says that a backend server is leaving."""
        stored = self._stored_entries.get(MEMBERS_PREFIX + record.vm)
        known = parse_record(stored.value) if stored is not None else None
        if known is None or not record.leaving:
            return record.leaving
        return record.order > known.order and not known.leaving

    async def _restore_entry(self, record: NodeRecord) -> None:
        key = MEMBERS_PREFIX + record.vm
        stored = self._stored_entries.get(key)
        expected = stored.version if stored is not None else MUST_NOT_EXIST
        try:
            version = await self._platform.put(key, record._asdict(), expected=expected)
        except PlatformError as error:
            _log.info("restore-failed", vm=record.vm, code=error.code, detail=error)
            return
        self._stored_entries[key] = StoredObject(key, version, record._asdict())
        _log.info("member-restored", vm=record.vm, leaving=record.leaving, era=self._entries_era)

    def _merge_records(self, records: list[NodeRecord], *, source: str) -> None:
        own = next((record for record in records if record.vm == self._own_record.vm), None)
        if own is not None and own.incarnation != self._incarnation:
            self._note_earlier_record(own)
            if source != OBJECT_API_SOURCE:
                self._finish_earlier_record_lookup(source)
        if own is not None and own.order > self._own_record.order:
            # An earlier process of this node ran with a clock that was ahead.
            self._incarnation = own.incarnation + 1
            self._update_own_record()
        changed = self._members.merge(records, now=self._clock())
        if changed:
            self._log_members(changed, source)
            self._update_endpoints()

    def _log_members(self, changed: list[NodeRecord], source: str) -> None:
        """Log each changed record, or only their number if there are many."""
        if len(changed) > MAX_MEMBER_LINES:
            accepting = sum(record.accepting for record in changed)
            _log.info("members-changed", count=len(changed), accepting=accepting, source=source)
            return
        for record in changed:
            self._log_member(record, source)

    def _log_member(self, record: NodeRecord, source: str) -> None:
        _log.info(
            "member-changed",
            vm=record.vm,
            service=record.service,
            instance=record.instance or "-",
            accepting=record.accepting,
            incarnation=record.incarnation,
            sequence=record.sequence,
            source=source,
        )

    def _update_endpoints(self) -> None:
        self._board.endpoints.set(self._members.list_endpoints())
        self._board.fleet_size.set(max(1, len(self._members.records)))

    def _drop_missing(self) -> None:
        """Remove nodes whose entry is missing and that have not been heard since."""
        now = self._clock()
        for vm, due in list(self._remove_at.items()):
            if vm == self._own_record.vm:
                del self._remove_at[vm]
            elif due <= now:
                del self._remove_at[vm]
                if self._heard_at.get(vm, -REMOVED_RECORD_RETENTION_S) < due - MISSING_GRACE_S:
                    self._remove_member(vm, now)

    def _remove_member(self, vm: str, now: float) -> None:
        if self._members.remove(vm, now=now):
            _log.info("member-removed", vm=vm, reason="entry-vanished")
            self._update_endpoints()

    # This node's own record

    def _note_earlier_record(self, record: NodeRecord) -> None:
        """Publish the backend server that an earlier process of this node has announced."""
        if record.order > self._earlier_order and record.instance:
            self._earlier_order = record.order
            self._board.earlier_instance.set(
                LocalInstance(
                    record.instance,
                    record.service,
                    record.slots,
                    record.born,
                    record.leaving,
                    record.version,
                )
            )
            self._update_own_record()

    def _finish_earlier_record_lookup(self, source: str) -> None:
        """Note that the lookup of the earlier record has ended, also without a record."""
        known = self._board.earlier_lookup_done
        if known.value:
            return
        earlier = self._board.earlier_instance.value
        _log.info(
            "earlier-record-known",
            source=source,
            instance=earlier.instance if earlier is not None else "-",
            leaving=earlier.leaving if earlier is not None else "-",
        )
        known.set(True)

    async def _time_out_earlier_record(self) -> None:
        """End the lookup of the earlier record if none arrives in time."""
        await asyncio.sleep(EARLIER_RECORD_TIMEOUT_S)
        self._finish_earlier_record_lookup("limit")

    def _build_own(self, instance: LocalInstance | None) -> NodeRecord:
        settings = self._settings
        accepts = self._board.accepts_peer_calls.value and not self._board.holds_back.value
        accepting = instance is not None and not instance.leaving and accepts
        return NodeRecord(
            settings.vm,
            settings.availability_zone,
            settings.peer.host,
            settings.peer.port,
            settings.exchange.port,
            instance.service if instance is not None else settings.service,
            instance.instance if instance is not None else "",
            instance.born if instance is not None else 0,
            instance.slots if instance is not None else 0,
            accepting,
            self._incarnation,
            self._sequence,
            instance is not None and instance.leaving,
            self.update_source.read_ms,
            settings.link_bytes_per_s,
            instance.version if instance is not None and settings.follows_rollouts else "",
        )

    def _update_own_record_if_announced(self) -> None:
        """Update the own record if a backend server has announced itself."""
        if self._own_record.instance:
            self._update_own_record()

    def _update_own_record(self) -> None:
        """Rebuild this node's record and publish it with the next sequence if it has changed."""
        instance = self._board.instance.value
        earlier = self._board.earlier_instance.value
        if instance is None and earlier is not None and earlier.leaving:
            # Until another backend server announces itself, only this process knows that the
            # earlier one is leaving.
            instance = earlier
        built = self._build_own(instance)
        if built == self._own_record:
            return
        self._sequence += 1
        self._own_record = built._replace(sequence=self._sequence)
        self._members.merge([self._own_record], now=self._clock())
        self._update_endpoints()
        self._changed.set()

    async def hold_departure(self) -> bool:
        """Wait until the object API or another node has the record of this node.

        Return False if neither takes it in time.
        """
        self._update_own_record()
        if self.update_source.reaches_object_api:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DEPARTURE_WRITE_S):
                    while self._is_own_entry_outdated():
                        await self._entry_changed.wait()
        if not self._is_own_entry_outdated():
            return True
        return await self._send_to_holders()

    async def _send_to_holders(self) -> bool:
        """Send this node's record to some other nodes; return whether one has taken it."""
        others = [
            record for vm, record in self._members.records.items() if vm != self._own_record.vm
        ]
        asked = self._rng.sample(others, min(DEPARTURE_HOLDERS, len(others)))
        if not asked:
            return False
        exchanges = [
            asyncio.create_task(self._exchange_with(record, timeout_s=DEPARTURE_EXCHANGE_S))
            for record in asked
        ]
        done, pending = await asyncio.wait(exchanges, timeout=DEPARTURE_EXCHANGE_S)
        for exchange in pending:
            exchange.cancel()
        holders = sum(isinstance(exchange.result(), ExchangeMessage) for exchange in done)
        _log.info("departure-held", asked=len(asked), holders=holders)
        return holders > 0

    async def _follow_instance(self) -> None:
        cell = self._board.instance
        while True:
            version = cell.version
            self._update_own_record()
            await cell.wait_change(version)

    async def _follow_holds_back(self) -> None:
        cell = self._board.holds_back
        while True:
            version = cell.version
            self._update_own_record_if_announced()
            await cell.wait_change(version)

    async def _follow_accepts_peers(self) -> None:
        accepts = self._board.accepts_peer_calls
        while accepts.value:
            await accepts.wait_change(accepts.version)
        self._update_own_record()

    async def _write_own_entry_on_change(self) -> None:
        """Keep this node's entry in the object API equal to its record."""
        while True:
            self._changed.clear()
            if not self._is_own_entry_outdated():
                await self._changed.wait()
            elif self._board.store_era.value != self._entries_era:
                # A write would conflict until the entries of the new era are listed or read.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ANNOUNCE_RETRY_MAX_S):
                        await self._changed.wait()
            elif self.update_source.reaches_object_api:
                await self._write_own_entry()
            else:
                await asyncio.sleep(self._rng.uniform(ANNOUNCE_RETRY_MIN_S, ANNOUNCE_RETRY_MAX_S))

    def _is_own_entry_outdated(self) -> bool:
        if not self._own_record.instance:
            return False
        if self._board.holds_back.value and not self._own_record.leaving:
            # Nobody may send calls yet, and the entry that follows would need a second write.
            return False
        stored = self._stored_entries.get(MEMBERS_PREFIX + self._own_record.vm)
        if stored is None:
            return True
        record = parse_record(stored.value)
        return record is None or select_durable_fields(record) != select_durable_fields(
            self._own_record
        )

    async def _write_own_entry(self) -> None:
        """Write the entry conditionally, so that a delayed earlier write can't replace it."""
        key = MEMBERS_PREFIX + self._own_record.vm
        stored = self._stored_entries.get(key)
        expected = stored.version if stored is not None else MUST_NOT_EXIST
        value = self._own_record._asdict()
        era = self._entries_era
        try:
            version = await self._platform.put(key, value, expected=expected)
        except ConflictError as error:
            _log.info("announce-conflict", expected=expected, current=error.current)
            await self._read_own_entry(key)
        except PlatformError as error:
            _log.warn("announce-failed", code=error.code, detail=error)
            await asyncio.sleep(self._rng.uniform(ANNOUNCE_RETRY_MIN_S, ANNOUNCE_RETRY_MAX_S))
        else:
            known = self._stored_entries.get(key)
            is_same_era = era == self._entries_era == self._board.store_era.value
            if is_same_era and (known is None or known.version < version):
                self._stored_entries[key] = StoredObject(key, version, value)
                self._entry_changed.set()
                self._entry_changed.clear()

    async def _follow_era(self) -> None:
        """Find out whether the store has lost this node's entry when its era changes.

        Nodes that follow the object API list everything again; the others read their own entry.
        """
        cell = self._board.store_era
        era = cell.value
        while True:
            version = cell.version
            if cell.value != era:
                _log.warn("store-era-changed", before=era, era=cell.value)
                before, era = era, cell.value
                if not self.update_source.follows_object_api and before:
                    await asyncio.sleep(self._rng.uniform(0.0, ERA_SPREAD_S))
                    self._stored_entries.clear()
                    self._entries_era = era
                    await self._read_own_entry(MEMBERS_PREFIX + self._own_record.vm)
                    self._changed.set()
            await cell.wait_change(version)

    async def _check_store_era(self) -> None:
        """Read from the store to verify an era that another node has named.

        If a wrong era were trusted, every response of the store would seem too old.
        """
        await asyncio.sleep(self._rng.uniform(0.0, ERA_SPREAD_S))
        await self._read_own_entry(MEMBERS_PREFIX + self._own_record.vm)

    async def _read_own_entry(self, key: str) -> None:
        try:
            found = await self._platform.get(key)
        except PlatformError as error:
            _log.warn("announce-read-failed", code=error.code, detail=error)
            await asyncio.sleep(self._rng.uniform(ANNOUNCE_RETRY_MIN_S, ANNOUNCE_RETRY_MAX_S))
            return
        if self._board.store_era.value != self._entries_era:
            # The entries of the new era are listed or read next.
            return
        if found is None:
            self._stored_entries.pop(key, None)
        else:
            self._stored_entries[key] = found

    # Exchange with other nodes

    async def _exchange_forever(self) -> None:
        while True:
            pause_s = self._rng.uniform(0.5, 1.5) * EXCHANGE_INTERVAL_S
            due = self._clock() + pause_s
            await asyncio.sleep(pause_s)
            self._observe_timer_delay(self._clock() - due)
            self._drop_missing()
            peers = [vm for vm in self._members.records if vm != self._own_record.vm]
            if peers:
                await self._exchange_with(self._members.records[self._rng.choice(peers)])

    def _observe_timer_delay(self, late_s: float) -> None:
        """Record the delay of a timer, which shows that the process lacks processor time."""
        self._counts.observe("ibiswick_loop_late_seconds", "timer", "exchange", max(0.0, late_s))
        if late_s > LATE_TIMER_LOG_S:
            _log.warn("loop-late", late_ms=int(late_s * 1000))

    async def _exchange_with(
        self,
        record: NodeRecord,
        *,
        timeout_s: float = EXCHANGE_TIMEOUT_S,
        long_poll_s: float = 0.0,
    ) -> ExchangeMessage | ExchangeError | MessageError:
        """Exchange what either node lacks; return the response or the error."""
        started = self._clock()
        try:
            request = self._build_request(record.vm)._replace(long_poll_s=long_poll_s)
            response, age_s = await self._send(record, request, timeout_s)
            self._apply_message(response)
            if age_s is not None:
                self.update_source.note_told(
                    generation=response.generation, holds_at=started - age_s
                )
            if self._is_sender_behind(response):
                await self._send(record, self._build_response(response), timeout_s)
        except (ExchangeError, MessageError) as error:
            _log.debug("exchange-failed", vm=record.vm, code=error.code, detail=error)
            self._observe_exchange(error.code, started)
            return error
        self._heard_at[record.vm] = self._clock()
        self._observe_exchange("answered", started)
        return response

    def _observe_exchange(self, result: str, started: float) -> None:
        seconds = self._clock() - started
        self._counts.observe("ibiswick_exchange_seconds", "result", result, seconds)

    def _build_request(self, receiver: str) -> ExchangeMessage:
        """Build a message with a summary of this node's state and its own record."""
        # Until this node has its earlier record, it does not send the new one, which would replace
        # the earlier one on other nodes.
        own = (self._own_record,) if self._board.earlier_lookup_done.value else ()
        return ExchangeMessage(
            self._own_record.vm,
            self.configuration.generation,
            self.configuration.delta_base_digest,
            self.update_source.can_serve_polls,
            self._members.digest,
            self._merged_cursors.get(receiver, Cursor()),
            None,
            own,
            era=self._board.store_era.value,
        )

    def _build_response(self, message: ExchangeMessage) -> ExchangeMessage:
        """Build a message with everything that the sender of a message lacks."""
        request = self._build_request(message.sender)
        if not self._board.earlier_lookup_done.value:
            records = self._members.list_changed_since(0)
            others = tuple(record for record in records if record.vm != self._own_record.vm)
            return self._add_update(request._replace(records=others), message)
        table = Cursor(self._process_start_ms, self._members.version)
        records = ()
        if message.members_digest != request.members_digest:
            seen = (
                message.merged_cursor.version
                if message.merged_cursor.process_start_ms == self._process_start_ms
                else 0
            )
            records = self._members.list_changed_since(seen)
        return self._add_update(request._replace(records_cursor=table, records=records), message)

    def _add_update(self, response: ExchangeMessage, message: ExchangeMessage) -> ExchangeMessage:
        return response._replace(
            update=self.configuration.history.choose_update(
                message.generation, message.configuration_digest
            ),
            limits=self._board.caller_limits.value,
        )

    def _is_sender_behind(self, message: ExchangeMessage) -> bool:
        """Tell whether the sender of a message lacks something that this node has."""
        if message.generation < self.configuration.generation:
            return True
        if message.members_digest == self._members.digest:
            return False
        return message.merged_cursor != Cursor(self._process_start_ms, self._members.version)

    def _apply_message(self, message: ExchangeMessage) -> None:
        if message.era > self._board.store_era.value and self._clock() >= self._next_era_check_at:
            self._next_era_check_at = self._clock() + ERA_CHECK_INTERVAL_S
            self._start_background_task(self._check_store_era())
        if message.update is not None:
            self.configuration.apply_update(message.update, message.limits, source=message.sender)
        self._merge_records(list(message.records), source=message.sender)
        if message.records_cursor is not None:
            self._merged_cursors.pop(message.sender, None)
            self._merged_cursors[message.sender] = message.records_cursor
            if len(self._merged_cursors) > MAX_CURSORS:
                del self._merged_cursors[next(iter(self._merged_cursors))]

    async def _send(
        self, record: NodeRecord, message: ExchangeMessage, timeout_s: float
    ) -> tuple[ExchangeMessage, float | None]:
        """Return the response and the age of the configuration that it names."""
        body = encode_message(message)
        response, raw = await self._send_to_path(record, EXCHANGE_PATH, body, timeout_s)
        if self.rollouts is not None:
            self.rollouts.apply_headers(response.headers, source=record.vm)
        return decode_message(raw), find_configuration_age_s(response.headers)

    async def _send_to_path(
        self, record: NodeRecord, path: str, body: bytes, timeout_s: float
    ) -> tuple[ExchangeResponse, bytes]:
        """Send a request to the exchange port of a node; return the response and its body."""
        headers = self.rollouts.build_headers() if self.rollouts is not None else []
        lines = b"".join(b"%b: %b\r\n" % pair for pair in headers)
        head = (
            f"POST {path} HTTP/1.1\r\n" f"host: {record.host}\r\ncontent-length: {len(body)}\r\n"
        ).encode() + lines
        # Exchanges wait for a handshake as long as for a response: on a full link, a shorter limit
        # would make every connection fail.
        limits = ExchangeLimits(self._clock() + timeout_s, connect_timeout_s=timeout_s)
        request = Request(head + b"\r\n", body)
        response = await self._pool.exchange(_get_exchange_address(record), request, limits)
        raw = await read_body(response, limit=MAX_EXCHANGE_BYTES)
        if record.availability_zone != self._settings.availability_zone:
            size_bytes = len(head) + len(body) + len(raw)
            self._counts.add("ibiswick_crossing_bytes_total", "purpose", "exchange", size_bytes)
        return response, raw

    async def _wait_for_update(self, message: ExchangeMessage) -> None:
        """Wait for a newer configuration, for as long as the request allows.

        The other node thus hears of it as soon as this one, without frequent polls.
        """
        if message.long_poll_s <= 0 or message.generation < self.configuration.generation:
            return
        if (
            not self.update_source.can_serve_polls
            or message.configuration_digest != self.configuration.delta_base_digest
        ):
            return
        cells: list[Cell[Any]] = [self._board.snapshot]
        if self.rollouts is not None:
            cells.append(self._board.version_shares)
        waits = [asyncio.ensure_future(cell.wait_change(cell.version)) for cell in cells]
        # After the time there is nothing newer; the response confirms that.
        try:
            await asyncio.wait(
                waits,
                timeout=min(message.long_poll_s, MAX_LONG_POLL_S),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()

    async def serve_exchange(self, request: ServerRequest) -> None:
        """Respond to a message of another node."""
        raw = bytearray()
        while part := await request.read():
            raw += part
            request.keep(len(part))
            if len(raw) > MAX_EXCHANGE_BYTES:
                raise AbortResponseError("the exchange message is too large")
        if self.rollouts is not None:
            self.rollouts.apply_headers(request.headers, source="exchange")
            if request.path == ROLLOUT_PATH:
                await self.rollouts.serve(request, bytes(raw))
                return
        try:
            message = decode_message(bytes(raw))
        except MessageError as error:
            _log.warn("exchange-refused", code=error.code, detail=error)
            request.respond(400, [], b"")
            return
        received_at = self._clock()
        self._apply_message(message)
        self._heard_at[message.sender] = received_at
        await self._wait_for_update(message)
        response = self._build_response(message)
        headers = [(b"content-type", b"application/cbor")]
        holds_at = self.update_source.configuration_holds_at
        if holds_at != NEVER:
            headers.append(build_configuration_age_header(received_at - holds_at))
        if self.rollouts is not None:
            headers += self.rollouts.build_headers()
        request.respond(200, headers, encode_message(response))


def _get_exchange_address(record: NodeRecord) -> Remote:
    return Remote(record.host, record.exchange_port, record.vm)
