"""Tests of the cache event poller with a scripted engine."""

from __future__ import annotations

from collections.abc import Sequence

from hibiscusstile import backends, cacheview, request
from hibiscusstile.backends import engine_chat
from hibiscusstile.sidecar import cachepoller
from tests import builders


class _Engine(engine_chat.EngineChat):
    """Returns scripted batches and listings and records the requests."""

    def __init__(
        self,
        batches: Sequence[backends.CacheEvents | None],
        listings: Sequence[backends.CacheEvents | None],
    ) -> None:
        super().__init__("http://127.0.0.1:1")
        self._batches = list(batches)
        self._listings = list(listings)
        self.requested_after: list[int] = []

    async def cache_events(self, after: int) -> backends.CacheEvents | None:
        self.requested_after.append(after)
        return self._batches.pop(0)

    async def cache_blocks(self) -> backends.CacheEvents | None:
        return self._listings.pop(0)


async def _poll(
    engine: _Engine, polls: int
) -> tuple[cacheview.CacheView, cachepoller.CacheEventPoller]:
    view = cacheview.CacheView()
    poller = cachepoller.CacheEventPoller(engine, view, builders.ManualClock())
    for _ in range(polls):
        await poller.poll()
    return view, poller


def _contains(view: cacheview.CacheView, digest: int) -> bool:
    level = request.PrefixLevel(digest, 2048)
    return view.cached_tokens("salt-a", (level,)) > 0


async def test_event_gap_triggers_full_listing() -> None:
    """Guards against a block that stays in the view after a lost removal."""
    engine = _Engine(
        [
            builders.block_events("one"),
            builders.block_events("one", 0, 1),
            builders.block_events("one", 3),
            builders.block_events("one", 4),
        ],
        [
            builders.block_events("one"),
            builders.block_events("one", 1, 3, last_number=3),
        ],
    )
    view, _ = await _poll(engine, 4)
    assert [d for d in range(100, 105) if _contains(view, d)] == [101, 103, 104]
    assert engine.requested_after == [-1, -1, 1, 3]


async def test_delayed_events_of_crashed_incarnation_are_ignored() -> None:
    """Guards against cache entries of an engine that has crashed."""
    engine = _Engine(
        [
            builders.block_events("one", 0),
            builders.block_events("two"),
            builders.block_events("one", 1, 2),
            builders.block_events("two", 0),
        ],
        [
            builders.block_events("one", 0, last_number=0),
            builders.block_events("two"),
            builders.block_events("two"),
        ],
    )
    view, _ = await _poll(engine, 4)
    assert view.incarnation == "two"
    assert [d for d in range(100, 103) if _contains(view, d)] == [100]


async def test_poll_is_repeated_after_an_unavailable_engine() -> None:
    """Guards against a position that advances past unapplied events."""
    engine = _Engine(
        [
            builders.block_events("one"),
            builders.block_events("one", 5),
            None,
            builders.block_events("one", 5),
        ],
        [
            builders.block_events("one"),
            None,
            builders.block_events("one", 5, last_number=5),
        ],
    )
    view, _ = await _poll(engine, 4)
    assert _contains(view, 105)
    assert engine.requested_after == [-1, -1, -1, -1]
