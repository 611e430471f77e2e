"""What backend servers say of themselves in their responses."""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs

if TYPE_CHECKING:
    from hibiscusstile.gateway import fleet

__all__ = ["SILENT", "LeavingServer", "ServerStatement", "ServerStatements"]

_log = logbook.Logger("statements")

# A longer delay is taken for a mistake: a server that is away for longer is
# restarted, and then has another id or start time.
_MAX_PAUSE = datetime.timedelta(minutes=10)
# The oldest ones are dropped; their servers have ended long before.
_MAX_LEAVING_SERVERS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStatement:
    """What one response says of the server that sent it.

    Attributes:
        leaving: Whether the server is shutting down.
        retry_after: Time for which it accepts no requests from this process.
        server_id: Id of the server, if it is not the one that was addressed.
    """

    leaving: bool = False
    retry_after: datetime.timedelta | None = None
    server_id: str = ""


# What a response says that carries neither header.
SILENT = ServerStatement()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingServer:
    """A server that has said that it is shutting down.

    Attributes:
        server_id: Id of the server.
        started_ms: Start time as Unix time in ms; 0 if unknown.
        age_s: Seconds since it said so.
        source: Gateway that received the response; empty for this process.
    """

    server_id: str
    started_ms: int
    age_s: float = 0.0
    source: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Leaving:
    said_s: float
    source: str


# Id and start time, which a restarted server does not share.
_Incarnation = tuple[str, int]


class ServerStatements:
    """Servers that accept no requests by their own statement.

    A server that leaves does so for good. A pause concerns only this process,
    and a later statement never shortens it.

    Args:
        clock: Clock for pauses and ages.
        on_news: Called when there is something to announce to peers, who are
            told of servers that leave but not of pauses.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._on_news = on_news
        self._leaving: dict[_Incarnation, _Leaving] = {}
        self._unannounced: set[_Incarnation] = set()
        # End of each pause on the monotonic clock.
        self._paused_until_s: dict[_Incarnation, float] = {}

    def accepts_requests(self, server: fleet.BackendServer) -> bool:
        """Returns whether a server neither leaves nor pauses."""
        return (
            self._find_leaving(server) is None
            and self.pause_left_s(server) <= 0.0
        )

    def leaving_server(
        self, server: fleet.BackendServer
    ) -> LeavingServer | None:
        """Returns who heard when that a server leaves, None if nobody did."""
        leaving = self._find_leaving(server)
        if leaving is None:
            return None
        return LeavingServer(
            server.server_id,
            server.started_ms,
            self._clock.monotonic() - leaving.said_s,
            leaving.source,
        )

    def pause_left_s(self, server: fleet.BackendServer) -> float:
        """Returns for how long a server accepts no requests."""
        until_s = self._paused_until_s.get(_incarnation(server), 0.0)
        return max(0.0, until_s - self._clock.monotonic())

    def note(
        self, server: fleet.BackendServer, statement: ServerStatement
    ) -> None:
        """Records what a response says.

        Args:
            server: The server that was addressed.
            statement: What the response says of its sender.
        """
        if statement.leaving:
            server_id, started_ms = _incarnation(server)
            if statement.server_id not in ("", server_id):
                server_id, started_ms = statement.server_id, 0
            if self.note_leaving(LeavingServer(server_id, started_ms)):
                self._unannounced.add((server_id, started_ms))
                self._on_news()
        if statement.retry_after is not None:
            self._note_pause(server, statement.retry_after)

    def note_leaving(self, leaving: LeavingServer) -> bool:
        """Records that a server leaves; returns whether this was news."""
        incarnation = (leaving.server_id, leaving.started_ms)
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = _Leaving(
            self._clock.monotonic() - leaving.age_s, leaving.source
        )
        if len(self._leaving) > _MAX_LEAVING_SERVERS:
            del self._leaving[next(iter(self._leaving))]
        logs.event(
            _log,
            "server_said_leaving",
            server=leaving.server_id,
            started_ms=leaving.started_ms,
            age_s=round(leaving.age_s, 3),
            source=leaving.source,
        )
        return True

    def drain(self) -> list[LeavingServer]:
        """Returns the servers to announce, and counts them as announced."""
        unannounced, self._unannounced = self._unannounced, set()
        return [each for each in self.snapshot() if _key(each) in unannounced]

    def snapshot(self) -> list[LeavingServer]:
        """Returns all servers that have said that they leave."""
        now_s = self._clock.monotonic()
        return [
            LeavingServer(*incarnation, now_s - each.said_s, each.source)
            for incarnation, each in self._leaving.items()
        ]

    def _find_leaving(self, server: fleet.BackendServer) -> _Leaving | None:
        incarnation = _incarnation(server)
        leaving = self._leaving.get(incarnation)
        unknown = (server.server_id, 0)
        if leaving is None and unknown in self._leaving:
            # The statement was made by the process that is listed first.
            leaving = self._leaving.pop(unknown)
            self._leaving[incarnation] = leaving
            if unknown in self._unannounced:
                self._unannounced.remove(unknown)
                self._unannounced.add(incarnation)
        return leaving

    def _note_pause(
        self, server: fleet.BackendServer, pause: datetime.timedelta
    ) -> None:
        now_s = self._clock.monotonic()
        until_s = now_s + min(pause, _MAX_PAUSE).total_seconds()
        self._paused_until_s = {
            incarnation: each_s
            for incarnation, each_s in self._paused_until_s.items()
            if each_s > now_s
        }
        incarnation = _incarnation(server)
        if until_s <= self._paused_until_s.get(incarnation, 0.0):
            return
        self._paused_until_s[incarnation] = until_s
        logs.event(
            _log,
            "server_paused",
            server=server.server_id,
            pause_s=round(until_s - now_s, 3),
            age_s=0.0,
        )


def _incarnation(server: fleet.BackendServer) -> _Incarnation:
    return server.server_id, server.started_ms


def _key(leaving: LeavingServer) -> _Incarnation:
    return leaving.server_id, leaving.started_ms
