"""Tells crashes of backend servers from lost responses."""

from __future__ import annotations

import asyncio

import logbook

from hibiscusstile import logs, metrics
from hibiscusstile.gateway import exchange, fleet
from hibiscusstile.gateway import state as state_lib

__all__ = ["CrashDetector"]

_log = logbook.Logger("crashes")

# A server that has crashed refuses connections for at least this long.
_MIN_DOWNTIME_S = 1.0


class CrashDetector:
    """Finds out whether a server that has lost requests has crashed.

    A server has crashed if it lost a request and then refuses connections.
    All requests that it lost at once share one connection attempt.

    Args:
        state: State of this gateway process.
        client: Connects to servers.
    """

    def __init__(
        self, state: state_lib.GatewayState, client: exchange.ServerClient
    ) -> None:
        self._state = state
        self._client = client
        self._checks: dict[str, asyncio.Event] = {}
        # Times of crashes on the monotonic clock, by server id.
        self._crashed_s: dict[str, float] = {}

    async def has_crashed(self, server: fleet.BackendServer) -> bool:
        """Returns whether a server that has lost a request has crashed."""
        server_id = server.server_id
        check = self._checks.get(server_id)
        if check is not None:
            await check.wait()
            return self._crashed_recently(server_id)
        if self._crashed_recently(server_id):
            return True
        self._checks[server_id] = asyncio.Event()
        try:
            refused = await self._client.refuses_connections(server)
        finally:
            self._checks.pop(server_id).set()
        listed = self._state.fleet.get(server_id)
        planned = (
            listed is None
            or listed.leaving
            or self._state.server_statements.leaving_server(server) is not None
        )
        if refused:
            self._note_down(server, planned=planned)
        return refused and not planned

    def _crashed_recently(self, server_id: str) -> bool:
        crashed_s = self._crashed_s.get(server_id)
        now_s = self._state.clock.monotonic()
        return crashed_s is not None and now_s - crashed_s < _MIN_DOWNTIME_S

    def _note_down(self, server: fleet.BackendServer, *, planned: bool) -> None:
        server_id = server.server_id
        metrics.count_server_down(planned)
        logs.event(
            _log,
            "server_down",
            server=server_id,
            service=server.service,
            planned=planned,
            running=self._state.loads.for_server(server_id).running,
        )
        self._state.health.note_unreachable(server)
        self._state.loads.for_server(server_id).clear_cached_parts()
        if planned:
            return
        now_s = self._state.clock.monotonic()
        self._crashed_s = {
            each: crashed_s
            for each, crashed_s in self._crashed_s.items()
            if now_s - crashed_s < _MIN_DOWNTIME_S
        }
        self._crashed_s[server_id] = now_s
