"""Reads lock files of pinned packages for tests."""

from __future__ import annotations

import dataclasses
import importlib.metadata
import pathlib
import re

__all__ = ["LockedPackage", "is_platform_specific", "read"]

_PIN = re.compile(r"^([A-Za-z0-9._-]+)==([^ ;]+)")
_HASH = re.compile(r"--hash=(sha256:[0-9a-f]{64})")


@dataclasses.dataclass(frozen=True)
class LockedPackage:
    """A pinned package of a lock file."""

    name: str
    version: str
    hashes: frozenset[str]


def read(path: pathlib.Path) -> dict[str, LockedPackage]:
    """Returns the packages of a lock file by their normalized names."""
    packages = {}
    for entry in path.read_text().replace("\\\n", " ").splitlines():
        pin = _PIN.match(entry)
        assert pin is not None, entry
        name = re.sub(r"[-_.]+", "-", pin.group(1)).lower()
        hashes = frozenset(_HASH.findall(entry))
        packages[name] = LockedPackage(name, pin.group(2), hashes)
    return packages


def is_platform_specific(name: str) -> bool:
    """Returns whether the installed wheel is for one processor type."""
    try:
        distribution = importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError:
        return False  # A dependency of other operating systems.
    wheel = distribution.read_text("WHEEL") or ""
    return "-any\n" not in wheel
