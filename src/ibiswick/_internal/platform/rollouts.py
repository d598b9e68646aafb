"""Translate the objects in which an operator orders roll-outs."""

from __future__ import annotations

from typing import Any

from ..rollouts.records import RolloutState, Stage
from .fields import FieldReader

# The kind of these objects; each is named after its service.
ROLLOUTS_PREFIX = "rollouts/"


class RolloutObjects:
    """Implement `RolloutDecoder` for the platform's objects."""

    prefix = ROLLOUTS_PREFIX

    def decode(self, key: str, spec: Any, status: Any, *, revision: int, era: int) -> Stage:
        """Decode an order and its status; raise InvalidInputError if the order is invalid."""
        reader = FieldReader(key)
        stage = Stage(
            service=reader.read_text(spec, "service"),
            new_version=reader.read_text(spec, "target_version"),
            duration_s=reader.read_seconds(spec, "duration"),
            order_revision=revision,
            era=era,
            revision=revision,
        )
        reader.raise_problems()
        return _apply_status(stage, status)

    def encode_status(self, stage: Stage) -> Any:
        """Encode the status of a stage."""
        return {
            "state": stage.state.value,
            "target_version": stage.new_version,
            "share": stage.share,
            "order": stage.order_revision,
            "elapsed_ms": int(stage.elapsed_s * 1000),
        }


def _apply_status(stage: Stage, status: Any) -> Stage:
    """Apply a status that belongs to the order; any other is that of an earlier order."""
    if not isinstance(status, dict) or status.get("target_version") != stage.new_version:
        return stage
    try:
        state = RolloutState(status.get("state"))
    except ValueError:
        return stage
    share, order = status.get("share"), status.get("order")
    elapsed_ms = status.get("elapsed_ms")
    is_share = isinstance(share, (int, float)) and 0 <= share <= 1
    return stage._replace(
        state=state,
        share=float(share) if is_share else 0.0,
        order_revision=order if isinstance(order, int) else stage.order_revision,
        written=True,
        elapsed_s=max(0, elapsed_ms) / 1000 if isinstance(elapsed_ms, int) else 0.0,
    )
