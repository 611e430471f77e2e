"""Chooses gateways for new connections, as the platform's balancer does."""

from __future__ import annotations

import asyncio
import random

import aiohttp

from soak import fleet as fleet_lib

__all__ = ["Balancer"]

_CHECK_INTERVAL_S = 1.0
_MAX_MISSES = 2
_CHECK_TIMEOUT = aiohttp.ClientTimeout(total=0.9)


class Balancer:
    """Checks the readiness of gateways once a second.

    A gateway that misses two checks in a row gets no new connections until it
    answers one. If fewer than half would remain, all are used.

    Args:
        fleet: The gateways.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._misses = dict.fromkeys(fleet.gateway_addresses, 0)

    @property
    def usable(self) -> list[str]:
        """Addresses of the gateways that get new connections."""
        found = [
            address
            for address, misses in self._misses.items()
            if misses < _MAX_MISSES
        ]
        return found if 2 * len(found) >= len(self._misses) else self.all

    @property
    def all(self) -> list[str]:
        """Addresses of all gateways."""
        return list(self._misses)

    def choose(self, rng: random.Random, last: str) -> str:
        """Returns the gateway for a new connection, mostly another one."""
        others = [address for address in self.usable if address != last]
        return rng.choice(others or self.all)

    async def run(self) -> None:
        """Checks until cancelled."""
        async with aiohttp.ClientSession(timeout=_CHECK_TIMEOUT) as session:
            while True:
                checks = [
                    self._check(session, *addresses)
                    for addresses in zip(
                        self._fleet.gateway_addresses,
                        self._fleet.ready_addresses,
                        strict=True,
                    )
                ]
                await asyncio.gather(*checks)
                await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _check(
        self, session: aiohttp.ClientSession, address: str, ready: str
    ) -> None:
        try:
            async with session.get(f"http://{ready}/v1/ready") as response:
                succeeded = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            succeeded = False
        self._misses[address] = 0 if succeeded else self._misses[address] + 1
