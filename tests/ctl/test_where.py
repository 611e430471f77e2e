"""Tests of `hibiscusctl where` with a running gateway."""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess
import sys

import aiohttp

from tests.builders import gateway as builders
from tests.builders import gatewayprocess

_OPERATORS_URL = gatewayprocess.METRICS_URL


async def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", "hibiscusstile.ctl", "where", *arguments],
        capture_output=True,
        text=True,
    )


async def test_a_gateway_says_where_a_request_would_go(
    tmp_path: pathlib.Path,
) -> None:
    """The command must ask a running gateway and send the engine nothing."""
    async with (
        gatewayprocess.gateway_process(tmp_path) as gateway,
        aiohttp.ClientSession() as session,
    ):
        await gateway.wait_status(session, 200, 10)
        request = [builders.HOST, "/dossier/1", "--url", _OPERATORS_URL]
        known = ["--workspace", "growers", "--model", "m1", "--part", "aa:200"]
        placed = await _run(*request, *known, "--json")
        text = await _run(*request, *known)
        unknown = await _run(*request, "--workspace", "strangers")
        assert not gateway.engine.arrivals
    page = json.loads(placed.stdout)
    assert (page["verdict"], page["server"]) == ("sent", "i-1")
    assert text.stdout.splitlines()[0] == "verdict: sent"
    assert "server=i-1" in text.stdout
    assert "refused" in unknown.stdout


async def test_a_malformed_request_is_bad_usage() -> None:
    """A mistyped part must be named before anything is asked."""
    result = await _run("h", "/", "--url", "http://127.0.0.1:1", "--part", "aa")
    assert result.returncode == 2
    assert "parts.0.part" in result.stderr
