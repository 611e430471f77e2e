"""Stand-in for the append-only log service."""

from __future__ import annotations

import asyncio
import base64
import collections
import dataclasses
import datetime

from aiohttp import web

from hibiscusstile_standins import server

__all__ = ["LogService"]

_MAX_WAIT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    offset: int
    time: datetime.datetime
    payload: bytes


class _Stream:
    """Entries of one stream; offsets go on when entries are dropped."""

    def __init__(self) -> None:
        self.entries: collections.deque[_Entry] = collections.deque()
        self.end = 0
        self.grown = asyncio.Condition()

    @property
    def earliest(self) -> int:
        """First offset still kept."""
        return self.entries[0].offset if self.entries else self.end


class LogService(server.StandIn):
    """Keeps streams in memory."""

    def __init__(self) -> None:
        super().__init__()
        self._streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self._down = False

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage."""
        self._down = down

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        app = web.Application()
        app.router.add_post("/streams/{name}", self._append)
        app.router.add_get("/streams/{name}", self._read)
        return app

    async def append(self, name: str, payload: bytes) -> int:
        """Appends an entry and returns its offset."""
        stream = self._streams[name]
        entry = _Entry(stream.end, datetime.datetime.now(datetime.UTC), payload)
        stream.entries.append(entry)
        stream.end += 1
        async with stream.grown:
            stream.grown.notify_all()
        return entry.offset

    async def _append(self, request: web.Request) -> web.Response:
        if self._down:
            raise web.HTTPServiceUnavailable
        payload = await request.read()
        offset = await self.append(request.match_info["name"], payload)
        return web.json_response({"offset": offset}, status=201)

    async def _read(self, request: web.Request) -> web.Response:
        if self._down:
            raise web.HTTPServiceUnavailable
        stream = self._streams[request.match_info["name"]]
        offset = int(request.query["offset"])
        limit = int(request.query.get("limit", "500"))
        wait_s = min(float(request.query.get("wait", "0")), _MAX_WAIT_S)
        await self._wait_for(stream, offset, wait_s)
        kept = [e for e in stream.entries if e.offset >= offset][:limit]
        return web.json_response(
            {
                "entries": [_encode(entry) for entry in kept],
                "earliest": stream.earliest,
                "end": stream.end,
            }
        )

    async def _wait_for(
        self, stream: _Stream, offset: int, wait_s: float
    ) -> None:
        if stream.end > offset or wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s), stream.grown:
                await stream.grown.wait_for(lambda: stream.end > offset)
        except TimeoutError:
            return


def _encode(entry: _Entry) -> dict[str, object]:
    return {
        "offset": entry.offset,
        "time": entry.time.isoformat(),
        "payload": base64.b64encode(entry.payload).decode(),
    }
