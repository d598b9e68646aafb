"""Run `ibiswick-load`, the load generator and experiment tool."""

from __future__ import annotations

import cyclopts

from . import load_demo, load_fuzz, load_measure, load_model, load_run

app = cyclopts.App(name="ibiswick-load", help="Generate load and run experiments on loopback.")
app.command(load_run.run)
app.command(load_demo.demo)
app.command(load_measure.measure)
app.command(load_fuzz.fuzz)
app.command(load_model.model)
app.command(load_model.compare)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
