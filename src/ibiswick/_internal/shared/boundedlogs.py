"""Write log lines at a limited rate and without blocking on a slow reader."""

from __future__ import annotations

import math
import os
import time
from collections.abc import Callable

import logbook

from .logs import LINE_FORMAT, format_pairs

# Limit for each event, because an overload repeats the same few events.
LINES_PER_EVENT_PER_S = 20.0
BURST_PER_EVENT = 40.0
# Minimum time between summaries of dropped lines. A summary is written during the first log call
# after that time, because there is no timer.
SUMMARY_INTERVAL_S = 5.0
MAX_EVENTS = 256


class LineRateLimiter:
    """Limit the rate of lines of each event, and count the dropped lines.

    >>> limit = LineRateLimiter(rate=1.0, burst=2.0)
    >>> [limit.admit("refused", now=0.0) for _ in range(3)], limit.admit("refused", now=1.0)
    ([True, True, False], True)
    >>> limit.take_dropped()
    {'refused': 1}
    """

    def __init__(
        self, *, rate: float = LINES_PER_EVENT_PER_S, burst: float = BURST_PER_EVENT
    ) -> None:
        self._rate = rate
        self._burst = burst
        # For each event, its tokens and the time of their last update.
        self._buckets: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def admit(self, event: str, *, now: float) -> bool:
        """Return whether a line of an event may be written now."""
        if event not in self._buckets and len(self._buckets) >= MAX_EVENTS:
            event = "other"
        tokens, updated_at = self._buckets.get(event, (self._burst, now))
        tokens = min(self._burst, tokens + (now - updated_at) * self._rate)
        if tokens < 1.0:
            self._buckets[event] = (tokens, now)
            self.count_dropped(event)
            return False
        self._buckets[event] = (tokens - 1.0, now)
        return True

    def count_dropped(self, event: str) -> None:
        """Count a line that was not written."""
        self._dropped[event] = self._dropped.get(event, 0) + 1

    def take_dropped(self) -> dict[str, int]:
        """Return the lines dropped since the last call, by event."""
        dropped, self._dropped = self._dropped, {}
        return dropped


class EventSummary:
    """Count the occurrences of an event that is logged at most once per interval.

    >>> summary = EventSummary(interval_s=1.0)
    >>> [summary.note(now=now) for now in (0.0, 0.1, 0.2, 1.0)]
    [1, 0, 0, 3]
    """

    def __init__(self, *, interval_s: float = 1.0) -> None:
        self._interval_s = interval_s
        self._next_at = -math.inf
        self._count = 0

    def note(self, *, now: float) -> int:
        """Count one occurrence; return the number to log, or 0 if no line is due."""
        self._count += 1
        if now < self._next_at:
            return 0
        self._next_at = now + self._interval_s
        count, self._count = self._count, 0
        return count


class NonBlockingHandler(logbook.Handler):
    """Write lines to a file descriptor; drop a line that can't be written immediately."""

    def __init__(
        self,
        *,
        descriptor: int,
        program: str,
        level: str = "INFO",
        limit: LineRateLimiter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(level=level.upper())
        self.formatter = logbook.StringFormatter(LINE_FORMAT.format(program=program))
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._program = program
        self._limit = limit or LineRateLimiter()
        self._clock = clock
        self._summary_at = clock() + SUMMARY_INTERVAL_S
        # The remainder of a line that was written only in part.
        self._unwritten = b""

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a line unless its event exceeds the rate or the descriptor would block."""
        now = self._clock()
        event = str(record.message).partition(" ")[0].removeprefix("event=")
        if self._limit.admit(event, now=now):
            self._write(self.format(record), event)
        if now >= self._summary_at:
            self._summary_at = now + SUMMARY_INTERVAL_S
            self._write_summary()

    def _write_summary(self) -> None:
        dropped = self._limit.take_dropped()
        if dropped:
            total = sum(dropped.values())
            most = max(dropped, key=lambda event: dropped[event])
            # `most` is the event with the most dropped lines, and `of_it` their number.
            pairs = format_pairs("log-lines-dropped", total=total, most=most, of_it=dropped[most])
            self._write(f"level=WARNING program={self._program} component=logs {pairs}", "logs")

    def _write(self, line: str, event: str) -> None:
        data = self._unwritten + line.encode("utf-8", "replace") + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            self._limit.count_dropped(event)
            return
        self._unwritten = data[written:]
