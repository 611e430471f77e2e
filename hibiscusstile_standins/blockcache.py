"""Prefix cache of the stand-in engine and its feed of cache events."""

from __future__ import annotations

import collections
import dataclasses
import random
import time
from collections.abc import Sequence
from typing import Any

__all__ = ["BlockCache", "EventFeed", "PrefixLevel"]

_MAX_KEPT_EVENTS = 20_000
_MAX_EVENTS_PER_RESPONSE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixLevel:
    """Digest and length of a prefix that the request wants tracked."""

    digest: int
    tokens: int


class EventFeed:
    """Publishes cache events with a delay and drops some of them.

    Args:
        lag_s: Delay from an event to its publication.
        loss: Probability that an event is dropped, 0 to 1.
        seed: Seed of the random generator that selects dropped events.
    """

    def __init__(
        self, lag_s: float = 0.05, loss: float = 0.0, seed: int = 1
    ) -> None:
        self.lag_s = lag_s
        self.loss = loss
        self._random = random.Random(seed)
        self._events: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=_MAX_KEPT_EVENTS)
        )
        self._next_number = 0

    @property
    def last_number(self) -> int:
        """Number of the newest event, published or not; -1 if none."""
        return self._next_number - 1

    def add(self, kind: str, salt: str, digest: int, tokens: int) -> None:
        """Numbers an event and queues it for publication.

        A dropped event consumes its number, so that readers see a gap.
        """
        event = {
            "number": self._next_number,
            "kind": kind,
            "salt": salt,
            "digest": digest,
            "tokens": tokens,
        }
        self._next_number += 1
        if self._random.random() >= self.loss:
            self._events.append((time.monotonic(), event))

    def published_after(self, number: int) -> list[dict[str, Any]]:
        """Returns the next published events after `number`, in order."""
        cutoff_s = time.monotonic() - self.lag_s
        return [
            event
            for created_s, event in self._events
            if created_s <= cutoff_s and event["number"] > number
        ][:_MAX_EVENTS_PER_RESPONSE]


class BlockCache:
    """LRU cache of prefix blocks.

    A prefix level is cached while all of its full blocks are cached; the
    tokens of a last, partial block are always recomputed. A prompt's blocks
    are marked as used from the last to the first, so that eviction never
    removes a block before the blocks that extend it.

    Args:
        feed: Receives the cache events.
        max_blocks: Capacity in blocks.
        block_tokens: Block size in tokens.
    """

    def __init__(
        self, feed: EventFeed, max_blocks: int, block_tokens: int
    ) -> None:
        self._feed = feed
        self._max_blocks = max_blocks
        self._block_tokens = block_tokens
        self._blocks: collections.OrderedDict[str, set[tuple[str, int]]] = (
            collections.OrderedDict()
        )
        self._levels: dict[tuple[str, int], list[str]] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, keys: Sequence[str]) -> int:
        """Returns the number of tokens in the leading cached blocks."""
        block_count = 0
        for key in keys:
            if key not in self._blocks:
                break
            block_count += 1
        return block_count * self._block_tokens

    def store(
        self, salt: str, keys: Sequence[str], levels: Sequence[PrefixLevel]
    ) -> None:
        """Caches a prompt's blocks and publishes its new prefix levels.

        Args:
            salt: The request's `cache_salt`.
            keys: Keys of the prompt's full blocks, in prompt order.
            levels: Prefixes of the prompt to publish events for.
        """
        for key in reversed(keys):
            self._blocks.setdefault(key, set())
            self._blocks.move_to_end(key)
        for level in levels:
            block_count = min(level.tokens // self._block_tokens, len(keys))
            level_key = (salt, level.digest)
            if block_count == 0 or level_key in self._levels:
                continue
            self._levels[level_key] = list(keys[:block_count])
            self._blocks[keys[block_count - 1]].add(level_key)
            self._feed.add(
                "stored", salt, level.digest, block_count * self._block_tokens
            )
        while len(self._blocks) > self._max_blocks:
            self._evict()

    def level_block_keys(self, salt: str, digest: int) -> list[str] | None:
        """Returns the block keys of a level, or None if it is not cached."""
        return self._levels.get((salt, digest))

    def stored_events(self) -> list[dict[str, Any]]:
        """Returns a `stored` event for each cached level."""
        return [
            {
                "kind": "stored",
                "salt": salt,
                "digest": digest,
                "tokens": len(keys) * self._block_tokens,
            }
            for (salt, digest), keys in self._levels.items()
        ]

    def clear(self) -> None:
        """Evicts all blocks and publishes the removal of each level."""
        while self._blocks:
            self._evict()

    def _evict(self) -> None:
        _, level_keys = self._blocks.popitem(last=False)
        for salt, digest in level_keys:
            del self._levels[salt, digest]
            self._feed.add("removed", salt, digest, 0)
