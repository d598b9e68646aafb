"""Implement `ibiswick-load fuzz`."""

from __future__ import annotations

import sys

from ..standins.fuzz import run_fuzz


def fuzz(*, seed: int = 1, minutes: float = 5.0, tests: str = "tests") -> None:
    """Repeat the property tests for some minutes under other seeds, to find failures."""
    sys.exit(run_fuzz(seed=seed, minutes=minutes, tests=tests))
