"""A backend server that is silent for seconds and then goes on."""

from __future__ import annotations

import argparse
import asyncio
import random
from typing import ClassVar

from aiohttp import web

import hibiscusstile_standins
from hibiscusstile_standins import runner, silences

__all__ = ["SilentBackendServer"]

_COMMENT_INTERVAL_S = 0.3


@hibiscusstile_standins.stand_ins.register()
class SilentBackendServer(runner.FakeBackendServer):
    """Completes every response, most of them after a silence.

    The silences of a response depend on the seed, the server's id and the
    request's id only.

    Args:
        options: Options of the command line.
    """

    name: ClassVar[str] = "silent_runner"

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(
            options.server_id, options.model, options.events, options.pace_s
        )
        self._seed: int = options.silence_seed
        self._bounds_s = (options.min_silence_s, options.max_silence_s)
        self._share: float = options.silent_share

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the server's command-line options to a parser."""
        super().add_arguments(parser)
        parser.add_argument("--silence-seed", type=int, default=0)
        parser.add_argument("--min-silence-s", type=float, default=1.0)
        parser.add_argument("--max-silence-s", type=float, default=4.0)
        parser.add_argument("--silent-share", type=float, default=1.0)

    @classmethod
    def from_arguments(
        cls, arguments: argparse.Namespace
    ) -> SilentBackendServer:
        """Returns a server configured from the command line."""
        return cls(arguments)

    async def _send_response(
        self, request: web.Request, mode: str
    ) -> web.StreamResponse:
        await asyncio.sleep(self._draw(request, 1, 1).total_s)
        return await super()._send_response(request, mode)

    async def _send_stream(
        self, request: web.Request, mode: str
    ) -> web.StreamResponse:
        del mode
        first = int(request.headers.get("Last-Event-Id", "0") or 0) + 1
        plan = self._draw(request, first, self._events)
        await asyncio.sleep(plan.lengths_s.get(silences.BEFORE_HEAD, 0.0))
        request_id = request.headers.get("X-Request-Id", "")
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                **self._headers(request_id, b""),
            }
        )
        await response.prepare(request)
        for number in range(first, self._events + 2):
            await self._be_silent(response, plan, number)
            if number <= self._events:
                event = f"id: {number}\ndata: event {number}\n\n"
                await response.write(event.encode())
                await asyncio.sleep(self._pace_s)
        await response.write_eof()
        return response

    async def _be_silent(
        self, response: web.StreamResponse, plan: silences.Silences, place: int
    ) -> None:
        left_s = plan.lengths_s.get(place, 0.0)
        while plan.comments and left_s > _COMMENT_INTERVAL_S:
            await asyncio.sleep(_COMMENT_INTERVAL_S)
            left_s -= _COMMENT_INTERVAL_S
            await response.write(b": \n\n")
        await asyncio.sleep(left_s)

    def _draw(
        self, request: web.Request, first: int, last: int
    ) -> silences.Silences:
        request_id = request.headers.get("X-Request-Id", "")
        rng = random.Random(f"{self._seed} {self._server_id} {request_id}")
        return silences.draw_silences(
            rng, first, last, self._bounds_s, self._share
        )
