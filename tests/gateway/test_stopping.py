"""Tests of a planned stop of the gateway."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import signal
from collections.abc import Iterator

import aiohttp
import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome, supervisor
from hibiscusstile.entry import listener
from hibiscusstile.gateway import stopping
from hibiscusstile.platform import boot
from hibiscusstile.roles import gateway as gateway_role
from tests.builders import gateway as builders
from tests.builders import gatewayprocess

_EVENTS = 60
_CALLERS = 6


async def _call_until_stopped(
    gateway: gatewayprocess.GatewayProcess, numbers: Iterator[int]
) -> list[tuple[str, int, bool]]:
    """Sends requests on new connections until these are refused.

    Returns:
        The id, the status, and whether the response was complete, of each
        request.
    """
    results = []
    while True:
        request_id = f"r{next(numbers)}"
        status, complete = 0, False
        headers = {**gatewayprocess.HEADERS, "X-Request-Id": request_id}
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(
                    gateway.url, data=b"{}", headers=headers
                ) as response:
                    status = response.status
                    body = await response.read()
                    complete = status != 200 or body.count(b"data: ") == _EVENTS
            except aiohttp.ClientConnectorError:
                return results
            except aiohttp.ClientError:
                pass
        results.append((request_id, status, complete))
        if status == 503:
            await asyncio.sleep(0.1)


async def test_a_request_that_cannot_end_before_the_exit_is_not_begun(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against streams that are begun during a stop and then cut."""
    async with gatewayprocess.gateway_process(
        tmp_path, {"grace_s": 5}, events=_EVENTS, pace_s=0.02
    ) as gateway:
        async with aiohttp.ClientSession() as session:
            await gateway.wait_status(session, 200, 10)
        numbers = itertools.count()
        callers = [
            asyncio.ensure_future(_call_until_stopped(gateway, numbers))
            for _ in range(_CALLERS)
        ]
        await asyncio.sleep(1.5)
        assert gateway.process is not None
        gateway.process.send_signal(signal.SIGTERM)
        results = [
            result
            for results in await asyncio.gather(*callers)
            for result in results
        ]
        arrived = {each.request_id for each in gateway.engine.arrivals}
    assert any(status == 200 for _, status, _ in results)
    assert [
        (request_id, status)
        for request_id, status, complete in results
        if not complete and (status or request_id in arrived)
    ] == []


async def test_the_port_is_closed_when_the_drain_ends(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    """Guards against requests that arrive between the drain and the exit."""
    settings = tmp_path / "node.toml"
    settings.write_text(
        'node = "g"\nzone = "z1"\nip = "127.0.0.1"\n'
        '[listen]\nfront = "127.0.0.1:0"\nready = "127.0.0.1:0"\n'
        '[platform]\naddress = "127.0.0.1:1"\n[bounds]\ngrace_s = 2\n'
    )
    monkeypatch.setenv("HIBISCUSSTILE_NODE_FILE", str(settings))
    clock = clock_lib.SystemClock()
    role = gateway_role.GatewayRole(boot.load_boot_settings(settings), clock)
    root = supervisor.Supervisor("gateway", clock)
    role.build(root)
    serving = asyncio.ensure_future(root.run())
    await role.wait_ready()
    await role.drain()
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection("127.0.0.1", role.ports["callers"])
    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving
    await role.close()


async def test_a_request_that_meets_the_close_of_its_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a close between a request's arrival and its handler."""
    async with builders.gateway_harness() as harness:
        await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        receive = listener.HttpProtocol.data_received

        def close_after(protocol: listener.HttpProtocol, data: bytes) -> None:
            receive(protocol, data)
            harness.front.close_idle()

        monkeypatch.setattr(listener.HttpProtocol, "data_received", close_after)
        status, _, _ = await harness.call("/lookup/1")
        assert status == 200


async def test_a_new_connection_stays_open_for_its_first_request() -> None:
    """Guards against closes between a connect and the request that follows."""
    async with builders.gateway_harness() as harness:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.front.port
        )
        await harness.until(lambda: harness.front.connections == 1)
        await asyncio.sleep(0.05)
        harness.front.close_idle()
        writer.write(b"GET / HTTP/1.1\r\nHost: callers.example\r\n\r\n")
        assert await reader.read(12) == b"HTTP/1.1 400"
        await asyncio.sleep(0.6)
        harness.front.close_idle()
        await asyncio.wait_for(reader.read(), 1.0)
        writer.close()
        silent, writer = await asyncio.open_connection(
            "127.0.0.1", harness.front.port
        )
        await asyncio.sleep(0.6)
        harness.front.close_idle()
        assert await silent.read() == b""
        writer.close()


