"""Tests of the options added to forwarded requests."""

from __future__ import annotations

import dataclasses

from hibiscusstile.gateway import (
    exchange,
    load,
    resolving,
    selection,
    sending,
)
from hibiscusstile.gateway import state as state_lib
from tests import builders as base
from tests.builders import gateway as builders

_STORE = {"name": "prefixes", "kv_store_addr": "10.0.0.9:1", "zone": "z1"}


def _state() -> state_lib.GatewayState:
    state = builders.gateway_state(base.ManualClock())
    services = [*builders.configuration_record()["services"], _STORE]
    state.apply_table(builders.routing_table(services=services))
    state.set_target_version("m1", 1)
    return state


def _candidate(**fields: object) -> selection.Candidate:
    candidate = selection.Candidate(
        builders.backend_server(),
        load.ServerLoad(),
        cache_tokens=100_000,
        cache_salt="v1.shared",
        version=1,
    )
    return dataclasses.replace(candidate, **fields)  # type: ignore[arg-type]


def _options(
    state: state_lib.GatewayState, candidate: selection.Candidate
) -> exchange.SendOptions:
    request = builders.forwarded_request()
    request = dataclasses.replace(request, key=builders.KEY)
    return sending.send_options(
        state,
        request,
        resolving.resolve(state.table, request),
        candidate,
        time_left_s=1.0,
        last_event_id="",
    )


def test_a_prefix_is_saved_until_the_store_holds_it() -> None:
    """Guards against transfers that delay those of new prefixes."""
    state = _state()
    first = _options(state, _candidate())
    assert first.save_to == first.fetch_from == "10.0.0.9:1"
    partial = _options(state, _candidate(stored_tokens=4_000))
    assert partial.save_to == "10.0.0.9:1"
    again = _options(state, _candidate(stored_tokens=10_000))
    assert again.save_to == ""
    assert again.fetch_from == "10.0.0.9:1"


def test_cache_of_replaced_weights_is_not_saved() -> None:
    """Guards against KV cache computed by two versions of the weights."""
    state = _state()
    assert _options(state, _candidate(weights_lag_s=0.5)).save_to == ""
