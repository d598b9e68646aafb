"""Edit copies of a deployment's configuration."""

from pathlib import Path


def edit_configuration(source: Path, target: Path, number: int) -> str:
    raise NotImplementedError
