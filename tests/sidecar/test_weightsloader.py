"""Tests of loading weights according to the placement plan."""

from __future__ import annotations

from hibiscusstile import admission
from hibiscusstile.sidecar import asyncadmission, regionsidecars, weightsloader
from tests import builders

_STREAM = "leases.north.default"


class _Sidecar:
    """The weights loader and admission queue of one of several sidecars."""

    def __init__(
        self,
        name: str,
        log: builders.UnreliableLog,
        clock: builders.ManualClock,
    ) -> None:
        self.engine = builders.FakeEngine()
        self.store = builders.config_store(
            builders.record("model", "m1", weights_version="v1")
        )
        self.queue = admission.AdmissionQueue(clock, builders.queue_limits())
        self.admission_queue = asyncadmission.AsyncAdmissionQueue(
            self.queue, clock
        )
        self.loader = weightsloader.WeightsLoader(
            self.engine,
            log,
            regionsidecars.RegionSidecars(
                builders.FakeInstanceList("s1", "s2"), "north", clock
            ),
            self.store,
            self.admission_queue,
            clock,
            name,
            "north",
            lambda: self.engine.state,
            self._refresh,
        )

    async def _refresh(self) -> None:
        """Does nothing: the health is always read from the engine."""

    def publish(self, version: str) -> None:
        """Publishes a weights version."""
        record = builders.record("model", "m1", weights_version=version)
        builders.apply_records(self.store, record)


def _pair() -> tuple[
    builders.ManualClock, builders.UnreliableLog, list[_Sidecar]
]:
    clock = builders.ManualClock()
    log = builders.UnreliableLog(clock)
    return clock, log, [_Sidecar(name, log, clock) for name in ("s1", "s2")]


async def _steps(sidecars: list[_Sidecar], count: int) -> None:
    for _ in range(count):
        for sidecar in sidecars:
            await sidecar.loader.step()


async def test_rollout_reaches_every_engine_with_a_fencing_number() -> None:
    """Guards against engines that miss a rollout or load without a lease."""
    _, log, sidecars = _pair()
    await _steps(sidecars, 3)
    assert not sidecars[0].engine.orders
    for sidecar in sidecars:
        sidecar.publish("v2")
    await _steps(sidecars, 12)
    loaded = [sidecar.engine.state for sidecar in sidecars]
    assert [state.weights_version for state in loaded] == ["v2", "v2"]
    numbers = [state.fencing_number for state in loaded]
    payloads = [entry.payload for entry in log.streams[_STREAM]]
    assert all(b'"claim"' in payloads[number] for number in numbers)
    assert sum(b'"claim"' in payload for payload in payloads) == 2


async def test_load_waits_for_running_work() -> None:
    """Guards against a load during a stream, which would mix versions."""
    _, _, sidecars = _pair()
    await _steps(sidecars, 3)
    busy = sidecars[0]
    assert busy.queue.offer(builders.work_item("w1"), 1e9) is None
    assert busy.queue.start_next() is not None
    for sidecar in sidecars:
        sidecar.publish("v2")
    await _steps(sidecars, 12)
    assert busy.engine.state.weights_version == "v1"
    assert sidecars[1].engine.state.weights_version == "v2"
    assert busy.queue.check(builders.work_item("w2")) is None
    busy.queue.finish("w1", 10)
    await _steps(sidecars, 12)
    assert busy.engine.state.weights_version == "v2"


async def test_no_load_while_the_log_is_down() -> None:
    """Guards against loads while the log cannot limit concurrent ones."""
    _, log, sidecars = _pair()
    await _steps(sidecars, 3)
    for sidecar in sidecars:
        sidecar.publish("v2")
    log.down = True
    await _steps(sidecars, 12)
    assert not any(sidecar.engine.orders for sidecar in sidecars)
    log.down = False
    await _steps(sidecars, 12)
    assert all(sidecar.engine.orders for sidecar in sidecars)


async def test_lost_answers_do_not_keep_a_slot() -> None:
    """Guards against a lease that stays held after a lost append response.

    The claim is found in the log later and used or released.
    """
    _, log, sidecars = _pair()
    await _steps(sidecars, 3)
    for sidecar in sidecars:
        sidecar.publish("v2")
    log.append_outcomes.extend(["lost", "late", "lost", "refused"] * 3)
    await _steps(sidecars, 20)
    log.apply_late_appends()
    await _steps(sidecars, 20)
    assert all(
        sidecar.engine.state.weights_version == "v2" for sidecar in sidecars
    )
