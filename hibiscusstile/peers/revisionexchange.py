"""Synchronizes configuration revisions between peers without the log."""

from __future__ import annotations

import asyncio
import datetime
import random
from collections.abc import Iterable
from typing import Protocol

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import fetching
from hibiscusstile.configuration import snapshot as snapshot_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages

__all__ = ["PeerSender", "RevisionExchange", "check_digest", "send_state"]

_log = logbook.Logger("configuration")

_INTERVAL = datetime.timedelta(milliseconds=500)
_SEND_TIMEOUT_S = 1.0


class PeerSender(Protocol):
    """Sends messages to one peer."""

    async def send(self, message: messages.PeerMessage) -> None:
        """Sends a message.

        Raises:
            ConnectionLost: The connection has ended.
        """


class PeerGroup(Protocol):
    """The peers that a process is connected to."""

    @property
    def senders(self) -> Iterable[PeerSender]:
        """Senders of the currently connected peers."""


class RevisionExchange:
    """Announces new revisions to all peers and retries lost fetches.

    An idle connection carries a message only every 10 s, which is too rare
    for a change to take effect within 6 s on peers that cannot read the log.

    Args:
        store: The local configuration.
        fetch_pacer: Schedules fetches of newer revisions that peers have.
        peers: The connected peers.
        clock: Source of delays.
    """

    def __init__(
        self,
        store: store_lib.ConfigurationStore,
        fetch_pacer: fetching.FetchPacer,
        peers: PeerGroup,
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._fetch_pacer = fetch_pacer
        self._peers = peers
        self._clock = clock

    async def run(self) -> None:
        """Announces and fetches until cancelled."""
        announced_revision = self._store.revision
        while True:
            await self._clock.sleep(_INTERVAL)
            if self._store.revision != announced_revision:
                announced_revision = self._store.revision
                await self._announce()
            fetch_since = self._fetch_pacer.next_retry()
            senders = list(self._peers.senders)
            if fetch_since is not None and senders:
                fetch = messages.ConfigFetch(fetch_since)
                await _try_send(random.choice(senders), fetch)

    async def _announce(self) -> None:
        digest = messages.ConfigDigest(self._store.revision, self._store.digest)
        await asyncio.gather(
            *(_try_send(sender, digest) for sender in self._peers.senders)
        )


def check_digest(
    store: store_lib.ConfigurationStore,
    message: messages.ConfigDigest,
    peer: str,
) -> None:
    """Logs an error if a peer has another state at the same revision."""
    if message.revision != store.revision or message.digest == store.digest:
        return
    _log.error(
        "configuration_diverged peer={} revision={} own={} other={}",
        peer,
        message.revision,
        store.digest,
        message.digest,
    )


async def _try_send(sender: PeerSender, message: messages.PeerMessage) -> None:
    # A frozen peer must not delay the others.
    try:
        async with asyncio.timeout(_SEND_TIMEOUT_S):
            await sender.send(message)
    except (connection_lib.ConnectionLost, TimeoutError):
        return


async def send_state(
    store: store_lib.ConfigurationStore, peer: PeerSender, revision: int
) -> None:
    """Sends the local configuration to a peer that has an older one.

    Args:
        store: The local configuration.
        peer: The peer that requested it.
        revision: The peer's revision; -1 requests the whole state.

    Raises:
        ConnectionLost: The connection has ended.
    """
    if store.revision <= revision:
        return
    try:
        state = store.snapshot(revision)
    except snapshot_lib.SnapshotError as error:
        _log.error("snapshot_not_sent reason={!r}", str(error))
        return
    await peer.send(messages.ConfigState(store.revision, store.digest, state))
