"""Remember which runs at the local backend server are repeats."""

from __future__ import annotations

# A backend server may go on with a run that its node has given up, and make calls for it.
ENDED_RUN_KEPT_S = 2.0


class RepeatedRuns:
    """Remember which calls that run at the local backend server are repeats.

    >>> runs = RepeatedRuns()
    >>> runs.begin(b"7")
    >>> runs.end(b"7", now=1.0)
    >>> runs.contains(b"7", now=2.0), runs.contains(b"7", now=9.0), runs.contains(b"8", now=2.0)
    (True, False, False)
    """

    __slots__ = ("_ended_at", "_running")

    def __init__(self) -> None:
        # Runs of one id may overlap after an attempt was given up.
        self._running: dict[bytes, int] = {}
        # Ids of ended runs in the order of their ends.
        self._ended_at: dict[bytes, float] = {}

    def begin(self, run_id: bytes) -> None:
        """Record the start of a repeated run."""
        self._running[run_id] = self._running.get(run_id, 0) + 1

    def end(self, run_id: bytes, *, now: float) -> None:
        """Record the end of a repeated run, whose calls count as repeats for a while."""
        left = self._running.pop(run_id, 1) - 1
        if left:
            self._running[run_id] = left
        self._ended_at.pop(run_id, None)
        self._ended_at[run_id] = now
        self._drop_expired(now)

    def contains(self, run_id: bytes, *, now: float) -> bool:
        """Tell whether the calls of a run count as repeats."""
        if run_id in self._running:
            return True
        self._drop_expired(now)
        return run_id in self._ended_at

    def _drop_expired(self, now: float) -> None:
        while self._ended_at:
            run_id, ended_at = next(iter(self._ended_at.items()))
            if ended_at >= now - ENDED_RUN_KEPT_S:
                return
            del self._ended_at[run_id]
