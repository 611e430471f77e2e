"""Validation of the platform's settings file and of the deploy file."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Literal

import pydantic

from hibiscusstile import settingsfaults
from hibiscusstile.platform import boot

__all__ = ["find_faults"]

_ROLES_TABLE = "roles"


class _Role(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    run: str = pydantic.Field(min_length=1)
    on: Literal["front", "side"]
    share: float = pydantic.Field(default=1.0, gt=0, le=1)
    count: int | None = pydantic.Field(default=None, ge=1)
    apart: bool = False
    serves: list[Literal["front", "side", "control"]] = []
    metrics: str = pydantic.Field(default="", pattern=r"^$|^\d+/")
    template: str = ""
    env: dict[str, str] = {}


class _DeployFile(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    build: str = pydantic.Field(min_length=1)
    packages: list[str] = []
    roles: dict[str, _Role] = pydantic.Field(min_length=1)


def find_faults(path: pathlib.Path) -> list[settingsfaults.SettingsFault]:
    """Returns all validation errors of a settings or deploy file.

    A file with a `roles` table is validated as a deploy file, any other one as
    the settings file of a process.
    """
    try:
        parsed = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return [settingsfaults.SettingsFault("(file)", str(error))]
    if _ROLES_TABLE not in parsed:
        return _find_settings_faults(path)
    try:
        _DeployFile.model_validate(parsed)
    except pydantic.ValidationError as error:
        return settingsfaults.list_faults(error)
    return []


def _find_settings_faults(
    path: pathlib.Path,
) -> list[settingsfaults.SettingsFault]:
    try:
        boot.load_boot_settings(path)
    except settingsfaults.SettingsError as error:
        return list(error.faults)
    return []
