"""Check the shape of templates, workspaces and rendered services and routes."""

from __future__ import annotations

import functools
import re
from typing import Any

import jsonschema
import msgspec

from ..shared.errors import Problem
from ..shared.objectapi import MAX_VALUE_BYTES

# jsonschema searches for a pattern, and "$" matches before a final line feed as well, hence \Z.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
PARAMETER_PATTERN = r"^[A-Za-z_][A-Za-z0-9_]{0,62}\Z"
_HOST_PATTERN = r"^(\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)\Z"
_PREFIX_PATTERN = r"^/[!-~]{0,1023}\Z"
_METHOD_PATTERN = r"^[A-Z]{1,32}\Z"
_PLACEHOLDER_PATTERN = r"\$\{"

MAX_TEXT = 4096
MAX_USES = 1000
MAX_MILLISECONDS = 24 * 60 * 60 * 1000
# A call known not to have run is sent at most twice more, see docs/design.md, "Outbound".
MAX_RETRIES = 2
_MAX_FOUND = 80
# Checking one route takes about 0.2 ms, and a change of a template checks the routes of all
# workspaces again, most of them with the same result. Only small values are worth their memory.
CACHED_CHECKS = 8192
MAX_CACHED_BYTES = 1024

_RULE_NAMES = {
    "minimum": "at least",
    "maximum": "at most",
    "pattern": "a string that matches",
    "maxLength": "a string of a length of at most",
    "maxItems": "a list of a length of at most",
}

Schema = dict[str, Any]

_TEXT: Schema = {"type": "string", "maxLength": MAX_TEXT}
_NAME: Schema = {"type": "string", "pattern": NAME_PATTERN}


def _integer(low: int, high: int) -> Schema:
    return {"type": ["integer"], "minimum": low, "maximum": high}


def _object(properties: Schema, *, required: tuple[str, ...] = ()) -> Schema:
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


_SERVICE_FIELDS: Schema = {
    "preference": {"enum": ["local-first", "any"]},
    "slots": _integer(1, 10_000),
    "connections": _integer(1, 100_000),
    "queue_ms": _integer(0, MAX_MILLISECONDS),
    "slow_start_ms": _integer(0, MAX_MILLISECONDS),
}
_ROUTE_FIELDS: Schema = {
    "id": _NAME,
    "host": {"type": "string", "pattern": _HOST_PATTERN},
    "prefix": {"type": "string", "pattern": _PREFIX_PATTERN},
    "methods": {
        "type": "array",
        "items": {"type": "string", "pattern": _METHOD_PATTERN},
        "uniqueItems": True,
        "maxItems": 16,
    },
    "service": _NAME,
    "idempotent": {"type": ["boolean"]},
    "kind": {"enum": ["call", "upload"]},
    "deadline_ms": _integer(1, MAX_MILLISECONDS),
    "retries": _integer(0, MAX_RETRIES),
    "hedge_ms": {**_integer(1, MAX_MILLISECONDS), "type": ["integer", "null"]},
}
_REQUIRED_ROUTE_FIELDS = ("id", "prefix", "service")
_SCALAR: Schema = {"type": ["string", "integer", "number", "boolean"], "maxLength": MAX_TEXT}


def _loosen(schema: Schema) -> Schema:
    """Let a field be a string with a placeholder; its final value is checked after rendering."""
    if schema.get("type") == "array":
        return {"type": "array", "items": _loosen(schema["items"]), "maxItems": schema["maxItems"]}
    if isinstance(schema.get("type"), list):
        types = [*schema["type"], "string"]
        return {**schema, "type": types, "pattern": _PLACEHOLDER_PATTERN, "maxLength": MAX_TEXT}
    return _TEXT


def _loosen_fields(fields: Schema) -> Schema:
    return {name: _loosen(schema) for name, schema in fields.items()}


_PARAMETER = _object(
    {
        "type": {"enum": ["string", "integer", "number", "boolean"]},
        "default": _SCALAR,
        "description": _TEXT,
    },
    required=("type",),
)
_USE = _object(
    {"template": _NAME, "parameters": {"type": "object", "additionalProperties": _SCALAR}},
    required=("template",),
)
_TEMPLATE = _object(
    {
        "name": _NAME,
        "description": _TEXT,
        "extends": {"type": "array", "items": _NAME},
        "parameters": {
            "type": "object",
            "propertyNames": {"pattern": PARAMETER_PATTERN},
            "additionalProperties": _PARAMETER,
        },
        "services": {
            "type": "object",
            "additionalProperties": _object(_loosen_fields(_SERVICE_FIELDS)),
        },
        # A template that extends another may name only the fields of a route that it changes.
        "routes": {
            "type": "array",
            "items": _object(_loosen_fields(_ROUTE_FIELDS), required=("id",)),
        },
    }
)
_WORKSPACE = _object(
    {
        "name": _NAME,
        "description": _TEXT,
        "templates": {"type": "array", "items": _USE, "maxItems": MAX_USES},
        "services": {
            "type": "object",
            "propertyNames": {"pattern": NAME_PATTERN},
            "additionalProperties": _object(_SERVICE_FIELDS),
        },
        "routes": {
            "type": "array",
            "items": _object(_ROUTE_FIELDS, required=_REQUIRED_ROUTE_FIELDS),
        },
    }
)


