"""Tests of headers and events with numbers of thousands of digits."""

from __future__ import annotations

import pytest

from tests.builders import gateway as builders
from tests.builders import rawserver

_DIGITS = "9" * 5000
_SERVER_FIELDS = [
    {"X_Weight_Versions": _DIGITS},
    {"Retry_After": _DIGITS},
    {"Retry_After": "Mon, 01 Jan 2024 00:00:00 +" + "9" * 20, "Date": "x"},
    {"X_Weight_Versions": "٣"},
]


@pytest.mark.parametrize("path", ["/lookup/1", "/dossier/1"])
@pytest.mark.parametrize("digits", [_DIGITS, "9" * 400])
@pytest.mark.parametrize(
    "field", ["X_Token_Usage", "X_Prompt_Prefix", "X_Deadline_Ms"]
)
async def test_a_huge_number_of_a_caller_is_served(
    path: str, digits: str, field: str
) -> None:
    """Guards against an internal error for a number that is out of range."""
    text = f"aa:{digits}" if field == "X_Prompt_Prefix" else digits
    async with builders.gateway_harness() as world:
        await world.add_runner(builders.PLAIN_SERVICE, "i-1")
        await world.add_runner(builders.ENGINE_SERVICE, "i-2")
        status, _, _ = await world.call(path, X_Model="m1", **{field: text})
        assert status == 200


@pytest.mark.parametrize("fields", _SERVER_FIELDS)
@pytest.mark.parametrize("status", ["200 OK", "503 Busy"])
async def test_a_huge_number_of_a_server_is_relayed(
    fields: dict[str, str], status: str
) -> None:
    """Guards against an internal error for a response that is complete."""
    mark = {} if status == "200 OK" else {"X_Not_Executed": "1"}

    async def answer(
        connection: rawserver.RawConnection, request_id: str
    ) -> None:
        await connection.send(
            rawserver.response_bytes(
                request_id, b"x", status=status, **mark, **fields
            )
        )

    async with (
        rawserver.raw_server(rawserver.AnswerSequence(answer).serve) as address,
        builders.gateway_harness() as world,
    ):
        await world.add_address(builders.PLAIN_SERVICE, "i-1", address)
        received, _, _ = await world.call("/payment/1")
        assert received == (200 if status == "200 OK" else 503)


@pytest.mark.parametrize(
    "event",
    [
        f"x-weight-versions: {_DIGITS}\nid: 1\ndata: x\n\n",
        f"id: {_DIGITS}\ndata: x\n\n",
    ],
)
async def test_a_huge_number_in_an_event_is_relayed(event: str) -> None:
    """Guards against a stream that is cut at a number out of range."""
    body = (event + "id: 2\ndata: y\n\n").encode()

    async def answer(
        connection: rawserver.RawConnection, request_id: str
    ) -> None:
        await connection.send(
            rawserver.response_bytes(
                request_id, body, Content_Type="text/event-stream"
            )
        )

    async with (
        rawserver.raw_server(rawserver.AnswerSequence(answer).serve) as address,
        builders.gateway_harness() as world,
    ):
        await world.add_address(builders.ENGINE_SERVICE, "i-1", address)
        assert await world.receive("/question/1") == (200, body, True)
