"""Tests of weights rollouts and their lease."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import itertools
import json

import pytest

from hibiscusstile.gateway import (
    engineorders,
    load,
    notices,
    rollout,
    rolloutlease,
    serverstatements,
)
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import consumers, topics
from hibiscusstile_standins import runner as runner_lib
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout as rollouts

_PAUSE = datetime.timedelta(seconds=3)
_STEP_S = 0.02


def _state(clock: base.ManualClock, engines: int) -> state_lib.GatewayState:
    state = builders.gateway_state(clock)
    state.apply_table(builders.routing_table())
    for number in range(engines):
        server_id = f"i-{number}"
        state.fleet.put(builders.backend_server(server_id))
        state.note_weights(server_id, "m1", 1)
    return state


class _SteppingClock(base.ManualClock):
    """Shared clock whose sleepers poll until `_run` has advanced it."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        end_s = self.monotonic() + duration.total_seconds()
        while self.monotonic() < end_s:  # noqa: ASYNC110 - `_run` advances it
            await asyncio.sleep(0)


async def _run(
    clock: base.ManualClock, rollouts_: list[rollout.Rollout], for_s: float
) -> None:
    tasks = [asyncio.ensure_future(each.run()) for each in rollouts_]
    end_s = clock.monotonic() + for_s
    while clock.monotonic() < end_s:
        for _ in range(12):
            await asyncio.sleep(0)
        clock.advance(_STEP_S)
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def _rollout(
    state: state_lib.GatewayState,
    log: rollouts.MemoryLog,
    engines: rollouts.MemoryEngines,
    name: str,
) -> rollout.Rollout:
    reader = notices.NoticeHandler(state)
    lease = rolloutlease.RolloutLease(
        state, log, reader, rolloutlease.Holder(name, "192.0.2.1"), _PAUSE
    )
    return rollout.Rollout(state, lease, engines, name)


class _Setup:
    """A process with engines, a log and a newer target version."""

    def __init__(self, engines: int, target: int | None = 2) -> None:
        self.clock = _SteppingClock()
        self.state = _state(self.clock, engines)
        self.log = rollouts.MemoryLog()
        self.engines = rollouts.MemoryEngines(self.state)
        if target is not None:
            self.state.set_target_version("m1", target)

    async def run(self, for_s: float) -> None:
        changes = _rollout(self.state, self.log, self.engines, "a")
        await _run(self.clock, [changes], for_s)


async def test_engines_change_a_third_at_a_time() -> None:
    """Guards against a wave that takes most of a model's engines away."""
    setup = _Setup(9)
    await setup.run(4.0)
    times = [at_s for at_s, _, _ in setup.engines.orders]
    assert len(times) == 9
    assert set(setup.engines.versions.values()) == {2}
    for start_s in times:
        assert sum(start_s <= t < start_s + 0.5 for t in times) <= 3


@pytest.mark.parametrize("listed_first", [False, True])
async def test_a_listed_version_that_was_never_named_hides_no_engine(
    listed_first: bool,
) -> None:
    """Guards against an outdated engine that an odd entry hides for good."""
    setup = _Setup(3, target=None if listed_first else 2)
    entry = runner_lib.FakeBackendServer("i-1").discovery_entry(
        builders.ENGINE_SERVICE,
        address="10.0.0.1:1",
        models=[{"name": "m1", "version": 99}],
    )
    consumers.ServerEntryConsumer(setup.state).apply(
        topics.KeyedRecord("i-1", entry, 0)
    )
    record = json.dumps({"model": "m1", "version": 2}).encode()
    consumers.OperatorRecordConsumer(setup.state).apply(
        topics.KeyedRecord("version/m1", record, 0)
    )
    await setup.run(4.0)
    assert setup.engines.versions == {"i-0": 2, "i-1": 2, "i-2": 2}


async def test_no_order_is_sent_to_a_server_that_wants_none() -> None:
    """Guards against orders to an engine that leaves or asked for a pause."""
    setup = _Setup(4)
    statements = setup.state.server_statements
    leaving, paused, draining, other = setup.state.fleet.servers
    statements.note(leaving, serverstatements.ServerStatement(leaving=True))
    pause = serverstatements.ServerStatement(
        retry_after=datetime.timedelta(seconds=2)
    )
    statements.note(paused, pause)
    # This one says so while the order waits for its prefills to end.
    setup.state.loads.for_server(draining.server_id).note_peer_load(
        "b",
        load.PeerLoad(1, 90_000, setup.clock.monotonic() + 60),
        setup.clock.monotonic(),
    )
    running = asyncio.ensure_future(setup.run(1.8))
    changing = setup.state.weights.is_changing
    async with asyncio.timeout(5):
        while not changing(draining.server_id):  # noqa: ASYNC110 - `_run` does
            await asyncio.sleep(0)
    statements.note(draining, pause)
    await running
    ordered = {server_id for _, server_id, _ in setup.engines.orders}
    assert ordered == {other.server_id}
    await setup.run(6.0)
    ordered = {server_id for _, server_id, _ in setup.engines.orders}
    assert ordered == {each.server_id for each in (paused, draining, other)}


