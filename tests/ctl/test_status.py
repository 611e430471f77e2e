"""Tests of `hibiscusctl status` with running processes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess
import sys

from hibiscusstile_standins import ports
from tests import processes


async def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", "hibiscusstile.ctl", "status", *arguments],
        capture_output=True,
        text=True,
    )


async def test_status_shows_revision_servers_and_queues(
    tmp_path: pathlib.Path,
) -> None:
    """Operators can see the revision in force, backend servers and queues."""
    async with processes.process_fleet(
        tmp_path, entries=1, engines=1, services=1
    ) as fleet:
        entry = await _run("--url", fleet.operator_urls["entry-1"], "--json")
        sidecar = await _run("--url", fleet.operator_urls["sidecar-engine-1"])
    page = json.loads(entry.stdout)
    assert page["revision"] == 7
    assert {s["application"] for s in page["backend_servers"]} == {
        "",
        "accounts",
    }
    assert (entry.returncode, sidecar.returncode) == (0, 0)
    lines = sidecar.stdout.splitlines()
    assert lines[0] == "role: sidecar"
    assert "revision: 7" in lines
    assert "waiting: 0" in lines
    assert any("kind=engine_chat model=m1" in line for line in lines)


async def test_no_response_exits_with_1_and_one_line() -> None:
    """A process that is down causes an error line and no traceback."""
    result = await _run("--url", f"http://127.0.0.1:{ports.reserve_port()}")
    assert result.returncode == 1
    assert len(result.stderr.splitlines()) == 1
