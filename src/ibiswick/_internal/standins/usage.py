"""Read the CPU time and the memory of a process from /proc."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """Hold the CPU time used so far and the resident memory at one time."""

    at: float
    cpu_s: float
    rss_mb: float


def read_usage(pid: int) -> Usage:
    """Return the usage of a process; raise OSError when it has ended."""
    # The name in the second field may contain spaces, so fields count from its closing parenthesis.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(time.monotonic(), ticks / _TICKS_PER_S, resident_pages * _PAGE_BYTES / 1e6)


def compute_cpu_percent(before: Usage, after: Usage) -> float:
    """Return the share of one core used between two readings."""
    return 100 * (after.cpu_s - before.cpu_s) / (after.at - before.at)
