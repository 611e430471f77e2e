"""Stand-in for the platform's store of topics and keyed records."""

from __future__ import annotations

import asyncio
import base64
import datetime
import struct
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

import hibiscusstile_standins
from hibiscusstile_standins import log, server

__all__ = ["PlatformStoreService"]

_MAX_WAIT_S = 30.0
_LENGTH_PREFIX = struct.Struct(">I")
_OFFSET_RANGE = struct.Struct(">QQ")
_DEFAULT_PAGE_SIZE = 500
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@hibiscusstile_standins.stand_ins.register()
class PlatformStoreService(log.LogService):
    """The log service with the API of the users' platform.

    Each topic is a log stream with one partition. Keyed topics, whose names
    begin with `keyed.`, keep the newest record of each key indefinitely.
    Responses carry the store's era, which each restore from a copy increases.
    """

    name = "store"

    def __init__(
        self,
        appends_per_s: float = 0.0,
        keep_entries: int = 0,
        keep_s: float = 0.0,
    ) -> None:
        super().__init__(appends_per_s, keep_entries, keep_s)
        self._newest_by_key: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._calls: list[str] = []
        # Times and payloads of all appended records by topic. A restore
        # rebuilds the newest records of the keys from them.
        self._history: dict[str, list[tuple[datetime.datetime, bytes]]] = {}
        self._copied_at: datetime.datetime | None = None
        self._era = 1
        self._era_header: str | None = "1"
        self._page_size = _DEFAULT_PAGE_SIZE
        self._open_requests: dict[int, web.Request] = {}

    @property
    def era(self) -> int:
        """Number of restores from a copy, plus one."""
        return self._era

    @property
    def calls(self) -> tuple[str, ...]:
        """Names of the received calls, in order."""
        return tuple(self._calls)

    def application(self) -> web.Application:
        """Returns the web application of the log and the store."""
        app = super().application()
        app.middlewares.append(self._track_request)
        app.on_response_prepare.append(self._add_era)
        app.router.add_post("/v1/log-append", self._post_append_batch)
        app.router.add_get("/v1/log-read", self._get_records)
        app.router.add_get("/v1/log-newest", self._get_newest)
        return app

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a keyed record and returns its offset.

        Args:
            topic: A topic whose name begins with `keyed.`.
            key: The record's key.
            value: The record's value; an empty value deletes the key.
        """
        encoded_key = key.encode()
        return await self._append_record(
            topic, bytes([len(encoded_key)]) + encoded_key + value
        )

    @server.fault
    def forget_history(self, topic: str) -> None:
        """Deletes a topic's log entries; the newest record per key stays."""
        self._streams[topic].entries.clear()

    @server.fault
    def set_page_size(self, keys: int) -> None:
        """Limits the number of keys in one page of newest records."""
        self._page_size = keys

    @server.fault
    def set_era_header(self, text: str | None) -> None:
        """Sets the era that responses carry until a restore; None for none."""
        self._era_header = text

    @server.fault
    def take_copy(self) -> None:
        """Makes `restore` return to this moment."""
        self._copied_at = datetime.datetime.now(datetime.UTC)

    @server.fault
    def restore(self, copy_age_s: float | None = None) -> None:
        """Restores the store from a copy.

        Records that are newer than the copy are gone, their offsets are used
        again, and calls in progress are cut off.

        Args:
            copy_age_s: Age of the copy; by default, the copy is the one that
                `take_copy` has made.
        """
        copied_at = self._copied_at
        if copy_age_s is not None:
            copied_at = datetime.datetime.now(
                datetime.UTC
            ) - datetime.timedelta(seconds=copy_age_s)
        if copied_at is None:
            raise ValueError("no copy has been made")
        self._era += 1
        self._era_header = str(self._era)
        for topic, history in self._history.items():
            end = sum(time <= copied_at for time, _ in history)
            del history[end:]
            stream = self._streams[topic]
            while stream.entries and stream.entries[-1].offset >= end:
                stream.entries.pop()
            stream.end = end
            self._newest_by_key.pop(topic, None)
            for offset, (_, payload) in enumerate(history):
                self._note_newest(topic, payload, offset)
        for request in tuple(self._open_requests.values()):
            server.drop_connection(request)

    async def _append_record(self, topic: str, payload: bytes) -> int:
        history = self._history.setdefault(topic, [])
        history.append((datetime.datetime.now(datetime.UTC), payload))
        self._note_newest(topic, payload, len(history) - 1)
        return await self.append(topic, payload)

    def _note_newest(self, topic: str, payload: bytes, offset: int) -> None:
        if not topic.startswith("keyed."):
            return
        length = payload[0]
        key, value = payload[1 : 1 + length].decode(), payload[1 + length :]
        keys = self._newest_by_key.setdefault(topic, {})
        if value:
            keys[key] = value, offset
        else:
            keys.pop(key, None)

    @web.middleware
    async def _track_request(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        self._open_requests[id(request)] = request
        try:
            return await handler(request)
        finally:
            del self._open_requests[id(request)]

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        del request
        if self._era_header is not None:
            response.headers["Store-Era"] = self._era_header

    async def _begin_call(self, call: str) -> None:
        self._calls.append(call)
        await asyncio.sleep(self._delay_s)
        if self._down:
            raise web.HTTPServiceUnavailable

    async def _post_append_batch(self, request: web.Request) -> web.Response:
        await self._begin_call("append")
        topic = request.query["topic"]
        end = self._streams[topic].end
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        body = await request.read()
        position = 0
        while position < len(body):
            (length,) = _LENGTH_PREFIX.unpack_from(body, position)
            position += _LENGTH_PREFIX.size
            await self._append_record(topic, body[position : position + length])
            position += length
        if self._responses_to_drop:
            self._responses_to_drop -= 1
            server.drop_connection(request)
        return web.json_response(
            {"offset": end, "end": self._streams[topic].end}
        )

    async def _get_records(self, request: web.Request) -> web.Response:
        await self._begin_call("read")
        stream = self._streams[request.query["topic"]]
        offset = int(request.query["from"])
        wait_s = min(int(request.query.get("wait_ms", "0")) / 1000, _MAX_WAIT_S)
        if not stream.earliest <= offset <= stream.end:
            return web.json_response({"first": stream.earliest}, status=410)
        await self._wait_for_append(stream, offset, wait_s)
        if self._down:
            raise web.HTTPServiceUnavailable
        body = _OFFSET_RANGE.pack(stream.end, stream.earliest)
        for entry in stream.entries:
            if entry.offset >= offset:
                body += _LENGTH_PREFIX.pack(len(entry.payload)) + entry.payload
        return web.Response(body=body)

    async def _get_newest(self, request: web.Request) -> web.Response:
        await self._begin_call("newest")
        topic = request.query["topic"]
        newest = self._newest_by_key.get(topic, {})
        after = request.query.get("after", "")
        keys = sorted(key for key in newest if key > after)
        items: list[dict[str, Any]] = []
        for key in keys[: self._page_size]:
            value, offset = newest[key]
            items.append(
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        return web.json_response(
            {
                "items": items,
                "has_more": len(keys) > len(items),
                "end": self._streams[topic].end,
            }
        )
