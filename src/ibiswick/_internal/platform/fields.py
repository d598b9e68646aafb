"""Read typed fields of untrusted documents and collect what is wrong with them."""

from __future__ import annotations

from typing import Any

from ..shared.errors import InvalidInputError, Problem
from ..shared.settings import Address

_MISSING = object()


def parse_seconds(text: str) -> float | None:
    """Return the seconds of a time with its unit, or None when it is malformed.

    >>> parse_seconds("1500ms"), parse_seconds("2.5s"), parse_seconds("3"), parse_seconds("-1s")
    (1.5, 2.5, None, None)
    """
    number, scale = text, 0.0
    if text.endswith("ms"):
        number, scale = text[:-2], 0.001
    elif text.endswith("s"):
        number, scale = text[:-1], 1.0
    if not scale or not number.replace(".", "", 1).isdigit() or not number.isascii():
        return None
    return float(number) * scale


class FieldReader:
    """Read the fields of one document; `finish` raises InvalidInputError with every fault.

    A field that is missing or of another type is noted and reads as an empty value.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._problems: list[Problem] = []

    def note(self, path: str, expected: str, found: Any) -> None:
        """Note a fault."""
        text = "nothing" if found is _MISSING else repr(found)[:80]
        self._problems.append(Problem(self._source, path, expected, text))

    def finish(self) -> None:
        """Raise InvalidInputError if anything was noted."""
        if self._problems:
            raise InvalidInputError(self._problems)

    def _read(self, table: Any, path: str, kind: type, expected: str, default: Any) -> Any:
        name = path.rpartition(".")[2]
        value = table.get(name, _MISSING) if isinstance(table, dict) else _MISSING
        if value is _MISSING and default is not _MISSING:
            return default
        if isinstance(value, kind) and (kind is bool or not isinstance(value, bool)):
            return value
        self.note(path, expected, value)
        return kind()

    def read_text(self, table: Any, path: str, default: Any = _MISSING) -> str:
        """Read a string that is not empty."""
        value = self._read(table, path, str, "a string", default)
        if value == "" and isinstance(table, dict) and table.get(path.rpartition(".")[2]) == "":
            self.note(path, "a string that is not empty", value)
        return value

    def read_integer(
        self, table: Any, path: str, default: Any = _MISSING, *, least: int = 0
    ) -> int:
        """Read a whole number that is not below a bound."""
        value = self._read(table, path, int, "a whole number", default)
        if isinstance(value, int) and value < least and self._has(table, path):
            self.note(path, f"a whole number of at least {least}", value)
        return value

    def read_number(self, table: Any, path: str, default: Any = _MISSING) -> float:
        """Read a number that is not negative."""
        name = path.rpartition(".")[2]
        value = table.get(name, default) if isinstance(table, dict) else default
        if isinstance(value, int | float) and not isinstance(value, bool) and value >= 0:
            return float(value)
        self.note(path, "a number", value)
        return 0.0

    def read_flag(self, table: Any, path: str, default: Any = _MISSING) -> bool:
        """Read true or false."""
        return self._read(table, path, bool, "true or false", default)

    def read_seconds(self, table: Any, path: str, default: Any = _MISSING) -> float:
        """Read a time with its unit, in seconds."""
        text = self._read(table, path, str, "a time with its unit", default)
        if not isinstance(text, str):
            return text
        seconds = parse_seconds(text)
        if seconds is None:
            if self._has(table, path):
                self.note(path, "a number and ms or s", text)
            return 0.0
        return seconds

    def read_table(self, table: Any, path: str) -> dict[str, Any]:
        """Read a table."""
        return self._read(table, path, dict, "a table", _MISSING)

    def read_list(self, table: Any, path: str) -> list[Any]:
        """Read a list."""
        return self._read(table, path, list, "a list", _MISSING)

    def read_address(self, table: Any, path: str) -> Address:
        """Read an IP number and a port."""
        text = self._read(table, path, str, "an address", _MISSING)
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            if self._has(table, path):
                self.note(path, "an IP number, a colon and a port", text)
            return Address("", 0)
        return Address(host, int(port))

    @staticmethod
    def _has(table: Any, path: str) -> bool:
        return isinstance(table, dict) and path.rpartition(".")[2] in table
