"""HTTP clients with persistent connections that record their results."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable

import aiohttp

from soak import builders
from soak import fleet as fleet_lib

__all__ = ["ANSWER_SLACK_S", "RequestResult", "request_headers", "run_caller"]

# How long a caller waits for an answer after its deadline.
ANSWER_SLACK_S = 2.0
_DEADLINE_S = 4.0
_TIMEOUT = aiohttp.ClientTimeout(total=_DEADLINE_S + ANSWER_SLACK_S)
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
        sent_s: Time at which sending began, by the event loop's clock.
        gateway: Address of the gateway.
        whole_s: Time at which the last byte had been sent; None if it was not
            sent, or if the client does not tell.
        ended_s: Time of the last byte of the response or of the connection's
            end.
    """

    request_id: str
    route: str
    status: int
    body: bytes | None
    echoed_id: str
    sent_s: float
    gateway: str = ""
    whole_s: float | None = None
    ended_s: float = 0.0


def request_headers(
    route: str, request_id: str, deadline_s: float
) -> dict[str, str]:
    """Returns the headers of a request.

    Args:
        route: Name of the route.
        request_id: The request's id.
        deadline_s: How long the caller waits.
    """
    headers = {
        "Host": builders.HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": f"{deadline_s * 1000:.0f}",
        "Authorization": f"Token {builders.API_KEY}",
    }
    if route in builders.STREAM_EVENTS:
        headers["X-Model"] = "m1"
        headers["X-Token-Usage"] = "3000,40"
        headers["X-Prompt-Prefix"] = "aa:2500,bb:500"
    return headers


async def run_caller(
    fleet: fleet_lib.Fleet,
    name: str,
    rng: random.Random,
    stopping: asyncio.Event,
    record_result: Callable[[RequestResult], None],
) -> None:
    """Sends requests in sequence, to random routes and gateways."""
    loop = asyncio.get_running_loop()
    number = 0
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        while not stopping.is_set():
            number += 1
            request_id = f"{name}-{number}"
            route = rng.choice(ROUTES)
            sent_s = loop.time()
            address = rng.choice(fleet.gateway_addresses)
            status, body, echoed_id = await _send_request(
                session, address, route, request_id
            )
            record_result(
                RequestResult(
                    request_id,
                    route,
                    status,
                    body,
                    echoed_id,
                    sent_s,
                    gateway=address,
                    ended_s=loop.time(),
                )
            )
            await asyncio.sleep(_REQUEST_INTERVAL_S)


async def _send_request(
    session: aiohttp.ClientSession, address: str, route: str, request_id: str
) -> tuple[int, bytes | None, str]:
    headers = request_headers(route, request_id, _DEADLINE_S)
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
