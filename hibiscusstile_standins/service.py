"""Stand-in for a plain service that records payments."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

import hibiscusstile_standins
from hibiscusstile_standins import server

__all__ = ["PaymentService", "ServiceRun"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRun:
    """One call that was executed."""

    method: str
    path: str
    body: str


@hibiscusstile_standins.stand_ins.register()
class PaymentService(server.StandIn):
    """Serves `POST /payments` and `GET /balance`.

    Payments survive a crash, as in a database.
    """

    name = "service"

    def __init__(self) -> None:
        super().__init__()
        self._payments: list[int] = []
        self._runs: list[ServiceRun] = []
        self._delay_s = 0.0
        self._responses_to_drop = 0
        self._remaining_refusals = 0
        self._refusal_status = 503

    @property
    def payments(self) -> tuple[int, ...]:
        """Amounts of the executed payments, in order."""
        return tuple(self._payments)

    @property
    def runs(self) -> tuple[ServiceRun, ...]:
        """The executed calls, in order."""
        return tuple(self._runs)

    @server.fault
    def set_delay(self, delay_s: float) -> None:
        """Delays each call before it is executed."""
        self._delay_s = delay_s

    @server.fault
    def lose_answers(self, count: int) -> None:
        """Closes the connections of the next calls after their execution."""
        self._responses_to_drop = count

    @server.fault
    def refuse(self, count: int, status: int = 503) -> None:
        """Refuses the next calls without executing them."""
        self._remaining_refusals = count
        self._refusal_status = status

    def application(self) -> web.Application:
        """Returns the web application of the service."""
        app = server.new_application()
        app.router.add_post("/payments", self._post_payment)
        app.router.add_get("/balance", self._get_balance)
        app.router.add_get("/health", self._get_health)
        return app

    def record(self) -> dict[str, Any]:
        """Returns the executed payments and calls."""
        return {
            "payments": list(self._payments),
            "runs": [dataclasses.asdict(run) for run in self._runs],
        }

    async def _post_payment(self, request: web.Request) -> web.Response:
        refusal = await self._begin_call()
        if refusal is not None:
            return refusal
        try:
            amount = (await request.json())["amount"]
        except (json.JSONDecodeError, KeyError, TypeError):
            return web.json_response(
                {"message": "amount is missing"}, status=400
            )
        if not isinstance(amount, int):
            return web.json_response(
                {"message": "amount must be an integer"}, status=400
            )
        self._payments.append(amount)
        await self._finish_call(request)
        return web.json_response(
            {"receipt": len(self._payments), "amount": amount}, status=201
        )

    async def _get_balance(self, request: web.Request) -> web.Response:
        refusal = await self._begin_call()
        if refusal is not None:
            return refusal
        await self._finish_call(request)
        return web.json_response({"balance": sum(self._payments)})

    async def _get_health(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"ok": True})

    async def _begin_call(self) -> web.Response | None:
        await asyncio.sleep(self._delay_s)
        if not self._remaining_refusals:
            return None
        self._remaining_refusals -= 1
        return web.json_response(
            {"message": "refused by an injected fault"},
            status=self._refusal_status,
        )

    async def _finish_call(self, request: web.Request) -> None:
        body = (await request.read()).decode(errors="replace")
        self._runs.append(ServiceRun(request.method, request.path, body))
        if self._responses_to_drop:
            self._responses_to_drop -= 1
            server.drop_connection(request)
