"""Stand-in for the append-only log service."""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import dataclasses
import datetime
import time
from typing import Any

from aiohttp import web

import hibiscusstile_standins
from hibiscusstile_standins import server

__all__ = ["LogService"]

_MAX_WAIT_S = 30.0
_MAX_PAYLOAD_BYTES = 1024 * 1024


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

    def drop(self, max_entries: int, before: datetime.datetime | None) -> None:
        """Drops entries beyond a count and older than a time."""
        while self.entries and (
            (max_entries and len(self.entries) > max_entries)
            or (before is not None and self.entries[0].time < before)
        ):
            self.entries.popleft()


@hibiscusstile_standins.stand_ins.register()
class LogService(server.StandIn):
    """Keeps streams in memory.

    Args:
        appends_per_s: Cap on appends over all streams; 0 for none.
        keep_entries: Entries kept of each stream; 0 for all.
        keep_s: Seconds for which entries are kept; 0 for ever.
    """

    name = "log"

    def __init__(
        self,
        appends_per_s: float = 0.0,
        keep_entries: int = 0,
        keep_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self._appends_per_s = appends_per_s
        self._allowance = appends_per_s
        self._allowance_at_s = time.monotonic()
        self._keep_entries = keep_entries
        self._keep_s = keep_s
        self._down = False
        self._delay_s = 0.0
        self._answers_to_lose = 0
        self._refused = 0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the log's command-line options."""
        parser.add_argument("--appends-per-s", type=float, default=0.0)
        parser.add_argument("--keep-entries", type=int, default=0)
        parser.add_argument("--keep-s", type=float, default=0.0)

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> LogService:
        """Returns a log configured from the command line."""
        return cls(
            arguments.appends_per_s, arguments.keep_entries, arguments.keep_s
        )

    @server.fault
    def set_down(self, down: bool) -> None:
        """Starts or ends an outage."""
        self._down = down

    @server.fault
    def set_delay(self, delay_s: float) -> None:
        """Makes each answer slow."""
        self._delay_s = delay_s

    @server.fault
    def set_appends_per_s(self, appends_per_s: float) -> None:
        """Sets the cap on appends; 0 for none."""
        self._appends_per_s = appends_per_s
        self._allowance = appends_per_s

    @server.fault
    def set_retention(self, keep_entries: int = 0, keep_s: float = 0.0) -> None:
        """Sets how much of each stream is kept; 0 for no bound."""
        self._keep_entries = keep_entries
        self._keep_s = keep_s
        for stream in self._streams.values():
            self._drop_old(stream)

    @server.fault
    def lose_answers(self, count: int) -> None:
        """Closes the next appends' connections after they took effect."""
        self._answers_to_lose = count

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        app = server.new_application()
        app.router.add_post("/streams/{name}", self._append)
        app.router.add_get("/streams/{name}", self._read)
        return app

    def record(self) -> dict[str, Any]:
        """Returns the payloads kept in each stream, and refused appends."""
        return {
            "refused": self._refused,
            "streams": {
                name: [
                    entry.payload.decode(errors="replace")
                    for entry in stream.entries
                ]
                for name, stream in self._streams.items()
            },
        }

    def payloads(self, name: str) -> list[bytes]:
        """Returns the payloads kept in a stream, in order."""
        return [entry.payload for entry in self._streams[name].entries]

    async def append(self, name: str, payload: bytes) -> int:
        """Appends an entry and returns its offset."""
        stream = self._streams[name]
        entry = _Entry(stream.end, datetime.datetime.now(datetime.UTC), payload)
        stream.entries.append(entry)
        stream.end += 1
        self._drop_old(stream)
        async with stream.grown:
            stream.grown.notify_all()
        return entry.offset

    def _drop_old(self, stream: _Stream) -> None:
        before = None
        if self._keep_s:
            before = datetime.datetime.now(datetime.UTC) - datetime.timedelta(
                seconds=self._keep_s
            )
        stream.drop(self._keep_entries, before)

    def _may_append(self) -> bool:
        if not self._appends_per_s:
            return True
        now_s = time.monotonic()
        earned = (now_s - self._allowance_at_s) * self._appends_per_s
        self._allowance = min(self._appends_per_s, self._allowance + earned)
        self._allowance_at_s = now_s
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    async def _append(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._delay_s)
        if self._down:
            raise web.HTTPServiceUnavailable
        if not self._may_append():
            self._refused += 1
            raise web.HTTPTooManyRequests
        payload = await request.read()
        if len(payload) > _MAX_PAYLOAD_BYTES:
            raise web.HTTPRequestEntityTooLarge(
                _MAX_PAYLOAD_BYTES, len(payload)
            )
        offset = await self.append(request.match_info["name"], payload)
        if self._answers_to_lose:
            self._answers_to_lose -= 1
            server.drop_connection(request)
        return web.json_response({"offset": offset}, status=201)

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._delay_s)
        if self._down:
            raise web.HTTPServiceUnavailable
        stream = self._streams[request.match_info["name"]]
        offset = int(request.query["offset"])
        limit = int(request.query.get("limit", "500"))
        wait_s = min(float(request.query.get("wait", "0")), _MAX_WAIT_S)
        await self._wait_for(stream, offset, wait_s)
        if self._down:
            raise web.HTTPServiceUnavailable
        self._drop_old(stream)
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
