"""Tests of the sidecar's model of its engine's prefix cache."""

from __future__ import annotations

import pytest

from hibiscusstile import cacheview, request
from tests import builders


@pytest.mark.fuzz
def test_another_workspaces_salt_never_matches() -> None:
    """Guards against cache hits on blocks of another workspace."""
    view = cacheview.CacheView()
    view.reset("one")
    levels = (request.PrefixLevel(1, 100), request.PrefixLevel(2, 200))
    view.admit("one", "salt-a", levels)
    assert view.cached_tokens("salt-a", levels) == 200
    assert view.cached_tokens("salt-b", levels) == 0


def test_a_new_incarnation_holds_nothing() -> None:
    """Guards against counting the lost cache of a crashed engine."""
    view = cacheview.CacheView()
    view.reset("one")
    levels = (request.PrefixLevel(1, 100),)
    view.reset("two")
    view.admit("one", "salt-a", levels)
    assert view.cached_tokens("salt-a", levels) == 0


def test_a_missing_level_ends_the_cached_prefix() -> None:
    """Guards against counting inner levels after an outer one is evicted."""
    view = cacheview.CacheView()
    view.reset("one")
    levels = (request.PrefixLevel(1, 100), request.PrefixLevel(2, 200))
    view.admit("one", "salt", levels)
    view.apply(builders.cache_events("one", ("removed", 0, 1, 100)))
    assert view.cached_tokens("salt", levels) == 0


def test_only_whole_blocks_count() -> None:
    """Guards against counting a partly filled last block as cached."""
    view = cacheview.CacheView()
    view.reset("one")
    view.apply(
        builders.cache_events(
            "one", ("stored", 0, 1, 64), ("stored", 1, 2, 160)
        )
    )
    levels = (request.PrefixLevel(1, 70), request.PrefixLevel(2, 165))
    view.admit("one", "salt", levels)
    assert view.cached_tokens("salt", levels) == 160
    assert view.cached_tokens("salt", levels[:1]) == 64


def test_lost_removals_do_not_leave_stale_entries() -> None:
    """Guards against a view that grows with every lost removal event."""
    view = cacheview.CacheView()
    view.reset("one")
    for number in range(10):
        view.admit("one", "salt", (request.PrefixLevel(number, 100),))
    view.apply(builders.cache_events("one", ("removed", 7, 0, 100)))
    for number in range(10, 1000):
        view.admit("one", "salt", (request.PrefixLevel(number, 100),))
    assert view.lost_events == 7
    assert len(view) == 10
    newest = (request.PrefixLevel(999, 100),)
    oldest = (request.PrefixLevel(5, 100),)
    assert view.cached_tokens("salt", newest) == 100
    assert view.cached_tokens("salt", oldest) == 0


def test_a_lookup_does_not_refresh_an_entry() -> None:
    """Guards against an LRU order that differs from the engine's."""
    view = cacheview.CacheView(max_entries=2)
    view.reset("one")
    first, second = request.PrefixLevel(1, 100), request.PrefixLevel(2, 100)
    view.admit("one", "salt", (first,))
    view.admit("one", "salt", (second,))
    view.cached_tokens("salt", (first,))
    view.admit("one", "salt", (request.PrefixLevel(3, 100),))
    assert view.cached_tokens("salt", (first,)) == 0
    assert view.cached_tokens("salt", (second,)) == 100


def test_a_removal_reveals_a_smaller_block_size() -> None:
    """Guards against ignoring a removed outer level smaller than a block.

    The block size is inferred from events, so the removal of 16 tokens must
    lower the estimate of 48 before the lookup.
    """
    view = cacheview.CacheView()
    view.reset("one")
    levels = (request.PrefixLevel(1, 20), request.PrefixLevel(2, 50))
    view.admit("one", "salt", levels)
    view.apply(
        builders.cache_events(
            "one", ("stored", 1, 2, 48), ("removed", 2, 1, 16)
        )
    )
    assert view.cached_tokens("salt", levels) == 0
