"""Check who a caller is taken for, and that credentials go no further than the first node."""

from __future__ import annotations

import asyncio
from typing import Any

import logbook
import pytest

from builders import build_route, build_tenant
from call_network import Client, VirtualLoop, run_virtual
from direct_network import DirectMesh, build_request
from ibiswick._internal.direct.configuration import ConfigurationHolder
from ibiswick._internal.platform.configuration import decode_configuration
from ibiswick._internal.shared.blackboard import Blackboard
from ibiswick._internal.shared.errors import InvalidInputError
from ibiswick._internal.tenants.gate import NullLimiter, TenantGate
from ibiswick._internal.tenants.proofs import ACCEPT_EARLIER_S, HANDOVER_S, ProofTable
from platform_documents import build_configuration, build_tenant_entry

SERVICES = ["counter", "counter", "archive"]
KEY, OTHER_KEY = "key-acme-0123456789", "key-rival-9876543210"
ENTRIES = [
    build_tenant_entry("acme", KEY, "second-key-of-acme", priority=1, rate_per_s=50, burst=50),
    build_tenant_entry("rival", OTHER_KEY),
]
CALL_ID = b"call-1"


def run_mesh(scenario: Any, *, tenants: Any = ENTRIES) -> tuple[Any, str]:
    """Run a scenario on nodes with tenants; return its result and all log lines."""

    async def main(loop: VirtualLoop) -> Any:
        mesh = DirectMesh(loop, SERVICES)
        await mesh.start()
        mesh.write_configuration("0000000d", tenants=tenants)
        await asyncio.sleep(1)
        return await scenario(mesh)

    with logbook.TestHandler() as handler:
        result = run_virtual(main)
    return result, "\n".join(handler.formatted_records)


def read_counts(mesh: DirectMesh, metric: str) -> dict[str, int]:
    """Return the counts of a metric of the first node by the value of its label."""
    counts = mesh.nodes[0].counts._counts
    return {value: count for (name, _, value), count in counts.items() if name == metric}


# Each of these must be answered 401, with the same work however it is spelled.
REFUSED_HEADERS = [
    "",
    "X-Api-Key: wrong-key\r\n",
    "X-Api-Key:\r\n",
    f"X-Api-Key: {KEY}\r\nx-api-key: {KEY}\r\n",
    f"X-Api-Key: {KEY}, {KEY}\r\n",
    f"X-Api-Key: {KEY}é\r\n",
    f"X-Api-Key: {KEY * 100}\r\n",
    f"X_Api_Key: {KEY}\r\n",
    f"Authorization: Bearer {KEY}\r\n",
    "Ibiswick-Tenant: acme\r\nIbiswick-Tenant-Proof: 0123456789abcdef\r\n",
]


@pytest.mark.parametrize("headers", REFUSED_HEADERS)
def test_a_request_without_one_valid_credential_is_answered_401(headers: str) -> None:
    """Guard against a caller who is served without a credential, and against its trace in logs."""

    async def scenario(mesh: DirectMesh) -> tuple[Client, int, dict[str, int]]:
        client = await mesh.call(0, "/book/1/ok", "a1", method="POST", headers=headers)
        return client, mesh.count_runs("a1"), read_counts(mesh, "ibiswick_callers_total")

    (client, runs, counts), lines = run_mesh(scenario)
    assert client.status == 401
    assert runs == 0
    assert counts == {"refused": 1}
    assert KEY not in lines + client.body.decode() + str(client.headers)
    assert "wrong-key" not in lines + client.body.decode()


FORGED = (
    "Ibiswick-Tenant: rival\r\nibiswick_tenant: rival\r\nIBISWICK-TENANT-PROOF: 00\r\n"
    "Ibiswick-Tenant-Weight: 999\r\nIbiswick-Repeat: 1\r\nIbiswick-Terms: 0,,,r\r\n"
    "X_Api_Key: a-second-spelling\r\n"
)


@pytest.mark.parametrize(
    "headers",
    [
        f"X-API-KEY: {KEY}\r\n",
        f"x-aPI-kEY:   {KEY} \r\n{FORGED}",
        f"Connection: x-api-key, ibiswick-tenant\r\nX-Api-Key: {KEY}\r\n{FORGED}",
        f"{FORGED}X-Api-Key: {KEY}\r\nConnection: close, X-API-KEY\r\n",
    ],
)
def test_the_backend_server_gets_the_tenant_and_nothing_that_the_caller_forged(
    headers: str,
) -> None:
    """Guard against a forged tenant, and against a credential behind the first node."""

    async def scenario(mesh: DirectMesh) -> list[dict[str, str]]:
        for node in range(3):
            path = f"/book/{node}/ok"
            client = await mesh.call(node, path, f"a{node}", method="POST", headers=headers)
            assert client.status == 200
        return [seen for backend in mesh.backends for seen in backend.seen]

    seen, lines = run_mesh(scenario)
    assert [request["ibiswick-tenant"] for request in seen] == ["acme"] * 3
    allowed = {"ibiswick-tenant", "ibiswick-attempt-id", "ibiswick-deadline-ms"}
    allowed |= {"ibiswick-caller-service", "ibiswick-expected-instance"}
    for request in seen:
        assert {name for name in request if name.startswith("ibiswick")} == allowed
        assert not {"x-api-key", "x_api_key"} & set(request)
    assert KEY not in lines + str(seen)


