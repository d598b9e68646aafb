"""Run coroutines in virtual time."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar
from unittest import mock

T = TypeVar("T")

# Far from 0, so that no loop time is mistaken for an unset one.
START_S = 100.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run an event loop whose time jumps to the next timer instead of waiting."""

    def __init__(self) -> None:
        selector = selectors.DefaultSelector()
        # Nothing arrives from outside the process, so the selector never has to wait.
        poll = selector.select
        selector.select = lambda timeout=None: poll(0)  # type: ignore[method-assign]
        super().__init__(selector)
        self.now = START_S

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        scheduled = self._scheduled  # type: ignore[attr-defined]
        if not self._ready and scheduled:  # type: ignore[attr-defined]
            self.now = max(self.now, scheduled[0].when())
        super()._run_once()  # type: ignore[misc]


def run_in_virtual_time(loop: VirtualTimeLoop, main: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine in virtual time and cancel the tasks that it leaves behind."""
    try:
        with mock.patch.object(time, "monotonic", loop.time):
            asyncio.set_event_loop(loop)
            try:
                return loop.run_until_complete(main())
            finally:
                leftover = asyncio.all_tasks(loop)
                for task in leftover:
                    task.cancel()
                loop.run_until_complete(asyncio.gather(*leftover, return_exceptions=True))
    finally:
        asyncio.set_event_loop(None)
        loop.close()
