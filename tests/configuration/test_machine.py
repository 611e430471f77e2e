"""Stateful test of the configuration against an oracle."""

from __future__ import annotations

import datetime
import json
from typing import Any

import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import freshness, snapshot_stream
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.ctl import appending
from tests import builders
from tests.configuration import oracle

_RETENTION = datetime.timedelta(days=2)
_OUTAGE = datetime.timedelta(hours=1)
_STREAM = follower_lib.CONFIG_STREAM
_SCHEMA_VERSIONS = (1, 2, 2)
# Keeps runs of invalid bodies shorter than the history that a process retains
# for an unknown schema.
_MAX_TRAILING_INVALID_BODIES = 3
_PROCESSES = st.integers(0, len(_SCHEMA_VERSIONS) - 1)
_NAMES = st.sampled_from(["growers", "keepers"])
_INVALID_PAYLOADS = (
    b"\x00",
    b"{}",
    b"[1]",
    b'{"kind":"workspace"}',
    b"\xff" * 300_000,
)


class _Process:
    """The configuration classes of one process, with a fake log and clock."""

    def __init__(
        self, number: int, log: builders.FakeLog, clock: builders.ManualClock
    ) -> None:
        self.paused = False
        self.last_position = (-1, 0)
        self.schema_versions = _SCHEMA_VERSIONS[number]
        self.store = builders.config_store(
            schema_versions=self.schema_versions, author=f"process-{number}"
        )
        self.fresh = freshness.FreshnessTracker(
            clock, lambda: self.store.revision
        )
        self.follower = follower_lib.LogFollower(
            log, self.store, clock, self.fresh
        )
        self.snapshot_writer = snapshot_stream.SnapshotWriter(
            log, self.store, clock, _RETENTION
        )


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Operators, processes of two versions, and a log with retention."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = builders.ManualClock()
        self.log = builders.FakeLog(self.clock)
        self.oracle = oracle.ConfigurationOracle()
        self.processes = [self._start(n) for n in range(len(_SCHEMA_VERSIONS))]
        self.digests: dict[int, str] = {}
        self.log_lengths = [(self.clock.monotonic(), 0)]
        self.down_since: float | None = None

    @stateful.rule(
        changes=st.lists(
            st.tuples(
                _NAMES,
                st.integers(1, 2),
                st.one_of(st.just(-1), st.integers(1, 50)),
                st.integers(1, 3),
                st.sampled_from(["nothing", "current", "old"]),
            ),
            min_size=1,
            max_size=6,
        )
    )
    def append(self, changes: list[tuple[str, int, int, int, str]]) -> None:
        """Operators who read the same state append one after the other."""
        for name, version, weight, writers, expects in changes:
            record = self._record(name, version, weight, expects)
            for _ in range(writers):
                self._append_payload(json.dumps(record).encode(), record)

    @stateful.rule(payload=st.sampled_from(_INVALID_PAYLOADS))
    def append_junk(self, payload: bytes) -> None:
        """An invalid payload is appended."""
        self._append_payload(payload, None)

    @stateful.precondition(lambda self: not self.log.down)
    @stateful.rule(
        name=_NAMES,
        weight=st.integers(1, 50),
        lost=st.booleans(),
        dropped=st.booleans(),
        expects=st.sampled_from(["current", "old"]),
    )
    def append_by_command(
        self, name: str, weight: int, lost: bool, dropped: bool, expects: str
    ) -> None:
        """An operator runs the append command; its response may be lost."""
        store = builders.config_store()
        follower = follower_lib.LogFollower(self.log, store, self.clock)
        assert builders.run_now(follower.catch_up()).name == "CAUGHT_UP"
        record = appending.add_author_nonce(
            self._record(name, 1, weight, expects), "ana"
        )
        self.log.lose_answers = lost
        self.log.drop_appends = dropped
        result = builders.run_now(
            appending.append_record(self.log, store, record, self.clock)
        )
        self.log.lose_answers = False
        if lost and dropped:
            assert result.outcome is appending.Outcome.UNKNOWN
            return
        self._record_entry(record)
        end = len(self.oracle.entries)
        last = [offset for offset, _ in self.oracle.accepted(end)][-1:]
        accepted = last == [end - 1]
        assert result.offset == end - 1
        assert accepted == (result.outcome is appending.Outcome.ACCEPTED)

    @stateful.rule(number=_PROCESSES)
    def follow(self, number: int) -> None:
        """A process reads to the end of the log."""
        process = self.processes[number]
        if process.paused:
            return
        outcome = builders.run_now(process.follower.catch_up())
        if self.log.down:
            assert outcome is follower_lib.ReadOutcome.UNAVAILABLE
        else:
            assert outcome is follower_lib.ReadOutcome.CAUGHT_UP
            assert process.store.next_offset == len(self.oracle.entries)

    @stateful.rule(number=_PROCESSES)
    def restart(self, number: int) -> None:
        """A process restarts without state."""
        self.processes[number] = self._start(number)

    @stateful.rule(number=_PROCESSES)
    def pause(self, number: int) -> None:
        """A process is paused (SIGSTOP), but never all of them."""
        if sum(not each.paused for each in self.processes) > 1:
            self.processes[number].paused = True

    @stateful.rule(number=_PROCESSES)
    def wake(self, number: int) -> None:
        """A paused process resumes."""
        self.processes[number].paused = False

    @stateful.precondition(lambda self: not self.log.down)
    @stateful.rule(number=_PROCESSES, name=_NAMES, weight=st.integers(1, 50))
    def pause_during_read(self, number: int, name: str, weight: int) -> None:
        """A process pauses for ten minutes before it receives a response."""
        record = self._record(name, 1, weight, "nothing")

        def advance_ten_minutes() -> None:
            self._append_payload(json.dumps(record).encode(), record)
            self._advance(600)

        self.log.before_response = advance_ten_minutes
        process = self.processes[number]
        builders.run_now(process.follower.catch_up())
        # Only a second read, sent after the pause, may confirm.
        if process.fresh.is_fresh:
            assert process.store.next_offset == len(self.oracle.entries)

    @stateful.rule(giver=_PROCESSES, taker=_PROCESSES, delta=st.booleans())
    def transfer(self, giver: int, taker: int, delta: bool) -> None:
        """A process receives a peer's state, which may be older."""
        source = self.processes[giver].store
        process = self.processes[taker]
        since = process.store.revision if delta else -1
        newer = source.next_offset > process.store.next_offset
        result = process.store.adopt(source.snapshot(since), source.digest)
        assert isinstance(
            result, store_lib.Adopted if newer else store_lib.NotNewer
        )

    @stateful.rule(
        giver=_PROCESSES,
        taker=_PROCESSES,
        place=st.integers(0, 10_000),
        flip=st.integers(1, 255),
        cut=st.booleans(),
    )
    def transfer_damaged(
        self, giver: int, taker: int, place: int, flip: int, cut: bool
    ) -> None:
        """A peer's state is corrupted in transit."""
        state = bytearray(self.processes[giver].store.snapshot())
        place %= len(state)
        state[place] ^= flip
        result = self.processes[taker].store.adopt(
            bytes(state[:place]) if cut else bytes(state)
        )
        assert isinstance(result, store_lib.AdoptionRefused)

    @stateful.rule(
        taker=_PROCESSES,
        name=_NAMES,
        count=st.integers(1, 4),
        end=st.integers(0, 40),
    )
    def transfer_lie(self, taker: int, name: str, count: int, end: int) -> None:
        """A peer sends a valid snapshot of another log."""
        process = self.processes[taker]
        body = builders.workspace_body("other-key", weight=77)
        other = builders.config_store(
            *[builders.record("workspace", name, **body)] * count,
            *[b""] * end,
        )
        # Beyond its own state, a process cannot detect wrong records.
        if count <= process.store.next_offset and process.store.revision >= 0:
            result = process.store.adopt(other.snapshot())
            assert not isinstance(result, store_lib.Adopted)

    @stateful.rule(number=_PROCESSES, times=st.integers(1, 3))
    def write_snapshots(self, number: int, times: int) -> None:
        """A process writes redundant snapshots."""
        process = self.processes[number]
        for _ in range(times):
            if not process.paused and process.store.next_offset:
                builders.run_now(process.snapshot_writer.write())

    @stateful.rule(payload=st.sampled_from(_INVALID_PAYLOADS))
    def damage_snapshot_stream(self, payload: bytes) -> None:
        """An invalid payload is appended to the snapshot stream."""
        self.log.put(snapshot_stream.SNAPSHOT_STREAM, payload)

    @stateful.rule()
    def begin_outage(self) -> None:
        """The log becomes unavailable, for an hour at most."""
        if self.down_since is None:
            self.log.down = True
            self.down_since = self.clock.monotonic()

    @stateful.rule()
    def end_outage(self) -> None:
        """The log becomes available."""
        self.log.down = False
        self.down_since = None

    @stateful.rule(seconds=st.integers(1, 60))
    def wait(self, seconds: int) -> None:
        """Time passes without activity."""
        self._advance(seconds)

    @stateful.rule(share=st.floats(0.01, 3.0))
    def live_on(self, share: float) -> None:
        """Up to three retention periods pass in normal operation."""
        deadline_s = self.clock.monotonic() + _RETENTION.total_seconds() * share
        turn = 0
        while self.clock.monotonic() < deadline_s:
            self._advance(_RETENTION.total_seconds() / 10)
            for number in range(len(self.processes)):
                self.follow(number)
            running = [each for each in self.processes if not each.paused]
            writer = running[turn % len(running)].snapshot_writer
            builders.run_now(writer.write_if_due())
            turn += 1
            self.log.drop_older_than(_RETENTION)

    @stateful.invariant()
    def states_are_the_oracles(self) -> None:
        """Every process has the oracle's state at its offset."""
        for process in self.processes:
            store = process.store
            end = store.next_offset
            expected = self.oracle.state(end)
            actual = {
                r.key: (r.offset, dict(r.body)) for r in store.state.records
            }
            assert actual == expected
            revision = max(
                (offset for offset, _ in actual.values()), default=-1
            )
            assert store.revision == store.view.revision == revision
            assert self.digests.setdefault(end, store.digest) == store.digest
            weights = {n: w.weight for n, w in store.view.workspaces.items()}
            assert weights == self.oracle.weights(end, process.schema_versions)

    @stateful.invariant()
    def nothing_goes_back(self) -> None:
        """Revision and offset of a process never decrease until a restart."""
        for process in self.processes:
            position = (process.store.revision, process.store.next_offset)
            assert position[0] >= process.last_position[0]
            assert position[1] >= process.last_position[1]
            process.last_position = position

    @stateful.invariant()
    def a_fresh_process_has_what_was_there_three_seconds_ago(self) -> None:
        """A fresh process has applied all entries older than the limit."""
        limit_s = (
            self.clock.monotonic()
            - freshness.MAX_CONFIRMATION_AGE.total_seconds()
        )
        required_offset = max(
            (length for time_s, length in self.log_lengths if time_s < limit_s),
            default=0,
        )
        for process in self.processes:
            if process.fresh.is_fresh:
                assert process.store.next_offset >= required_offset

    def teardown(self) -> None:
        """All versions accept the same records; a new process catches up."""
        payloads = self.log.payloads(_STREAM)
        end = len(payloads)
        expected = {offset for offset, _ in self.oracle.accepted(end)}
        for versions in set(_SCHEMA_VERSIONS):
            results = builders.config_store(schema_versions=versions).apply(
                tuple(
                    builders.config_entry(n, p) for n, p in enumerate(payloads)
                )
            )
            accepted = {
                result.offset
                for result in results
                if isinstance(result, state_lib.Accepted)
            }
            assert accepted == expected
        self.log.down = False
        new_process = self._start(1)
        self.processes.append(new_process)
        outcome = builders.run_now(new_process.follower.catch_up())
        assert outcome is follower_lib.ReadOutcome.CAUGHT_UP
        self.states_are_the_oracles()

    def _start(self, number: int) -> _Process:
        return _Process(number, self.log, self.clock)

    def _record(
        self, name: str, version: int, weight: int, expects: str
    ) -> dict[str, Any]:
        invalid_count = self.oracle.trailing_invalid_bodies(name, version)
        if weight < 0 and invalid_count >= _MAX_TRAILING_INVALID_BODIES:
            weight = 1
        body: dict[str, Any] = {"callers": {}, "weight": weight}
        if version == 1:
            body = {"keys": [], "weight": weight}
        record: dict[str, Any] = {
            "kind": "workspace",
            "name": name,
            "schema_version": version,
            "body": body,
        }
        state = self.oracle.state(len(self.oracle.entries))
        offsets = [o for key, (o, _) in state.items() if key[1] == name]
        if expects == "current":
            record["expect_revision"] = max(offsets, default=-1)
        if expects == "old":
            record["expect_revision"] = max(offsets, default=0) - 1
        return record

    def _append_payload(
        self, payload: bytes, record: dict[str, Any] | None
    ) -> None:
        if not self.log.down:
            self.log.put(_STREAM, payload)
            self._record_entry(record)

    def _record_entry(self, record: dict[str, Any] | None) -> None:
        self.oracle.entries.append(record)
        self.log_lengths.append(
            (self.clock.monotonic(), len(self.oracle.entries))
        )

    def _advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        if self.down_since is not None:
            outage_s = self.clock.monotonic() - self.down_since
            if outage_s >= _OUTAGE.total_seconds():
                self.end_outage()


@pytest.mark.fuzz
class TestConfiguration(ConfigurationMachine.TestCase):  # type: ignore[misc]
    """Guards invariant 8: the same state everywhere, never reverting."""
