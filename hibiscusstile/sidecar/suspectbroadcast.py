"""Spreads a sidecar's knowledge of requests that crash engines."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
from collections.abc import Collection, Iterable

import logbook

from hibiscusstile import logs, suspectlog, suspects
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages

__all__ = ["SuspectBroadcaster"]

_log = logbook.Logger("suspects")

# A frozen entry must not keep the others from hearing of a crash.
_SEND_TIMEOUT = datetime.timedelta(milliseconds=500)


class SuspectBroadcaster:
    """Joins the table with the connected entries and the log.

    Args:
        table: What is known.
        appender: Records the local engine's crashes.
    """

    def __init__(
        self,
        table: suspects.SuspectTable,
        appender: suspectlog.SuspectAppender,
    ) -> None:
        self._table = table
        self._appender = appender
        self._connections: set[connection_lib.PeerConnection] = set()
        self._crash_lock = asyncio.Lock()

    @property
    def table(self) -> suspects.SuspectTable:
        """What is known."""
        return self._table

    def add(self, connection: connection_lib.PeerConnection) -> None:
        """Sends news to an entry from now on."""
        self._connections.add(connection)

    def discard(self, connection: connection_lib.PeerConnection) -> None:
        """Sends nothing more to an entry."""
        self._connections.discard(connection)

    async def note_crash(
        self, site: suspects.CrashedEngine, running: Collection[str]
    ) -> None:
        """Charges the local engine's crash to what it was running.

        Returns once the connected entries were told, also to an attempt that
        is not the first one to notice the crash.
        """
        async with self._crash_lock:
            charge = self._table.note_crash(site, running)
            if charge is not None:
                await self._record_charge(charge, running)

    async def _record_charge(
        self, charge: suspects.CrashCharge, running: Collection[str]
    ) -> None:
        _log.warning(
            logs.decision_line(
                "crash_charged",
                {
                    "crash": charge.crash_id,
                    "running": len(running),
                    "charged": ",".join(charge.fingerprints),
                },
            )
        )
        self._appender.put(charge)
        await self._broadcast([charge])

    async def note_completed(self, request_digest: str) -> None:
        """Clears a request that has completed."""
        clearance = self._table.note_completed(request_digest)
        if clearance is not None:
            await self._broadcast([clearance])

    async def merge(
        self,
        notice: messages.SuspectNotice,
        source: connection_lib.PeerConnection,
    ) -> None:
        """Takes an entry's facts in and passes new ones to other entries."""
        await self._broadcast(self._table.merge(notice.facts), source)

    async def _broadcast(
        self,
        facts: Iterable[suspects.Fact],
        source: connection_lib.PeerConnection | None = None,
    ) -> None:
        notice = messages.suspect_notice(facts)
        if not notice.facts:
            return
        await asyncio.gather(
            *(
                _send(connection, notice)
                for connection in self._connections
                if connection is not source
            )
        )


async def _send(
    connection: connection_lib.PeerConnection, notice: messages.SuspectNotice
) -> None:
    with contextlib.suppress(connection_lib.ConnectionLost, TimeoutError):
        async with asyncio.timeout(_SEND_TIMEOUT.total_seconds()):
            await connection.send(notice)
