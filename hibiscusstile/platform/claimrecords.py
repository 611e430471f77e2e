"""Records of claims of the rollout lease."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import pydantic

__all__ = ["ClaimRecord", "decode", "encode"]

# Holders are names of instances. Longer ones would fill the logs.
_MAX_HOLDER_CHARACTERS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim as the log stores it.

    Attributes:
        holder: Name of the process that claims the lease.
    """

    holder: str


class _Body(pydantic.BaseModel):
    holder: Annotated[
        str,
        pydantic.Field(min_length=1, max_length=_MAX_HOLDER_CHARACTERS),
    ]


def encode(record: ClaimRecord) -> bytes:
    """Encodes a claim."""
    return _Body(holder=record.holder).model_dump_json().encode()


def decode(payload: bytes) -> ClaimRecord | None:
    """Decodes a claim; returns None if it is not one."""
    try:
        body = _Body.model_validate_json(payload)
    except pydantic.ValidationError:
        return None
    return ClaimRecord(body.holder)
