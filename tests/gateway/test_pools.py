"""Tests of dividing engines between long and short prompts."""

from __future__ import annotations

from hibiscusstile.gateway import pools
from tests.builders import gateway as builders

_SERVERS = [
    builders.backend_server(f"i-{zone}-{number}", zone=f"z{zone}")
    for zone in range(3)
    for number in range(2)
]


def test_all_processes_divide_alike_over_the_zones() -> None:
    """Guards against long prompts on every engine, each from one process."""
    chosen = pools.long_prompt_engines(_SERVERS)
    assert chosen == pools.long_prompt_engines(reversed(_SERVERS))
    assert len(chosen) == 4
    assert {each.split("-")[1] for each in chosen} == {"0", "1", "2"}


def test_a_zone_s_only_engine_takes_everything() -> None:
    """Guards against long prompts that cross zones with their bodies."""
    assert pools.long_prompt_engines(_SERVERS[:1]) == {"i-0-0"}
    assert len(pools.long_prompt_engines(_SERVERS[::2])) == 3
    assert pools.long_prompt_engines([]) == frozenset()
