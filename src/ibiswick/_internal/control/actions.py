"""Define the actions that the control plane's state machines ask their driver to execute."""

from __future__ import annotations

from typing import Any, Literal, NamedTuple, TypeAlias

from .messages import Message


class Connect(NamedTuple):
    """Open a link."""

    link_number: int
    host: str
    port: int


class Send(NamedTuple):
    """Send a message on a link."""

    link_number: int
    message: Message


class Close(NamedTuple):
    """Close a link."""

    link_number: int
    reason: str


class CallPlatform(NamedTuple):
    """Call a method of `Platform`; pass its result or error to `finish_call` with the number."""

    call_number: int
    method: Literal["get", "put", "delete", "list", "watch"]
    arguments: dict[str, Any]


class Log(NamedTuple):
    """Log an event."""

    level: Literal["debug", "info", "warn", "error"]
    event: str
    fields: dict[str, Any]


Action: TypeAlias = Connect | Send | Close | CallPlatform | Log
