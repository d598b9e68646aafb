"""Check what the connects of a node tell about its own link."""

from __future__ import annotations

import logbook
import pytest

from call_network import VirtualLoop, run_virtual
from ibiswick._internal.calls.callcounts import CallCounts
from ibiswick._internal.calls.connects import ConnectWatch
from ibiswick._internal.calls.pool import Limits, Pool, Remote, Request
from ibiswick._internal.shared.errors import NotSentError

REQUEST = Request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")


def test_unanswered_connects_are_told_once_and_counted() -> None:
    """Guard against a full link that no log line tells from the end of other VMs."""

    async def main(loop: VirtualLoop) -> int:
        counts = CallCounts()
        pool = Pool(idle_limit_s=10.0, counts=counts)
        for port in range(5):
            loop.darken(port)
            remote = Remote(f"10.0.0.{port}", port)
            with pytest.raises(NotSentError):
                await pool.exchange(remote, REQUEST, Limits(loop.time() + 0.1))
        counts.export()
        return pool.connects.summarize(now=loop.time()).vms

    with logbook.TestHandler() as handler:
        assert run_virtual(main) == 5
    lines = [record.message for record in handler.records]
    assert len(lines) == 1
    assert "event=connects-unanswered" in lines[0]
    assert "common_cause=True" in lines[0]


def test_one_fast_handshake_clears_the_own_link() -> None:
    """Guard against a zone without power that is taken for a fault of the own link."""
    watch = ConnectWatch()
    for number in range(9):
        watch.note_unanswered(f"10.0.0.{number}", now=1.0)
    assert watch.has_common_cause(now=1.0)
    watch.note_opened("10.0.1.1", 0.003, now=1.1)
    assert not watch.has_common_cause(now=1.1)


def test_slow_handshakes_do_not_clear_the_own_link() -> None:
    """Guard against a link that is taken for sound because one handshake got through late."""
    watch = ConnectWatch()
    for number in range(3):
        watch.note_unanswered(f"10.0.0.{number}", now=1.0)
    watch.note_opened("10.0.1.1", 0.28, now=1.1)
    assert watch.has_common_cause(now=1.1)


def test_failures_long_ago_or_of_few_vms_have_no_common_cause() -> None:
    """Guard against one VM without power, called again and again, that stands for many."""
    watch = ConnectWatch()
    for at in range(20):
        watch.note_unanswered("10.0.0.1", now=at / 20)
    assert not watch.has_common_cause(now=1.0)
    watch.note_unanswered("10.0.0.2", now=1.0)
    watch.note_unanswered("10.0.0.3", now=1.0)
    assert watch.has_common_cause(now=1.0)
    assert not watch.has_common_cause(now=2.1)
