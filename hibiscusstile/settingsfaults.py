"""Faults found in a settings file."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import pydantic

__all__ = ["SettingsError", "SettingsFault", "list_faults"]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault in a settings file.

    Attributes:
        path: Path of the setting, such as `platform.log.url`.
        message: Description of the fault.
    """

    path: str
    message: str


class SettingsError(ValueError):
    """The settings are invalid; `faults` lists every fault."""

    def __init__(self, faults: Sequence[SettingsFault]) -> None:
        self.faults = tuple(faults)
        super().__init__("; ".join(f"{f.path}: {f.message}" for f in faults))


def list_faults(error: pydantic.ValidationError) -> list[SettingsFault]:
    """Returns the faults of a failed validation without input values."""
    return [
        SettingsFault(
            ".".join(str(part) for part in each["loc"]) or "(file)",
            each["msg"],
        )
        for each in error.errors(include_input=False, include_url=False)
    ]
