"""HTTP clients with persistent connections that record their results."""

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
    """Result of one request.

    Attributes:
        request_id: Request id that was sent.
        route: Name of the route.
        status: Status of the response, 0 if there was none.
        body: Body of the response, None if it is incomplete.
        echoed_id: Request id in the response.
        sent_s: Time of sending, relative to the start of the caller.
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
    """Sends requests in sequence, to random routes and gateways."""
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
        # Always POST, because aiohttp retries a GET on its own.
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
