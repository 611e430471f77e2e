"""Tests of the limits that the settings give a process."""

from __future__ import annotations

import pathlib

import pytest

from hibiscusstile import memory, settingsfaults
from hibiscusstile.platform import boot

_SETTINGS = 'node = "g"\nzone = "z"\n[platform]\naddress = "127.0.0.1:1"\n'


def _load(folder: pathlib.Path, limits: str) -> boot.BootSettings:
    path = folder / "boot.toml"
    path.write_text(_SETTINGS + limits)
    return boot.load_boot_settings(path)


@pytest.mark.parametrize("limits", ["", "[limits]\nmemory_mb = 0\n"])
def test_settings_without_limits_have_defaults(
    tmp_path: pathlib.Path, limits: str
) -> None:
    """Guards against a process that serves nobody without the new settings."""
    settings = _load(tmp_path, limits)
    assert settings.memory_mb == memory.DEFAULT_MEMORY_MB
    assert settings.max_descriptors == memory.DEFAULT_DESCRIPTORS


def test_a_wrong_limit_is_named(tmp_path: pathlib.Path) -> None:
    """Guards against a message that does not tell which value is wrong."""
    with pytest.raises(settingsfaults.SettingsError, match=r"limits\.max_fds"):
        _load(tmp_path, "[limits]\nmax_fds = -1\n")


@pytest.mark.parametrize("memory_mb", ["inf", "nan"])
def test_memory_without_a_number_is_refused(
    tmp_path: pathlib.Path, memory_mb: str
) -> None:
    """Guards against a process that fails later, without naming the value."""
    with pytest.raises(
        settingsfaults.SettingsError, match=r"limits\.memory_mb"
    ):
        _load(tmp_path, f"[limits]\nmemory_mb = {memory_mb}\n")


@pytest.mark.parametrize("memory_mb", [100, 150, 300, 4096])
def test_limits_fit_into_the_memory(memory_mb: int) -> None:
    """Guards against shares that add up to more than a machine has."""
    limits = memory.memory_limits(memory_mb, 4100)
    headroom_bytes = max(memory_mb - 90, memory_mb / 4) * 1024 * 1024
    assert limits.budget_bytes < headroom_bytes / 2
    assert limits.reserve_bytes + limits.held_bytes < limits.budget_bytes
    assert limits.max_connections * 8 * 1024 < headroom_bytes / 3
