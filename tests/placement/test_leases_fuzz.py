"""Stateful fuzzing of load leases on a log that loses responses."""

from __future__ import annotations

import collections
import datetime

import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hibiscusstile import backends, platform
from hibiscusstile.placement import entries, leases
from tests import builders

_STREAM = entries.lease_stream("north", "default")
_HOLDERS = st.sampled_from(["s1", "s2", "s3", "s4"])
_FATES = st.sampled_from(["done", "done", "done", "lost", "late", "refused"])


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Sidecars claim leases in one log, pause, restart and send orders."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = builders.ManualClock()
        self.log = builders.UnreliableLog(self.clock)
        self.reference = leases.LeaseTable()
        self.tables: dict[str, leases.LeaseTable] = {}
        self.holders: dict[str, leases.LeaseHolder] = {}
        self.engine = builders.FakeEngine()
        self.in_flight: list[int] = []
        self.accepted: list[int] = []
        self.claim_count = 0
        for name in ("s1", "s2", "s3", "s4"):
            self._start(name)

    def _start(self, name: str) -> None:
        self.tables[name] = leases.LeaseTable()
        self.holders[name] = leases.LeaseHolder(self.tables[name], name)

    def _append(self, entry: entries.LeaseStreamEntry, fate: str) -> None:
        self.log.append_outcomes = collections.deque([fate])
        self.log.append_now(_STREAM, entries.encode(entry))

    def _follow(self, table: leases.LeaseTable) -> None:
        page = self.log.read_now(_STREAM, table.next_offset)
        if isinstance(page, platform.LogEntries):
            table.skip_to(page.earliest)
            for entry in page.entries:
                table.apply(entry)

    def _follow_reference(self) -> None:
        """Applies every entry, also during an outage of the log."""
        for entry in self.log.streams[_STREAM][self.reference.next_offset :]:
            self.reference.apply(entry)

    @stateful.rule(name=_HOLDERS, fate=_FATES, pause_s=st.floats(0, 30))
    def claim(self, name: str, fate: str, pause_s: float) -> None:
        """Claims a lease; the process may pause before sending the claim."""
        self.claim_count += 1
        claim = self.holders[name].start_claim(
            f"c{self.claim_count}", self.clock.monotonic()
        )
        self.clock.advance(pause_s)
        self._append(claim, fate)
        self._follow_reference()

    @stateful.rule(name=_HOLDERS)
    def acquire_and_order(self, name: str) -> None:
        """Claims a lease, reads the log and sends an order."""
        self.claim(name, "done", 0.0)
        self.read(name)
        self.send_order(name)

    @stateful.rule(name=_HOLDERS)
    def read(self, name: str) -> None:
        """Reads the stream."""
        self._follow(self.tables[name])

    @stateful.rule(name=_HOLDERS, fate=_FATES)
    def give_up(self, name: str, fate: str) -> None:
        """Ends a claim and releases the ended claims that were granted."""
        self.holders[name].end_claim()
        for release in self.holders[name].pending_releases():
            self._append(release, fate)
        self._follow_reference()

    @stateful.rule()
    def late_appends_appear(self) -> None:
        """Applies the appends that are still delayed."""
        self.log.apply_late_appends()
        self._follow_reference()

    @stateful.rule(seconds=st.one_of(st.floats(0, 20), st.floats(40, 130)))
    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.clock.advance(seconds)

    @stateful.rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        """Starts or ends an outage of the log."""
        self.log.down = down

    @stateful.rule(name=_HOLDERS)
    def restart(self, name: str) -> None:
        """Restarts a sidecar, which loses its claims and reads the log."""
        self._start(name)
        self._follow(self.tables[name])

    @stateful.rule(kept=st.integers(0, 3))
    def forget(self, kept: int) -> None:
        """Drops old entries of the log, before their retention time is over."""
        self.log.keep_newest(_STREAM, kept)

    @stateful.rule(name=_HOLDERS)
    def send_order(self, name: str) -> None:
        """Sends an order, which is delivered later."""
        number = self.holders[name].fencing_number(self.clock.monotonic())
        if number is not None:
            self.in_flight.append(number)

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=st.data())
    def deliver_order(self, data: st.DataObject) -> None:
        """Delivers any of the orders in flight to the engine."""
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        number = self.in_flight.pop(index)
        order = backends.EngineOrder(number, "m1", f"v{number}")
        if self.engine.apply_order(order).applied:
            assert all(number >= earlier for earlier in self.accepted)
            self.accepted.append(number)

    @stateful.invariant()
    def at_most_two_may_act(self) -> None:
        """Sidecars that may send orders have leases valid by log time."""
        now_s = self.clock.monotonic()
        acting = [
            holder.grant
            for holder in self.holders.values()
            if holder.fencing_number(now_s) is not None
        ]
        assert len(acting) <= 2
        now = self.clock.now()
        valid = {g.offset for g in self.reference.active if g.expires_at > now}
        assert len(valid) <= 2
        for grant in acting:
            assert grant is not None
            assert grant.offset in valid

    @stateful.invariant()
    def a_lease_outlasts_its_holder(self) -> None:
        """A holder stops sending orders well before its lease expires."""
        now_s = self.clock.monotonic()
        for holder in self.holders.values():
            grant = holder.grant
            if grant is not None and holder.remaining_s(now_s) > 0:
                left = grant.expires_at - self.clock.now()
                assert left > datetime.timedelta(seconds=14)


TestLeaseMachine = pytest.mark.fuzz(LeaseMachine.TestCase)
