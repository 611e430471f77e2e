"""Tests of the responses to callers when servers misbehave, over sockets."""

from __future__ import annotations

import asyncio

import aiohttp
import logbook
import pytest

from tests.builders import gateway as builders

_QUESTION = {
    "X_Token_Usage": "300,40",
    "X_Prompt_Prefix": "aa:200,bb:100",
}
_MODEL = {
    "X_Model": "m1",
    "X_Token_Usage": "12000,100",
    "X_Prompt_Prefix": "aa:10000,bb:2000",
}


async def test_a_request_is_forwarded_without_reserved_headers() -> None:
    """Guards against forged workspaces and API keys that reach a server."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        status, body, headers = await harness.call(
            "/lookup/a%20b?x=1&y=%2F",
            body=b"\x00body",
            X_Tenant_Id="forged",
            X_Cache_Salt="forged",
            X_Hold="forged",
            Connection="X-Private",
            X_Private="1",
        )
        arrival = runner.arrivals[0]
    assert status == 200
    assert body == b"answer to r1 of i-1"
    assert headers["X-Response-Stamp"].startswith("i-1.")
    assert arrival.target == "/lookup/a%20b?x=1&y=%2F"
    assert arrival.body == b"\x00body"
    assert arrival.headers["X-Tenant-Id"] == "growers"
    assert arrival.headers["X-Expect-Instance"] == "i-1"
    assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= 2000
    for name in (
        "Authorization",
        "X-Cache-Salt",
        "X-Hold",
        "X-Private",
        "Accept",
        "Accept-Encoding",
        "User-Agent",
        "Content-Type",
    ):
        assert name not in arrival.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/", builders.KEY, 404),
        ("/lookup/1", "unknown", 401),
        ("/lookup/1", "", 401),
    ],
)
async def test_a_request_without_a_route_or_a_valid_key_is_refused(
    path: str, key: str, status: int
) -> None:
    """Guards against requests that are served without a route or a key."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        answer = await harness.call(path, Authorization=f"Token {key}")
        assert answer[0] == status
        assert not runner.arrivals


async def test_a_reset_response_without_a_length_is_incomplete() -> None:
    """Guards against truncated responses that look complete."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        runner.misbehave("unframed_reset")
        status, _, _ = await harness.call("/payment/1")
    assert status == 502


async def test_a_response_without_a_length_is_forwarded() -> None:
    """Guards against rejecting responses delimited by connection close."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        runner.misbehave("unframed")
        status, body, _ = await harness.call("/payment/1")
    assert (status, body) == (200, b"answer to r1 of i-1")


async def test_a_response_to_another_request_is_discarded() -> None:
    """Guards against a late response that reaches the wrong caller."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        runner.misbehave("twice")
        status, body, headers = await harness.call("/payment/1")
    assert (status, body) == (200, b"answer to r1 of i-1")
    assert headers["X-Request-Id"] == "r1"


@pytest.mark.parametrize("mode", ["lose_answer", "cut", "garbage", "no_digest"])
async def test_a_payment_that_may_have_run_is_not_retried(mode: str) -> None:
    """Guards against payments that run twice, or are wrongly denied."""
    payment = builders.operator_route(
        "payment", "/payment/", kind="non_idempotent", attempts=3
    )
    async with builders.gateway_harness(routes=[payment]) as harness:
        first = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        second = await harness.add_runner(builders.PLAIN_SERVICE, "i-2")
        first.misbehave_always(mode)
        second.misbehave_always(mode)
        status, _, _ = await harness.call("/payment/1")
        assert len(first.arrivals) + len(second.arrivals) == 1
    assert status == 502


@pytest.mark.parametrize("mode", ["lose_answer", "cut", "garbage", "full"])
async def test_a_lookup_is_retried_on_another_server(mode: str) -> None:
    """Guards against failures that a retry would have avoided."""
    async with builders.gateway_harness() as harness:
        first = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        second = await harness.add_runner(builders.PLAIN_SERVICE, "i-2")
        first.misbehave_always(mode)
        second.misbehave_always(mode)
        first.misbehave(mode)
        first_status, _, _ = await harness.call("/lookup/1")
        assert len(first.arrivals) + len(second.arrivals) >= 2
        first.misbehave_always("")
        second.misbehave_always("")
        assert (await harness.call("/lookup/1", "r2"))[0] == 200
    assert first_status in (502, 503)


async def test_a_refusal_by_full_servers_is_retryable() -> None:
    """Guards against refusals without a Retry-After header."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        runner.misbehave_always("full")
        status, _, headers = await harness.call("/payment/1")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not any(arrival.executed for arrival in runner.arrivals)


async def test_a_stalled_stream_resumes_on_another_server() -> None:
    """Guards against a stream that comments keep open until its deadline."""
    async with builders.gateway_harness() as harness:
        first = await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        second = await harness.add_runner(builders.ENGINE_SERVICE, "i-2")
        first.misbehave_always("stall")
        second.misbehave_always("stall")
        started_s = asyncio.get_running_loop().time()
        status, body, _ = await harness.call("/dossier/1", **_MODEL)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        assert len(first.arrivals) + len(second.arrivals) == 2
        assert len(first.disconnected_requests) + len(
            second.disconnected_requests
        )
        failure_rates = [
            harness.state.health.failure_rate(each) for each in ("i-1", "i-2")
        ]
    assert status == 200
    events = [each for each in body.split(b"\n\n") if b"id:" in each]
    assert [each.split(b"\n")[0] for each in events] == [
        f"id: {number}".encode() for number in range(1, 5)
    ]
    assert elapsed_s < 1.9
    assert max(failure_rates) > 0


