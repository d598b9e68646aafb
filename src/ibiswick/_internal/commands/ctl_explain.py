"""Collect the log lines about one call from the logs of several nodes."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

_PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\\\]|\\\\.)*"|\S*)')
# Order of the events of one call that have the same timestamp.
_EVENT_ORDER = ("call-turned-away", "call-not-admitted", "call-not-answered", "call-failed")


class LogLine(NamedTuple):
    """Hold one log line; `origin` is the text before `time=`, or else the file name."""

    time: str
    event: str
    origin: str
    text: str


def parse_line(text: str, *, source: str = "") -> LogLine | None:
    """Parse a line of key=value pairs; return None if it has no event.

    >>> parse_line("vm-1 time=2026-01-01T00:00:00Z event=call-failed id=a").event
    'call-failed'
    """
    pairs = dict(_PAIR_PATTERN.findall(text))
    if "event" not in pairs:
        return None
    origin = text.partition("time=")[0].strip() or source
    return LogLine(pairs.get("time", ""), pairs["event"], origin, text.strip())


def find_lines(lines: Iterable[str], call_id: str, *, source: str = "") -> Iterator[LogLine]:
    """Yield the lines about a call, or about a call that it made.

    A call that call "a" made has an id such as "a.1": the id of its caller, a separator and more.
    """
    wanted = re.compile(rf"\bid={re.escape(call_id)}(?![0-9A-Za-z])")
    for text in lines:
        if wanted.search(text):
            line = parse_line(text, source=source)
            if line is not None:
                yield line


def _get_sort_key(line: LogLine) -> tuple[str, int]:
    known = line.event in _EVENT_ORDER
    return (line.time, _EVENT_ORDER.index(line.event) if known else len(_EVENT_ORDER))


def explain(call_id: str, *files: Path) -> int:
    """Print the lines about one call from log files, or standard input, in order of time.

    Exit with 1 if no line names the call.
    """
    found: list[LogLine] = []
    if not files:
        found += find_lines(sys.stdin, call_id)
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as log:
            found += find_lines(log, call_id, source=path.name)
    for line in sorted(found, key=_get_sort_key):
        prefix = f"{line.origin} " if line.origin and not line.text.startswith(line.origin) else ""
        print(prefix + line.text)
    if not found:
        print(f"no line names the call {call_id}", file=sys.stderr)
    return 0 if found else 1
