"""Check who gets the slots of a backend server when there are not enough."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ibiswick._internal.calls.admission import Admitted, Claim, Queued, Refused, SlotQueue


def build_queue(*, slots: int = 2, busy: int = 2, duration_s: float = 0.1) -> SlotQueue:
    """Build a queue whose slots are taken and whose calls last equally long."""
    queue = SlotQueue(slots=slots, queue_s=None, length_per_slot=2)
    for _ in range(200):
        queue.offer(now=0.0)
        queue.release(now=0.0, duration_s=duration_s, kind="read")
    for _ in range(busy):
        queue.offer(now=0.0)
    return queue


def test_urgent_calls_go_first_in_a_burst() -> None:
    """Guard against bookings that wait behind the reads of a burst."""
    queue = build_queue()
    read = queue.offer(now=0.0, claim=Claim(priority=2))
    booking = queue.offer(now=0.0, claim=Claim(priority=1))
    assert isinstance(read, Queued)
    assert isinstance(booking, Queued)
    assert queue.release(now=0.0) == [booking.ticket]
    assert queue.release(now=0.0) == [read.ticket]


def test_a_call_that_would_be_late_is_refused_at_once() -> None:
    """Guard against a queue that holds calls until their response is worth nothing."""
    queue = build_queue()
    for _ in range(2):
        assert isinstance(queue.offer(now=0.0, claim=Claim(target=0.3, kind="read")), Queued)
    refused = queue.offer(now=0.0, claim=Claim(target=0.2, kind="read"))
    assert isinstance(refused, Refused)
    assert refused.reason == "late"


def test_a_free_slot_is_used_though_the_response_will_be_late() -> None:
    """Guard against refusing work that costs nobody else anything."""
    queue = build_queue(busy=0)
    assert isinstance(queue.offer(now=0.0, claim=Claim(target=0.001, kind="read")), Admitted)


def test_a_caller_without_patience_learns_of_the_wait() -> None:
    """Guard against waiting at one backend server while another has a free slot."""
    queue = build_queue()
    refused = queue.offer(now=0.0, claim=Claim(patience_s=0.01))
    assert isinstance(refused, Refused)
    assert refused.reason == "busy"
    assert abs(refused.retry_after_s - 0.05) < 0.005


def test_an_urgent_call_takes_the_place_of_the_least_urgent() -> None:
    """Guard against a full queue of reads that keeps bookings out."""
    queue = build_queue()
    reads = [queue.offer(now=0.0, claim=Claim(priority=2)) for _ in range(4)]
    booking = queue.offer(now=0.0, claim=Claim(priority=1))
    assert isinstance(booking, Queued)
    assert isinstance(reads[-1], Queued)
    assert booking.displaced == reads[-1].ticket
    assert isinstance(queue.offer(now=0.0, claim=Claim(priority=2)), Refused)


@given(
    st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60),
    st.integers(1, 4),
)
def test_slots_are_never_exceeded_and_order_is_kept(
    steps: list[tuple[int, bool]], slots: int
) -> None:
    """Guard against overload of a backend server and calls that overtake more urgent ones."""
    queue = SlotQueue(slots=slots, queue_s=None)
    waiting: dict[int, int] = {}
    running = 0
    for priority, is_end in steps:
        if is_end and running:
            running -= 1
            for ticket in queue.release(now=0.0):
                assert waiting[ticket] == min(waiting.values())
                del waiting[ticket]
                running += 1
        elif not is_end:
            decision = queue.offer(now=0.0, claim=Claim(priority=priority))
            if isinstance(decision, Admitted):
                running += 1
            elif isinstance(decision, Queued):
                waiting.pop(decision.displaced or 0, None)
                waiting[decision.ticket] = priority
        assert queue.busy == running <= slots
        assert queue.queued == len(waiting)
