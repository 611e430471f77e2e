"""Writes requirements.lock: pinned versions and hashes of all dependencies.

The hashes are those of the files that pip selected, so the lock file is valid
only for the platform that it was generated on. It contains no index URL.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tomllib

_ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> None:
    """Resolves the dependencies of pyproject.toml and writes the lock file."""
    project = tomllib.loads((_ROOT / "pyproject.toml").read_text())["project"]
    wanted = [
        *project["dependencies"],
        *project["optional-dependencies"]["dev"],
    ]
    report = subprocess.run(
        [
            *(sys.executable, "-m", "pip", "install", "--dry-run", "--quiet"),
            *("--ignore-installed", "--report", "-", *wanted),
        ],
        check=True,
        stdout=subprocess.PIPE,
    ).stdout
    lines = sorted(map(_lock_line, json.loads(report)["install"]))
    (_ROOT / "requirements.lock").write_text("\n".join(lines) + "\n")


def _lock_line(item: dict[str, dict[str, dict[str, dict[str, str]]]]) -> str:
    metadata = item["metadata"]
    digest = item["download_info"]["archive_info"]["hashes"]["sha256"]
    name, version = metadata["name"], metadata["version"]
    return f"{str(name).lower()}=={version} --hash=sha256:{digest}"


if __name__ == "__main__":
    main()
