"""Implement `ibiswick-load measure`."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import uvloop

from ..standins.measures import run_measurements


def measure(
    *,
    output: Path = Path("build/measures.json"),
    deployments: Path = Path("deployments"),
    only: list[str] | None = None,
) -> None:
    """Run the measurements, print tables and write the figures as one flat JSON object.

    `--only NAME` runs one measurement; it may be repeated.
    """
    try:
        figures = uvloop.run(run_measurements(deployments, only=only))
    except KeyboardInterrupt:
        sys.exit(130)
    except asyncio.CancelledError:
        sys.exit(143)
    text = json.dumps(figures, indent=2) + "\n"
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(text)
    sys.stdout.write(text)
