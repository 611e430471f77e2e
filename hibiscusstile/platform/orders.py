"""HTTP client for the orders to model engines and for their reports."""

from __future__ import annotations

import aiohttp
import pydantic

from hibiscusstile import boundedhttp, sockets
from hibiscusstile.gateway import engineorders, fleet, serverstatements
from hibiscusstile.platform import bounded, headers

__all__ = ["HttpOrders"]

# Engines respond within a few ms. After a timeout, the rollout repeats the
# order.
_REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=0.3, sock_connect=0.3)
# Running requests continue on the new weights. Waiting for their end makes a
# change take 1.4 s instead of 0.6 s, and the rollout of one version is then
# still unfinished when the next one is released.
_SWAP_MODE = "continue"
# A report lists the requests that run, a few dozen bytes each.
_MAX_RESPONSE_BYTES = 256 * 1024
_RESULT_BY_STATUS = {
    200: engineorders.OrderResult.ALREADY_LOADED,
    202: engineorders.OrderResult.ACCEPTED,
    421: engineorders.OrderResult.REPLACED,
}


class _Weights(pydantic.BaseModel):
    name: bounded.Text
    version: bounded.Version


class _Report(pydantic.BaseModel):
    models: list[_Weights] = []
    # Whether the engine is executing an order.
    busy: bool = False
    # Number of orders accepted since the engine's start, not a log offset.
    sequence: bounded.Count = 0
    waiting: bounded.Count = 0
    running: bounded.Count = 0


class HttpOrders(engineorders.EngineOrders):
    """Calls the engines' order interface over HTTP.

    Args:
        statements: Records what engines say of themselves.
    """

    def __init__(self, statements: serverstatements.ServerStatements) -> None:
        self._statements = statements
        self._session: aiohttp.ClientSession | None = None

    async def report(
        self, server: fleet.BackendServer
    ) -> engineorders.EngineReport | None:
        """Returns an engine's report, None if it cannot be read."""
        try:
            async with self._get_session().get(
                f"http://{server.address}/v1/report",
                headers={headers.EXPECTED_SERVER: server.server_id},
            ) as response:
                self._note_statement(server, response)
                if response.status != 200:
                    return None
                parsed = _Report.model_validate_json(
                    await boundedhttp.read_body(response, _MAX_RESPONSE_BYTES)
                )
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
        """Orders an engine to load a version, without retrying."""
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
            async with self._get_session().post(
                f"http://{server.address}/v1/order",
                json=body,
                headers={headers.EXPECTED_SERVER: server.server_id},
            ) as response:
                self._note_statement(server, response)
                text = await boundedhttp.read_body(
                    response, _MAX_RESPONSE_BYTES
                )
                detail = f"{response.status} {text.decode(errors='replace')}"
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
        """Closes the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def _note_statement(
        self, server: fleet.BackendServer, response: aiohttp.ClientResponse
    ) -> None:
        self._statements.note(
            server,
            headers.parse_statement(
                response.status, response.headers, server.server_id
            ),
        )

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = sockets.open_session(_REQUEST_TIMEOUT)
        return self._session
