"""Tests of the ages of weights versions."""

from __future__ import annotations

import asyncio
import pathlib

import aiohttp
import pytest

from hibiscusstile.gateway import load as load_lib
from hibiscusstile.gateway import notices, selection, serverselection
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.peers import codec, messages
from hibiscusstile.platform import consumers, topics
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import gatewayprocess as process_lib


async def _put_version(gateway: process_lib.GatewayProcess) -> float:
    await gateway.store.put(
        "keyed.op", "version/m1", b'{"model": "m1", "version": 2}'
    )
    return gateway.clock.monotonic()


async def _send(
    session: aiohttp.ClientSession, gateway: process_lib.GatewayProcess
) -> None:
    headers = {**process_lib.HEADERS, "X-Request-Id": "r"}
    async with session.post(
        gateway.url, data=b"{}", headers=headers
    ) as response:
        await response.read()


async def _last_arrival_s(
    gateway: process_lib.GatewayProcess, end_s: float
) -> float:
    """Sends requests until `end_s`; returns when the last one was executed."""
    last_s = 0.0
    async with aiohttp.ClientSession() as session:
        await gateway.wait_status(session, 200, 10)
        while gateway.clock.monotonic() < end_s:
            before = len(gateway.engine.arrivals)
            await _send(session, gateway)
            if len(gateway.engine.arrivals) > before:
                last_s = gateway.clock.monotonic()
            await asyncio.sleep(0.1)
    return last_s


@pytest.mark.parametrize("peer_runs, bound_s", [(True, 8.0), (False, 4.0)])
async def test_a_gateway_that_starts_late_keeps_the_bound(
    tmp_path: pathlib.Path, peer_runs: bool, bound_s: float
) -> None:
    """Guards against ages of versions that count from a process's start."""
    bounds = {"version_ms": 1000 * bound_s}
    async with process_lib.gateway_process(tmp_path, bounds) as first:
        first.engine.ignore_orders()
        async with aiohttp.ClientSession() as session:
            await first.wait_status(session, 200, 10)
            named_s = await _put_version(first)
            await asyncio.sleep(0.5)
            await _send(session, first)
        assert first.engine.arrivals
        await asyncio.sleep(bound_s - 3.5)
        if not peer_runs:
            first.kill()
        second = first.another(2)
        second.start()
        try:
            last_s = await _last_arrival_s(second, named_s + bound_s + 2.0)
        finally:
            second.kill()
    assert last_s < named_s + bound_s


def _gateway(
    clock: base.ManualClock, *stored: int
) -> tuple[state_lib.GatewayState, consumers.OperatorRecordConsumer]:
    """Returns a gateway with an engine on version 1 that reads the store."""
    state = builders.gateway_state(clock)
    state.apply_table(builders.routing_table())
    state.fleet.put(builders.backend_server())
    state.note_weights("i-1", "m1", 1)
    consumer = consumers.OperatorRecordConsumer(state)
    consumer.apply_all([_record(version) for version in stored])
    return state, consumer


def _record(version: int) -> topics.KeyedRecord:
    value = f'{{"model": "m1", "version": {version}}}'
    return topics.KeyedRecord("version/m1", value.encode(), version)


def _connect(
    sender: state_lib.GatewayState, receiver: state_lib.GatewayState
) -> None:
    snapshot = notices.NoticeHandler(sender).snapshot()
    envelope = codec.decode(codec.encode(snapshot, 0))
    assert isinstance(envelope.message, messages.GatewayNotice)
    notices.NoticeHandler(receiver).apply("peer", envelope.message)


def _select(state: state_lib.GatewayState) -> selection.SelectedServer | None:
    assert state.table is not None
    return serverselection.select_server(
        state,
        state.table.services[builders.ENGINE_SERVICE],
        selection.SelectionContext(
            builders.forwarded_request(),
            2,
            1.5,
            "z1",
            state.engine_rates(builders.ENGINE_SERVICE),
        ),
        "shared",
        (),
    )


def test_a_gateway_takes_the_age_of_a_version_from_its_peers() -> None:
    """Guards against an outdated engine used for 5 s from each start."""
    clock = base.ManualClock()
    peer, follower = _gateway(clock)
    follower.apply(_record(2))
    clock.advance(1.0)
    state, _ = _gateway(clock, 2)
    _connect(peer, state)
    clock.advance(3.5)
    assert _select(state) is not None
    clock.advance(1.0)
    assert _select(state) is None


