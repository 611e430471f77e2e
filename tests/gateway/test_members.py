"""Tests of the discovery of other gateways."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile.gateway import allowances, notices, routes
from hibiscusstile.peers import mesh
from hibiscusstile.platform import members, topics
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout as rollouts

_LOST_MEMBER = {"address": "127.0.0.1:1", "secret": "gone"}


def _new_membership(
    clock: clock_lib.Clock, log: rollouts.MemoryLog
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


def _appended_records(log: rollouts.MemoryLog) -> list[tuple[str, bool]]:
    payloads = log.payloads.get(members.MEMBER_TOPIC, [])
    records = [topics.decode_keyed_record(payload, 0) for payload in payloads]
    return [(record.key, bool(record.value)) for record in records]


async def _run_tasks(
    membership: members.GatewayMembership, peer_mesh: mesh.Mesh, iterations: int
) -> None:
    tasks = [
        asyncio.ensure_future(peer_mesh.run_server()),
        asyncio.ensure_future(membership.announce()),
    ]
    await peer_mesh.wait_listening()
    for _ in range(iterations):
        await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def test_the_record_of_a_lost_gateway_is_removed() -> None:
    """Guards against endless reconnects to instances that were replaced."""
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _new_membership(clock, log)
    value = json.dumps(_LOST_MEMBER).encode()
    membership.apply(topics.KeyedRecord("b", value, 0))
    await _run_tasks(membership, peer_mesh, 400)
    assert clock.monotonic() > 1060
    assert ("b", False) in _appended_records(log)
    assert peer_mesh.peers == ()


async def test_a_running_gateway_announces_itself_again_after_removal() -> None:
    """Guards against a running gateway that receives no more notices."""
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _new_membership(clock, log)
    await _run_tasks(membership, peer_mesh, 20)
    membership.apply(topics.KeyedRecord("a", b"", 1))
    await _run_tasks(membership, peer_mesh, 20)
    assert _appended_records(log) == [("a", True), ("a", True)]


async def test_a_stopping_gateway_is_not_announced_again() -> None:
    """Guards against connections to a gateway that is stopping."""
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _new_membership(clock, log)
    await _run_tasks(membership, peer_mesh, 20)
    await membership.withdraw()
    membership.apply(topics.KeyedRecord("a", b"", 1))
    await _run_tasks(membership, peer_mesh, 20)
    assert _appended_records(log) == [("a", True), ("a", False)]


@pytest.mark.parametrize(
    "fields",
    [
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:port"},
        {"address": "a" * 70 + ".example:80"},
        {"address": "127.0.0.1\0:80"},
        {"address": ""},
        {"secret": 5},
        {"secret": "s" * 100_000},
        {"zone": 10**400},
    ],
)
async def test_no_odd_announcement_ends_the_connections_to_gateways(
    fields: dict[str, object],
) -> None:
    """Guards against a process that ends at one odd record again and again."""
    membership, peer_mesh = _new_membership(
        clock_lib.SystemClock(), rollouts.MemoryLog()
    )
    value = json.dumps({**_LOST_MEMBER, **fields}).encode()
    membership.apply(topics.KeyedRecord("b", value, 0))
    tasks = [
        asyncio.ensure_future(run())
        for run in (
            peer_mesh.run_connections,
            peer_mesh.run_server,
            membership.announce,
        )
    ]
    ended, _ = await asyncio.wait(tasks, timeout=0.5)
    peers = peer_mesh.peers
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert not ended
    assert peers == ()


async def test_an_announcement_of_an_earlier_start_is_replaced() -> None:
    """Guards against peers that cannot connect after the store was restored."""
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _new_membership(clock, log)
    await _run_tasks(membership, peer_mesh, 20)
    earlier = json.dumps(_LOST_MEMBER).encode()
    membership.apply_all([topics.KeyedRecord("a", earlier, 1)])
    await _run_tasks(membership, peer_mesh, 20)
    assert _appended_records(log) == [("a", True), ("a", True)]


async def test_peers_that_a_restored_store_lacks_are_kept_for_a_moment() -> (
    None
):
    """Guards against notices lost until the peers announce themselves again."""
    clock = base.YieldingClock()
    membership, peer_mesh = _new_membership(clock, rollouts.MemoryLog())
    value = json.dumps(_LOST_MEMBER).encode()
    membership.apply_all([topics.KeyedRecord(name, value, 0) for name in "bcd"])
    membership.apply_all([])
    membership.apply(topics.KeyedRecord("c", value, 1))
    membership.apply(topics.KeyedRecord("d", b"", 2))
    await _run_tasks(membership, peer_mesh, 10)
    assert set(peer_mesh.peers) == {"b", "c"}
    await _run_tasks(membership, peer_mesh, 60)
    assert clock.monotonic() > 1010
    assert peer_mesh.peers == ("c",)


async def test_the_connections_to_gateways_can_be_started_again() -> None:
    """Guards against a process that ends once its links failed too often."""
    _, peer_mesh = _new_membership(
        clock_lib.SystemClock(), rollouts.MemoryLog()
    )
    for _ in range(2):
        task = asyncio.ensure_future(peer_mesh.run_connections())
        ended, _ = await asyncio.wait([task], timeout=0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not ended


@pytest.mark.parametrize("announced", [False, True])
@pytest.mark.parametrize("restarted", [False, True])
async def test_a_new_gateway_fills_no_bucket_before_others_count_it(
    restarted: bool, announced: bool
) -> None:
    """Guards against shares that add up to more than an allowance.

    A gateway that restarts is counted already and fills its buckets at once.
    The first list may hold the announcement that this process has appended.
    """
    clock = base.YieldingClock()
    log = rollouts.MemoryLog()
    membership, peer_mesh = _new_membership(clock, log)
    if announced:
        await _run_tasks(membership, peer_mesh, 20)
        assert _appended_records(log) == [("a", True)]
    ledger = membership._state.allowances.ledger
    ledger.apply({"growers": routes.Allowance(1000.0, 8000.0)})
    value = json.dumps(_LOST_MEMBER).encode()
    listed = [topics.KeyedRecord("b", value, 0)]
    if restarted:
        listed.append(topics.KeyedRecord("a", value, 1))
    elif announced:
        listed.append(topics.KeyedRecord("a", membership._own_value, 1))
    membership.apply_all(listed)
    announced_s = clock.monotonic()
    await _run_tasks(membership, peer_mesh, 0)
    started_s = clock.monotonic()
    assert started_s < announced_s + 3
    assert ledger.gateways == 2
    assert (ledger.held("growers") > 0) is restarted
    clock.advance(max(0.0, announced_s + 3.1 - started_s))
    ledger.try_take("growers", allowances.Cost(0.0))
    clock.advance(1.0)
    assert ledger.held("growers") >= 500
