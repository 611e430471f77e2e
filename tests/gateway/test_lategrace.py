"""Tests of requests that come late in the grace of a planned stop."""

from __future__ import annotations

import asyncio
import itertools
import json
import pathlib
import re
import signal

import aiohttp

from hibiscusstile.gateway import stopping
from tests.builders import gateway as builders
from tests.builders import gatewayprocess

_GRACE_S = 8.0
# A connection that is made while the port closes may be reset unread.
_PORT_CLOSES_S = (
    stopping.StopSchedule.after_signal(0.0, _GRACE_S).answer_until_s - 0.02
)
_LAST_S = _PORT_CLOSES_S - 0.2
_EVENTS = 30
_PACE_S = 0.02
_ROUTES = {
    "/dossier/1": {"kind": "streaming", "resumable": True, "attempts": 2},
    "/payment/1": {"kind": "non_idempotent", "attempts": 1},
}
_BODY = b"{}"


def _record() -> bytes:
    routes = [
        builders.operator_route(
            path.split("/")[1],
            path[:-1],
            service=builders.ENGINE_SERVICE,
            timeout_ms=20_000,
            **fields,
        )
        for path, fields in _ROUTES.items()
    ]
    return json.dumps(builders.configuration_record(2, routes=routes)).encode()


class _Callers:
    """Callers of a gateway process that stops."""

    def __init__(self, gateway: gatewayprocess.GatewayProcess) -> None:
        self._gateway = gateway
        self._numbers = itertools.count()
        self._host, port = re.findall(r"//(.*):(\d+)/", gateway.url)[0]
        self._port = int(port)
        self.stopped_s = float("inf")
        self.results: list[tuple[str, int, bool]] = []

    async def call_until_stopped(self, path: str, *, kept: bool) -> None:
        """Calls again and again until the port is closed."""
        url = self._gateway.url.replace("/dossier/1", path)
        session = aiohttp.ClientSession()
        try:
            while await self._call(session, url):
                if not kept:
                    await session.close()
                    session = aiohttp.ClientSession()
        finally:
            await session.close()

    async def _call(self, session: aiohttp.ClientSession, url: str) -> bool:
        request_id = f"r{next(self._numbers)}"
        status, body = 0, b""
        headers = {**gatewayprocess.HEADERS, "X-Request-Id": request_id}
        sent_s = self._gateway.clock.monotonic()
        try:
            async with session.post(
                url, data=_BODY, headers=headers
            ) as response:
                status = response.status
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return False
        except aiohttp.ClientError:
            if sent_s >= self.stopped_s + _PORT_CLOSES_S:
                return False
        self._note(request_id, status, body)
        if status != 200:
            await asyncio.sleep(0.02)
        return True

    def _note(self, request_id: str, status: int, body: bytes) -> None:
        complete = status == 503 or (
            status == 200 and body.count(b"data: ") == _EVENTS
        )
        self.results.append((request_id, status, complete))

    async def call_in_two(self, path: str, split: int, pause_s: float) -> None:
        """Sends the rest of a request, from a byte on, after a pause."""
        request_id = f"h{next(self._numbers)}"
        fields = {
            **gatewayprocess.HEADERS,
            "X-Request-Id": request_id,
            "Content-Length": str(len(_BODY)),
            "Connection": "close",
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([f"POST {path} HTTP/1.1", *lines, "", ""]).encode()
        data = head + _BODY
        try:
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
        except ConnectionError:
            return
        reading = asyncio.ensure_future(reader.read(-1))
        try:
            writer.write(data[:split])
            await asyncio.wait([reading], timeout=pause_s)
            if not reading.done():
                writer.write(data[split:])
            received = await reading
        except ConnectionError:
            received = b""
        finally:
            writer.close()
        found = re.match(rb"HTTP/1.1 (\d+) ", received)
        self._note(request_id, int(found[1]) if found else 0, received)


async def test_each_request_of_a_stop_is_answered_or_refused(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests that are taken late and cut at the exit."""
    async with gatewayprocess.gateway_process(
        tmp_path, {"grace_s": _GRACE_S}, events=_EVENTS, pace_s=_PACE_S
    ) as gateway:
        await gateway.store.put("keyed.op", "config", _record())
        async with aiohttp.ClientSession() as session:
            await gateway.wait_status(session, 200, 10)
        await asyncio.sleep(0.5)
        callers = _Callers(gateway)
        gateway.engine.misbehave("hang")
        hanging = asyncio.ensure_future(
            callers.call_in_two("/payment/1", -1, 0)
        )
        while not gateway.engine.arrivals:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        calls = [
            asyncio.ensure_future(callers.call_until_stopped(path, kept=kept))
            for path in _ROUTES
            for kept in (False, True)
            for _ in range(3)
        ]
        await asyncio.sleep(1.0)
        assert gateway.process is not None
        gateway.process.send_signal(signal.SIGTERM)
        callers.stopped_s = stopped_s = gateway.clock.monotonic()
        while (elapsed_s := gateway.clock.monotonic() - stopped_s) < _LAST_S:
            # The request is split in its head and in its body, and the rest
            # follows soon, later, and after the exit.
            for path, split, pause_s in itertools.product(
                _ROUTES, (40, -1), (0.3, 2.0, 2 * _GRACE_S)
            ):
                call = callers.call_in_two(path, split, pause_s)
                calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.2)
        while gateway.process.poll() is None:
            elapsed_s = gateway.clock.monotonic() - stopped_s
            assert elapsed_s < _GRACE_S
            await asyncio.sleep(0.02)
        assert gateway.process.returncode == 0
        await asyncio.gather(*calls, hanging)
        arrived = {each.request_id for each in gateway.engine.arrivals}
    statuses = {name: status for name, status, _ in callers.results}
    refused = {name for name, status in statuses.items() if status == 503}
    # The server that never answers may have run its request.
    hanging_id = gateway.engine.arrivals[0].request_id
    assert [
        (name, status) for name, status, whole in callers.results if not whole
    ] == [(hanging_id, 502)]
    assert refused and not refused & arrived
    assert list(statuses.values()).count(200) > 50
