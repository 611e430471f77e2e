"""Writes a chat response as server-sent events."""

from __future__ import annotations

import asyncio
import datetime
import json
from typing import Any

from aiohttp import hdrs, web

from hibiscusstile import metrics, outcome
from hibiscusstile.entry import chatrelay, chunkreader, refusals
from hibiscusstile.memory import unreadbytes

__all__ = ["SseWriter", "usage_fields"]

_WRITE_TIMEOUT = datetime.timedelta(seconds=30)
_UNTIMED_WRITE_BYTES = 16 * 1024


class SseWriter:
    """Writes one response as a stream of chat-completion chunks.

    The constant parts of a chunk are encoded once for each response, since
    one chunk is sent for each generated token.

    Args:
        request: The caller's HTTP request.
        pending: The chat request that the response belongs to.
    """

    def __init__(
        self, request: web.Request, pending: chatrelay.PendingChat
    ) -> None:
        self._request = request
        self._unread = unreadbytes.UnreadBytes(request, request["holding"])
        self._pending = pending
        self._response = web.StreamResponse(
            headers={
                hdrs.CONTENT_TYPE: "text/event-stream",
                hdrs.CACHE_CONTROL: "no-store",
                refusals.REQUEST_ID_HEADER: pending.work_item.work_id,
            }
        )
        common = json.dumps(self._common_fields())[:-1]
        self._delta_prefix = (
            f'data: {common}, "choices": [{{"index": 0, "delta": {{"content": '
        )
        self._delta_suffix = '}, "finish_reason": null}]}\n\n'

    @property
    def response(self) -> web.StreamResponse:
        """The underlying HTTP response."""
        return self._response

    async def send_headers(self) -> None:
        """Sends the status line and the response headers."""
        await self._response.prepare(self._request)

    async def send(self, event: chunkreader.ResponseEvent) -> None:
        """Sends a text delta, or the final chunk with the usage.

        Raises:
            TimeoutError: The caller has stopped reading.
        """
        if isinstance(event, chunkreader.TextDelta):
            text = json.dumps(event.text)
            data = f"{self._delta_prefix}{text}{self._delta_suffix}"
        else:
            data = f"data: {json.dumps(self._final_chunk(event))}\n\n"
        await self._write(data.encode())

    async def send_done_marker(self) -> None:
        """Sends `[DONE]`, which marks the response as complete."""
        await self._write(b"data: [DONE]\n\n")

    async def send_error(self, refusal: outcome.Refusal) -> None:
        """Ends an incomplete response with an error event, and counts it."""
        metrics.count_refusal(refusal)
        body = refusals.error_body(refusal)
        await self._write(f"event: error\ndata: {body}\n\n".encode())

    async def close(self) -> None:
        """Finishes the HTTP response."""
        await self._response.write_eof()

    def abort(self) -> None:
        """Aborts the connection of a caller that has stopped reading."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _write(self, data: bytes) -> None:
        """Writes to the caller with a timeout.

        Without it, a caller that stops reading would occupy a slot at the
        engine. A small write to an empty buffer never blocks, so it goes
        without the cost of a timer.
        """
        transport: Any = self._request.transport
        if (
            transport is not None
            and len(data) <= _UNTIMED_WRITE_BYTES
            and transport.get_write_buffer_size() == 0
        ):
            await self._unread.write(self._response, data)
            return
        async with asyncio.timeout(_WRITE_TIMEOUT.total_seconds()):
            await self._unread.write(self._response, data)

    def _common_fields(self) -> dict[str, Any]:
        return {
            "id": self._pending.work_item.work_id,
            "object": "chat.completion.chunk",
            "created": self._pending.created,
            "model": self._pending.chat.model,
        }

    def _final_chunk(self, end: chunkreader.ResponseEnd) -> dict[str, Any]:
        choice = {
            "index": 0,
            "delta": {},
            "finish_reason": end.finish_reason,
        }
        return {
            **self._common_fields(),
            "usage": usage_fields(end),
            "choices": [choice],
        }


def usage_fields(end: chunkreader.ResponseEnd) -> dict[str, Any]:
    """Returns the `usage` object of the chat-completions protocol."""
    usage = end.usage
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