class _SharedLog:
    """Three processes, each with engines, that share a log."""

    def __init__(self, era: int | None = None) -> None:
        self.clock = _SteppingClock()
        self.log = rollouts.MemoryLog(era)
        self.states = [_state(self.clock, 6) for _ in range(3)]
        self.engines = [rollouts.MemoryEngines(each) for each in self.states]
        self.restart()

    def restart(self) -> None:
        """Replaces the processes by ones that know nothing of the lease."""
        self._rollouts = [
            _rollout(state, self.log, engines, name)
            for state, engines, name in zip(
                self.states, self.engines, ("a", "b", "c"), strict=True
            )
        ]

    async def run(self, version: int, for_s: float) -> None:
        """Publishes a version and lets all processes roll it out."""
        for each in self.states:
            each.set_target_version("m1", version)
        await _run(self.clock, self._rollouts, for_s)

    def check_orders(self) -> None:
        """Checks that tokens never go back and that holders pause."""
        orders = sorted(
            (at_s, order.holder, order.fence)
            for each in self.engines
            for at_s, _, order in each.orders
        )
        assert orders
        for before, after in itertools.pairwise(orders):
            assert after[2] >= before[2]
            if before[1] != after[1]:
                assert after[0] - before[0] > 3.0
                assert after[2] > before[2]


async def test_two_processes_never_order_within_one_lease() -> None:
    """Guards against orders of two holders whose leases overlap."""
    shared = _SharedLog()
    await shared.run(2, 20.0)
    shared.check_orders()


async def test_orders_keep_their_sequence_over_restores() -> None:
    """Guards against orders of holders whose claims the log has lost."""
    shared = _SharedLog(1)
    for version in range(2, 8):
        await shared.run(version, 5.0)
        shared.log.restore("hibiscusstile.weights", version % 3)
    await shared.run(9, 20.0)
    shared.check_orders()
    assert {order.version for _, _, order in shared.engines[0].orders} >= {9}


async def test_orders_come_soon_after_a_restart_of_all_processes() -> None:
    """Guards against streams that are refused for seconds after a restart.

    All processes stop as the first version since the store's restore is
    published; engines are outdated when they start again.
    """
    shared = _SharedLog(1)
    await shared.log.read_newest("keyed.op")
    await shared.run(1, 20.0)
    for each in shared.states:
        each.set_target_version("m1", 2)
    started_s = shared.clock.monotonic()
    shared.restart()
    await shared.run(2, 12.0)
    shared.check_orders()
    first_s = min(each.orders[0][0] for each in shared.engines if each.orders)
    assert first_s - started_s < 1.0


async def test_a_claim_without_a_response_sends_no_orders() -> None:
    """Guards against orders of a process that is not sure of its lease."""
    setup = _Setup(3)
    setup.log.lose_next = True
    await setup.run(0.6)
    assert not setup.engines.orders
    await setup.run(8.0)
    assert len(setup.engines.orders) == 3


async def test_an_order_without_a_response_is_retried_safely() -> None:
    """Guards against an order that is executed twice."""
    setup = _Setup(1)
    setup.engines.results = [engineorders.OrderResult.UNKNOWN] * 3
    await setup.run(3.0)
    assert len(setup.engines.orders) == 1
    assert setup.engines.orders[0][2].orders_accepted == 0


async def test_no_orders_are_sent_while_the_store_is_down() -> None:
    """Guards against orders without a lease."""
    setup = _Setup(3)
    setup.log.down = True
    await setup.run(5.0)
    assert not setup.engines.orders


async def test_an_engine_is_drained_before_its_order() -> None:
    """Guards against orders that make an engine reject its queue."""
    setup = _Setup(3)
    waiting = load.InFlightRequest(20_000, 20_000, setup.clock.monotonic(), 0.4)
    busy = setup.state.loads.for_server("i-0")
    busy.begin(waiting, "v1.shared", ())
    run = asyncio.ensure_future(setup.run(6.0))
    while len(setup.engines.orders) < 2:  # noqa: ASYNC110 - the run advances it
        await asyncio.sleep(0)
    assert "i-0" not in {each for _, each, _ in setup.engines.orders}
    while not setup.state.weights.is_changing("i-0"):  # noqa: ASYNC110
        await asyncio.sleep(0)
    end_s = setup.clock.monotonic() + 0.4
    while setup.clock.monotonic() < end_s:  # noqa: ASYNC110
        await asyncio.sleep(0)
    busy.note_started(waiting, end_s)
    await run
    ordered_s = {each: at_s for at_s, each, _ in setup.engines.orders}
    assert end_s <= ordered_s["i-0"] < end_s + 0.2


async def test_an_engine_with_a_long_queue_is_ordered_after_the_drain() -> None:
    """Guards against weights that are never updated under load."""
    setup = _Setup(1)
    busy = setup.state.loads.for_server("i-0")
    busy.begin(load.InFlightRequest(90_000, 90_000, 0.0, 2.0), "v1.shared", ())
    await setup.run(3.0)
    assert setup.engines.versions == {"i-0": 2}
