"""Decodes the entries by which backend servers announce themselves."""

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
    # Entries of other writers lack fields or have them of another type; such
    # an entry names no server, so types are not converted.
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: int = 0
    # When this lifetime of the server began, as Unix time in ms.
    born: int = 0
    models: list[_Weights] = []

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal():
            raise ValueError("is not ip:port")
        return value


def decode_entry(server_id: str, value: bytes) -> fleet.BackendServer | None:
    """Returns the server that an entry names; None if it names none.

    Args:
        server_id: The entry's key.
        value: The entry.
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
