"""Compile a workspace and its templates into services, routes and tenants."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from ..shared.errors import InvalidInputError, Problem
from ..shared.records import Route, ServicePolicy, Tenant
from .schemas import CREDENTIAL_PREFIX, build_source_path, check_document, check_value
from .templates import (
    Definition,
    Document,
    Documents,
    RenderedDefinitions,
    Template,
    bind_parameters,
    list_ancestors,
    render_template,
    resolve_template,
)

SERVICE_DEFAULTS = ServicePolicy(
    preference="local-first", slots=6, connections=130, queue_ms=50, slow_start_ms=5000
)
ROUTE_DEFAULTS: dict[str, Any] = {
    "host": "*",
    "methods": [],
    "idempotent": False,
    "kind": "call",
    "deadline_ms": 1000,
    "retries": 2,
    "hedge_ms": None,
}
# Limits the work for a workspace that uses a large template many times.
MAX_ROUTES = 5000


class CompiledWorkspace(NamedTuple):
    """Hold the services, routes and tenants of one workspace, sorted by name or id."""

    services: dict[str, ServicePolicy]
    routes: tuple[Route, ...]
    tenants: tuple[Tenant, ...] = ()


def compile_workspace(
    *, name: str, workspace: Any, templates: Mapping[str, Any]
) -> CompiledWorkspace:
    """Check and compile one workspace; raise InvalidInputError with all errors.

    `templates` maps the name of every template of the mesh to its document.
    """
    problems = check_document("workspace", name, workspace)
    if not problems:
        for use in workspace.get("templates", ()):
            problems += _check_template_schemas(use["template"], templates)
    if problems:
        raise InvalidInputError(list(dict.fromkeys(problems)))
    return compile_without_schema_check(name=name, workspace=workspace, templates=templates)


def compile_without_schema_check(
    *, name: str, workspace: Document, templates: Documents
) -> CompiledWorkspace:
    """Compile one workspace whose documents are known to match the schemas.

    Raises InvalidInputError.
    """
    problems: list[Problem] = []
    services, routes, tenants = _expand(name, workspace, templates, problems)
    compiled_services = _collect_services(services, problems)
    compiled_routes = _collect_routes(routes, compiled_services, problems)
    compiled_tenants = _collect_tenants(tenants, problems)
    if problems:
        raise InvalidInputError(list(dict.fromkeys(problems)))
    return CompiledWorkspace(
        {key: compiled_services[key] for key in sorted(compiled_services)},
        tuple(compiled_routes[key] for key in sorted(compiled_routes)),
        tuple(compiled_tenants[key] for key in sorted(compiled_tenants)),
    )


def check_template(name: str, templates: Documents) -> list[Problem]:
    """Return all errors in a template, whether or not a workspace uses it."""
    problems = check_document("template", name, templates[name])
    if problems:
        return problems
    try:
        resolve_template(name, templates)
    except InvalidInputError as error:
        return list(error.problems)
    return []


def list_used_templates(workspace: Document, templates: Documents) -> set[str]:
    """Return the names of the templates that a workspace uses, directly or by `extends`."""
    used: set[str] = set()
    for use in workspace.get("templates", ()):
        used |= list_ancestors(use["template"], templates)
    return used


def _check_template_schemas(name: str, templates: Mapping[str, Any]) -> list[Problem]:
    """Check a template, and all those that it extends, against the schema."""
    problems: list[Problem] = []
    seen: set[str] = set()
    pending = [name]
    while pending:
        current = pending.pop()
        if current in seen or current not in templates:
            continue
        seen.add(current)
        found_problems = check_document("template", current, templates[current])
        problems += found_problems
        if not found_problems:
            pending += templates[current].get("extends", ())
    return problems


def _expand(
    name: str, workspace: Document, templates: Documents, problems: list[Problem]
) -> RenderedDefinitions:
    """Render every use of a template and add the workspace's own definitions."""
    source = build_source_path("workspace", name)
    expanded = RenderedDefinitions([], [], [])
    resolved: dict[str, Template | None] = {}
    for index, use in enumerate(workspace.get("templates", ())):
        path = f"$.templates[{index}]"
        if use["template"] not in templates:
            expected = "the name of a template"
            problems.append(Problem(source, f"{path}.template", expected, use["template"]))
            continue
        template = _resolve_once(use["template"], templates, resolved, problems)
        if template is None:
            continue
        try:
            values = bind_parameters(
                template, use.get("parameters", {}), source=source, path=f"{path}.parameters"
            )
        except InvalidInputError as error:
            problems += error.problems
            continue
        rendered = render_template(template, values)
        expanded.services.extend(rendered.services)
        expanded.routes.extend(rendered.routes)
        expanded.tenants.extend(rendered.tenants)
        if max(map(len, expanded)) > MAX_ROUTES:
            expected = f"at most {MAX_ROUTES} services, routes or tenants"
            problems.append(Problem(source, path, expected, "more"))
            return RenderedDefinitions([], [], [])
    expanded.services.extend(
        Definition(source, f"$.services.{key}", key, policy)
        for key, policy in workspace.get("services", {}).items()
    )
    expanded.routes.extend(
        Definition(source, f"$.routes[{index}]", route["id"], route)
        for index, route in enumerate(workspace.get("routes", ()))
    )
    expanded.tenants.extend(
        Definition(source, f"$.tenants.{key}", key, fields)
        for key, fields in workspace.get("tenants", {}).items()
    )
    return expanded


