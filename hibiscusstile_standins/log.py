"""Stand-in for the append-only log service, with entries in memory."""

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
    """Entries of one stream; dropped entries don't change the offsets."""

    def __init__(self) -> None:
        self.entries: collections.deque[_Entry] = collections.deque()
        self.end = 0
        self.appended = asyncio.Condition()

    @property
    def earliest(self) -> int:
        """Offset of the oldest entry kept; the end if the stream is empty."""
        return self.entries[0].offset if self.entries else self.end

    def drop_old(
        self, max_entries: int, before: datetime.datetime | None
    ) -> None:
        """Drops the oldest entries that exceed the count or the age limit."""
        while self.entries and (
            (max_entries and len(self.entries) > max_entries)
            or (before is not None and self.entries[0].time < before)
        ):
            self.entries.popleft()


@hibiscusstile_standins.stand_ins.register()
class LogService(server.StandIn):
    """Keeps streams in memory.

    Args:
        appends_per_s: Rate limit of appends to all streams; 0 for none.
        keep_entries: Maximum number of entries kept per stream; 0 for no
            limit.
        keep_s: Maximum age of kept entries; 0 for no limit.
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
        self._append_tokens = appends_per_s
        self._refilled_s = time.monotonic()
        self._keep_entries = keep_entries
        self._keep_s = keep_s
        self._down = False
        self._delay_s = 0.0
        self._responses_to_drop = 0
        self._refused_appends = 0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the log's command-line options to a parser."""
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
        """Starts or ends an outage; calls get status 503 during one."""
        self._down = down

    @server.fault
    def set_delay(self, delay_s: float) -> None:
        """Delays each response."""
        self._delay_s = delay_s

    @server.fault
    def set_appends_per_s(self, appends_per_s: float) -> None:
        """Sets the rate limit of appends; 0 for none."""
        self._appends_per_s = appends_per_s
        self._append_tokens = appends_per_s

    @server.fault
    def set_retention(self, keep_entries: int = 0, keep_s: float = 0.0) -> None:
        """Sets the retention limits of each stream; 0 for no limit."""
        self._keep_entries = keep_entries
        self._keep_s = keep_s
        for stream in self._streams.values():
            self._apply_retention(stream)

    @server.fault
    def lose_answers(self, count: int) -> None:
        """Closes the connections of the next appends after they take effect."""
        self._responses_to_drop = count

    def application(self) -> web.Application:
        """Returns the web application of the log service."""
        app = server.new_application()
        app.router.add_post("/streams/{name}", self._post_append)
        app.router.add_get("/streams/{name}", self._get_entries)
        return app

    def record(self) -> dict[str, Any]:
        """Returns the kept payloads per stream and the refused appends."""
        return {
            "refused": self._refused_appends,
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
        self._apply_retention(stream)
        async with stream.appended:
            stream.appended.notify_all()
        return entry.offset

    def _apply_retention(self, stream: _Stream) -> None:
        before = None
        if self._keep_s:
            before = datetime.datetime.now(datetime.UTC) - datetime.timedelta(
                seconds=self._keep_s
            )
        stream.drop_old(self._keep_entries, before)

    def _take_append_token(self) -> bool:
        if not self._appends_per_s:
            return True
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._appends_per_s
        self._append_tokens = min(
            self._appends_per_s, self._append_tokens + refill
        )
        self._refilled_s = now_s
        if self._append_tokens < 1.0:
            return False
        self._append_tokens -= 1.0
        return True

    async def _post_append(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._delay_s)
        if self._down:
            raise web.HTTPServiceUnavailable
        if not self._take_append_token():
            self._refused_appends += 1
            raise web.HTTPTooManyRequests
        payload = await request.read()
        if len(payload) > _MAX_PAYLOAD_BYTES:
            raise web.HTTPRequestEntityTooLarge(
                _MAX_PAYLOAD_BYTES, len(payload)
            )
        offset = await self.append(request.match_info["name"], payload)
        if self._responses_to_drop:
            self._responses_to_drop -= 1
            server.drop_connection(request)
        return web.json_response({"offset": offset}, status=201)

    async def _get_entries(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._delay_s)
        if self._down:
            raise web.HTTPServiceUnavailable
        stream = self._streams[request.match_info["name"]]
        offset = int(request.query["offset"])
        limit = int(request.query.get("limit", "500"))
        wait_s = min(float(request.query.get("wait", "0")), _MAX_WAIT_S)
        await self._wait_for_append(stream, offset, wait_s)
        if self._down:
            raise web.HTTPServiceUnavailable
        self._apply_retention(stream)
        page_entries = [e for e in stream.entries if e.offset >= offset][:limit]
        return web.json_response(
            {
                "entries": [_encode_entry(entry) for entry in page_entries],
                "earliest": stream.earliest,
                "end": stream.end,
            }
        )

    async def _wait_for_append(
        self, stream: _Stream, offset: int, wait_s: float
    ) -> None:
        if stream.end > offset or wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s), stream.appended:
                await stream.appended.wait_for(lambda: stream.end > offset)
        except TimeoutError:
            return


def _encode_entry(entry: _Entry) -> dict[str, object]:
    return {
        "offset": entry.offset,
        "time": entry.time.isoformat(),
        "payload": base64.b64encode(entry.payload).decode(),
    }
