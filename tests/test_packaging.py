"""Tests of the built wheel and the lock files; they need no network."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest

from tests.builders import lockfiles

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


def test_locked_binary_packages_install_on_other_processor_types() -> None:
    """Guards against hashes of the files for one processor type only."""
    pinned = lockfiles.read(_ROOT / "requirements.lock")
    deployed = lockfiles.read(_ROOT / "deploy" / "requirements.lock")
    # A source archive and the wheel of one processor type make two.
    lacking = [
        package.name
        for package in (*pinned.values(), *deployed.values())
        if lockfiles.is_platform_specific(package.name)
        and len(package.hashes) <= 2
    ]
    assert lacking == []


def test_both_lock_files_pin_the_same_versions() -> None:
    """Guards against tests that run on other versions than deployments."""
    pinned = lockfiles.read(_ROOT / "requirements.lock")
    deployed = lockfiles.read(_ROOT / "deploy" / "requirements.lock")
    assert deployed
    assert {name: each.version for name, each in deployed.items()} == {
        name: pinned[name].version for name in deployed
    }
    assert all(
        each.hashes == pinned[name].hashes for name, each in deployed.items()
    )


def test_lock_files_hold_no_index_address() -> None:
    """Guards against lock files that work on the machine of one user only."""
    for name in ("requirements.lock", "deploy/requirements.lock"):
        text = (_ROOT / name).read_text()
        assert "://" not in text
        assert "index" not in text
