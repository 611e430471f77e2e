"""Messages about a connection and the process at its other end."""

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
    """Where a process is and what it serves.

    Attributes:
        peer_id: The process's name in the settings.
        incarnation: Fresh at each start.
        role: `entry` or `sidecar`.
        host: IP address that peers connect to, empty for an entry.
        port: TCP port that peers connect to, 0 for an entry.
        zone: Availability zone.
        region: Region.
        backend_kind: Kind of the backend server beside a sidecar.
        model: Model in service, empty for none.
        adapters: Adapters in service.
        weights_version: Version of the model's weights.
        application: Application in service, empty for none.
        leaving: Whether the process takes no new work.
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
    """Where a sidecar can be reached."""

    host: ShortText
    port: int


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeStart(PeerMessage):
    """The connecting side's name and fresh nonce."""

    name = "handshake_start"
    peer_id: ShortText
    role: ShortText
    nonce: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeChallenge(PeerMessage):
    """The accepting side's name, fresh nonce and proof."""

    name = "handshake_challenge"
    peer_id: ShortText
    role: ShortText
    nonce: Nonce
    proof: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeProof(PeerMessage):
    """The connecting side's proof."""

    name = "handshake_proof"
    proof: Nonce


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectNotice(PeerMessage):
    """Facts about requests that were running when engines crashed.

    All requests charged with one crash travel together, because a process
    that knew only some of them could convict the wrong one.
    """

    name = "suspect_notice"
    charges: tuple[suspects.CrashCharge, ...] = ()
    clearances: tuple[suspects.Clearance, ...] = ()

    @property
    def facts(self) -> tuple[suspects.Fact, ...]:
        """All facts."""
        return (*self.charges, *self.clearances)


def build_suspect_notice(facts: Iterable[suspects.Fact]) -> SuspectNotice:
    """Returns the message that carries some facts."""
    known = list(facts)
    return SuspectNotice(
        tuple(f for f in known if isinstance(f, suspects.CrashCharge)),
        tuple(f for f in known if isinstance(f, suspects.Clearance)),
    )


@message_types.register()
@dataclasses.dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """First message of each side after the handshake, and on any change.

    Attributes:
        info: What the sender says of itself.
        wants_peers: Whether the sender asks for addresses of sidecars,
            because it has not seen the platform's list yet.
        peers: Sidecars that the sender knows.
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
    """The sender takes no new work from now on."""

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
