"""Check the translation between the users' platform and ibiswick."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from ibiswick._internal.direct.instances import Departure, Heartbeat
from ibiswick._internal.platform.configuration import decode_configuration
from ibiswick._internal.platform.registry import decode_announcement
from ibiswick._internal.platform.settings import parse_direct_settings
from ibiswick._internal.platform.store import Store
from ibiswick._internal.shared.errors import (
    ConflictError,
    HistoryLostError,
    IbiswickError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from ibiswick._internal.shared.objectapi import MUST_NOT_EXIST
from platform_documents import SETTINGS, build_configuration, build_heartbeat_body
from platform_store import StoreFetch


def test_settings_are_read_and_unknown_fields_ignored() -> None:
    """Guard against a node that listens on other addresses than the platform expects."""
    settings = parse_direct_settings(SETTINGS, source="test")
    assert settings.caller == ("10.1.0.35", 8141)
    assert settings.registry == ("10.1.0.35", 8146)
    assert settings.exchange == ("10.1.0.35", 7660)
    assert settings.limits == ("10.1.0.35", 7661)
    assert settings.store == ("10.200.1.7", 8142)
    assert (settings.stop_grace_s, settings.retry_slack) == (6.0, 64.0)
    assert settings.link_bytes_per_s == 312_500


def test_a_settings_file_without_limits_leaves_the_link_unknown() -> None:
    """Guard against a node that does not start because its settings have no limits."""
    text = SETTINGS.replace("[limits]", "[other]")
    assert parse_direct_settings(text, source="test").link_bytes_per_s == 0


@pytest.mark.parametrize("ports", ["[7660]", "[7660,7660]", "[65535,65540]"])
def test_a_single_internal_port_leaves_none_for_limits(ports: str) -> None:
    """Guard against a node that opens a port outside its range."""
    text = SETTINGS.replace("[7660,7675]", ports)
    assert parse_direct_settings(text, source="test").limits.port == 0


@pytest.mark.parametrize(
    ("before", "after", "path"),
    [
        ('"10.1.0.35:8147"', '"10.1.0.35"', "app_addr"),
        ('"6s"', "6", "bounds.grace"),
        ("[7660,7675]", "[]", "internal_ports"),
        ('node_id = "sidecar-ege-bir-1"', "", "node_id"),
        ("bandwidth_mbps = 2.5", 'bandwidth_mbps = "slow"', "limits.bandwidth_mbps"),
        ("budget_slack = 64", 'budget_slack = "many"', "bounds.budget_slack"),
    ],
)
def test_a_wrong_setting_is_named(before: str, after: str, path: str) -> None:
    """Guard against a process that starts with incomplete settings."""
    with pytest.raises(InvalidInputError) as caught:
        parse_direct_settings(SETTINGS.replace(before, after), source="test")
    assert [problem.path for problem in caught.value.problems] == [path]


def test_a_configuration_is_decoded() -> None:
    """Guard against calls that are not handled as their route demands."""
    snapshot, limits = decode_configuration(build_configuration())
    assert snapshot.generation == 12
    assert limits == (16384, 67108864, 3.0, 15.0)
    routes = {route["id"]: route for route in snapshot.routes}
    book, read, upload = routes["r-book"], routes["r-read"], routes["r-upload"]
    assert (book["idempotent"], book["retries"], book["priority"]) == (False, 1, 1)
    assert (book["deadline_ms"], book.get("target_ms")) == (1000, 400)
    assert read["idempotent"]
    assert [part["weight"] for part in read["split"]] == [90, 10]
    assert not upload["idempotent"]
    assert upload["prefers_local"]


def break_version(document: dict[str, Any]) -> None:
    document["version"] = "soon"


def break_service(document: dict[str, Any]) -> None:
    document["listeners"][0]["rules"][0]["action"]["service"] = "nowhere"


def break_split(document: dict[str, Any]) -> None:
    document["listeners"][0]["rules"][1]["action"]["traffic_split"][1]["service"] = "nowhere"


def break_kind(document: dict[str, Any]) -> None:
    document["listeners"][0]["rules"][0]["kind"] = "sometimes"


def break_timeout(document: dict[str, Any]) -> None:
    document["listeners"][0]["rules"][0]["action"]["timeout"] = -1


def break_listeners(document: dict[str, Any]) -> None:
    del document["listeners"]


@pytest.mark.parametrize(
    "breach",
    [break_version, break_service, break_split, break_kind, break_timeout, break_listeners],
)
def test_a_malformed_configuration_is_refused_as_a_whole(
    breach: Callable[[dict[str, Any]], None],
) -> None:
    """Guard against a configuration that is applied partially."""
    document = build_configuration()
    breach(document)
    with pytest.raises(IbiswickError):
        decode_configuration(document)


@pytest.mark.parametrize("value", [None, [], "text", 7, {"version": 1}])
def test_a_foreign_object_is_no_configuration(value: Any) -> None:
    """Guard against a crash on an object that another writer has stored."""
    with pytest.raises(InvalidInputError):
        decode_configuration(value)


def decode_beat(body: Any) -> Heartbeat | Departure | None:
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return decode_announcement("POST", "/instances/i-7f/heartbeat", raw)


def test_a_heartbeat_is_decoded() -> None:
    """Guard against backend servers that are recorded with a wrong state or number of slots."""
    beat = decode_beat(build_heartbeat_body(state="draining"))
    assert beat == Heartbeat(
        "i-7f", "counter", 6, True, 1782054605000, 4, version="v1", slow_for_s=1.5
    )


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe",
        b"{",
        [],
        build_heartbeat_body(capacity="6"),
        build_heartbeat_body(capacity=0),
        build_heartbeat_body(state="asleep"),
        build_heartbeat_body(sequence=None),
        build_heartbeat_body(born="yesterday"),
        build_heartbeat_body(service=7),
        {"service": "counter"},
    ],
)
def test_a_malformed_heartbeat_names_no_backend_server(body: Any) -> None:
    """Guard against calls to a backend server that a malformed heartbeat names."""
    with pytest.raises(InvalidInputError):
        decode_beat(body)


@pytest.mark.parametrize(
    ("body", "born"), [(b"", None), (b"{", None), (b'{"born":5}', 5), (b'{"born":"x"}', None)]
)
def test_a_departure_needs_no_body(body: bytes, born: int | None) -> None:
    """Guard against the rejection of a departure that has no usable body."""
    found = decode_announcement("POST", "/instances/i-7f/deregister", body)
    assert found == Departure("i-7f", born)


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/instances/a/heartbeat"), ("POST", "/instances/a"), ("POST", "/other")],
)
def test_an_unknown_call_is_not_answered_as_known(method: str, path: str) -> None:
    """Guard against an acknowledgement of an unknown request."""
    assert decode_announcement(method, path, b"{}") is None


async def test_store_writes_are_conditional() -> None:
    """Guard against a late write that replaces a newer one."""
    fetch = StoreFetch()
    store = Store(fetch=fetch)
    first = await store.put("nodes/a", {"n": 1}, expected=MUST_NOT_EXIST)
    second = await store.put("nodes/a", {"n": 2}, expected=first)
    with pytest.raises(ConflictError) as caught:
        await store.put("nodes/a", {"n": 1}, expected=first)
    assert caught.value.current == second
    with pytest.raises(ConflictError):
        await store.put("nodes/a", {"n": 3}, expected=MUST_NOT_EXIST)
    with pytest.raises(ConflictError):
        await store.put("nodes/b", {"n": 3}, expected=7)
    found = await store.get("nodes/a")
    assert found is not None
    assert (found.key, found.version, found.value) == ("nodes/a", second, {"n": 2})
    await store.delete("nodes/a")
    await store.delete("nodes/a")
    assert await store.get("nodes/a") is None


async def test_store_lists_every_page() -> None:
    """Guard against members that are missing because the list has several pages."""
    fetch = StoreFetch()
    fetch.objects_per_page = 3
    for number in range(10):
        fetch.store.put(f"nodes/{number}", number)
    fetch.store.put("other/a", 1)
    listing = await Store(fetch=fetch).list("nodes/")
    assert [item.value for item in listing.objects] == list(range(10))
    assert listing.revision == 11


async def test_store_watch_tells_changes_and_deletions() -> None:
    """Guard against members that stay known after their entry is gone."""
    fetch = StoreFetch()
    store = Store(fetch=fetch)
    version = await store.put("nodes/a", 1, expected=MUST_NOT_EXIST)
    watch = asyncio.create_task(store.watch("nodes/", after=version, timeout_s=5))
    await asyncio.sleep(0)
    await store.delete("nodes/a")
    listing = await watch
    assert [(item.key, item.value) for item in listing.objects] == [("nodes/a", None)]


async def test_lost_history_is_told_from_an_outage() -> None:
    """Guard against a watch that misses changes, and against a listing after each outage."""
    fetch = StoreFetch()
    fetch.history_from = 5
    with pytest.raises(HistoryLostError):
        await Store(fetch=fetch).watch("nodes/", after=2, timeout_s=1)
    fetch.status = 503
    with pytest.raises(PlatformUnavailableError):
        await Store(fetch=fetch).watch("nodes/", after=2, timeout_s=1)


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_write_had_no_effect(status: int) -> None:
    """Guard against a refusal that is treated like a lost response."""
    fetch = StoreFetch()
    fetch.status = status
    with pytest.raises(PlatformUnavailableError):
        await Store(fetch=fetch).put("nodes/a", 1, expected=MUST_NOT_EXIST)


async def test_a_lost_answer_leaves_the_outcome_open() -> None:
    """Guard against a write that took effect but is reported as without effect."""
    fetch = StoreFetch()
    fetch.lose_answers = 1
    with pytest.raises(OutcomeUnknownError):
        await Store(fetch=fetch).put("nodes/a", 1, expected=MUST_NOT_EXIST)
    assert fetch.store.get("nodes/a") is not None
