"""Exchange rights and tokens of limited tenants with other nodes by datagrams."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import Any

from ..calls.callcounts import CallCounts
from ..shared.blackboard import Blackboard
from ..shared.errors import MessageError
from ..shared.logs import EventLog
from ..shared.records import Phase, Snapshot, Tenant, TokenResult
from ..tenants.limit_messages import (
    MAX_DATAGRAM_BYTES,
    TokenGrant,
    TokenRequest,
    decode_message,
    encode_message,
)
from ..tenants.limitnode import LimitNode, Ticket
from ..tenants.limits import Limit
from .members import MemberTable
from .settings import DirectSettings

# Shortest time between log lines about datagrams that were dropped.
DROP_LOG_S = 5.0
# The clock may be slightly behind the timer of the event loop.
TIMER_MARGIN_S = 0.0005
# If the process was stalled, answers that have arrived meanwhile are read before calls are refused.
LATE_TIMER_S = 0.02
LATE_GRACE_S = 0.005

_log = EventLog(component="limits")


def read_boot_time() -> float:
    """Return the seconds since the VM was started, including those in which it was paused."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Taken while the program is imported, so that the wait for loans of the earlier process includes
# the rest of the start.
PROCESS_STARTED_AT = read_boot_time()


def find_limits(snapshot: Snapshot | None) -> dict[str, Limit]:
    """Return the limits of the tenants that have one; the burst is one second's worth or given."""
    limits = {}
    for tenant in snapshot.tenants if snapshot is not None else ():
        rate = tenant.get("rate")
        if rate:
            limits[tenant["name"]] = Limit(rate, max(1, tenant.get("burst") or rate))
    return limits


