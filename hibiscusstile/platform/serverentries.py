"""Decoding of the entries by which backend servers announce themselves."""

from __future__ import annotations

from typing import Literal

import pydantic

from hibiscusstile.gateway import fleet

__all__ = ["SERVER_TOPIC", "decode_entry"]

SERVER_TOPIC = "keyed.servers"
_DRAINING = "draining"


class _Weights(pydantic.BaseModel):
    name: str
    version: pydantic.StrictInt


class _Entry(pydantic.BaseModel):
    # Other writers may leave out fields or use other types. Strict validation
    # rejects an entry with another type instead of converting it.
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: int = 0
    # Start time of the server, as Unix time in ms.
    born: int = 0
    models: list[_Weights] = []

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal():
            raise ValueError("address is not of the form ip:port")
        return value


def decode_entry(server_id: str, value: bytes) -> fleet.BackendServer | None:
    """Returns the server that an entry describes, None if it is malformed.

    Args:
        server_id: Key of the entry.
        value: Value of the entry.
    """
    try:
        parsed = _Entry.model_validate_json(value)
    except pydantic.ValidationError:
        return None
    return fleet.BackendServer(
        server_id=server_id,
        service=parsed.service,
        address=parsed.address,
        zone=parsed.zone,
        slots=parsed.slots,
        leaving=parsed.state == _DRAINING,
        started_ms=parsed.born,
        weights={each.name: each.version for each in parsed.models},
    )
