"""Ordinary callers with payments on kept channels, and LOST for them."""

from __future__ import annotations

import asyncio
import dataclasses

import world2

# More than three requests that were passed on may not be closed unanswered.
MOST_LOST = 3
_ANSWER_S = 3.0


@dataclasses.dataclass(slots=True)
class Order:
    """A payment of an ordinary caller."""

    request_id: str
    gateway: str
    kept: bool
    status: int | None
    channel_closed: bool


class Callers:
    """Callers that send one payment after the other.

    Args:
        gateways: The gateways, which get equally many callers.
        count: Callers of one gateway.
    """

    def __init__(self, gateways: list[world2.Gateway], count: int) -> None:
        self.orders: list[Order] = []
        self._stop = asyncio.Event()
        self._tasks = [
            asyncio.create_task(self._run(gateway, number))
            for gateway in gateways
            for number in range(count)
        ]

    async def stop(self) -> None:
        """Lets them end their last payments."""
        self._stop.set()
        await asyncio.gather(*self._tasks)

    async def _run(self, gateway: world2.Gateway, number: int) -> None:
        count = 0
        while not self._stop.is_set():
            try:
                channel = await world2.Channel.open(gateway.callers)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.5)
                continue
            kept = False
            while not self._stop.is_set() and not channel.dead:
                count += 1
                request_id = f"{gateway.name}-{number}-{count}"
                answer = await channel.ask(
                    world2.request("/order/1", request_id), _ANSWER_S
                )
                self.orders.append(
                    Order(
                        request_id,
                        gateway.name,
                        kept,
                        answer.status if answer else None,
                        channel.dead,
                    )
                )
                if answer is None:
                    break
                kept = True
            channel.close()


def is_broken(
    record: world2.Record, world: world2.World, orders: list[Order]
) -> bool:
    """Applies LOST to the kept channels of each gateway."""
    ran = {
        each["request_id"]
        for runner in world.runners
        if runner.service == "accounts"
        for each in world.arrivals(runner)
        if each["ran"]
    }
    broken = False
    for gateway in world.gateways:
        own = [each for each in orders if each.gateway == gateway.name]
        answered = [each for each in own if each.status == 200]
        lost = [
            each.request_id
            for each in own
            if each.kept
            and each.status is None
            and each.channel_closed
            and each.request_id in ran
        ]
        record.note(
            f"{gateway.name}: {len(own)} payments, {len(answered)} answered"
            f" with 200; passed on to a runner and closed without an answer, on"
            f" a kept channel: {len(lost)} {lost}"
        )
        broken = broken or len(lost) > MOST_LOST
    record.note("LOST is broken" if broken else "LOST holds")
    return broken
