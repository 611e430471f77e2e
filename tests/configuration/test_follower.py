"""Tests of the log follower and of recovery from snapshots."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import json
import random

import pytest

from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import (
    freshness,
    snapshot,
    snapshot_stream,
)
from hibiscusstile.configuration import store as store_lib
from tests import builders

_RETENTION = datetime.timedelta(days=2)
_STREAM = follower_lib.CONFIG_STREAM


@dataclasses.dataclass
class _Process:
    clock: builders.ManualClock
    log: builders.FakeLog
    store: store_lib.ConfigurationStore

    def catch_up(self) -> follower_lib.ReadOutcome:
        follower = follower_lib.LogFollower(self.log, self.store, self.clock)
        return builders.run_now(follower.catch_up())

    @property
    def snapshot_writer(self) -> snapshot_stream.SnapshotWriter:
        return snapshot_stream.SnapshotWriter(
            self.log, self.store, self.clock, _RETENTION
        )


@pytest.fixture
def process() -> _Process:
    """A process that has applied a log with 30 records."""
    clock = builders.ManualClock()
    log = builders.FakeLog(clock)
    for number in range(30):
        body = builders.workspace_body(f"key-{number}", models=["m" * 40_000])
        log.put(
            _STREAM,
            json.dumps(
                builders.record("workspace", f"w{number}", **body)
            ).encode(),
        )
    result = _Process(clock, log, builders.config_store(author="one"))
    assert result.catch_up() is follower_lib.ReadOutcome.CAUGHT_UP
    return result


def _new_process(process: _Process) -> _Process:
    return _Process(process.clock, process.log, builders.config_store())


def _expire_records(process: _Process) -> None:
    process.clock.advance(_RETENTION.total_seconds())
    process.log.drop_older_than(_RETENTION / 2)


def test_a_retention_gap_requires_a_snapshot(process: _Process) -> None:
    """Guards against a state that lacks records expired from the log."""
    _expire_records(process)
    new_process = _new_process(process)
    assert new_process.catch_up() is follower_lib.ReadOutcome.GAP
    assert new_process.store.revision == -1


def test_a_new_process_recovers_from_a_snapshot(process: _Process) -> None:
    """Guards invariant 8 after records have expired from the log."""
    process.clock.advance(_RETENTION.total_seconds())
    assert builders.run_now(process.snapshot_writer.write_if_due())
    process.log.put(_STREAM, b"not a record")
    process.log.drop_older_than(_RETENTION / 2)
    new_process = _new_process(process)
    assert new_process.catch_up() is follower_lib.ReadOutcome.CAUGHT_UP
    assert new_process.store.digest == process.store.digest
    assert new_process.store.next_offset == 31
    assert len(process.log.payloads(snapshot_stream.SNAPSHOT_STREAM)) >= 1


def test_interleaved_snapshot_parts_are_reassembled(process: _Process) -> None:
    """Guards against concurrent writers corrupting their snapshots."""
    stream = snapshot_stream.SNAPSHOT_STREAM
    for name in ("a", "b"):
        body = {"text": random.Random(name).randbytes(120_000).hex()}
        process.log.put(
            _STREAM, json.dumps(builders.record("rank", name, **body)).encode()
        )
    process.catch_up()
    for _ in range(2):
        assert builders.run_now(process.snapshot_writer.write())
    parts = process.log.payloads(stream)
    assert len(parts) >= 4
    interleaved = builders.FakeLog(process.clock)
    half = len(parts) // 2
    for pair in zip(parts[:half], parts[half:], strict=True):
        for payload in pair:
            interleaved.put(stream, payload)
    found = builders.run_now(snapshot_stream.read_snapshots(interleaved))
    assert found is not None and len(found) == 2


def test_no_snapshot_is_written_while_another_is_recent(
    process: _Process,
) -> None:
    """Guards against one snapshot from each of 1,560 processes."""
    assert builders.run_now(process.snapshot_writer.write_if_due())
    second = dataclasses.replace(process)
    assert not builders.run_now(second.snapshot_writer.write_if_due())
    process.clock.advance(_RETENTION.total_seconds() / 2)
    assert builders.run_now(second.snapshot_writer.write_if_due())


def test_a_forged_snapshot_is_corrected_and_not_selected(
    process: _Process,
) -> None:
    """Guards against a snapshot with valid digests and wrong records."""
    assert builders.run_now(process.snapshot_writer.write())
    urgent = builders.record("rank", "urgent", level=0)
    other = builders.config_store(urgent, author="liar").state
    forged_snapshot = dataclasses.replace(
        snapshot.take(other, "liar"), next_offset=process.store.next_offset
    )
    header = b'{"snapshot_id":"x","part":0,"parts":1}\n'
    stream = snapshot_stream.SNAPSHOT_STREAM
    for payload in (
        header + snapshot.encode(forged_snapshot),
        header + b"?",
        b"\x00",
    ):
        process.log.put(stream, payload)
    second = _new_process(process)
    second.store = builders.config_store(author="two")
    second.catch_up()
    assert builders.run_now(second.snapshot_writer.write_if_due())
    found = builders.run_now(snapshot_stream.read_snapshots(process.log))
    assert found is not None and len(found) == 3
    best = snapshot_stream.select_most_confirmed(found)
    assert best.snapshot.digest == process.store.digest


def test_a_log_outage_does_not_change_the_state(
    process: _Process,
) -> None:
    """Guards the state in force during an outage of an hour."""
    previous_digest = process.store.digest
    process.log.down = True
    process.clock.advance(3600)
    assert process.catch_up() is follower_lib.ReadOutcome.UNAVAILABLE
    assert not builders.run_now(process.snapshot_writer.write_if_due())
    assert process.store.digest == previous_digest
    process.log.down = False
    process.log.put(
        _STREAM, json.dumps(builders.record("rank", "a", level=1)).encode()
    )
    assert process.catch_up() is follower_lib.ReadOutcome.CAUGHT_UP
    assert process.store.revision == 30


async def test_a_read_without_a_response_times_out(
    process: _Process, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the limit of 6 s when a connection is lost silently."""
    poll = follower_lib._POLL_WAIT + follower_lib._ANSWER_MARGIN
    assert poll.total_seconds() + follower_lib._RETRY_DELAY_S[1] < 6
    short = datetime.timedelta(milliseconds=10)
    monkeypatch.setattr(follower_lib, "_POLL_WAIT", short)
    monkeypatch.setattr(follower_lib, "_ANSWER_MARGIN", short)
    process.log.unanswered_reads = 1
    process.log.put(
        _STREAM, json.dumps(builders.record("rank", "a", level=1)).encode()
    )
    follower = follower_lib.LogFollower(
        process.log, process.store, builders.YieldingClock()
    )
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await follower.run()
    assert process.store.revision == 30


def test_a_log_that_lost_entries_does_not_revert_the_state(
    process: _Process,
) -> None:
    """Guards the state when the log service was replaced by an empty one."""
    process.log = builders.FakeLog(process.clock)
    assert process.catch_up() is follower_lib.ReadOutcome.UNAVAILABLE
    assert process.store.revision == 29


def test_reading_to_the_end_confirms_the_revision(process: _Process) -> None:
    """Guards the confirmation of the freshness tracker by log reads."""
    tracker = freshness.FreshnessTracker(
        process.clock, lambda: process.store.revision
    )
    follower = follower_lib.LogFollower(
        process.log, process.store, process.clock, tracker
    )
    assert not tracker.is_fresh
    builders.run_now(follower.catch_up())
    assert tracker.is_fresh
    process.clock.advance(600)
    process.log.down = True
    builders.run_now(follower.catch_up())
    assert not tracker.is_fresh
