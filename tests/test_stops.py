"""Tests of requests that reach a process while it stops."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
from typing import Any

from websockets.asyncio import client as ws_client

from hibiscusstile import outcome
from hibiscusstile.peers import connection, handshake, messages
from soak import channel
from tests import builders, httpclient, processes

_BALANCER_DELAY_S = 0.5
_STOP = {"balancer_delay_s": _BALANCER_DELAY_S, "deadline_s": 3.0}
_SLOW_ENGINE = ("--step", "0.02")
_TIMEOUT_S = 15.0
# The slow engine makes 50 tokens in a second.
_TOKENS_WITHIN_STOP = 150
_TOKENS_BEYOND_STOP = 250
_CROSSING_S = 0.05


async def _send_chat(
    caller: channel.Channel,
    fleet: processes.Fleet,
    max_tokens: int,
    pause_s: float = 0.0,
) -> channel.Answer:
    """Sends a streamed chat; half of its body follows after a pause."""
    body = {
        "model": "m1",
        "messages": builders.chat_messages(),
        "stream": True,
        "max_tokens": max_tokens,
    }
    data = json.dumps(body).encode()
    return await caller.request(
        "/v1/chat/completions",
        {"Host": "test", **httpclient.auth_headers(fleet.keys["buyers"])},
        [
            channel.BodyPart(data[:20]),
            channel.BodyPart(data[20:], pause_s),
        ],
        chunked=False,
        timeout_s=_TIMEOUT_S,
    )


async def _open(fleet: processes.Fleet) -> channel.Channel:
    return await channel.Channel.open(
        fleet.urls["entry-1"].removeprefix("http://")
    )


def _slow_fleet(tmp_path: pathlib.Path) -> Any:
    return processes.process_fleet(
        tmp_path,
        entries=1,
        engines=1,
        services=0,
        engine_arguments=_SLOW_ENGINE,
        entry_settings={"stop": _STOP},
    )


async def test_an_entry_takes_no_request_that_its_stop_would_cut(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests on kept connections that a stop cuts."""
    async with _slow_fleet(tmp_path) as fleet:
        kept, busy = await _open(fleet), await _open(fleet)
        first = await _send_chat(kept, fleet, max_tokens=1)
        stream = asyncio.ensure_future(
            _send_chat(busy, fleet, max_tokens=_TOKENS_WITHIN_STOP)
        )
        await asyncio.sleep(0.2)
        fleet.entries[0].terminate()
        await asyncio.sleep(_BALANCER_DELAY_S + 1.0)
        late = None
        if not kept.closed:
            late = await _send_chat(kept, fleet, max_tokens=_TOKENS_BEYOND_STOP)
        answer = await stream
        kept.close()
        busy.close()
    assert first.keeps_connection
    assert answer.body is not None and b"[DONE]" in answer.body
    assert late is None or (late.status == 503 and late.body is not None)


async def test_a_body_that_arrives_during_a_stop_is_answered(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stop that takes a request being read for no request."""
    async with _slow_fleet(tmp_path) as fleet:
        caller = await _open(fleet)
        sending = asyncio.ensure_future(
            _send_chat(caller, fleet, 2, pause_s=_BALANCER_DELAY_S + 1.0)
        )
        await asyncio.sleep(0.2)
        fleet.entries[0].terminate()
        answer = await sending
        caller.close()
    assert answer.status == 200
    assert answer.body is not None and b"[DONE]" in answer.body


async def test_a_sidecar_refuses_calls_that_cross_its_notice_of_leaving(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against calls that did not run but end without saying so."""
    async with processes.process_fleet(
        tmp_path, entries=1, engines=0, services=1
    ) as fleet:
        port = fleet.peer_ports["sidecar-service-1"]
        async with ws_client.connect(
            f"ws://127.0.0.1:{port}", compression=None, proxy=None
        ) as websocket:
            peer = connection.PeerConnection(websocket, lambda: 0)
            await handshake.connect(
                peer,
                handshake.Identity("entry-1", "entry"),
                processes.PEER_SECRET.encode(),
            )
            await _receive(peer, messages.Hello)
            fleet.sidecars[0].terminate()
            await _receive(peer, messages.Leaving)
            await asyncio.sleep(_CROSSING_S)
            failed = None
            with contextlib.suppress(connection.ConnectionLost):
                await peer.send(_call())
                failed = await _receive(peer, messages.Failed)
    assert failed is not None
    assert failed.verdict is outcome.Verdict.NOT_RUN


async def _receive(peer: connection.PeerConnection, kind: type[Any]) -> Any:
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            envelope = await peer.receive()
            if isinstance(envelope.message, kind):
                return envelope.message


def _call() -> messages.Call:
    return messages.Call(
        "attempt-1",
        "buyers",
        "caller-1",
        "routine",
        builders.service_call(None),
        5.0,
    )