class LimitController(asyncio.DatagramProtocol):
    """Enforce limits on one node; idle and without a port while no tenant has a limit."""

    def __init__(
        self,
        *,
        settings: DirectSettings,
        board: Blackboard,
        members: MemberTable,
        counts: CallCounts,
        clock: Callable[[], float] = read_boot_time,
        started_at: float | None = None,
    ) -> None:
        self._settings = settings
        self._board = board
        self._members = members
        self._counts = counts
        self._clock = clock
        if started_at is None:
            started_at = PROCESS_STARTED_AT if clock is read_boot_time else clock()
        self.node = LimitNode(
            vm=settings.vm,
            process=int.from_bytes(os.urandom(6), "big"),
            started_at=started_at,
        )
        self._snapshot: Snapshot | None = None
        self._members_seen: tuple[int, int, bool] | None = None
        self._transport: Any = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._flush_handle: asyncio.Handle | None = None
        self._next_drop_log_at = 0.0
        self._is_closed = False

    # Lifecycle

    async def run(self) -> None:
        """Follow the configuration and open the port while a tenant has a limit."""
        cell = self._board.snapshot
        while True:
            version = cell.version
            self._apply_snapshot()
            if self.node.has_limits:
                await self._open()
                self._flush()
            else:
                self._close_port()
            await cell.wait_change(version)

    async def _open(self) -> None:
        """Open the port; raise OSError if it can't be opened."""
        address = self._settings.limits
        if self._transport is not None or not address.port:
            return
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )
        _log.info("limits-port-opened", port=address.port)

    def _close_port(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def close(self) -> None:
        """Close the port and end every timer."""
        self._is_closed = True
        self._close_port()
        if self._timer is not None:
            self._timer.cancel()
        if self._flush_handle is not None:
            self._flush_handle.cancel()

    def _apply_snapshot(self) -> None:
        snapshot = self._board.snapshot.value
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        generation = snapshot.generation if snapshot is not None else 0
        limits = find_limits(snapshot)
        if limits or self.node.has_limits:
            self.node.configure(limits, generation, now=self._clock())
            _log.info("limits-applied", tenants=len(limits), generation=generation)

    def _apply_members(self) -> None:
        members = self._members
        is_listed = self._board.members_listed.value
        seen = (members.version, len(members.records), is_listed)
        if seen != self._members_seen:
            self._members_seen = seen
            rates = {vm: record.link_bytes_per_s for vm, record in members.records.items()}
            self.node.update_members(members.records, is_complete=is_listed, link_rates=rates)

    # Limiter

    def update(self, tenants: tuple[Tenant, ...], *, now: float) -> None:
        """Apply the tenants of a new snapshot before the next call."""
        self._apply_snapshot()

    async def acquire(self, tenant: str) -> TokenResult:
        """Take a token of a tenant."""
        if not self.node.has_limits:
            return self._count_result(self.node.acquire(tenant, now=0.0))
        acquired = self.node.acquire(tenant, now=self._clock())
        if isinstance(acquired, TokenResult):
            if acquired.coordinator and self.node.has_dirty:
                self._flush_soon()
            return self._count_result(acquired)
        loop = asyncio.get_running_loop()
        answered: asyncio.Future[TokenResult] = loop.create_future()

        def finish(result: TokenResult) -> None:
            if answered.done():
                # The caller has left while its call waited.
                self.refund(tenant, result)
            else:
                answered.set_result(result)

        acquired.on_done = finish
        self._flush_soon()
        return self._count_result(await answered)

    def _count_result(self, result: TokenResult | Ticket) -> TokenResult:
        assert isinstance(result, TokenResult)
        if result.retry_after_s is not None:
            name = "refused" if result.is_over_limit else "unknown"
            self._counts.add("ibiswick_limit_tokens_total", "result", name)
        elif result.coordinator:
            self._counts.add("ibiswick_limit_tokens_total", "result", "granted")
        return result

    def refund(self, tenant: str, result: TokenResult) -> None:
        """Return the token of a call that has not run."""
        self.node.refund(tenant, result, now=self._clock())

    # Datagrams

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Apply the datagram of another node, and answer a request."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self._drop("too-large", addr)
            return
        try:
            message = decode_message(data)
        except MessageError:
            self._drop("malformed", addr)
            return
        record = self._members.records.get(message.sender)
        if record is None or record.host != addr[0] or message.sender == self._settings.vm:
            self._drop("foreign", addr)
            return
        answer = self._apply(message)
        if answer is not None and self._transport is not None:
            self._send_raw(encode_message(answer), (addr[0], addr[1]), "grant-sent")
        self._schedule()

    def _apply(self, message: TokenRequest | TokenGrant) -> TokenGrant | None:
        """Apply a message; return the answer to a request."""
        now = self._clock()
        if isinstance(message, TokenRequest):
            self._count("request-received")
            self.node.book.leaving = self._board.phase.value in (Phase.DRAINING, Phase.STOPPED)
            return self.node.handle_request(message, now=now)
        self._count("grant-received")
        self.node.handle_grant(message, now=now)
        if self.node.has_dirty:
            self._flush_soon()
        return None

    def error_received(self, exc: Exception) -> None:
        """Count an error of the network, such as a closed port of another node."""
        self._count("error")

    def _drop(self, kind: str, addr: tuple[Any, ...]) -> None:
        self._count(kind)
        now = self._clock()
        if now >= self._next_drop_log_at:
            self._next_drop_log_at = now + DROP_LOG_S
            _log.warn("limits-datagram-dropped", kind=kind, source=addr[0])

    def _count(self, kind: str) -> None:
        self._counts.add("ibiswick_limit_datagrams_total", "kind", kind)

    # Sending

    def _flush_soon(self) -> None:
        """Send what is due after the present events, so that calls share datagrams."""
        if self._flush_handle is None and not self._is_closed:
            self._flush_handle = asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_handle = None
        if self._is_closed:
            return
        self._apply_members()
        for vm, request in self.node.poll(self._clock()):
            self._send(vm, request)
        for vm in self.node.take_lost_coordinators():
            _log.warn("coordinator-given-up", vm=vm)
        self._schedule()

    def _send(self, vm: str, request: TokenRequest) -> None:
        if vm == self._settings.vm:
            asyncio.get_running_loop().call_soon(self._serve_own, request)
            return
        record = self._members.records.get(vm)
        if record is None or self._transport is None:
            return
        address = (record.host, record.exchange_port + 1)
        self._send_raw(encode_message(request), address, "request-sent")

    def _serve_own(self, request: TokenRequest) -> None:
        """Answer a request of this node to itself."""
        answer = self._apply(request)
        if answer is not None:
            self._apply(answer)
        self._schedule()

    def _send_raw(self, data: bytes, address: tuple[str, int], kind: str) -> None:
        try:
            self._transport.sendto(data, address)
        except (OSError, ValueError):
            self._count("error")
        else:
            self._count(kind)

    def _schedule(self) -> None:
        """Set the timer for the next time at which something is due."""
        if self._is_closed or not self.node.has_limits:
            return
        now = self._clock()
        due = self.node.find_next_due(now)
        if self._timer is not None:
            if self._timer_at <= due:
                return
            self._timer.cancel()
        self._timer_at = due
        delay_s = max(0.0, due - now) + TIMER_MARGIN_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._run_timer)

    def _run_timer(self) -> None:
        self._timer = None
        if self._clock() - self._timer_at > LATE_TIMER_S:
            asyncio.get_running_loop().call_later(LATE_GRACE_S, self._flush_soon)
        else:
            self._flush()

    # Metrics

    def export_gauges(self) -> dict[str, tuple[str, float]]:
        """Return the gauges with their descriptions; empty while no tenant has a limit."""
        if not self.node.has_limits:
            return {}
        now = self._clock()
        ledger, book = self.node.ledger, self.node.book
        return {
            "ibiswick_limit_loans_held": ("Nodes that lend to this one.", book.count_loans()),
            "ibiswick_limit_partitions_lent": (
                "Partitions of tenants that are lent to other nodes.",
                ledger.count_lent(now),
            ),
            "ibiswick_limit_answer_age_seconds": (
                "Age of the oldest answer among the coordinators of limits; -1 if one is missing.",
                ledger.find_oldest_answer_s(now),
            ),
            "ibiswick_limit_coordinators_given_up": (
                "Coordinators of limits given up since the start.",
                ledger.given_up,
            ),
        }
