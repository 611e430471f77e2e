"""Tests of invalid input at the peer port of a running sidecar."""

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
from tests import builders, httpclient, processes

_SECRET = processes.PEER_SECRET.encode()
_IDENTITY = handshake.Identity("stranger", "entry")
_CLOSE_TIMEOUT_S = 6.0
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
async def _connect(
    fleet: processes.Fleet,
) -> AsyncIterator[ws_client.ClientConnection]:
    port = fleet.peer_ports["sidecar-engine-1"]
    websocket = await ws_client.connect(
        f"ws://127.0.0.1:{port}", compression=None, max_size=None, proxy=None
    )
    try:
        yield websocket
    finally:
        # Closing a socket that the sidecar has reset fails in asyncio.
        if not websocket.transport.is_closing():
            await websocket.close()


async def _wait_closed(websocket: ws_client.ClientConnection) -> None:
    """Waits until the sidecar has closed the connection."""
    async with asyncio.timeout(_CLOSE_TIMEOUT_S):
        with contextlib.suppress(websockets.ConnectionClosed):
            while True:
                await websocket.recv()


async def _send_after_handshake(
    fleet: processes.Fleet, frame: bytes | str
) -> None:
    async with _connect(fleet) as websocket:
        peer = connection.PeerConnection(websocket, lambda: 0)
        await handshake.connect(peer, _IDENTITY, _SECRET)
        with contextlib.suppress(websockets.ConnectionClosed):
            await websocket.send(frame)
        await _wait_closed(websocket)


def _frame_case(frame: bytes | str) -> _Case:
    async def run(fleet: processes.Fleet) -> None:
        await _send_after_handshake(fleet, frame)

    return run


async def _wrong_secret(fleet: processes.Fleet) -> None:
    async with _connect(fleet) as websocket:
        peer = connection.PeerConnection(websocket, lambda: 0)
        with pytest.raises(handshake.HandshakeError):
            await handshake.connect(
                peer, _IDENTITY, b"another-secret-of-16-bytes"
            )
        await _wait_closed(websocket)


async def _wrong_proof(fleet: processes.Fleet) -> None:
    async with _connect(fleet) as websocket:
        peer = connection.PeerConnection(websocket, lambda: 0)
        await peer.send(messages.HandshakeStart("stranger", "entry", b"n" * 32))
        await peer.receive()
        await peer.send(messages.HandshakeProof(b"p" * 32))
        await _wait_closed(websocket)


async def _replayed_handshake(fleet: processes.Fleet) -> None:
    sent: list[bytes] = []
    async with _connect(fleet) as websocket:
        original = websocket.send

        async def record(frame: bytes) -> None:
            sent.append(frame)
            await original(frame)

        websocket.send = record  # type: ignore[assignment,method-assign]
        peer = connection.PeerConnection(websocket, lambda: 0)
        await handshake.connect(peer, _IDENTITY, _SECRET)
    async with _connect(fleet) as websocket:
        for frame in sent:
            await websocket.send(frame)
        await _wait_closed(websocket)


async def _no_handshake(fleet: processes.Fleet) -> None:
    async with _connect(fleet) as websocket:
        await websocket.send(codec.encode(messages.Ping(1), 0))
        await _wait_closed(websocket)


async def _send_nothing(fleet: processes.Fleet) -> None:
    async with _connect(fleet) as websocket:
        await _wait_closed(websocket)


async def _not_a_websocket(fleet: processes.Fleet) -> None:
    def send() -> bytes:
        port = fleet.peer_ports["sidecar-engine-1"]
        with socket.create_connection(("127.0.0.1", port), 5) as tcp_socket:
            tcp_socket.sendall(b"\x00\x01 this is not HTTP\r\n\r\n")
            return tcp_socket.recv(1000)

    assert b"101" not in await asyncio.to_thread(send)


def _dispatch_without_fields() -> bytes:
    return cbor2.dumps([1, 0, "dispatch", {"attempt_id": "a1"}])


_CASES: dict[str, _Case] = {
    "text_frame": _frame_case("hello"),
    "not_cbor": _frame_case(b"\xff\xff\xff"),
    "truncated": _frame_case(codec.encode(messages.Cancel("a1"), 0)[:-3]),
    "wrong_array": _frame_case(cbor2.dumps([1, 0, "ping"])),
    "not_an_array": _frame_case(cbor2.dumps({"type": "ping"})),
    "unknown_type": _frame_case(cbor2.dumps([1, 0, "nope", {}])),
    "missing_fields": _frame_case(_dispatch_without_fields()),
    "wrong_field_type": _frame_case(
        cbor2.dumps([1, 0, "ping", {"number": "x"}])
    ),
    "negative_number": _frame_case(cbor2.dumps([1, 0, "ping", {"number": -1}])),
    "huge_field": _frame_case(
        cbor2.dumps([1, 0, "cancel", {"attempt_id": "a" * 100_000}])
    ),
    "huge_revision": _frame_case(cbor2.dumps([1, "1", "ping", {"number": 1}])),
    "deeply_nested": _frame_case(b"\x81" * 100_000),
    "oversized_frame": _frame_case(b"\x00" * (codec.MAX_FRAME_BYTES + 1)),
    "wrong_secret": _wrong_secret,
    "wrong_proof": _wrong_proof,
    "replayed_handshake": _replayed_handshake,
    "no_handshake": _no_handshake,
    "silence": _send_nothing,
    "not_a_websocket": _not_a_websocket,
}


@pytest.mark.parametrize("name", _CASES)
async def test_invalid_input_closes_only_its_connection(
    fleet: processes.Fleet, name: str
) -> None:
    """Guards against unauthenticated access and effects on other peers."""
    await _CASES[name](fleet)
    sidecar = fleet.sidecars[0]
    assert sidecar.returncode is None
    assert processes.PEER_SECRET not in sidecar.log
    assert "Traceback" not in sidecar.log
    prompt = builders.chat_messages(name)
    async with httpclient.open_session() as session:
        response = await httpclient.send_chat(
            session,
            fleet.urls["entry-1"],
            fleet.keys["buyers"],
            prompt,
            max_tokens=2,
        )
    assert response.words == text.expected_words(prompt, 2), response
