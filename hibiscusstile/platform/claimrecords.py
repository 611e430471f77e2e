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
    """A claim as the log stores it, or the opening of an era.

    Attributes:
        holder: Name of the process that claims the lease.
        address: IP address of its instance; empty if an older release wrote the
            claim.
        era: Era of the log in which the claim counts; None if the log does not
            tell it, or if an older release wrote the claim.
        opens_era: Whether the record claims nothing, but states that none of
            the earlier claims counts any more. Older releases take it for a
            claim.
    """

    holder: str
    address: str = ""
    era: int | None = None
    opens_era: bool = False


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
    opens_era: bool | None = None


def encode(record: ClaimRecord) -> bytes:
    """Encodes a claim."""
    body = _Body(
        holder=record.holder,
        address=record.address,
        era=record.era,
        opens_era=record.opens_era or None,
    )
    return body.model_dump_json(exclude_none=True).encode()


def decode(payload: bytes) -> ClaimRecord | None:
    """Decodes a claim; returns None if it is not one."""
    try:
        body = _Body.model_validate_json(payload)
    except pydantic.ValidationError:
        return None
    return ClaimRecord(
        body.holder, body.address, body.era, body.opens_era or False
    )
