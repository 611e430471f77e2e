"""Messages that set up and maintain a connection between peers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Annotated

import pydantic

from hibiscusstile import suspects
from hibiscusstile.peers.messages.base import (
    Count,
    Nonce,
    PeerMessage,
    ShortText,
    message_types,
)

__all__ = [
    "HandshakeChallenge",
    "HandshakeProof",
    "HandshakeStart",
    "Hello",
    "Leaving",
    "PeerAddress",
    "PeerInfo",
    "Ping",
    "Pong",
    "SuspectNotice",
    "build_suspect_notice",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerInfo:
    """Address, location and service of a process.

    Attributes:
        peer_id: Name of the process in its settings.
        incarnation: Unique for each start of the process.
        role: `entry` or `sidecar`.
        host: IP address that peers connect to; empty for an entry.
        port: TCP port that peers connect to; 0 for an entry.
        zone: Availability zone.
        region: Region.
        backend_kind: Kind of a sidecar's backend server.
        model: The model it serves; empty for none.
        adapters: Adapters that are loaded.
        weights_version: Version of the model's weights.
        application: The application it serves; empty for none.
        leaving: Whether the process accepts no new requests.
    """

    peer_id: ShortText
    incarnation: ShortText
    role: ShortText
    host: ShortText
    port: int
    zone: ShortText
    region: ShortText
    backend_kind: ShortText = ""
    model: ShortText = ""
    adapters: tuple[ShortText, ...] = ()
    weights_version: ShortText = ""
    application: ShortText = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Peer address of a sidecar."""

    host: ShortText
    port: int


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeStart(PeerMessage):
    """The identity and nonce of the connecting side."""

    name = "handshake_start"
    peer_id: ShortText
    role: ShortText
    nonce: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeChallenge(PeerMessage):
    """The identity, nonce and proof of the accepting side."""

    name = "handshake_challenge"
    peer_id: ShortText
    role: ShortText
    nonce: Nonce
    proof: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeProof(PeerMessage):
    """The proof of the connecting side."""

    name = "handshake_proof"
    proof: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectNotice(PeerMessage):
    """Evidence about requests that were running when engines crashed.

    All charges of one crash are sent in one message: a process that knew only
    some of them could block the wrong request.
    """

    name = "suspect_notice"
    charges: tuple[suspects.CrashCharge, ...] = ()
    clearances: tuple[suspects.Clearance, ...] = ()

    @property
    def facts(self) -> tuple[suspects.Fact, ...]:
        """All charges and clearances."""
        return (*self.charges, *self.clearances)


def build_suspect_notice(facts: Iterable[suspects.Fact]) -> SuspectNotice:
    """Returns a message that contains the given facts."""
    fact_list = list(facts)
    return SuspectNotice(
        tuple(f for f in fact_list if isinstance(f, suspects.CrashCharge)),
        tuple(f for f in fact_list if isinstance(f, suspects.Clearance)),
    )


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """Sent by each side after the handshake, and again after any change.

    Attributes:
        info: Description of the sender.
        wants_peers: Whether the sender requests addresses of sidecars, since
            it has not yet read the platform's instance list.
        peers: Addresses of the sidecars that the sender knows.
        suspects: Requests that were running when an engine crashed.
    """

    name = "hello"
    info: PeerInfo
    wants_peers: bool = False
    peers: Annotated[
        tuple[PeerAddress, ...], pydantic.Field(max_length=1024)
    ] = ()
    suspects: SuspectNotice = SuspectNotice()


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(PeerMessage):
    """The sender accepts no new requests from now on."""

    name = "leaving"
    peer_id: ShortText


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Ping(PeerMessage):
    """Checks an idle connection."""

    name = "ping"
    number: Count


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Pong(PeerMessage):
    """Answers a ping."""

    name = "pong"
    number: Count
