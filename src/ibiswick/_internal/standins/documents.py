"""Edit a working copy of a deployment's configuration."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any, Literal

EditKind = Literal["parameter", "template"]


class WorkingCopy:
    """Change one value at a time, so that each edit changes the compiled snapshot."""

    def __init__(self, *, source: Path, directory: Path) -> None:
        self.directory = directory
        self._edits = 0
        shutil.copytree(source, directory)

    def edit(self, kind: EditKind) -> str:
        """Make an edit and return its description."""
        self._edits += 1
        if kind == "parameter":
            return self._edit_parameter()
        return self._edit_template()

    def read_workspace(self) -> dict[str, Any]:
        """Return the workspace's document."""
        return json.loads(next(self.directory.glob("workspaces/*.json")).read_text())

    def set_parameter(self, name: str, value: Any) -> None:
        """Set a parameter of the first template that the workspace uses."""
        path = next(self.directory.glob("workspaces/*.json"))
        document = json.loads(path.read_text())
        document["templates"][0]["parameters"][name] = value
        self._write(path, document, name)

    def _edit_parameter(self) -> str:
        path = next(self.directory.glob("workspaces/*.json"))
        document = json.loads(path.read_text())
        value = 1000 + self._edits
        document["templates"][0]["parameters"]["deadline_ms"] = value
        return self._write(path, document, f"deadline_ms = {value}")

    def _edit_template(self) -> str:
        path = self.directory / "templates" / "service.json"
        document = json.loads(path.read_text())
        value = 50 + self._edits
        document["parameters"]["queue_ms"]["default"] = value
        return self._write(path, document, f"default of queue_ms = {value}")

    def _write(self, path: Path, document: Any, change: str) -> str:
        path.write_text(json.dumps(document, indent=2) + "\n")
        return f"{path.relative_to(self.directory)}: {change}"
