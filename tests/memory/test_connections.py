"""Tests of the limit on connections."""

from __future__ import annotations

import dataclasses

from hibiscusstile.memory import connections


@dataclasses.dataclass(eq=False)
class _Connection:
    remote: str
    waiting_s: float | None
    closed: bool = False

    def force_close(self) -> None:
        self.closed = True


def test_idle_connections_give_way() -> None:
    """Guards against kept connections that shut all other callers out."""
    limit = connections.ConnectionLimit(3)
    busy = _Connection("a", None)
    idle = [_Connection("b", 1.0), _Connection("b", 2.0)]
    assert all(limit.add(each) for each in (busy, *idle))
    assert limit.add(_Connection("c", 0.0))
    assert [busy.closed, idle[0].closed, idle[1].closed] == [False, False, True]


def test_a_new_connection_is_closed_if_all_are_busy() -> None:
    """Guards against connections with requests that are closed for new ones."""
    limit = connections.ConnectionLimit(1)
    busy = _Connection("a", None)
    new = _Connection("b", None)
    assert limit.add(busy)
    assert not limit.add(new)
    assert new.closed
    limit.remove(busy)
    assert limit.add(_Connection("b", None))


def test_the_address_with_most_connections_goes_first() -> None:
    """Guards against one address that displaces the callers of others."""
    single = _Connection("a", 9.0)
    crowd = [_Connection("b", 1.0), _Connection("b", 2.0)]
    assert connections.choose_waiting([single, *crowd], 1) == [crowd[1]]
