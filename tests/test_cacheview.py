"""Tests of what the sidecar believes its engine's cache to hold."""

from __future__ import annotations

import pytest

from hibiscusstile import cacheview, request


@pytest.mark.fuzz
def test_another_workspaces_salt_never_matches() -> None:
    """Guards against a hit on blocks that another workspace filled."""
    view = cacheview.CacheView()
    view.reset("one")
    levels = (request.PrefixLevel(1, 100), request.PrefixLevel(2, 200))
    view.admit("one", "salt-a", levels)
    assert view.cached_tokens("salt-a", levels) == 200
    assert view.cached_tokens("salt-b", levels) == 0


def test_a_new_incarnation_holds_nothing() -> None:
    """Guards against reliance on the cache of an engine that crashed."""
    view = cacheview.CacheView()
    view.reset("one")
    levels = (request.PrefixLevel(1, 100),)
    view.reset("two")
    view.admit("one", "salt-a", levels)
    assert view.cached_tokens("salt-a", levels) == 0
