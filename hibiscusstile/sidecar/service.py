"""Serves the entry instances connected to a sidecar."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import cacheview, identity, outcome, request
from hibiscusstile.configuration import fetching
from hibiscusstile.configuration import snapshot as snapshot_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import codec, exchange, handshake, messages
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.sidecar import executor as executor_lib
from hibiscusstile.sidecar import turns as turns_lib

__all__ = ["SidecarService"]

_log = logbook.Logger("sidecar")


class SidecarService:
    """Answers the messages of connected peers.

    Args:
        info: Returns what the sidecar says of itself.
        store: The configuration in force.
        executor: Runs attempts.
        turns: The admission queue's turns.
        view: What the engine holds in cache.
        prefill_tokens_per_s: The engine's speed.
        fetches: Paces fetches of a newer configuration.
    """

    def __init__(
        self,
        info: Callable[[], messages.PeerInfo],
        store: store_lib.ConfigurationStore,
        executor: executor_lib.Executor,
        turns: turns_lib.Turns,
        view: cacheview.CacheView,
        prefill_tokens_per_s: float,
        fetches: fetching.FetchPacer,
    ) -> None:
        self._info = info
        self._store = store
        self._executor = executor
        self._turns = turns
        self._view = view
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._fetches = fetches
        self._connections: set[connection_lib.PeerConnection] = set()

    @property
    def connections(self) -> int:
        """How many peers are connected."""
        return len(self._connections)

    @property
    def senders(self) -> Sequence[connection_lib.PeerConnection]:
        """The connections."""
        return tuple(self._connections)

    async def serve(
        self,
        connection: connection_lib.PeerConnection,
        other: handshake.Identity,
    ) -> None:
        """Runs one connection until it ends."""
        del other
        self._connections.add(connection)
        try:
            await connection.send(messages.Hello(self._info()))
            while True:
                envelope = await connection.receive()
                since = self._fetches.next_fetch(envelope.revision)
                if since is not None:
                    await connection.send(messages.ConfigFetch(since))
                await self._handle(connection, envelope)
        finally:
            self._connections.discard(connection)
            self._executor.detach(connection)

    async def announce_leaving(self) -> None:
        """Tells all peers that no new work is taken."""
        for connection in list(self._connections):
            try:
                await connection.send(messages.Leaving(self._info().peer_id))
            except connection_lib.ConnectionLost:
                continue

    async def _handle(
        self,
        connection: connection_lib.PeerConnection,
        envelope: codec.Envelope,
    ) -> None:
        message = envelope.message
        match message:
            case messages.BidRequest():
                await connection.send(self._bid(message))
            case messages.Dispatch():
                await self._dispatch(connection, message, envelope.revision)
            case messages.Call():
                await self._start_call(connection, message, envelope.revision)
            case messages.Ack():
                self._executor.acknowledge(message)
            case messages.Cancel():
                await self._executor.cancel(message.attempt_id)
            case messages.Resume():
                await self._executor.resume(connection, message)
            case messages.Ping():
                await connection.send(messages.Pong(message.number))
            case messages.ConfigDigest():
                exchange.check_digest(self._store, message, connection.remote)
            case messages.ConfigFetch():
                await self._send_state(connection, message.revision)
            case messages.ConfigState():
                result = self._store.adopt(message.state, message.digest)
                refused = isinstance(result, store_lib.AdoptionRefused)
                self._fetches.note_answer(refused)
            case _:
                return

    async def _dispatch(
        self,
        connection: connection_lib.PeerConnection,
        dispatch: messages.Dispatch,
        revision: int,
    ) -> None:
        refusal = self._refusal(revision)
        if refusal is None:
            self._executor.start(connection, dispatch)
            return
        await connection.send(
            executor_lib.failed_message(dispatch.attempt_id, refusal)
        )

    async def _start_call(
        self,
        connection: connection_lib.PeerConnection,
        call: messages.Call,
        revision: int,
    ) -> None:
        refusal = self._refusal(revision)
        if refusal is None:
            self._executor.start_call(connection, call)
            return
        await connection.send(
            executor_lib.failed_message(call.attempt_id, refusal)
        )

    def _refusal(self, revision: int) -> outcome.Refusal | None:
        if self._info().leaving:
            return outcome.Refusal(
                outcome.Reason.LEAVING, "the backend server is leaving"
            )
        if revision < self._store.revision:
            return outcome.Refusal(
                outcome.Reason.STALE_REVISION,
                f"revision {revision} is older than {self._store.revision}",
            )
        return None

    def _bid(self, asked: messages.BidRequest) -> messages.BidReply:
        work = request.WorkItem(
            f"bid-{asked.bid_id}",
            asked.workspace,
            asked.caller,
            asked.rank,
            asked.model,
            asked.adapter,
            asked.levels,
            asked.prompt_tokens,
            asked.max_tokens,
            asked.suspect,
        )
        info = self._info()
        cached = self._cached_tokens(work)
        refusal = self._turns.queue.check(work)
        reason = refusal.reason if refusal else None
        if info.leaving:
            reason = outcome.Reason.LEAVING
        return messages.BidReply(
            asked.bid_id,
            cached,
            self._turns.queue.wait_s(work),
            (work.prompt_tokens - cached) / self._prefill_tokens_per_s,
            self._turns.queue.load,
            reason,
            info.leaving,
        )

    def _cached_tokens(self, work: request.WorkItem) -> int:
        model = self._store.view.models.get(work.model)
        if model is None:
            return 0
        scope = identity.CacheScope(
            work.workspace, work.model, work.adapter, model.weights_version
        )
        return self._view.cached_tokens(scope.salt, work.levels)

    async def _send_state(
        self, connection: connection_lib.PeerConnection, revision: int
    ) -> None:
        if self._store.revision <= revision:
            return
        try:
            state = self._store.snapshot(revision)
        except snapshot_lib.SnapshotError as error:
            _log.error("snapshot_not_sent reason={!r}", str(error))
            return
        await connection.send(
            messages.ConfigState(
                self._store.revision, self._store.digest, state
            )
        )
