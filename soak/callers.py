"""Callers that keep their connections and note what they saw."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable

import aiohttp

from soak import world as world_lib

__all__ = ["Seen", "run_caller"]

_TIMEOUT = aiohttp.ClientTimeout(total=6)
_PAUSE_S = 0.03
KINDS = ("lookup", "payment", "question", "dossier")


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What one request came to.

    Attributes:
        request_id: Its id.
        kind: Its route.
        status: The answer's status, 0 if none came.
        body: The body, if it was complete.
        echoed: The request id of the answer.
        at_s: When it was sent, from the start.
    """

    request_id: str
    kind: str
    status: int
    body: bytes | None
    echoed: str
    at_s: float


async def run_caller(
    world: world_lib.World,
    name: str,
    rng: random.Random,
    stopping: asyncio.Event,
    note: Callable[[Seen], None],
) -> None:
    """Sends requests one after the other until told to stop."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    number = 0
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        while not stopping.is_set():
            number += 1
            request_id = f"{name}-{number}"
            kind = rng.choice(KINDS)
            at_s = loop.time() - start_s
            address = rng.choice(world.addresses)
            status, body, echoed = await _call(
                session, address, kind, request_id
            )
            note(Seen(request_id, kind, status, body, echoed, at_s))
            await asyncio.sleep(_PAUSE_S)


async def _call(
    session: aiohttp.ClientSession, address: str, kind: str, request_id: str
) -> tuple[int, bytes | None, str]:
    headers = {
        "Host": world_lib.HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Token {world_lib.KEY}",
    }
    if kind in ("question", "dossier"):
        headers["X-Model"] = "m1"
        headers["X-Token-Usage"] = "3000,40"
        headers["X-Prompt-Prefix"] = "aa:2500,bb:500"
    try:
        # POST in every case: aiohttp repeats a GET by itself.
        async with session.post(
            f"http://{address}/{kind}/1", data=b"{}", headers=headers
        ) as response:
            echoed = response.headers.get("X-Request-Id", "")
            try:
                return response.status, await response.read(), echoed
            except (aiohttp.ClientError, TimeoutError):
                return response.status, None, echoed
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, None, ""
