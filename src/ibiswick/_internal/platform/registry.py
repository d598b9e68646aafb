"""Decode the announcements of backend servers."""

from __future__ import annotations

import re
import urllib.parse
from typing import Any

import msgspec

from ..direct.instances import Departure, Heartbeat
from ..shared.errors import InvalidInputError, Problem
from .fields import FieldReader

_PATH = re.compile(r"/instances/([^/]+)/(heartbeat|deregister)")
STATES = ("ready", "draining")


def decode_announcement(method: str, path: str, body: bytes) -> Heartbeat | Departure | None:
    """Decode a request; return None for an unknown one; raise InvalidInputError for a bad body."""
    found = _PATH.fullmatch(path)
    if found is None or method != "POST":
        return None
    instance = urllib.parse.unquote(found[1])
    if found[2] == "deregister":
        return Departure(instance, _parse_born(body))
    return _decode_heartbeat(instance, _decode_json(body))


def _decode_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError([Problem("heartbeat", "$", "JSON", str(error))]) from error


def _parse_born(body: bytes) -> int | None:
    """Return the `born` of a departing backend server, which may send no body; None without it."""
    try:
        value = msgspec.json.decode(body) if body else None
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    born = value.get("born") if isinstance(value, dict) else None
    return born if isinstance(born, int) and not isinstance(born, bool) else None


def _decode_heartbeat(instance: str, value: Any) -> Heartbeat:
    reader = FieldReader(f"heartbeat of {instance}")
    state = reader.read_text(value, "state")
    if state not in STATES:
        reader.add_problem("state", f"one of {', '.join(STATES)}", state)
    heartbeat = Heartbeat(
        instance=instance,
        service=reader.read_text(value, "service"),
        slots=reader.read_integer(value, "capacity", minimum=1),
        leaving=state == "draining",
        born=reader.read_integer(value, "born", 0),
        sequence=reader.read_integer(value, "sequence"),
        version=reader.read_optional_text(value, "version"),
        slow_for_s=(
            reader.read_seconds(value, "warmup_left") if _has_field(value, "warmup_left") else None
        ),
    )
    # Only validated: the node knows its address and availability zone.
    reader.read_text(value, "address")
    reader.read_text(value, "zone")
    reader.raise_problems()
    return heartbeat


def _has_field(value: Any, name: str) -> bool:
    return isinstance(value, dict) and name in value
