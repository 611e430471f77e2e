"""Bounded numbers and texts of the records in the platform's store.

The bounds are far above what the platform uses. Beyond them a value fails only
where it is used: as a time, a floating-point number or a header.
"""

from __future__ import annotations

from typing import Annotated

import pydantic

__all__ = ["Count", "Milliseconds", "Rank", "Rate", "Text", "Version", "Weight"]

_MAX_COUNT = 2**53
_MAX_MILLISECONDS = 1_000_000_000
_MAX_RANK = 1_000_000
_MAX_RATE = 1_000_000_000_000
_MAX_TEXT_LENGTH = 256
_MAX_VERSION = 2**63 - 1
_MAX_WEIGHT = 1_000_000_000

Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
"""A number of things, or a Unix time in ms."""
Milliseconds = Annotated[
    float, pydantic.Field(ge=0, le=_MAX_MILLISECONDS, allow_inf_nan=False)
]
"""A duration of at most 11 days."""
Rank = Annotated[int, pydantic.Field(ge=-_MAX_RANK, le=_MAX_RANK)]
"""A rank of requests."""
Rate = Annotated[float, pydantic.Field(ge=0, le=_MAX_RATE, allow_inf_nan=False)]
"""A number of tokens or requests, or of these per second."""
Text = Annotated[
    str,
    pydantic.StringConstraints(
        max_length=_MAX_TEXT_LENGTH, pattern=r"\A[^\x00-\x1f\x7f]*\z"
    ),
]
"""A name without control characters; some names are sent as headers."""
Version = Annotated[int, pydantic.Field(ge=0, le=_MAX_VERSION)]
"""A version of a configuration or of weights."""
Weight = Annotated[
    float, pydantic.Field(ge=0, le=_MAX_WEIGHT, allow_inf_nan=False)
]
"""A weight of a traffic split."""
