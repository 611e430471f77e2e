"""Tests of the scopes in which callers share cached prompt parts."""

from __future__ import annotations

import json

import hypothesis
import pytest
from hypothesis import strategies

from hibiscusstile.gateway import resolving, routes
from tests.builders import gateway as builders

_NAMES = ("desk", "family", "growers")


def _tenants(isolated: frozenset[str] | set[str]) -> list[dict[str, object]]:
    return [
        {
            "name": name,
            "api_keys": [f"key-{name}"],
            "isolated": name in isolated,
        }
        for name in _NAMES
    ]


def _scope(table: routes.RoutingTable, name: str) -> str:
    request = builders.forwarded_request(key=f"key-{name}")
    return resolving.resolve(table, request).cache_scope


async def test_parts_of_a_workspace_are_unused_once_it_is_isolated() -> None:
    """Guards against parts that others made in use before, and back again."""
    salts: dict[str, list[str]] = {name: [] for name in _NAMES}
    async with builders.gateway_harness(tenants=_tenants(set())) as harness:
        runner = await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        for version, isolated in enumerate(
            (set(), {"family"}, set(), {"family"}, {"family", "desk"}), 2
        ):
            record = builders.configuration_record(
                version, tenants=_tenants(isolated)
            )
            await harness.store.put(
                "keyed.op", "config", json.dumps(record).encode()
            )
            await harness.until(
                lambda version=version: harness.state.table.version == version
            )
            for name in _NAMES:
                status, _, _ = await harness.call(
                    "/question/1",
                    Authorization=f"Token key-{name}",
                    **builders.prompt_headers("document", "own"),
                )
                assert status == 200
                salt = runner.arrivals[-1].headers["X-Cache-Salt"]
                salts[name].append(salt)
    assert salts["desk"][0] == salts["family"][0] == salts["growers"][0]
    for changed in (1, 3):
        assert salts["desk"][changed] == salts["growers"][changed]
        assert salts["desk"][changed] not in salts["family"]
    assert salts["growers"][4] not in salts["family"] + salts["desk"]


@hypothesis.given(
    strategies.lists(strategies.frozensets(strategies.sampled_from(_NAMES)))
)
def test_no_change_of_isolation_uses_parts_across_an_isolated_workspace(
    changes: list[frozenset[str]],
) -> None:
    """Guards against scopes that come back with parts of others."""
    makers: dict[str, set[str]] = {}
    for version, isolated in enumerate(changes, 1):
        table = builders.routing_table(version, tenants=_tenants(isolated))
        for name in _NAMES:
            scope = _scope(table, name)
            for maker in makers.setdefault(scope, set()):
                assert maker == name or not {maker, name} & isolated
            makers[scope].add(name)


def test_a_change_of_isolation_moves_no_isolated_workspace() -> None:
    """Guards against prompts that are read again without a reason."""
    alone = builders.routing_table(1, tenants=_tenants({"family"}))
    both = builders.routing_table(2, tenants=_tenants({"family", "desk"}))
    again = builders.routing_table(
        3, tenants=list(reversed(_tenants({"family"})))
    )
    assert _scope(alone, "family") == _scope(both, "family")
    assert _scope(alone, "growers") != _scope(both, "growers")
    assert _scope(alone, "growers") == _scope(again, "growers")


@pytest.mark.parametrize("keys", [[], ["other"]])
def test_an_isolated_workspace_counts_whatever_keys_it_has(
    keys: list[str],
) -> None:
    """Guards against parts of a workspace whose keys were taken away."""
    tenants = _tenants({"family"})
    with_keys = builders.routing_table(1, tenants=tenants)
    family = next(each for each in tenants if each["name"] == "family")
    family["api_keys"] = keys
    without = builders.routing_table(2, tenants=tenants)
    assert _scope(with_keys, "desk") == _scope(without, "desk")
    family["isolated"] = False
    assert _scope(without, "desk") != _scope(
        builders.routing_table(3, tenants=tenants), "desk"
    )