async def test_a_request_without_a_response_is_answered_before_the_exit() -> (
    None
):
    """Guards against connections that close without a response at the exit."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        runner.misbehave("hang")
        call = asyncio.ensure_future(harness.call("/lookup/1"))
        await harness.until(lambda: harness.gateway.active == 1)
        now_s = harness.state.clock.monotonic()
        harness.gateway.start_draining(
            stopping.StopSchedule(now_s, now_s + 0.3, now_s + 0.5)
        )
        status, _, headers = await asyncio.wait_for(call, 1.0)
        assert status == 502
        assert headers["Connection"] == "close"


async def test_a_long_stream_late_in_a_stop_is_refused_and_not_cut() -> None:
    """Guards against estimating a stream's time from shorter streams."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        question = ("/question/1", builders.prompt_headers("a", "b"))
        for number in range(12):
            await harness.call(question[0], f"r{number}", **question[1])
        now_s = harness.state.clock.monotonic()
        harness.gateway.start_draining(
            stopping.StopSchedule(now_s, now_s + 0.8, now_s + 1.0)
        )
        short = await harness.receive(
            question[0], "short", X_Deadline_Ms="300", **question[1]
        )
        runner.set_streams(events=40, pace_s=0.05)
        status, _, complete = await harness.receive(
            question[0], "long", **question[1]
        )
        arrived = [each.request_id for each in runner.arrivals]
    assert (short[0], short[2]) == (200, True)
    assert (status, complete) == (503, True)
    assert "long" not in arrived


def _refusal(
    limit_s: float, *, after_s: float, others_serve: bool = True
) -> outcome.Refusal | None:
    return stopping.refusal(
        stopping.StopSchedule.after_signal(100.0, 8.0),
        limit_s=limit_s,
        now_s=100.0 + after_s,
        others_serve=others_serve,
    )


def test_all_requests_are_taken_while_the_balancer_counts_on_the_process() -> (
    None
):
    """Guards against refusals before callers can be sent elsewhere."""
    assert _refusal(9.0, after_s=2.3) is None
    assert _refusal(9.0, after_s=2.5) is not None


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 5.0, 8.0, 60.0])
def test_little_of_a_short_stop_is_reserved(grace_s: float) -> None:
    """Guards against streams cut long before the kill signal."""
    schedule = stopping.StopSchedule.after_signal(100.0, grace_s)
    assert schedule.answer_until_s >= 100.0 + grace_s * 5 / 6
    assert schedule.answer_until_s < schedule.exit_s < 100.0 + grace_s


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 5.0, 8.0, 60.0])
def test_a_request_that_is_taken_late_has_its_whole_time_limit(
    grace_s: float,
) -> None:
    """Guards against requests that a stop ends before their time limit."""
    schedule = stopping.StopSchedule.after_signal(0.0, grace_s)
    for after_s, limit_s, others_serve in itertools.product(
        (grace_s * step / 40 for step in range(41)),
        (0.05, 0.2, 1.0, 4.0, 10.0, 60.0),
        (False, True),
    ):
        refused = stopping.refusal(
            schedule, limit_s=limit_s, now_s=after_s, others_serve=others_serve
        )
        ends_in_time = after_s + limit_s <= schedule.answer_until_s
        is_late = after_s >= schedule.accept_all_until_s
        assert (refused is None) == (ends_in_time or not is_late)


def test_short_requests_are_taken_for_longer_than_streams() -> None:
    """Guards against an outage for all callers when every process stops."""
    assert _refusal(0.7, after_s=6.0) is None
    assert _refusal(4.0, after_s=3.0) is not None
    assert _refusal(1.0, after_s=6.0) is not None


def test_a_caller_waits_for_a_restart_only_if_no_other_process_serves() -> None:
    """Guards against callers that return to processes that all stop."""
    elsewhere = _refusal(3.0, after_s=4.0)
    nowhere = _refusal(3.0, after_s=4.0, others_serve=False)
    assert elsewhere is not None and elsewhere.retry_after is not None
    assert nowhere is not None and nowhere.retry_after is not None
    assert elsewhere.verdict is nowhere.verdict is outcome.Verdict.NOT_RUN
    assert elsewhere.retry_after.total_seconds() < 0.1
    assert 2.0 < nowhere.retry_after.total_seconds() < 4.0
