"""Random identifiers, and the scope within which cache blocks are shared."""

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
    """The properties that must match for a cached block to be reused.

    Attributes:
        workspace: Workspace whose prompts filled the block.
        model: Model name.
        adapter: Adapter name, empty without one.
        weights_version: Version of the weights in use.
    """

    workspace: str
    model: str
    adapter: str
    weights_version: str

    @property
    def salt(self) -> str:
        """The engine's `cache_salt`; blocks with another salt never match."""
        parts = (self.workspace, self.model, self.adapter, self.weights_version)
        return xxhash.xxh3_128_hexdigest("\x1f".join(parts).encode())

    @property
    def seed(self) -> int:
        """A 64-bit seed for prefix digests in this scope.

        It excludes the weights version, so that routing by prefix digest keeps
        its choices during a rollout. The salt still separates the cached
        blocks of different versions.
        """
        parts = (self.workspace, self.model, self.adapter)
        return xxhash.xxh3_64_intdigest("\x1f".join(parts).encode())