def test_an_engine_is_outdated_since_a_version_that_only_peers_know() -> None:
    """Guards against a lag that counts from the newest version in the store."""
    clock = base.ManualClock()
    peer, follower = _gateway(clock)
    follower.apply(_record(2))
    clock.advance(5.5)
    state, follower = _gateway(clock)
    follower.apply(_record(3))
    assert _select(state) is not None
    _connect(peer, state)
    assert _select(state) is None


@pytest.mark.parametrize("known_by", ["first_read", "outage", "older_peer"])
def test_a_version_of_unknown_age_is_not_taken_for_new(known_by: str) -> None:
    """Guards against requests on weights replaced long before."""
    clock = base.ManualClock()
    state, follower = _gateway(clock)
    if known_by == "first_read":
        follower.apply_all([_record(2)])
    elif known_by == "outage":
        follower.note_lost()
        follower.note_back(clock.monotonic())
        follower.apply(_record(2))
    else:
        update = messages.WeightsUpdate("m1", 2)
        notices.NoticeHandler(state).apply(
            "peer", messages.GatewayNotice(weights=(update,))
        )
    clock.advance(1.0)
    assert _select(state) is not None
    clock.advance(0.5)
    assert _select(state) is None
    # A gateway that does not know the age does not vouch for one.
    other, _ = _gateway(clock, 2)
    _connect(state, other)
    clock.advance(1.5)
    assert _select(other) is None


@pytest.mark.parametrize("known_by", ["store", "peer"])
def test_a_version_read_after_a_pause_is_not_taken_for_new(
    known_by: str,
) -> None:
    """Guards against ages that omit the time for which a process was frozen."""
    clock = base.ManualClock()
    state, follower = _gateway(clock)
    state.pauses.tick()
    clock.advance(3.0)
    state.pauses.tick()
    clock.advance(0.2)
    if known_by == "store":
        follower.apply(_record(2))
    else:
        update = messages.WeightsUpdate("m1", 2, age_s=0.0)
        notices.NoticeHandler(state).apply(
            "peer", messages.GatewayNotice(weights=(update,))
        )
    for _ in range(2):
        clock.advance(0.85)
        state.pauses.tick()
    assert _select(state) is not None
    clock.advance(0.2)
    assert _select(state) is None
    # The bound is not passed on, and a known age replaces it.
    assert state.weights.known_ages() == [("m1", 2, None)]
    other, follower = _gateway(clock)
    follower.apply(_record(2))
    _connect(other, state)
    assert _select(state) is not None


def test_a_gateway_that_connects_learns_which_engines_load_weights() -> None:
    """Guards against requests that an engine rejects while it loads weights."""
    clock = base.ManualClock()
    peer, _ = _gateway(clock)
    peer.weights.note_changing("i-1", 1.5)
    clock.advance(0.5)
    state, _ = _gateway(clock)
    _connect(peer, state)
    clock.advance(0.9)
    assert state.weights.is_changing("i-1")
    clock.advance(0.2)
    assert not state.weights.is_changing("i-1")


def test_parts_stored_before_a_version_was_learned_may_be_newer() -> None:
    """Guards against KV cache computed by two versions of the weights."""
    clock = base.ManualClock()
    clock.advance(10.0)
    state, _ = _gateway(clock)
    store = {"name": "kv", "kv_store_addr": "10.0.0.9:1", "zone": "z1"}
    record = builders.configuration_record(2)
    services = [*record["services"], store]
    state.apply_table(builders.routing_table(2, services=services))
    parts = builders.forwarded_request().parts
    state.prefix_stores.note_part(
        "10.0.0.9:1", "v1.shared", parts[0].part_id, clock.monotonic()
    )
    clock.advance(0.5)
    follower = consumers.OperatorRecordConsumer(state)
    follower.apply_all([_record(2)])
    selected = _select(state)
    assert selected is not None
    assert selected.candidate.stored_tokens == 0


def test_an_outdated_engine_gets_no_request_that_would_start_late() -> None:
    """Guards against the engine's queue carrying requests past the bound."""
    clock = base.ManualClock()
    state, follower = _gateway(clock)
    now_s = clock.monotonic()
    state.loads.for_server("i-1").note_peer_load(
        "peer", load_lib.PeerLoad(1, 300_000, now_s + 60.0), now_s
    )
    follower.apply(_record(2))
    selected = _select(state)
    assert selected is not None and 2.5 < selected.expected_s < 6.5
    clock.advance(4.9)
    assert _select(state) is None
