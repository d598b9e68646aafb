"""Measure."""

from __future__ import annotations

from pathlib import Path


async def run_measures(output: Path, deployments: Path, *, only: list[str] | None) -> None:
    """Run the measurements."""
    raise NotImplementedError
