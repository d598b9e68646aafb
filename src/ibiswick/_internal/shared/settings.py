"""Define and check the settings of the node and of the administration API.

Settings are JSON objects. Unknown keys are errors, and all errors are reported at once.
"""

from __future__ import annotations

import functools
import operator
import types
import typing
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec

from .errors import Problem, SettingsError

T = TypeVar("T")

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class Address(NamedTuple):
    """Locate a listener by IP address and port."""

    host: str
    port: Port


class TlsSettings(NamedTuple):
    """Locate the files of a TLS identity."""

    certificate: str
    key: str
    authority: str


class PlatformSettings(NamedTuple):
    """Locate the platform's object API."""

    url: str
    # This process's share of the platform's rate; docs/design.md, "Platform budget", lists all
    # shares.
    calls_per_s: Seconds = 20.0
    timeout_s: Seconds = 2.0


class AdminSettings(NamedTuple):
    """Configure the administration API."""

    listen: Address
    platform: PlatformSettings
    tls: TlsSettings | None = None
    allow_plaintext: bool = False
    gather_s: Seconds = 0.0
    log_level: str = "INFO"


class NodeSettings(NamedTuple):
    """Configure one node."""

    vm: Name
    workspace: Name
    service: Name
    region: Name
    availability_zone: Name
    # The local backend server.
    backend_server: Address
    caller: Address
    peer: Address
    control: Address
    operations: Address
    platform: PlatformSettings
    slots: Count = 6
    seeds: tuple[Address, ...] = ()
    tls: TlsSettings | None = None
    allow_plaintext: bool = False
    admin: AdminSettings | None = None
    root_eligible: bool = True
    # Number of roots in each availability zone.
    zone_roots: Count = 3
    root_degree: Count = 2
    degree: Count = 8
    # Time for which changes are collected before they are forwarded together.
    gather_s: Seconds = 0.02
    heartbeat_s: Seconds = 2.0
    link_timeout_s: Seconds = 6.0
    lease_s: Seconds = 6.0
    directory_jitter_s: Seconds = 10.0
    join_rate_per_s: Annotated[float, msgspec.Meta(gt=0)] = 50.0
    member_retention_s: Seconds = 15.0
    leave_notice_s: Seconds = 1.0
    upload_idle_s: Seconds = 10.0
    control_enabled: bool = True
    log_level: str = "INFO"


def load_settings(settings_type: type[T], path: Path) -> T:
    """Read settings of the given type; raise SettingsError with all errors."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError([Problem(str(path), "$", "a readable file", str(error))]) from error
    return parse_settings(settings_type, raw, source=str(path))


def parse_settings(settings_type: type[T], raw: bytes, *, source: str) -> T:
    """Parse settings from JSON; raise SettingsError with all errors."""
    struct = _derive_struct(settings_type)
    try:
        return typing.cast(
            T, _convert_to_namedtuple(settings_type, msgspec.json.decode(raw, type=struct))
        )
    except msgspec.ValidationError as error:
        raise SettingsError(_list_problems(struct, raw, source, error)) from error
    except msgspec.DecodeError as error:
        raise SettingsError([Problem(source, "$", "JSON", str(error))]) from error


def _list_problems(
    struct: type, raw: bytes, source: str, first_error: msgspec.ValidationError
) -> list[Problem]:
    # jsonschema costs several megabytes, so a node imports it only when it is about to exit.
    import jsonschema

    schema = msgspec.json.schema(struct)
    errors = jsonschema.Draft202012Validator(schema).iter_errors(msgspec.json.decode(raw))
    problems = [
        Problem(source, error.json_path, _describe_expected(error), _describe_found(error))
        for error in sorted(errors, key=lambda error: error.json_path)
    ]
    return problems or [Problem(source, "$", "valid settings", str(first_error))]


def _describe_expected(error: Any) -> str:
    if error.validator == "additionalProperties":
        return f"only the keys {', '.join(sorted(error.schema['properties']))}"
    if error.validator == "required":
        return f"the keys {', '.join(error.validator_value)}"
    return f"{error.validator} {error.validator_value}"


def _describe_found(error: Any) -> str:
    if error.validator in ("additionalProperties", "required"):
        return f"the keys {', '.join(sorted(error.instance))}"
    return repr(error.instance)[:80]


_structs: dict[type, type] = {}


def _derive_struct(settings_type: type) -> type:
    """Return the msgspec struct with the fields of a NamedTuple; derive it on first use."""
    if settings_type not in _structs:
        defaults = settings_type._field_defaults  # type: ignore[attr-defined]
        hints = typing.get_type_hints(settings_type, include_extras=True)
        fields = [
            (name, _replace_namedtuples(hint), *([defaults[name]] if name in defaults else []))
            for name, hint in hints.items()
        ]
        _structs[settings_type] = msgspec.defstruct(
            settings_type.__name__, fields, forbid_unknown_fields=True, kw_only=True
        )
    return _structs[settings_type]


def _is_namedtuple(hint: Any) -> bool:
    return isinstance(hint, type) and hasattr(hint, "_field_defaults")


def _replace_namedtuples(hint: Any) -> Any:
    if _is_namedtuple(hint):
        return _derive_struct(hint)
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        return functools.reduce(operator.or_, map(_replace_namedtuples, typing.get_args(hint)))
    if typing.get_origin(hint) is tuple:
        return tuple[_replace_namedtuples(typing.get_args(hint)[0]), ...]
    return hint


def _convert_to_namedtuple(hint: Any, value: Any) -> Any:
    if isinstance(value, msgspec.Struct):
        hint = _find_namedtuple(hint)
        hints = typing.get_type_hints(hint)
        return hint(
            **{name: _convert_to_namedtuple(hints[name], getattr(value, name)) for name in hints}
        )
    if isinstance(value, tuple) and not _is_namedtuple(type(value)):
        item = typing.get_args(hint)[0]
        return tuple(_convert_to_namedtuple(item, element) for element in value)
    return value


def _find_namedtuple(hint: Any) -> Any:
    """Return the NamedTuple in the type of an optional field, or the type itself."""
    if _is_namedtuple(hint):
        return hint
    return next((arg for arg in typing.get_args(hint) if _is_namedtuple(arg)), hint)
