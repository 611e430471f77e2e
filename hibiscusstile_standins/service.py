"""Stand-in for a plain service that records payments."""

from __future__ import annotations

import json

from aiohttp import web

from hibiscusstile_standins import server

__all__ = ["PaymentService"]


class PaymentService(server.StandIn):
    """Takes `POST payments` and `GET balance`, and keeps what it ran."""

    def __init__(self) -> None:
        super().__init__()
        self._payments: list[int] = []

    @property
    def payments(self) -> tuple[int, ...]:
        """Amounts of the payments that ran, in order."""
        return tuple(self._payments)

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        app = web.Application()
        app.router.add_post("/payments", self._pay)
        app.router.add_get("/balance", self._balance)
        app.router.add_get("/health", self._health)
        return app

    async def _pay(self, request: web.Request) -> web.Response:
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
        return web.json_response(
            {"receipt": len(self._payments), "amount": amount}, status=201
        )

    async def _balance(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"balance": sum(self._payments)})

    async def _health(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"ok": True})
