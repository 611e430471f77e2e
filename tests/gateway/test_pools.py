"""Tests of the engine pools for long and short prompts."""

from __future__ import annotations

from hibiscusstile.gateway import pools
from tests.builders import gateway as builders

_SERVERS = [
    builders.backend_server(f"i-{zone}-{number}", zone=f"z{zone}")
    for zone in range(3)
    for number in range(2)
]


def test_the_pool_ignores_server_order_and_spans_all_zones() -> None:
    """Guards against processes that disagree about the pool."""
    chosen = pools.long_prompt_engines(_SERVERS)
    assert chosen == pools.long_prompt_engines(reversed(_SERVERS))
    assert len(chosen) == 4
    assert {each.split("-")[1] for each in chosen} == {"0", "1", "2"}


def test_the_only_engine_of_a_zone_takes_long_prompts() -> None:
    """Guards against sending long request bodies across zones."""
    assert pools.long_prompt_engines(_SERVERS[:1]) == {"i-0-0"}
    assert len(pools.long_prompt_engines(_SERVERS[::2])) == 3
    assert pools.long_prompt_engines([]) == frozenset()
