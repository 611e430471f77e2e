"""Output functions of the commands."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

from hibiscusstile.ctl import files

__all__ = ["print_error", "print_faults", "print_json"]


def print_error(text: str) -> None:
    """Prints a text to standard error, joined into one line."""
    print(" ".join(text.split()), file=sys.stderr)


def print_faults(faults: Sequence[files.FileFault]) -> None:
    """Prints each fault to standard error, one per line."""
    for fault in faults:
        print_error(f"{fault.path}: {fault.message}")


def print_json(document: Any) -> None:
    """Prints a JSON document to standard output."""
    print(json.dumps(document, indent=2))
