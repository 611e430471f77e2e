"""Membership: the backend servers that the store lists."""

from __future__ import annotations

import dataclasses
import datetime
import math
from collections.abc import Iterable, Mapping

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs
from hibiscusstile.gateway import serverstatements

__all__ = ["BackendServer", "Fleet"]

_log = logbook.Logger("fleet")

# Servers whose entries expired during an outage of the store register again
# within about 2 s of its recovery; reading the entries takes up to 0.2 s more.
_OUTAGE_GRACE_S = 2.2
_DEFAULT_STABLE_WINDOW = datetime.timedelta(seconds=3)
# The rest is for requests that are under way to a server.
_KEPT_SHARE = 0.9
# The oldest ones are dropped; their servers have ended long before.
_MAX_LEAVING_SERVERS = 4096
# The oldest ones are dropped; a copy of the store is only seconds old.
_MAX_GONE_SERVERS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as its entry in the store describes it.

    Attributes:
        server_id: Id of the server; a restarted server usually has a new one.
        service: Service that the server belongs to.
        address: IP address and port.
        zone: Availability zone of the server.
        slots: Maximum number of concurrent requests.
        leaving: Whether it is shutting down.
        started_ms: Start time as Unix time in ms; 0 if unknown.
        sequence: Number of the entry, which each entry of a process raises;
            -1 if unknown.
        weights: Weights version that its entry lists for each model.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    sequence: int = -1
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)


