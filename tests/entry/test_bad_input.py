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

_BODY_BYTES = 100_000
_READ_S = 15.0
_CHAT = "POST /v1/chat/completions HTTP/1.1"
_PAY = "POST /v1/services/accounts/payments HTTP/1.1"
_USER = {"role": "user", "content": "hi"}


@dataclasses.dataclass(frozen=True, slots=True)
class Bad:
    """An invalid request and the refusal that it must get."""

    name: str
    status: int
    reason: str
    line: str = _CHAT
    headers: tuple[str, ...] = ()
    body: bytes = b"{}"
    workspace: str = "buyers"
    length: int | None = None


def _json(**fields: object) -> bytes:
    body = {"model": "m1", "messages": [_USER], "max_tokens": 2, **fields}
    return json.dumps(body).encode()


def _image(url: str) -> bytes:
    part = {"type": "image_url", "image_url": {"url": url}}
    return _json(messages=[{"role": "user", "content": [part]}])


_CASES = (
    Bad("bad_json", 400, "bad_request", body=b'{"model": '),
    Bad("not_an_object", 400, "bad_request", body=b"[]"),
    Bad("not_utf8", 400, "bad_request", body=b'{"model": "\xff\xfe"}'),
    Bad("deeply_nested", 400, "bad_request", body=b"[" * 50_000),
    Bad("no_messages", 400, "bad_request", body=_json(messages=[])),
    Bad("wrong_type", 400, "bad_request", body=_json(max_tokens="many")),
    Bad("negative_count", 400, "bad_request", body=_json(max_tokens=-1)),
    Bad("too_long_answer", 400, "bad_request", body=_json(max_tokens=131072)),
    Bad("unknown_model", 404, "not_found", body=_json(model="nope")),
    Bad("others_model", 404, "not_found", body=_json(model="m2")),
    Bad("unknown_adapter", 404, "not_found", body=_json(adapter="nope")),
    Bad("image_by_link", 400, "bad_request", body=_image("http://x/a.png")),
    Bad(
        "bad_base64", 400, "bad_request", body=_image("data:image/png;base64,@")
    ),
    Bad("body_over_limit", 413, "too_large", body=b" " * (_BODY_BYTES + 1)),
    Bad(
        "chunked_body_over_limit",
        413,
        "too_large",
        headers=("Transfer-Encoding: chunked",),
        body=b"1ffff\r\n" + b" " * 0x1FFFF + b"\r\n0\r\n\r\n",
    ),
    Bad(
        "malformed_chunk",
        400,
        "bad_request",
        headers=("Transfer-Encoding: chunked",),
        body=b"5\r\nhello\r\nzz\r\nworld\r\n",
    ),
    Bad(
        "two_lengths",
        400,
        "bad_request",
        headers=("Content-Length: 2", "Content-Length: 3"),
    ),
    Bad(
        "too_many_headers",
        400,
        "bad_request",
        headers=tuple(f"X-{n}: 1" for n in range(200)),
    ),
    Bad("header_too_long", 400, "bad_request", headers=("X: " + "a" * 20_000,)),
    Bad("header_with_nul", 400, "bad_request", headers=("X: a\0b",)),
    Bad("not_http", 400, "bad_request", line="\x16\x03\x01 hello"),
    Bad("slow_sender", 408, "slow_client", body=b"{", length=50),
    Bad("unknown_path", 404, "not_found", line="POST /v2/nope HTTP/1.1"),
    Bad(
        "wrong_method",
        405,
        "method_not_allowed",
        line="GET /v1/chat/completions HTTP/1.1",
    ),
    Bad("wrong_key", 401, "unauthorized", workspace="strangers"),
    Bad("no_key", 401, "unauthorized", workspace=""),
    Bad(
        "unknown_rank",
        400,
        "bad_request",
        headers=("Hibiscusstile-Rank: nope",),
    ),
    Bad(
        "higher_rank",
        403,
        "forbidden",
        headers=("Hibiscusstile-Rank: urgent",),
        workspace="contracts",
    ),
    Bad(
        "unknown_application",
        404,
        "not_found",
        line="POST /v1/services/nope/payments HTTP/1.1",
    ),
    Bad(
        "key_too_long",
        400,
        "bad_request",
        line=_PAY,
        headers=("Idempotency-Key: " + "k" * 300,),
    ),
)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[processes.Fleet]:
    folder: pathlib.Path = tmp_path_factory.mktemp("bad_input")
    limits = {"body_bytes": _BODY_BYTES, "body_timeout_s": 0.5}
    async with processes.process_fleet(
        folder, entries=1, engines=1, entry_settings={"limits": limits}
    ) as running:
        yield running


