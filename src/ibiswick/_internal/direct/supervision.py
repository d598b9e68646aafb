"""Keep the controllers of a node running."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..shared.logs import EventLog

# Keeps a controller that fails at once from using up the processor time of the process.
RESTART_DELAY_S = 0.5

_log = EventLog(component="supervision")


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a controller until it returns; log an unexpected error and run it again."""
    while True:
        try:
            await run()
            return
        except Exception as error:
            _log.error("controller-failed", controller=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
