"""Authenticates callers by API key and resolves their rank."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac

from hibiscusstile import outcome
from hibiscusstile.configuration import view as view_lib

__all__ = ["Caller", "authenticate", "key_digest", "parse_key"]

_KEY_PREFIX = "hs"
_KEY_PARTS = 3
_PLACEHOLDER_KEY = view_lib.ApiKey("none", "0" * 32, "0" * 64)


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller.

    Attributes:
        workspace: The workspace that the key belongs to.
        key: The key's record.
        rank: Name of the rank that applies to the request.
    """

    workspace: view_lib.Workspace
    key: view_lib.ApiKey
    rank: str


def key_digest(salt: str, secret: str) -> str:
    """Returns the salted digest under which records store a key's secret."""
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def parse_key(token: str) -> tuple[str, str] | None:
    """Splits `hs_ID_SECRET` into id and secret; None if malformed."""
    parts = token.split("_", _KEY_PARTS - 1)
    if len(parts) != _KEY_PARTS or parts[0] != _KEY_PREFIX:
        return None
    return parts[1], parts[2]


def authenticate(
    view: view_lib.ConfigurationView,
    authorization: str,
    requested_rank: str,
) -> Caller:
    """Returns the authenticated caller of a request.

    Args:
        view: The current configuration.
        authorization: Value of the Authorization header, `Bearer KEY`.
        requested_rank: Rank named in the request; empty for the key's rank.

    Raises:
        Refused: `unauthorized` for an invalid key, `forbidden` for a rank
            above the key's rank, `bad_request` for an unknown rank.
    """
    scheme, _, token = authorization.partition(" ")
    key_parts = parse_key(token.strip())
    if scheme.lower() != "bearer" or key_parts is None:
        raise _unauthorized()
    found = view.keys.get(key_parts[0])
    key = found[1] if found else _PLACEHOLDER_KEY
    # Unknown keys are compared with a placeholder, so that response time
    # does not reveal which key ids exist.
    digest_matches = hmac.compare_digest(
        key_digest(key.salt, key_parts[1]), key.digest
    )
    if found is None or not digest_matches:
        raise _unauthorized()
    workspace = found[0]
    return Caller(
        workspace, key, _resolve_rank(view, workspace, key, requested_rank)
    )


def _resolve_rank(
    view: view_lib.ConfigurationView,
    workspace: view_lib.Workspace,
    key: view_lib.ApiKey,
    requested_rank: str,
) -> str:
    policy = view.policies.get(workspace.policy)
    key_rank = key.rank or (policy.default_rank if policy else "routine")
    if not requested_rank or requested_rank == key_rank:
        return key_rank
    if requested_rank not in view.ranks:
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.BAD_REQUEST, f"unknown rank {requested_rank!r}"
            )
        )
    if (
        key_rank in view.ranks
        and view.ranks[requested_rank].level < view.ranks[key_rank].level
    ):
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.FORBIDDEN,
                f"rank {requested_rank!r} is above the key's rank {key_rank!r}",
            )
        )
    return requested_rank


def _unauthorized() -> outcome.Refused:
    return outcome.Refused(
        outcome.Refusal(
            outcome.Reason.UNAUTHORIZED, "the API key is missing or invalid"
        )
    )
