"""Tests of finding other gateways."""

from __future__ import annotations

import asyncio
import contextlib
import json

from hibiscusstile.gateway import notices
from hibiscusstile.peers import mesh
from hibiscusstile.platform import members, topics
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout as rollouts

_LOST_MEMBER = {"address": "127.0.0.1:1", "secret": "gone"}


def _membership(
    clock: base.ManualClock, log: rollouts.MemoryLog
) -> tuple[members.GatewayMembership, mesh.Mesh]:
    state = builders.gateway_state(clock)
    peer_mesh = mesh.Mesh(
        "a",
        "127.0.0.1",
        0,
        state,
        notices.NoticeHandler(state),
        builders.configuration_relay(state),
    )
    return members.GatewayMembership(log, peer_mesh, state), peer_mesh


def _records(log: rollouts.MemoryLog) -> list[tuple[str, bool]]:
    payloads = log.payloads.get(members.TOPIC, [])
    records = [topics.decode_keyed_record(payload, 0) for payload in payloads]
    return [(record.key, bool(record.value)) for record in records]


async def _run(
    membership: members.GatewayMembership, peer_mesh: mesh.Mesh, turns: int
) -> None:
    tasks = [
        asyncio.ensure_future(peer_mesh.run_server()),
        asyncio.ensure_future(membership.announce()),
    ]
    await peer_mesh.wait_listening()
    for _ in range(turns):
        await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def test_a_lost_instance_is_forgotten_by_all() -> None:
    """Guards against links to instances that were replaced for good."""
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _membership(clock, log)
    value = json.dumps(_LOST_MEMBER).encode()
    membership.apply(topics.KeyedRecord("b", value, 0))
    await _run(membership, peer_mesh, 400)
    assert clock.monotonic() > 1060
    assert ("b", False) in _records(log)
    assert peer_mesh.peers == ()


async def test_an_instance_that_was_taken_for_gone_comes_back() -> None:
    """Guards against a live gateway that nobody tells anything."""
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _membership(clock, log)
    await _run(membership, peer_mesh, 20)
    membership.apply(topics.KeyedRecord("a", b"", 1))
    await _run(membership, peer_mesh, 20)
    assert _records(log) == [("a", True), ("a", True)]


async def test_an_instance_that_leaves_stays_away() -> None:
    """Guards against links to a gateway that stops."""
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _membership(clock, log)
    await _run(membership, peer_mesh, 20)
    await membership.withdraw()
    membership.apply(topics.KeyedRecord("a", b"", 1))
    await _run(membership, peer_mesh, 20)
    assert _records(log) == [("a", True), ("a", False)]
