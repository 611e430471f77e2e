"""Full mesh of connections over which gateways broadcast notices."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import functools
import secrets
from collections.abc import Iterable

import logbook
from websockets.asyncio import client as ws_client
from websockets.exceptions import WebSocketException

from hibiscusstile import logs, metrics, supervisor
from hibiscusstile.gateway import (
    allowances,
    configurationrelay,
    noticebatch,
    notices,
    noticeupdates,
)
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.peers import codec, handshake, messages, server
from hibiscusstile.peers import connection as connection_lib

__all__ = ["Mesh", "Peer"]

_log = logbook.Logger("mesh")

_ROLE = "gateway"
_SECRET_BYTES = 16
_OPEN_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 0.2
# Changes are batched for this long, unless one is urgent.
_NOTICE_INTERVAL_S = 0.2
# Bounds the rate of notices under load.
_MIN_NOTICE_INTERVAL = datetime.timedelta(milliseconds=10)
# A peer that blocks a send for this long is disconnected or frozen.
_SEND_TIMEOUT_S = 1.5
_MIN_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 8.0
_MAX_QUEUED_MESSAGES = 16
# Questions and answers about tokens leave the rest of the queue to notices.
_MAX_QUEUED_BEFORE_TOKENS = _MAX_QUEUED_MESSAGES // 2
_MAX_LOGGED_ERROR_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another gateway.

    Attributes:
        name: Name of its instance.
        address: Its peer address, as `ip:port`.
        secret: Secret that a connecting process must prove to know.
        zone: Its availability zone; empty if it does not tell.
    """

    name: str
    address: str
    secret: str
    zone: str = ""


