"""Approximate model of the local engine's prefix cache."""

from __future__ import annotations

import collections
import math
from collections.abc import Sequence

from hibiscusstile import backends, request

__all__ = ["CacheView"]

_MAX_ENTRIES = 200_000
# Fits 860 workspaces with many models and weights versions each.
_MAX_SALTS = 20_000
# Applied when the engine removes an entry that the view evicted earlier: the
# capacity estimate was too low.
_CAPACITY_GROWTH = 1.01
_SPAN_BITS = 32
_SPAN_MASK = (1 << _SPAN_BITS) - 1
_DIGEST_BITS = 64


class CacheView:
    """Tracks cached prefixes by cache salt and prefix digest.

    The salt identifies workspace, model, adapter and weights version, so
    prefixes of other scopes never match. The view is cleared for a new
    incarnation of the engine.

    A lost removal event would leave a stale entry behind. The view therefore
    keeps entries in the engine's least-recently-used order, estimates the
    engine's capacity from the removals it sees, and evicts beyond that.

    Args:
        max_entries: Upper bound on tracked prefixes.
    """

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._incarnation = ""
        self._last_number = -1
        self._lost_events = 0
        self._block_tokens = 0
        self._held_tokens = 0
        self._capacity_tokens = math.inf
        self._salt_ids: dict[str, int] = {}
        # Key: salt id and, in the low bits, digest. Value: the prefix's tokens
        # and, in the low bits, its span (the tokens beyond the next outer
        # level). Packing each into an integer keeps 100,000 entries small.
        self._entries: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    @property
    def incarnation(self) -> str:
        """The engine incarnation that the view describes."""
        return self._incarnation

    @property
    def last_number(self) -> int:
        """Sequence number of the last cache event applied, or -1."""
        return self._last_number

    @property
    def lost_events(self) -> int:
        """Events of this incarnation missing from the sequence."""
        return self._lost_events

    @property
    def capacity_tokens(self) -> float:
        """Estimated cache size of the engine; infinite before any removal."""
        return self._capacity_tokens

    def __len__(self) -> int:
        return len(self._entries)

    def reset(self, incarnation: str) -> None:
        """Clears the view for a new incarnation of the engine."""
        self._incarnation = incarnation
        self._last_number = -1
        self._lost_events = 0
        self._held_tokens = 0
        self._salt_ids.clear()
        self._entries.clear()

    def admit(
        self,
        incarnation: str,
        salt: str,
        levels: Sequence[request.PrefixLevel],
    ) -> None:
        """Adds the prefix levels of a prompt that the engine has computed.

        Those computed by another incarnation are ignored.
        """
        if incarnation != self._incarnation:
            return
        # Outer levels become the most recently used, as in the engine, so
        # that they are evicted after the inner levels that depend on them.
        for index in range(len(levels) - 1, -1, -1):
            level = levels[index]
            outer_tokens = levels[index - 1].tokens if index else 0
            self._store(
                salt, level.digest, level.tokens, level.tokens - outer_tokens
            )
        self._evict()

    def apply(self, batch: backends.CacheEvents) -> None:
        """Applies cache events; ignores those of another incarnation."""
        if batch.incarnation != self._incarnation:
            return
        for event in batch.events:
            if event.number <= self._last_number:
                continue
            self._lost_events += event.number - self._last_number - 1
            self._last_number = event.number
            self._block_tokens = math.gcd(self._block_tokens, event.tokens)
            if event.kind is backends.BlockEventKind.STORED:
                self._apply_stored(event)
            else:
                self._apply_removed(event)
        self._evict()

    def replace(self, listing: backends.CacheEvents) -> None:
        """Replaces the contents with a full listing of cached prefixes."""
        self.reset(listing.incarnation)
        for event in listing.events:
            self._block_tokens = math.gcd(self._block_tokens, event.tokens)
            self._apply_stored(event)
        self._evict()
        self._last_number = listing.last_number

    def cached_tokens(
        self, salt: str, levels: Sequence[request.PrefixLevel]
    ) -> int:
        """Returns how many tokens of a prompt the engine would reuse.

        The engine reuses whole blocks of an unbroken prefix, so a level
        counts only if every outer level that fills a block is cached.
        """
        salt_id = self._salt_ids.get(salt)
        if salt_id is None:
            return 0
        held = 0
        for level in levels:
            tokens = self._round_down_to_blocks(level.tokens)
            if tokens <= held:
                continue
            entry = self._entries.get(salt_id << _DIGEST_BITS | level.digest)
            if entry is None:
                break
            held = max(held, min(tokens, entry >> _SPAN_BITS))
        return held

    def _round_down_to_blocks(self, tokens: int) -> int:
        if not self._block_tokens:
            return tokens
        return tokens // self._block_tokens * self._block_tokens

    def _entry_key(self, salt: str, digest: int) -> int:
        """Returns the key of a prefix.

        If there is no room for a new salt, this clears the view first.
        """
        if len(self._salt_ids) >= _MAX_SALTS and salt not in self._salt_ids:
            self._salt_ids.clear()
            self._entries.clear()
            self._held_tokens = 0
        salt_id = self._salt_ids.setdefault(salt, len(self._salt_ids))
        return salt_id << _DIGEST_BITS | digest

    def _store(self, salt: str, digest: int, tokens: int, span: int) -> None:
        key = self._entry_key(salt, digest)
        old = self._entries.get(key)
        if old is not None:
            self._held_tokens -= old & _SPAN_MASK
        self._entries[key] = tokens << _SPAN_BITS | span
        self._entries.move_to_end(key)
        self._held_tokens += span

    def _apply_stored(self, event: backends.BlockEvent) -> None:
        key = self._entry_key(event.salt, event.digest)
        old = self._entries.get(key)
        if old is None:
            self._store(event.salt, event.digest, event.tokens, event.tokens)
        else:
            # The event may be late: the entry keeps its place in the LRU
            # order, which is that of its last admission.
            span = old & _SPAN_MASK
            self._entries[key] = event.tokens << _SPAN_BITS | span

    def _apply_removed(self, event: backends.BlockEvent) -> None:
        held = self._held_tokens
        entry = self._entries.pop(
            self._entry_key(event.salt, event.digest), None
        )
        if entry is None:
            self._capacity_tokens *= _CAPACITY_GROWTH
            return
        self._held_tokens -= entry & _SPAN_MASK
        self._capacity_tokens = min(self._capacity_tokens, held)

    def _evict(self) -> None:
        while self._entries and (
            self._held_tokens > self._capacity_tokens
            or len(self._entries) > self._max_entries
        ):
            _, entry = self._entries.popitem(last=False)
            self._held_tokens -= entry & _SPAN_MASK
