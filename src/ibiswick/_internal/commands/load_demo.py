"""Implement `ibiswick-load demo`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Literal

import uvloop

from ..standins.demo import run_demo


def demo(
    deployment: Literal["yorgan", "bakony"],
    *,
    deployments: Path = Path("deployments"),
    seed: int = 1,
    keep: Path | None = None,
) -> None:
    """Run a deployment under load and check the nine promises of docs/design.md, section 2.

    Meanwhile the configuration changes, a VM is drained and another is killed and restarted. The
    exit code is 1 if a promise was violated or could not be checked, or if a class of calls had no
    traffic. `--keep DIRECTORY` keeps the logs, and the ledgers of the work that took effect.
    """
    try:
        passed = uvloop.run(run_demo(deployment, deployments / deployment, seed=seed, keep=keep))
    except KeyboardInterrupt:
        sys.exit(130)
    except asyncio.CancelledError:
        sys.exit(143)
    sys.exit(0 if passed else 1)
