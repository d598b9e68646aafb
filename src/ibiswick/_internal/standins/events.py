"""Read the log files that the processes of a rig wrote."""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import NamedTuple

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")


class Event(NamedTuple):
    """Hold one log line; `at` is its Unix time."""

    at: float
    name: str
    fields: dict[str, str]


def parse_line(line: str) -> Event | None:
    r"""Parse one line of key=value pairs, or return None for other text.

    >>> parse_line('time=1970-01-01T00:00:02.500000Z level=INFO event=a detail="b \\"c\\""')
    Event(at=2.5, name='a', fields={'level': 'INFO', 'detail': 'b "c"'})
    >>> parse_line("Traceback (most recent call last):")
    """
    fields = {key: _unquote(value) for key, value in _PAIR.findall(line)}
    if "time" not in fields or "event" not in fields:
        return None
    at = datetime.strptime(fields.pop("time"), "%Y-%m-%dT%H:%M:%S.%fZ").replace(tzinfo=UTC)
    return Event(at.timestamp(), fields.pop("event"), fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(lambda match: "\n" if match[1] == "n" else match[1], value[1:-1])


def read_events(path: Path) -> Iterator[Event]:
    """Yield the events of a log file in the order in which they were written."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            event = parse_line(line)
            if event is not None:
                yield event
