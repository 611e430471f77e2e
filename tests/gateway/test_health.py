"""Tests of passive health checks."""

from __future__ import annotations

from hibiscusstile.gateway import fleet, health
from tests import builders as base
from tests.builders import gateway as builders


def _server(server_id: str, service: str = "accounts") -> fleet.BackendServer:
    return builders.backend_server(server_id, service)


def test_an_unreachable_server_is_retried_with_growing_pauses() -> None:
    """Guards against requests that time out connecting to a dead server."""
    clock = base.ManualClock()
    table = health.HealthTable(clock)
    table.note_unreachable(_server("i-1"))
    assert not table.is_up("i-1")
    clock.advance(0.6)
    assert table.is_up("i-1")
    table.note_unreachable(_server("i-1"))
    clock.advance(0.6)
    assert not table.is_up("i-1")
    clock.advance(0.5)
    assert table.is_up("i-1")


def test_a_server_that_fails_more_than_the_others_is_suspended() -> None:
    """Guards against a failing server that passes its health check."""
    clock = base.ManualClock()
    table = health.HealthTable(clock)
    for number in range(40):
        table.note_response(_server("i-1"), failed=number % 2 == 0)
        table.note_response(_server("i-2"), failed=False)
        table.note_response(_server("i-3"), failed=False)
    table.note_response(_server("i-1"), failed=True)
    assert table.is_up("i-2") and table.is_up("i-3")
    states = [table.is_up("i-1")]
    for _ in range(10):
        table.note_response(_server("i-1"), failed=True)
        states.append(table.is_up("i-1"))
    assert False in states


def test_failures_common_to_all_servers_suspend_none() -> None:
    """Guards against suspending servers for an application's own errors."""
    table = health.HealthTable(base.ManualClock())
    for number in range(100):
        for server_id in ("i-1", "i-2", "i-3"):
            table.note_response(_server(server_id), failed=number % 7 == 0)
    assert all(table.is_up(each) for each in ("i-1", "i-2", "i-3"))


def test_an_unresponsive_server_is_suspended() -> None:
    """Guards against sending more requests to an unresponsive server."""
    table = health.HealthTable(base.ManualClock())
    table.note_no_response(_server("i-1"))
    assert table.is_up("i-1")
    table.note_no_response(_server("i-1"))
    assert not table.is_up("i-1")


def test_a_replaced_server_is_suspended_until_delisted() -> None:
    """Guards against requests to an address reused by another server."""
    clock = base.ManualClock()
    table = health.HealthTable(clock)
    table.note_replaced(_server("i-1"))
    clock.advance(5.0)
    assert not table.is_up("i-1")


def test_failure_rates_are_compared_within_a_service() -> None:
    """Guards against suspending all servers of one application.

    Compared with engines, which never fail, each application server was an
    outlier after three errors in a row.
    """
    table = health.HealthTable(base.ManualClock())
    for _ in range(50):
        for number in range(9):
            table.note_response(_server(f"e-{number}", "engines"), failed=False)
    for _ in range(12):
        for server_id in ("i-1", "i-2", "i-3"):
            table.note_response(_server(server_id), failed=True)
    assert all(table.is_up(each) for each in ("i-2", "i-3"))
