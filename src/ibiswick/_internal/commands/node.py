"""Run one node.

It proxies calls, assigns the slots of its backend server, and takes part in the tree of control
connections that distributes configuration and members.

Arguments are parsed with argparse, because importing cyclopts takes several megabytes of memory.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import signal
import sys
from pathlib import Path

import uvloop

from ..calls.dataplane import DataPlane
from ..control.plane import ControlPlane
from ..shared.blackboard import Blackboard
from ..shared.budgets import RateLimitedPlatform, TokenBucket
from ..shared.errors import IbiswickError, Problem, SettingsError
from ..shared.logs import EventLog, install_handler
from ..shared.objectapi import HttpPlatform
from ..shared.records import Phase
from ..shared.settings import NodeSettings, load_settings

EXIT_INVALID_SETTINGS = 2
EXIT_FAILED = 1

_log = EventLog(component="node")


def main() -> None:
    """Run the node; exit with 2 on invalid settings."""
    arguments = _parse_arguments()
    try:
        settings = load_settings(NodeSettings, arguments.settings)
        _check_transport_security(settings)
    except IbiswickError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if arguments.check:
        print("settings are valid")
        return
    install_handler(level=settings.log_level, program="ibiswick-node")
    try:
        uvloop.run(run_node(settings))
    except (OSError, IbiswickError) as error:
        _log.error("node-failed", detail=str(error))
        sys.exit(EXIT_FAILED)


async def run_node(settings: NodeSettings) -> None:
    """Run a node until it is drained."""
    if settings.tls is None:
        _log.warn("plaintext", detail="TLS is off, peers are not authenticated")
    board = Blackboard()
    data = DataPlane(settings=settings, board=board)
    await data.start()
    control = ControlPlane(
        settings=settings,
        board=board,
        platform=_build_platform(settings, data),
        peer_port=data.peer_port,
    )
    await control.start()
    _log.info(
        "node-started",
        vm=settings.vm,
        workspace=settings.workspace,
        incarnation=control.incarnation,
        caller_port=data.caller_port,
        peer_port=data.peer_port,
        control_port=control.port,
        operations_port=data.operations_port,
    )
    _drain_on_signals(board)
    stop_admin = asyncio.Event()
    admin = _start_admin(settings, stop_admin)
    # Objects loaded so far live as long as the process; rescanning them would waste CPU.
    gc.collect()
    gc.freeze()
    await _wait_until_stopped(board)
    stop_admin.set()
    if admin is not None:
        await admin
    await control.stop()
    await data.stop()
    _log.info("node-stopped", vm=settings.vm)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="ibiswick-node", description="Run one ibiswick node.")
    parser.add_argument("settings", type=Path, help="settings file (JSON)")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser.parse_args()


def _check_transport_security(settings: NodeSettings) -> None:
    if settings.tls is None and not settings.allow_plaintext:
        raise SettingsError(
            [Problem("settings", "$.tls", "TLS files, or allow_plaintext set to true", "neither")]
        )


def _build_platform(settings: NodeSettings, data: DataPlane) -> RateLimitedPlatform:
    rate = settings.platform.calls_per_s
    http_platform = HttpPlatform(
        fetch=data.fetch,
        base_url=settings.platform.url,
        caller=settings.vm,
        timeout_s=settings.platform.timeout_s,
    )
    return RateLimitedPlatform(platform=http_platform, calls=TokenBucket(rate, rate))


def _drain_on_signals(board: Blackboard) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, board.drain_requested.set, True)


def _start_admin(settings: NodeSettings, stop: asyncio.Event) -> asyncio.Task[None] | None:
    if settings.admin is None:
        return None
    # Imports litestar, whose memory a node without the API must not use.
    from ..administration.api import serve_admin

    return asyncio.ensure_future(serve_admin(settings.admin, stop=stop))


async def _wait_until_stopped(board: Blackboard) -> None:
    phase = board.phase
    while phase.value is not Phase.STOPPED:
        await phase.wait_change(phase.version)
