"""Build a history for the oracle from the logs, ledgers and objects of a run."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Iterable, Iterator, Mapping
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from .backend import LedgerEntry
from .events import Event
from .oracle import (
    Call,
    ChangeAccepted,
    FloorConfirmed,
    History,
    LeavingAnnounced,
    NodeStart,
    PlannedStop,
    SnapshotApplied,
    SnapshotContent,
    Work,
)
from .rig import Rig


async def collect_history(rig: Rig, calls: Iterable[Call]) -> History:
    """Collect all records up to now; the platform must be available."""
    ended = time.time()
    events = list(rig.read_node_events())
    applied = [_read_applied(vm, event) for vm, event in _select_events(events, "snapshot-applied")]
    accepted = [change async for change in _iterate_changes(rig)]
    digests = {item.digest for item in applied} | {
        digest for change in accepted for digest in change.snapshots.values()
    }
    return History(
        calls=list(calls),
        work=list(read_ledgers(rig.directory)),
        starts=[
            NodeStart(vm, rig.plan.workspace, event.at)
            for vm, event in _select_events(events, "node-started")
        ],
        floors=[
            FloorConfirmed(vm, event.at) for vm, event in _select_events(events, "floor-confirmed")
        ],
        applied=applied,
        accepted=accepted,
        leaving=[
            LeavingAnnounced(vm, event.at)
            for vm, event in _select_events(events, "leaving-announced")
        ],
        stops=[
            PlannedStop(vm, event.at)
            for vm, event in _select_events(events, "phase-changed")
            if event.fields.get("phase") == "draining"
        ],
        outages=list(rig.outages),
        contents=await _fetch_contents(rig, digests),
        ended=ended,
    )


def read_ledgers(directory: Path) -> Iterator[Work]:
    """Yield the work recorded in all ledger files of a directory."""
    decode = msgspec.json.Decoder(LedgerEntry).decode
    for path in sorted(directory.glob("*.ledger")):
        latest: dict[tuple[str, float], LedgerEntry] = {}
        for line in path.read_bytes().splitlines():
            entry = decode(line)
            latest[entry.request_id, entry.started] = entry
        for entry in latest.values():
            yield Work(
                entry.request_id,
                entry.vm,
                entry.path,
                entry.started,
                entry.effect,
                entry.finished,
                entry.aborted,
            )


def _select_events(events: Iterable[tuple[str, Event]], name: str) -> Iterator[tuple[str, Event]]:
    return (item for item in events if item[1].name == name)


def _read_applied(vm: str, event: Event) -> SnapshotApplied:
    fields = event.fields
    return SnapshotApplied(
        vm, fields["workspace"], int(fields["generation"]), fields["digest"], event.at
    )


async def _iterate_changes(rig: Rig) -> AsyncIterator[ChangeAccepted]:
    """Yield the accepted changes, from the newest to the oldest."""
    head = await rig.fetch_object("live/head")
    digest = head["change"] if head else None
    while digest:
        record = await rig.fetch_object(f"blobs/{digest}")
        manifest = await rig.fetch_object(f"blobs/{record['manifest']}")
        yield ChangeAccepted(
            record["generation"],
            _parse_time(record["time"]),
            _list_changed(manifest, record["generation"]),
        )
        digest = record.get("previous")


def _list_changed(manifest: Mapping[str, Any], generation: int) -> dict[str, str]:
    return {
        name: entry["snapshot"]
        for name, entry in manifest["workspaces"].items()
        if entry["generation"] == generation
    }


def _parse_time(value: Any) -> float:
    if isinstance(value, str):
        return datetime.fromisoformat(value).timestamp()
    return float(value)


async def _fetch_contents(rig: Rig, digests: Iterable[str]) -> dict[str, SnapshotContent]:
    contents = {}
    for digest in digests:
        blob = await rig.fetch_object(f"blobs/{digest}")
        if blob is not None:
            routes = {route["id"]: route["service"] for route in blob["routes"]}
            contents[digest] = SnapshotContent(frozenset(blob["services"]), routes)
    return contents