def test_a_credential_on_an_anonymous_route_identifies_its_tenant_and_is_removed() -> None:
    """Guard against a credential that an anonymous route passes on, or a wrong one refused."""
    listeners = build_configuration()["listeners"]
    listeners[0]["rules"][0]["allow_anonymous"] = True

    async def scenario(mesh: DirectMesh) -> Any:
        mesh.write_configuration("0000000e", tenants=ENTRIES, listeners=listeners)
        await asyncio.sleep(1)
        for number, key in enumerate((KEY, "wrong-key", "")):
            headers = f"X-Api-Key: {key}\r\nIbiswick-Tenant: rival\r\n"
            await mesh.call(0, "/book/1/ok", f"a{number}", method="POST", headers=headers)
        seen = [seen for backend in mesh.backends for seen in backend.seen]
        return seen, read_counts(mesh, "ibiswick_callers_total")

    (seen, counts), _ = run_mesh(scenario)
    tenants = {request["ibiswick-attempt-id"]: request.get("ibiswick-tenant") for request in seen}
    assert tenants == {"a0": "acme", "a1": None, "a2": None}
    assert not [request for request in seen if "x-api-key" in request]
    assert counts == {"tenant": 1, "anonymous": 2}


def test_a_removed_credential_stops_a_request_that_still_waits() -> None:
    """Guard against an identity that outlives its credential in a pipeline or behind a body."""

    async def scenario(mesh: DirectMesh) -> tuple[int, int, int]:
        first = build_request("/read/1/slow", "a1", headers=f"X-Api-Key: {KEY}\r\n")
        second = build_request(
            "/book/1/ok", "a2", method="POST", headers=f"X-Api-Key: {KEY}\r\n", body=b"x"
        )
        for backend in mesh.backends:
            backend.work_s = 0.9
        client = await mesh.connect(mesh.nodes[0].settings.caller.port)
        late = await mesh.connect(mesh.nodes[0].settings.caller.port)
        assert client is not None
        assert late is not None
        client.transport.write(first + second)
        late.transport.write(second.replace(b"a2", b"a3")[:-1])
        await asyncio.sleep(0.1)
        mesh.write_configuration("0000000e", tenants=ENTRIES[1:])
        await asyncio.sleep(0.5)
        late.transport.write(b"x")
        await late.done
        await asyncio.sleep(2)
        return mesh.count_runs("a2"), mesh.count_runs("a3"), late.status

    (pipelined, late_runs, status), _ = run_mesh(scenario)
    assert (pipelined, late_runs, status) == (0, 0, 401)


def test_thousands_of_wrong_credentials_cause_one_line_a_second() -> None:
    """Guard against a flood of log lines, and against a missing count of its size."""

    async def scenario(mesh: DirectMesh) -> int:
        client = await mesh.connect(mesh.nodes[0].settings.caller.port)
        assert client is not None
        wrong = build_request("/read/1/ok", "a1", headers="X-Api-Key: wrong\r\n")
        for _ in range(20):
            client.transport.write(wrong * 100)
            await asyncio.sleep(0.1)
        return read_counts(mesh, "ibiswick_callers_total")["refused"]

    count, lines = run_mesh(scenario)
    assert count >= 1900
    assert 1 <= lines.count("event=callers-refused") <= 3
    assert "event=call-refused" not in lines


def test_the_port_between_nodes_accepts_no_forged_tenant() -> None:
    """Guard against a process that names a tenant without knowing all of its credentials."""

    async def scenario(mesh: DirectMesh) -> list[tuple[int, str | None]]:
        partial = ProofTable()
        partial.update((build_tenant("acme", KEY),), now=0.0)
        complete = ProofTable()
        complete.update((build_tenant("acme", KEY, "second-key-of-acme"),), now=0.0)
        asked = [(partial, CALL_ID), (complete, b"other-call"), (complete, CALL_ID)]
        proofs = [table.prove("acme", call_id, now=9.0).decode() for table, call_id in asked]
        found = []
        for proof in ("", *proofs):
            client = await mesh.connect(mesh.nodes[0].settings.peer.port)
            assert client is not None
            lines = (
                f"ibiswick-call: {CALL_ID.decode()}\r\nibiswick-workspace:\r\n"
                "ibiswick-service: counter\r\nibiswick-tenant: acme\r\n"
                f"ibiswick-tenant-proof: {proof}\r\n"
            )
            client.transport.write(build_request("/read/1/ok", "a1", headers=lines))
            await client.done
            found.append((client.status, client.headers.get("ibiswick-outcome")))
        return found

    found, _ = run_mesh(scenario)
    assert found == [(503, "not-run")] * 3 + [(200, None)]


