"""Repeat the property tests of the test suite under other seeds for a given time."""

from __future__ import annotations

import itertools
import os
import subprocess
import sys
import time

# Read by tests/conftest.py, which then loads the profile "fuzz".
SEED_VARIABLE = "IBISWICK_FUZZ_SEED"
_EXIT_NO_TESTS = 5


def run_fuzz(*, seed: int, minutes: float, tests: str) -> int:
    """Run one round per seed, from `seed` upwards, until the time is over; return an exit code.

    The first failing round ends the run, and the command that repeats it is printed.
    """
    deadline = time.monotonic() + minutes * 60
    for current_seed in itertools.count(seed):
        code = _run_round(current_seed, tests)
        if code:
            sys.stdout.write(_explain_failure(code, current_seed))
            return code
        if time.monotonic() >= deadline:
            sys.stdout.write(f"no failure with the seeds {seed} to {current_seed}\n")
            return 0
    raise AssertionError("unreachable")


def _run_round(seed: int, tests: str) -> int:
    command = [sys.executable, "-m", "pytest", tests, "-m", "hypothesis"]
    command += [f"--hypothesis-seed={seed}", "-x"]
    return subprocess.run(command, env={**os.environ, SEED_VARIABLE: str(seed)}).returncode


def _explain_failure(code: int, seed: int) -> str:
    if code == _EXIT_NO_TESTS:
        return "no property tests found\n"
    return f"replay with: ibiswick-load fuzz --seed {seed} --minutes 0\n"
