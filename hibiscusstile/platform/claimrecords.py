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
        address: IP address of its instance; empty if an older release wrote the
            claim.
        era: Era of the log in which the claim counts; None if the log does not
            tell it, or if an older release wrote the claim.
    """

    holder: str
    address: str = ""
    era: int | None = None


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    holder: Annotated[
        str,
        pydantic.Field(min_length=1, max_length=_MAX_HOLDER_CHARACTERS),
    ]
    address: Annotated[
        str, pydantic.Field(max_length=_MAX_HOLDER_CHARACTERS)
    ] = ""
    era: Annotated[int, pydantic.Field(ge=0)] | None = None


def encode(record: ClaimRecord) -> bytes:
    """Encodes a claim."""
    body = _Body(holder=record.holder, address=record.address, era=record.era)
    return body.model_dump_json(exclude_none=True).encode()


def decode(payload: bytes) -> ClaimRecord | None:
    """Decodes a claim; returns None if it is not one."""
    try:
        body = _Body.model_validate_json(payload)
    except pydantic.ValidationError:
        return None
    return ClaimRecord(body.holder, body.address, body.era)
