"""Bounds the number of callers' connections, and decides which are closed."""

from __future__ import annotations

import collections
from collections.abc import Collection, Sequence
from typing import Protocol, TypeVar

import logbook

from hibiscusstile import logs, metrics

__all__ = ["Connection", "ConnectionLimit", "choose_waiting"]

_log = logbook.Logger("memory")

# Closing several at once bounds the work for each new connection of a crowd.
_CLOSED_SHARE = 1 / 16


class Connection(Protocol):
    """A caller's connection."""

    @property
    def remote(self) -> str:
        """Address of the caller."""

    @property
    def waiting_s(self) -> float | None:
        """Time for which it has had no complete request; None if it has one."""

    def force_close(self) -> None:
        """Closes the connection."""


_C = TypeVar("_C", bound=Connection)


def choose_waiting(connections: Collection[_C], count: int) -> Sequence[_C]:
    """Returns the connections to close for new ones, at most `count`.

    Only connections without a complete request are closed: first those of the
    address with the most connections, and the longest waiting of these.
    """
    by_remote = collections.Counter(each.remote for each in connections)
    waiting = [
        (-by_remote[each.remote], -waiting_s, index, each)
        for index, each in enumerate(connections)
        if (waiting_s := each.waiting_s) is not None
    ]
    return [each for *_, each in sorted(waiting)[:count]]


class ConnectionLimit:
    """The open connections of callers.

    Args:
        max_connections: Limit on their number.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._open: set[Connection] = set()
        self._closed = 0

    def __len__(self) -> int:
        return len(self._open)

    def add(self, connection: Connection) -> bool:
        """Adds a new connection, for which others may be closed.

        Returns:
            False if the new connection must be closed.
        """
        if len(self._open) >= self._max_connections:
            count = max(1, int(self._max_connections * _CLOSED_SHARE))
            chosen = choose_waiting(self._open, count)
            for each in chosen or (connection,):
                self._open.discard(each)
                each.force_close()
            self._note_closed(len(chosen) or 1)
            if not chosen:
                return False
        self._open.add(connection)
        return True

    def remove(self, connection: Connection) -> None:
        """Records that a connection was closed."""
        self._open.discard(connection)

    def status(self) -> dict[str, object]:
        """Returns the number of connections for the status page."""
        return {
            "open": len(self._open),
            "limit": self._max_connections,
            "closed": self._closed,
        }

    def _note_closed(self, count: int) -> None:
        self._closed += count
        metrics.count_memory_decision("closed", "connections", count)
        logs.event(
            _log, "connections_closed", count=count, open=len(self._open)
        )
