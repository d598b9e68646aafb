"""Wait until a generation is in effect."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any, NamedTuple

from ..administration.api_client import ApiClient, ApiUnavailableError

FIRST_POLL_DELAY_S = 0.1
MAX_POLL_DELAY_S = 1.0
POLL_DELAY_FACTOR = 1.3


class WaitResult(NamedTuple):
    """Hold the result of waiting; `status` is the last one, None if the API returned none."""

    complete: bool
    elapsed_s: float
    status: dict[str, Any] | None


async def wait_in_effect(
    client: ApiClient, generation: int, *, timeout_s: float, show_progress: bool
) -> WaitResult:
    """Poll the status until the generation is in effect or the timeout expires.

    `show_progress` prints progress on standard error if that is a terminal.
    """
    started = time.monotonic()
    progress = _ProgressLine(enabled=show_progress and sys.stderr.isatty())
    status: dict[str, Any] | None = None
    delay_s = FIRST_POLL_DELAY_S
    try:
        while True:
            status = await _read_status(client, generation, timeout_s) or status
            elapsed_s = time.monotonic() - started
            complete = bool(status and status["complete"])
            progress.show(generation, status)
            if complete or elapsed_s >= timeout_s:
                return WaitResult(complete, round(elapsed_s, 3), status)
            await asyncio.sleep(min(delay_s, max(0.0, timeout_s - elapsed_s)))
            delay_s = min(MAX_POLL_DELAY_S, delay_s * POLL_DELAY_FACTOR)
    finally:
        progress.clear()


async def _read_status(
    client: ApiClient, generation: int, timeout_s: float
) -> dict[str, Any] | None:
    """Return the status, or None if the API or the platform does not respond."""
    try:
        async with asyncio.timeout(max(timeout_s, 1.0)):
            return await client.get("/v1/status", generation=generation)
    except (ApiUnavailableError, TimeoutError):
        return None


def describe_wait(result: WaitResult, generation: int) -> list[str]:
    """Return lines that describe where the generation is in effect, and where not and why."""
    status = result.status
    if status is None:
        return [f"generation {generation}: no status from the API"]
    if result.complete and not status["workspaces"]:
        return [f"generation {generation} changes no snapshot"]
    if result.complete:
        summary = (
            f"generation {generation} is in effect on {status['in_effect']} nodes"
            f" after {result.elapsed_s:.2f} s"
        )
        return [summary, *describe_incomplete(status)]
    lines = [
        f"generation {generation} is not in effect everywhere after {result.elapsed_s:.1f} s:"
        f" {status['in_effect']} of {status['nodes']} nodes"
    ]
    return lines + describe_incomplete(status)


def describe_incomplete(status: dict[str, Any]) -> list[str]:
    """Return one line for each root and node on which a generation is not in effect."""
    lines = [
        f"  zone root {root['vm']} ({root['availability_zone']}) has reported generation"
        f" {'none' if root['head_generation'] is None else root['head_generation']}"
        for root in status["roots_behind"]
    ]
    lines += [
        f"  zone root {root['vm']} ({root['availability_zone']}) does not renew its lease;"
        " its nodes are not counted"
        for root in status["roots_expired"]
    ]
    if not status["roots"]:
        lines.append("  no node holds a zone-root lease, so no nodes are known")
    for name, workspace in sorted(status["workspaces"].items()):
        exceptions = workspace["exceptions"]
        lines += [
            f"  {name}: {item['vm']} has generation {item['generation']}:"
            f" {item['code']} {item['detail']}".rstrip()
            for item in exceptions
        ]
        unlisted = workspace["behind"] - len(exceptions)
        if unlisted > 0:
            lines.append(f"  {name}: {unlisted} more nodes")
    return lines


class _ProgressLine:
    """Show progress on one line of a terminal."""

    def __init__(self, *, enabled: bool) -> None:
        self._enabled = enabled

    def show(self, generation: int, status: dict[str, Any] | None) -> None:
        """Show how many nodes have the generation."""
        if not self._enabled:
            return
        counts = "waiting for the API"
        if status is not None:
            counts = f"{status['in_effect']}/{status['nodes']} nodes"
            counts += f", {status['roots'] - len(status['roots_behind'])}/{status['roots']} roots"
        print(f"\r\x1b[Kgeneration {generation}: {counts}", end="", file=sys.stderr, flush=True)

    def clear(self) -> None:
        """Clear the line."""
        if self._enabled:
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)
