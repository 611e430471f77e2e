"""Callers that keep their connections and note what they saw."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable

import aiohttp

from soak import fleet as fleet_lib

__all__ = ["RequestResult", "run_caller"]

_TIMEOUT = aiohttp.ClientTimeout(total=6)
_REQUEST_INTERVAL_S = 0.03
ROUTES = ("lookup", "payment", "question", "dossier")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestResult:
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
    route: str
    status: int
    body: bytes | None
    echoed_id: str
    sent_s: float


async def run_caller(
    fleet: fleet_lib.Fleet,
    name: str,
    rng: random.Random,
    stopping: asyncio.Event,
    record_result: Callable[[RequestResult], None],
) -> None:
    """Sends requests one after the other until told to stop."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    number = 0
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        while not stopping.is_set():
            number += 1
            request_id = f"{name}-{number}"
            route = rng.choice(ROUTES)
            sent_s = loop.time() - start_s
            address = rng.choice(fleet.gateway_addresses)
            status, body, echoed_id = await _send_request(
                session, address, route, request_id
            )
            record_result(
                RequestResult(
                    request_id, route, status, body, echoed_id, sent_s
                )
            )
            await asyncio.sleep(_REQUEST_INTERVAL_S)


async def _send_request(
    session: aiohttp.ClientSession, address: str, route: str, request_id: str
) -> tuple[int, bytes | None, str]:
    headers = {
        "Host": fleet_lib.HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Token {fleet_lib.API_KEY}",
    }
    if route in ("question", "dossier"):
        headers["X-Model"] = "m1"
        headers["X-Token-Usage"] = "3000,40"
        headers["X-Prompt-Prefix"] = "aa:2500,bb:500"
    try:
        # POST in every case: aiohttp repeats a GET by itself.
        async with session.post(
            f"http://{address}/{route}/1", data=b"{}", headers=headers
        ) as response:
            echoed_id = response.headers.get("X-Request-Id", "")
            try:
                return response.status, await response.read(), echoed_id
            except (aiohttp.ClientError, TimeoutError):
                return response.status, None, echoed_id
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, None, ""
