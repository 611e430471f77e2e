"""Tests how a running entry instance refuses invalid HTTP requests."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from hibiscusstile_standins import text
from tests import httpclient, processes

_MAX_BODY_BYTES = 100_000
_READ_TIMEOUT_S = 15.0
_CHAT_REQUEST_LINE = "POST /v1/chat/completions HTTP/1.1"
_PAYMENT_REQUEST_LINE = "POST /v1/services/accounts/payments HTTP/1.1"
_USER_MESSAGE = {"role": "user", "content": "hi"}


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRequest:
    """An invalid request and the refusal that it must get."""

    name: str
    status: int
    reason: str
    request_line: str = _CHAT_REQUEST_LINE
    headers: tuple[str, ...] = ()
    body: bytes = b"{}"
    caller_workspace: str = "buyers"
    content_length: int | None = None


def _chat_body(**fields: object) -> bytes:
    body = {
        "model": "m1",
        "messages": [_USER_MESSAGE],
        "max_tokens": 2,
        **fields,
    }
    return json.dumps(body).encode()


def _image_body(url: str) -> bytes:
    part = {"type": "image_url", "image_url": {"url": url}}
    return _chat_body(messages=[{"role": "user", "content": [part]}])


_INVALID_REQUESTS = (
    InvalidRequest("bad_json", 400, "bad_request", body=b'{"model": '),
    InvalidRequest("not_an_object", 400, "bad_request", body=b"[]"),
    InvalidRequest(
        "not_utf8", 400, "bad_request", body=b'{"model": "\xff\xfe"}'
    ),
    InvalidRequest("deeply_nested", 400, "bad_request", body=b"[" * 50_000),
    InvalidRequest(
        "no_messages", 400, "bad_request", body=_chat_body(messages=[])
    ),
    InvalidRequest(
        "wrong_type", 400, "bad_request", body=_chat_body(max_tokens="many")
    ),
    InvalidRequest(
        "negative_count", 400, "bad_request", body=_chat_body(max_tokens=-1)
    ),
    InvalidRequest(
        "context_exceeded",
        400,
        "bad_request",
        body=_chat_body(max_tokens=131072),
    ),
    InvalidRequest(
        "unknown_model", 404, "not_found", body=_chat_body(model="nope")
    ),
    InvalidRequest(
        "model_not_allowed", 404, "not_found", body=_chat_body(model="m2")
    ),
    InvalidRequest(
        "unknown_adapter", 404, "not_found", body=_chat_body(adapter="nope")
    ),
    InvalidRequest(
        "image_by_url", 400, "bad_request", body=_image_body("http://x/a.png")
    ),
    InvalidRequest(
        "bad_base64",
        400,
        "bad_request",
        body=_image_body("data:image/png;base64,@"),
    ),
    InvalidRequest(
        "body_over_limit", 413, "too_large", body=b" " * (_MAX_BODY_BYTES + 1)
    ),
    InvalidRequest(
        "chunked_body_over_limit",
        413,
        "too_large",
        headers=("Transfer-Encoding: chunked",),
        body=b"1ffff\r\n" + b" " * 0x1FFFF + b"\r\n0\r\n\r\n",
    ),
    InvalidRequest(
        "malformed_chunk",
        400,
        "bad_request",
        headers=("Transfer-Encoding: chunked",),
        body=b"5\r\nhello\r\nzz\r\nworld\r\n",
    ),
    InvalidRequest(
        "two_lengths",
        400,
        "bad_request",
        headers=("Content-Length: 2", "Content-Length: 3"),
    ),
    InvalidRequest(
        "too_many_headers",
        400,
        "bad_request",
        headers=tuple(f"X-{n}: 1" for n in range(200)),
    ),
    InvalidRequest(
        "header_too_long", 400, "bad_request", headers=("X: " + "a" * 20_000,)
    ),
    InvalidRequest("header_with_nul", 400, "bad_request", headers=("X: a\0b",)),
    InvalidRequest(
        "not_http", 400, "bad_request", request_line="\x16\x03\x01 hello"
    ),
    InvalidRequest(
        "slow_sender", 408, "slow_client", body=b"{", content_length=50
    ),
    InvalidRequest(
        "unknown_path", 404, "not_found", request_line="POST /v2/nope HTTP/1.1"
    ),
    InvalidRequest(
        "wrong_method",
        405,
        "method_not_allowed",
        request_line="GET /v1/chat/completions HTTP/1.1",
    ),
    InvalidRequest(
        "wrong_key", 401, "unauthorized", caller_workspace="strangers"
    ),
    InvalidRequest("no_key", 401, "unauthorized", caller_workspace=""),
    InvalidRequest(
        "unknown_rank",
        400,
        "bad_request",
        headers=("Hibiscusstile-Rank: nope",),
    ),
    InvalidRequest(
        "higher_rank",
        403,
        "forbidden",
        headers=("Hibiscusstile-Rank: urgent",),
        caller_workspace="contracts",
    ),
    InvalidRequest(
        "unknown_application",
        404,
        "not_found",
        request_line="POST /v1/services/nope/payments HTTP/1.1",
    ),
    InvalidRequest(
        "key_too_long",
        400,
        "bad_request",
        request_line=_PAYMENT_REQUEST_LINE,
        headers=("Idempotency-Key: " + "k" * 300,),
    ),
)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[processes.Fleet]:
    folder: pathlib.Path = tmp_path_factory.mktemp("bad_input")
    limits = {"body_bytes": _MAX_BODY_BYTES, "body_timeout_s": 0.5}
    async with processes.process_fleet(
        folder, entries=1, engines=1, entry_settings={"limits": limits}
    ) as running:
        yield running


@pytest.mark.parametrize("case", _INVALID_REQUESTS, ids=lambda case: case.name)
async def test_an_invalid_request_gets_a_clear_refusal(
    fleet: processes.Fleet, case: InvalidRequest
) -> None:
    """Guards against unclear errors, wrong verdicts and a broken listener."""
    status, headers, body = await _send_request(fleet, case)
    error = json.loads(body)["error"]
    assert (status, error["type"]) == (case.status, case.reason), error
    assert error["verdict"] == "not_run"
    assert headers["hibiscusstile-verdict"] == "not_run"
    assert headers["hibiscusstile-request-id"]
    assert error["message"]
    assert processes.KEY_SECRET not in body.decode()
    async with httpclient.open_session() as session:
        response = await httpclient.send_chat(
            session,
            fleet.urls["entry-1"],
            fleet.keys["buyers"],
            [_USER_MESSAGE],
            max_tokens=2,
        )
    assert response.words == text.expected_words([_USER_MESSAGE], 2)


async def test_a_slow_head_gets_a_clear_refusal(
    fleet: processes.Fleet,
) -> None:
    """Guards against connections that stay open after an incomplete head."""
    host, _, port = fleet.urls["entry-1"].rpartition("//")[2].partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"{_CHAT_REQUEST_LINE}\r\nHost: entry\r\n".encode())
        async with asyncio.timeout(_READ_TIMEOUT_S):
            status, headers, body = await _read_response(reader)
            assert await reader.read() == b""
    finally:
        writer.close()
    assert (status, json.loads(body)["error"]["type"]) == (408, "slow_client")
    assert headers["hibiscusstile-verdict"] == "not_run"


async def test_refused_requests_reach_no_backend_server(
    fleet: processes.Fleet,
) -> None:
    """Guards against a false `not_run` verdict and secrets in logs."""
    before = len((await fleet.fetch_record("engine-1"))["runs"])
    for case in _INVALID_REQUESTS:
        if case.name != "slow_sender":
            await _send_request(fleet, case)
    assert len((await fleet.fetch_record("engine-1"))["runs"]) == before
    assert (await fleet.fetch_record("service-1"))["payments"] == []
    for process in fleet.entries + fleet.sidecars:
        assert processes.KEY_SECRET not in process.log
        assert processes.PEER_SECRET not in process.log


async def _send_request(
    fleet: processes.Fleet, case: InvalidRequest
) -> tuple[int, dict[str, str], bytes]:
    host, _, port = fleet.urls["entry-1"].rpartition("//")[2].partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = ["Host: entry", "Connection: close", *case.headers]
    if case.caller_workspace:
        key = fleet.keys.get(case.caller_workspace, "hs_nobody_wrong")
        headers.append(f"Authorization: Bearer {key}")
    if not any("Transfer" in h or "Length" in h for h in case.headers):
        content_length = (
            len(case.body)
            if case.content_length is None
            else case.content_length
        )
        headers.append(f"Content-Length: {content_length}")
    head = "\r\n".join([case.request_line, *headers]) + "\r\n\r\n"
    try:
        writer.write(head.encode("latin-1") + case.body)
        async with asyncio.timeout(_READ_TIMEOUT_S):
            return await _read_response(reader)
    finally:
        writer.close()


async def _read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status_line, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers["content-length"]))
    return int(status_line.split()[1]), headers, body
