"""Gives orders to model engines and reads their reports."""

from __future__ import annotations

import aiohttp
import pydantic

from hibiscusstile import sockets
from hibiscusstile.gateway import engineorders, fleet
from hibiscusstile.platform import headers

__all__ = ["HttpOrders"]

# Engines answer within a few ms; an order is repeated after that.
_REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=0.3, sock_connect=0.3)
# Requests that run go on under the new weights. An engine that lets them end
# first takes 1.4 s for a change in place of 0.6 s, and a fleet's rollout then
# outlasts the next version.
_SWAP_MODE = "continue"
_RESULT_BY_STATUS = {
    200: engineorders.OrderResult.ALREADY_LOADED,
    202: engineorders.OrderResult.ACCEPTED,
    421: engineorders.OrderResult.REPLACED,
}


class _Weights(pydantic.BaseModel):
    name: str
    version: int


class _Report(pydantic.BaseModel):
    models: list[_Weights] = []
    # Whether an order is being carried out.
    busy: bool = False
    # Orders accepted in this lifetime, not a position in a log.
    sequence: int = 0
    waiting: int = 0
    running: int = 0


class HttpOrders(engineorders.EngineOrders):
    """Speaks to the engines' order interface."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def report(
        self, server: fleet.BackendServer
    ) -> engineorders.EngineReport | None:
        """Returns an engine's report, None if it gave none."""
        try:
            async with self._open_session().get(
                f"http://{server.address}/v1/report",
                headers={headers.EXPECTED_SERVER: server.server_id},
            ) as response:
                if response.status != 200:
                    return None
                parsed = _Report.model_validate_json(await response.read())
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            pydantic.ValidationError,
        ):
            return None
        return engineorders.EngineReport(
            versions={each.name: each.version for each in parsed.models},
            busy=parsed.busy,
            orders_accepted=parsed.sequence,
            running=parsed.running,
            waiting=parsed.waiting,
        )

    async def change_weights(
        self, server: fleet.BackendServer, order: engineorders.WeightsOrder
    ) -> engineorders.OrderResponse:
        """Orders an engine to load a version, once."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "swap_mode": _SWAP_MODE,
            "holder": order.holder,
            "fence": order.fence,
            "expect": order.orders_accepted,
        }
        try:
            async with self._open_session().post(
                f"http://{server.address}/v1/order",
                json=body,
                headers={headers.EXPECTED_SERVER: server.server_id},
            ) as response:
                detail = f"{response.status} {await response.text()}"
                result = _RESULT_BY_STATUS.get(
                    response.status, engineorders.OrderResult.REFUSED
                )
        except aiohttp.ClientConnectorError as error:
            return engineorders.OrderResponse(
                engineorders.OrderResult.REFUSED, repr(error)
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return engineorders.OrderResponse(
                engineorders.OrderResult.UNKNOWN, repr(error)
            )
        return engineorders.OrderResponse(result, detail)

    async def close(self) -> None:
        """Closes connections."""
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = sockets.open_session(_REQUEST_TIMEOUT)
        return self._session
