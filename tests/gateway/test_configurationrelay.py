"""Tests of relaying the configuration to gateways without the store."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import json
from collections.abc import AsyncIterator

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import configurationrelay, notices
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.peers import mesh, messages
from hibiscusstile.platform import topics
from tests import builders as base
from tests.builders import gateway as builders

_PAUSE = datetime.timedelta(milliseconds=20)


def _record(version: int) -> topics.KeyedRecord:
    record = builders.configuration_record(version)
    return topics.KeyedRecord("config", json.dumps(record).encode(), version)


def _relay(
    clock: clock_lib.Clock, name: str, version: int
) -> tuple[state_lib.GatewayState, configurationrelay.ConfigurationRelay]:
    state = builders.gateway_state(clock)
    relay = builders.configuration_relay(state, name)
    relay.apply_all([_record(version)])
    return state, relay


def test_an_outdated_gateway_is_offered_the_version_once() -> None:
    """Guards against an outdated gateway rejecting new API keys.

    A gateway that the store rejects receives new keys only from its peers.
    """
    clock = base.ManualClock()
    _, newer = _relay(clock, "a", 5)
    state, older = _relay(clock, "b", 3)
    newer.note_peer_version("b", 3)
    assert newer.offer("b") is None
    clock.advance(2.1)
    assert newer.offer("b") is None
    newer.note_peer_version("b", 3)
    offered = newer.offer("b")
    assert offered is not None
    assert newer.offer("b") is None
    older.receive("a", offered)
    assert state.table is not None and state.table.version == 5
    newer.note_peer_version("b", 5)
    clock.advance(10.0)
    assert newer.offer("b") is None


def test_a_peer_s_record_never_restores_an_older_version() -> None:
    """Guards against a version that decreases (CONFIG)."""
    clock = base.ManualClock()
    state, newer = _relay(clock, "a", 5)
    for value in (_record(3).value, b"not a record"):
        newer.receive("b", messages.GatewayConfiguration(value))
        assert state.table is not None and state.table.version == 5


def test_a_gateway_that_starts_on_a_copy_keeps_its_peers_version() -> None:
    """Guards against a restored store that brings back an older version."""
    clock = base.ManualClock()
    _, newer = _relay(clock, "a", 5)
    state, started = _relay(clock, "b", 3)
    newer.note_peer_version("b", 3)
    clock.advance(2.1)
    newer.note_peer_version("b", 3)
    offered = newer.offer("b")
    assert offered is not None
    started.receive("a", offered)
    started.apply_all([_record(3)])
    started.apply(_record(4))
    assert state.table is not None and state.table.version == 5


@contextlib.asynccontextmanager
async def _running(*links: mesh.Mesh) -> AsyncIterator[None]:
    runs = [
        asyncio.ensure_future(run())
        for each in links
        for run in (each.run_server, each.run_connections)
    ]
    try:
        for each in links:
            await each.wait_listening()
        yield
    finally:
        for run in runs:
            run.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await run


async def test_the_configuration_reaches_a_gateway_without_the_store() -> None:
    """Guards against offers that the peer connections do not deliver."""
    clock = clock_lib.SystemClock()
    state, links = {}, {}
    for name, version in (("a", 5), ("b", 3)):
        state[name], relay = _relay(clock, name, version)
        links[name] = mesh.Mesh(
            name,
            "127.0.0.1",
            0,
            state[name],
            notices.NoticeHandler(state[name]),
            relay,
        )
    async with _running(*links.values()):
        for name, other in (("a", "b"), ("b", "a")):
            peer = links[other]
            await links[name].set_peers(
                {other: mesh.Peer(other, peer.address, peer.secret)}
            )
        end_s = clock.monotonic() + 10.0
        while state["b"].table.version != 5:
            assert clock.monotonic() < end_s, "the version did not arrive"
            # The relay acts on messages of the peer. A gateway under load
            # sends notices all the time; new targets stand in for them here.
            state["b"].set_target_version("m1", round(clock.monotonic() * 1000))
            await clock.sleep(_PAUSE)