def test_nodes_with_different_versions_accept_each_other_while_a_change_spreads() -> None:
    """Guard against refused calls of a tenant whose credentials have just changed.

    Nodes apply a change up to 2.5 s apart, and may skip a version. Two changes of the same
    credentials within 2.5 s are covered while nodes are at most 2.5 s less that time apart.
    """
    versions = [
        (build_tenant("acme", "a"),),
        (build_tenant("acme", "a", "b"),),
        (build_tenant("acme", "b"),),
    ]
    for between_s, lag_s in ((0.5, 0.0), (0.5, HANDOVER_S - 0.5), (0.0, 1.0), (0.0, HANDOVER_S)):
        early, late = ProofTable(), ProofTable()
        early.update(versions[0], now=0.0)
        late.update(versions[0], now=0.0)
        second_at = 10.0 + between_s
        pending = [(10.0, early, 1), (second_at, early, 2), (second_at + lag_s, late, 2)]
        for tenth in range(80, 200):
            now = tenth / 10
            while pending and pending[0][0] <= now:
                _, table, version = pending.pop(0)
                table.update(versions[version], now=now)
            for sender, receiver in ((early, late), (late, early)):
                proof = sender.prove("acme", CALL_ID, now=now)
                assert receiver.check(b"acme", CALL_ID, proof, now=now), (lag_s, now)


def test_an_earlier_key_expires() -> None:
    """Guard against a removed tenant that can be named for good, and against its memory."""
    table = ProofTable()
    table.update((build_tenant("acme"), build_tenant("idle")), now=0.0)
    proof = table.prove("acme", CALL_ID, now=1.0)
    table.update((build_tenant("idle"),), now=10.0)
    assert table.check(b"acme", CALL_ID, proof, now=9.9 + ACCEPT_EARLIER_S)
    assert not table.check(b"acme", CALL_ID, proof, now=10.0 + ACCEPT_EARLIER_S)
    assert table.prove("acme", CALL_ID, now=10.0 + HANDOVER_S) == b""
    table.update((build_tenant("idle", "x"),), now=20.0)
    assert list(table._earlier) == ["idle"]


def test_a_tenant_without_credentials_cannot_be_named() -> None:
    """Guard against a key that anybody can derive, because nothing secret is in it."""
    gate = TenantGate(limiter=NullLimiter())
    tenant = build_tenant("acme", credentials=[])
    gate.update((tenant,), now=0.0)
    forged = ProofTable()
    forged._tenants = {"acme": tenant}
    proof = forged.prove("acme", CALL_ID, now=0.0)
    assert not gate.check_proof(b"acme", CALL_ID, proof, now=0.0)
    assert not gate.identify([b""], build_route()).is_known


# Configurations with a credential where an operator may have put it by mistake.
MALFORMED_TENANTS: list[Any] = [
    KEY,
    {"acme": {"api_keys": [KEY]}},
    [KEY],
    [[KEY]],
    [{"name": "acme", "api_keys": KEY}],
    [{"name": "acme", "api_keys": {"first": KEY}}],
    [{"name": "acme", "api_keys": [{"key": KEY}]}],
    [{"name": {"api_keys": [KEY]}, "api_keys": []}],
    [{"name": f"{KEY}\r\n", "api_keys": []}],
    [build_tenant_entry("acme", KEY), build_tenant_entry("acme", "other")],
    [build_tenant_entry("acme", "other", priority=KEY)],
    [build_tenant_entry("acme", "other", rate_per_s=KEY)],
    [build_tenant_entry("acme", "other", rate_per_s=5, burst=[KEY])],
]


@pytest.mark.parametrize("tenants", MALFORMED_TENANTS)
def test_a_malformed_configuration_does_not_quote_a_credential(tenants: Any) -> None:
    """Guard against a credential in the log line of a refused configuration."""
    with pytest.raises(InvalidInputError) as caught:
        decode_configuration(build_configuration() | {"tenants": tenants})
    assert KEY not in str(caught.value) + repr(caught.value.problems)
    with pytest.raises(InvalidInputError) as caught:
        decode_configuration(build_configuration() | {"clusters": {"tenants": tenants}})
    assert KEY not in str(caught.value)


def test_many_tenants_make_a_configuration_large() -> None:
    """Guard against every node reading 5,000 tenants from the object API itself."""
    for count, is_large in ((80, False), (5000, True)):
        holder = ConfigurationHolder(board=Blackboard(), decode=decode_configuration)
        entries = [build_tenant_entry(f"t{number}") for number in range(count)]
        holder.apply_document(build_configuration() | {"tenants": entries}, source="test")
        assert holder.is_large is is_large
