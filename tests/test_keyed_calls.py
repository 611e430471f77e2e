"""Tests of keyed calls through an entry and two sidecars on loopback."""

from __future__ import annotations

import asyncio
import pathlib

import aiohttp

from tests import builders


async def _pay(
    session: aiohttp.ClientSession,
    fleet: builders.CallFleet,
    key: str,
    amount: int = 5,
) -> tuple[int, str, str]:
    async with session.post(
        f"{fleet.url}/payments",
        json={"amount": amount},
        headers={**fleet.headers, "Idempotency-Key": key},
    ) as response:
        verdict = response.headers["Hibiscusstile-Verdict"]
        return response.status, await response.text(), verdict


async def test_key_runs_once_across_retries_and_sidecars(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a retry that executes a payment twice."""
    async with (
        builders.call_fleet(tmp_path / "secret") as fleet,
        aiohttp.ClientSession() as session,
    ):
        answers = await asyncio.gather(
            *(_pay(session, fleet, "k1") for _ in range(8))
        )
        assert len(set(answers)) == 1
        assert answers[0][0] == 201
        conflict = await _pay(session, fleet, "k1", 6)
        assert conflict[0] == 409 and conflict[2] == "not_run"
        for bad in ("k" * 256, "schlüssel"):
            assert (await _pay(session, fleet, bad))[0] == 400
        fleet.log.set_down(True)
        assert await _pay(session, fleet, "k1") == answers[0]
        refused = await _pay(session, fleet, "k2")
        assert refused[0] == 503 and "log_unavailable" in refused[1]
        assert refused[2] == "not_run"
        fleet.log.set_down(False)
        fleet.stops["s1"].set()
        await asyncio.sleep(0.5)
        assert await _pay(session, fleet, "k1") == answers[0]
        assert fleet.payments.payments == (5,)
        assert (await _pay(session, fleet, "k2"))[0] == 201
        assert fleet.payments.payments == (5, 5)
