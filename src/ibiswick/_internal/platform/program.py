"""Run a node as a program on the users' platform."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from pathlib import Path

import uvloop

from ..calls.pool import ConnectionPool, PoolFetch
from ..calls.pressure import Buffers, compute_buffer_limit
from ..direct.node import UNACKNOWLEDGED_TIMEOUT_S, DirectNode
from ..direct.settings import DirectSettings
from ..shared.boundedlogs import NonBlockingHandler
from ..shared.errors import IbiswickError
from ..shared.logs import EventLog
from .configuration import CONFIGURATION_KEY, decode_configuration
from .headers import HEADER_NAMES
from .registry import decode_announcement
from .rollouts import RolloutObjects
from .settings import find_path, load_direct_settings
from .store import Store

EXIT_INVALID_SETTINGS = 2
EXIT_FAILED = 1
# Connections with a pending watch count as in use, not as idle.
STORE_IDLE_LIMIT_S = 20.0
# A watch waits for up to 20 s on a connection whose path may have failed, while nodes must apply a
# version within 2 s. Few connections are probed, so a short interval costs little.
STORE_PROBE_S = 1

_log = EventLog(component="program")


def run_program(path: Path | None = None) -> None:
    """Run a node; exit with 2 on invalid settings."""
    try:
        path = path if path is not None else find_path()
        settings = load_direct_settings(path)
    except IbiswickError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    handler = NonBlockingHandler(descriptor=sys.stdout.fileno(), program="ibiswick-node")
    handler.push_application()
    try:
        uvloop.run(_run(settings, path))
    except (OSError, IbiswickError) as error:
        _log.error("node-failed", detail=error)
        sys.exit(EXIT_FAILED)


async def _run(settings: DirectSettings, path: Path) -> None:
    store_pool = ConnectionPool(
        idle_limit_s=STORE_IDLE_LIMIT_S,
        unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
        probe_interval_s=STORE_PROBE_S,
    )
    store = settings.store
    buffers = Buffers(limit=compute_buffer_limit(settings.memory_mb))
    fetch = PoolFetch(
        pool=store_pool, base_url=f"http://{store.host}:{store.port}", buffers=buffers
    )
    node = DirectNode(
        settings=settings,
        platform=Store(fetch=fetch),
        names=HEADER_NAMES,
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        decode_announcement=decode_announcement,
        buffers=buffers,
        rollout_decoder=RolloutObjects(),
    )
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.board.drain_requested.set, True)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, path)
    # Everything loaded so far lives as long as the process, so the garbage collector need not scan
    # it again, which would cost CPU.
    gc.collect()
    gc.freeze()
    await node.run()
    store_pool.close()


def _reload(node: DirectNode, path: Path) -> None:
    """Reload the settings; invalid ones are logged and change nothing."""
    try:
        settings = load_direct_settings(path)
    except IbiswickError as error:
        _log.error("settings-refused", code=error.code, detail=error)
        return
    changed = [
        name for name in settings._fields if getattr(settings, name) != getattr(node.settings, name)
    ]
    node.settings = settings
    _log.info("settings-reloaded", changed=",".join(changed) or "-")
