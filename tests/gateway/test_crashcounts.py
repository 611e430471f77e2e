"""Tests of counting crashes of several servers at one moment."""

from __future__ import annotations

from hibiscusstile import outcome
from hibiscusstile.gateway import crashfacts, crashingparts, notices
from hibiscusstile.peers import codec, messages
from tests import builders as base
from tests.builders import gateway as builders

_SERVERS = 6


def _observing_table(clock: base.ManualClock) -> crashingparts.CrashingParts:
    """Returns a table that has known completed requests for a while."""
    table = crashingparts.CrashingParts(clock, jitter=1.0)
    table.charges.note_completed(["m/popular"])
    clock.advance(3.0)
    return table


def _crash_at_once(
    clock: base.ManualClock,
    table: crashingparts.CrashingParts,
    *keys: str,
    servers: int = _SERVERS,
) -> None:
    """Crashes servers that had begun requests alike in these keys only."""
    for number in range(servers):
        clock.advance(0.01)
        own = crashfacts.request_key(f"{clock.monotonic()}")
        table.charges.note_crash(
            f"i-{clock.monotonic()}", [*keys, f"m/document{number}", own]
        )


def _blocked(table: crashingparts.CrashingParts) -> set[str]:
    return {key for block in table.blocks for key in block.keys}


def test_a_batch_with_a_crashing_part_blocks_it() -> None:
    """Guards against batches whose many crashes count as one."""
    clock = base.ManualClock()
    table = _observing_table(clock)
    _crash_at_once(clock, table, "m/popular", "m/bad")
    clock.advance(0.2)
    assert _blocked(table) == {"m/bad"}
    # The crashes of one moment do not lengthen the block.
    clock.advance(59.0)
    assert _blocked(table) == {"m/bad"}
    clock.advance(2.0)
    assert _blocked(table) == set()


def test_copies_of_a_request_at_one_moment_block_it() -> None:
    """Guards against copies at several gateways that crash servers again."""
    clock = base.ManualClock()
    table = _observing_table(clock)
    copies = crashfacts.request_key("copied")
    for number in range(3):
        table.charges.note_crash(f"i-{number}", ["m/popular", copies])
    clock.advance(0.2)
    assert _blocked(table) == {copies}


def test_a_new_first_part_of_a_batch_is_not_blocked_alone() -> None:
    """Guards against refusing sound requests that share a batch's parts."""
    clock = base.ManualClock()
    table = _observing_table(clock)
    _crash_at_once(clock, table, "m/first", "m/bad")
    clock.advance(0.2)
    refused = [
        table.refusal(keys, outcome.Verdict.NOT_RUN) is not None
        for keys in (["m/first", "m/bad"], ["m/first", "m/good"])
    ]
    assert refused == [True, False]


def test_servers_that_fail_at_once_block_no_part_in_common_use() -> None:
    """Guards against blaming requests for a failed rack, zone or fleet."""
    clock = base.ManualClock()
    table = _observing_table(clock)
    _crash_at_once(clock, table, "m/popular")
    clock.advance(0.2)
    assert _blocked(table) == set()


def test_crashes_at_one_moment_without_a_part_speak_for_another_cause() -> None:
    """Guards against blocking a new part that some failed servers had begun."""
    clock = base.ManualClock()
    table = _observing_table(clock)
    _crash_at_once(clock, table, "m/new", servers=4)
    _crash_at_once(clock, table, "m/other", servers=2)
    clock.advance(0.2)
    assert _blocked(table) == set()


def test_a_new_part_that_completes_after_a_failure_is_not_blocked() -> None:
    """Guards against a block that outlasts the first sound request."""
    clock = base.ManualClock()
    table = _observing_table(clock)
    _crash_at_once(clock, table, "m/new")
    clock.advance(0.2)
    table.charges.note_completed(["m/new"])
    assert _blocked(table) == set()


def test_requests_on_other_servers_show_that_not_all_servers_failed() -> None:
    """Guards against a new gateway that blames requests for a lost fleet."""
    for after_s, blocked in ((0.1, set()), (0.5, {"m/bad"}), (2.5, set())):
        clock = base.ManualClock()
        table = crashingparts.CrashingParts(clock, jitter=1.0)
        _crash_at_once(clock, table, "m/bad")
        clock.advance(1e-6 + after_s)
        table.charges.note_completed(["m/elsewhere"])
        clock.advance(0.2)
        assert _blocked(table) == blocked


def test_a_gateway_that_starts_after_a_batch_blocks_its_part() -> None:
    """Guards against gateways that send a batch on since they started late."""
    clock = base.ManualClock()
    states = [builders.gateway_state(clock) for _ in range(2)]
    handlers = [notices.NoticeHandler(state) for state in states]
    _crash_at_once(clock, states[0].crashing_parts, "m/bad")
    clock.advance(0.5)
    states[0].crashing_parts.charges.note_completed(["m/elsewhere"])
    clock.advance(5.0)
    envelope = codec.decode(codec.encode(handlers[0].snapshot(), 1))
    assert isinstance(envelope.message, messages.GatewayNotice)
    handlers[1].apply("peer", envelope.message)
    for state in states:
        assert _blocked(state.crashing_parts) == {"m/bad"}
