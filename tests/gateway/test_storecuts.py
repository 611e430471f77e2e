"""Tests of servers that leave while a gateway is cut off from the store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
from collections.abc import AsyncIterator

import aiohttp
import pytest

from hibiscusstile.gateway import follower
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import consumers, operatorrecords, serverentries
from hibiscusstile_standins import runner as runner_lib
from tests.builders import gateway as builders
from tests.builders import gatewayprocess, storepaths

_TOPIC = serverentries.SERVER_TOPIC
_STABLE_WINDOW_S = 3.0
_DRAIN_S = 2.0


def _entry(server_id: str, **changes: object) -> bytes:
    return runner_lib.FakeBackendServer(server_id).discovery_entry(
        builders.PLAIN_SERVICE, address="127.0.0.1:9", **changes
    )


@contextlib.asynccontextmanager
async def _followed() -> AsyncIterator[
    tuple[storepaths.CutLog, state_lib.GatewayState]
]:
    """Follows the entries of two servers, with the pace of the role."""
    clock = storepaths.LoopClock()
    log = storepaths.CutLog()
    state = builders.gateway_state(clock)
    for server_id in ("i-1", "i-2"):
        await log.put(_TOPIC, server_id, _entry(server_id))
    followers = [
        follower.KeyedFollower(
            log,
            _TOPIC,
            consumers.ServerEntryConsumer(state),
            clock,
            builders.SERVER_ENTRY_PACE,
        ),
        follower.KeyedFollower(
            log,
            operatorrecords.OPERATOR_TOPIC,
            consumers.OperatorRecordConsumer(state),
            clock,
        ),
    ]
    follower.link(followers)
    tasks = [asyncio.ensure_future(each.run()) for each in followers]
    try:
        yield log, state
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _usable(state: state_lib.GatewayState) -> set[str]:
    servers = state.fleet.usable_servers(builders.PLAIN_SERVICE)
    return {each.server_id for each in servers}


async def _last_use_s(state: state_lib.GatewayState, server_id: str) -> float:
    """Returns for how much longer a server is used, over 15 s."""
    last_s = -1.0
    for step in range(300):
        if server_id in _usable(state):
            last_s = step * 0.05
        await asyncio.sleep(0.05)
    return last_s


_STARTS_S = [20.0 + 0.37 * step for step in range(24)]


@pytest.mark.parametrize("forget", [False, True])
@pytest.mark.parametrize("cut_s", [0.4, 1.3, 2.9, 4.3, 7.3])
def test_a_server_that_left_during_a_cut_is_unused_in_the_stable_window(
    cut_s: float, forget: bool
) -> None:
    """Guards against a bound that starts when the gateway notices (DRAIN)."""

    async def main() -> None:
        for start_s in _STARTS_S:
            async with _followed() as (log, state):
                await asyncio.sleep(start_s)
                log.cut()
                await asyncio.sleep(cut_s / 2)
                await log.put(_TOPIC, "i-1", b"")
                if forget:
                    log.forget_history(_TOPIC)
                await asyncio.sleep(cut_s / 2)
                log.heal()
                last_use_s = await _last_use_s(state, "i-1")
                assert last_use_s < _STABLE_WINDOW_S - 0.15, start_s
                assert _usable(state) == {"i-2"}

    storepaths.run_simulated(main)


def test_a_live_server_stays_usable_until_its_entry_is_back() -> None:
    """Guards against an early end of the grace period after an outage."""

    async def main() -> None:
        for start_s in _STARTS_S:
            async with _followed() as (log, state):
                await asyncio.sleep(start_s)
                log.cut()
                await asyncio.sleep(5.0)
                await log.put(_TOPIC, "i-1", b"")
                log.heal()
                await asyncio.sleep(1.7)
                assert "i-1" in _usable(state), start_s
                await log.put(_TOPIC, "i-1", _entry("i-1"))
                for _ in range(100):
                    await asyncio.sleep(0.05)
                    assert "i-1" in _usable(state), start_s

    storepaths.run_simulated(main)


@pytest.mark.parametrize("value", [b"", _entry("i-1", state="draining")])
def test_a_server_that_leaves_is_unused_in_time(value: bytes) -> None:
    """Guards against pauses and waits that add up to the bound (DRAIN)."""

    async def main() -> None:
        for start_s in _STARTS_S:
            async with _followed() as (log, state):
                await asyncio.sleep(start_s)
                for server_id in ("i-3", "i-4", "i-1"):
                    await log.put(_TOPIC, server_id, _entry(server_id))
                    await asyncio.sleep(0.1)
                await log.put(_TOPIC, "i-1", value)
                assert await _last_use_s(state, "i-1") < _DRAIN_S - 0.2

    storepaths.run_simulated(main)


@pytest.mark.parametrize("cut_s", [1.7, 4.3])
def test_a_configuration_is_applied_in_the_stable_window_after_a_cut(
    cut_s: float,
) -> None:
    """Guards against a lost read that hides a configuration (CONFIG)."""

    async def main() -> None:
        for start_s in _STARTS_S:
            async with _followed() as (log, state):
                await asyncio.sleep(start_s)
                log.cut()
                await asyncio.sleep(cut_s)
                log.heal()
                await asyncio.sleep(1.0)
                record = json.dumps(builders.configuration_record(7)).encode()
                await log.put(
                    operatorrecords.OPERATOR_TOPIC,
                    operatorrecords.CONFIGURATION_KEY,
                    record,
                )
                await asyncio.sleep(_STABLE_WINDOW_S - 1.0)
                assert state.table is not None, start_s

    storepaths.run_simulated(main)


def test_one_refused_read_keeps_no_server_that_was_removed() -> None:
    """Guards against a short failure that counts as an outage (DRAIN)."""

    async def main() -> None:
        for start_s in _STARTS_S:
            async with _followed() as (log, state):
                await asyncio.sleep(start_s)
                await log.put(_TOPIC, "i-3", _entry("i-3"))
                await asyncio.sleep(0.01)
                await log.put(_TOPIC, "i-1", b"")
                log.refuse_next_read = True
                assert await _last_use_s(state, "i-1") < _DRAIN_S, start_s

    storepaths.run_simulated(main)


def test_few_reads_are_made_while_nothing_changes() -> None:
    """Guards against calls to the store, which are priced."""

    async def main() -> None:
        async with _followed() as (log, _):
            await asyncio.sleep(60.0)
            assert log.reads <= 55

    storepaths.run_simulated(main)


async def _call_for(
    running: gatewayprocess.GatewayProcess,
    session: aiohttp.ClientSession,
    seconds: float,
) -> None:
    end_s = running.clock.monotonic() + seconds
    while running.clock.monotonic() < end_s:
        headers = {"X-Request-Id": str(len(running.engine.arrivals))}
        async with session.post(
            running.url, headers=gatewayprocess.HEADERS | headers
        ) as response:
            await response.read()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize(("cut_s", "forget"), [(4.0, True), (1.5, False)])
async def test_a_process_sends_nothing_to_a_server_that_left_during_a_cut(
    tmp_path: pathlib.Path, cut_s: float, forget: bool
) -> None:
    """Guards against reads that hang on a silent store for up to 9.5 s."""
    async with (
        gatewayprocess.gateway_process(tmp_path) as running,
        aiohttp.ClientSession() as session,
    ):
        await running.wait_status(session, 200, 10.0)
        await _call_for(running, session, 4.0)
        before = len(running.engine.arrivals)
        running.store_path.cut()
        await running.store.put(_TOPIC, "i-1", b"")
        if forget:
            running.store.forget_history(_TOPIC)
        await _call_for(running, session, cut_s)
        running.store_path.restore()
        await _call_for(running, session, _STABLE_WINDOW_S)
        in_window = len(running.engine.arrivals)
        await _call_for(running, session, 3.0)
    assert before > 0
    assert len(running.engine.arrivals) == in_window
