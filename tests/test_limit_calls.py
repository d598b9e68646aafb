"""Test what callers of a tenant with a limit are answered, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter

import logbook

from call_network import Client, VirtualLoop, run_virtual
from direct_network import DirectMesh, build_request

logbook.NullHandler().push_application()

KEY = "secret-1"
TENANT = {"name": "acme", "api_keys": [KEY], "rate_per_s": 5, "burst": 5}


async def call_as_tenant(mesh: DirectMesh, attempt: str) -> Client:
    """Make one call with a credential and wait for its answer."""
    client = await mesh.connect(mesh.nodes[0].settings.caller.port)
    assert client is not None
    request = build_request("/book/7/ok", attempt, method="POST", body=b"body")
    head, _, rest = request.partition(b"\r\n")
    client.transport.write(head + b"\r\nX-Api-Key: " + KEY.encode() + b"\r\n" + rest)
    await client.done
    client.transport.close()
    return client


async def count_statuses(mesh: DirectMesh, prefix: str, calls: int) -> tuple[Counter[int], float]:
    """Make calls one after another; return the statuses and the longest `Retry-After`."""
    clients = [await call_as_tenant(mesh, f"{prefix}-{number}") for number in range(calls)]
    waits = [float(client.headers.get("retry-after", 0)) for client in clients]
    return Counter(client.status for client in clients), max(waits)


def test_calls_over_the_limit_get_429_and_503_while_it_is_unknown() -> None:
    """Guards against limits that are not enforced on calls, and against 429 after a start."""

    async def main(loop: VirtualLoop) -> None:
        mesh = DirectMesh(loop, ["counter"])
        await mesh.start()
        mesh.write_configuration("0000000d", tenants=[TENANT])
        await asyncio.sleep(4.0)
        statuses, wait_s = await count_statuses(mesh, "first", 12)
        assert set(statuses) == {200, 429}
        assert 5 <= statuses[200] <= 8
        assert 0 < wait_s <= 1.0
        await asyncio.sleep(1.2)
        assert (await call_as_tenant(mesh, "later")).status == 200
        await mesh.restart(0)
        await asyncio.sleep(0.5)
        statuses, _ = await count_statuses(mesh, "started", 3)
        assert set(statuses) == {503}
        await asyncio.sleep(1.5)
        assert (await call_as_tenant(mesh, "again")).status == 200

    run_virtual(main)