async def test_a_slow_stream_is_not_cut() -> None:
    """Guards against a limit on the whole time of a sound stream.

    Each gap is below the limit, their sum is above it.
    """
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(
            builders.ENGINE_SERVICE, "i-1", pace_s=0.45
        )
        status, body, _ = await harness.call("/dossier/1", **_MODEL)
        assert len(runner.arrivals) == 1
    assert status == 200
    assert body.count(b"id:") == 4


async def test_a_cut_stream_resumes_on_another_server() -> None:
    """Guards against lost, duplicated or merged events."""
    async with builders.gateway_harness() as harness:
        for server_id in ("i-1", "i-2"):
            runner = await harness.add_runner(
                builders.ENGINE_SERVICE, server_id
            )
            runner.misbehave_always("cut")
        status, body, _ = await harness.call("/dossier/1", **_MODEL)
        arrivals = [each for r in harness.runners for each in r.arrivals]
    ids = [line for line in body.decode().splitlines() if line[:3] == "id:"]
    assert status == 200
    assert ids == ["id: 1", "id: 2", "id: 3", "id: 4"]
    assert sorted(
        each.headers.get("Last-Event-Id", "") for each in arrivals
    ) == ["", "2"]


async def test_a_cut_stream_that_is_not_resumable_is_truncated() -> None:
    """Guards against streams that end early but look complete."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        await harness.add_runner(builders.ENGINE_SERVICE, "i-2")
        runner.misbehave("cut")
        harness.runners[1].misbehave("cut")
        with pytest.raises(aiohttp.ClientPayloadError):
            await harness.call("/question/1", **_MODEL)
        assert sum(len(each.arrivals) for each in harness.runners) == 1


async def test_a_wrong_weights_version_is_corrected() -> None:
    """Guards against requiring weights that an engine never had.

    A gateway took a rejection for other weights as proof of the newest
    version and told all others, so that the engine rejected every later
    request (soak seeds 200, 226 and 235).
    """
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        harness.state.set_target_version("m1", 3)
        harness.state.note_weights("i-1", "m1", 3)
        statuses = [
            (await harness.call("/dossier/1", f"r{number}", **_MODEL))[0]
            for number in range(3)
        ]
        assert statuses[-1] == 200
        assert harness.state.weights.version_at("i-1", "m1") == 1
        assert any(arrival.executed for arrival in runner.arrivals)


async def test_a_lookup_without_another_server_fails_at_once() -> None:
    """Guards against holding a request for which no server is left."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        runner.misbehave_always("lose_answer")
        clock = harness.state.clock
        started_s = clock.monotonic()
        status, _, _ = await harness.call("/lookup/1")
        assert status == 502
        assert clock.monotonic() - started_s < 0.2


async def test_a_hanging_server_is_abandoned_at_the_route_timeout() -> None:
    """Guards against callers that wait beyond the route timeout."""
    slow = builders.operator_route(
        "payment", "/payment/", kind="non_idempotent", timeout_ms=300
    )
    async with builders.gateway_harness(routes=[slow]) as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        runner.misbehave("hang")
        clock = harness.state.clock
        started_s = clock.monotonic()
        status, _, _ = await harness.call("/payment/1")
        assert 0.29 < clock.monotonic() - started_s < 0.8
    assert status == 504


@pytest.mark.parametrize("mode", ["", "hang"])
async def test_a_caller_that_disconnects_ends_the_work_on_the_server(
    mode: str,
) -> None:
    """Guards against engines that work for disconnected callers."""
    async with builders.gateway_harness() as harness:
        runner = await harness.add_runner(
            builders.ENGINE_SERVICE, "i-1", events=100, pace_s=0.05
        )
        runner.misbehave(mode)
        call = asyncio.ensure_future(harness.call("/dossier/1", **_MODEL))
        await harness.until(lambda: bool(runner.arrivals))
        await asyncio.sleep(0.1)
        call.cancel()
        await harness.until(
            lambda: runner.disconnected_requests == ("r1",), 0.5
        )


async def test_a_body_over_the_limit_is_refused_and_logged() -> None:
    """Guards against refusals that are not logged."""
    async with builders.gateway_harness() as harness:
        log = logbook.TestHandler()
        with log.applicationbound():
            status, _, _ = await harness.call(
                "/payment/1", body=b"x" * 1_000_001
            )
    assert status == 413
    refusals = [r for r in log.records if r.message == "request_refused"]
    assert [r.extra["request"] for r in refusals] == ["r1"]


@pytest.mark.parametrize(
    ("prompt", "announced"), [(_MODEL, True), ({**_MODEL, **_QUESTION}, False)]
)
async def test_a_long_prompt_is_announced_at_once(
    prompt: dict[str, str], announced: bool
) -> None:
    """Guards against gateways that queue short prompts behind a long one."""
    async with builders.gateway_harness() as harness:
        await harness.add_runner(builders.ENGINE_SERVICE, "i-1")
        await harness.call("/dossier/1", **prompt)
        assert harness.state.notices.urgent.is_set() is announced
