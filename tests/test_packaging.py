"""Tests of the built wheel; they need no network."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest

_ROOT = pathlib.Path(__file__).parent.parent


@pytest.mark.packaging
def test_the_wheel_runs_without_the_source_tree(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against modules that are missing from the wheel."""
    pip = [sys.executable, "-m", "pip"]
    wheel = ["wheel", "--no-index", "--no-deps", "--no-build-isolation"]
    subprocess.run([*pip, *wheel, "-w", tmp_path, _ROOT], check=True)
    (built,) = tmp_path.glob("*.whl")
    target = tmp_path / "installed"
    install = ["install", "--no-index", "--no-deps", "--target", target]
    subprocess.run([*pip, *install, built], check=True)
    for module in ("hibiscusstile.ctl", "hibiscusstile.daemon"):
        result = subprocess.run(
            [sys.executable, "-m", module, "--version"],
            cwd=tmp_path,
            env={**os.environ, "PYTHONPATH": str(target)},
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, result.stderr