def _resolve_once(
    name: str,
    templates: Documents,
    resolved: dict[str, Template | None],
    problems: list[Problem],
) -> Template | None:
    if name not in resolved:
        try:
            resolved[name] = resolve_template(name, templates)
        except InvalidInputError as error:
            problems += error.problems
            resolved[name] = None
    return resolved[name]


def _collect_services(
    items: Iterable[Definition], problems: list[Problem]
) -> dict[str, ServicePolicy]:
    services: dict[str, ServicePolicy] = {}
    for item in items:
        policy: Any = {**SERVICE_DEFAULTS, **item.value}
        problems += check_value("service", policy, source=item.source, path=item.path)
        problems += check_value("name", item.name, source=item.source, path=item.path)
        # Several templates may define the same service, but only with equal policies.
        if services.setdefault(item.name, policy) != policy:
            expected = f"one definition of service {item.name}"
            problems.append(Problem(item.source, item.path, expected, "another one that differs"))
    return services


def _collect_routes(
    items: Iterable[Definition],
    services: dict[str, ServicePolicy],
    problems: list[Problem],
) -> dict[str, Route]:
    routes: dict[str, Route] = {}
    routes_by_match: dict[tuple[str, str], list[Route]] = {}
    for item in items:
        route: Any = {**ROUTE_DEFAULTS, **item.value}
        found_problems = check_value("route", route, source=item.source, path=item.path)
        if found_problems:
            problems += found_problems
            continue
        route["methods"] = sorted(route["methods"])
        if not route.get("anonymous"):
            # Routes keep the digests that they had before this field.
            route.pop("anonymous", None)
        problems += _check_route(item, route, services)
        if routes.setdefault(route["id"], route) is not route:
            path = f"{item.path}.id"
            problems.append(Problem(item.source, path, "a route id used once", route["id"]))
        # Routes match whole path segments, so a trailing slash makes no difference.
        others = routes_by_match.setdefault((route["host"], route["prefix"].rstrip("/")), [])
        problems += _check_overlap(item, route, others)
        others.append(route)
    return routes


def _collect_tenants(items: Iterable[Definition], problems: list[Problem]) -> dict[str, Tenant]:
    tenants: dict[str, Tenant] = {}
    names_by_digest: dict[str, str] = {}
    for item in items:
        found_problems = check_value("tenant", item.value, source=item.source, path=item.path)
        if "burst" in item.value and "rate" not in item.value:
            found_problems.append(Problem(item.source, item.path, "a rate for the burst", "none"))
        if found_problems:
            problems += found_problems
            continue
        tenant: Any = {"name": item.name, **item.value}
        tenant["credentials"] = sorted(
            digest.removeprefix(CREDENTIAL_PREFIX) for digest in item.value["credentials"]
        )
        # Several templates may define the same tenant, but only equally.
        if tenants.setdefault(item.name, tenant) != tenant:
            expected = f"one definition of tenant {item.name}"
            problems.append(Problem(item.source, item.path, expected, "another one that differs"))
        for digest in tenant["credentials"]:
            other = names_by_digest.setdefault(digest, item.name)
            if other != item.name:
                expected = "credentials of one tenant only"
                problems.append(Problem(item.source, item.path, expected, f"one of {other}"))
    return tenants


def _check_route(
    item: Definition, route: Route, services: dict[str, ServicePolicy]
) -> list[Problem]:
    problems = []
    if route["service"] not in services:
        known = ", ".join(sorted(services)[:10]) or "none"
        expected = f"a service of the workspace ({known})"
        problems.append(Problem(item.source, f"{item.path}.service", expected, route["service"]))
    if route["hedge_ms"] is not None and not (route["idempotent"] and route["kind"] == "call"):
        expected = "no hedge delay, because only idempotent calls may be sent twice"
        problems.append(
            Problem(item.source, f"{item.path}.hedge_ms", expected, str(route["hedge_ms"]))
        )
    return problems


def _check_overlap(item: Definition, route: Route, others: Iterable[Route]) -> list[Problem]:
    """Report a route that matches the same calls as another, so that their order would decide."""
    for other in others:
        all_methods = not route["methods"] or not other["methods"]
        if all_methods or set(route["methods"]) & set(other["methods"]):
            place = f"{route['host']}{route['prefix']}"
            expected = f"one route for each method of {place}"
            return [Problem(item.source, item.path, expected, f"also route {other['id']}")]
    return []
