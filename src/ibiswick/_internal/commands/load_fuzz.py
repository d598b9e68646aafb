"""Implement `ibiswick-load fuzz`."""

from __future__ import annotations

import sys

from ..standins.fuzz import run_fuzz


def fuzz(*, seed: int = 1, minutes: float = 5.0, tests: str = "tests") -> None:
    """Search longer for failures of the test suite's state machines, under another seed."""
    sys.exit(run_fuzz(seed=seed, minutes=minutes, tests=tests))