class Mesh:
    """Exchanges notices with all other gateways.

    Each process sends its notices over the connections that it has opened,
    with one task for each peer. The secret of a peer is published in the
    platform's store, which only processes of the system can read.

    Args:
        name: Name of this instance.
        host: IP address to listen on.
        port: Port to listen on.
        state: State of this gateway process.
        notice_handler: Builds and applies notices.
        relay: Forwards the configuration to gateways that lack it.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        state: state_lib.GatewayState,
        notice_handler: notices.NoticeHandler,
        relay: configurationrelay.ConfigurationRelay,
    ) -> None:
        self._identity = handshake.Identity(name, _ROLE)
        self._host = host
        self._state = state
        self._notice_handler = notice_handler
        self._relay = relay
        self._secret = secrets.token_hex(_SECRET_BYTES)
        self._server = server.PeerServer(
            self._identity,
            host,
            port,
            self._secret.encode(),
            self._configuration_version,
            self._receive_messages,
        )
        self._connections = supervisor.Supervisor("links", state.clock)
        self._connections.add(
            supervisor.ChildSpec("broadcast", self._broadcast)
        )
        self._queues: dict[str, asyncio.Queue[codec.Frame]] = {}
        self._batch = noticebatch.NoticeBatch()
        self._peers: dict[str, Peer] = {}
        self._disconnected_since_s: dict[str, float] = {}
        state.allowances.connect(self._send_tokens, self._connected_peers)

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._identity.peer_id

    @property
    def secret(self) -> str:
        """Secret that processes must prove to know to connect here."""
        return self._secret

    @property
    def address(self) -> str:
        """Address that this process listens on, as `ip:port`."""
        return f"{self._host}:{self._server.port}"

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the other gateways."""
        return tuple(self._peers)

    def disconnected_for(self, seconds: float) -> list[str]:
        """Returns the peers that have been disconnected for this long."""
        latest_s = self._state.clock.monotonic() - seconds
        return [
            name
            for name, disconnected_s in self._disconnected_since_s.items()
            if disconnected_s <= latest_s
        ]

    async def wait_listening(self) -> None:
        """Waits until the port is open."""
        await self._server.wait_listening()

    async def run_server(self) -> None:
        """Accepts connections of other gateways until cancelled."""
        await self._server.run()

    async def run_connections(self) -> None:
        """Maintains the outgoing connections until cancelled."""
        await self._connections.run()

    async def set_peers(self, peers: dict[str, Peer]) -> None:
        """Replaces the set of peers to connect to."""
        for name in set(self._peers) - set(peers):
            await self._remove_peer(name)
        for name, peer in peers.items():
            current = self._peers.get(name)
            if current == peer:
                continue
            if current is not None:
                await self._remove_peer(name)
            self._peers[name] = peer
            self._disconnected_since_s[name] = self._state.clock.monotonic()
            self._queues[name] = asyncio.Queue(_MAX_QUEUED_MESSAGES)
            self._connections.add(
                supervisor.ChildSpec(
                    f"peer {name}",
                    functools.partial(self._maintain_connection, peer),
                )
            )

    async def _remove_peer(self, name: str) -> None:
        self._peers.pop(name, None)
        self._queues.pop(name, None)
        self._disconnected_since_s.pop(name, None)
        await self._connections.remove(f"peer {name}")

    async def _broadcast(self) -> None:
        """Queues notices and the configuration for all peers."""
        outbox = self._state.notices
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_NOTICE_INTERVAL_S):
                    await outbox.urgent.wait()
            notice = self._notice_handler.next_notice()
            self._send_notice(notice)
            for name, queue in self._queues.items():
                configuration = self._relay.offer(name)
                if configuration is not None:
                    _enqueue(queue, self._encode(configuration))
            if notice is None:
                continue
            await self._state.clock.sleep(_MIN_NOTICE_INTERVAL)

    def _send_notice(self, notice: messages.GatewayNotice | None) -> None:
        """Queues a notice for this zone at once, and for others in batches."""
        far_names = [
            name
            for name, peer in self._peers.items()
            if peer.zone not in ("", self._state.zone)
        ]
        if notice is not None:
            self._batch.add(notice)
            near_names = set(self._peers).difference(far_names)
            self._enqueue_for(near_names, notice)
        batched = self._batch.drain(
            len(far_names), self._state.clock.monotonic()
        )
        if batched is not None:
            self._enqueue_for(far_names, batched)

    def _connected_peers(self) -> list[allowances.Peer]:
        return [
            allowances.Peer(name, peer.zone == self._state.zone)
            for name, peer in self._peers.items()
            if name not in self._disconnected_since_s
        ]

    def _send_tokens(
        self, name: str, message: allowances.Ask | allowances.Grant
    ) -> None:
        """Queues a question or an answer, unless the queue is half full.

        A lost one costs tokens, while notices must not be dropped for it.
        """
        queue = self._queues.get(name)
        if queue is None or queue.qsize() >= _MAX_QUEUED_BEFORE_TOKENS:
            return
        if isinstance(message, allowances.Ask):
            frame = self._encode(
                messages.AllowanceAsk(
                    message.number, message.workspace, message.tokens
                )
            )
        else:
            frame = self._encode(
                messages.AllowanceGrant(
                    message.number,
                    message.workspace,
                    message.tokens,
                    message.left,
                )
            )
        if frame is not None:
            queue.put_nowait(frame)

    def _enqueue_for(
        self, names: Iterable[str], message: messages.PeerMessage
    ) -> None:
        """Encodes a message once and queues it for several gateways."""
        frame = self._encode(message)
        for name in names:
            _enqueue(self._queues[name], frame)

    def _encode(self, message: messages.PeerMessage) -> codec.Frame | None:
        """Returns a frame, or None if the message cannot be encoded.

        Such a message is lost; the task that sends all others goes on.
        """
        try:
            return codec.encode_frame(message, self._configuration_version())
        except codec.FrameError as error:
            metrics.count_dropped_message("sent")
            logs.warn(_log, "message_not_sent", error=str(error))
            return None

    async def _maintain_connection(self, peer: Peer) -> None:
        """Connects to one peer, reconnecting with exponential backoff."""
        delay_s = _MIN_RETRY_DELAY_S
        while True:
            started_s = self._state.clock.monotonic()
            try:
                await self._run_connection(peer)
            except (
                OSError,
                TimeoutError,
                WebSocketException,
                connection_lib.ConnectionLost,
                handshake.HandshakeError,
            ) as error:
                logs.event(_log, "peer_lost", peer=peer.name, error=repr(error))
            if self._state.clock.monotonic() - started_s > _MAX_RETRY_DELAY_S:
                delay_s = _MIN_RETRY_DELAY_S
            await self._state.clock.sleep(datetime.timedelta(seconds=delay_s))
            delay_s = min(_MAX_RETRY_DELAY_S, delay_s * 2)

    async def _run_connection(self, peer: Peer) -> None:
        async with ws_client.connect(
            f"ws://{peer.address}",
            max_size=codec.MAX_FRAME_BYTES,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            compression=None,
            ping_interval=None,
            proxy=None,
        ) as websocket:
            connection = connection_lib.PeerConnection(
                websocket, self._configuration_version
            )
            connection.enable_keepalive()
            await handshake.connect(
                connection, self._identity, peer.secret.encode()
            )
            logs.event(_log, "peer_connected", peer=peer.name)
            queue = self._queues[peer.name]
            self._disconnected_since_s.pop(peer.name, None)
            try:
                snapshot = self._encode(self._notice_handler.snapshot())
                if snapshot is not None:
                    await connection.send_frame(snapshot)
                while True:
                    frame = await queue.get()
                    async with asyncio.timeout(_SEND_TIMEOUT_S):
                        await connection.send_frame(frame)
            finally:
                if self._peers.get(peer.name) == peer:
                    now_s = self._state.clock.monotonic()
                    self._disconnected_since_s[peer.name] = now_s

    async def _receive_messages(
        self,
        connection: connection_lib.PeerConnection,
        remote_identity: handshake.Identity,
    ) -> None:
        connection.enable_keepalive()
        while True:
            envelope = await self._receive(connection, remote_identity.peer_id)
            self._relay.note_peer_version(
                remote_identity.peer_id, envelope.revision
            )
            if isinstance(envelope.message, messages.GatewayNotice):
                await self._apply_notice(
                    remote_identity.peer_id, envelope.message
                )
            elif isinstance(envelope.message, messages.GatewayConfiguration):
                self._relay.receive(remote_identity.peer_id, envelope.message)
            elif isinstance(envelope.message, messages.AllowanceAsk):
                ask = envelope.message
                self._state.allowances.receive_ask(
                    remote_identity.peer_id,
                    allowances.Ask(ask.number, ask.workspace, ask.tokens),
                )
            elif isinstance(envelope.message, messages.AllowanceGrant):
                grant = envelope.message
                self._state.allowances.receive_grant(
                    remote_identity.peer_id,
                    allowances.Grant(
                        grant.number, grant.workspace, grant.tokens, grant.left
                    ),
                )

    async def _receive(
        self, connection: connection_lib.PeerConnection, peer_id: str
    ) -> codec.Envelope:
        """Returns the next valid message, and drops those before it.

        A closed connection would bring the same message again in the snapshot
        that follows the next handshake.
        """
        while True:
            try:
                return await connection.receive()
            except codec.FrameError as error:
                metrics.count_dropped_message("received")
                text = str(error)[:_MAX_LOGGED_ERROR_CHARS]
                logs.warn(_log, "message_not_read", peer=peer_id, error=text)

    async def _apply_notice(
        self, peer_id: str, notice: messages.GatewayNotice
    ) -> None:
        """Applies a notice, one with many crashes in several steps."""
        first, *others = noticeupdates.split(notice)
        self._notice_handler.apply(peer_id, first)
        for part in others:
            async with self._state.crashing_parts.charging:
                self._notice_handler.apply(peer_id, part)
                await asyncio.sleep(0)

    def _configuration_version(self) -> int:
        table = self._state.table
        return table.version if table else 0


def _enqueue(
    queue: asyncio.Queue[codec.Frame], frame: codec.Frame | None
) -> None:
    if frame is None:
        return
    if queue.full():
        # Drops the oldest message, since newer notices matter more.
        queue.get_nowait()
    queue.put_nowait(frame)
