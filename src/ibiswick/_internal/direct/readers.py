"""Choose the nodes that follow the object API for the others.

This is done in a large fleet and for a large configuration. A reader gets every version in full.
The other nodes of its availability zone ask it for what has changed, which spares their links and
the object API.
"""

from __future__ import annotations

import math
import random
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

    Others take the place of nodes in `silent`, which have not answered.
    """
    candidates = [
        record
        for record in records
        if record.availability_zone == availability_zone and record.vm not in silent
    ]
    # A node that takes no calls any more is about to leave, so it comes last.
    candidates.sort(
        key=lambda record: (
            bool(record.instance) and not record.accepting,
            record.read_ms or UNKNOWN_READ_MS,
            record.vm,
        )
    )
    count = max(MIN_READERS, math.ceil(len(candidates) / NODES_PER_READER))
    return tuple(candidates[:count])


def choose_reader(
    records: Iterable[NodeRecord],
    *,
    availability_zone: str,
    silent: Container[str],
    rng: random.Random,
) -> NodeRecord | None:
    """Return the reader to ask next, one of another availability zone if all here are silent.

    A question to another zone is small, and much cheaper than reading everything.
    """
    known = list(records)
    zones = sorted({record.availability_zone for record in known} - {availability_zone})
    rng.shuffle(zones)
    for zone in (availability_zone, *zones):
        readers = choose_readers(known, availability_zone=zone, silent=())
        answering = [record for record in readers if record.vm not in silent]
        if answering:
            return rng.choice(answering)
    # Those that take the place of silent readers.
    readers = choose_readers(known, availability_zone=availability_zone, silent=silent)
    return rng.choice(readers) if readers else None


def round_read_time(seconds: float) -> int:
    """Return a duration in milliseconds, rounded up to a power of two.

    Coarse steps keep the order of the nodes from depending on noise.

    >>> round_read_time(0.09)
    128
    """
    return 1 << max(0, math.ceil(seconds * 1000) - 1).bit_length()
