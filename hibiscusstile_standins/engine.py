"""Stand-in for a model engine.

Its text depends on the prompt and the position only, so that a test can tell
what the whole answer must be and check a continuation.
"""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import secrets
from typing import Any

from aiohttp import web

from hibiscusstile_standins import server

__all__ = ["Engine", "expected_words"]

_CHARS_PER_TOKEN = 4
_PREFILL_TOKENS_PER_S = 50_000.0
_TOKEN_S = 0.002
_MAX_PREFIXES = 400


def expected_words(messages: list[dict[str, Any]], count: int) -> list[str]:
    """Returns the words that an engine generates for a prompt."""
    seed = hashlib.sha256(_flatten(messages).encode()).hexdigest()
    return [
        hashlib.sha256(f"{seed}{i}".encode()).hexdigest()[:5] + " "
        for i in range(count)
    ]


class Engine(server.StandIn):
    """Generates deterministic text and caches prompt prefixes."""

    def __init__(self, model: str = "m1", weights_version: str = "v1") -> None:
        super().__init__()
        self._model = model
        self._weights_version = weights_version
        self._incarnation = secrets.token_hex(6)
        self._prefixes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._running: dict[str, asyncio.Event] = {}
        self._ran: list[str] = []

    @property
    def ran(self) -> tuple[str, ...]:
        """Attempt ids that the engine has taken up, in order."""
        return tuple(self._ran)

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_post("/v1/cancel/{attempt}", self._cancel)
        app.router.add_get("/cache/events", self._events)
        app.router.add_get("/cache/blocks", self._events)
        app.router.add_get("/load", self._load)
        app.router.add_get("/health", self._health)
        return app

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if body["weights_version"] != self._weights_version:
            return web.json_response(
                {"message": "weights are not loaded"}, status=409
            )
        stop = asyncio.Event()
        self._running[body["attempt_id"]] = stop
        self._ran.append(body["attempt_id"])
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        try:
            await response.prepare(request)
            await self._generate(response, body, stop)
        finally:
            del self._running[body["attempt_id"]]
        await response.write_eof()
        return response

    async def _generate(
        self,
        response: web.StreamResponse,
        body: dict[str, Any],
        stop: asyncio.Event,
    ) -> None:
        prompt_tokens, cached = self._prefill(body)
        await asyncio.sleep((prompt_tokens - cached) / _PREFILL_TOKENS_PER_S)
        await _send(response, {"event": "started", "cached_tokens": cached})
        words = expected_words(body["messages"], body["max_tokens"])
        done = len(body["resume_text"].split())
        for word in words[done:]:
            if stop.is_set():
                return
            await asyncio.sleep(_TOKEN_S)
            await _send(response, {"event": "text", "text": word})
        await _send(
            response,
            {
                "event": "end",
                "finish_reason": "length",
                "prompt_tokens": prompt_tokens,
                "cached_tokens": cached,
                "completion_tokens": len(words),
            },
        )

    def _prefill(self, body: dict[str, Any]) -> tuple[int, int]:
        cached = 0
        tokens = 0
        text = body["cache_salt"]
        for message in body["messages"]:
            flat = _flatten([message])
            text += flat
            tokens += max(1, len(flat) // _CHARS_PER_TOKEN)
            digest = hashlib.sha256(text.encode()).hexdigest()
            if digest in self._prefixes:
                cached = tokens
            self._prefixes[digest] = tokens
            self._prefixes.move_to_end(digest)
        while len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.popitem(last=False)
        return tokens, cached

    async def _cancel(self, request: web.Request) -> web.Response:
        stop = self._running.get(request.match_info["attempt"])
        if stop is not None:
            stop.set()
        return web.json_response({})

    async def _events(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {"incarnation": self._incarnation, "events": []}
        )

    async def _load(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "running": len(self._running),
                "waiting": 0,
                "prefill_tokens": 0,
            }
        )

    async def _health(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "incarnation": self._incarnation,
                "model": self._model,
                "weights_version": self._weights_version,
                "adapters": [],
                "role": "mixed",
                "fencing_number": -1,
            }
        )


async def _send(response: web.StreamResponse, event: dict[str, Any]) -> None:
    await response.write(f"data: {json.dumps(event)}\n\n".encode())


def _flatten(messages: list[dict[str, Any]]) -> str:
    texts = []
    for message in messages:
        texts.append(message["role"])
        for part in message["content"]:
            texts.append(part.get("text") or part["image_url"]["url"])
    return "\x1f".join(texts)
