"""Stand-in for the platform's store of topics and keyed records."""

from __future__ import annotations

import asyncio
import base64
import struct
from typing import Any

from aiohttp import web

import hibiscusstile_standins
from hibiscusstile_standins import log, server

__all__ = ["PlatformStoreService"]

_MAX_WAIT_S = 30.0
_LENGTH_PREFIX = struct.Struct(">I")
_OFFSET_RANGE = struct.Struct(">QQ")


@hibiscusstile_standins.stand_ins.register()
class PlatformStoreService(log.LogService):
    """The log service with the API of the users' platform.

    Each topic is a log stream with one partition. Keyed topics, whose names
    begin with `keyed.`, keep the newest record of each key indefinitely.
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

    @property
    def calls(self) -> tuple[str, ...]:
        """Names of the received calls, in order."""
        return tuple(self._calls)

    def application(self) -> web.Application:
        """Returns the web application of the log and the store."""
        app = super().application()
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

    async def _append_record(self, topic: str, payload: bytes) -> int:
        offset = await self.append(topic, payload)
        if topic.startswith("keyed."):
            length = payload[0]
            key, value = payload[1 : 1 + length].decode(), payload[1 + length :]
            keys = self._newest_by_key.setdefault(topic, {})
            if value:
                keys[key] = value, offset
            else:
                keys.pop(key, None)
        return offset

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
        if offset < stream.earliest:
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
        items: list[dict[str, Any]] = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in self._newest_by_key.get(
                topic, {}
            ).items()
        ]
        return web.json_response(
            {
                "items": items,
                "has_more": False,
                "end": self._streams[topic].end,
            }
        )
