"""Serves the entry instances connected to a sidecar."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import bidder as bidder_lib
from hibiscusstile import outcome, request
from hibiscusstile.configuration import fetching
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import codec, exchange, handshake, messages
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.sidecar import cachescopes, failures, suspectbroadcast
from hibiscusstile.sidecar import calls as calls_lib
from hibiscusstile.sidecar import executor as executor_lib

__all__ = ["PeerService"]

_log = logbook.Logger("sidecar")

# Entry instances send a ping every 10 s when they have nothing else to send.
_PEER_SILENCE = datetime.timedelta(seconds=25)
_NOTICE_TIMEOUT = datetime.timedelta(seconds=1)


class PeerService:
    """Answers the messages of connected peers.

    Args:
        info: Returns what the sidecar says of itself.
        store: The configuration in force.
        executor: Runs attempts.
        calls: Runs plain-service calls.
        bidder: Values requests for bids.
        scopes: Finds the cache scopes of requests.
        suspicion: What is known of requests that crash engines.
        known_peers: Returns the sidecars that this one knows.
        fetches: Paces fetches of a newer configuration.
    """

    def __init__(
        self,
        info: Callable[[], messages.PeerInfo],
        store: store_lib.ConfigurationStore,
        executor: executor_lib.AttemptExecutor,
        calls: calls_lib.CallRunner,
        bidder: bidder_lib.Bidder,
        scopes: cachescopes.CacheScopeResolver,
        suspicion: suspectbroadcast.SuspectBroadcaster,
        known_peers: Callable[[], tuple[messages.PeerAddress, ...]],
        fetches: fetching.FetchPacer,
    ) -> None:
        self._info = info
        self._store = store
        self._executor = executor
        self._calls = calls
        self._bidder = bidder
        self._scopes = scopes
        self._suspicion = suspicion
        self._known_peers = known_peers
        self._fetches = fetches
        self._connections: set[connection_lib.PeerConnection] = set()

    @property
    def connection_count(self) -> int:
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
        self._connections.add(connection)
        try:
            facts = self._suspicion.table.facts()
            self._suspicion.add(connection)
            await connection.send(
                messages.Hello(
                    self._info(), suspects=messages.suspect_notice(facts)
                )
            )
            while True:
                async with asyncio.timeout(_PEER_SILENCE.total_seconds()):
                    envelope = await connection.receive()
                since = self._fetches.next_fetch(envelope.revision)
                if since is not None:
                    await connection.send(messages.ConfigFetch(since))
                await self._handle(connection, envelope)
        except TimeoutError:
            # A frozen entry instance would keep its attempts running.
            _log.warning("peer_silent peer_id={}", other.peer_id)
            connection.abort()
        finally:
            self._connections.discard(connection)
            self._suspicion.discard(connection)
            self._executor.detach(connection)

    async def announce_leaving(self) -> None:
        """Tells all peers that no new work is taken."""
        await self._send_to_all(messages.Leaving(self._info().peer_id))

    async def announce_info(self) -> None:
        """Tells all peers what the sidecar now says of itself."""
        await self._send_to_all(messages.Hello(self._info()))

    async def _send_to_all(self, message: messages.PeerMessage) -> None:
        await asyncio.gather(
            *(_try_send(each, message) for each in self._connections)
        )

    async def _handle(
        self,
        connection: connection_lib.PeerConnection,
        envelope: codec.Envelope,
    ) -> None:
        message = envelope.message
        match message:
            case messages.Hello():
                await self._take_hello(connection, message)
            case messages.BidRequest():
                await connection.send(self._bid(message))
            case messages.Dispatch():
                await self._dispatch(connection, message, envelope.revision)
            case messages.Call():
                await self._start_call(connection, message, envelope.revision)
            case messages.Ack():
                self._executor.acknowledge(message)
            case messages.Cancel():
                self._executor.cancel(message.attempt_id)
            case messages.Resume():
                await self._executor.resume(connection, message)
            case messages.SuspectNotice():
                await self._suspicion.merge(message, connection)
            case messages.Ping():
                await connection.send(messages.Pong(message.number))
            case _:
                await self._handle_configuration(connection, message)

    async def _handle_configuration(
        self,
        connection: connection_lib.PeerConnection,
        message: messages.PeerMessage,
    ) -> None:
        match message:
            case messages.ConfigDigest():
                exchange.check_digest(self._store, message, connection.remote)
            case messages.ConfigFetch():
                await exchange.send_state(
                    self._store, connection, message.revision
                )
            case messages.ConfigState():
                result = self._store.adopt(message.state, message.digest)
                refused = isinstance(result, store_lib.AdoptionRefused)
                self._fetches.note_answer(refused)
            case _:
                return

    async def _take_hello(
        self, connection: connection_lib.PeerConnection, hello: messages.Hello
    ) -> None:
        await self._suspicion.merge(hello.suspects, connection)
        if hello.wants_peers:
            await connection.send(
                messages.Hello(self._info(), peers=self._known_peers())
            )

    async def _dispatch(
        self,
        connection: connection_lib.PeerConnection,
        dispatch: messages.Dispatch,
        revision: int,
    ) -> None:
        refusal = self._refusal(revision)
        if refusal is None:
            self._executor.start(connection, dispatch, revision)
            return
        await connection.send(
            failures.failed_message(dispatch.attempt_id, refusal)
        )

    async def _start_call(
        self,
        connection: connection_lib.PeerConnection,
        call: messages.Call,
        revision: int,
    ) -> None:
        refusal = self._refusal(revision)
        if refusal is None:
            self._calls.start(connection, call, revision)
            return
        await connection.send(failures.failed_message(call.attempt_id, refusal))

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
        scope = self._scopes.resolve(work)
        offer = self._bidder.offer(work, scope.salt if scope else "")
        return messages.BidReply(
            asked.bid_id,
            offer.cached_tokens,
            offer.wait_s,
            offer.prefill_s,
            offer.load,
            outcome.Reason.LEAVING if info.leaving else offer.refusal,
            info.leaving,
        )


async def _try_send(
    connection: connection_lib.PeerConnection, message: messages.PeerMessage
) -> None:
    """Sends to a peer, which may be frozen or gone."""
    try:
        async with asyncio.timeout(_NOTICE_TIMEOUT.total_seconds()):
            await connection.send(message)
    except (TimeoutError, connection_lib.ConnectionLost):
        _log.info("notice_not_sent remote={}", connection.remote)
