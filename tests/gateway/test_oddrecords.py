"""Tests of operators' records with values that cannot be used."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hibiscusstile.platform import operatorrecords
from tests.builders import gateway as builders

_INFINITE = float("inf")
_NAN = float("nan")


def _with_route(**fields: Any) -> dict[str, Any]:
    route = builders.operator_route("lookup", "/lookup/", **fields)
    return {"routes": [route]}


def _with_limits(**fields: Any) -> dict[str, Any]:
    return {"limits": {**builders.configuration_record()["limits"], **fields}}


def _with_service(**fields: Any) -> dict[str, Any]:
    services = builders.configuration_record()["services"]
    return {"services": [*services, {"name": "other", **fields}]}


def _with_split(weight: float) -> dict[str, Any]:
    shares = [
        {"service": builders.PLAIN_SERVICE, "weight": 1},
        {"service": builders.ENGINE_SERVICE, "weight": weight},
    ]
    return _with_route(traffic_split=shares)


_ODD_CONFIGURATIONS: dict[str, dict[str, Any]] = {
    "timeout_ms": _with_route(timeout_ms=_INFINITE),
    "timeout_ms: NaN": _with_route(timeout_ms=_NAN),
    "timeout_ms: negative": _with_route(timeout_ms=-1),
    "timeout_ms: huge": _with_route(timeout_ms=1e300),
    "target_latency_ms": _with_route(target_latency_ms=_NAN),
    "gap_aim_ms": _with_route(gap_aim_ms=_INFINITE),
    "priority": _with_route(priority=10**400),
    "attempts": _with_route(attempts=10**400),
    "weight": _with_split(-1),
    "weight: NaN": _with_split(_NAN),
    "weight: infinite": _with_split(_INFINITE),
    "idle_timeout_ms": _with_limits(idle_timeout_ms=_INFINITE),
    "header_timeout_ms": _with_limits(header_timeout_ms=_NAN),
    "max_body_bytes": _with_limits(max_body_bytes=10**400),
    "max_header_bytes": _with_limits(max_header_bytes=-1),
    "kv_store_addr": _with_service(kv_store_addr="127.0.0.1:70000"),
    "kv_store_addr: line break": _with_service(
        kv_store_addr="127.0.0.1:80\r\nX: 1"
    ),
    "max_connections": _with_service(max_connections=10**400),
    "slots": _with_service(engine={"slots": 10**400, "kv_tokens": 1}),
    "kv_tokens": _with_service(engine={"slots": 1, "kv_tokens": -1}),
    "name": {"tenants": [{"name": "a\r\nX: 1", "api_keys": [builders.KEY]}]},
    "version": {"version": 10**40},
}


@pytest.mark.parametrize("case", _ODD_CONFIGURATIONS)
async def test_an_odd_configuration_changes_nothing(case: str) -> None:
    """Guards against requests and processes that end at an odd number."""
    changes = {"version": 2, **_ODD_CONFIGURATIONS[case]}
    value = json.dumps(builders.configuration_record(**changes)).encode()
    field = case.partition(":")[0]
    with pytest.raises(operatorrecords.RecordError, match=rf"{field}: "):
        operatorrecords.decode_configuration(value)
    async with builders.gateway_harness() as world:
        await world.add_runner(builders.PLAIN_SERVICE, "i-1")
        await world.store.put("keyed.op", "config", value)
        for number in range(4):
            assert (await world.call("/lookup/1", f"r{number}"))[0] == 200
        sound = json.dumps(builders.configuration_record(3)).encode()
        await world.store.put("keyed.op", "config", sound)
        await world.until(lambda: world.state.table.version == 3)


@pytest.mark.parametrize("version", [10**40, -1])
async def test_an_odd_weights_version_hides_no_later_one(version: int) -> None:
    """Guards against a version that no later one can follow."""
    async with builders.gateway_harness() as world:
        for each in (version, 2):
            value = json.dumps({"model": "m1", "version": each}).encode()
            await world.store.put("keyed.op", "version/m1", value)
        await world.until(
            lambda: (
                (target := world.state.weights.target("m1")) is not None
                and target.version == 2
            )
        )
