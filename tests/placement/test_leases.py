"""Tests of load leases."""

from __future__ import annotations

from hibiscusstile import platform
from hibiscusstile.placement import entries, leases
from tests import builders

_STREAM = entries.lease_stream("north", "default")


def _table(log: builders.UnreliableLog) -> leases.LeaseTable:
    table = leases.LeaseTable()
    page = log.read_now(_STREAM, 0)
    assert isinstance(page, platform.LogEntries)
    table.skip_to(page.earliest)
    for entry in page.entries:
        table.apply(entry)
    return table


def _claim(log: builders.UnreliableLog, holder: str, claim_id: str) -> None:
    claim = entries.Claim(holder=holder, claim_id=claim_id, lease_s=60)
    log.append_now(_STREAM, entries.encode(claim))


def test_first_two_claims_in_log_order_win() -> None:
    """A third concurrent load would slow down all of them."""
    log = builders.UnreliableLog(builders.ManualClock())
    for number in range(3):
        _claim(log, f"s{number}", f"c{number}")
    table = _table(log)
    assert [grant.offset for grant in table.active] == [0, 1]
    assert table.outcome("c2") is leases.ClaimOutcome.DENIED


def test_a_claim_repeated_in_the_log_gets_no_second_lease() -> None:
    """An append that is applied twice must not renew a lease."""
    clock = builders.ManualClock()
    log = builders.UnreliableLog(clock)
    _claim(log, "s1", "c1")
    clock.advance(61)
    _claim(log, "s1", "c1")
    assert _table(log).active == ()


def test_an_unknown_entry_is_ignored() -> None:
    """Entries of a newer version must not stop an older reader."""
    log = builders.UnreliableLog(builders.ManualClock())
    log.append_now(_STREAM, b'{"op": "resize", "holder": "s1"}')
    log.append_now(_STREAM, b"\xff")
    _claim(log, "s1", "c1")
    assert [grant.offset for grant in _table(log).active] == [2]


def test_ended_claim_that_appears_late_is_released() -> None:
    """Otherwise it would block other claims until the lease expires."""
    clock = builders.ManualClock()
    log = builders.UnreliableLog(clock)
    table = _table(log)
    holder = leases.LeaseHolder(table, "s1")
    log.append_outcomes.append("late")
    claim = holder.start_claim("c1", clock.monotonic())
    log.append_now(_STREAM, entries.encode(claim))
    holder.end_claim()
    assert holder.pending_releases() == []
    log.apply_late_appends()
    for entry in log.streams[_STREAM]:
        table.apply(entry)
    assert holder.fencing_number(clock.monotonic()) is None
    assert [each.claim_id for each in holder.pending_releases()] == ["c1"]


def test_reader_with_missing_entries_grants_nothing_before_a_pause() -> None:
    """A claim among the dropped entries may still have an active lease."""
    clock = builders.ManualClock()
    log = builders.UnreliableLog(clock)
    for number in range(3):
        _claim(log, f"s{number}", f"c{number}")
    log.keep_newest(_STREAM, 1)
    table = _table(log)
    assert table.outcome("c2") is leases.ClaimOutcome.DENIED
    clock.advance(61)
    _claim(log, "s4", "c4")
    table.apply(log.streams[_STREAM][-1])
    assert table.outcome("c4") is leases.ClaimOutcome.GRANTED
