"""Client of the peer protocol: an entry's connection to one sidecar."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import itertools
import random
from collections.abc import Callable
from typing import Protocol

import logbook
import websockets
from websockets.asyncio import client as ws_client

from hibiscusstile import clock as clock_lib
from hibiscusstile.peers import attemptchannel, codec, handshake, messages
from hibiscusstile.peers import connection as connection_lib

__all__ = ["LinkObserver", "SidecarLink"]

_log = logbook.Logger("peers")

_CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
_CLOSE_TIMEOUT = datetime.timedelta(seconds=1)
_SEND_TIMEOUT = datetime.timedelta(seconds=1)
_PING_INTERVAL_S = 10.0
_PONG_TIMEOUT = datetime.timedelta(seconds=1.5)
_MIN_BACKOFF = datetime.timedelta(milliseconds=100)
_MAX_BACKOFF = datetime.timedelta(seconds=1)
_MAX_RECEIVE_QUEUE_FRAMES = 64
_WRITE_BUFFER_BYTES = 256 * 1024
_TIMEOUTS_UNTIL_UNREACHABLE = 2


class LinkObserver(Protocol):
    """Receives everything from a link except replies to its requests."""

    async def on_hello(self, link: SidecarLink, hello: messages.Hello) -> None:
        """Handles a sidecar's hello."""

    async def on_message(
        self, link: SidecarLink, message: messages.PeerMessage
    ) -> None:
        """Handles a message of any other type."""

    async def on_revision(self, link: SidecarLink, revision: int) -> None:
        """Handles a revision that is newer than the local one."""

    def on_reply(self, sent_s: float) -> None:
        """Notes a reply to a request sent at this monotonic time."""


