"""What commands print."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

from hibiscusstile.ctl import files

__all__ = ["print_error", "print_faults", "print_json"]


def print_error(text: str) -> None:
    """Prints one line to standard error."""
    print(" ".join(text.split()), file=sys.stderr)


def print_faults(faults: Sequence[files.FileFault]) -> None:
    """Prints one line for each fault to standard error."""
    for fault in faults:
        print_error(f"{fault.path}: {fault.message}")


def print_json(document: Any) -> None:
    """Prints a document to standard output."""
    print(json.dumps(document, indent=2))
