"""What the local engine holds in its prefix cache, as far as is known."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from hibiscusstile import backends, request

__all__ = ["CacheView"]

_MAX_ENTRIES = 200_000


class CacheView:
    """Knowledge of cached prefixes, by cache salt and prefix digest.

    The salt names workspace, model, adapter and weights version, so that
    prefixes of other scopes never match. A new incarnation of the engine
    empties the view.

    Args:
        max_entries: Bound of the prefixes remembered.
    """

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._incarnation = ""
        self._last_number = -1
        self._tokens: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )

    @property
    def incarnation(self) -> str:
        """The engine's incarnation that the view describes."""
        return self._incarnation

    @property
    def last_number(self) -> int:
        """Number of the last cache event seen; -1 for none."""
        return self._last_number

    def __len__(self) -> int:
        return len(self._tokens)

    def reset(self, incarnation: str) -> None:
        """Forgets everything; the engine has started anew."""
        self._incarnation = incarnation
        self._last_number = -1
        self._tokens.clear()

    def admit(
        self,
        incarnation: str,
        salt: str,
        levels: Sequence[request.PrefixLevel],
    ) -> None:
        """Notes the levels of a prompt that the engine has computed."""
        if incarnation != self._incarnation:
            return
        for level in levels:
            self._store(salt, level.digest, level.tokens)

    def apply(self, batch: backends.CacheEvents) -> None:
        """Applies cache events; those of another incarnation are dropped."""
        if batch.incarnation != self._incarnation:
            return
        for event in batch.events:
            if event.number <= self._last_number:
                continue
            self._last_number = event.number
            if event.kind is backends.BlockEventKind.STORED:
                self._store(event.salt, event.digest, event.tokens)
            else:
                self._tokens.pop((event.salt, event.digest), None)

    def replace(self, listing: backends.CacheEvents) -> None:
        """Takes a listing of all cached prefixes in place of what it knew."""
        self.reset(listing.incarnation)
        for event in listing.events:
            self._store(event.salt, event.digest, event.tokens)
        self._last_number = listing.last_number

    def cached_tokens(
        self, salt: str, levels: Sequence[request.PrefixLevel]
    ) -> int:
        """Returns tokens of the deepest level that is held."""
        for level in reversed(levels):
            key = (salt, level.digest)
            if key in self._tokens:
                self._tokens.move_to_end(key)
                return min(level.tokens, self._tokens[key])
        return 0

    def _store(self, salt: str, digest: int, tokens: int) -> None:
        key = (salt, digest)
        self._tokens[key] = tokens
        self._tokens.move_to_end(key)
        if len(self._tokens) > self._max_entries:
            self._tokens.popitem(last=False)
