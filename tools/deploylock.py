"""Writes deploy/requirements.lock: pinned runtime dependencies only.

It is the subset of requirements.lock that the runtime dependencies of
pyproject.toml require, directly or transitively.
"""

from __future__ import annotations

import importlib.metadata
import pathlib
import re
import tomllib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PROJECT_NAME = re.compile(r"^[A-Za-z0-9._-]+")


def main() -> None:
    """Writes the lock file for deployments."""
    project = tomllib.loads((_ROOT / "pyproject.toml").read_text())["project"]
    needed: set[str] = set()
    pending = [_normalized_name(each) for each in project["dependencies"]]
    while pending:
        name = pending.pop()
        if name in needed:
            continue
        needed.add(name)
        pending += _requirement_names(name)
    lines = (_ROOT / "requirements.lock").read_text().splitlines()
    kept = [line for line in lines if _normalized_name(line) in needed]
    (_ROOT / "deploy" / "requirements.lock").write_text("\n".join(kept) + "\n")


def _requirement_names(name: str) -> list[str]:
    try:
        required = importlib.metadata.requires(name) or []
    except importlib.metadata.PackageNotFoundError:
        return []
    return [
        _normalized_name(each) for each in required if "extra ==" not in each
    ]


def _normalized_name(requirement: str) -> str:
    match = _PROJECT_NAME.match(requirement)
    name = match.group() if match else ""
    return re.sub(r"[-_.]+", "-", name).lower()


if __name__ == "__main__":
    main()
