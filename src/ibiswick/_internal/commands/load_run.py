"""Implement `ibiswick-load run`."""

from __future__ import annotations

import sys

import msgspec
import uvloop

from ..standins.deployments import DEPLOYMENTS
from ..standins.load import LoadGenerator, Target, summarize
from ..standins.oracle import Call
from ..standins.tables import format_calls


def run(
    deployment: str,
    *,
    target: list[str],
    rate: float = 100.0,
    seconds: float = 10.0,
    seed: int = 1,
    json: bool = False,
) -> None:
    """Send a deployment's mix of calls to caller ports, each given as HOST:PORT."""
    targets = [_parse_target(text) for text in target]
    calls = uvloop.run(_generate(deployment, targets, rate, seconds, seed))
    summaries = summarize(calls)
    if json:
        document = [summary._asdict() for summary in summaries]
        sys.stdout.write(msgspec.json.encode(document).decode() + "\n")
    else:
        sys.stdout.write(format_calls(summaries))


async def _generate(
    deployment: str, targets: list[Target], rate: float, seconds: float, seed: int
) -> list[Call]:
    classes = DEPLOYMENTS[deployment].classes
    generator = LoadGenerator(targets=targets, classes=classes, seed=seed, run_id=f"run-{seed}")
    try:
        await generator.run(rate_per_s=rate, duration_s=seconds)
    finally:
        generator.close()
    return generator.calls


def _parse_target(text: str) -> Target:
    host, _, port = text.rpartition(":")
    return Target(text, host, int(port))
