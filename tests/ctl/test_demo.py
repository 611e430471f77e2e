"""Tests of `hibiscusctl demo` as a separate process."""

from __future__ import annotations

import asyncio
import pathlib
import subprocess
import sys

import pytest

from hibiscusstile.ctl import demoload
from hibiscusstile_standins import ports, text
from tests import builders, httpclient, processes

_MODULE = "hibiscusstile.ctl"


async def test_the_demo_passes_its_own_checks() -> None:
    """The demo serves its load and runs the repeated payment once."""
    result = await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", _MODULE, "demo"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert "ran once" in result.stdout


async def test_sigterm_drains_the_serving_demo(tmp_path: pathlib.Path) -> None:
    """The fleet serves when it prints `ready`, and SIGTERM cuts no stream."""
    port = ports.reserve_port()
    demo = processes.ManagedProcess(
        "demo", [_MODULE, "demo", "--serve", "--port", str(port)], tmp_path
    )
    demo.start()
    try:
        line = await asyncio.to_thread(demo.read_first_line)
        word, *pairs = line.split()
        fields = dict(pair.split("=", 1) for pair in pairs)
        assert word == "ready"
        assert fields["url"] == f"http://127.0.0.1:{port}"
        prompt = builders.chat_messages()
        async with httpclient.open_session() as session:
            chat = asyncio.ensure_future(
                httpclient.send_chat(
                    session,
                    fields["url"],
                    fields["key"],
                    prompt,
                    model=fields["model"],
                    max_tokens=200,
                )
            )
            await asyncio.sleep(0.1)
            demo.terminate()
            answer = await chat
        assert answer.done
        assert answer.words == text.expected_words(prompt, 200)
        assert await demo.wait() == 0
    finally:
        demo.close()


@pytest.mark.parametrize(
    ("statuses", "bodies", "recorded_amounts", "passes"),
    [
        ((201, 201), ("a", "a"), (125,), True),
        ((201, 201), ("a", "a"), (125, 125), False),
        ((201, 201), ("a", "b"), (125,), False),
        ((201, 503), ("a", "a"), (125,), False),
    ],
)
def test_the_payment_check_detects_violations(
    statuses: tuple[int, ...],
    bodies: tuple[str, ...],
    recorded_amounts: tuple[int, ...],
    passes: bool,
) -> None:
    """A repeated run, differing bodies and a failed request are detected."""
    result = demoload.PaymentResult(statuses, bodies, recorded_amounts)
    assert result.executed_once is passes
