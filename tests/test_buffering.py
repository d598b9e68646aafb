"""Check which bytes a process may hold, and which connections make room."""

from __future__ import annotations

import asyncio

import pytest

from builders import add_holder
from ibiswick._internal.calls.buffering import BufferLedger, Reservation
from ibiswick._internal.calls.callcounts import CallCounts
from ibiswick._internal.calls.pressure import METRIC, BufferHold, Buffers, NoRoomError
from ibiswick._internal.direct.settings import DirectSettings
from ibiswick._internal.platform.settings import parse_direct_settings
from platform_documents import SETTINGS

MB = 1024 * 1024


def test_reservations_are_granted_in_their_order() -> None:
    """Guard against large bodies that small ones overtake for ever."""
    ledger = BufferLedger(limit=10)
    assert ledger.reserve(8)
    large = ledger.wait(9)
    assert not ledger.reserve(1)
    small = ledger.wait(1)
    assert ledger.grant() == []
    ledger.release(8)
    assert ledger.grant() == [Reservation(large, 9), Reservation(small, 1)]
    assert ledger.used == 10


def test_a_body_above_the_limit_is_granted_alone() -> None:
    """Guard against a body that can never be served because memory is small."""
    ledger = BufferLedger(limit=10)
    assert ledger.reserve(12)
    assert not ledger.reserve(1)


def test_connections_that_hold_most_and_move_least_make_room() -> None:
    """Guard against closing connections that would soon be done."""
    ledger = BufferLedger(limit=10 * MB)
    _, still = add_holder(ledger, 4 * MB)
    slow_holder, _ = add_holder(ledger, 4 * MB)
    fast_holder, _ = add_holder(ledger, 4 * MB)
    for step in range(1, 9):
        slow_holder.sent_bytes += 10_000
        fast_holder.sent_bytes += 500_000
        ledger.measure(now=step * 0.25)
    assert ledger.list_closable(now=2.0) == [still]
    assert ledger.list_stalled(now=2.0) == []


def test_nothing_is_closed_while_there_is_room() -> None:
    """Guard against closing a slow reader that harms nobody."""
    ledger = BufferLedger(limit=10 * MB)
    holder, _ = add_holder(ledger, 4 * MB)
    for step in range(1, 400):
        holder.sent_bytes += 100
        ledger.measure(now=step * 0.25)
        assert ledger.list_stalled(now=step * 0.25) == []
        assert ledger.list_closable(now=step * 0.25) == []


@pytest.mark.parametrize(("stall_s", "closed"), [(15.0, True), (None, False)])
def test_only_a_reader_that_takes_nothing_is_stalled(stall_s: float | None, closed: bool) -> None:
    """Guard against closing a connection whose request is still being served."""
    ledger = BufferLedger(limit=10 * MB)
    _, account = add_holder(ledger, MB, stall_s=stall_s)
    for step in range(1, 64):
        ledger.measure(now=step * 0.25)
    assert ledger.list_stalled(now=14.9 if closed else 16.0) == []
    assert (ledger.list_stalled(now=16.0) == [account]) is closed


async def test_a_dropped_hold_makes_room() -> None:
    """Guard against a budget that shrinks with each attempt that is cancelled."""
    buffers = Buffers(limit=10)
    hold = BufferHold(buffers=buffers)
    await hold.grow(8)
    waiting = asyncio.create_task(BufferHold(buffers=buffers).grow(8))
    await asyncio.sleep(0)
    assert buffers.is_short
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert not buffers.is_short
    del hold
    assert buffers.ledger.used == 0


async def test_room_granted_to_a_cancelled_call_goes_to_others() -> None:
    """Guard against room that is lost when a call is cancelled as it is granted."""
    buffers = Buffers(limit=10)
    hold = BufferHold(buffers=buffers)
    await hold.grow(8)
    waiting = asyncio.create_task(BufferHold(buffers=buffers).grow(8))
    await asyncio.sleep(0)
    waiting.cancel()
    hold.release()
    await asyncio.gather(waiting, return_exceptions=True)
    assert buffers.ledger.used == 0


async def test_waiting_for_room_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a call that waits for ever for buffers that stay full."""
    monkeypatch.setattr("ibiswick._internal.calls.pressure.ROOM_WAIT_S", 0.01)
    counts = CallCounts()
    buffers = Buffers(limit=10, counts=counts)
    hold = BufferHold(buffers=buffers)
    await hold.grow(8)
    with pytest.raises(NoRoomError):
        await BufferHold(buffers=buffers).grow(8)
    assert counts.get(METRIC, "reason", "no-room") == 1
    hold.release()
    await BufferHold(buffers=buffers).grow(8)


def test_settings_name_the_memory_and_the_descriptors() -> None:
    """Guard against limits of the settings file that are not read."""

    def read(limits: str) -> DirectSettings:
        text = SETTINGS.replace("bandwidth_mbps = 2.5\n", limits)
        return parse_direct_settings(text, source="test")

    settings = read("memory_mb = 300\nmax_fds = 512\n")
    assert (settings.memory_mb, settings.max_fds) == (300, 512)
    settings = read("")
    assert (settings.memory_mb, settings.max_fds) == (0, 0)
