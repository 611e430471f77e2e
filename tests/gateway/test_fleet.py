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
