"""Test the HTTP client of the platform against a stand-in that serves the object API over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping

import httpx
import pytest
import uvicorn

from ibiswick._internal.configuration.changes import ChangeAcceptor, ChangeRequest, ChangeResult
from ibiswick._internal.shared.errors import (
    ConflictError,
    NotSentError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    ResponseLostError,
    ValueTooLargeError,
)
from ibiswick._internal.shared.objectapi import MUST_NOT_EXIST, FetchResponse, HttpPlatform
from ibiswick._internal.shared.objectapi_httpx import connect_platform
from ibiswick._internal.shared.settings import PlatformSettings
from ibiswick._internal.standins.platform import PlatformApplication


@contextlib.asynccontextmanager
async def serve(application: PlatformApplication) -> AsyncIterator[str]:
    """Serve an application on the loopback interface."""
    listener = socket.create_server(("127.0.0.1", 0))
    config = uvicorn.Config(
        application, lifespan="off", log_level="critical", timeout_graceful_shutdown=1
    )
    server = uvicorn.Server(config)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    while not server.started:  # noqa: ASYNC110, uvicorn has no event for it
        await asyncio.sleep(0.01)
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        await task


@contextlib.asynccontextmanager
async def connect(
    application: PlatformApplication, *, timeout_s: float = 20.0
) -> AsyncIterator[tuple[HttpPlatform, httpx.AsyncClient]]:
    """Yield a platform client of an application, and an HTTP client that injects faults."""
    async with serve(application) as url, httpx.AsyncClient(base_url=url) as http_client:
        settings = PlatformSettings(url=url, timeout_s=timeout_s)
        platform, fetch = connect_platform(settings, caller="test")
        try:
            yield platform, http_client
        finally:
            await fetch.close()


async def wait_for_watch(http_client: httpx.AsyncClient) -> None:
    """Wait until the stand-in platform has a pending watch."""
    while (await http_client.get("/_counts")).json()["pending_watches"] == 0:  # noqa: ASYNC110
        await asyncio.sleep(0.01)


async def test_objects_are_versioned_and_conditional() -> None:
    """Guard against two conditional writes that both succeed."""
    async with connect(PlatformApplication()) as (platform, _):
        assert await platform.get("live/head") is None
        first = await platform.put("live/head", {"a": 1}, expected=MUST_NOT_EXIST)
        with pytest.raises(ConflictError) as caught:
            await platform.put("live/head", {"a": 2}, expected=MUST_NOT_EXIST)
        assert caught.value.current == first
        second = await platform.put("live/head", {"a": 2}, expected=first)
        assert await platform.get("live/head") == ("live/head", second, {"a": 2}, None)
        await platform.put("live/höher %?", [1])
        listing = await platform.list("live/", limit=1, reverse=True)
        assert [found.key for found in listing.objects] == ["live/höher %?"]
        listing = await platform.list("live/", after="live/head")
        assert [found.value for found in listing.objects] == [[1]]
        with pytest.raises(ConflictError):
            await platform.delete("live/head", expected=first)
        await platform.delete("live/head", expected=second)
        await platform.delete("live/head")
        with pytest.raises(ValueTooLargeError):
            await platform.put("x", "y" * 1_000_000)


async def test_watch_reports_writes_and_deletions() -> None:
    """Guard against a change that is not reported to a watch."""
    async with connect(PlatformApplication()) as (platform, http_client):
        pending = asyncio.create_task(platform.watch("live/", after=0, timeout_s=20))
        await wait_for_watch(http_client)
        await platform.put("other", 1)
        version = await platform.put("live/head", {"a": 1})
        assert (await pending).objects == (("live/head", version, {"a": 1}, None),)
        await platform.delete("live/head")
        listing = await platform.watch("live/", after=version, timeout_s=20)
        assert listing.objects == (("live/head", listing.revision, None, None),)
        listing = await platform.watch("live/", after=listing.revision, timeout_s=0.01)
        assert listing.objects == ()
        counts = (await http_client.get("/_counts")).json()
        assert counts["callers"]["test"] == {"watch": 3, "put": 2, "delete": 1}


async def test_injected_faults_raise_the_matching_errors() -> None:
    """Guard against a client that treats a lost response as a failed write."""
    async with connect(PlatformApplication()) as (platform, http_client):
        await platform.put("a", 1)
        await http_client.post("/_faults", json={"lose_answers": 1.0, "stale_reads": 1.0})
        with pytest.raises(OutcomeUnknownError):
            await platform.put("a", 1)
        with pytest.raises(OutcomeUnknownError):
            await platform.delete("a")
        with pytest.raises(OutcomeUnknownError):
            await platform.put("a", 2)
        assert await platform.get("a") is None
        await http_client.post("/_faults", json={"lose_answers": 0, "stale_reads": 0})
        found = await platform.get("a")
        assert found is not None
        assert found.value == 2

        pending = asyncio.create_task(platform.watch("b", after=0, timeout_s=20))
        await wait_for_watch(http_client)
        await http_client.post("/_faults", json={"cut_watches": True})
        with pytest.raises(PlatformUnavailableError):
            await pending

        await http_client.post("/_faults", json={"outage": True})
        with pytest.raises(PlatformUnavailableError):
            await platform.put("a", 3)
        assert (await http_client.post("/_faults", json={"outrage": True})).status_code == 400


async def test_faults_end_after_their_duration() -> None:
    now = 0.0
    application = PlatformApplication(clock=lambda: now)
    async with connect(application) as (platform, http_client):
        await http_client.post("/_faults", json={"outage": True, "duration_s": 5})
        with pytest.raises(PlatformUnavailableError):
            await platform.get("a")
        now = 5.0
        assert await platform.get("a") is None


async def test_changes_are_accepted_once_over_connections_that_break() -> None:
    """Guard against a client, transport and acceptor that treat a lost response differently."""
    async with connect(PlatformApplication(seed=3)) as (platform, http_client):
        acceptor = ChangeAcceptor(platform=platform)
        await http_client.post("/_faults", json={"lose_answers": 0.3})
        workspace = {"services": {"s": {}}, "routes": []}
        requests = [
            ChangeRequest(f"c{n}", "test", workspaces={f"w{n}": workspace}) for n in range(10)
        ]
        results = await asyncio.gather(
            *(acceptor.submit(request) for request in requests), return_exceptions=True
        )
        await http_client.post("/_faults", json={"lose_answers": 0})
        for request, result in zip(requests, results, strict=True):
            again = await acceptor.submit(request)
            if isinstance(result, ChangeResult):
                assert again.generation == result.generation
            else:
                assert isinstance(result, PlatformUnavailableError | OutcomeUnknownError)
        history = await acceptor.read_history()
        assert sorted(record["change_id"] for record in history) == [f"c{n}" for n in range(10)]


async def test_calls_above_the_rate_are_refused_with_the_time_to_retry() -> None:
    application = PlatformApplication(writes_per_s=1.0, clock=lambda: 0.0)
    async with connect(application) as (platform, http_client):
        await platform.put("a", 1)
        with pytest.raises(PlatformUnavailableError) as caught:
            await platform.put("a", 2)
        assert caught.value.retry_after_s == 1.0
        assert (await http_client.get("/_counts")).json()["rejected"] == {"put": 1}


def test_node_modules_do_not_load_heavy_libraries() -> None:
    """Guard against a node that exceeds its memory because of an import."""
    program = (
        "import sys, ibiswick._internal.shared.objectapi, "
        "ibiswick._internal.configuration.snapshots, "
        "ibiswick._internal.shared.budgets, ibiswick._internal.commands.node; "
        "heavy = {'httpx', 'jsonschema', 'cyclopts', 'litestar', 'uvicorn', 'multiprocessing'}; "
        "sys.exit(', '.join(heavy & sys.modules.keys()))"
    )
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, env=environment
    )
    assert done.stderr.strip() == ""


async def test_malformed_requests_are_refused() -> None:
    """Guard against a stand-in platform that fails instead of returning an error status."""
    async with serve(PlatformApplication()) as url, httpx.AsyncClient(base_url=url) as http_client:
        assert (await http_client.put("/v1/objects/a", content=b"{")).status_code == 400
        assert (await http_client.put("/v1/objects/a", content=b"1" * 1_000_001)).status_code == 413
        headers = {"if-match": "x"}
        assert (await http_client.put("/v1/objects/a", json=1, headers=headers)).status_code == 400
        assert (await http_client.get("/v1/watch?after=x")).status_code == 400
        assert (await http_client.get("/elsewhere")).status_code == 404


@pytest.mark.parametrize(
    ("response", "read_error", "write_error"),
    [
        (NotSentError("x"), PlatformUnavailableError, PlatformUnavailableError),
        (ResponseLostError("x"), PlatformUnavailableError, OutcomeUnknownError),
        (FetchResponse(429, {"retry-after": "7"}, b""), PlatformUnavailableError, None),
        (FetchResponse(503, {"retry-after": "nan"}, b""), PlatformUnavailableError, None),
        (FetchResponse(500, {}, b""), PlatformUnavailableError, OutcomeUnknownError),
        (FetchResponse(403, {}, b""), PlatformUnavailableError, PlatformUnavailableError),
        (FetchResponse(200, {"etag": "x"}, b"1"), PlatformUnavailableError, OutcomeUnknownError),
        (FetchResponse(200, {"etag": '"1"'}, b"{"), PlatformUnavailableError, OutcomeUnknownError),
    ],
)
async def test_responses_map_to_errors(
    response: Exception | FetchResponse,
    read_error: type[PlatformError],
    write_error: type[PlatformError] | None,
) -> None:
    """Guard against a write of unknown outcome that is reported as having had no effect."""

    async def fetch(
        method: str, target: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> FetchResponse:
        assert target == "/api/v1/objects/a%20b/c"
        if isinstance(response, Exception):
            raise response
        return response

    platform = HttpPlatform(fetch=fetch, base_url="http://h:1/api/")
    with pytest.raises(read_error):
        await platform.get("a b/c")
    with pytest.raises(write_error or PlatformUnavailableError) as caught:
        await platform.put("a b/c", 1)
    if isinstance(response, FetchResponse) and response.status in (429, 503):
        assert caught.value.retry_after_s == {429: 7.0, 503: 1.0}[response.status]
