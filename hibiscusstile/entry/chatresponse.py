"""Responses to chat completions, streamed or complete."""

from __future__ import annotations

from collections.abc import AsyncGenerator

from aiohttp import web

from hibiscusstile import outcome
from hibiscusstile.entry import chatrelay, chunkreader, refusals, ssewriter

__all__ = ["build_complete", "send_stream"]


async def send_stream(
    request: web.Request,
    pending: chatrelay.PendingChat,
    events: AsyncGenerator[chunkreader.ResponseEvent],
) -> web.StreamResponse:
    """Streams the response; the headers are sent with the first event.

    A failure before the first event still gets an HTTP error status.
    """
    first_event = await anext(events)
    writer = ssewriter.SseWriter(request, pending)
    await writer.send_headers()
    try:
        await writer.send(first_event)
        async for event in events:
            await writer.send(event)
        await writer.send_done_marker()
    except outcome.Refused as refused:
        await writer.send_error(refused.refusal)
    except TimeoutError:
        writer.abort()
        return writer.response
    await writer.close()
    return writer.response


async def build_complete(
    pending: chatrelay.PendingChat,
    events: AsyncGenerator[chunkreader.ResponseEvent],
) -> web.Response:
    """Returns the whole response as one JSON body.

    Raises:
        Refused: The response failed or has no end.
    """
    texts: list[str] = []
    end: chunkreader.ResponseEnd | None = None
    async for event in events:
        if isinstance(event, chunkreader.TextDelta):
            texts.append(event.text)
        else:
            end = event
    if end is None:
        raise outcome.refused(
            outcome.Reason.INTERNAL, "the response has no end"
        )
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": "".join(texts)},
        "finish_reason": end.finish_reason,
    }
    body = {
        "id": pending.work_item.work_id,
        "object": "chat.completion",
        "created": pending.created,
        "model": pending.chat.model,
        "choices": [choice],
        "usage": ssewriter.usage_fields(end),
    }
    return web.json_response(
        body, headers={refusals.REQUEST_ID_HEADER: pending.work_item.work_id}
    )
