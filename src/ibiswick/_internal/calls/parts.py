"""Keep the parts of a body until they are read."""

from __future__ import annotations

import asyncio


class Parts:
    """Hold the parts of a body that have arrived, and wake who waits for more."""

    __slots__ = ("_parts", "_size", "_waiter")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0
        self._waiter: asyncio.Future[None] | None = None

    def wake(self) -> None:
        """Wake the reader."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _join(self) -> bytes:
        """Return what has arrived, and forget it."""
        parts = self._parts
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        self._size = 0
        return body
