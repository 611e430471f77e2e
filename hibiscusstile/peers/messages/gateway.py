"""Messages between gateways: soft state that may be lost."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import pydantic

from hibiscusstile.peers.messages.base import (
    Count,
    PeerMessage,
    Seconds,
    ShortText,
    message_types,
)

__all__ = [
    "MAX_NOTICE_ENTRIES",
    "GatewayConfiguration",
    "GatewayNotice",
    "LeaseClaimUpdate",
    "LoadUpdate",
    "PrefillDoneUpdate",
    "PrefixUpdate",
    "WeightsChangeUpdate",
    "WeightsUpdate",
]

MAX_NOTICE_ENTRIES = 4096
# As large as a frame leaves room for.
_MAX_RECORD_BYTES = 5 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class LoadUpdate:
    """What the sender has under way at a backend server.

    Attributes:
        server: The server's id.
        running: Requests.
        waiting: Prompt tokens of those that have not started.
    """

    server: ShortText
    running: Count
    waiting: Count


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixUpdate:
    """A prompt part that an engine reads, or holds in its cache.

    Attributes:
        server: The engine's id.
        salt: Namespace of the part.
        part: The part's id.
        tokens: Its length.
        reading: Whether the engine has still to read it.
    """

    server: ShortText
    salt: ShortText
    part: ShortText
    tokens: Count
    reading: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillDoneUpdate:
    """A prompt part that is not being read any more.

    Attributes:
        salt: Namespace of the part.
        part: The part's id.
    """

    salt: ShortText
    part: ShortText


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsChangeUpdate:
    """An engine that is about to take new weights.

    Attributes:
        server: The engine's id.
        for_s: How long it is expected to be away.
    """

    server: ShortText
    for_s: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsUpdate:
    """A version of weights that the sender has learnt of.

    Attributes:
        model: The model.
        version: The version.
        server: The engine that has it; empty for a version named by
            operators.
    """

    model: ShortText
    version: Count
    server: ShortText = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaimUpdate:
    """The sender has acquired the lease for weights orders.

    Attributes:
        fence: The fencing token.
    """

    fence: Count


_Loads = Annotated[
    tuple[LoadUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]
_Prefixes = Annotated[
    tuple[PrefixUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]
_Reads = Annotated[
    tuple[PrefillDoneUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]
_Changes = Annotated[
    tuple[WeightsChangeUpdate, ...],
    pydantic.Field(max_length=MAX_NOTICE_ENTRIES),
]
_Weights = Annotated[
    tuple[WeightsUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]

_Claims = Annotated[
    tuple[LeaseClaimUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayNotice(PeerMessage):
    """What has changed at the sender since its last notice."""

    name = "gateway_notice"
    loads: _Loads = ()
    prefixes: _Prefixes = ()
    changes: _Changes = ()
    weights: _Weights = ()
    claims: _Claims = ()
    reads: _Reads = ()


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfiguration(PeerMessage):
    """The operators' configuration, for a gateway without the store.

    Attributes:
        record: Its record, as operators wrote it.
    """

    name = "gateway_configuration"
    record: Annotated[bytes, pydantic.Field(max_length=_MAX_RECORD_BYTES)]