class Fleet:
    """Backend servers of all services.

    Servers whose entries expire during an outage of the store, or in the grace
    period after it, are kept until `usable_servers` is first called after that
    period.

    An entry that says that its server leaves binds for good, by id and start
    time: pages of newest entries are no snapshot, and an older copy may come
    last. Start times that are unknown count as unchanged while the server is
    listed.

    A store that is restored from a copy lists servers again whose entries were
    removed since. A server that is gone is listed again only by an entry of
    another start time, or of a higher sequence than any before: a process that
    was silent for too long goes on counting. The same sequence suffices if the
    grace period has ended since: the store may have lost the entry of a live
    server, which writes it again.

    Args:
        clock: Clock for the grace period after a store outage.
        statements: What servers say of themselves; none by default.
        stable_window: Time after an outage of the store from which unlisted
            servers must get no requests.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        statements: serverstatements.ServerStatements | None = None,
        stable_window: datetime.timedelta = _DEFAULT_STABLE_WINDOW,
    ) -> None:
        self._clock = clock
        self._max_kept_s = _KEPT_SHARE * stable_window.total_seconds()
        self._statements = statements or serverstatements.ServerStatements(
            clock
        )
        self._servers: dict[str, BackendServer] = {}
        self._servers_by_service: dict[str, dict[str, BackendServer]] = {}
        # Ids and start times, oldest first.
        self._leaving: dict[tuple[str, int], None] = {}
        # Highest sequence that does not list a gone server again, by id and
        # start time, oldest first.
        self._gone: dict[tuple[str, int], int] = {}
        # Expiry time of entries that expired around an outage of the store.
        self._expired_at_s: dict[str, float] = {}
        # End of the grace period; infinite during an outage.
        self._keep_expired_until_s = 0.0

    def __len__(self) -> int:
        """Returns the number of servers, including leaving and expired ones."""
        return len(self._servers)

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All servers, including leaving and expired ones."""
        return tuple(self._servers.values())

    @property
    def keeps_unlisted(self) -> bool:
        """Whether servers are kept whose entries may come back."""
        return bool(self._expired_at_s)

    def get(self, server_id: str) -> BackendServer | None:
        """Returns the server with this id, or None."""
        return self._servers.get(server_id)

    def usable_servers(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that accept new requests.

        Drops expired servers when the grace period is over.
        """
        self._drop_expired()
        return [
            server
            for server in self._servers_by_service.get(service, {}).values()
            if not server.leaving and self._statements.accepts_requests(server)
        ]

    def first_pause_left_s(self, service: str) -> float | None:
        """Returns when the first paused server accepts requests again.

        Returns None if other servers are usable or none is paused.
        """
        if self.usable_servers(service):
            return None
        pauses_s = [
            self._statements.pause_left_s(server)
            for server in self._servers_by_service.get(service, {}).values()
            if not server.leaving
            and self._statements.leaving_server(server) is None
        ]
        return min(pauses_s, default=None)

    def put(self, server: BackendServer) -> bool:
        """Adds or updates a server.

        Returns:
            Whether the entry holds; False if it precedes the removal of its
            server, which is then neither added nor updated.
        """
        if self._precedes_removal(server):
            logs.event(
                _log,
                "entry_of_gone_server",
                server=server.server_id,
                started_ms=server.started_ms,
                sequence=server.sequence,
            )
            return False
        self._gone.pop((server.server_id, server.started_ms), None)
        current = self._servers.get(server.server_id)
        if current is not None:
            server = self._succeed(current, server)
        if server.leaving:
            self._note_leaving(server)
        elif self._has_left(server, current):
            logs.event(
                _log,
                "entry_of_leaving_server",
                server=server.server_id,
                started_ms=server.started_ms,
            )
            server = dataclasses.replace(server, leaving=True)
        self._expired_at_s.pop(server.server_id, None)
        if current == server:
            return True
        if current is not None and current.service != server.service:
            self._servers_by_service[current.service].pop(
                server.server_id, None
            )
        self._servers[server.server_id] = server
        service_servers = self._servers_by_service.setdefault(
            server.service, {}
        )
        service_servers[server.server_id] = server
        if current is None or current.leaving != server.leaving:
            logs.event(
                _log,
                "server_leaving" if server.leaving else "server_listed",
                server=server.server_id,
                service=server.service,
                address=server.address,
                zone=server.zone,
            )
        return True

    def remove(self, server_id: str) -> None:
        """Removes a server.

        During an outage of the store, and shortly after it, the server is kept
        until the grace period is over.
        """
        if server_id not in self._servers:
            return
        if self._clock.monotonic() < self._keep_expired_until_s:
            self._keep(self._servers[server_id])
            return
        self._drop(server_id)

    def replace(self, listing: Iterable[BackendServer]) -> list[BackendServer]:
        """Applies a complete listing; removes the servers missing from it.

        Missing servers are kept for the grace period as in `remove`.

        Returns:
            The servers whose entries hold, as in `put`.
        """
        listed = {server.server_id: server for server in listing}
        holding = [server for server in listed.values() if self.put(server)]
        for server_id in [each for each in self._servers if each not in listed]:
            self.remove(server_id)
        return holding

    def note_store_lost(self) -> None:
        """Records that the store of server entries does not respond."""
        # This outage is no reason to keep servers for longer that were missing
        # after an earlier one.
        self._drop_expired()
        self._keep_expired_until_s = math.inf

    def note_store_back(self, last_failed_s: float) -> None:
        """Records that the store responds again.

        Args:
            last_failed_s: Monotonic time at which the last failed read began.
                The store may have been back at any time since, so the grace
                period counts from then.
        """
        if self._keep_expired_until_s != math.inf:
            return
        now_s = self._clock.monotonic()
        self._keep_expired_until_s = min(
            last_failed_s + self._max_kept_s, now_s + _OUTAGE_GRACE_S
        )
        if self._expired_at_s:
            logs.event(
                _log,
                "servers_kept",
                servers=len(self._expired_at_s),
                for_s=round(self._keep_expired_until_s - now_s, 3),
            )

    def _note_leaving(self, server: BackendServer) -> None:
        if not server.started_ms:
            return
        self._leaving[server.server_id, server.started_ms] = None
        if len(self._leaving) > _MAX_LEAVING_SERVERS:
            del self._leaving[next(iter(self._leaving))]

    def _note_gone(self, server: BackendServer, last_sequence: int) -> None:
        if not server.started_ms or last_sequence < 0:
            return
        incarnation = server.server_id, server.started_ms
        self._gone.pop(incarnation, None)
        self._gone[incarnation] = last_sequence
        if len(self._gone) > _MAX_GONE_SERVERS:
            del self._gone[next(iter(self._gone))]

    def _precedes_removal(self, server: BackendServer) -> bool:
        """Returns whether an entry precedes the removal of its server."""
        gone_sequence = self._gone.get((server.server_id, server.started_ms))
        return gone_sequence is not None and server.sequence <= gone_sequence

    def _succeed(
        self, current: BackendServer, server: BackendServer
    ) -> BackendServer:
        """Returns the server of an entry that replaces the current one.

        It keeps the highest sequence, as an older copy of the entry may come
        last. A process that another one with its id has replaced is gone.
        """
        if server.started_ms == current.started_ms:
            sequence = max(current.sequence, server.sequence)
            return dataclasses.replace(server, sequence=sequence)
        if server.started_ms > current.started_ms:
            self._note_gone(current, current.sequence)
        return server

    def _has_left(
        self, server: BackendServer, current: BackendServer | None
    ) -> bool:
        """Returns whether an entry that does not say so is of a leaving server.

        Args:
            server: The entry.
            current: The entry before it, None if the server is not listed.
        """
        if (server.server_id, server.started_ms) in self._leaving:
            return True
        if current is None or not current.leaving:
            return False
        return not server.started_ms or not current.started_ms

    def _keep(self, server: BackendServer) -> None:
        now_s = self._clock.monotonic()
        if server.server_id in self._expired_at_s:
            return
        self._expired_at_s[server.server_id] = now_s
        for_s = self._keep_expired_until_s - now_s
        logs.event(
            _log,
            "server_kept",
            server=server.server_id,
            service=server.service,
            leaving=server.leaving,
            # Without an end while the store does not respond.
            for_s=round(for_s, 3) if math.isfinite(for_s) else None,
        )

    def _drop_expired(self) -> None:
        if not self._expired_at_s:
            return
        if self._clock.monotonic() < self._keep_expired_until_s:
            return
        for server_id in list(self._expired_at_s):
            self._drop(server_id)

    def _drop(self, server_id: str) -> None:
        now_s = self._clock.monotonic()
        was_kept = server_id in self._expired_at_s
        kept_s = now_s - self._expired_at_s.pop(server_id, now_s)
        server = self._servers.pop(server_id)
        # A live server may write its last entry again after an outage.
        self._note_gone(server, server.sequence - (1 if was_kept else 0))
        self._servers_by_service[server.service].pop(server_id, None)
        logs.event(
            _log,
            "server_gone",
            server=server_id,
            service=server.service,
            kept_s=round(kept_s, 3),
        )
