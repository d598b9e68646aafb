"""Check tenants that templates and workspaces define, and calls of their callers."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from builders import build_digest, build_tenant
from call_network import VirtualLoop, request, run_virtual
from ibiswick._internal.administration.audits import AUDIT_PREFIX
from ibiswick._internal.commands.ctl_support import ExitCode
from ibiswick._internal.configuration.compiler import compile_workspace
from ibiswick._internal.configuration.plans import compare_values
from ibiswick._internal.configuration.snapshots import build_snapshot, encode_snapshot
from ibiswick._internal.shared.errors import InvalidInputError
from test_call_promises import ROUTES, BackendServer, Mesh, Plan
from test_ctl import build_workspace, harness  # noqa: F401

KEY = "0123456789abcdef0123456789abcdef"
ACME = {"credentials": [build_digest(KEY)], "priority": 1, "rate": 50, "burst": 20}


def compile_tenants(workspace: Any, templates: Any = None) -> Any:
    """Compile a workspace, and return its tenants and routes."""
    compiled = compile_workspace(name="w", workspace=workspace, templates=templates or {})
    return compiled.tenants, compiled.routes


def test_templates_and_workspaces_define_tenants() -> None:
    """Guard against a tenant or an anonymous route that is lost between template and snapshot."""
    templates = {
        "base": {"tenants": {"acme": ACME, "idle": {"credentials": []}}},
        "child": {
            "extends": ["base"],
            "tenants": {"acme": {"priority": 3}},
            "services": {"s": {}},
            "routes": [
                {"id": "open", "prefix": "/o", "service": "s", "anonymous": True},
                {"id": "closed", "prefix": "/c", "service": "s", "anonymous": False},
            ],
        },
    }
    tenants, routes = compile_tenants({"templates": [{"template": "child"}]}, templates)
    assert tenants == (
        build_tenant("acme", KEY, priority=3, rate=50, burst=20),
        build_tenant("idle", credentials=[]),
    )
    assert [route.get("anonymous") for route in routes] == [None, True]
    assert "anonymous" not in routes[0]


def test_a_difference_names_the_tenant() -> None:
    """Guard against a removed tenant that shows as a change of all tenants after it."""
    before, after = (
        build_snapshot(workspace="w", generation=1, services={}, routes=(), tenants=tenants)
        for tenants in ([build_tenant("a"), build_tenant("b")], [build_tenant("b")])
    )
    (found,) = compare_values("w", encode_snapshot(before), encode_snapshot(after))
    assert (found.path, found.after) == ("$.tenants[a]", None)


# Workspaces with a credential where an operator may have put it by mistake.
MISTAKES = [
    {"acme": {"credentials": [KEY]}},
    {"acme": {"credentials": KEY}},
    {"acme": {"credentials": [{"key": KEY}]}},
    {"acme": {"credentials": ["blake2b:" + KEY + KEY]}},
    {"acme": KEY},
    {"acme": [KEY]},
    {"acme": {KEY: 1}},
    {"acme": {"credentials": [], "priority": KEY}},
    {f"not a name {KEY}": ACME},
    [KEY],
    KEY,
    {"acme": ACME, "other": ACME},
    {"acme": {"credentials": [], "burst": 3}},
]


@pytest.mark.parametrize("tenants", MISTAKES)
async def test_no_command_and_no_audit_entry_quotes_a_credential(
    harness: Any, tenants: Any  # noqa: F811
) -> None:
    """Guard against a credential that is kept because it was written in place of its digest."""
    harness.write("workspaces/ege", {**build_workspace(), "tenants": tenants})
    for command in (("validate",), ("apply", "--no-wait")):
        code = await harness.run(command[0], harness.directory, *command[1:])
        assert code == ExitCode.REFUSED
        assert KEY not in harness.output.out + harness.output.err
    await harness.run("diff", harness.directory)
    assert KEY not in harness.output.out + harness.output.err
    entries = await harness.platform.list(AUDIT_PREFIX, limit=10)
    assert KEY not in json.dumps([item.value for item in entries.objects])
    template = {"tenants": tenants}
    with pytest.raises(InvalidInputError) as caught:
        compile_tenants({"templates": [{"template": "t"}]}, {"t": template})
    assert KEY not in str(caught.value) + repr(caught.value.problems)


async def test_a_change_of_tenants_is_audited_without_credentials(
    harness: Any, monkeypatch: pytest.MonkeyPatch  # noqa: F811
) -> None:
    """Guard against a way from a credential to the snapshot that shows the credential."""
    stdin = io.TextIOWrapper(io.BytesIO(KEY.encode() + b"\n"))
    monkeypatch.setattr("sys.stdin", stdin)
    assert await harness.run("digest") == ExitCode.OK
    digest = harness.output.out.strip()
    assert digest == build_digest(KEY)
    tenants = {"acme": {"credentials": [digest]}}
    harness.write("workspaces/ege", {**build_workspace(), "tenants": tenants})
    assert (await harness.apply("--no-wait"))[0] == ExitCode.OK
    code, result = await harness.run_json("audit")
    assert (code, result["items"][0]["targets"]) == (ExitCode.OK, ["workspace/ege"])
    stored = [item.value for item in (await harness.platform.list("", limit=100)).objects]
    assert build_tenant("acme", KEY) in [
        tenant for value in stored for tenant in value.get("tenants", ()) if "workspace" in value
    ]
    assert KEY not in json.dumps(stored)


@pytest.mark.parametrize("line", [b"", b"\n", b"a b\xc3\xa9", b"one\ntwo\n", b" x", b"x" * 257])
async def test_only_a_credential_that_callers_can_send_has_a_digest(
    harness: Any, monkeypatch: pytest.MonkeyPatch, line: bytes  # noqa: F811
) -> None:
    """Guard against the digest of a credential that would always be refused."""
    monkeypatch.setattr("sys.stdin", io.TextIOWrapper(io.BytesIO(line)))
    assert await harness.run("digest") == ExitCode.REFUSED
    assert harness.output.out == ""


def test_nodes_identify_callers_by_the_header_of_this_mode(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against tenants that a control tree distributes and no node asks for."""
    seen: list[tuple[bytes, bytes]] = []

    def record(server: BackendServer, name: bytes, value: bytes) -> None:
        seen.append((name.lower(), value))

    monkeypatch.setattr(BackendServer, "on_header", record, raising=False)

    async def main(loop: VirtualLoop) -> Any:
        plans = [Plan(0, 0, "status", ("answer",))] * 12
        mesh = Mesh(loop, plans)
        await mesh.start()
        for board in mesh.boards:
            before: Any = board.snapshot.value
            routes = (ROUTES[0] | {"anonymous": True}, *ROUTES[1:])
            tenants = (build_tenant("acme", KEY, priority=4, rate=9),)
            board.snapshot.set(before._replace(routes=routes, tenants=tenants))
        statuses = []
        cases = [(b"/deposit/%d", KEY), (b"/deposit/%d", "wrong"), (b"/status/%d", "wrong")]
        for node in range(3):
            for number, (path, key) in enumerate(cases):
                head = b"POST " + path % (3 * node + number) + b" HTTP/1.1\r\nhost: shop\r\n"
                lines = f"Ibiswick-Credential: {key}\r\nIbiswick-Tenant: forged\r\n"
                lines += "Content-Length: 0\r\nConnection: ibiswick-credential\r\n\r\n"
                port = mesh.nodes[node].caller_port
                statuses.append((await request(loop, port, head + lines.encode())).status)
        return statuses

    assert run_virtual(main) == [200, 401, 200] * 3
    assert [value for name, value in seen if name == b"ibiswick-tenant"] == [b"acme"] * 3
    assert not [name for name, _ in seen if name == b"ibiswick-credential"]
    assert not [value for _, value in seen if KEY.encode() in value]
