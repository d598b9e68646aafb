"""Check templates, workspaces and rendered services and routes against schemas."""

from __future__ import annotations

import functools
import re
from typing import Any

import jsonschema
import msgspec

from ..shared.errors import Problem
from ..shared.objectapi import MAX_VALUE_BYTES

# jsonschema searches for patterns, and "$" also matches before a final line feed, hence \Z.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
PARAMETER_PATTERN = r"^[A-Za-z_][A-Za-z0-9_]{0,62}\Z"
_HOST_PATTERN = r"^(\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)\Z"
_PREFIX_PATTERN = r"^/[!-~]{0,1023}\Z"
_METHOD_PATTERN = r"^[A-Z]{1,32}\Z"
_PLACEHOLDER_PATTERN = r"\$\{"

# The prefix tells a digest from a credential that consists of hexadecimal digits.
CREDENTIAL_PREFIX = "blake2b:"
_CREDENTIAL_PATTERN = rf"^{CREDENTIAL_PREFIX}[0-9a-f]{{32}}\Z"

MAX_TEXT_CHARS = 4096
MAX_TEMPLATE_USES = 1000
MAX_DURATION_MS = 24 * 60 * 60 * 1000
# A call that certainly did not run is retried at most twice; see docs/design.md, "Outbound".
MAX_RETRIES = 2
MAX_CREDENTIALS = 16
# Priorities have up to four digits between nodes.
MAX_PRIORITY = 9999
MAX_TENANT_RATE = 1_000_000
_MAX_FOUND_CHARS = 80
# Checking one route takes about 0.2 ms, and a change of a template repeats the checks of the routes
# of all workspaces, mostly with the same result. Only small values are worth the memory.
MAX_CACHED_CHECKS = 8192
MAX_CACHED_VALUE_BYTES = 1024

_RULE_NAMES = {
    "minimum": "at least",
    "maximum": "at most",
    "pattern": "a string that matches",
    "maxLength": "a string of a length of at most",
    "maxItems": "a list of a length of at most",
}

Schema = dict[str, Any]

_TEXT: Schema = {"type": "string", "maxLength": MAX_TEXT_CHARS}
_NAME: Schema = {"type": "string", "pattern": NAME_PATTERN}


def _build_integer_schema(low: int, high: int) -> Schema:
    return {"type": ["integer"], "minimum": low, "maximum": high}


def _build_object_schema(properties: Schema, *, required: tuple[str, ...] = ()) -> Schema:
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


_SERVICE_FIELDS: Schema = {
    "preference": {"enum": ["local-first", "any"]},
    "slots": _build_integer_schema(1, 10_000),
    "connections": _build_integer_schema(1, 100_000),
    "queue_ms": _build_integer_schema(0, MAX_DURATION_MS),
    "slow_start_ms": _build_integer_schema(0, MAX_DURATION_MS),
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
    "deadline_ms": _build_integer_schema(1, MAX_DURATION_MS),
    "retries": _build_integer_schema(0, MAX_RETRIES),
    "hedge_ms": {**_build_integer_schema(1, MAX_DURATION_MS), "type": ["integer", "null"]},
}
_REQUIRED_ROUTE_FIELDS = ("id", "prefix", "service")
# A field that is not in compiled routes unless it is true.
_OPTIONAL_ROUTE_FIELDS: Schema = {"anonymous": {"type": ["boolean"]}}
_TENANT_FIELDS: Schema = {
    "credentials": {
        "type": "array",
        "items": {"type": "string", "pattern": _CREDENTIAL_PATTERN},
        "uniqueItems": True,
        "maxItems": MAX_CREDENTIALS,
    },
    "priority": _build_integer_schema(0, MAX_PRIORITY),
    "rate": _build_integer_schema(1, MAX_TENANT_RATE),
    "burst": _build_integer_schema(0, MAX_TENANT_RATE),
}
# Tenants have no placeholders, since parameters are quoted in errors.
_TENANTS: Schema = {
    "type": "object",
    "propertyNames": {"pattern": NAME_PATTERN},
    "additionalProperties": _build_object_schema(_TENANT_FIELDS),
}
_SECRET_FIELD = "tenants"
_SCALAR: Schema = {"type": ["string", "integer", "number", "boolean"], "maxLength": MAX_TEXT_CHARS}


def _allow_placeholders(schema: Schema) -> Schema:
    """Also allow a string with a placeholder; the final value is checked after rendering."""
    if schema.get("type") == "array":
        return {
            "type": "array",
            "items": _allow_placeholders(schema["items"]),
            "maxItems": schema["maxItems"],
        }
    if isinstance(schema.get("type"), list):
        types = [*schema["type"], "string"]
        return {
            **schema,
            "type": types,
            "pattern": _PLACEHOLDER_PATTERN,
            "maxLength": MAX_TEXT_CHARS,
        }
    return _TEXT


def _allow_placeholders_in_fields(fields: Schema) -> Schema:
    return {name: _allow_placeholders(schema) for name, schema in fields.items()}


