"""HTTP client for tests: sends chat requests and reads the responses."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import aiohttp

__all__ = ["ChatResponse", "auth_headers", "open_session", "send_chat"]

_REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=30)


@dataclasses.dataclass(slots=True)
class ChatResponse:
    """A complete or partial chat response.

    Attributes:
        status: HTTP status.
        words: Text deltas of a stream, or the words of a whole response.
        done: Whether a stream ended in `[DONE]`; True for a whole response.
        error: The `error` object, empty without one.
        usage: The `usage` object, empty without one.
    """

    status: int
    words: list[str] = dataclasses.field(default_factory=list)
    done: bool = False
    error: dict[str, Any] = dataclasses.field(default_factory=dict)
    usage: dict[str, Any] = dataclasses.field(default_factory=dict)


def open_session() -> aiohttp.ClientSession:
    """Returns a session that opens a new connection for each request."""
    return aiohttp.ClientSession(
        timeout=_REQUEST_TIMEOUT,
        connector=aiohttp.TCPConnector(force_close=True),
    )


def auth_headers(key: str, **more: str) -> dict[str, str]:
    """Returns headers that authenticate with an API key."""
    return {"Authorization": f"Bearer {key}", **more}


async def send_chat(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    messages: list[Any],
    *,
    stream: bool = True,
    max_tokens: int = 8,
    model: str = "m1",
) -> ChatResponse:
    """Sends a chat request and returns the response, complete or not."""
    body = {
        "model": model,
        "messages": messages,
        "stream": stream,
        "max_tokens": max_tokens,
    }
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=auth_headers(key)
    ) as response:
        chat_response = ChatResponse(response.status)
        if response.status != 200:
            chat_response.error = json.loads(await response.read())["error"]
        elif stream:
            async for line in response.content:
                _parse_event_line(line, chat_response)
        else:
            response_body = json.loads(await response.read())
            text = response_body["choices"][0]["message"]["content"]
            chat_response.words = [f"{word} " for word in text.split()]
            chat_response.usage = response_body["usage"]
            chat_response.done = True
    return chat_response


def _parse_event_line(line: bytes, chat_response: ChatResponse) -> None:
    if not line.startswith(b"data: "):
        return
    data = line[len(b"data: ") :].strip()
    if data == b"[DONE]":
        chat_response.done = True
        return
    event = json.loads(data)
    if "error" in event:
        chat_response.error = event["error"]
        return
    for choice in event["choices"]:
        if "content" in choice["delta"]:
            chat_response.words.append(choice["delta"]["content"])
    chat_response.usage = event.get("usage", chat_response.usage)
