"""Test templates and the compiler, including with arbitrary documents."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from builders import build_digest
from ibiswick._internal.configuration.compiler import compile_workspace
from ibiswick._internal.configuration.snapshots import build_snapshot, check_snapshot
from ibiswick._internal.shared.errors import InvalidInputError, Problem

DEPLOYMENTS = Path(__file__).parent.parent / "deployments"
ROUTE = {"id": "r", "prefix": "/r", "service": "s"}


def list_problems(workspace: Any, templates: dict[str, Any]) -> tuple[Problem, ...]:
    """Return the errors of a workspace that must not compile."""
    with pytest.raises(InvalidInputError) as caught:
        compile_workspace(name="w", workspace=workspace, templates=templates)
    return caught.value.problems


@pytest.mark.parametrize("deployment", ["yorgan", "bakony"])
def test_deployments_compile(deployment: str) -> None:
    """Guard against deployments in this repository that the compiler refuses."""
    templates = {
        path.stem: json.loads(path.read_text())
        for path in (DEPLOYMENTS / deployment / "templates").glob("*.json")
    }
    workspace = json.loads((DEPLOYMENTS / deployment / f"workspaces/{deployment}.json").read_text())
    services, routes, _ = compile_workspace(
        name=deployment, workspace=workspace, templates=templates
    )
    check_snapshot(
        build_snapshot(workspace=deployment, generation=1, services=services, routes=routes)
    )
    by_id = {route["id"]: route for route in routes}
    assert len(by_id) == 4
    assert by_id["upload"]["kind"] == "upload"
    assert (by_id["lookup"]["hedge_ms"] is not None) == (deployment == "yorgan")


def test_parameters_keep_their_type_and_templates_merge() -> None:
    templates: dict[str, Any] = {
        "base": {
            "parameters": {"n": {"type": "integer"}, "name": {"type": "string", "default": "s"}},
            "services": {"${name}": {"slots": "${n}"}},
            "routes": [{"id": "${name}-r", "prefix": "/v${n}", "service": "${name}"}],
        },
        "child": {"extends": ["base"], "routes": [{"id": "${name}-r", "retries": 1}]},
    }
    workspace = {
        "templates": [
            {"template": "child", "parameters": {"n": 3}},
            {"template": "child", "parameters": {"n": 4, "name": "t"}},
        ]
    }
    services, routes, _ = compile_workspace(name="w", workspace=workspace, templates=templates)
    assert services["s"]["slots"] == 3
    assert [(route["id"], route["prefix"], route["retries"]) for route in routes] == [
        ("s-r", "/v3", 1),
        ("t-r", "/v4", 1),
    ]


def test_cycle_is_named() -> None:
    """Guard against endless recursion over templates that extend each other."""
    templates = {"a": {"extends": ["b"]}, "b": {"extends": ["c"]}, "c": {"extends": ["a"]}}
    problems = list_problems({"templates": [{"template": "a"}]}, templates)
    assert problems == (
        Problem("templates/c.json", "$.extends[0]", "templates without a cycle", "a > b > c > a"),
    )


def test_long_chain_of_templates_resolves() -> None:
    """Guard against a depth limit that depends on the depth of the call stack."""
    templates: dict[str, Any] = {f"t{n}": {"extends": [f"t{n + 1}"]} for n in range(3000)}
    templates["t3000"] = {"services": {"s": {}}}
    compiled = compile_workspace(
        name="w", workspace={"templates": [{"template": "t0"}]}, templates=templates
    )
    assert list(compiled.services) == ["s"]


def test_all_faults_are_reported_at_once() -> None:
    """Guard against errors in documents that are reported one per attempt."""
    templates = {
        "t": {"parameters": {"n": {"type": "integer"}}, "services": {"s": {"slots": "${n}"}}}
    }
    workspace = {
        "templates": [
            {"template": "t", "parameters": {"n": "six", "m": 1}},
            {"template": "absent"},
            {"template": "t", "parameters": {"n": 0}},
        ],
        "services": {"s": {"slots": 5}},
        "routes": [
            ROUTE,
            {**ROUTE, "service": "gone"},
            {**ROUTE, "id": "h", "prefix": "/h", "hedge_ms": 5},
        ],
    }
    assert {(problem.source, problem.path) for problem in list_problems(workspace, templates)} == {
        ("workspaces/w.json", "$.templates[0].parameters.n"),
        ("workspaces/w.json", "$.templates[0].parameters.m"),
        ("workspaces/w.json", "$.templates[1].template"),
        ("templates/t.json", "$.services.s.slots"),
        ("workspaces/w.json", "$.services.s"),
        ("workspaces/w.json", "$.routes[1].service"),
        ("workspaces/w.json", "$.routes[1].id"),
        ("workspaces/w.json", "$.routes[1]"),
        ("workspaces/w.json", "$.routes[2].hedge_ms"),
    }


@pytest.mark.parametrize(
    ("first", "second", "clash"),
    [
        ([], [], True),
        (["GET"], ["GET", "POST"], True),
        (["GET"], ["POST"], False),
        ([], ["GET"], True),
    ],
)
def test_routes_that_match_the_same_calls_clash(
    first: list[str], second: list[str], clash: bool
) -> None:
    """Guard against a choice of route that depends on the order of routes."""
    routes = [
        {**ROUTE, "id": "a", "methods": first},
        {**ROUTE, "id": "b", "prefix": "/r/", "methods": second},
    ]
    workspace = {"services": {"s": {}}, "routes": routes}
    if clash:
        (problem,) = list_problems(workspace, {})
        assert problem.path == "$.routes[1]"
    else:
        compile_workspace(name="w", workspace=workspace, templates={})


@pytest.mark.parametrize(
    ("document", "path"),
    [
        (None, "$"),
        ({"name": "other"}, "$.name"),
        ({"weight": 1}, "$"),
        ({"services": {"s": {"slots": 1.0}}}, "$.services.s.slots"),
        ({"services": {"s\n": {}}}, "$.services"),
        ({"routes": [{**ROUTE, "prefix": "r"}]}, "$.routes[0].prefix"),
        ({"routes": [{"id": "r"}]}, "$.routes[0]"),
        ({"description": "x" * 1_000_000}, "$"),
        ({"description": "\ud800"}, "$"),
        ({"templates": [{"template": "t", "parameters": {"x": [[[]]]}}]}, "$.templates[0]"),
    ],
)
def test_malformed_workspace_is_refused(document: Any, path: str) -> None:
    problems = list_problems(document, {})
    assert all(problem.source == "workspaces/w.json" for problem in problems)
    assert any(problem.path.startswith(path) for problem in problems)


def test_deeply_nested_document_is_refused() -> None:
    document: Any = []
    for _ in range(100_000):
        document = [document]
    (problem,) = list_problems({"templates": document}, {})
    assert problem.found == "values nested too deeply"


KEYS = st.sampled_from(
    [
        "name",
        "extends",
        "parameters",
        "services",
        "routes",
        "templates",
        "template",
        "id",
        "type",
        "default",
        "prefix",
        "service",
        "methods",
        "hedge_ms",
        "slots",
        "t",
        "u",
        "s",
    ]
)
TEXTS = st.sampled_from(["t", "u", "s", "${s}", "${", "x${t}y", "/r", "integer", "GET", "\x00"])
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXTS | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=12,
)
FIELD = st.integers(-1, 3) | TEXTS | st.booleans()
NEARLY_ROUTE = st.fixed_dictionaries(
    {"id": TEXTS, "prefix": st.just("/r") | TEXTS, "service": TEXTS},
    optional={"methods": st.lists(TEXTS, max_size=2), "hedge_ms": FIELD, "retries": FIELD},
)
NEARLY_TENANTS = st.dictionaries(
    TEXTS,
    st.fixed_dictionaries(
        {},
        optional={
            "credentials": st.lists(st.sampled_from([build_digest("a"), "a"]), max_size=2),
            "rate": FIELD,
            "burst": FIELD,
        },
    ),
    max_size=2,
)
NEARLY_TEMPLATE = st.fixed_dictionaries(
    {},
    optional={
        "extends": st.lists(st.sampled_from(["t", "u", "v"]), max_size=2),
        "parameters": st.dictionaries(
            st.sampled_from(["s", "t"]),
            st.fixed_dictionaries(
                {"type": st.sampled_from(["string", "integer", "number", "boolean"])},
                optional={"default": FIELD},
            ),
            max_size=2,
        ),
        "services": st.dictionaries(TEXTS, st.fixed_dictionaries({}, optional={"slots": FIELD})),
        "routes": st.lists(NEARLY_ROUTE, max_size=3) | JSON,
        "tenants": NEARLY_TENANTS | JSON,
    },
)
NEARLY_WORKSPACE = st.fixed_dictionaries(
    {
        "templates": st.lists(
            st.fixed_dictionaries(
                {"template": st.sampled_from(["t", "u", "v"])},
                optional={"parameters": st.dictionaries(st.sampled_from(["s", "t"]), FIELD)},
            ),
            max_size=3,
        )
    },
    optional={
        "services": st.just({"s": {}}) | JSON,
        "routes": st.lists(NEARLY_ROUTE, max_size=2),
        "tenants": NEARLY_TENANTS,
    },
)


def check_problems(problems: tuple[Problem, ...]) -> None:
    """Check that every error names its place in one of the documents."""
    assert problems
    for problem in problems:
        assert problem.source in {"workspaces/w.json", "templates/t.json", "templates/u.json"}
        assert problem.path.startswith("$")


@given(
    workspace=NEARLY_WORKSPACE | JSON,
    templates=st.fixed_dictionaries({"t": NEARLY_TEMPLATE | JSON, "u": NEARLY_TEMPLATE}),
)
def test_any_document_compiles_or_gives_problems(workspace: Any, templates: Any) -> None:
    """Guard against an unhandled exception, and against a result that a node would refuse."""
    try:
        services, routes, tenants = compile_workspace(
            name="w", workspace=workspace, templates=templates
        )
    except InvalidInputError as error:
        check_problems(error.problems)
        return
    check_snapshot(
        build_snapshot(
            workspace="w", generation=1, services=services, routes=routes, tenants=tenants
        )
    )