_PARAMETER = _build_object_schema(
    {
        "type": {"enum": ["string", "integer", "number", "boolean"]},
        "default": _SCALAR,
        "description": _TEXT,
    },
    required=("type",),
)
_TEMPLATE_USE = _build_object_schema(
    {"template": _NAME, "parameters": {"type": "object", "additionalProperties": _SCALAR}},
    required=("template",),
)
_TEMPLATE = _build_object_schema(
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
            "additionalProperties": _build_object_schema(
                _allow_placeholders_in_fields(_SERVICE_FIELDS)
            ),
        },
        # A template that extends another may give only the fields of a route that it changes.
        "routes": {
            "type": "array",
            "items": _build_object_schema(
                _allow_placeholders_in_fields({**_ROUTE_FIELDS, **_OPTIONAL_ROUTE_FIELDS}),
                required=("id",),
            ),
        },
        "tenants": _TENANTS,
    }
)
_WORKSPACE = _build_object_schema(
    {
        "name": _NAME,
        "description": _TEXT,
        "templates": {"type": "array", "items": _TEMPLATE_USE, "maxItems": MAX_TEMPLATE_USES},
        "services": {
            "type": "object",
            "propertyNames": {"pattern": NAME_PATTERN},
            "additionalProperties": _build_object_schema(_SERVICE_FIELDS),
        },
        "routes": {
            "type": "array",
            "items": _build_object_schema(
                {**_ROUTE_FIELDS, **_OPTIONAL_ROUTE_FIELDS}, required=_REQUIRED_ROUTE_FIELDS
            ),
        },
        "tenants": _TENANTS,
    }
)


def _is_integer(_checker: Any, value: Any) -> bool:
    # JSON Schema accepts 1.0 as an integer, but nodes refuse a snapshot that has a float there.
    return isinstance(value, int) and not isinstance(value, bool)


_Validator = jsonschema.validators.extend(
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine("integer", _is_integer),
)
_VALIDATORS = {
    "template": _Validator(_TEMPLATE),
    "workspace": _Validator(_WORKSPACE),
    "name": _Validator(_NAME),
    "service": _Validator(_build_object_schema(_SERVICE_FIELDS, required=tuple(_SERVICE_FIELDS))),
    "route": _Validator(
        _build_object_schema(
            {**_ROUTE_FIELDS, **_OPTIONAL_ROUTE_FIELDS}, required=tuple(_ROUTE_FIELDS)
        )
    ),
    "tenant": _Validator(_build_object_schema(_TENANT_FIELDS, required=("credentials",))),
}


def check_document(kind: str, name: str, document: Any) -> list[Problem]:
    """Return all errors of a template or a workspace against its schema."""
    source = build_source_path(kind, name)
    if not re.search(NAME_PATTERN, name):
        return [Problem(source, "$", f"a name that matches {NAME_PATTERN}", shorten_repr(name))]
    try:
        raw = msgspec.json.encode(document)
        if len(raw) > MAX_VALUE_BYTES:
            return [Problem(source, "$", f"at most {MAX_VALUE_BYTES} bytes", f"{len(raw)} bytes")]
        # Check the decoded form, which has only JSON types, because the platform will return it.
        document = msgspec.json.decode(raw)
        problems = check_value(kind, document, source=source)
    except RecursionError:
        return [Problem(source, "$", "a flat document", "values nested too deeply")]
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError) as error:
        return [Problem(source, "$", "a JSON document", str(error)[:_MAX_FOUND_CHARS])]
    if isinstance(document, dict) and document.get("name", name) != name:
        problems.append(Problem(source, "$.name", name, shorten_repr(document["name"])))
    return problems


def check_value(kind: str, value: Any, *, source: str, path: str = "$") -> list[Problem]:
    """Return all errors of a value against the schema of its kind."""
    raw = msgspec.json.encode(value)
    find = _find_errors if len(raw) <= MAX_CACHED_VALUE_BYTES else _find_errors.__wrapped__
    return [
        Problem(source, path + subpath, expected, found)
        for subpath, expected, found in find(kind, raw)
    ]


@functools.lru_cache(maxsize=MAX_CACHED_CHECKS)
def _find_errors(kind: str, raw: bytes) -> tuple[tuple[str, str, str], ...]:
    """Return the path, the expected and the found value of each error in an encoded value."""
    errors = sorted(
        _VALIDATORS[kind].iter_errors(msgspec.json.decode(raw)), key=lambda error: error.json_path
    )
    return tuple(
        (error.json_path.removeprefix("$"), _describe_expected(error), _describe_found(error, kind))
        for error in errors
    )


def build_source_path(kind: str, name: str) -> str:
    """Return the path of a document's file, relative to its deployment.

    >>> build_source_path("template", "web")
    'templates/web.json'
    """
    return f"{kind}s/{name}.json"


def shorten_repr(value: Any) -> str:
    """Return the representation of a value, shortened for an error message."""
    text = repr(value)
    return text if len(text) <= _MAX_FOUND_CHARS else text[: _MAX_FOUND_CHARS - 3] + "..."


def _describe_expected(error: Any) -> str:
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


def _describe_found(error: Any, kind: str) -> str:
    if kind == "tenant" or _SECRET_FIELD in list(error.absolute_path)[:1]:
        # An operator may have written a credential in place of its digest. Errors end up in the
        # audit trail.
        return f"a value of type {type(error.instance).__name__}"
    if error.validator in ("additionalProperties", "required"):
        return f"the keys {', '.join(sorted(error.instance))}"[:_MAX_FOUND_CHARS]
    return shorten_repr(error.instance)
