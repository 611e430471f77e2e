"""Tests of the table of listed servers."""

from __future__ import annotations

import pytest

from hibiscusstile.gateway import fleet
from tests import builders as base
from tests.builders import gateway as builders


def test_a_leaving_server_gets_no_new_requests() -> None:
    """Guards against new requests to a server that is shutting down."""
    servers = fleet.Fleet(base.ManualClock())
    servers.put(builders.backend_server("i-1"))
    servers.put(builders.backend_server("i-2"))
    servers.put(builders.backend_server("i-1", leaving=True))
    usable_servers = servers.usable_servers(builders.ENGINE_SERVICE)
    assert [server.server_id for server in usable_servers] == ["i-2"]


def test_entries_that_expire_in_an_outage_are_kept_for_a_while() -> None:
    """Guards against a store outage that removes live servers."""
    clock = base.ManualClock()
    servers = fleet.Fleet(clock)
    servers.put(builders.backend_server("i-1"))
    servers.put(builders.backend_server("i-2"))
    servers.note_store_lost()
    servers.note_store_back(clock.monotonic())
    servers.replace([builders.backend_server("i-2")])
    assert len(servers.usable_servers(builders.ENGINE_SERVICE)) == 2
    clock.advance(2.3)
    usable_servers = servers.usable_servers(builders.ENGINE_SERVICE)
    assert [server.server_id for server in usable_servers] == ["i-2"]


def test_an_entry_that_comes_back_after_an_outage_stays() -> None:
    """Guards against dropping a live server after the store recovers."""
    clock = base.ManualClock()
    servers = fleet.Fleet(clock)
    servers.put(builders.backend_server("i-1"))
    servers.note_store_lost()
    servers.note_store_back(clock.monotonic())
    servers.replace([])
    clock.advance(1.0)
    servers.put(builders.backend_server("i-1"))
    clock.advance(5.0)
    assert len(servers.usable_servers(builders.ENGINE_SERVICE)) == 1


def test_the_time_to_notice_that_the_store_is_back_prolongs_no_grace() -> None:
    """Guards against a leaving server that is used after the stable window."""
    clock = base.ManualClock()
    servers = fleet.Fleet(clock)
    servers.put(builders.backend_server("i-1"))
    servers.note_store_lost()
    last_failed_s = clock.monotonic()
    clock.advance(2.5)
    servers.replace([])
    servers.note_store_back(last_failed_s)
    clock.advance(0.3)
    assert not servers.usable_servers(builders.ENGINE_SERVICE)


def test_a_second_outage_keeps_no_server_that_the_first_one_kept() -> None:
    """Guards against a gone server that each short outage keeps in use."""
    clock = base.ManualClock()
    servers = fleet.Fleet(clock)
    servers.put(builders.backend_server("i-1"))
    servers.note_store_lost()
    servers.replace([])
    servers.note_store_back(clock.monotonic())
    clock.advance(3.0)
    servers.note_store_lost()
    assert not servers.usable_servers(builders.ENGINE_SERVICE)


def test_a_removed_entry_is_dropped_at_once_without_an_outage() -> None:
    """Guards against requests to a server that has left."""
    servers = fleet.Fleet(base.ManualClock())
    servers.put(builders.backend_server("i-1"))
    servers.remove("i-1")
    assert not servers.usable_servers(builders.ENGINE_SERVICE)


def test_a_server_that_changes_its_service_is_listed_once() -> None:
    """Guards against requests for a service that the server has left."""
    servers = fleet.Fleet(base.ManualClock())
    servers.put(builders.backend_server("i-1"))
    servers.put(builders.backend_server("i-1", builders.PLAIN_SERVICE))
    assert not servers.usable_servers(builders.ENGINE_SERVICE)
    assert len(servers.usable_servers(builders.PLAIN_SERVICE)) == 1


@pytest.mark.parametrize(
    ("left_ms", "then_ms", "removed", "usable"),
    [
        (7, 7, False, False),
        (7, 7, True, False),
        (7, 8, False, True),
        (7, 0, False, False),
        (0, 0, False, False),
        (0, 8, False, False),
        (7, 0, True, True),
        (0, 0, True, True),
    ],
)
def test_an_older_entry_does_not_undo_that_a_server_leaves(
    left_ms: int, then_ms: int, removed: bool, usable: bool
) -> None:
    """Guards against requests to a leaving server whose older entry came."""
    servers = fleet.Fleet(base.ManualClock())
    servers.put(builders.backend_server(started_ms=left_ms))
    servers.replace([builders.backend_server(leaving=True, started_ms=left_ms)])
    if removed:
        servers.remove("i-1")
    servers.replace([builders.backend_server(started_ms=then_ms)])
    assert bool(servers.usable_servers(builders.ENGINE_SERVICE)) == usable
    servers.put(builders.backend_server("i-2", started_ms=left_ms))
    usable_servers = servers.usable_servers(builders.ENGINE_SERVICE)
    assert "i-2" in [server.server_id for server in usable_servers]


