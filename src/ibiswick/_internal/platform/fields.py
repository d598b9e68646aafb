"""Read typed fields of untrusted documents and collect their problems."""

from __future__ import annotations

from typing import Any

from ..shared.errors import InvalidInputError, Problem
from ..shared.settings import Address

_MISSING = object()
_NO_ADDRESS = Address("", 0)
MAX_PORT = 65535


def parse_seconds(text: str) -> float | None:
    """Parse a duration with its unit; return seconds, or None when it is malformed.

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
    """Read the fields of one document and collect problems.

    A field that is missing or has the wrong type is added to the problems and reads as an empty
    value. `raise_problems` raises InvalidInputError with all of them. Problems end up in logs, so
    they quote no lists and tables, which may hold a secret in the wrong place, and nothing of the
    fields whose paths begin with one of `secret_paths`.
    """

    def __init__(self, source: str, *, secret_paths: tuple[str, ...] = ()) -> None:
        self._source = source
        self._secret_paths = secret_paths
        self._problems: list[Problem] = []

    def add_problem(self, path: str, expected: str, found: Any) -> None:
        """Add a problem of the document."""
        is_secret = path.startswith(self._secret_paths) if self._secret_paths else False
        if found is _MISSING:
            text = "nothing"
        elif is_secret or isinstance(found, (list, dict)):
            text = f"a value of type {type(found).__name__}"
        else:
            text = repr(found)[:80]
        self._problems.append(Problem(self._source, path, expected, text))

    def raise_problems(self) -> None:
        """Raise InvalidInputError if there are problems."""
        if self._problems:
            raise InvalidInputError(self._problems)

    def _read_field(
        self, table: Any, path: str, expected_type: Any, expected: str, default: Any
    ) -> Any:
        """Return a field, or None if it is missing or has the wrong type, which is a problem."""
        name = path.rpartition(".")[2]
        value = table.get(name, default) if isinstance(table, dict) else _MISSING
        # In Python, booleans are integers; on the platform they are not.
        is_flag = isinstance(value, bool)
        if isinstance(value, expected_type) and is_flag is (expected_type is bool):
            return value
        self.add_problem(path, expected, value)
        return None

    def read_text(self, table: Any, path: str) -> str:
        """Read a non-empty string."""
        value = self._read_field(table, path, str, "a string", _MISSING)
        if value == "":
            self.add_problem(path, "a non-empty string", value)
        return value or ""

    def read_optional_text(self, table: Any, path: str) -> str:
        """Read a string that may be missing or empty."""
        return self._read_field(table, path, str, "a string", "") or ""

    def read_integer(
        self, table: Any, path: str, default: Any = _MISSING, *, minimum: int = 0
    ) -> int:
        """Read a whole number that is at least `minimum`."""
        value = self._read_field(table, path, int, "a whole number", default)
        if value is None:
            return minimum
        if value < minimum:
            self.add_problem(path, f"a whole number of at least {minimum}", value)
        return value

    def read_number(self, table: Any, path: str, default: Any = _MISSING) -> float:
        """Read a number that is not negative."""
        value = self._read_field(table, path, (int, float), "a number", default)
        if value is None:
            return 0.0
        if value < 0:
            self.add_problem(path, "a number that is not negative", value)
        return float(value)

    def read_seconds(self, table: Any, path: str, default: Any = _MISSING) -> float:
        """Read a duration with its unit; return seconds."""
        text = self._read_field(table, path, str, "a duration with its unit", default)
        seconds = None if text is None else parse_seconds(text)
        if text is not None and seconds is None:
            self.add_problem(path, "a number followed by ms or s", text)
        return seconds or 0.0

    def read_table(self, table: Any, path: str) -> dict[str, Any]:
        """Read a table or JSON object; return an empty one if it is missing or no table."""
        return self._read_field(table, path, dict, "a table", _MISSING) or {}

    def read_flag(self, table: Any, path: str, default: Any = _MISSING) -> bool:
        """Read true or false."""
        return bool(self._read_field(table, path, bool, "true or false", default))

    def read_list(self, table: Any, path: str, default: Any = _MISSING) -> list[Any]:
        """Read a list; return an empty one if it is missing or no list."""
        return self._read_field(table, path, list, "a list", default) or []

    def read_texts(self, table: Any, path: str) -> list[str]:
        """Read a list of strings."""
        texts = self.read_list(table, path)
        if not all(isinstance(text, str) for text in texts):
            self.add_problem(path, "a list of strings", texts)
            return []
        return texts

    def read_address(self, table: Any, path: str) -> Address:
        """Read an IP address and a port."""
        text = self._read_field(table, path, str, "an address", _MISSING)
        if text is None:
            return _NO_ADDRESS
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or int(port) > MAX_PORT:
            self.add_problem(path, "an IP address, a colon and a port", text)
            return _NO_ADDRESS
        return Address(host, int(port))
