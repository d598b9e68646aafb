"""Write one line of key=value pairs per event."""

from __future__ import annotations

import sys
from typing import Any

import logbook

_PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@,+*"
)

# Format string for logbook records, after `format` has filled in the program.
LINE_FORMAT = (
    "time={{record.time:%Y-%m-%dT%H:%M:%S.%f}}Z level={{record.level_name}} "
    "program={program} component={{record.channel}} {{record.message}}"
)


def format_pairs(event: str, **fields: Any) -> str:
    """Format an event as key=value pairs; quote values with characters that are not plain.

    >>> format_pairs("snapshot-applied", generation=7, detail="took a while")
    'event=snapshot-applied generation=7 detail="took a while"'
    """
    parts = [f"event={event}"]
    for key, value in fields.items():
        text = str(value)
        if not text or not _PLAIN_CHARACTERS.issuperset(text):
            escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            text = f'"{escaped}"'
        parts.append(f"{key}={text}")
    return " ".join(parts)


class EventLog:
    """Log events of one component."""

    def __init__(self, *, component: str) -> None:
        self._logger = logbook.Logger(component)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event that only developers need."""
        if self._logger.level <= logbook.DEBUG:
            self._logger.debug(format_pairs(event, **fields))

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._logger.info(format_pairs(event, **fields))

    def warn(self, event: str, **fields: Any) -> None:
        """Log an event that an operator may have to look at."""
        self._logger.warning(format_pairs(event, **fields))

    def error(self, event: str, **fields: Any) -> None:
        """Log an error."""
        self._logger.error(format_pairs(event, **fields))


def install_handler(*, level: str = "INFO", program: str = "ibiswick") -> logbook.Handler:
    """Send log lines of this process to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.format_string = LINE_FORMAT.format(program=program)
    handler.push_application()
    return handler