class SidecarLink:
    """An entry's connection to one sidecar, reopened whenever it is lost.

    Args:
        identity: Identity of this process.
        host: The sidecar's IP address.
        port: The sidecar's peer port.
        secret: Secret shared by all peers.
        clock: Source of the time and of delays.
        get_revision: Returns the local configuration revision.
        build_hello: Returns the hello message of this process.
        observer: Receives hellos and other messages.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        host: str,
        port: int,
        secret: bytes,
        clock: clock_lib.Clock,
        get_revision: Callable[[], int],
        build_hello: Callable[[], messages.Hello],
        observer: LinkObserver,
    ) -> None:
        self._identity = identity
        self._host = host
        self._port = port
        self._secret = secret
        self._clock = clock
        self._get_revision = get_revision
        self._build_hello = build_hello
        self._observer = observer
        self._peer_info: messages.PeerInfo | None = None
        self._connection: connection_lib.PeerConnection | None = None
        self._channels: dict[str, attemptchannel.AttemptChannel] = {}
        self._pending_replies: dict[
            int, asyncio.Future[messages.PeerMessage]
        ] = {}
        self._request_sent_s: dict[int, float] = {}
        self._request_numbers = itertools.count(1)
        self._consecutive_timeouts = 0
        self._load = 0
        self._load_received_s = 0.0
        self._last_sent_s = 0.0
        self._ready = asyncio.Event()

    @property
    def address(self) -> str:
        """The sidecar's address, `host:port`."""
        return f"{self._host}:{self._port}"

    @property
    def info(self) -> messages.PeerInfo | None:
        """The sidecar's latest description of itself."""
        return self._peer_info

    @property
    def peer_id(self) -> str:
        """The sidecar's peer id, empty before its first hello."""
        return self._peer_info.peer_id if self._peer_info else ""

    @property
    def usable(self) -> bool:
        """Whether the sidecar may receive new requests."""
        return (
            self._connection is not None
            and self._peer_info is not None
            and not self._peer_info.leaving
            and self._consecutive_timeouts < _TIMEOUTS_UNTIL_UNREACHABLE
        )

    @property
    def connected(self) -> bool:
        """Whether there is an open connection."""
        return self._connection is not None

    @property
    def load(self) -> int:
        """Running and queued tokens, as last reported by the sidecar."""
        return self._load

    @property
    def load_age_s(self) -> float:
        """Seconds since `load` was reported."""
        return self._clock.monotonic() - self._load_received_s

    def mark_unresponsive(self) -> None:
        """Makes the link unusable until the sidecar sends a message."""
        self._consecutive_timeouts = _TIMEOUTS_UNTIL_UNREACHABLE

    def mark_leaving(self) -> None:
        """Marks the sidecar as leaving, so that it gets no new requests."""
        if self._peer_info is not None:
            self._peer_info = dataclasses.replace(self._peer_info, leaving=True)

    async def wait_ready(self) -> None:
        """Waits for an open connection and the sidecar's hello."""
        await self._ready.wait()

    async def run(self) -> None:
        """Connects and reads messages, reconnecting until cancelled."""
        backoff_s = _MIN_BACKOFF.total_seconds()
        while True:
            started_s = self._clock.monotonic()
            try:
                await self._run_connection()
            except (
                OSError,
                TimeoutError,
                websockets.WebSocketException,
                connection_lib.ConnectionLost,
                handshake.HandshakeError,
                codec.FrameError,
            ) as error:
                _log.info(
                    "peer_link_down address={} error={!r}", self.address, error
                )
            if self._clock.monotonic() - started_s > backoff_s:
                backoff_s = _MIN_BACKOFF.total_seconds()
            wait_s = backoff_s * random.uniform(0.5, 1.5)
            await self._clock.sleep(datetime.timedelta(seconds=wait_s))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF.total_seconds())

    async def send(self, message: messages.PeerMessage) -> None:
        """Sends a message.

        A frozen peer stops reading, and a long message then blocks on the
        full send buffer. The connection is dropped after a timeout, so that
        no caller waits for such a peer.

        Raises:
            ConnectionLost: There is no open connection.
        """
        connection = self._connection
        if connection is None:
            raise connection_lib.ConnectionLost("not connected")
        self._last_sent_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(_SEND_TIMEOUT.total_seconds()):
                await connection.send(message)
        except TimeoutError:
            connection.abort()
            raise connection_lib.ConnectionLost("sending timed out") from None

    async def request_bid(
        self, bid_request: messages.BidRequest, timeout_s: float
    ) -> messages.BidReply | None:
        """Requests a bid; returns None when no reply arrives in time."""
        reply = await self._request_reply(
            bid_request, bid_request.bid_id, timeout_s
        )
        if not isinstance(reply, messages.BidReply):
            return None
        self._load = reply.load
        self._load_received_s = self._clock.monotonic()
        return reply

    async def probe(self, timeout_s: float) -> bool:
        """Sends a ping; returns False when no reply arrives in time."""
        number = self.next_request_number()
        reply = await self._request_reply(
            messages.Ping(number), number, timeout_s
        )
        return reply is not None

    def next_request_number(self) -> int:
        """Returns a request number that is unique on this link."""
        return next(self._request_numbers)

    def open_channel(self, attempt_id: str) -> attemptchannel.AttemptChannel:
        """Returns a channel that receives the attempt's messages."""
        channel = attemptchannel.AttemptChannel(attempt_id)
        self._channels[attempt_id] = channel
        return channel

    def close_channel(self, attempt_id: str) -> None:
        """Discards any further messages of an attempt."""
        self._channels.pop(attempt_id, None)

    async def _request_reply(
        self, message: messages.PeerMessage, number: int, timeout_s: float
    ) -> messages.PeerMessage | None:
        future: asyncio.Future[messages.PeerMessage] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[number] = future
        self._request_sent_s[number] = self._clock.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(message)
                reply = await future
        except TimeoutError:
            await self._note_timeout()
            return None
        except connection_lib.ConnectionLost:
            return None
        finally:
            del self._pending_replies[number]
            del self._request_sent_s[number]
        self._consecutive_timeouts = 0
        return reply

    async def _note_timeout(self) -> None:
        """Counts a request without a reply.

        At the limit, the peer gets a ping: no further requests are sent to
        it, and its reply shows that it has recovered.
        """
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts == _TIMEOUTS_UNTIL_UNREACHABLE:
            _log.warning("peer_unreachable address={}", self.address)
            with contextlib.suppress(connection_lib.ConnectionLost):
                await self.send(messages.Ping(self.next_request_number()))

    async def _run_connection(self) -> None:
        async with ws_client.connect(
            f"ws://{self._host}:{self._port}",
            max_size=codec.MAX_FRAME_BYTES,
            max_queue=_MAX_RECEIVE_QUEUE_FRAMES,
            write_limit=_WRITE_BUFFER_BYTES,
            open_timeout=_CONNECT_TIMEOUT.total_seconds(),
            close_timeout=_CLOSE_TIMEOUT.total_seconds(),
            compression=None,
            ping_interval=None,
            proxy=None,
        ) as websocket:
            connection = connection_lib.PeerConnection(
                websocket, self._get_revision
            )
            await handshake.connect(connection, self._identity, self._secret)
            await connection.send(self._build_hello())
            try:
                await self._read_messages(connection)
            finally:
                self._clear_connection()

    async def _read_messages(
        self, connection: connection_lib.PeerConnection
    ) -> None:
        while True:
            try:
                async with asyncio.timeout(_PING_INTERVAL_S):
                    envelope = await connection.receive()
            except TimeoutError:
                await self._send_ping(connection)
                async with asyncio.timeout(_PONG_TIMEOUT.total_seconds()):
                    envelope = await connection.receive()
            self._consecutive_timeouts = 0
            if self._clock.monotonic() - self._last_sent_s > _PING_INTERVAL_S:
                await self._send_ping(connection)
            if isinstance(envelope.message, messages.Hello):
                # Set first: the observer may fetch a revision over this link.
                self._connection = connection
            if envelope.revision > self._get_revision():
                await self._observer.on_revision(self, envelope.revision)
            await self._handle_message(envelope.message)

    async def _send_ping(
        self, connection: connection_lib.PeerConnection
    ) -> None:
        """Sends a ping that both keeps the connection alive and checks it."""
        self._last_sent_s = self._clock.monotonic()
        await connection.send(messages.Ping(self.next_request_number()))

    async def _handle_message(self, message: messages.PeerMessage) -> None:
        if isinstance(message, messages.Hello):
            self._peer_info = message.info
            await self._observer.on_hello(self, message)
            self._ready.set()
        elif isinstance(message, messages.BidReply):
            self._resolve_reply(message.bid_id, message)
        elif isinstance(message, messages.Pong):
            self._resolve_reply(message.number, message)
        elif (attempt_id := getattr(message, "attempt_id", None)) is not None:
            channel = self._channels.get(attempt_id)
            if channel is not None and not channel.deliver(message):
                raise codec.FrameError(
                    "attempt exceeds its flow-control window"
                )
        else:
            await self._observer.on_message(self, message)

    def _resolve_reply(
        self, number: int, message: messages.PeerMessage
    ) -> None:
        future = self._pending_replies.get(number)
        if future is not None and not future.done():
            self._observer.on_reply(self._request_sent_s[number])
            future.set_result(message)

    def _clear_connection(self) -> None:
        self._connection = None
        self._ready.clear()
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            channel.deliver(None)
