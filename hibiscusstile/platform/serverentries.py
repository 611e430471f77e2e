"""Decoding of the entries by which backend servers announce themselves."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from hibiscusstile.gateway import fleet
from hibiscusstile.platform import addresses, bounded, recorderrors

__all__ = ["SERVER_TOPIC", "EntryError", "decode_entry"]

SERVER_TOPIC = "keyed.servers"
_DRAINING = "draining"
_MAX_MODELS = 256

# Sent as a header of each request to the server.
_ServerId = Annotated[str, pydantic.StringConstraints(pattern=r"\A[!-~]+\z")]


class EntryError(ValueError):
    """An entry is malformed, or has a value out of range."""


class _Weights(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    name: bounded.Text
    version: bounded.Version


class _Entry(pydantic.BaseModel):
    # Other writers may leave out fields or use other types. Strict validation
    # rejects an entry with another type instead of converting it.
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: bounded.Text
    address: addresses.IpAddress
    zone: bounded.Text
    state: Literal["ready", "draining"]
    slots: bounded.Count
    # Start time of the server, as Unix time in ms. With the sequence, it tells
    # an entry of a running server from one of a server that has left.
    born: bounded.Count
    # Rises with each entry that a process writes.
    sequence: bounded.Count
    models: Annotated[
        list[_Weights], pydantic.Field(max_length=_MAX_MODELS)
    ] = []


_SERVER_ID = pydantic.TypeAdapter(_ServerId)


def decode_entry(server_id: str, value: bytes) -> fleet.BackendServer:
    """Returns the server that an entry describes.

    Args:
        server_id: Key of the entry.
        value: Value of the entry.

    Raises:
        EntryError: The entry is malformed, or has a value out of range.
    """
    try:
        _SERVER_ID.validate_python(server_id)
    except pydantic.ValidationError:
        raise EntryError("the key is not printable ASCII") from None
    try:
        parsed = _Entry.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise EntryError(recorderrors.describe_first(error)) from None
    return fleet.BackendServer(
        server_id=server_id,
        service=parsed.service,
        address=parsed.address,
        zone=parsed.zone,
        slots=parsed.slots,
        leaving=parsed.state == _DRAINING,
        started_ms=parsed.born,
        sequence=parsed.sequence,
        weights={each.name: each.version for each in parsed.models},
    )
