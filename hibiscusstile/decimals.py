"""Parsing of the whole numbers that other processes send as text."""

from __future__ import annotations

import re

__all__ = ["parse"]

# Values fit in 64 bits. Python raises `ValueError` for 4,300 digits, and
# `OverflowError` where an integer of 310 digits is used as a float.
_DECIMAL = re.compile(r"[0-9]{1,18}")


def parse(text: str) -> int | None:
    """Returns the number, None unless the text is 1 to 18 ASCII digits."""
    return int(text) if _DECIMAL.fullmatch(text) else None
