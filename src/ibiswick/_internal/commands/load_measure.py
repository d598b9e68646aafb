"""Implement `ibiswick-load measure`."""

from __future__ import annotations

import sys
from pathlib import Path

import uvloop

from ..standins.measures import run_measures


def measure(
    *,
    output: Path = Path("build/measures.json"),
    deployments: Path = Path("deployments"),
    only: list[str] | None = None,
) -> None:
    """Run the measurements, print tables and write the figures as one flat JSON object."""
    try:
        uvloop.run(run_measures(output, deployments, only=only))
    except KeyboardInterrupt:
        sys.exit(130)
