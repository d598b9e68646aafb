"""Choose the readers: the nodes that follow the object API for the others.

There are readers in a large fleet and for a large configuration. A reader gets every version in
full. The other nodes of its availability zone poll it for changes, which reduces the load on their
links and on the object API.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container, Iterable

from .members import NodeRecord

# Per availability zone: with two, nodes still hear of a change at once when one has just failed.
MIN_READERS = 2
# Nodes that poll one reader: with two requests a second each, about 1% of a small VM's core.
NODES_PER_READER = 32
# A node that has not reported the duration of its first read is chosen last.
UNKNOWN_READ_MS = 1 << 30
# A reader that did not respond in time is polled again after this delay.
RETRY_AFTER_TIMEOUT_S = 5.0
# A reader that refuses, or responds that it can't serve polls, is polled again after this delay. It
# is stopping or starting; a start takes about 1 s, and such a poll costs little.
RETRY_AFTER_REFUSAL_S = 0.5
# A reader whose polls have failed for this long is replaced. A planned restart takes 2.6 s to stop
# and about 1 s to start; until then, polling readers of other zones costs less than a replacement
# with a slow link.
REPLACE_AFTER_S = 5.0


def choose_readers(
    records: Iterable[NodeRecord], *, availability_zone: str, excluded: Container[str]
) -> tuple[NodeRecord, ...]:
    """Return the readers of an availability zone, ranked by link rate and then by first read.

    Link rates count as equal within a factor of two. Nodes in `excluded` are not chosen; the next
    ones take their place. A node's link rate is known as soon as it restarts, its first read is
    not.
    """
    candidates = [
        record
        for record in records
        if record.availability_zone == availability_zone and record.vm not in excluded
    ]
    # A node that takes no calls is about to stop, so it ranks last among nodes with equal link
    # rates. It still ranks before slower links, since it is usually back soon.
    candidates.sort(
        key=lambda record: (
            -record.link_bytes_per_s.bit_length(),
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
    excluded: Container[str],
    rng: random.Random,
    replaced: Container[str] = (),
) -> NodeRecord | None:
    """Return the reader to poll next, one of another availability zone if all here are excluded.

    A poll of another zone is small, and much cheaper than following the object API. Nodes in
    `replaced` are readers no longer; the next ones have taken their place.
    """
    known = list(records)
    zones = sorted({record.availability_zone for record in known} - {availability_zone})
    rng.shuffle(zones)
    for zone in (availability_zone, *zones):
        readers = choose_readers(known, availability_zone=zone, excluded=replaced)
        answering = [record for record in readers if record.vm not in excluded]
        if answering:
            return rng.choice(answering)
    # The nodes that take the place of excluded readers.
    readers = choose_readers(known, availability_zone=availability_zone, excluded=excluded)
    return rng.choice(readers) if readers else None


class ReaderSelector:
    """Choose the reader to poll, and decide whether this node is one, by which polls failed."""

    def __init__(self, *, vm: str, availability_zone: str, rng: random.Random) -> None:
        self._vm = vm
        self._availability_zone = availability_zone
        self._rng = rng
        # Until when a reader is not polled, and when the first and the last of its polls in a row
        # failed.
        self._paused_until: dict[str, float] = {}
        self._failing_since: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def note_success(self, vm: str) -> None:
        """Note that a poll succeeded."""
        self._paused_until.pop(vm, None)
        self._failing_since.pop(vm, None)
        self._failed_at.pop(vm, None)

    def note_failure(self, vm: str, *, now: float, retry_soon: bool) -> None:
        """Note that a poll failed; with `retry_soon`, the reader is polled again soon."""
        self._paused_until[vm] = now + (
            RETRY_AFTER_REFUSAL_S if retry_soon else RETRY_AFTER_TIMEOUT_S
        )
        self._failing_since.setdefault(vm, now)
        self._failed_at[vm] = now

    def list_paused(self, *, now: float) -> set[str]:
        """Return the readers that are not polled for now."""
        self._paused_until = {vm: until for vm, until in self._paused_until.items() if now < until}
        return set(self._paused_until)

    def choose(
        self, records: Iterable[NodeRecord], *, now: float, polled: Container[str]
    ) -> NodeRecord | None:
        """Return the reader to poll next, None if there is none besides those in `polled`."""
        reader = choose_reader(
            [record for record in records if record.vm != self._vm],
            availability_zone=self._availability_zone,
            excluded=self.list_paused(now=now).union(polled),
            rng=self._rng,
            replaced=self._list_replaced(now),
        )
        return reader if reader is not None and reader.vm not in polled else None

    def is_reader(self, records: Iterable[NodeRecord], *, now: float) -> bool:
        """Tell whether this node is a reader of its availability zone.

        While no reader of any zone can be polled, the nodes ranked next are readers at once. This
        node takes the place of a reader only if a poll has failed after `REPLACE_AFTER_S`: a silent
        reader is not polled for as long, and may be back.
        """
        known = list(records)
        replaced = {
            vm
            for vm, failed_at in self._failed_at.items()
            if failed_at - self._failing_since[vm] >= REPLACE_AFTER_S
        }
        if self._is_chosen(known, excluded=replaced):
            return True
        paused = self.list_paused(now=now)
        if any(vm not in paused for vm in self._list_readers(known, replaced)):
            return False
        return self._is_chosen(known, excluded=paused | replaced)

    def _list_readers(self, known: list[NodeRecord], replaced: set[str]) -> set[str]:
        zones = {record.availability_zone for record in known}
        chosen = (choose_readers(known, availability_zone=z, excluded=replaced) for z in zones)
        return {record.vm for readers in chosen for record in readers}

    def _is_chosen(self, known: list[NodeRecord], *, excluded: set[str]) -> bool:
        zone = self._availability_zone
        readers = choose_readers(known, availability_zone=zone, excluded=excluded)
        return any(record.vm == self._vm for record in readers)

    def _list_replaced(self, now: float) -> set[str]:
        return {vm for vm, since in self._failing_since.items() if now - since >= REPLACE_AFTER_S}


def round_up_to_read_ms(seconds: float) -> int:
    """Return a duration in milliseconds, rounded up to a power of two.

    The coarse steps keep noise from changing the rank of nodes.

    >>> round_up_to_read_ms(0.09)
    128
    """
    return 1 << max(0, math.ceil(seconds * 1000) - 1).bit_length()
