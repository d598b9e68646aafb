"""Write a zone root's reports to the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..shared.errors import IbiswickError
from ..shared.records import MemberState, RootReport
from .context import OWN_LINK_NUMBER, Context, Role

STATUS_INTERVAL_S = 1.0
MEMBERS_INTERVAL_S = 10.0


class ReportWriter:
    """Write one object when its content has changed, at most once per interval."""

    def __init__(
        self, ctx: Context, *, prefix: str, interval_s: float, build: Callable[[], Any]
    ) -> None:
        self._ctx = ctx
        self._prefix = prefix
        self._interval_s = interval_s
        self._build = build
        self._last_written: Any = None
        self._writing = False
        self._next_write_at = 0.0

    def tick(self, now: float) -> None:
        """Write the object if its content changed and the interval is over."""
        if self._writing or now < self._next_write_at:
            return
        value = self._build()
        if value == self._last_written:
            return
        self._writing = True
        self._next_write_at = now + self._interval_s

        def finish(result: Any, _now: float) -> None:
            self._writing = False
            if not isinstance(result, IbiswickError):
                self._last_written = value

        self._ctx.call("put", finish, key=self._format_key(self._ctx.own.vm), value=value)

    def reset(self) -> None:
        """Forget what was written, because this node is no longer a root."""
        self._last_written = None

    def remove(self, vm: str) -> None:
        """Delete the object of a root that no longer holds its lease."""
        self._ctx.call("delete", lambda result, now: None, key=self._format_key(vm))

    def _format_key(self, vm: str) -> str:
        return f"{self._prefix}/{self._ctx.own.availability_zone}/{vm}"


def build_members_report(ctx: Context) -> dict[str, Any]:
    """Build the content of `nodes/...`: the members of this node's subtree and itself."""
    links = {link.number for link in ctx.list_links(Role.CHILD)} | {OWN_LINK_NUMBER}
    members = [entry.member for entry in ctx.member_table if entry.link_number in links]
    shown = sorted(member for member in members if member.state is not MemberState.LOST)
    return {"members": [list(member) for member in shown]}


def build_root_report(
    ctx: Context, *, index: int, epoch: int, head_generation: int, workspaces: dict[str, Any]
) -> RootReport:
    """Build the content of `status/...`."""
    return RootReport(
        vm=ctx.own.vm,
        availability_zone=ctx.own.availability_zone,
        index=index,
        epoch=epoch,
        head_generation=head_generation,
        workspaces=workspaces,
    )
