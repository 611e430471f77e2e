"""Callers that use a connection for as long as its gateway keeps it open."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import TypeAlias

from soak import balancer as balancer_lib
from soak import builders, callers, channel

__all__ = ["BODIES", "GATEWAY_CHOICES", "RouteMix", "run_caller"]

_REQUEST_INTERVAL_S = 0.03
_REFUSED_CONNECTION_DELAY_S = 0.05
_MAX_RETRY_AFTER_S = 1.0
# Share of long streams among the requests of callers that send any.
_LONG_SHARE = 0.4
_LARGE_BODY_BYTES = 300_000

_Choice: TypeAlias = Callable[[balancer_lib.Balancer, random.Random, str], str]
_Body: TypeAlias = Callable[[random.Random], Sequence[channel.BodyPart]]
GATEWAY_CHOICES: dict[str, _Choice] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMix:
    """Routes of a caller.

    Attributes:
        short: Routes of most requests.
        long: Route of the long streams.
    """

    short: tuple[str, ...] = ("lookup", "payment", "question", "dossier")
    long: str = "report"


_DEFAULT_MIX = RouteMix()
BODIES: dict[str, _Body] = {}


def _choice(function: _Choice) -> _Choice:
    GATEWAY_CHOICES[function.__name__] = function
    return function


def _body(function: _Body) -> _Body:
    BODIES[function.__name__] = function
    return function


@_choice
def by_readiness(
    balancer: balancer_lib.Balancer, rng: random.Random, last: str
) -> str:
    """Chooses a gateway that is ready."""
    return balancer.choose(rng, last)


@_choice
def any_other(
    balancer: balancer_lib.Balancer, rng: random.Random, last: str
) -> str:
    """Chooses any gateway but the last one."""
    return rng.choice([each for each in balancer.all if each != last])


@_body
def short(rng: random.Random) -> Sequence[channel.BodyPart]:
    """Returns a body that fits into one packet."""
    del rng
    return (channel.BodyPart(b"{}"),)


@_body
def large(rng: random.Random) -> Sequence[channel.BodyPart]:
    """Returns a body that takes many reads."""
    return (channel.BodyPart(rng.randbytes(_LARGE_BODY_BYTES)),)


@_body
def half_sent(rng: random.Random) -> Sequence[channel.BodyPart]:
    """Returns a body whose second half follows after a pause."""
    return (
        channel.BodyPart(b'{"a":'),
        channel.BodyPart(b"1}", min(rng.expovariate(3.0), 2.0)),
    )


async def run_caller(
    balancer: balancer_lib.Balancer,
    name: str,
    rng: random.Random,
    stopping: asyncio.Event,
    record_result: Callable[[callers.RequestResult], None],
    mix: RouteMix = _DEFAULT_MIX,
) -> None:
    """Sends requests one after the other on one connection at a time.

    Args:
        balancer: Knows the gateways.
        name: Prefix of the request ids.
        rng: Random numbers of the caller.
        stopping: Set when no further request may be sent.
        record_result: Gets the result of each request.
        mix: Routes of the requests.
    """
    long_share = rng.choice((0.0, _LONG_SHARE))
    choose = GATEWAY_CHOICES[rng.choice(sorted(GATEWAY_CHOICES))]
    connection: channel.Channel | None = None
    address = ""
    number = 0
    while not stopping.is_set():
        if connection is None or connection.closed:
            address = choose(balancer, rng, address)
            try:
                connection = await channel.Channel.open(address)
            except OSError:
                connection = None
                await asyncio.sleep(_REFUSED_CONNECTION_DELAY_S)
                continue
        number += 1
        is_long = rng.random() < long_share
        route = mix.long if is_long else rng.choice(mix.short)
        answer, result = await _send(
            connection, address, route, f"{name}-{number}", rng
        )
        record_result(result)
        if not answer.keeps_connection:
            connection.close()
            connection = None
        await asyncio.sleep(_pause_s(answer))
    if connection is not None:
        connection.close()


async def _send(
    connection: channel.Channel,
    address: str,
    route: str,
    request_id: str,
    rng: random.Random,
) -> tuple[channel.Answer, callers.RequestResult]:
    timeout_s = builders.ROUTE_TIMEOUTS_S[route]
    answer = await connection.request(
        f"/{route}/1",
        callers.request_headers(route, request_id, timeout_s),
        BODIES[rng.choice(sorted(BODIES))](rng),
        chunked=rng.random() < 0.3,
        timeout_s=timeout_s + callers.ANSWER_SLACK_S,
    )
    return answer, callers.RequestResult(
        request_id,
        route,
        answer.status,
        answer.body,
        answer.headers.get("x-request-id", ""),
        answer.started_s,
        address,
        answer.sent_s,
        answer.ended_s,
    )


def _pause_s(answer: channel.Answer) -> float:
    """Returns the time to the next request, which honours Retry-After."""
    try:
        retry_after_s = float(answer.headers.get("retry-after", "0"))
    except ValueError:
        retry_after_s = 0.0
    return max(_REQUEST_INTERVAL_S, min(retry_after_s, _MAX_RETRY_AFTER_S))
