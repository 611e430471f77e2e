"""Tests of bad input at the peers' port of a running sidecar."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import cbor2
import pytest
import pytest_asyncio
import websockets
from websockets.asyncio import client as ws_client

from hibiscusstile.peers import codec, connection, handshake, messages
from hibiscusstile_standins import text
from tests import builders, callers, processes

_SECRET = processes.PEER_SECRET.encode()
_ME = handshake.Identity("stranger", "entry")
_CLOSED_S = 6.0
_Case = Callable[[processes.Fleet], Awaitable[None]]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[processes.Fleet]:
    folder: pathlib.Path = tmp_path_factory.mktemp("bad_peers")
    async with processes.process_fleet(
        folder, entries=1, engines=1, services=0
    ) as running:
        yield running


@contextlib.asynccontextmanager
async def _socket(
    fleet: processes.Fleet,
) -> AsyncIterator[ws_client.ClientConnection]:
    port = fleet.peer_ports["sidecar-engine-1"]
    open_socket = await ws_client.connect(
        f"ws://127.0.0.1:{port}", compression=None, max_size=None, proxy=None
    )
    try:
        yield open_socket
    finally:
        # Closing a socket that the sidecar has reset fails in asyncio.
        if not open_socket.transport.is_closing():
            await open_socket.close()


async def _wait_closed(open_socket: ws_client.ClientConnection) -> None:
    """Passes once the sidecar has closed the connection."""
    async with asyncio.timeout(_CLOSED_S):
        with contextlib.suppress(websockets.ConnectionClosed):
            while True:
                await open_socket.recv()


async def _after_handshake(fleet: processes.Fleet, frame: bytes | str) -> None:
    async with _socket(fleet) as open_socket:
        peer = connection.PeerConnection(open_socket, lambda: 0)
        await handshake.connect(peer, _ME, _SECRET)
        with contextlib.suppress(websockets.ConnectionClosed):
            await open_socket.send(frame)
        await _wait_closed(open_socket)


def _frame(frame: bytes | str) -> _Case:
    async def run(fleet: processes.Fleet) -> None:
        await _after_handshake(fleet, frame)

    return run


async def _wrong_secret(fleet: processes.Fleet) -> None:
    async with _socket(fleet) as open_socket:
        peer = connection.PeerConnection(open_socket, lambda: 0)
        with pytest.raises(handshake.HandshakeError):
            await handshake.connect(peer, _ME, b"another-secret-of-16-bytes")
        await _wait_closed(open_socket)


async def _wrong_proof(fleet: processes.Fleet) -> None:
    async with _socket(fleet) as open_socket:
        peer = connection.PeerConnection(open_socket, lambda: 0)
        await peer.send(messages.HandshakeStart("stranger", "entry", b"n" * 32))
        await peer.receive()
        await peer.send(messages.HandshakeProof(b"p" * 32))
        await _wait_closed(open_socket)


async def _replayed_handshake(fleet: processes.Fleet) -> None:
    sent: list[bytes] = []
    async with _socket(fleet) as open_socket:
        original = open_socket.send

        async def record(frame: bytes) -> None:
            sent.append(frame)
            await original(frame)

        open_socket.send = record  # type: ignore[assignment,method-assign]
        peer = connection.PeerConnection(open_socket, lambda: 0)
        await handshake.connect(peer, _ME, _SECRET)
    async with _socket(fleet) as open_socket:
        for frame in sent:
            await open_socket.send(frame)
        await _wait_closed(open_socket)


async def _no_handshake(fleet: processes.Fleet) -> None:
    async with _socket(fleet) as open_socket:
        await open_socket.send(codec.encode(messages.Ping(1), 0))
        await _wait_closed(open_socket)


async def _silence(fleet: processes.Fleet) -> None:
    async with _socket(fleet) as open_socket:
        await _wait_closed(open_socket)


async def _not_a_websocket(fleet: processes.Fleet) -> None:
    def send() -> bytes:
        port = fleet.peer_ports["sidecar-engine-1"]
        with socket.create_connection(("127.0.0.1", port), 5) as raw:
            raw.sendall(b"\x00\x01 this is not HTTP\r\n\r\n")
            return raw.recv(1000)

    assert b"101" not in await asyncio.to_thread(send)


def _dispatch_without_fields() -> bytes:
    return cbor2.dumps([1, 0, "dispatch", {"attempt_id": "a1"}])


_CASES: dict[str, _Case] = {
    "text_frame": _frame("hello"),
    "not_cbor": _frame(b"\xff\xff\xff"),
    "truncated": _frame(codec.encode(messages.Cancel("a1"), 0)[:-3]),
    "wrong_array": _frame(cbor2.dumps([1, 0, "ping"])),
    "not_an_array": _frame(cbor2.dumps({"type": "ping"})),
    "unknown_type": _frame(cbor2.dumps([1, 0, "nope", {}])),
    "missing_fields": _frame(_dispatch_without_fields()),
    "wrong_field_type": _frame(cbor2.dumps([1, 0, "ping", {"number": "x"}])),
    "negative_number": _frame(cbor2.dumps([1, 0, "ping", {"number": -1}])),
    "huge_field": _frame(
        cbor2.dumps([1, 0, "cancel", {"attempt_id": "a" * 100_000}])
    ),
    "huge_revision": _frame(cbor2.dumps([1, "1", "ping", {"number": 1}])),
    "deeply_nested": _frame(b"\x81" * 100_000),
    "oversized_frame": _frame(b"\x00" * (codec.MAX_FRAME_BYTES + 1)),
    "wrong_secret": _wrong_secret,
    "wrong_proof": _wrong_proof,
    "replayed_handshake": _replayed_handshake,
    "no_handshake": _no_handshake,
    "silence": _silence,
    "not_a_websocket": _not_a_websocket,
}


@pytest.mark.parametrize("name", _CASES)
async def test_bad_frames_end_only_their_connection(
    fleet: processes.Fleet, name: str
) -> None:
    """Guards against strangers getting in, and one peer stopping others."""
    await _CASES[name](fleet)
    sidecar = fleet.sidecars[0]
    assert sidecar.returncode is None
    assert processes.PEER_SECRET not in sidecar.log
    assert "Traceback" not in sidecar.log
    messages_sent = builders.chat_messages(name)
    async with callers.open_session() as session:
        answer = await callers.send_chat(
            session,
            fleet.urls["entry-1"],
            fleet.keys["buyers"],
            messages_sent,
            max_tokens=2,
        )
    assert answer.words == text.expected_words(messages_sent, 2), answer