@pytest.mark.parametrize(
    ("then_ms", "sequence", "usable"),
    [
        (7, 4, False),
        (7, 5, False),
        (7, -1, False),
        (7, 6, True),
        (8, 0, True),
    ],
)
def test_an_older_entry_does_not_list_a_gone_server_again(
    then_ms: int, sequence: int, usable: bool
) -> None:
    """Guards against requests to a gone server that a copy lists (DRAIN)."""
    clock = base.ManualClock()
    servers = fleet.Fleet(clock)
    servers.put(builders.backend_server(started_ms=7, sequence=5))
    # The last entry that was read is an older copy.
    servers.put(builders.backend_server(started_ms=7, sequence=3))
    servers.remove("i-1")
    servers.note_store_lost()
    entry = builders.backend_server(started_ms=then_ms, sequence=sequence)
    assert servers.replace([entry]) == ([entry] if usable else [])
    servers.note_store_back(clock.monotonic())
    assert bool(servers.usable_servers(builders.ENGINE_SERVICE)) == usable


@pytest.mark.parametrize(("sequence", "usable"), [(4, False), (5, True)])
def test_a_server_that_an_outage_took_away_may_repeat_its_last_entry(
    sequence: int, usable: bool
) -> None:
    """Guards against a live server that stays unused since it was late."""
    clock = base.ManualClock()
    servers = fleet.Fleet(clock)
    servers.put(builders.backend_server(started_ms=7, sequence=5))
    servers.note_store_lost()
    servers.replace([])
    servers.note_store_back(clock.monotonic())
    clock.advance(3.0)
    assert not servers.usable_servers(builders.ENGINE_SERVICE)
    servers.put(builders.backend_server(started_ms=7, sequence=sequence))
    assert bool(servers.usable_servers(builders.ENGINE_SERVICE)) == usable


def test_a_server_that_came_back_is_gone_again_when_it_is_removed() -> None:
    """Guards against a second removal that a copy undoes (DRAIN)."""
    servers = fleet.Fleet(base.ManualClock())
    for sequence in (5, 9):
        servers.put(builders.backend_server(started_ms=7, sequence=sequence))
        assert servers.usable_servers(builders.ENGINE_SERVICE)
        servers.remove("i-1")
    servers.put(builders.backend_server(started_ms=7, sequence=9))
    assert not servers.usable_servers(builders.ENGINE_SERVICE)


def test_an_older_process_does_not_replace_its_successor() -> None:
    """Guards against a copy that lists the process before a restart (DRAIN)."""
    servers = fleet.Fleet(base.ManualClock())
    older = builders.backend_server(started_ms=7, sequence=50)
    newer = builders.backend_server(started_ms=8, sequence=2)
    servers.put(older)
    servers.put(newer)
    servers.replace([older])
    assert servers.usable_servers(builders.ENGINE_SERVICE) == [newer]


def test_an_entry_within_the_grace_period_needs_no_higher_sequence() -> None:
    """Guards against dropping a live server whose last entry comes again."""
    clock = base.ManualClock()
    servers = fleet.Fleet(clock)
    entry = builders.backend_server(started_ms=7, sequence=5)
    servers.put(entry)
    servers.note_store_lost()
    servers.remove("i-1")
    servers.note_store_back(clock.monotonic())
    clock.advance(1.9)
    servers.put(entry)
    clock.advance(5.0)
    assert servers.usable_servers(builders.ENGINE_SERVICE) == [entry]


def test_gone_servers_that_are_remembered_are_bounded() -> None:
    """Guards against memory that grows with each server that has ended."""
    servers = fleet.Fleet(base.ManualClock())
    for number in range(4097):
        server_id = f"i-{number}"
        servers.put(
            builders.backend_server(server_id, started_ms=7, sequence=5)
        )
        servers.remove(server_id)
    for server_id in ("i-0", "i-4096"):
        servers.put(
            builders.backend_server(server_id, started_ms=7, sequence=5)
        )
    usable = servers.usable_servers(builders.ENGINE_SERVICE)
    assert [server.server_id for server in usable] == ["i-0"]
