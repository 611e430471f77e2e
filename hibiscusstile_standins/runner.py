"""Stand-in for a backend server of the users' platform.

It acts as a model runner for requests with an `X-Model` header and as a plain
service for others. Malformed responses are written directly to the
connection, because aiohttp cannot produce them.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
from typing import Any

import multidict
from aiohttp import web

import hibiscusstile_standins
from hibiscusstile_standins import arrivals, malformed, server, statements

__all__ = ["FakeBackendServer"]

_WEIGHT_LOAD_S = 0.05
_COMMENT_INTERVAL_S = 0.02
_PAUSE_S = 2.5


@hibiscusstile_standins.stand_ins.register()
class FakeBackendServer(statements.StatingServer):
    """Serves requests, reports its state and applies loading orders.

    Args:
        server_id: Id in service discovery.
        model: Name of the model.
        events: Number of events in each stream.
        pace_s: Interval between two events.
    """

    name = "runner"

    def __init__(
        self,
        server_id: str = "i-1",
        model: str = "m1",
        events: int = 4,
        pace_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._server_id = server_id
        self._model = model
        self._events = events
        self._pace_s = pace_s
        self._version = 1
        self._orders_accepted = 0
        self._loading = False
        self._arrivals: list[arrivals.Arrival] = []
        self._orders: list[dict[str, Any]] = []
        self._disconnected_requests: list[str] = []
        self._queued_modes: list[str] = []
        self._default_mode = ""
        self._crash_text = ""
        self._crash_restart_s = 0.0
        self._answers_orders = True

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the server's command-line options to a parser."""
        parser.add_argument("--server-id", default="i-1")
        parser.add_argument("--model", default="m1")
        parser.add_argument("--events", type=int, default=4)
        parser.add_argument("--pace-s", type=float, default=0.0)

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> FakeBackendServer:
        """Returns a server configured from the command line."""
        return cls(
            arguments.server_id,
            arguments.model,
            arguments.events,
            arguments.pace_s,
        )

    @property
    def server_id(self) -> str:
        """Id in service discovery."""
        return self._server_id

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"127.0.0.1:{self.port}"

    @property
    def version(self) -> int:
        """Version of the loaded weights."""
        return self._version

    @property
    def arrivals(self) -> tuple[arrivals.Arrival, ...]:
        """The received requests, in order."""
        return tuple(self._arrivals)

    @property
    def orders(self) -> tuple[dict[str, Any], ...]:
        """The accepted weight-loading orders, in order."""
        return tuple(self._orders)

    @property
    def disconnected_requests(self) -> tuple[str, ...]:
        """Ids of requests whose caller disconnected before the end."""
        return tuple(self._disconnected_requests)

    @server.fault
    def misbehave(self, *modes: str) -> None:
        """Queues one failure mode for each of the next requests.

        Modes:
            full: Status 503 with `X-Not-Executed`.
            error: Status 500.
            lose_answer: Executes the request, then drops the connection.
            hang: Sends no response.
            stall: Sends two events, then comments without end.
            pause: Sends two events, nothing for 2.5 s, then the rest.
            cut: Ends the response in the middle of the body or the stream.
            unframed: No `Content-Length`; the closed connection ends the body.
            unframed_reset: As `unframed`, but with a reset in mid-body.
            twice: Two responses; the first one has another request's id.
            garbage: Bytes that are not HTTP.
            no_digest: No `X-Response-Stamp`.

        Streams support `full`, `lose_answer`, `hang`, `stall`, `pause` and
        `cut` only.
        """
        self._queued_modes.extend(modes)

    @server.fault
    def misbehave_always(self, mode: str) -> None:
        """Sets the failure mode used when none is queued; empty for none."""
        self._default_mode = mode

    @server.fault
    def crash_on(self, text: str, restart_s: float = 0.5) -> None:
        """Crashes on each request with a text in its prompt parts or body.

        Args:
            text: The id of a prompt part, or a piece of the body.
            restart_s: Seconds until the server is back.
        """
        self._crash_text = text
        self._crash_restart_s = restart_s

    @server.fault
    def set_streams(self, events: int, pace_s: float) -> None:
        """Changes the number of events and their interval in new streams."""
        self._events = events
        self._pace_s = pace_s

    @server.fault
    def ignore_orders(self) -> None:
        """Neither executes nor answers weight-loading orders."""
        self._answers_orders = False

    def discovery_entry(
        self, service: str, zone: str = "z1", **changes: Any
    ) -> bytes:
        """Returns the server's service discovery entry as JSON.

        Args:
            service: Name of the service.
            zone: The server's availability zone.
            **changes: Fields to replace.
        """
        fields = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [
                {
                    "name": self._model,
                    "version": self._version,
                    "adapters": [],
                }
            ],
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return json.dumps({**fields, **changes}).encode()

    def application(self) -> web.Application:
        """Returns the web application of the server."""
        app = self.new_stating_application()
        app.router.add_get("/v1/report", self._get_report)
        app.router.add_post("/v1/order", self._post_order)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    def record(self) -> dict[str, Any]:
        """Returns the received requests and the accepted orders."""
        return {
            "arrivals": [
                {
                    "request_id": each.request_id,
                    "method": each.method,
                    "target": each.target,
                    "headers": dict(each.headers),
                    "body": each.body.decode("latin1"),
                    "ran": each.executed,
                }
                for each in self._arrivals
            ],
            "orders": list(self._orders),
        }

    async def _get_health(self, request: web.Request) -> web.Response:
        del request
        return web.Response(headers={"X-Instance-Id": self._server_id})

    async def _get_report(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "stage": "both",
                "models": [
                    {
                        "name": self._model,
                        "version": self._version,
                        "adapters": [],
                    }
                ],
                "busy": self._loading,
                "sequence": self._orders_accepted,
                "waiting": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 100_000,
                "handles": 0,
            }
        )

    async def _post_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if not self._answers_orders:
            await asyncio.Event().wait()
        if order.get("expect", self._orders_accepted) != self._orders_accepted:
            return web.Response(status=409)
        if order["version"] == self._version:
            return web.Response(status=200)
        if self._loading:
            return web.Response(status=409)
        self._orders_accepted += 1
        self._orders.append(order)
        self._loading = True
        asyncio.get_running_loop().call_later(
            _WEIGHT_LOAD_S, self._finish_load, int(order["version"])
        )
        return web.Response(status=202)

    def _finish_load(self, version: int) -> None:
        self._version = version
        self._loading = False

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        mode = (
            self._queued_modes.pop(0)
            if self._queued_modes
            else self._default_mode
        )
        refusal = self._refusal_response(request, mode)
        self._arrivals.append(
            arrivals.Arrival(
                request.headers.get("X-Request-Id", ""),
                request.method,
                request.raw_path,
                multidict.CIMultiDict(request.headers),
                body,
                refusal is None,
            )
        )
        if refusal is not None:
            return refusal
        content = request.headers.get("X-Prompt-Prefix", "") + body.decode(
            "latin1"
        )
        if self._crash_text and self._crash_text in content:
            self.crash(self._crash_restart_s)
            await asyncio.Event().wait()
        if mode == "lose_answer":
            server.drop_connection(request)
            return web.Response()
        try:
            if mode == "hang":
                await asyncio.Event().wait()
            if "X-Model" in request.headers:
                return await self._send_stream(request, mode)
            return await self._send_response(request, mode)
        except (asyncio.CancelledError, ConnectionError):
            self._disconnected_requests.append(
                request.headers.get("X-Request-Id", "")
            )
            raise

    def _refusal_response(
        self, request: web.Request, mode: str
    ) -> web.Response | None:
        request_id = request.headers.get("X-Request-Id", "")
        expected = request.headers.get("X-Expect-Instance", self._server_id)
        version = request.headers.get("X-Expect-Version")
        if expected != self._server_id or (
            version is not None and int(version) != self._version
        ):
            return web.Response(
                status=421,
                headers={
                    "X-Request-Id": request_id,
                    "X-Instance-Id": self._server_id,
                },
            )
        if mode == "full" or (self._loading and "X-Model" in request.headers):
            return web.Response(
                status=503,
                headers={"X-Request-Id": request_id, "X-Not-Executed": "1"},
            )
        return None

    async def _send_response(
        self, request: web.Request, mode: str
    ) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        body = f"answer to {request_id} of {self._server_id}".encode()
        if mode == "error":
            return web.Response(
                status=500, body=body, headers=self._headers(request_id, body)
            )
        malformed_responses = malformed.responses(
            request_id, body, self._headers(request_id, body)
        )
        if mode in malformed_responses:
            transport: Any = request.transport
            transport.write(malformed_responses[mode])
            if mode == "unframed_reset":
                await asyncio.sleep(0.05)
                malformed.reset(transport)
            elif mode != "twice":
                transport.close()
            else:
                await asyncio.Event().wait()
            return web.Response()
        return web.Response(body=body, headers=self._headers(request_id, body))

    async def _send_stream(
        self, request: web.Request, mode: str
    ) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        first = int(request.headers.get("Last-Event-Id", "0") or 0) + 1
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                **self._headers(request_id, b""),
            }
        )
        await response.prepare(request)
        for number in range(first, self._events + 1):
            if mode == "stall" and number == 3 and first == 1:
                while True:
                    await response.write(b": \n\n")
                    await asyncio.sleep(_COMMENT_INTERVAL_S)
            if mode == "pause" and number == 3:
                await asyncio.sleep(_PAUSE_S)
            if mode == "cut" and number == 3 and first == 1:
                # Cuts a new stream in mid-event; a resumed stream completes.
                await response.write(b"id: 3\nda")
                server.drop_connection(request)
                return response
            event = f"id: {number}\ndata: event {number}\n\n"
            await response.write(event.encode())
            await asyncio.sleep(self._pace_s)
        await response.write_eof()
        return response

    def _headers(self, request_id: str, body: bytes) -> dict[str, str]:
        digest = hashlib.sha256(body).hexdigest()[:8]
        return {
            "X-Request-Id": request_id,
            "X-Response-Stamp": f"{self._server_id}.{digest}",
            "X-Weight-Versions": str(self._version),
        }
