"""Buffer the parts of a body until they are read."""

from __future__ import annotations

import asyncio

# A smaller part is copied to the end of the part before it: an object of its own takes many times
# its bytes, and a sender chooses the size of its parts.
SMALL_PART_BYTES = 512


def append_part(parts: list[bytes | bytearray], part: bytes) -> None:
    """Append a part to others, joined with the last one if it is small.

    >>> parts = [b"a"]
    >>> for part in (b"b", b"c"):
    ...     append_part(parts, part)
    >>> parts
    [b'a', bytearray(b'bc')]
    """
    if len(part) >= SMALL_PART_BYTES or not parts:
        parts.append(part)
    elif isinstance(parts[-1], bytearray):
        parts[-1] += part
    else:
        parts.append(bytearray(part))


def join_parts(parts: list[bytes | bytearray]) -> bytes:
    """Join parts without a copy of a single one."""
    if len(parts) == 1 and isinstance(parts[0], bytes):
        return parts[0]
    return b"".join(parts)


class BodyBuffer:
    """Buffer the received parts of a body, and wake the reader that waits for more."""

    __slots__ = ("_parts", "_size_bytes", "_waiter")

    def __init__(self) -> None:
        self._parts: list[bytes | bytearray] = []
        self._size_bytes = 0
        self._waiter: asyncio.Future[None] | None = None

    def wake(self) -> None:
        """Wake the reader if it waits."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _append(self, part: bytes) -> None:
        """Buffer one part."""
        append_part(self._parts, part)
        self._size_bytes += len(part)

    def _pop_all(self) -> bytes:
        """Return the buffered bytes and empty the buffer."""
        body = join_parts(self._parts)
        self._parts.clear()
        self._size_bytes = 0
        return body
