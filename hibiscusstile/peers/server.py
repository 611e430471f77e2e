"""Server of the peer protocol."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Awaitable, Callable

import logbook
from websockets.asyncio import server as ws_server

from hibiscusstile import metrics
from hibiscusstile.peers import codec, handshake
from hibiscusstile.peers import connection as connection_lib

__all__ = ["ConnectionHandler", "PeerServer"]

_log = logbook.Logger("peers")

_OPEN_TIMEOUT = datetime.timedelta(seconds=3)
_CLOSE_TIMEOUT = datetime.timedelta(seconds=1)
_MAX_CONNECTIONS = 1000
_MAX_RECEIVE_QUEUE_FRAMES = 32
_WRITE_BUFFER_BYTES = 256 * 1024

ConnectionHandler = Callable[
    [connection_lib.PeerConnection, handshake.Identity], Awaitable[None]
]


class PeerServer:
    """Accepts peers and runs a handler for each connection in its own task.

    Args:
        identity: Identity of this process.
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        secret: Secret that peers must prove to know.
        get_revision: Returns the local configuration revision.
        handler: Serves a connection after its handshake.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        host: str,
        port: int,
        secret: bytes,
        get_revision: Callable[[], int],
        handler: ConnectionHandler,
    ) -> None:
        self._identity = identity
        self._host = host
        self._port = port
        self._secret = secret
        self._get_revision = get_revision
        self._handler = handler
        self._listening = asyncio.Event()
        self._connection_count = 0

    @property
    def port(self) -> int:
        """The listening port, known once `wait_listening` returns."""
        return self._port

    async def wait_listening(self) -> None:
        """Waits until the port is open."""
        await self._listening.wait()

    async def run(self) -> None:
        """Serves until cancelled."""
        async with ws_server.serve(
            self._serve_connection,
            self._host,
            self._port,
            max_size=codec.MAX_FRAME_BYTES,
            max_queue=_MAX_RECEIVE_QUEUE_FRAMES,
            write_limit=_WRITE_BUFFER_BYTES,
            compression=None,
            ping_interval=None,
            open_timeout=_OPEN_TIMEOUT.total_seconds(),
            close_timeout=_CLOSE_TIMEOUT.total_seconds(),
        ) as server:
            self._port = server.sockets[0].getsockname()[1]
            self._listening.set()
            await asyncio.get_running_loop().create_future()

    async def _serve_connection(
        self, websocket: ws_server.ServerConnection
    ) -> None:
        connection = connection_lib.PeerConnection(
            websocket, self._get_revision
        )
        if self._connection_count >= _MAX_CONNECTIONS:
            await connection.close("too many connections")
            return
        self._connection_count += 1
        try:
            remote_identity = await handshake.accept(
                connection, self._identity, self._secret
            )
            await self._handler(connection, remote_identity)
        except (handshake.HandshakeError, TimeoutError) as error:
            metrics.count_peer_rejection("handshake")
            _log.warning(
                "peer_rejected remote={} error={!r}",
                connection.remote_address,
                error,
            )
            await connection.close("handshake failed")
        except codec.FrameError as error:
            metrics.count_peer_rejection("frame")
            _log.warning(
                "peer_frame_refused remote={} error={}",
                connection.remote_address,
                error,
            )
            await connection.close("malformed frame")
        except connection_lib.ConnectionLost as error:
            _log.debug(
                "peer_lost remote={} error={}", connection.remote_address, error
            )
        finally:
            self._connection_count -= 1
