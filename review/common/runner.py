"""Runner stand-in for the review's scripts.

Speaks the runner's side of PROTOCOL.md over HTTP/1.1 and writes one JSON line
to standard output for each thing that happens. The first line is the port.
`POST /review-control` with a JSON object changes the options while it runs.

It is a sound runner: it checks `X-Expect-Instance`, runs a request once,
answers with its digest, and keeps prompt parts by salt, as the pages say.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import sys
import time
from typing import Any

_PREFILL_TOKENS_PER_S = 50_700.0
_EVENT_STREAM = "text/event-stream"

Headers = dict[str, str]


def _log(what: str, **fields: Any) -> None:
    line = {"t": time.monotonic(), "what": what, **fields}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


class Runner:
    """One runner; its options are described where they are used.

    Args:
        options: Name, kind and behaviour.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.id: str = options["id"]
        # Weights version of a model runner.
        self.version = 1
        # Seconds of work of a plain request, and between two events.
        self.work_s: float = options.get("work_s", 0.03)
        self.events: int = options.get("events", 6)
        self.pace_s: float = options.get("pace_s", 0.02)
        # Output tokens of one event; 0 for streams of `events` events.
        self.event_tokens: int = options.get("event_tokens", 0)
        # Prompt part on which the process crashes as it begins to answer.
        self.crash_part: str = options.get("crash_part", "")
        # Whether answers say that the runner leaves.
        self.leaving: bool = options.get("leaving", False)
        self.running = 0
        self.orders = 0
        # Kept prompt parts: by salt and the chain of ids, the tenant that
        # made each.
        self.kept: dict[tuple[str, tuple[str, ...]], str] = {}

    async def serve(self, host: str, port: int) -> None:
        """Serves until the process is ended."""
        server = await asyncio.start_server(self._connection, host, port)
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, ValueError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines[1:] if line
                    )
                }
                body = await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                await self._answer(writer, method, target, headers, body)
                await writer.drain()
        writer.close()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        if target == "/review-control":
            for name, value in json.loads(body).items():
                setattr(self, name, value)
            self._send(writer, 200, {}, b"{}")
        elif target == "/v1/report":
            self._send(writer, 200, {}, json.dumps(self._report()).encode())
        elif target == "/v1/order":
            self._send(writer, self._order(json.loads(body)), {}, b"")
        elif target.startswith("/v1/"):
            self._send(writer, 404, {}, b"")
        else:
            await self._request(writer, method, target, headers, body)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": [{"name": "m1", "version": self.version, "adapters": []}],
            "busy": False,
            "sequence": self.orders,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 162_770,
            "handles": 0,
        }

    def _order(self, order: dict[str, Any]) -> int:
        if order.get("expect", self.orders) != self.orders:
            return 409
        if order.get("version") == self.version:
            return 200
        self.orders += 1
        self.version = order["version"]
        self.kept.clear()
        return 202

    async def _request(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.id)
        version = headers.get("x-expect-version", str(self.version))
        about = {
            "request": request_id,
            "runner": self.id,
            "sender": writer.get_extra_info("peername")[0],
            "target": target,
        }
        own = {"X-Request-Id": request_id, "X-Instance-Id": self.id}
        if expected != self.id or version != str(self.version):
            _log("rejected", **about, status=421)
            self._send(writer, 421, own, b"")
            return
        _log("arrived", **about, method=method, leaving=self.leaving)
        digest = hashlib.sha256(f"{self.id} {request_id}".encode()).hexdigest()
        own["X-Response-Stamp"] = digest[:16]
        self.running += 1
        try:
            if "x-model" in headers:
                await self._stream(writer, headers, about, own)
            else:
                await asyncio.sleep(self.work_s)
                answer = f"{self.id} has done {request_id}".encode()
                self._send(writer, 200, own, answer)
            _log("ended", **about)
        finally:
            self.running -= 1

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        headers: Headers,
        about: dict[str, str],
        own: Headers,
    ) -> None:
        parts = [
            (each.partition(":")[0], int(each.partition(":")[2]))
            for each in headers.get("x-prompt-prefix", "").split(",")
            if each
        ]
        tenant = headers.get("x-tenant-id", "")
        salt = headers.get("x-cache-salt", "")
        chain: tuple[str, ...] = ()
        used: list[dict[str, str]] = []
        unread = 0
        for part, tokens in parts:
            chain = (*chain, part)
            maker = self.kept.get((salt, chain))
            if maker is None or unread:
                unread += tokens
            else:
                used.append({"part": part, "made_by": maker})
        await asyncio.sleep(unread / _PREFILL_TOKENS_PER_S + 0.01)
        _log("begins", **about, tenant=tenant, salt=salt, used=used)
        if self.crash_part and self.crash_part in [each for each, _ in parts]:
            _log("crashes", **about)
            os._exit(3)
        chain = ()
        for part, _ in parts:
            chain = (*chain, part)
            self.kept.setdefault((salt, chain), tenant)
        own["X-Weight-Versions"] = str(self.version)
        writer.write(
            self._head(
                200,
                {
                    **own,
                    "Content-Type": _EVENT_STREAM,
                    "Transfer-Encoding": "chunked",
                },
            )
        )
        first = int(headers.get("last-event-id", "0") or "0") + 1
        count = self.events
        if self.event_tokens:
            output = headers.get("x-token-usage", ",0").partition(",")[2]
            count = int(output) // self.event_tokens
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pace_s)
        writer.write(b"0\r\n\r\n")

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        writer.write(
            self._head(status, {**headers, "Content-Length": str(len(body))})
            + body
        )

    def _head(self, status: int, headers: Headers) -> bytes:
        if self.leaving:
            headers = {**headers, "Server-Leaving": "1"}
        lines = [f"HTTP/1.1 {status} x"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode()


def main() -> None:
    """Runs one runner with the options of the command line."""
    options = json.loads(sys.argv[1])
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(
            Runner(options).serve(options["host"], options.get("port", 0))
        )


if __name__ == "__main__":
    main()
