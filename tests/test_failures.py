"""Scenarios in which processes are killed, suspended and restarted."""

from __future__ import annotations

import asyncio
import pathlib
import time
from collections.abc import Iterator
from typing import Any

import aiohttp
import pytest
import pytest_bdd
from pytest_bdd import given, then, when

from tests import builders, fleetharness, httpclient, processes

pytest_bdd.scenarios("features/failures.feature")

_POLL_INTERVAL_S = 0.02


@pytest.fixture
def harness(tmp_path: pathlib.Path) -> Iterator[fleetharness.FleetHarness]:
    """A fleet under load that is stopped even when the scenario fails."""
    result = fleetharness.FleetHarness(tmp_path)
    result.start()
    yield result
    result.close()


@given("a fleet under load")
def fleet_under_load(harness: fleetharness.FleetHarness) -> None:
    assert harness.errors == []


@when("an engine crashes")
def engine_crashes(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.fleet.inject_fault("engine-1", "crash", delay_s=0.5))
    harness.run(harness.sleep(3))


@when("a sidecar is killed")
def sidecar_is_killed(harness: fleetharness.FleetHarness) -> None:
    harness.fleet.sidecars[0].kill()
    harness.run(harness.sleep(3))


@when("a sidecar is suspended")
def sidecar_is_suspended(harness: fleetharness.FleetHarness) -> None:
    harness.context["suspended_s"] = time.monotonic()
    harness.fleet.sidecars[0].pause()
    harness.run(harness.sleep(4))


@then("after 2 seconds no request waits for it")
def no_request_waits(harness: fleetharness.FleetHarness) -> None:
    limit_s = harness.context["suspended_s"] + 2
    slow_responses = [
        a for a in harness.responses if a[0] > limit_s and a[1] - a[0] > 1.5
    ]
    assert slow_responses == []
    assert harness.oldest_request_age_s() < 1.5


@when("it is resumed")
def sidecar_is_resumed(harness: fleetharness.FleetHarness) -> None:
    harness.context["runs"] = len(_engine_runs(harness, "engine-1"))
    harness.fleet.sidecars[0].resume()
    harness.run(harness.sleep(3))


@then("it receives work again")
def sidecar_receives_work(harness: fleetharness.FleetHarness) -> None:
    assert len(_engine_runs(harness, "engine-1")) > harness.context["runs"]


@when("a sidecar receives SIGTERM")
def sidecar_is_terminated(harness: fleetharness.FleetHarness) -> None:
    # Long streams keep the sidecar running, so that it could accept new work.
    harness.run(harness.start_long_streams())
    harness.fleet.sidecars[0].terminate()
    harness.run(harness.sleep(3))


@then("its engine receives no new work after 3 seconds")
def engine_gets_no_work(harness: fleetharness.FleetHarness) -> None:
    assert harness.fleet.sidecars[0].returncode is None
    runs = len(_engine_runs(harness, "engine-1"))
    harness.run(harness.sleep(2))
    assert len(_engine_runs(harness, "engine-1")) == runs
    harness.run(harness.stop_load())
    assert harness.run(harness.fleet.sidecars[0].wait()) == 0


@when("every process is restarted twice, one after the other")
def processes_are_restarted(harness: fleetharness.FleetHarness) -> None:
    harness.run(_restart_all(harness))


@when("all entry instances restart while the log is down")
def entries_restart(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.sleep(5))
    harness.context["before"] = (time.monotonic() - 5, time.monotonic())
    harness.run(harness.fleet.inject_fault("log", "set_down", down=True))
    for entry in harness.fleet.entries:
        entry.terminate()
    harness.run(_wait_for_exit(harness.fleet.entries))
    for entry in harness.fleet.entries:
        entry.start()
    response_times = [
        _first_response_time(harness, entry) for entry in harness.fleet.entries
    ]
    started_s = time.monotonic()
    harness.context["first_response_s"] = harness.run(_gather(response_times))
    harness.context["restart_s"] = time.monotonic() - started_s
    harness.context["after"] = time.monotonic()
    harness.run(harness.sleep(5))


@then("each of them responds within a second of opening its port")
def entries_respond(harness: fleetharness.FleetHarness) -> None:
    assert max(harness.context["first_response_s"]) < 1.0
    # No timer may delay the opening of the port after a start: the first hello
    # brings the configuration.
    assert harness.context["restart_s"] < 5.0


