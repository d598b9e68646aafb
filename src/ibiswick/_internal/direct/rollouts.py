"""Follow roll-outs: read orders, report evidence, decide steps and tell other nodes of them.

A roll-out of a service is decided by one of the nodes that follow the object API. The nodes beside
the backend servers of the service report to it and get the stage back. Other nodes learn the stage
from a header of the exchanges, which every node passes on.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, Protocol

import msgspec

from ..calls.admission import SlotQueue
from ..calls.callcounts import CallCounts
from ..calls.exchanges import ExchangeResponse, Headers
from ..calls.serving import ServerRequest
from ..rollouts.evidence import CallTally
from ..rollouts.records import Report, RolloutDecoder, RolloutState, Stage
from ..rollouts.steps import Decision, StepDecider
from ..shared.blackboard import Blackboard
from ..shared.errors import (
    ConflictError,
    ExchangeError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformError,
)
from ..shared.logs import EventLog
from ..shared.objectapi import Listing, StatusPlatform
from ..shared.records import LocalInstance, VersionShare
from .follower import WATCH_TIMEOUT_S, Follower
from .instances import Heartbeat
from .members import MemberTable, NodeRecord
from .supervision import supervise

ROLLOUT_PATH = "/rollout"
# Header of exchanges, in both directions, with the stages of recent roll-outs. Earlier builds
# ignore it, while they refuse messages with further elements.
STAGES_HEADER = b"ibiswick-rollouts"
# The header names at most this many stages, running ones first; `POST /rollout` returns all.
MAX_HEADER_STAGES = 8
# A stage is named in the header for this long after its last change.
RECENT_S = 30.0
REPORT_INTERVAL_S = 0.5
# With more reporting nodes than this, each reports less often, to bound the decider's work.
REPORTERS_AT_FULL_RATE = 160
REQUEST_TIMEOUT_S = 0.5
# Pauses of a node that did not answer a report, or can't read the object API.
PAUSE_AFTER_FAILURE_S = 3.0
PAUSE_WITHOUT_PLATFORM_S = 2.0
DECIDE_INTERVAL_S = 0.1
# Pause after a failed write of a status.
RETRY_WRITE_S = 0.3
COALESCE_S = 0.02
# How often a node checks whether it follows the object API.
READER_CHECK_INTERVAL_S = 0.5
START_CHECK_INTERVAL_S = 0.1
# How often a node checks whether its backend server is still held back.
HOLD_CHECK_INTERVAL_S = 0.1
# A node whose backend server has a version of its own gets no calls for at most this long while
# nobody can tell whether a roll-out has been ordered.
MAX_HOLD_S = 2.5
# Time for an order to reach the nodes that call the service, before endpoints of the target version
# are offered to them.
SPREAD_S = 1.0
ASK_INTERVAL_S = 0.3
# Nodes that do not follow the object API ask a reader for all stages, first when they start.
SYNC_INTERVAL_S = 20.0
SYNC_RETRY_S = 0.5
# A backend server that does not announce how long it is slow after its start.
DEFAULT_WARMUP_S = 3.0
MAX_MESSAGE_BYTES = 256 * 1024

# For this long after a completion, other versions run no calls. The old backend servers have
# stopped by then, and later ones, of whatever version, are served as without an order.
COMPLETED_HOLD_S = 10.0

_log = EventLog(component="rollouts")


class ReaderSource(Protocol):
    """Tell which nodes follow the object API."""

    follows_object_api: bool

    @property
    def is_starting(self) -> bool:
        """Tell whether it is not settled yet whether this node follows the object API."""

    @property
    def can_serve_polls(self) -> bool:
        """Tell whether other nodes may rely on what this one reads."""

    def list_readers(self) -> list[NodeRecord]:
        """Return the nodes that follow the object API unless it or they fail."""


class SendToNode(Protocol):
    """Send a request to the exchange port of a node."""

    def __call__(
        self, record: NodeRecord, path: str, body: bytes, timeout_s: float
    ) -> Awaitable[tuple[ExchangeResponse, bytes]]:
        """Return the response and its body; raise ExchangeError if there is none."""


class RolloutRequest(msgspec.Struct):
    """Report to a node, or ask it for stages.

    With `asks_order`, the receiver first reads from the object API whether there are new orders.
    """

    sender: str
    asks_order: bool = False
    report: Report | None = None


class RolloutResponse(msgspec.Struct):
    """Return all stages with the ages of their orders in seconds.

    * `reaches_platform`: the responder reads the object API and can write a status.
    * `has_read`: orders were read after the request had arrived.
    """

    stages: list[tuple[float, list[Any]]]
    reaches_platform: bool = False
    has_read: bool = False


class RolloutController:
    """Keep the stages of roll-outs on one node, and decide them if this node is the decider."""

    def __init__(
        self,
        *,
        vm: str,
        board: Blackboard,
        platform: StatusPlatform,
        decoder: RolloutDecoder,
        members: MemberTable,
        source: ReaderSource,
        send: SendToNode,
        process_start_ms: int,
        counts: CallCounts,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._board = board
        self._platform = platform
        self._decoder = decoder
        self._members = members
        self._source = source
        self._send = send
        self._process_start_ms = process_start_ms
        self._counts = counts
        self._rng = rng
        self._clock = clock
        # The slots of the local backend server; set once the peer port has been built.
        self.queue: SlotQueue | None = None
        self._stages: dict[str, Stage] = {}
        self._specs: dict[str, Any] = {}
        # By service and order: when it was written, on this node's clock.
        self._ordered_at: dict[tuple[str, int, int], float] = {}
        self._hold_completed_until: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._stages_changed = asyncio.Event()
        self._deciders: dict[str, tuple[tuple[int, int], StepDecider]] = {}
        self._next_write_at: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}
        self._tally = CallTally()
        self._tally_order: tuple[int, int] = (0, 0)
        self._last_call_at = clock()
        self._instance: LocalInstance | None = None
        self._warm_at = 0.0
        self._warm_key: tuple[str, int] | None = None
        self._hold_ends_at = 0.0
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._confirmation: asyncio.Task[bool] | None = None
        self._follower = Follower(
            platform=platform,
            prefix=decoder.prefix,
            apply=self._apply_objects,
            rng=rng,
            get_coalesce_s=lambda: COALESCE_S,
            wait_before_watch=self._wait_before_watch,
            get_stale_watch_limit_s=lambda: WATCH_TIMEOUT_S,
            era=board.store_era,
            clock=clock,
        )

    def list_controllers(self) -> list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]]:
        """Return the controllers to run, with their names."""
        return [
            ("rollout-orders", self._follow_orders),
            ("rollout-reports", self._report_forever),
            ("rollout-steps", self._decide_forever),
            ("rollout-hold", self._end_hold),
            ("rollout-sync", self._sync_forever),
        ]

    # Stages

    async def _follow_orders(self) -> None:
        """Watch the orders while this node follows the object API."""
        while True:
            # The result changes with each record and with time, so there is no event to wait for.
            while not self._source.follows_object_api:  # noqa: ASYNC110
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
            follower = asyncio.create_task(supervise("rollout-follower", self._follower.run))
            try:
                while self._source.follows_object_api:  # noqa: ASYNC110
                    await asyncio.sleep(READER_CHECK_INTERVAL_S)
            finally:
                follower.cancel()
                await asyncio.gather(follower, return_exceptions=True)
            self._follower.forget_revision()

    async def _wait_before_watch(self) -> None:
        """Wait until it is settled whether this node follows the object API.

        Every node does so when it starts. Its first listing, which may be stale and costs little,
        tells the stages after a restart of the whole fleet.
        """
        while self._source.is_starting:  # noqa: ASYNC110
            await asyncio.sleep(START_CHECK_INTERVAL_S)

    def _apply_objects(self, listing: Listing, complete: bool) -> None:
        found = {}
        for item in listing.objects:
            service = item.key.removeprefix(self._decoder.prefix)
            if item.value is None:
                self._note_deleted(service, listing.era, item.version)
                continue
            try:
                stage = self._decoder.decode(
                    item.key, item.value, item.status, revision=item.version, era=listing.era
                )
            except InvalidInputError as error:
                _log.warn("rollout-refused", key=item.key, code=error.code, detail=error)
                continue
            found[stage.service] = stage
            self._specs[stage.service] = item.value
            self._merge(stage, self._clock(), source="platform")
        if complete:
            for service in list(self._stages.keys() - found.keys()):
                known = self._stages[service]
                if (known.era, known.revision) <= (listing.era, listing.revision):
                    self._note_deleted(service, listing.era, listing.revision)

    def _note_deleted(self, service: str, era: int, revision: int) -> None:
        """Note that an order was deleted; its service has no roll-out then."""
        known = self._stages.get(service)
        if known is not None and known.new_version:
            deleted = known._replace(new_version="", era=era, revision=revision, halted=False)
            self._merge(deleted, self._clock(), source="platform")

    def _merge(self, stage: Stage, ordered_at: float, *, source: str) -> None:
        """Replace an older stage; remember the earliest known time of the order."""
        key = (stage.service, stage.era, stage.order_revision)
        ordered_at = min(ordered_at, self._clock() - stage.elapsed_s)
        self._ordered_at[key] = min(self._ordered_at.get(key, ordered_at), ordered_at)
        known = self._stages.get(stage.service)
        if known is not None and stage.order <= known.order:
            return
        self._stages[stage.service] = stage
        self._changed_at[stage.service] = self._clock()
        for old in [item for item in self._ordered_at if item[0] == stage.service and item != key]:
            del self._ordered_at[old]
        if stage.state is RolloutState.COMPLETED and known is not None:
            self._hold_completed_until[stage.service] = self._clock() + COMPLETED_HOLD_S
            asyncio.get_running_loop().call_later(COMPLETED_HOLD_S, self._publish_shares)
        self._publish_shares()
        self._stages_changed.set()
        self._stages_changed = asyncio.Event()
        _log.info(
            "rollout-stage",
            service=stage.service,
            version=stage.new_version or "-",
            state=stage.state.value,
            share=stage.target_share,
            halted=stage.halted,
            era=stage.era,
            revision=stage.revision,
            age_ms=int(self._get_age(stage) * 1000),
            source=source,
        )

    def _publish_shares(self) -> None:
        """Publish the share of each version under a roll-out."""
        shares = {
            service: VersionShare(item.new_version, item.target_share)
            for service, item in self._stages.items()
            if item.new_version and not self._is_over(item)
        }
        self._board.version_shares.set(shares)

    def _is_over(self, stage: Stage) -> bool:
        """Tell whether a completed roll-out no longer decides which versions run calls."""
        if stage.state is not RolloutState.COMPLETED:
            return False
        # A node that has not known the order before has started after the completion.
        return self._clock() >= self._hold_completed_until.get(stage.service, -math.inf)

    def _get_age(self, stage: Stage) -> float:
        key = (stage.service, stage.era, stage.order_revision)
        return self._clock() - self._ordered_at.get(key, self._clock())

    def _export(self, stages: Iterable[Stage]) -> list[tuple[float, list[Any]]]:
        return [(round(self._get_age(stage), 3), list(stage)) for stage in stages]

    def _apply_exported(self, exported: list[tuple[float, list[Any]]], *, source: str) -> None:
        for age_s, row in exported:
            # Later builds may add fields.
            stage = msgspec.convert(row[: len(Stage._fields)], Stage, strict=False)
            self._merge(stage, self._clock() - max(0.0, age_s), source=source)

    def build_headers(self) -> Headers:
        """Return the header of an exchange that names the stages of recent roll-outs."""
        now = self._clock()
        recent = [
            stage
            for stage in self._stages.values()
            if stage.state is RolloutState.RUNNING
            or now - self._changed_at[stage.service] < RECENT_S
        ]
        if not recent:
            return []
        recent.sort(key=lambda s: (s.state is not RolloutState.RUNNING, s.service))
        exported = self._export(recent[:MAX_HEADER_STAGES])
        return [(STAGES_HEADER, json.dumps(exported, separators=(",", ":")).encode())]

    def apply_headers(self, headers: Headers, *, source: str) -> None:
        """Apply the stages that another node has named in the headers of an exchange."""
        for name, value in headers:
            if name.lower() != STAGES_HEADER:
                continue
            try:
                exported = msgspec.json.decode(value, type=list[tuple[float, list[Any]]])
                self._apply_exported(exported, source=source)
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                _log.warn("rollout-header-refused", source=source, detail=error)

    # The local backend server

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note until when the local backend server is slow after its start."""
        key = (heartbeat.instance, heartbeat.born)
        if heartbeat.slow_for_s is not None:
            self._warm_at = self._clock() + heartbeat.slow_for_s
        elif key != self._warm_key:
            self._warm_at = self._clock() + DEFAULT_WARMUP_S
        self._warm_key = key

    def note_instance(self, instance: LocalInstance | None) -> None:
        """Hold back a backend server whose version may be one that an operator rolls out.

        Call this before the backend server is published.
        """
        known = self._instance
        self._instance = instance
        if instance is None or instance.leaving:
            self._board.holds_back.set(False)
            return
        if known is not None and (known.instance, known.born) == (instance.instance, instance.born):
            return
        if instance.version and self._has_own_version(instance):
            self._hold_ends_at = self._clock() + MAX_HOLD_S
            self._board.holds_back.set(True)
            _log.info("rollout-held", service=instance.service, version=instance.version)
        else:
            self._board.holds_back.set(False)

    def _has_own_version(self, instance: LocalInstance) -> bool:
        """Tell whether another backend server of the service has another version."""
        return any(
            record.service == instance.service
            and record.vm != self._vm
            and record.instance
            and not record.leaving
            and record.version not in ("", instance.version)
            for record in self._members.records.values()
        )

    async def _end_hold(self) -> None:
        """Release the local backend server once it is known whether there is an order for it."""
        cell = self._board.holds_back
        while True:
            version = cell.version
            if not cell.value:
                await cell.wait_change(version)
                continue
            reason = await self._find_release()
            if reason:
                cell.set(False)
                _log.info("rollout-released", reason=reason)
            else:
                await asyncio.sleep(HOLD_CHECK_INTERVAL_S)

    async def _find_release(self) -> str:
        """Return why the local backend server may be offered to other nodes, "" if it may not."""
        instance = self._instance
        if instance is None:
            return "no-instance"
        stage = self._stages.get(instance.service)
        if stage is not None and stage.new_version == instance.version:
            # Also after a roll-back: the check of each call then refuses it.
            known_s = self._clock() - self._changed_at[instance.service]
            return "ordered" if stage.target_share > 0 or known_s >= SPREAD_S else ""
        if stage is not None and stage.new_version:
            return "other-version-ordered"
        if self._clock() >= self._hold_ends_at:
            return "unanswered"
        has_read = await self._ask_for_order()
        stage = self._stages.get(instance.service)
        is_ordered = stage is not None and bool(stage.new_version)
        return "no-order" if has_read and not is_ordered else ""

    async def _ask_for_order(self) -> bool:
        """Ask a node that follows the object API for new orders; return whether it has read."""
        if self._source.follows_object_api and await self._read_orders():
            return True
        readers = [item for item in self._source.list_readers() if item.vm != self._vm]
        if not readers:
            await asyncio.sleep(ASK_INTERVAL_S)
            return False
        response = await self._request(
            self._rng.choice(readers), RolloutRequest(self._vm, asks_order=True)
        )
        if response is None or not response.has_read:
            await asyncio.sleep(ASK_INTERVAL_S)
            return False
        return True

    async def _read_orders(self) -> bool:
        """Read new orders from the object API, once for all who ask at the same time."""
        task = self._confirmation
        if task is None:
            task = self._confirmation = asyncio.create_task(self._confirm_orders())
            task.add_done_callback(self._forget_confirmation)
        return await asyncio.shield(task)

    def _forget_confirmation(self, _task: asyncio.Task[bool]) -> None:
        self._confirmation = None

    async def _confirm_orders(self) -> bool:
        # Collects the questions of nodes that start together.
        await asyncio.sleep(COALESCE_S)
        started = self._clock()
        await self._follower.confirm()
        return self._follower.holds_at >= started

    def allows_calls(self) -> bool:
        """Tell whether the local backend server's version may run calls."""
        instance = self._board.instance.value
        if instance is None or self._board.holds_back.value:
            return instance is None
        stage = self._stages.get(instance.service)
        if stage is None or not stage.new_version or self._is_over(stage):
            return True
        if stage.new_version == instance.version:
            return stage.target_share > 0
        return stage.state is not RolloutState.COMPLETED

    def observe_call(self, route_id: str, seconds: float, failed: bool) -> None:
        """Count a call of the local backend server as evidence."""
        now = self._clock()
        self._last_call_at = now
        instance = self._board.instance.value
        stage = self._stages.get(instance.service) if instance is not None else None
        if stage is None or instance is None or stage.state is not RolloutState.RUNNING:
            return
        if (stage.era, stage.order_revision) != self._tally_order:
            self._tally_order = (stage.era, stage.order_revision)
            self._tally = CallTally()
        if now - seconds < self._warm_at:
            return
        self._tally.note(route_id, seconds, failed=failed)
        version = "target" if instance.version == stage.new_version else "other"
        result = f"{version}-{'failed' if failed else 'answered'}"
        self._counts.add("ibiswick_rollout_answers_total", "result", result)

    # Reports

    async def _report_forever(self) -> None:
        """Report to the decider while a roll-out of the local backend server's service runs."""
        while True:
            stage = self._find_running()
            if stage is None:
                await self._wait_stages()
                continue
            await self._report(stage)
            reporters = sum(r.service == stage.service for r in self._members.records.values())
            interval_s = REPORT_INTERVAL_S * max(1.0, reporters / REPORTERS_AT_FULL_RATE)
            await asyncio.sleep(interval_s * self._rng.uniform(0.9, 1.1))

    def _find_running(self) -> Stage | None:
        instance = self._board.instance.value
        stage = self._stages.get(instance.service) if instance is not None else None
        is_running = stage is not None and stage.state is RolloutState.RUNNING
        return stage if is_running and stage is not None and stage.new_version else None

    async def _wait_stages(self) -> None:
        """Wait until a stage or the local backend server changes."""
        cell = self._board.instance
        waits = [
            asyncio.ensure_future(self._stages_changed.wait()),
            asyncio.ensure_future(cell.wait_change(cell.version)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    def _build_report(self, stage: Stage) -> Report | None:
        instance = self._board.instance.value
        if instance is None or instance.leaving:
            return None
        queue = self.queue
        now = self._clock()
        is_current = (stage.era, stage.order_revision) == self._tally_order
        return Report(
            vm=self._vm,
            process_start_ms=self._process_start_ms,
            service=instance.service,
            version=instance.version,
            is_warm=now >= self._warm_at,
            slots=instance.slots,
            busy=queue.busy + queue.queued if queue is not None else 0,
            quiet_s=round(now - self._last_call_at, 3),
            tallies=self._tally.export() if is_current else {},
        )

    async def _report(self, stage: Stage) -> None:
        report = self._build_report(stage)
        if report is None:
            return
        now = self._clock()
        ranked = rank_deciders(stage.service, self._source.list_readers())
        ready = [item for item in ranked if self._paused_until.get(item.vm, 0.0) <= now]
        for target in ready[:1] or ranked[:1]:
            if target.vm == self._vm:
                self._note_report(report)
                self._note_decider(target, self._source.can_serve_polls)
                continue
            response = await self._request(target, RolloutRequest(self._vm, report=report))
            if response is None:
                self._paused_until[target.vm] = now + PAUSE_AFTER_FAILURE_S
            else:
                self._note_decider(target, response.reaches_platform)

    def _note_decider(self, target: NodeRecord, reaches_platform: bool) -> None:
        if reaches_platform:
            self._paused_until.pop(target.vm, None)
        else:
            self._paused_until[target.vm] = self._clock() + PAUSE_WITHOUT_PLATFORM_S

    async def _request(self, record: NodeRecord, request: RolloutRequest) -> RolloutResponse | None:
        """Send a request and apply the stages of the response; return None without a response."""
        body = msgspec.json.encode(request)
        try:
            response, raw = await self._send(record, ROLLOUT_PATH, body, REQUEST_TIMEOUT_S)
            if response.status != 200:
                return None
            found = msgspec.json.decode(raw, type=RolloutResponse)
            self._apply_exported(found.stages, source=record.vm)
        except (ExchangeError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            _log.debug("rollout-request-failed", vm=record.vm, detail=error)
            return None
        return found

    async def serve(self, request: ServerRequest, raw: bytes) -> None:
        """Answer a report or question of another node."""
        try:
            message = msgspec.json.decode(raw, type=RolloutRequest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            _log.warn("rollout-request-refused", detail=error)
            request.respond(400, [], b"")
            return
        if message.report is not None:
            self._note_report(message.report)
        has_read = False
        if message.asks_order and self._source.follows_object_api:
            has_read = await self._read_orders()
        response = RolloutResponse(
            self._export(self._stages.values()), self._source.can_serve_polls, has_read
        )
        headers = [(b"content-type", b"application/json")]
        request.respond(200, headers, msgspec.json.encode(response))

    def _note_report(self, report: Report) -> None:
        stage = self._stages.get(report.service)
        if stage is not None and stage.new_version:
            self._get_decider(stage).note_report(report, now=self._clock())

    async def _sync_forever(self) -> None:
        """Ask a reader for all stages now and then while this node does not read them itself."""
        while True:
            pause_s = SYNC_INTERVAL_S
            if not self._source.follows_object_api:
                readers = [item for item in self._source.list_readers() if item.vm != self._vm]
                target = self._rng.choice(readers) if readers else None
                if target is None or await self._request(target, RolloutRequest(self._vm)) is None:
                    pause_s = SYNC_RETRY_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    # Decisions

    def _get_decider(self, stage: Stage) -> StepDecider:
        order = (stage.era, stage.order_revision)
        known = self._deciders.get(stage.service)
        if known is None or known[0] != order:
            decider = StepDecider(new_version=stage.new_version, duration_s=stage.duration_s)
            known = self._deciders[stage.service] = (order, decider)
        return known[1]

    async def _decide_forever(self) -> None:
        """Decide the running roll-outs whose nodes report to this one."""
        while True:
            running = [
                stage
                for stage in self._stages.values()
                if stage.state is RolloutState.RUNNING and stage.new_version
            ]
            if not running:
                self._deciders.clear()
                await self._wait_stages()
                continue
            await asyncio.gather(*(self._decide(stage) for stage in running))
            await asyncio.sleep(DECIDE_INTERVAL_S)

    async def _decide(self, stage: Stage) -> None:
        """Take the next step of a roll-out if most of its nodes report here."""
        if not self._is_heard(stage):
            return
        now = self._clock()
        decider = self._get_decider(stage)
        can_write = self._source.can_serve_polls
        age_s = self._get_age(stage)
        decision = decider.decide(stage, age_s=age_s, now=now, can_write=can_write)
        if decision is None:
            return
        _log.info(
            "rollout-decided",
            service=stage.service,
            version=stage.new_version,
            state=decision.state.value,
            share=decision.share,
            before=stage.share,
            reason=decision.reason,
            age_ms=int(self._get_age(stage) * 1000),
            target=str(decider.evidence.count(target=True)),
            other=str(decider.evidence.count(target=False)),
        )
        if decision.state is RolloutState.ROLLED_BACK and not stage.halted:
            # The traffic stops at once, also while the status can't be written.
            stage = stage._replace(halted=True)
            self._merge(stage, now, source="decision")
            self._push()
        if can_write and now >= self._next_write_at.get(stage.service, 0.0):
            self._next_write_at[stage.service] = now + RETRY_WRITE_S
            await self._write(stage, decision)

    def _is_heard(self, stage: Stage) -> bool:
        """Tell whether most nodes beside backend servers of the service report to this one."""
        known = self._deciders.get(stage.service)
        if known is None:
            return False
        beside = {
            record.vm
            for record in self._members.records.values()
            if record.service == stage.service and record.instance and not record.leaving
        }
        heard = known[1].list_reporters(now=self._clock()) & beside
        return 2 * len(heard) > len(beside)

    async def _write(self, stage: Stage, decision: Decision) -> None:
        """Write a step to the status of the order, unless it has changed in the meantime."""
        key = self._decoder.prefix + stage.service
        following = stage._replace(
            state=decision.state,
            share=decision.share,
            halted=False,
            written=True,
            elapsed_s=round(self._get_age(stage), 3),
        )
        try:
            if stage.service not in self._specs:
                await self._read_object(key)
            status = self._decoder.encode_status(following)
            version = await self._platform.put_status(
                key, status, value=self._specs.get(stage.service), expected=stage.revision
            )
        except (ConflictError, OutcomeUnknownError) as error:
            _log.warn("rollout-write-failed", key=key, code=error.code, detail=error)
            await self._read_object(key)
            return
        except PlatformError as error:
            _log.warn("rollout-write-failed", key=key, code=error.code, detail=error)
            return
        self._next_write_at.pop(stage.service, None)
        self._counts.add("ibiswick_rollout_steps_total", "state", decision.state.value)
        self._merge(following._replace(revision=version), self._clock(), source="decision")
        self._push()

    async def _read_object(self, key: str) -> None:
        """Read an order and its status after a write that conflicted or whose outcome is lost."""
        try:
            found = await self._platform.get(key)
        except PlatformError as error:
            _log.warn("rollout-read-failed", key=key, code=error.code, detail=error)
            return
        if found is not None:
            era = self._board.store_era.value
            self._apply_objects(Listing(found.version, (found,), era), False)

    def _push(self) -> None:
        """Tell the readers of a stage, which answer the polls of other nodes with it."""
        for record in self._source.list_readers():
            if record.vm != self._vm:
                request = self._request(record, RolloutRequest(self._vm))
                task = asyncio.create_task(_discard_result(request))
                self._background_tasks.add(task)
                task.add_done_callback(self._background_tasks.discard)


async def _discard_result(request: Awaitable[Any]) -> None:
    await request


def rank_deciders(service: str, readers: Iterable[NodeRecord]) -> list[NodeRecord]:
    """Return the nodes that may decide a roll-out, in the order in which every node asks them."""

    def weigh(record: NodeRecord) -> bytes:
        return hashlib.blake2b(f"{service}|{record.vm}".encode(), digest_size=8).digest()

    return sorted(readers, key=weigh)
