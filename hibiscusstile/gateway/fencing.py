"""Fencing tokens that grow with the era and the offset of a claim."""

from __future__ import annotations

__all__ = ["MAX_ERA", "fencing_token"]

# Offsets of the topic of claims stay far below this: an instance appends less
# than one claim per second.
_OFFSET_BITS = 32
# Engines may parse tokens as double-precision numbers, which represent all
# integers below 2**53.
_TOKEN_BITS = 53
MAX_ERA = 2 ** (_TOKEN_BITS - _OFFSET_BITS) - 1


def fencing_token(era: int | None, offset: int) -> int | None:
    """Returns the token of a claim, or None if it is out of range.

    Args:
        era: Era of the log at the claim; None if the log does not tell it.
        offset: Offset of the claim in its topic.
    """
    if not 0 <= (era or 0) <= MAX_ERA or not 0 < offset + 1 < 2**_OFFSET_BITS:
        return None
    return ((era or 0) << _OFFSET_BITS) + offset + 1
