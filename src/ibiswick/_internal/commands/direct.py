"""Run one node on the users' platform."""

from __future__ import annotations

from ..platform.program import run_program


def main() -> None:
    """Run the node; its settings file is named by the environment."""
    run_program()


if __name__ == "__main__":
    main()
