"""Identifiers and the scope under which cache entries may be shared."""

from __future__ import annotations

import dataclasses
import secrets

import xxhash

__all__ = ["CacheScope", "new_id"]

_ID_BYTES = 9


def new_id(prefix: str) -> str:
    """Returns a fresh random identifier such as `req-Zk3...`."""
    return f"{prefix}-{secrets.token_urlsafe(_ID_BYTES)}"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheScope:
    """Everything that must match for a cached block to be reusable.

    Attributes:
        workspace: The workspace whose prompts filled the block.
        model: The model's name.
        adapter: The adapter's name, empty without one.
        weights_version: The version of the weights in use.
    """

    workspace: str
    model: str
    adapter: str
    weights_version: str

    @property
    def salt(self) -> str:
        """The engine's `cache_salt`: blocks of other salts never match."""
        parts = (self.workspace, self.model, self.adapter, self.weights_version)
        return xxhash.xxh3_128_hexdigest("\x1f".join(parts).encode())

    @property
    def seed(self) -> int:
        """A 64-bit seed for digests of prefixes under this scope.

        The weights version is left out, so that a rollout does not move
        prefixes to other runners. Cached blocks are told apart by the salt.
        """
        parts = (self.workspace, self.model, self.adapter)
        return xxhash.xxh3_64_intdigest("\x1f".join(parts).encode())
