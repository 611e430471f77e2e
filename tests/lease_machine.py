"""Hypothesis state machine of three processes that claim the rollout lease."""

from __future__ import annotations

import datetime
from collections.abc import Coroutine
from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st

from hibiscusstile.gateway import notices, rolloutlease
from hibiscusstile.gateway import state as state_lib
from tests import builders
from tests.builders import gateway
from tests.builders import rollout as rollouts

__all__ = ["LeaseMachine"]

_TOPIC = "hibiscusstile.weights"
_NAMES = ("a", "b", "c")
_SLOTS = st.integers(0, 2)
_FATES = st.sampled_from(["done", "done", "done", "lost", "late", "refused"])
_PAUSE_S = 3.0
_MAX_DELIVERY_S = 0.5
_TOLERANCE_S = 1e-6
# A claim's duration, the longest delivery of an order and the pause.
_MAX_WAIT_S = 6.0


class _Process:
    """One process: its lease, its client of the log and its running call."""

    def __init__(
        self, machine: LeaseMachine, name: str, late: list[Any]
    ) -> None:
        self.state: state_lib.GatewayState = gateway.gateway_state(
            machine.clock
        )
        self.notices = notices.NoticeHandler(self.state)
        self.log = rollouts.SteppedLog(machine.store)
        self.log.late = late
        self.lease = machine.lease_class(
            self.state,
            self.log,
            self.notices,
            rolloutlease.Holder(name, "192.0.2.1"),
            datetime.timedelta(seconds=_PAUSE_S),
        )
        self.task: Coroutine[Any, Any, Any] | None = None

    def step(self, fate: str) -> None:
        """Runs the process until its next call to the log."""
        if self.task is None:
            return
        self.log.fate = fate
        try:
            self.task.send(None)
        except StopIteration:
            self.task = None

    async def poll(self, unchanged_s: float) -> None:
        """Does what a rollout does at each of its polls."""
        self.lease.observe_era()
        await self.lease.refresh()
        if not unchanged_s:
            await self.lease.open_era()
            return
        if self.lease.may_claim(unchanged_s):
            await self.lease.claim()


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Interleaves claims and orders with restores, outages and restarts.

    A process that is frozen or cut off is one whose steps come late or fail.
    Checks at an engine that tokens never go back, that no two processes use
    one token, and that a pause lies between the orders of two processes.
    """

    lease_class = rolloutlease.RolloutLease
    first_era: int | None = 1

    def __init__(self) -> None:
        super().__init__()
        self.clock = builders.ManualClock()
        self.store = rollouts.MemoryLog(self.first_era)
        self.in_flight: list[tuple[float, int, int]] = []
        self.received: list[tuple[float, int, int]] = []
        self.processes = [_Process(self, name, []) for name in _NAMES]
        # Most faults need processes that have waited since their start.
        for slot in range(3):
            self.learn(slot)
            self.claim(slot, "done")
        self.pass_time(_MAX_WAIT_S)

    # Processes.

    @stateful.rule(slot=_SLOTS)
    def restart(self, slot: int) -> None:
        """Replaces a process; an append that it sent may still take effect."""
        process = self.processes[slot]
        if process.task is not None:
            process.task.close()
        if process.log.sending is not None:
            process.log.late.append(process.log.sending)
        self.processes[slot] = _Process(self, _NAMES[slot], process.log.late)

    @stateful.rule(slot=_SLOTS, unchanged_s=st.sampled_from([0.0, 5.0, 5.0]))
    def poll(self, slot: int, unchanged_s: float) -> None:
        """Starts a poll of the rollout, which stops at its first call."""
        process = self.processes[slot]
        if process.task is None:
            process.task = process.poll(unchanged_s)
            process.step("done")

    @stateful.rule(slot=_SLOTS, fate=_FATES)
    def step(self, slot: int, fate: str) -> None:
        self.processes[slot].step(fate)

    @stateful.rule(slot=_SLOTS, fate=_FATES)
    def claim(self, slot: int, fate: str) -> None:
        """Runs a whole poll and sends an order if the lease is held."""
        self.poll(slot, 5.0)
        for _ in range(8):
            self.step(slot, fate)
        self.order(slot)

    @stateful.rule(slot=_SLOTS)
    def take_over(self, slot: int) -> None:
        """Lets only one process run until it may hold the lease."""
        for _ in range(20):
            self.claim(slot, "done")
            if self.processes[slot].lease.held_claim is not None:
                return
            self.pass_time(0.5)

    @stateful.rule(slot=_SLOTS)
    def open_era(self, slot: int) -> None:
        """Lets only one process run, without a rollout to do."""
        for _ in range(20):
            self.poll(slot, 0.0)
            for _ in range(8):
                self.step(slot, "done")
            self.pass_time(0.8)

    @stateful.rule(slot=_SLOTS)
    def learn(self, slot: int) -> None:
        """Lets another call to the log receive its response."""
        if not self.store.down:
            self.processes[slot].log.learn()

    @stateful.rule(sender=_SLOTS, receivers=st.sets(_SLOTS))
    def tell(self, sender: int, receivers: set[int]) -> None:
        """Delivers a process's notices to some of its peers."""
        notice = self.processes[sender].state.notices.drain(())
        for slot in receivers - {sender}:
            if notice is not None:
                self.processes[slot].notices.apply(_NAMES[sender], notice)

    # Log.

    @stateful.rule(lost=st.sampled_from([0, 1, 1, 2, 3, 99]))
    def restore(self, lost: int) -> None:
        """Restores the log from a copy that lacks the newest claims."""
        claims = self.store.payloads.get(_TOPIC, [])
        self.store.restore(_TOPIC, max(0, len(claims) - lost))

    @stateful.rule(kept=st.integers(0, 2))
    def forget(self, kept: int) -> None:
        """Deletes all but the newest claims."""
        claims = self.store.payloads.get(_TOPIC, [])
        self.store.trimmed_before = max(
            self.store.trimmed_before, len(claims) - kept
        )

    @stateful.rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.store.down = down

    @stateful.rule(slot=_SLOTS, pick=st.integers(0, 9))
    def land_late(self, slot: int, pick: int) -> None:
        """Carries out an append without a response if its condition holds."""
        late = self.processes[slot].log.late
        if late and not self.store.down:
            topic, payload, end = late.pop(pick % len(late))
            kept = self.store.payloads.setdefault(topic, [])
            if end == len(kept):
                kept.append(payload)

    # Orders and time.

    @stateful.rule(slot=_SLOTS)
    def order(self, slot: int) -> None:
        """Sends an order after the response to the process's last one."""
        claim = self.processes[slot].lease.held_claim
        if claim is not None:
            for order in [each for each in self.in_flight if each[1] == slot]:
                self.in_flight.remove(order)
                self._receive(*order[1:])
            sent_s = self.clock.monotonic()
            self.in_flight.append((sent_s, slot, claim.fence))

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(pick=st.integers(0, 9))
    def deliver(self, pick: int) -> None:
        _, slot, fence = self.in_flight.pop(pick % len(self.in_flight))
        self._receive(slot, fence)

    @stateful.rule(
        seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 2.5, 3.0, 6.0, 9.0])
    )
    def pass_time(self, seconds: float) -> None:
        """Advances the clock; orders arrive within their longest delivery."""
        end_s = self.clock.monotonic() + seconds
        for order in sorted(self.in_flight):
            if order[0] + _MAX_DELIVERY_S <= end_s:
                self.in_flight.remove(order)
                arrival_s = order[0] + _MAX_DELIVERY_S
                self.clock.advance(max(0.0, arrival_s - self.clock.monotonic()))
                self._receive(*order[1:])
        self.clock.advance(end_s - self.clock.monotonic())

    def _receive(self, slot: int, fence: int) -> None:
        now_s = self.clock.monotonic()
        for before_s, other, earlier in self.received:
            assert fence >= earlier
            assert fence != earlier or slot == other
            assert slot == other or now_s - before_s > _PAUSE_S - _TOLERANCE_S
        self.received.append((now_s, slot, fence))

    def teardown(self) -> None:
        """Checks that a process gets the lease after all faults."""
        for slot in range(3):
            for _ in range(8):
                self.step(slot, "refused")
        self.store.down = False
        for _ in range(200):
            self.pass_time(0.1)
            for slot in range(3):
                self.learn(slot)
                self.claim(slot, "done")
                if self.processes[slot].lease.held_claim is not None:
                    return
        raise AssertionError("no process got the lease")