@pytest.mark.parametrize("bad", _CASES, ids=lambda bad: bad.name)
async def test_bad_input_gets_a_clear_refusal(
    fleet: processes.Fleet, bad: Bad
) -> None:
    """Guards against unclear errors, wrong verdicts and a broken listener."""
    status, headers, body = await _send(fleet, bad)
    error = json.loads(body)["error"]
    assert (status, error["type"]) == (bad.status, bad.reason), error
    assert error["verdict"] == "not_run"
    assert headers["hibiscusstile-verdict"] == "not_run"
    assert headers["hibiscusstile-request-id"]
    assert error["message"]
    assert processes.KEY_SECRET not in body.decode()
    async with httpclient.open_session() as session:
        good = await httpclient.send_chat(
            session,
            fleet.urls["entry-1"],
            fleet.keys["buyers"],
            [_USER],
            max_tokens=2,
        )
    assert good.words == text.expected_words([_USER], 2)


async def test_a_slow_head_gets_a_clear_refusal(
    fleet: processes.Fleet,
) -> None:
    """Guards against connections that stay open after an incomplete head."""
    host, _, port = fleet.urls["entry-1"].rpartition("//")[2].partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"{_CHAT}\r\nHost: entry\r\n".encode())
        async with asyncio.timeout(_READ_S):
            status, headers, body = await _read(reader)
            assert await reader.read() == b""
    finally:
        writer.close()
    assert (status, json.loads(body)["error"]["type"]) == (408, "slow_client")
    assert headers["hibiscusstile-verdict"] == "not_run"


async def test_refused_requests_reach_no_backend_server(
    fleet: processes.Fleet,
) -> None:
    """Guards against a false `not_run` verdict and secrets in logs."""
    before = len((await fleet.record("engine-1"))["runs"])
    for bad in _CASES:
        if bad.name != "slow_sender":
            await _send(fleet, bad)
    assert len((await fleet.record("engine-1"))["runs"]) == before
    assert (await fleet.record("service-1"))["payments"] == []
    for process in fleet.entries + fleet.sidecars:
        assert processes.KEY_SECRET not in process.log
        assert processes.PEER_SECRET not in process.log


async def _send(
    fleet: processes.Fleet, bad: Bad
) -> tuple[int, dict[str, str], bytes]:
    host, _, port = fleet.urls["entry-1"].rpartition("//")[2].partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = ["Host: entry", "Connection: close", *bad.headers]
    if bad.workspace:
        key = fleet.keys.get(bad.workspace, "hs_nobody_wrong")
        headers.append(f"Authorization: Bearer {key}")
    if not any("Transfer" in h or "Length" in h for h in bad.headers):
        length = len(bad.body) if bad.length is None else bad.length
        headers.append(f"Content-Length: {length}")
    head = "\r\n".join([bad.line, *headers]) + "\r\n\r\n"
    try:
        writer.write(head.encode("latin-1") + bad.body)
        async with asyncio.timeout(_READ_S):
            return await _read(reader)
    finally:
        writer.close()


async def _read(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers["content-length"]))
    return int(first.split()[1]), headers, body
