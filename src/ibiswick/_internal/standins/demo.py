"""Run a deployment under load and disturbances and check the nine promises."""

from __future__ import annotations

from pathlib import Path


async def run_demo(name: str, configuration: Path, *, seed: int, keep: Path | None) -> bool:
    """Run the demo and print its tables; return whether it passed."""
    raise NotImplementedError
