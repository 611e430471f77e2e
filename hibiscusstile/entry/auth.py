"""Finds the workspace that a caller's key opens."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac

from hibiscusstile import outcome
from hibiscusstile.configuration import view as view_lib

__all__ = ["Caller", "authenticate", "key_digest", "split_key"]

_PREFIX = "hs"
_PARTS = 3
_NO_KEY = view_lib.ApiKey("none", "0" * 32, "0" * 64)


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller.

    Attributes:
        workspace: The workspace the key opens.
        key: The key's record.
        rank: Name of the rank of the caller's work.
    """

    workspace: view_lib.Workspace
    key: view_lib.ApiKey
    rank: str


def key_digest(salt: str, secret: str) -> str:
    """Returns the digest that records hold of a key's secret part."""
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def split_key(token: str) -> tuple[str, str] | None:
    """Returns key id and secret of `hs_ID_SECRET`, None for other text."""
    parts = token.split("_", _PARTS - 1)
    if len(parts) != _PARTS or parts[0] != _PREFIX:
        return None
    return parts[1], parts[2]


def authenticate(
    view: view_lib.ConfigurationView,
    authorization: str,
    wanted_rank: str,
) -> Caller:
    """Returns the caller of a request.

    Args:
        view: The configuration in force.
        authorization: The header's value, `Bearer KEY`.
        wanted_rank: A rank that the caller asks for; empty for its own.

    Raises:
        Refused: `unauthorized` for a wrong key, `forbidden` for a rank
            above the caller's own, `bad_request` for an unknown rank.
    """
    scheme, _, token = authorization.partition(" ")
    split = split_key(token.strip())
    if scheme.lower() != "bearer" or split is None:
        raise _unauthorized()
    found = view.keys.get(split[0])
    key = found[1] if found else _NO_KEY
    # The digest is compared for unknown keys too, so that timing does not
    # tell which key ids exist.
    matches = hmac.compare_digest(key_digest(key.salt, split[1]), key.digest)
    if found is None or not matches:
        raise _unauthorized()
    workspace = found[0]
    return Caller(workspace, key, _rank(view, workspace, key, wanted_rank))


def _rank(
    view: view_lib.ConfigurationView,
    workspace: view_lib.Workspace,
    key: view_lib.ApiKey,
    wanted: str,
) -> str:
    policy = view.policies.get(workspace.policy)
    own = key.rank or (policy.default_rank if policy else "routine")
    if not wanted or wanted == own:
        return own
    if wanted not in view.ranks:
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.BAD_REQUEST, f"unknown rank {wanted!r}"
            )
        )
    if own in view.ranks and view.ranks[wanted].level < view.ranks[own].level:
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.FORBIDDEN,
                f"rank {wanted!r} is above this key's rank {own!r}",
            )
        )
    return wanted


def _unauthorized() -> outcome.Refused:
    return outcome.Refused(
        outcome.Refusal(
            outcome.Reason.UNAUTHORIZED, "the key is missing or not valid"
        )
    )
