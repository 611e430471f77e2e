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


def test_the_only_engine_takes_long_prompts() -> None:
    """Guards against a service without an engine for long prompts."""
    assert pools.long_prompt_engines(_SERVERS[:1]) == {"i-0-0"}
    assert pools.long_prompt_engines([]) == frozenset()


def test_engines_remain_for_short_prompts_in_a_fleet_of_many_zones() -> None:
    """Guards against short prompts that share a single engine.

    With about one engine in each zone, one for long prompts in each zone left
    one of six engines to nine tenths of the requests.
    """
    one_each = _SERVERS[::2]
    assert len(pools.long_prompt_engines(one_each)) == 2
    six_zones = [
        builders.backend_server(f"i-{zone}", zone=f"z{zone}")
        for zone in range(6)
    ]
    assert len(pools.long_prompt_engines(six_zones)) == 4
