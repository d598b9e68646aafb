"""Run the control plane of one node on asyncio."""

from __future__ import annotations

import asyncio
import random as random_module
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from websockets.asyncio.server import Server

from ..shared.blackboard import Blackboard
from ..shared.errors import (
    IbiswickError,
    MessageError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from ..shared.logs import EventLog
from ..shared.metrics import define_counter, define_gauge
from ..shared.objectapi import Platform
from ..shared.records import Member, MemberState
from ..shared.settings import Address, NodeSettings
from ..shared.tls import build_client_context, build_server_context
from .actions import Action, CallPlatform, Close, Connect, Log, Send
from .agent import Agent
from .context import Role
from .links import WebSocketLink, serve_links
from .messages import Message

METRICS_INTERVAL_S = 1.0
# Keeps a timer that is always due from blocking the event loop.
MIN_TIMER_S = 0.001


class ControlPlane:
    """Run an `Agent` with websockets, the platform and timers.

    `bytes_in`, `bytes_out`, `messages_in` and `messages_out` count by message class; bytes include
    the websocket frame.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        board: Blackboard,
        platform: Platform,
        clock: Callable[[], float] = time.monotonic,
        random: random_module.Random | None = None,
        peer_port: int | None = None,
        incarnation: int | None = None,
    ) -> None:
        self._settings = settings
        self._board = board
        self._platform = platform
        self._clock = clock
        self._random = random if random is not None else random_module.Random()
        self._peer_port = settings.peer.port if peer_port is None else peer_port
        self.incarnation = int(time.time() * 1000) if incarnation is None else incarnation
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.messages_in: Counter[str] = Counter()
        self.messages_out: Counter[str] = Counter()
        self.agent: Agent | None = None
        self._log = EventLog(component="control")
        self._links: dict[int, WebSocketLink] = {}
        self._last_server_link_number = 0
        self._server: Server | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._drain_watcher: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0
        self._next_metrics_at = 0.0
        self._stopped = False
        self._platform_available = True
        tls = settings.tls
        self._client_context = None if tls is None else build_client_context(tls)
        self._server_context = None if tls is None else build_server_context(tls)

    @property
    def port(self) -> int:
        """Return the bound control port."""
        if self._server is None:
            return self._settings.control.port
        return next(iter(self._server.sockets)).getsockname()[1]

    async def start(self) -> None:
        """Listen, and start to look for a parent."""
        if not self._settings.control_enabled:
            return
        self._server = await serve_links(
            self._settings.control, self._server_context, self._make_server_link
        )
        self.agent = Agent(
            settings=self._settings,
            board=self._board,
            random_source=self._random,
            own=self._build_member(),
        )
        self.agent.start(self._clock())
        self._drain_watcher = asyncio.ensure_future(self._watch_drain())
        self._finish_event()

    async def stop(self) -> None:
        """Close every link and the listener."""
        if self.agent is None or self._server is None:
            return
        self.agent.stop(self._clock())
        self._execute(self.agent.take_actions())
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        tasks = [*self._calls, *([self._drain_watcher] if self._drain_watcher else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(link.wait_closed() for link in list(self._links.values())))
        self._server.close()
        await self._server.wait_closed()
        self._publish_metrics(self._clock(), at_once=True)

    # Events of links

    def on_accepted(self, link: WebSocketLink) -> None:
        """Handle a link that a peer opened."""
        assert self.agent is not None
        self.agent.accept_link(link.number, link.identity, self._clock())

    def on_opened(self, link: WebSocketLink) -> None:
        """Handle a link that this node opened."""
        assert self.agent is not None
        self.agent.on_link_opened(link.number, link.identity, self._clock())
        self._finish_event()

    def on_message(self, link: WebSocketLink, message: Message, size: int) -> None:
        """Count a message and pass it to the agent."""
        assert self.agent is not None
        kind = type(message).__name__
        self.bytes_in[kind] += size
        self.messages_in[kind] += 1
        self.agent.receive(link.number, message, self._clock())
        self._finish_event()

    def on_bad_message(self, link: WebSocketLink, error: MessageError) -> None:
        """Handle a message that could not be decoded."""
        assert self.agent is not None
        self.agent.reject(link.number, error, self._clock())
        self._finish_event()

    def on_sent(self, message: Message, size: int) -> None:
        """Count a message that was sent."""
        kind = type(message).__name__
        self.bytes_out[kind] += size
        self.messages_out[kind] += 1

    def on_closed(self, link: WebSocketLink) -> None:
        """Handle a link that closed or could not be opened."""
        assert self.agent is not None
        self._links.pop(link.number, None)
        self.agent.on_link_closed(link.number, self._clock(), refused=link.refused)
        self._finish_event()

    # Actions

    def _finish_event(self) -> None:
        """Execute the actions of an event and set the timer for the next tick."""
        if self.agent is None or self._stopped:
            return
        self._execute(self.agent.take_actions())
        now = self._clock()
        due = self.agent.get_next_tick_at(now)
        if self._timer is None or due < self._timer_due_at:
            self._set_timer(due, now)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case Connect():
                    self._connect(action)
                case Close():
                    self._close(action)
                case CallPlatform():
                    self._start_call(action)
                case Log():
                    getattr(self._log, action.level)(action.event, **action.fields)

    def _send(self, action: Send) -> None:
        link = self._links.get(action.link_number)
        if link is None:
            return
        try:
            link.send(action.message)
        except MessageError as error:
            self._log.error("message-not-sent", code=error.code, detail=error.detail)
            link.abort(error.code)

    def _connect(self, action: Connect) -> None:
        link = WebSocketLink(self, number=action.link_number, is_client=True)
        self._links[action.link_number] = link
        link.open(Address(action.host, action.port), self._client_context)

    def _close(self, action: Close) -> None:
        link = self._links.get(action.link_number)
        if link is None:
            return
        if action.reason == "silent":
            link.abort(action.reason)
        else:
            link.close(action.reason)

    def _start_call(self, action: CallPlatform) -> None:
        task = asyncio.ensure_future(self._call(action))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, action: CallPlatform) -> None:
        assert self.agent is not None
        result: Any
        try:
            result = await getattr(self._platform, action.method)(**action.arguments)
        except IbiswickError as error:
            result = error
        self._update_platform_available(result)
        self.agent.finish_call(action.call_number, result, self._clock())
        self._finish_event()

    def _update_platform_available(self, result: Any) -> None:
        """Log when the platform stops answering and when it answers again."""
        available = not isinstance(result, PlatformUnavailableError)
        if available == self._platform_available or isinstance(result, OutcomeUnknownError):
            return
        self._platform_available = available
        if available:
            self._log.info("platform-available")
        else:
            self._log.warn("platform-unavailable", detail=result.detail)

    def _make_server_link(self) -> WebSocketLink:
        self._last_server_link_number += 2
        link = WebSocketLink(self, number=self._last_server_link_number, is_client=False)
        self._links[link.number] = link
        return link

    # Timers

    def _set_timer(self, due: float, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_at = due
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(MIN_TIMER_S, due - now), self._tick)

    def _tick(self) -> None:
        assert self.agent is not None
        self._timer = None
        now = self._clock()
        self.agent.tick(now)
        self._publish_metrics(now)
        self._finish_event()

    async def _watch_drain(self) -> None:
        """Handle a drain request at once instead of at the next tick."""
        assert self.agent is not None
        version = self._board.drain_requested.version
        while not self._board.drain_requested.value:
            await self._board.drain_requested.wait_change(version)
            version = self._board.drain_requested.version
        self.agent.tick(self._clock())
        self._finish_event()

    def _publish_metrics(self, now: float, *, at_once: bool = False) -> None:
        if now < self._next_metrics_at and not at_once:
            return
        assert self.agent is not None
        self._next_metrics_at = now + METRICS_INTERVAL_S
        counters = (
            ("bytes", "in", self.bytes_in),
            ("bytes", "out", self.bytes_out),
            ("messages", "in", self.messages_in),
            ("messages", "out", self.messages_out),
        )
        for unit, direction, counts in counters:
            counter = define_counter(
                f"ibiswick_control_{unit}_total", f"Control-plane {unit} by direction and kind."
            )
            for kind, count in counts.items():
                counter.set({"direction": direction, "kind": kind}, count)
        ctx = self.agent.ctx
        gauges = {
            "ibiswick_control_children": sum(1 for _ in ctx.list_links(Role.CHILD)),
            "ibiswick_control_members": len(ctx.member_table),
            "ibiswick_control_root": int(ctx.is_root),
            "ibiswick_platform_available": int(self._platform_available),
            "ibiswick_control_connected": int(bool(ctx.own_path)),
            "ibiswick_snapshot_generation": self.agent.configuration.generation,
        }
        for name, value in gauges.items():
            define_gauge(name, name.removeprefix("ibiswick_").replace("_", " ")).set({}, value)

    def _build_member(self) -> Member:
        settings = self._settings
        return Member(
            vm=settings.vm,
            workspace=settings.workspace,
            service=settings.service,
            region=settings.region,
            availability_zone=settings.availability_zone,
            host=settings.peer.host,
            peer_port=self._peer_port,
            control_port=self.port,
            slots=settings.slots,
            incarnation=self.incarnation,
            sequence=1,
            state=MemberState.UNREADY,
        )
