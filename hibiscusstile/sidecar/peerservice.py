"""Message handling for entry instances connected to a sidecar."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import bidder as bidder_lib
from hibiscusstile import outcome, request
from hibiscusstile.configuration import fetching
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import codec, handshake, messages, revisionexchange
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.sidecar import cachescopes, failures, suspectbroadcast
from hibiscusstile.sidecar import calls as calls_lib
from hibiscusstile.sidecar import executor as executor_lib

__all__ = ["PeerService"]

_log = logbook.Logger("sidecar")

# Entry instances send a ping every 10 s when they have nothing else to send.
_PEER_IDLE_TIMEOUT = datetime.timedelta(seconds=25)
_BROADCAST_TIMEOUT = datetime.timedelta(seconds=1)


class PeerService:
    """Handles the messages of connected peers.

    Args:
        get_info: Returns the peer information that the sidecar publishes.
        store: Store of the active configuration.
        executor: Runs attempts at model requests.
        calls: Runs plain-service calls.
        bidder: Computes bids.
        scope_resolver: Resolves the cache scopes of requests.
        suspect_broadcaster: Exchanges facts about requests that crash engines.
        known_peers: Returns the addresses of known sidecars.
        fetch_pacer: Limits fetches of a newer configuration.
    """

    def __init__(
        self,
        get_info: Callable[[], messages.PeerInfo],
        store: store_lib.ConfigurationStore,
        executor: executor_lib.AttemptExecutor,
        calls: calls_lib.CallRunner,
        bidder: bidder_lib.Bidder,
        scope_resolver: cachescopes.CacheScopeResolver,
        suspect_broadcaster: suspectbroadcast.SuspectBroadcaster,
        known_peers: Callable[[], tuple[messages.PeerAddress, ...]],
        fetch_pacer: fetching.FetchPacer,
    ) -> None:
        self._get_info = get_info
        self._store = store
        self._executor = executor
        self._calls = calls
        self._bidder = bidder
        self._scope_resolver = scope_resolver
        self._suspect_broadcaster = suspect_broadcaster
        self._known_peers = known_peers
        self._fetch_pacer = fetch_pacer
        self._connections: set[connection_lib.PeerConnection] = set()

    @property
    def connection_count(self) -> int:
        """Number of connected peers."""
        return len(self._connections)

    @property
    def senders(self) -> Sequence[connection_lib.PeerConnection]:
        """Connections to which messages for all peers are sent."""
        return tuple(self._connections)

    async def serve(
        self,
        connection: connection_lib.PeerConnection,
        remote: handshake.Identity,
    ) -> None:
        """Handles the messages of one connection until it ends."""
        self._connections.add(connection)
        try:
            facts = self._suspect_broadcaster.table.facts()
            self._suspect_broadcaster.add(connection)
            await connection.send(
                messages.Hello(
                    self._get_info(),
                    suspects=messages.build_suspect_notice(facts),
                )
            )
            while True:
                async with asyncio.timeout(_PEER_IDLE_TIMEOUT.total_seconds()):
                    envelope = await connection.receive()
                fetch_since = self._fetch_pacer.next_fetch(envelope.revision)
                if fetch_since is not None:
                    await connection.send(messages.ConfigFetch(fetch_since))
                await self._handle(connection, envelope)
        except TimeoutError:
            # Attempts of a hung entry instance would otherwise keep running.
            _log.warning("peer_silent peer_id={}", remote.peer_id)
            connection.abort()
        finally:
            self._connections.discard(connection)
            self._suspect_broadcaster.discard(connection)
            self._executor.detach(connection)

    async def announce_leaving(self) -> None:
        """Tells all peers that this sidecar accepts no new work."""
        await self._broadcast(messages.Leaving(self._get_info().peer_id))

    async def announce_info(self) -> None:
        """Sends the current peer information to all peers."""
        await self._broadcast(messages.Hello(self._get_info()))

    async def _broadcast(self, message: messages.PeerMessage) -> None:
        await asyncio.gather(
            *(
                _send_best_effort(connection, message)
                for connection in self._connections
            )
        )

    async def _handle(
        self,
        connection: connection_lib.PeerConnection,
        envelope: codec.Envelope,
    ) -> None:
        message = envelope.message
        match message:
            case messages.Hello():
                await self._handle_hello(connection, message)
            case messages.BidRequest():
                await connection.send(self._evaluate_bid(message))
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
                await self._suspect_broadcaster.merge(message, connection)
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
                revisionexchange.check_digest(
                    self._store, message, connection.remote_address
                )
            case messages.ConfigFetch():
                await revisionexchange.send_state(
                    self._store, connection, message.revision
                )
            case messages.ConfigState():
                result = self._store.adopt(message.state, message.digest)
                refused = isinstance(result, store_lib.AdoptionRefused)
                self._fetch_pacer.note_fetch_result(refused)
            case _:
                return

    async def _handle_hello(
        self, connection: connection_lib.PeerConnection, hello: messages.Hello
    ) -> None:
        await self._suspect_broadcaster.merge(hello.suspects, connection)
        if hello.wants_peers:
            await connection.send(
                messages.Hello(self._get_info(), peers=self._known_peers())
            )

    async def _dispatch(
        self,
        connection: connection_lib.PeerConnection,
        dispatch: messages.Dispatch,
        revision: int,
    ) -> None:
        refusal = self._find_refusal(revision)
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
        refusal = self._find_refusal(revision)
        if refusal is None:
            self._calls.start(connection, call, revision)
            return
        await connection.send(failures.failed_message(call.attempt_id, refusal))

    def _find_refusal(self, revision: int) -> outcome.Refusal | None:
        if self._get_info().leaving:
            return outcome.Refusal(
                outcome.Reason.LEAVING, "the backend server is shutting down"
            )
        if revision < self._store.revision:
            return outcome.Refusal(
                outcome.Reason.STALE_REVISION,
                f"the sender's configuration revision {revision} is older "
                f"than the active revision {self._store.revision}",
            )
        return None

    def _evaluate_bid(
        self, bid_request: messages.BidRequest
    ) -> messages.BidReply:
        work = request.WorkItem(
            f"bid-{bid_request.bid_id}",
            bid_request.workspace,
            bid_request.caller,
            bid_request.rank,
            bid_request.model,
            bid_request.adapter,
            bid_request.levels,
            bid_request.prompt_tokens,
            bid_request.max_tokens,
            bid_request.suspect,
        )
        info = self._get_info()
        scope = self._scope_resolver.resolve(work)
        estimate = self._bidder.estimate_bid(work, scope.salt if scope else "")
        return messages.BidReply(
            bid_request.bid_id,
            estimate.cached_tokens,
            estimate.wait_s,
            estimate.prefill_s,
            estimate.load,
            outcome.Reason.LEAVING if info.leaving else estimate.refusal,
            info.leaving,
        )


async def _send_best_effort(
    connection: connection_lib.PeerConnection, message: messages.PeerMessage
) -> None:
    """Sends a message, ignoring a timeout or a lost connection."""
    try:
        async with asyncio.timeout(_BROADCAST_TIMEOUT.total_seconds()):
            await connection.send(message)
    except (TimeoutError, connection_lib.ConnectionLost):
        _log.info("notice_not_sent remote={}", connection.remote_address)
