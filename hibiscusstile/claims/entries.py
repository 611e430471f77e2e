"""Records of a claims stream and the digests that identify a call."""

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
    """Digests of a call that has an idempotency key.

    Attributes:
        key: Digest of workspace, application and idempotency key.
        content: Digest of method, path, query and body.
    """

    key: bytes
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A sidecar process claims the right to run the call of a key.

    Attributes:
        claim_id: Unique id; a claim that is appended twice has the same one.
        digests: Digests of the call.
        peer_id: Peer id of the sidecar.
        incarnation: Id of the sidecar's process, new at each start.
    """

    claim_id: str
    digests: CallDigests
    peer_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The claiming process has not run the claimed call and never will."""

    claim_id: str
    key: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Result of the run of a claimed call.

    Attributes:
        claim_id: Id of the claim.
        key: Digest of the claimed key.
        verdict: `ran` if the service replied, else `may_have_run`.
        reply: Reply of the service; None if there was none or its body is
            longer than `MAX_LOGGED_BODY_BYTES`.
    """

    claim_id: str
    key: bytes
    verdict: outcome.Verdict
    reply: request.ServiceReply | None = None


ClaimRecord = Claim | Release | Completed


def digest_call(workspace: str, call: request.ServiceCall) -> CallDigests:
    """Returns the digests of a call that has an idempotency key.

    The hash is cryptographic: with a weaker one a caller could construct a
    key that collides with a key of another workspace and read its reply.
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
