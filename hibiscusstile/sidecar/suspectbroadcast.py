"""Exchange of facts about requests that crash engines."""

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

# A hung entry instance must not delay the notice to the others.
_SEND_TIMEOUT = datetime.timedelta(milliseconds=500)


class SuspectBroadcaster:
    """Distributes suspect facts to connected entry instances and the log.

    Args:
        table: Known crash charges and clearances.
        appender: Writes crashes of the local engine to the log.
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
        """Known crash charges and clearances."""
        return self._table

    def add(self, connection: connection_lib.PeerConnection) -> None:
        """Starts to send new facts to an entry instance."""
        self._connections.add(connection)

    def discard(self, connection: connection_lib.PeerConnection) -> None:
        """Stops sending facts to an entry instance."""
        self._connections.discard(connection)

    async def note_crash(
        self, engine: suspects.CrashedEngine, fingerprints: Collection[str]
    ) -> None:
        """Charges a crash of the local engine to the requests it was running.

        Concurrent calls for the same crash all return only after the
        connected entry instances have been notified.
        """
        async with self._crash_lock:
            charge = self._table.note_crash(engine, fingerprints)
            if charge is not None:
                await self._record_charge(charge, fingerprints)

    async def _record_charge(
        self, charge: suspects.CrashCharge, fingerprints: Collection[str]
    ) -> None:
        _log.warning(
            logs.format_event(
                "crash_charged",
                {
                    "crash": charge.crash_id,
                    "running": len(fingerprints),
                    "charged": ",".join(charge.fingerprints),
                },
            )
        )
        self._appender.put(charge)
        await self._broadcast([charge])

    async def note_completed(self, fingerprint: str) -> None:
        """Removes the suspicion from a completed request."""
        clearance = self._table.note_completed(fingerprint)
        if clearance is not None:
            await self._broadcast([clearance])

    async def merge(
        self,
        notice: messages.SuspectNotice,
        source: connection_lib.PeerConnection,
    ) -> None:
        """Merges facts from an entry instance and forwards the new ones."""
        await self._broadcast(self._table.merge(notice.facts), source)

    async def _broadcast(
        self,
        facts: Iterable[suspects.Fact],
        source: connection_lib.PeerConnection | None = None,
    ) -> None:
        notice = messages.build_suspect_notice(facts)
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
