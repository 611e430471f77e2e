"""Tests of the search for an engine that is in time."""

from __future__ import annotations

import pathlib
from typing import Any
from unittest import mock

import pytest

from hibiscusstile import outcome, settingsfaults
from hibiscusstile.gateway import (
    attemptlimits,
    forwarding,
    load,
    requestroom,
    requestservers,
    resolving,
    selection,
)
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import boot
from tests import builders as base
from tests.builders import gateway as builders

_SHORT = (("aa", 50), ("bb", 200))
_LONG = (("aa", 3_000), ("bb", 9_000))
_ALLOWANCE = {"rate_per_s": 10_000, "burst": 10_000, "unit": "tokens"}


def _state(**tenant: Any) -> state_lib.GatewayState:
    """A gateway with an engine that is late and one without free slots.

    At the first, prompts wait for 0.6 s; the second has eight slots and twelve
    requests, each of which runs for 0.4 s.
    """
    state = builders.gateway_state(base.ManualClock())
    tenants = [{"name": "growers", "api_keys": [builders.KEY], **tenant}]
    state.apply_table(builders.routing_table(tenants=tenants))
    now_s = state.clock.monotonic()
    for server_id in ("i-late", "i-full"):
        state.fleet.put(builders.backend_server(server_id))
    state.loads.for_server("i-late").begin(
        load.InFlightRequest(30_000, 100, now_s, 0.6), "other", ()
    )
    for _ in range(12):
        state.loads.for_server("i-full").begin(
            load.InFlightRequest(0, 100, now_s, 0.1), "other", ()
        )
    return state


def _find(
    state: state_lib.GatewayState, parts: tuple[tuple[str, int], ...]
) -> tuple[selection.SelectedServer, outcome.Refusal | None]:
    request = builders.forwarded_request(parts=parts)
    destination = resolving.resolve(state.table, request)
    rates = state.engine_rates(destination.service.name)
    servers = requestservers.RequestServers(
        state, request, destination, attemptlimits.AttemptLimits(), rates
    )
    first = servers.select_next()
    assert first is not None
    assert first.candidate.server.server_id == "i-late"
    room = requestroom.RequestRoom(state, request, destination, rates)
    return room.find(first, servers.select_excluding)


def test_a_short_request_is_sent_to_a_full_engine_that_is_in_time() -> None:
    """Guards against refusals while another engine would answer in time.

    In a burst of short questions, over half of the attempts were refused for
    the expected time of one engine at which long prompts waited.
    """
    found, refusal = _find(_state(**_ALLOWANCE), _SHORT)
    assert refusal is None
    assert found.candidate.server.server_id == "i-full"


def test_a_long_prompt_does_not_delay_short_requests_elsewhere() -> None:
    """Guards against a burst of long prompts that makes all others late."""
    found, refusal = _find(_state(**_ALLOWANCE), _LONG)
    assert refusal is not None
    assert refusal.verdict is outcome.Verdict.NOT_RUN
    assert found.candidate.server.server_id == "i-late"


def test_no_unhealthy_engine_is_tried_before_a_refusal() -> None:
    """Guards against requests that are sent to a server that is down."""
    state = _state(**_ALLOWANCE)
    server = state.fleet.get("i-full")
    assert server is not None
    for _ in range(2):
        state.health.note_no_response(server)
    assert not state.health.is_up("i-full")
    assert _find(state, _SHORT)[1] is not None


@pytest.mark.parametrize(
    ("enabled", "allowance", "shared"),
    [
        (None, {}, False),
        (None, _ALLOWANCE, True),
        (False, _ALLOWANCE, False),
        (True, {}, True),
    ],
)
def test_room_is_shared_where_it_is_asked_for(
    enabled: bool | None, allowance: dict[str, Any], shared: bool
) -> None:
    """Guards against a change for deployments that do not ask for it."""
    state = _state(**allowance)
    state.room.set_enabled(enabled)
    assert (_find(state, _SHORT)[1] is None) == shared


@pytest.mark.parametrize(
    ("line", "shares_room"),
    [("", None), ("share_room = true", True), ("share_room = false", False)],
)
def test_the_setting_is_read(
    tmp_path: pathlib.Path, line: str, shares_room: bool | None
) -> None:
    """Guards against a setting that has no effect."""
    settings = boot.load_boot_settings(_settings_file(tmp_path, line))
    assert settings.shares_room is shares_room


def test_a_wrong_setting_is_named(tmp_path: pathlib.Path) -> None:
    """Guards against a process that starts with another setting than given."""
    with pytest.raises(settingsfaults.SettingsError, match="share_room"):
        boot.load_boot_settings(_settings_file(tmp_path, 'share_room = "on"'))


@pytest.mark.parametrize(
    "unlimited", [{}, {"rate_per_s": 5, "burst": 5, "unit": "requests"}]
)
def test_a_workspace_without_tokens_weighs_the_mean(
    unlimited: dict[str, Any],
) -> None:
    """Guards against one that gets a ten-thousandth of the room of others."""
    state = builders.gateway_state(base.ManualClock())
    state.apply_table(
        builders.routing_table(
            tenants=[
                {"name": "growers", "api_keys": [builders.KEY], **unlimited},
                {"name": "florists", "api_keys": ["fl-key"], **_ALLOWANCE},
            ]
        )
    )
    assert _room(state)._request.flow.weight == 10_000


def test_callers_of_no_workspace_count_as_one() -> None:
    """Guards against random keys that fill the meter of callers."""
    state = builders.gateway_state(base.ManualClock())
    state.apply_table(builders.routing_table(tenants=None))
    flow = _room(state)._request.flow
    assert (flow.workspace, flow.caller) == ("", "")


def test_a_refusal_after_a_run_says_so() -> None:
    """Guards against a second run of a request that a server answered with 5xx.

    Such an answer is no failed attempt: the next server may be too late.
    """
    state = _state(**_ALLOWANCE)
    request = builders.forwarded_request(parts=_LONG)
    forwarder = forwarding.RequestForwarder(
        state,
        mock.Mock(),
        mock.Mock(),
        request,
        mock.Mock(started=False),
        resolving.resolve(state.table, request),
    )
    forwarder._progress.note_run(outcome.Verdict.RAN)
    selected = forwarder._servers.select_next()
    assert selected is not None
    with pytest.raises(outcome.Refused) as refused:
        forwarder._in_time_or_refuse(selected)
    assert refused.value.refusal.verdict is outcome.Verdict.RAN


def _room(state: state_lib.GatewayState) -> requestroom.RequestRoom:
    request = builders.forwarded_request(parts=_SHORT)
    destination = resolving.resolve(state.table, request)
    rates = state.engine_rates(destination.service.name)
    return requestroom.RequestRoom(state, request, destination, rates)


def _settings_file(folder: pathlib.Path, line: str) -> pathlib.Path:
    path = folder / "settings.toml"
    path.write_text(
        'node = "a"\nzone = "z1"\n[platform]\naddress = "127.0.0.1:1"\n'
        f"[gateway]\n{line}\n"
    )
    return path
