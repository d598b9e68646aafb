"""Run one node on the users' platform. It reads the object API itself, without zone roots."""

from __future__ import annotations

from ..platform.program import run_program


def main() -> None:
    """Run the node with the settings file that IBISWICK_NODE_FILE names."""
    run_program()


if __name__ == "__main__":
    main()