def _is_integer(_checker: Any, value: Any) -> bool:
    # JSON Schema takes 1.0 for an integer, but nodes refuse a snapshot with a float in its place.
    return isinstance(value, int) and not isinstance(value, bool)


_Validator = jsonschema.validators.extend(
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine("integer", _is_integer),
)
_VALIDATORS = {
    "template": _Validator(_TEMPLATE),
    "workspace": _Validator(_WORKSPACE),
    "name": _Validator(_NAME),
    "service": _Validator(_object(_SERVICE_FIELDS, required=tuple(_SERVICE_FIELDS))),
    "route": _Validator(_object(_ROUTE_FIELDS, required=tuple(_ROUTE_FIELDS))),
}


def check_document(kind: str, name: str, document: Any) -> list[Problem]:
    """Return every fault in the shape of a template or a workspace."""
    source = name_source(kind, name)
    if not re.search(NAME_PATTERN, name):
        return [Problem(source, "$", f"a name that matches {NAME_PATTERN}", show(name))]
    try:
        raw = msgspec.json.encode(document)
        if len(raw) > MAX_VALUE_BYTES:
            return [Problem(source, "$", f"at most {MAX_VALUE_BYTES} bytes", f"{len(raw)} bytes")]
        # The decoded form is what the platform will return, with nothing in it but JSON types.
        document = msgspec.json.decode(raw)
        problems = check_value(kind, document, source=source)
    except RecursionError:
        return [Problem(source, "$", "a flat document", "values nested too deeply")]
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError) as error:
        return [Problem(source, "$", "a JSON document", str(error)[:_MAX_FOUND])]
    if isinstance(document, dict) and document.get("name", name) != name:
        problems.append(Problem(source, "$.name", name, show(document["name"])))
    return problems


def check_value(kind: str, value: Any, *, source: str, path: str = "$") -> list[Problem]:
    """Return every fault of a value against the schema of its kind."""
    raw = msgspec.json.encode(value)
    find = _find_faults if len(raw) <= MAX_CACHED_BYTES else _find_faults.__wrapped__
    return [Problem(source, path + place, rule, found) for place, rule, found in find(kind, raw)]


@functools.lru_cache(maxsize=CACHED_CHECKS)
def _find_faults(kind: str, raw: bytes) -> tuple[tuple[str, str, str], ...]:
    """Return the path, the rule and what was found for each fault of an encoded value."""
    errors = sorted(
        _VALIDATORS[kind].iter_errors(msgspec.json.decode(raw)), key=lambda error: error.json_path
    )
    return tuple(
        (error.json_path.removeprefix("$"), _describe_rule(error), _found(error))
        for error in errors
    )


def name_source(kind: str, name: str) -> str:
    """Return the file that holds a document, relative to its deployment.

    >>> name_source("template", "web")
    'templates/web.json'
    """
    return f"{kind}s/{name}.json"


def show(value: Any) -> str:
    """Show a value of an input document, shortened."""
    text = repr(value)
    return text if len(text) <= _MAX_FOUND else text[: _MAX_FOUND - 3] + "..."


def _describe_rule(error: Any) -> str:
    rule, limit = error.validator, error.validator_value
    if rule == "additionalProperties":
        return f"only the keys {', '.join(sorted(error.schema['properties']))}"
    if rule == "required":
        return f"the keys {', '.join(sorted(limit))}"
    if rule == "type":
        return " or ".join([limit] if isinstance(limit, str) else limit)
    if rule == "enum":
        return f"one of {', '.join(limit)}"
    if rule == "pattern" and limit == _PLACEHOLDER_PATTERN:
        return f"{error.schema['type'][0]} or a placeholder"
    return f"{_RULE_NAMES.get(rule, rule)} {limit}"


def _found(error: Any) -> str:
    if error.validator in ("additionalProperties", "required"):
        return f"the keys {', '.join(sorted(error.instance))}"[:_MAX_FOUND]
    return show(error.instance)
