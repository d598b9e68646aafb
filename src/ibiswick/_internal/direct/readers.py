"""Choose the nodes that follow the object API for the others.

This is done in a large fleet and for a large configuration. A reader gets every version in full.
The other nodes of its availability zone ask it for what has changed, which spares their links and
the object API.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable

from .members import NodeRecord

# With two, a node still hears of a change at once when one of them has just failed.
MIN_READERS = 2
# Nodes that ask one reader: with two requests a second each, about 1% of a small VM's core.
NODES_PER_READER = 32
# A node that has not said how long its first read took is chosen last.
UNKNOWN_READ_MS = 1 << 30


def choose_readers(
    records: Iterable[NodeRecord], *, availability_zone: str, silent: Container[str]
) -> tuple[NodeRecord, ...]:
    """Return the readers of an availability zone, those with the fastest first reads.

    Nodes in `silent` are left out, since they have not answered.
    """
    candidates = [
        record
        for record in records
        if record.availability_zone == availability_zone and record.vm not in silent
    ]
    candidates.sort(key=lambda record: (record.read_ms or UNKNOWN_READ_MS, record.vm))
    count = max(MIN_READERS, math.ceil(len(candidates) / NODES_PER_READER))
    return tuple(candidates[:count])


def round_read_time(seconds: float) -> int:
    """Return a duration in milliseconds, rounded up to a power of two.

    Coarse steps keep the order of the nodes from depending on noise.

    >>> round_read_time(0.09)
    128
    """
    return 1 << max(0, math.ceil(seconds * 1000) - 1).bit_length()