@then("the prefix hit rate is at least 0.95 of the rate before")
def hit_rate_is_kept(harness: fleetharness.FleetHarness) -> None:
    after_s = harness.context["after"]
    before = harness.hit_rate(*harness.context["before"])
    assert before > 0.5
    assert harness.hit_rate(after_s, after_s + 5) >= 0.95 * before


@when("a key is revoked while an entry instance is suspended")
def key_is_revoked(harness: fleetharness.FleetHarness) -> None:
    harness.fleet.entries[0].pause()
    harness.context["changed_s"] = time.monotonic()
    body = builders.record(
        "workspace",
        "buyers",
        keys=[{"key_id": "other", "salt": "ab" * 8, "digest": "cd" * 32}],
    )
    harness.run(harness.fleet.append(body))
    harness.run(harness.sleep(1))
    harness.fleet.entries[0].resume()


@then("the resumed entry instance rejects the key immediately")
def key_is_rejected(harness: fleetharness.FleetHarness) -> None:
    response = harness.run(
        _send_chat(harness, harness.fleet.entries[0], "buyers")
    )
    assert response.status == 401
    assert response.error["verdict"] == "not_run"


@then("every process has the new revision within 6 seconds")
def revisions_agree(harness: fleetharness.FleetHarness) -> None:
    states = harness.run(
        _wait_for_same_state(harness, harness.context["changed_s"] + 6)
    )
    assert len(states) == 1


@when("a caller disconnects during a stream")
def caller_disconnects(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.stop_load())
    harness.run(_disconnect_mid_stream(harness))
    harness.context["disconnected_s"] = time.monotonic()


@then("its engine stops within a second")
def engine_stops(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.sleep(1))
    ended = [
        run["ended"]
        for e in "123"
        for run in _engine_runs(harness, f"engine-{e}")
    ]
    assert "running" not in ended


@when("a payment's sidecar is suspended and the payment is retried")
def payment_is_retried(harness: fleetharness.FleetHarness) -> None:
    harness.context["payments"] = harness.run(_pay_during_suspensions(harness))


@then("the payment has run at most once and every verdict is correct")
def payments_ran_once(harness: fleetharness.FleetHarness) -> None:
    ran: list[int] = []
    for name in ("service-1", "service-2"):
        ran += harness.run(harness.fleet.fetch_record(name))["payments"]
    for amount, outcomes in harness.context["payments"].items():
        assert ran.count(amount) <= 1, (amount, outcomes)
        if 201 in outcomes or "ran" in outcomes:
            assert ran.count(amount) == 1, (amount, outcomes)
        if set(outcomes) == {"not_run"}:
            assert ran.count(amount) == 0, (amount, outcomes)


@when("a request that crashes engines is sent repeatedly")
def crashing_request_is_sent(harness: fleetharness.FleetHarness) -> None:
    harness.context["before"] = _incarnations(harness)
    harness.context["responses"] = harness.run(_send_crashing_request(harness))


@then("it has crashed at most two engines and all entries refuse it")
def crashing_request_is_refused(harness: fleetharness.FleetHarness) -> None:
    after = _incarnations(harness)
    crashed = sum(
        old != new
        for old, new in zip(harness.context["before"], after, strict=True)
    )
    responses = harness.context["responses"]
    assert crashed <= 2, responses
    assert [response.error["type"] for response in responses[-2:]] == [
        "suspect"
    ] * 2


@then("every caller has received its complete response")
def responses_are_complete(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.stop_load())
    assert len(harness.responses) > 20
    assert harness.errors == []


def _engine_runs(
    harness: fleetharness.FleetHarness, engine: str
) -> list[dict[str, Any]]:
    runs: list[dict[str, Any]] = harness.run(
        harness.fleet.fetch_record(engine)
    )["runs"]
    return runs


def _incarnations(harness: fleetharness.FleetHarness) -> list[str]:
    names = [engine.name for engine in harness.fleet.engines]
    return [
        harness.run(harness.fleet.fetch_record(n))["incarnation"] for n in names
    ]


