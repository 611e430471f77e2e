"""Measures the memory and processor time of connections between peers.

Run as `python -m bench.peer_slopes`. This process opens as many connections
as an entry instance would have, with the production link class. A child
process is the sidecar side of all of them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import multiprocessing.connection
import resource
import sys
import time

import uvloop

from hibiscusstile import clock as clock_lib
from hibiscusstile import request
from hibiscusstile.peers import client, codec, handshake, messages
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import server as server_lib

__all__ = ["main"]

_SECRET = b"slopes-secret-0123456789"
_LINK_COUNTS = (60, 120, 240)
_ROUNDS = 20
_TIMEOUT_S = 5.0
# Frame header (4), and TCP and IP headers with TCP timestamps (52).
_OVERHEAD_BYTES = 4 + 52


class _IgnoringObserver(client.LinkObserver):
    """Observer that ignores all notifications."""

    async def on_hello(
        self, link: client.SidecarLink, hello: messages.Hello
    ) -> None:
        """Ignores a hello."""

    async def on_message(
        self, link: client.SidecarLink, message: messages.PeerMessage
    ) -> None:
        """Ignores a message."""

    async def on_revision(
        self, link: client.SidecarLink, revision: int
    ) -> None:
        """Ignores a revision."""

    def on_reply(self, sent_s: float) -> None:
        """Ignores an answer."""


def main() -> int:
    """Prints a line for each number of links and, in the last line, JSON."""
    parser = argparse.ArgumentParser(prog="bench.peer_slopes")
    parser.add_argument("--rounds", type=int, default=_ROUNDS)
    rounds = parser.parse_args().rounds
    sizes = _frame_bytes()
    rows = [uvloop.run(_measure(count, rounds)) for count in _LINK_COUNTS]
    for row in rows:
        print("  ".join(f"{name}={value}" for name, value in row.items()))
    print(json.dumps({"wire_bytes": sizes, "links": rows}))
    return 0


def _frame_bytes() -> dict[str, int]:
    info = messages.PeerInfo(
        "sidecar-17", "inc-1", "sidecar", "10.1.2.3", 8200, "az-1", "south"
    )
    examples = [
        messages.Hello(info),
        _bid_request(1),
        messages.BidReply(1, 20_000, 0.25, 0.125, 300_000),
        messages.Ping(1),
        messages.Pong(1),
        messages.Chunk("att-0123456789ab", 100, " word"),
        messages.Ack("att-0123456789ab", 100),
    ]
    return {
        each.name: len(codec.encode(each, 800)) + _OVERHEAD_BYTES
        for each in examples
    }


def _bid_request(number: int) -> messages.BidRequest:
    levels = tuple(
        request.PrefixLevel(2**63 + level, 4096 * level)
        for level in range(1, 6)
    )
    return messages.BidRequest(
        number,
        "workspace-17",
        "caller-23",
        "urgent",
        "model-4",
        "",
        levels,
        20_480,
        256,
    )


async def _measure(count: int, rounds: int) -> dict[str, float]:
    parent_pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    child = context.Process(target=_serve, args=(child_pipe,), daemon=True)
    child.start()
    port = await asyncio.to_thread(parent_pipe.recv)
    before = _resident_bytes()
    links = [_build_link(port) for _ in range(count)]
    tasks = [asyncio.ensure_future(link.run()) for link in links]
    await asyncio.gather(*(link.wait_ready() for link in links))
    memory = _resident_bytes() - before
    try:
        ping = await _measure_processor_us(
            parent_pipe, links, rounds, _probe_ping
        )
        bid = await _measure_processor_us(
            parent_pipe, links, rounds, _probe_bid
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        parent_pipe.send("stop")
        child.join(_TIMEOUT_S)
    return {
        "links": count,
        "bytes_a_link": round(memory / count),
        "ping_us": ping[0],
        "pong_us": ping[1],
        "bid_us": bid[0],
        "bid_reply_us": bid[1],
    }


def _build_link(port: int) -> client.SidecarLink:
    info = messages.PeerInfo(
        "entry-1", "inc-1", "entry", "", 0, "az-1", "south"
    )
    return client.SidecarLink(
        handshake.Identity("entry-1", "entry"),
        "127.0.0.1",
        port,
        _SECRET,
        clock_lib.SystemClock(),
        lambda: 800,
        lambda: messages.Hello(info),
        _IgnoringObserver(),
    )


async def _probe_ping(link: client.SidecarLink) -> None:
    if not await link.probe(_TIMEOUT_S):
        raise TimeoutError("no pong before the timeout")


async def _probe_bid(link: client.SidecarLink) -> None:
    if (
        await link.request_bid(
            _bid_request(link.next_request_number()), _TIMEOUT_S
        )
        is None
    ):
        raise TimeoutError("no bid reply before the timeout")


async def _measure_processor_us(
    child: multiprocessing.connection.Connection,
    links: list[client.SidecarLink],
    rounds: int,
    exchange: object,
) -> tuple[float, float]:
    """Returns processor time per exchange in microseconds: client, server."""
    child.send("time")
    server_s = await asyncio.to_thread(child.recv)
    client_s = time.process_time()
    for _ in range(rounds):
        for link in links:
            await exchange(link)  # type: ignore[operator]
    client_s = time.process_time() - client_s
    child.send("time")
    server_s = await asyncio.to_thread(child.recv) - server_s
    exchanges = rounds * len(links)
    return (
        round(client_s / exchanges * 1e6, 1),
        round(server_s / exchanges * 1e6, 1),
    )


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


def _serve(pipe: multiprocessing.connection.Connection) -> None:
    uvloop.run(_serve_until_stopped(pipe))


async def _serve_until_stopped(
    pipe: multiprocessing.connection.Connection,
) -> None:
    server = server_lib.PeerServer(
        handshake.Identity("sidecar-1", "sidecar"),
        "127.0.0.1",
        0,
        _SECRET,
        lambda: 800,
        _serve_connection,
    )
    task = asyncio.ensure_future(server.run())
    await server.wait_listening()
    pipe.send(server.port)
    while await asyncio.to_thread(pipe.recv) != "stop":
        pipe.send(time.process_time())
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _serve_connection(
    connection: connection_lib.PeerConnection, identity: handshake.Identity
) -> None:
    del identity
    info = messages.PeerInfo(
        "sidecar-1", "inc-1", "sidecar", "127.0.0.1", 1, "az-1", "south"
    )
    await connection.send(messages.Hello(info))
    while True:
        message = (await connection.receive()).message
        if isinstance(message, messages.Ping):
            await connection.send(messages.Pong(message.number))
        elif isinstance(message, messages.BidRequest):
            await connection.send(
                messages.BidReply(message.bid_id, 20_000, 0.25, 0.125, 300_000)
            )


if __name__ == "__main__":
    sys.exit(main())
