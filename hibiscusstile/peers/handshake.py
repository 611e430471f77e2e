"""Mutual authentication with a shared secret at the start of a connection.

The proof of each side is an HMAC over both nonces and both identities, so that
a recorded handshake cannot be replayed on another connection. It also covers
the direction, so that a proof cannot be reflected to its sender.
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

_MessageT = TypeVar("_MessageT", bound=messages.PeerMessage)


class HandshakeError(Exception):
    """The remote side did not authenticate itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name and role of a process."""

    peer_id: str
    role: str


async def connect(
    connection: connection_lib.PeerConnection, identity: Identity, secret: bytes
) -> Identity:
    """Authenticates both sides, as the connecting side.

    Returns:
        The accepting side's identity.

    Raises:
        HandshakeError: The remote side did not prove that it knows the secret.
        TimeoutError: The handshake took too long.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    async with asyncio.timeout(_TIMEOUT.total_seconds()):
        await connection.send(
            messages.HandshakeStart(identity.peer_id, identity.role, nonce)
        )
        challenge = await _receive_expected(
            connection, messages.HandshakeChallenge
        )
        remote = Identity(challenge.peer_id, challenge.role)
        expected_proof = _compute_proof(
            secret, b"accept", remote, identity, challenge.nonce, nonce
        )
        if not hmac.compare_digest(expected_proof, challenge.proof):
            raise HandshakeError(f"{remote.peer_id!r} did not prove the secret")
        proof = _compute_proof(
            secret, b"connect", identity, remote, nonce, challenge.nonce
        )
        await connection.send(messages.HandshakeProof(proof))
    return remote


async def accept(
    connection: connection_lib.PeerConnection, identity: Identity, secret: bytes
) -> Identity:
    """Authenticates both sides, as the accepting side.

    Returns:
        The connecting side's identity.

    Raises:
        HandshakeError: The remote side did not prove that it knows the secret.
        TimeoutError: The handshake took too long.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    async with asyncio.timeout(_TIMEOUT.total_seconds()):
        start_message = await _receive_expected(
            connection, messages.HandshakeStart
        )
        remote = Identity(start_message.peer_id, start_message.role)
        proof = _compute_proof(
            secret, b"accept", identity, remote, nonce, start_message.nonce
        )
        await connection.send(
            messages.HandshakeChallenge(
                identity.peer_id, identity.role, nonce, proof
            )
        )
        proof_message = await _receive_expected(
            connection, messages.HandshakeProof
        )
    expected_proof = _compute_proof(
        secret, b"connect", remote, identity, start_message.nonce, nonce
    )
    if not hmac.compare_digest(expected_proof, proof_message.proof):
        raise HandshakeError(f"{remote.peer_id!r} did not prove the secret")
    return remote


async def _receive_expected(
    connection: connection_lib.PeerConnection, cls: type[_MessageT]
) -> _MessageT:
    try:
        envelope = await connection.receive()
    except codec.FrameError as error:
        raise HandshakeError(str(error)) from None
    if not isinstance(envelope.message, cls):
        raise HandshakeError(
            f"expected {cls.name}, got {envelope.message.name}"
        )
    return envelope.message


def _compute_proof(
    secret: bytes,
    direction: bytes,
    prover: Identity,
    verifier: Identity,
    prover_nonce: bytes,
    verifier_nonce: bytes,
) -> bytes:
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    fields = (
        direction,
        prover.peer_id.encode(),
        prover.role.encode(),
        verifier.peer_id.encode(),
        verifier.role.encode(),
        prover_nonce,
        verifier_nonce,
    )
    for field in fields:
        mac.update(len(field).to_bytes(4, "big"))
        mac.update(field)
    return mac.digest()
