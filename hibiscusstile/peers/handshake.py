"""Mutual proof of the shared secret at the start of a connection.

Each side proves the secret over both fresh nonces and both names, so that a
recorded handshake is worth nothing on another connection. The direction is
part of the proof, so that a proof cannot be reflected to its sender.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import hashlib
import hmac
import secrets
from typing import TypeVar

from hibiscusstile.peers import codec, messages
from hibiscusstile.peers import connection as connection_lib

__all__ = ["HandshakeError", "Identity", "accept", "connect"]

_TIMEOUT = datetime.timedelta(seconds=3)
_NONCE_BYTES = 32

_M = TypeVar("_M", bound=messages.PeerMessage)


class HandshakeError(Exception):
    """The other side did not prove the secret in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name and role of a process."""

    peer_id: str
    role: str


async def connect(
    connection: connection_lib.PeerConnection, me: Identity, secret: bytes
) -> Identity:
    """Proves the secret as the connecting side.

    Returns:
        The accepting side's identity.

    Raises:
        HandshakeError: The other side did not prove the secret in time.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    async with asyncio.timeout(_TIMEOUT.total_seconds()):
        await connection.send(
            messages.HandshakeStart(me.peer_id, me.role, nonce)
        )
        answer = await _expect(connection, messages.HandshakeChallenge)
        other = Identity(answer.peer_id, answer.role)
        wanted = _proof(secret, b"accept", other, me, answer.nonce, nonce)
        if not hmac.compare_digest(wanted, answer.proof):
            raise HandshakeError(f"{other.peer_id!r} did not prove the secret")
        proof = _proof(secret, b"connect", me, other, nonce, answer.nonce)
        await connection.send(messages.HandshakeProof(proof))
    return other


async def accept(
    connection: connection_lib.PeerConnection, me: Identity, secret: bytes
) -> Identity:
    """Proves the secret as the accepting side.

    Returns:
        The connecting side's identity.

    Raises:
        HandshakeError: The other side did not prove the secret in time.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    async with asyncio.timeout(_TIMEOUT.total_seconds()):
        start = await _expect(connection, messages.HandshakeStart)
        other = Identity(start.peer_id, start.role)
        proof = _proof(secret, b"accept", me, other, nonce, start.nonce)
        await connection.send(
            messages.HandshakeChallenge(me.peer_id, me.role, nonce, proof)
        )
        answer = await _expect(connection, messages.HandshakeProof)
    wanted = _proof(secret, b"connect", other, me, start.nonce, nonce)
    if not hmac.compare_digest(wanted, answer.proof):
        raise HandshakeError(f"{other.peer_id!r} did not prove the secret")
    return other


async def _expect(
    connection: connection_lib.PeerConnection, cls: type[_M]
) -> _M:
    try:
        envelope = await connection.receive()
    except codec.FrameError as error:
        raise HandshakeError(str(error)) from None
    if not isinstance(envelope.message, cls):
        raise HandshakeError(
            f"expected {cls.name}, got {envelope.message.name}"
        )
    return envelope.message


def _proof(
    secret: bytes,
    direction: bytes,
    prover: Identity,
    other: Identity,
    prover_nonce: bytes,
    other_nonce: bytes,
) -> bytes:
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    fields = (
        direction,
        prover.peer_id.encode(),
        prover.role.encode(),
        other.peer_id.encode(),
        other.role.encode(),
        prover_nonce,
        other_nonce,
    )
    for field in fields:
        mac.update(len(field).to_bytes(4, "big"))
        mac.update(field)
    return mac.digest()
