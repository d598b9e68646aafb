"""Compute from a history how long accepted changes took to come into effect."""

from __future__ import annotations

from typing import NamedTuple

from .oracle import CONVERGENCE_BOUND_S, ChangeAccepted, History


class Convergence(NamedTuple):
    """Hold how long nodes took to apply a change.

    * `delays_s`: seconds from the acceptance of the change, for each node that applied it.
    * `missing`: nodes that were up and did not apply it.
    """

    generation: int
    delays_s: tuple[float, ...]
    missing: tuple[str, ...]

    @property
    def last_s(self) -> float:
        """Return the time until the last node applied the change."""
        return max(self.delays_s, default=float("nan"))


def list_convergence(history: History, workspace: str) -> list[Convergence]:
    """List the convergence of every change of a workspace, for nodes that were up."""
    changes = [change for change in history.accepted if workspace in change.snapshots]
    return [
        _measure_change(history, change) for change in sorted(changes, key=lambda item: item.at)
    ]


def _measure_change(history: History, change: ChangeAccepted) -> Convergence:
    first: dict[str, float] = {}
    for applied in history.applied:
        if applied.generation >= change.generation:
            first[applied.vm] = min(applied.at, first.get(applied.vm, applied.at))
    up = _list_nodes_up(history, change.at)
    delays_s = [first[vm] - change.at for vm in up if vm in first]
    return Convergence(
        change.generation, tuple(delays_s), tuple(sorted(vm for vm in up if vm not in first))
    )


def _list_nodes_up(history: History, at: float) -> set[str]:
    """List the VMs that had started before a change and were up until it was due."""
    started = {start.vm for start in history.starts if start.at < at}
    due = at + CONVERGENCE_BOUND_S
    return started - {
        outage.vm for outage in history.outages if outage.at < due and outage.until > at
    }
