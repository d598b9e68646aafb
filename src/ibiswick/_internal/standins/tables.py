"""Format the results of runs as plain-text tables."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from .load import Summary
from .oracle import PROMISES, Outcome, Verdict


def format_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Align the cells of a table in columns.

    >>> print(format_table(["class", "calls"], [["status", 12]]), end="")
    class   calls
    status  12
    """
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    return "".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        + "\n"
        for line in lines
    )


def format_calls(summaries: Sequence[Summary]) -> str:
    """Format the calls of each class by outcome, with latencies."""
    outcomes = [
        outcome.value
        for outcome in Outcome
        if any(summary.outcomes.get(outcome.value) for summary in summaries)
    ]
    rows = [
        [
            summary.call_class,
            *(summary.outcomes.get(outcome, 0) for outcome in outcomes),
            f"{summary.p50_ms:.2f}",
            f"{summary.p99_ms:.2f}",
        ]
        for summary in summaries
    ]
    return format_table(["class", *outcomes, "p50 ms", "p99 ms"], rows)


def format_verdicts(verdicts: Sequence[Verdict]) -> str:
    """Format the number of checked facts and of violations of each promise."""
    rows = [
        [
            verdict.promise,
            PROMISES[verdict.promise],
            verdict.checked_count or "NOT CHECKED",
            len(verdict.violations),
        ]
        for verdict in verdicts
    ]
    return format_table(["#", "promise", "checked", "violations"], rows)
