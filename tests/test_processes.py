"""Tests of the whole system as separate processes."""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import time

import aiohttp

from hibiscusstile_standins import text
from tests import builders, httpclient, processes

_REQUESTS = 200
_CONCURRENCY = 10
_MAX_DURATION_S = 60.0


async def test_each_caller_gets_exactly_its_own_whole_answer(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against swapped, truncated or duplicated answers under load.

    The load mixes streamed and unstreamed chats with payments.
    """
    started_s = time.monotonic()
    async with processes.process_fleet(
        tmp_path, entries=2, engines=2, services=1
    ) as fleet:
        faults = await _send_all(fleet)
        record = await fleet.fetch_record("service-1")
        for process in fleet.entries + fleet.sidecars:
            process.terminate()
        codes = [
            await process.wait() for process in fleet.entries + fleet.sidecars
        ]
    assert faults == []
    assert sorted(record["payments"]) == list(range(3, _REQUESTS, 8))
    assert codes == [0] * 5
    assert time.monotonic() - started_s < _MAX_DURATION_S


async def _send_all(fleet: processes.Fleet) -> list[str]:
    numbers = collections.deque(range(_REQUESTS))
    faults: list[str] = []

    async def send(session: aiohttp.ClientSession) -> None:
        while numbers:
            number = numbers.popleft()
            fault = await _send(session, fleet, number)
            if fault:
                faults.append(f"request {number}: {fault}")

    async with (
        httpclient.open_session() as session,
        asyncio.TaskGroup() as group,
    ):
        for _ in range(_CONCURRENCY):
            group.create_task(send(session))
    return faults


async def _send(
    session: aiohttp.ClientSession, fleet: processes.Fleet, number: int
) -> str:
    url = fleet.urls[fleet.entries[number % len(fleet.entries)].name]
    if number % 8 == 3:
        return await _pay(session, url, fleet.keys["buyers"], number)
    workspace = list(builders.FLEET_WORKSPACES)[number // 2 % 2]
    words = 4 + number % 23
    messages = builders.nested_prompt(
        workspace, number % 5, f"question {number}"
    )
    answer = await httpclient.send_chat(
        session,
        url,
        fleet.keys[workspace],
        messages,
        stream=number % 8 != 5,
        max_tokens=words,
    )
    if answer.status != 200 or not answer.done:
        return f"not answered: {answer}"
    if answer.words != text.expected_words(messages, words):
        return f"wrong answer: {answer.words}"
    return ""


async def _pay(
    session: aiohttp.ClientSession, url: str, key: str, number: int
) -> str:
    async with session.post(
        f"{url}/v1/services/accounts/payments",
        json={"amount": number},
        headers=httpclient.auth_headers(
            key, **{"Idempotency-Key": f"pay-{number}"}
        ),
    ) as response:
        body = await response.text()
        if response.status != 201 or json.loads(body)["amount"] != number:
            return f"payment answered {response.status} {body}"
    return ""
