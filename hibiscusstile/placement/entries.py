"""Entries of a lease stream in the log, and their encoding."""

from __future__ import annotations

import datetime
from typing import Annotated, Literal

import pydantic

__all__ = [
    "MAX_LEASE",
    "Claim",
    "Holding",
    "LeaseStreamEntry",
    "Release",
    "decode",
    "encode",
    "lease_stream",
]

# Longest lease that a claim can request. It limits how long a claim that
# appears late, or a holder that has died, blocks other claims.
MAX_LEASE = datetime.timedelta(seconds=60)

_Text = Annotated[str, pydantic.StringConstraints(min_length=1, max_length=200)]
_LeaseSeconds = Annotated[
    float, pydantic.Field(gt=0, le=MAX_LEASE.total_seconds())
]


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True)

    holder: _Text


class Claim(_Entry):
    """Requests a lease; the entry's offset is the fencing number."""

    op: Literal["claim"] = "claim"
    claim_id: _Text
    lease_s: _LeaseSeconds


class Release(_Entry):
    """Ends a lease before it expires."""

    op: Literal["release"] = "release"
    claim_id: _Text


class Holding(_Entry):
    """Reports the model and adapters that a sidecar's engine has loaded."""

    op: Literal["holding"] = "holding"
    model: str = ""
    weights_version: str = ""
    adapters: tuple[str, ...] = ()


LeaseStreamEntry = Claim | Release | Holding
_ADAPTER: pydantic.TypeAdapter[LeaseStreamEntry] = pydantic.TypeAdapter(
    Annotated[LeaseStreamEntry, pydantic.Field(discriminator="op")]
)


def lease_stream(region: str, weight_store: str) -> str:
    """Returns the name of the lease stream of a region and weight store."""
    return f"leases.{region}.{weight_store}"


def encode(entry: LeaseStreamEntry) -> bytes:
    """Returns the payload of a log entry."""
    return entry.model_dump_json().encode()


def decode(payload: bytes) -> LeaseStreamEntry | None:
    """Returns the entry in a payload, None if this version cannot read it."""
    try:
        return _ADAPTER.validate_json(payload)
    except pydantic.ValidationError:
        return None