async def _send_crashing_request(
    harness: fleetharness.FleetHarness,
) -> list[httpclient.ChatResponse]:
    responses = []
    for number in range(6):
        entry = harness.fleet.entries[number % 2]
        async with httpclient.open_session() as session:
            responses.append(
                await httpclient.send_chat(
                    session,
                    harness.fleet.urls[entry.name],
                    harness.fleet.keys["contracts"],
                    builders.chat_messages("CRASH-THE-ENGINE"),
                )
            )
        await asyncio.sleep(0.3)
    return responses


async def _gather(coroutines: list[Any]) -> list[Any]:
    return list(await asyncio.gather(*coroutines))


async def _wait_for_exit(stopped: list[processes.ManagedProcess]) -> None:
    for process in stopped:
        assert await process.wait(15) == 0


async def _restart_all(harness: fleetharness.FleetHarness) -> None:
    for _ in range(2):
        for process in [*harness.fleet.entries, *harness.fleet.sidecars]:
            process.terminate()
            assert await process.wait(20) == 0
            process.start()
            for entry in harness.fleet.entries:
                await harness.fleet.wait_ready(entry)
            await asyncio.sleep(0.2)


async def _first_response_time(
    harness: fleetharness.FleetHarness, entry: processes.ManagedProcess
) -> float:
    """Returns the seconds between an open port and the first response."""
    url = harness.fleet.urls[entry.name]
    limit_s = time.monotonic() + 15
    while time.monotonic() < limit_s:
        opened_s = time.monotonic()
        try:
            error = await harness.send(url, 1, words=1)
        except aiohttp.ClientError:
            await asyncio.sleep(_POLL_INTERVAL_S)
            continue
        assert error == ""
        return time.monotonic() - opened_s
    raise TimeoutError(f"{entry.name} does not respond: {entry.log}")


async def _send_chat(
    harness: fleetharness.FleetHarness,
    entry: processes.ManagedProcess,
    workspace: str,
) -> httpclient.ChatResponse:
    async with httpclient.open_session() as session:
        return await httpclient.send_chat(
            session,
            harness.fleet.urls[entry.name],
            harness.fleet.keys[workspace],
            builders.chat_messages(),
        )


async def _wait_for_same_state(
    harness: fleetharness.FleetHarness, until_s: float
) -> set[tuple[int, str]]:
    states: set[tuple[int, str]] = set()
    while time.monotonic() < until_s:
        pages = [
            await processes.get_json(f"{url}/status")
            for url in harness.fleet.operator_urls.values()
        ]
        states = {(page["revision"], page["digest"]) for page in pages}
        if len(states) == 1:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    return states


async def _disconnect_mid_stream(harness: fleetharness.FleetHarness) -> None:
    url = harness.fleet.urls[harness.fleet.entries[0].name]
    body = {
        "model": "m1",
        "messages": builders.chat_messages("Tell all."),
        "stream": True,
        "max_tokens": 20000,
    }
    headers = httpclient.auth_headers(harness.fleet.keys["buyers"])
    async with (
        httpclient.open_session() as session,
        session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as response,
    ):
        await response.content.readline()


async def _pay_during_suspensions(
    harness: fleetharness.FleetHarness,
) -> dict[int, list[int | str]]:
    """Sends payments while the services' sidecars are suspended in turn."""
    outcomes: dict[int, list[int | str]] = {}
    sidecars = harness.fleet.sidecars[3:]
    for number in range(1, 9):
        suspended = sidecars[number % 2]
        suspended.pause()
        first_payment = asyncio.ensure_future(_pay(harness, 0, number))
        await asyncio.sleep(0.1 * number)
        suspended.resume()
        outcomes[number] = [await first_payment, await _pay(harness, 1, number)]
    return outcomes


async def _pay(
    harness: fleetharness.FleetHarness, entry: int, amount: int
) -> int | str:
    url = harness.fleet.urls[harness.fleet.entries[entry].name]
    headers = httpclient.auth_headers(
        harness.fleet.keys["buyers"], **{"Idempotency-Key": f"pay-{amount}"}
    )
    async with (
        httpclient.open_session() as session,
        session.post(
            f"{url}/v1/services/accounts/payments",
            json={"amount": amount},
            headers=headers,
        ) as response,
    ):
        if response.status == 201:
            return 201
        verdict: str = (await response.json())["error"]["verdict"]
        return verdict
