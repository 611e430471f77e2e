"""Base class of the peer messages, and types of their fields."""

from __future__ import annotations

from typing import Annotated

import pydantic

from hibiscusstile import registry, request

__all__ = [
    "Count",
    "Nonce",
    "PeerMessage",
    "PrefixLevels",
    "Seconds",
    "ShortText",
    "message_types",
]

ShortText = Annotated[str, pydantic.StringConstraints(max_length=512)]
PrefixLevels = Annotated[
    tuple[request.PrefixLevel, ...], pydantic.Field(max_length=16)
]
Seconds = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(ge=0)]
Nonce = Annotated[bytes, pydantic.Field(min_length=32, max_length=32)]


class PeerMessage:
    """Base class of all peer messages.

    Attributes:
        name: Name of the type in encoded messages.
        aliases: Further names that decode to this type.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()


message_types: registry.Registry[PeerMessage] = registry.Registry(
    "peer message"
)
