"""Implement `ibiswick-load model` and `ibiswick-load compare`."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import logbook

from ..model.experiments import compare as compare_variants
from ..model.experiments import override, split_into_windows, summarize
from ..model.fleet import run_load
from ..model.loads import read_load
from ..model.plots import write_window_chart
from ..shared.errors import IbiswickError
from ..standins.tables import format_table

EXIT_INVALID = 2
RESULTS = ("in-time", "late", "refused", "failed")


def model(
    load: Path, *, seed: int = 1, change: list[str] | None = None, plot: Path | None = None
) -> None:
    """Simulate a load in virtual time; --change module.NAME=VALUE replaces a constant."""
    with _report_errors(), override(change or ()):
        load_description = read_load(load)
        result = run_load(load_description, seed=seed)
        windows = split_into_windows(load_description, result)
        rows = [
            [
                f"{window.start_s:.0f}",
                window.call_count,
                *(window.results[name] for name in RESULTS),
                f"{window.credit:.3f}",
                f"{window.bound:.3f}",
            ]
            for window in windows
        ]
        sys.stdout.write(format_table(["from s", "asked", *RESULTS, "credit", "bound"], rows))
        rows = [
            [name, *(sum(c.kind == name and c.result == r for c in result.calls) for r in RESULTS)]
            for name, kind in load_description.kinds.items()
            if kind.weight > 0
        ]
        sys.stdout.write("\n" + format_table(["kind", *RESULTS], rows))
        summary = summarize(load_description, result)
        figures = [[name, f"{value:.4g}"] for name, value in summary._asdict().items()]
        sys.stdout.write("\n" + format_table(["figure", "value"], figures))
        if plot is not None:
            write_window_chart(plot, windows, title=f"{load.name}, seed {seed}")


def compare(load: Path, *, change: list[str], seeds: int = 10, first_seed: int = 1) -> None:
    """Compare a load with and without changed constants, with 95% confidence intervals."""
    with _report_errors():
        load_description = read_load(load)
        comparisons = compare_variants(
            load_description, changes=change, seeds=range(first_seed, first_seed + seeds)
        )
        rows = [
            [
                item.name,
                *(f"{value:.4g}" for value in item[1:4]),
                f"{item.interval_low:.4g} {item.interval_high:.4g}",
            ]
            for item in comparisons
        ]
        headings = ["figure", "unchanged", "changed", "difference", "interval"]
        sys.stdout.write(format_table(headings, rows))


@contextmanager
def _report_errors() -> Iterator[None]:
    """Suppress the nodes' logs, and exit with a message if the arguments are invalid."""
    try:
        with logbook.NullHandler().applicationbound():
            yield
    except IbiswickError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID)
