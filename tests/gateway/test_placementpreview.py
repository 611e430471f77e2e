"""Tests of the preview of placements."""

from __future__ import annotations

import copy

import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile import placementquery
from hibiscusstile.gateway import load, placementpreview
from hibiscusstile.gateway import state as state_lib
from tests.builders import gateway as builders


def _query(path: str = "/dossier/1", **fields: object) -> bytes:
    """Returns the description of a request with a short prompt."""
    query = placementquery.from_fields(
        {
            "host": builders.HOST,
            "path": path,
            "workspace": "growers",
            "model": "m1",
            **fields,
        },
        ("aa:200", "bb:100"),
    )
    return query.model_dump_json().encode()


@pytest.fixture
def state() -> state_lib.GatewayState:
    """State of a gateway with two idle engines."""
    state = builders.gateway_state(clock_lib.SystemClock())
    state.apply_table(builders.routing_table())
    for server_id in ("i-1", "i-2"):
        state.fleet.put(builders.backend_server(server_id))
    return state


def _preview(state: state_lib.GatewayState, body: bytes) -> dict[str, object]:
    return placementpreview.preview(state, placementquery.parse_query(body))


def test_the_previewed_server_is_the_one_that_is_selected(
    state: state_lib.GatewayState,
) -> None:
    """A preview that rates servers in another way would mislead operators."""
    busy = load.InFlightRequest(
        80_000, 80_000, state.clock.monotonic(), expected_s=5.0
    )
    state.loads.for_server("i-1").begin(busy, "other", ())
    result = _preview(state, _query())
    assert (result["verdict"], result["server"]) == ("sent", "i-2")
    assert "i-1" in str(result["reason"])
    servers = result["servers"]
    assert isinstance(servers, list)
    assert [each["server"] for each in servers] == ["i-2", "i-1"]
    assert servers[0]["expected_s"] < servers[1]["expected_s"]


def test_a_preview_changes_nothing(state: state_lib.GatewayState) -> None:
    """Asking must not count as a request in flight or as a cached prefix."""
    before = copy.deepcopy(vars(state.loads.for_server("i-1")))
    first = _preview(state, _query())
    assert _preview(state, _query()) == first
    assert vars(state.loads.for_server("i-1")) == before


def test_the_next_server_is_another_one(
    state: state_lib.GatewayState,
) -> None:
    """Estimates that change between two selections made it its own next one."""
    for server_id in ("i-1", "i-2"):
        state.note_weights(server_id, "m1", 1)
    state.set_target_version("m1", 2)
    result = _preview(state, _query())
    assert result["verdict"] == "sent"
    assert str(result["server"]) not in str(result["reason"])


def test_the_preview_names_the_allowance(
    state: state_lib.GatewayState,
) -> None:
    """A request that other gateways must lend tokens for is not just sent."""
    tenant = {
        "name": "growers",
        "api_keys": [builders.KEY],
        "rate_per_s": 10.0,
        "burst": 10.0,
        "unit": "tokens",
    }
    state.apply_table(builders.routing_table(2, tenants=[tenant]))
    result = _preview(state, _query())
    assert result["allowance"] == (
        "costs 300 of 0 held here; other gateways are asked"
    )


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"path": "/nowhere/"}, "not_found"),
        ({"workspace": "strangers"}, "unauthorized"),
    ],
)
def test_a_refusal_names_its_reason(
    state: state_lib.GatewayState, fields: dict[str, object], reason: str
) -> None:
    """Operators ask why a request is refused, too."""
    result = _preview(state, _query(**fields))
    assert result["verdict"] == "refused"
    assert str(result["reason"]).startswith(reason)


def test_a_request_that_would_be_late_is_refused(
    state: state_lib.GatewayState,
) -> None:
    """The preview must include the refusal of requests that would be late."""
    for server_id in ("i-1", "i-2"):
        busy = load.InFlightRequest(
            10**7, 80_000, state.clock.monotonic(), expected_s=5.0
        )
        state.loads.for_server(server_id).begin(busy, "other", ())
    result = _preview(state, _query())
    assert result["verdict"] == "refused"
    assert str(result["reason"]).startswith("overloaded")


@pytest.mark.parametrize(
    ("parts", "field"),
    [(("aa",), "parts.0.part"), (("aa:many",), "parts.0.tokens")],
)
def test_a_malformed_part_is_named(parts: tuple[str, ...], field: str) -> None:
    """A part without tokens must not count as one of 0 tokens."""
    with pytest.raises(placementquery.QueryError, match=field):
        placementquery.from_fields({"host": "h", "path": "/"}, parts)
