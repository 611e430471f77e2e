"""Messages between gateways, whose loss is tolerated."""

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
    "ClearanceUpdate",
    "CrashUpdate",
    "GatewayConfiguration",
    "GatewayCountUpdate",
    "GatewayNotice",
    "LeaseClaimUpdate",
    "LeavingUpdate",
    "LoadUpdate",
    "MemoryUpdate",
    "PrefillDoneUpdate",
    "PrefixUpdate",
    "RatesUpdate",
    "WeightsChangeUpdate",
    "WeightsUpdate",
]

MAX_NOTICE_ENTRIES = 4096
# Leaves room for the other parts of a frame.
_MAX_RECORD_BYTES = 5 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class LoadUpdate:
    """The load that the sender puts on a backend server.

    Attributes:
        server: Id of the backend server.
        running: Requests in flight.
        waiting: Prompt tokens of requests that have not started.
    """

    server: ShortText
    running: Count
    waiting: Count


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryUpdate:
    """Memory that the sender's requests need at a backend server.

    Attributes:
        server: Id of the backend server.
        tokens: Prompt tokens and longest answers.
        body_bytes: Size of the bodies.
    """

    server: ShortText
    tokens: Count
    body_bytes: Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixUpdate:
    """A prompt part that an engine prefills or has in its cache.

    Attributes:
        server: Id of the engine.
        salt: Cache namespace of the part.
        part: Id of the part.
        tokens: Length of the part.
        reading: Whether the prefill has not yet ended.
    """

    server: ShortText
    salt: ShortText
    part: ShortText
    tokens: Count
    reading: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillDoneUpdate:
    """A prompt part whose prefill has ended.

    Attributes:
        salt: Cache namespace of the part.
        part: Id of the part.
    """

    salt: ShortText
    part: ShortText


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsChangeUpdate:
    """An engine that is about to load new weights.

    Attributes:
        server: Id of the engine.
        for_s: Expected seconds until it is available again.
    """

    server: ShortText
    for_s: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsUpdate:
    """A weights version that the sender has learned of.

    Attributes:
        model: Name of the model.
        version: Version of its weights.
        server: Id of the engine that has loaded the version; empty for the
            target version set by operators.
        age_s: Seconds since a target version was published; None if the sender
            does not know.
    """

    model: ShortText
    version: Count
    server: ShortText = ""
    age_s: Seconds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaimUpdate:
    """The sender has acquired the lease for weights rollouts.

    Attributes:
        fence: Fencing token of the lease.
    """

    fence: Count


@dataclasses.dataclass(frozen=True, slots=True)
class RatesUpdate:
    """The sender's estimate of the engines of a service.

    Attributes:
        service: Name of the service.
        sizes: Seconds for each part of the time to the first token.
        observations: Observations behind the estimate.
    """

    service: ShortText
    sizes: Annotated[
        tuple[Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)], ...],
        pydantic.Field(max_length=16),
    ]
    observations: Count


@dataclasses.dataclass(frozen=True, slots=True)
class CrashUpdate:
    """A crash of a backend server, and a request that it was running.

    Earlier releases sent all of its requests in one update.

    Attributes:
        crash: Id of the server and its start time.
        keys: Keys of the request and of its prompt parts.
        age_s: Seconds since the crash.
        survived: Whether the server had run the request for a while.
    """

    crash: ShortText
    keys: Annotated[
        tuple[ShortText, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
    ]
    age_s: Seconds = 0.0
    survived: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClearanceUpdate:
    """A request or prompt part that a server has completed.

    Attributes:
        key: Key of the request or the part.
        age_s: Seconds since the completion.
    """

    key: ShortText
    age_s: Seconds = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingUpdate:
    """A server that has said in a response that it is shutting down.

    Attributes:
        server: Id of the backend server.
        started_ms: Its start time as Unix time in ms; 0 if unknown.
        age_s: Seconds since it said so.
    """

    server: ShortText
    started_ms: Count = 0
    age_s: Seconds = 0.0


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

_Rates = Annotated[
    tuple[RatesUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]

_Crashes = Annotated[
    tuple[CrashUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]

_Clearances = Annotated[
    tuple[ClearanceUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]

_Leaving = Annotated[
    tuple[LeavingUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]

_Memory = Annotated[
    tuple[MemoryUpdate, ...], pydantic.Field(max_length=MAX_NOTICE_ENTRIES)
]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayCountUpdate:
    """The number of gateways that the sender divides allowances by.

    Attributes:
        gateways: The number.
        for_s: Seconds since it is as high.
        age_s: Seconds since as many gateways were announced.
    """

    gateways: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    for_s: Seconds
    age_s: Seconds


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayNotice(PeerMessage):
    """Changes at the sender since its last notice."""

    name = "gateway_notice"
    loads: _Loads = ()
    prefixes: _Prefixes = ()
    changes: _Changes = ()
    weights: _Weights = ()
    claims: _Claims = ()
    reads: _Reads = ()
    rates: _Rates = ()
    crashes: _Crashes = ()
    clearances: _Clearances = ()
    leaving: _Leaving = ()
    memory: _Memory = ()
    counted: GatewayCountUpdate | None = None


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfiguration(PeerMessage):
    """The operators' configuration, for a gateway that cannot read the store.

    Attributes:
        record: The unmodified record of the configuration.
    """

    name = "gateway_configuration"
    record: Annotated[bytes, pydantic.Field(max_length=_MAX_RECORD_BYTES)]
