"""Resolve templates that extend others, and render them with parameters."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ..shared.errors import InvalidInputError, Problem
from .schemas import build_source_path, shorten_repr

Document = Mapping[str, Any]
Documents = Mapping[str, Document]

_PLACEHOLDER = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)\}")
_MALFORMED_PLACEHOLDER = re.compile(r"\$\{(?![A-Za-z_][A-Za-z0-9_]*\})")
_TYPES: dict[str, tuple[type, ...]] = {
    "string": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
}


class Definition(NamedTuple):
    """Hold one service, route or tenant and the place of its last definition."""

    source: str
    path: str
    name: str
    value: dict[str, Any]


class Template(NamedTuple):
    """Hold a template merged with all templates that it extends.

    Services and tenants are keyed by name and routes by id, all before rendering.
    """

    name: str
    parameters: dict[str, dict[str, Any]]
    services: dict[str, Definition]
    routes: dict[str, Definition]
    tenants: dict[str, Definition]


class RenderedDefinitions(NamedTuple):
    """Hold the rendered definitions of one use of a template, or of a whole workspace."""

    services: list[Definition]
    routes: list[Definition]
    tenants: list[Definition]


def resolve_template(name: str, templates: Documents) -> Template:
    """Merge a template with all templates that it extends; raise InvalidInputError.

    Later entries of `extends` override earlier ones, and the template itself overrides all of them.
    Definitions of the same service, route or tenant are merged field by field.
    """
    order, problems = _order_ancestors(name, templates)
    if problems:
        raise InvalidInputError(problems)
    merged = Template(name, {}, {}, {}, {})
    for ancestor in order:
        problems += _merge_template(merged, ancestor, templates[ancestor])
    problems += _check_placeholders(merged)
    if problems:
        raise InvalidInputError(problems)
    return merged


def list_ancestors(name: str, templates: Documents) -> set[str]:
    """Return the names of a template and of all that it extends, including missing ones."""
    found: set[str] = set()
    pending = [name]
    while pending:
        current = pending.pop()
        if current not in found:
            found.add(current)
            pending += templates.get(current, {}).get("extends", ())
    return found


def bind_parameters(
    template: Template, given: Mapping[str, Any], *, source: str, path: str
) -> dict[str, Any]:
    """Return the value of every parameter; raise InvalidInputError."""
    problems = []
    values = {}
    for name in sorted(given.keys() - template.parameters.keys()):
        known = ", ".join(sorted(template.parameters)) or "none"
        problems.append(
            Problem(source, f"{path}.{name}", f"a parameter of {template.name} ({known})", name)
        )
    for name, parameter in template.parameters.items():
        value = given.get(name, parameter.get("default"))
        if value is None:
            expected = f"a value of type {parameter['type']} for parameter {name}"
            problems.append(Problem(source, path, expected, "no value and no default"))
        elif not _has_type(value, parameter["type"]):
            problems.append(
                Problem(source, f"{path}.{name}", parameter["type"], shorten_repr(value))
            )
        values[name] = value
    if problems:
        raise InvalidInputError(problems)
    return values


def render_template(template: Template, values: Mapping[str, Any]) -> RenderedDefinitions:
    """Substitute the parameters; every placeholder must have a value.

    >>> item = Definition("t", "$", "s-${n}", {"slots": "${n}"})
    >>> render_template(Template("t", {}, {"s": item}, {}, {}), {"n": 3}).services[0][2:]
    ('s-3', {'slots': 3})
    """
    return RenderedDefinitions(
        [_render_definition(item, values) for item in template.services.values()],
        [_render_definition(item, values) for item in template.routes.values()],
        list(template.tenants.values()),
    )


def _render_definition(item: Definition, values: Mapping[str, Any]) -> Definition:
    return item._replace(
        name=_render_text(item.name, values, keeps_type=False),
        value=_render_value(item.value, values),
    )


def _render_value(value: Any, values: Mapping[str, Any]) -> Any:
    if isinstance(value, str):
        return _render_text(value, values, keeps_type=True)
    if isinstance(value, list):
        return [_render_value(element, values) for element in value]
    if isinstance(value, dict):
        return {key: _render_value(element, values) for key, element in value.items()}
    return value


def _render_text(text: str, values: Mapping[str, Any], *, keeps_type: bool) -> Any:
    match = _PLACEHOLDER.fullmatch(text)
    if match and keeps_type:
        return values[match[1]]
    return _PLACEHOLDER.sub(lambda match: _format_value(values[match[1]]), text)


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _has_type(value: Any, kind: str) -> bool:
    # A Python bool is an int, but a boolean is neither an integer nor a number in JSON.
    return isinstance(value, _TYPES[kind]) and isinstance(value, bool) == (kind == "boolean")


def _order_ancestors(name: str, templates: Documents) -> tuple[list[str], list[Problem]]:
    """Return a template and its ancestors, each once and before those that extend it."""
    order: list[str] = []
    problems: list[Problem] = []
    # Not recursive, because a chain of templates may exceed Python's recursion limit.
    stack: list[str] = [name]
    pending: list[Iterator[tuple[int, str]]] = [_list_extends(name, templates)]
    while stack:
        index, parent = next(pending[-1], (0, None))
        if parent is None:
            order.append(stack.pop())
            pending.pop()
            continue
        problem = _check_parent(parent, index, stack, templates)
        if problem is not None:
            problems.append(problem)
        elif parent not in order:
            stack.append(parent)
            pending.append(_list_extends(parent, templates))
    return order, problems


def _list_extends(name: str, templates: Documents) -> Iterator[tuple[int, str]]:
    return iter(enumerate(templates[name].get("extends", ())))


def _check_parent(
    parent: str, index: int, stack: list[str], templates: Documents
) -> Problem | None:
    source, path = build_source_path("template", stack[-1]), f"$.extends[{index}]"
    if parent in stack:
        cycle = " > ".join([*stack[stack.index(parent) :], parent])
        return Problem(source, path, "templates without a cycle", cycle)
    if parent not in templates:
        return Problem(source, path, "the name of a template", parent)
    return None


def _merge_template(merged: Template, name: str, document: Document) -> list[Problem]:
    source = build_source_path("template", name)
    problems = _merge_parameters(merged, source, document.get("parameters", {}))
    for service, policy in document.get("services", {}).items():
        item = Definition(source, f"$.services.{service}", service, policy)
        _merge_definition(merged.services, service, item)
    for tenant, fields in document.get("tenants", {}).items():
        item = Definition(source, f"$.tenants.{tenant}", tenant, fields)
        _merge_definition(merged.tenants, tenant, item)
    seen = set()
    for index, route in enumerate(document.get("routes", ())):
        path = f"$.routes[{index}]"
        if route["id"] in seen:
            problems.append(Problem(source, f"{path}.id", "a route id used once", route["id"]))
        seen.add(route["id"])
        _merge_definition(merged.routes, route["id"], Definition(source, path, route["id"], route))
    return problems


def _merge_parameters(
    merged: Template, source: str, parameters: Mapping[str, dict[str, Any]]
) -> list[Problem]:
    problems = []
    for name, parameter in parameters.items():
        path = f"$.parameters.{name}"
        inherited = merged.parameters.get(name, parameter)
        if inherited["type"] != parameter["type"]:
            expected = f"type {inherited['type']} as in the extended template"
            problems.append(Problem(source, f"{path}.type", expected, parameter["type"]))
        default = parameter.get("default")
        if default is not None and not _has_type(default, parameter["type"]):
            problems.append(
                Problem(source, f"{path}.default", parameter["type"], shorten_repr(default))
            )
        merged.parameters[name] = parameter
    return problems


def _merge_definition(items: dict[str, Definition], key: str, item: Definition) -> None:
    if key in items:
        item = item._replace(value={**items[key].value, **item.value})
    items[key] = item


def _check_placeholders(template: Template) -> list[Problem]:
    problems = []
    for item in (*template.services.values(), *template.routes.values()):
        for text in _list_texts([item.name, item.value]):
            unknown = set(_PLACEHOLDER.findall(text)) - template.parameters.keys()
            for name in sorted(unknown):
                expected = f"a parameter of template {template.name}"
                problems.append(Problem(item.source, item.path, expected, f"${{{name}}}"))
            if _MALFORMED_PLACEHOLDER.search(text):
                problems.append(Problem(item.source, item.path, "${parameter}", shorten_repr(text)))
    return list(dict.fromkeys(problems))


def _list_texts(value: Any) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, dict):
        yield from _list_texts(list(value.values()))
    elif isinstance(value, list):
        for element in value:
            yield from _list_texts(element)
