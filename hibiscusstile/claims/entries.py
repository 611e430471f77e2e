"""Records of a claims stream, and the digests they carry."""

from __future__ import annotations

import dataclasses
import hashlib

from hibiscusstile import outcome, request

__all__ = [
    "MAX_LOGGED_BODY_BYTES",
    "CallDigests",
    "Claim",
    "ClaimRecord",
    "Completed",
    "Release",
    "digest_call",
]

MAX_LOGGED_BODY_BYTES = 4096
_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class CallDigests:
    """What the ledger knows of a call that carries an idempotency key.

    Attributes:
        key: Digest of workspace, application and key.
        content: Digest of method, path, query and body.
    """

    key: bytes
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One sidecar incarnation asks to be the only one to run a key.

    Attributes:
        claim_id: Fresh for each claim; duplicates of an append share it.
        digests: The key and the content it stands for.
        peer_id: The sidecar.
        incarnation: The sidecar's incarnation.
    """

    claim_id: str
    digests: CallDigests
    peer_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The holder's promise that it has not started a claim and never will."""

    claim_id: str
    key: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """How a claim's run ended.

    Attributes:
        claim_id: The claim.
        key: Its key.
        verdict: `ran` after an answer, else `may_have_run`.
        reply: The answer, None without one or when it is too long.
    """

    claim_id: str
    key: bytes
    verdict: outcome.Verdict
    reply: request.ServiceReply | None = None


ClaimRecord = Claim | Release | Completed


def digest_call(workspace: str, call: request.ServiceCall) -> CallDigests:
    """Returns the digests of a call that has an idempotency key.

    The digest is cryptographic: with a weaker one a caller could construct a
    key that collides with another workspace's key and read its answer.
    """
    key = _digest(
        workspace.encode(),
        call.application.encode(),
        (call.idempotency_key or "").encode(),
    )
    content = _digest(
        call.method.encode(),
        call.path.encode(),
        call.query.encode(),
        call.body,
    )
    return CallDigests(key, content)


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
