"""Scenarios in which processes are killed, frozen, cut off and replaced."""

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

_POLL_S = 0.02


@pytest.fixture
def harness(tmp_path: pathlib.Path) -> Iterator[fleetharness.FleetHarness]:
    """A world that is closed whatever happens."""
    result = fleetharness.FleetHarness(tmp_path)
    result.start()
    yield result
    result.close()


@given("a fleet under load")
def fleet_under_load(harness: fleetharness.FleetHarness) -> None:
    assert harness.faults == []


@when("an engine crashes")
def engine_crashes(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.fleet.inject_fault("engine-1", "crash", delay_s=0.5))
    harness.run(harness.pause(3))


@when("a sidecar is killed")
def sidecar_is_killed(harness: fleetharness.FleetHarness) -> None:
    harness.fleet.sidecars[0].kill()
    harness.run(harness.pause(3))


@when("a sidecar is frozen")
def sidecar_is_frozen(harness: fleetharness.FleetHarness) -> None:
    harness.notes["frozen_s"] = time.monotonic()
    harness.fleet.sidecars[0].pause()
    harness.run(harness.pause(4))


@then("within 2 seconds no caller waits for it")
def nobody_waits(harness: fleetharness.FleetHarness) -> None:
    limit_s = harness.notes["frozen_s"] + 2
    late = [a for a in harness.answers if a[0] > limit_s and a[1] - a[0] > 1.5]
    assert late == []
    assert harness.longest_wait() < 1.5


@when("it is thawed")
def sidecar_is_thawed(harness: fleetharness.FleetHarness) -> None:
    harness.notes["runs"] = len(_runs(harness, "engine-1"))
    harness.fleet.sidecars[0].resume()
    harness.run(harness.pause(3))


@then("it is given work again")
def sidecar_has_work(harness: fleetharness.FleetHarness) -> None:
    assert len(_runs(harness, "engine-1")) > harness.notes["runs"]


@when("a sidecar is told to stop")
def sidecar_is_told_to_stop(harness: fleetharness.FleetHarness) -> None:
    # Long streams keep the sidecar from ending before it could take new work.
    harness.run(harness.start_long_streams())
    harness.fleet.sidecars[0].terminate()
    harness.run(harness.pause(3))


@then("its engine is given nothing new after 3 seconds")
def engine_gets_nothing(harness: fleetharness.FleetHarness) -> None:
    assert harness.fleet.sidecars[0].returncode is None
    runs = len(_runs(harness, "engine-1"))
    harness.run(harness.pause(2))
    assert len(_runs(harness, "engine-1")) == runs
    harness.run(harness.end_load())
    assert harness.run(harness.fleet.sidecars[0].wait()) == 0


@when("every process is replaced twice, one after the other")
def all_are_replaced(harness: fleetharness.FleetHarness) -> None:
    harness.run(_replace_all(harness))


@when("all entry instances restart while the log is down")
def entries_restart(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.pause(5))
    harness.notes["before"] = (time.monotonic() - 5, time.monotonic())
    harness.run(harness.fleet.inject_fault("log", "set_down", down=True))
    for entry in harness.fleet.entries:
        entry.terminate()
    harness.run(_wait_all(harness.fleet.entries))
    for entry in harness.fleet.entries:
        entry.start()
    first = [_first_answer(harness, entry) for entry in harness.fleet.entries]
    started_s = time.monotonic()
    harness.notes["first"] = harness.run(_gather(first))
    harness.notes["restart_s"] = time.monotonic() - started_s
    harness.notes["after"] = time.monotonic()
    harness.run(harness.pause(5))


@then("each of them answers within a second of its port's opening")
def entries_answer(harness: fleetharness.FleetHarness) -> None:
    assert max(harness.notes["first"]) < 1.0
    # No timer may stand between the start and the port's opening: the first
    # hello brings the configuration.
    assert harness.notes["restart_s"] < 5.0


@then("the prefix hit rate is at least 0.95 of the one before")
def hit_rate_is_kept(harness: fleetharness.FleetHarness) -> None:
    after_s = harness.notes["after"]
    before = harness.hit_rate(*harness.notes["before"])
    assert before > 0.5
    assert harness.hit_rate(after_s, after_s + 5) >= 0.95 * before


@when("a key is withdrawn while an entry instance is frozen")
def key_is_withdrawn(harness: fleetharness.FleetHarness) -> None:
    harness.fleet.entries[0].pause()
    harness.notes["changed_s"] = time.monotonic()
    body = builders.record(
        "workspace",
        "buyers",
        keys=[{"key_id": "other", "salt": "ab" * 8, "digest": "cd" * 32}],
    )
    harness.run(harness.fleet.append(body))
    harness.run(harness.pause(1))
    harness.fleet.entries[0].resume()


@then("the woken entry instance refuses the key at once")
def key_is_refused(harness: fleetharness.FleetHarness) -> None:
    answer = harness.run(_ask(harness, harness.fleet.entries[0], "buyers"))
    assert answer.status == 401
    assert answer.error["verdict"] == "not_run"


@then("every process has the new revision within 6 seconds")
def revisions_agree(harness: fleetharness.FleetHarness) -> None:
    states = harness.run(_states_agree(harness, harness.notes["changed_s"] + 6))
    assert len(states) == 1


@when("a caller leaves in the middle of a stream")
def caller_leaves(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.end_load())
    harness.run(_leave_early(harness))
    harness.notes["left_s"] = time.monotonic()


@then("its engine stops within a second")
def engine_stops(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.pause(1))
    ended = [
        run["ended"] for e in "123" for run in _runs(harness, f"engine-{e}")
    ]
    assert "running" not in ended


@when("a payment's sidecar is frozen and the payment is sent again")
def payment_meets_frozen_sidecar(harness: fleetharness.FleetHarness) -> None:
    harness.notes["payments"] = harness.run(_pay_through_freezes(harness))


@then("the payment has run at most once and no verdict was false")
def payments_ran_once(harness: fleetharness.FleetHarness) -> None:
    ran: list[int] = []
    for name in ("service-1", "service-2"):
        ran += harness.run(harness.fleet.fetch_record(name))["payments"]
    for amount, outcomes in harness.notes["payments"].items():
        assert ran.count(amount) <= 1, (amount, outcomes)
        if 201 in outcomes or "ran" in outcomes:
            assert ran.count(amount) == 1, (amount, outcomes)
        if set(outcomes) == {"not_run"}:
            assert ran.count(amount) == 0, (amount, outcomes)


@when("a request that crashes engines is sent again and again")
def poison_is_sent(harness: fleetharness.FleetHarness) -> None:
    harness.notes["before"] = _incarnations(harness)
    harness.notes["poison"] = harness.run(_send_poison(harness))


@then("it has crashed at most two engines and is refused by all entries")
def poison_is_refused(harness: fleetharness.FleetHarness) -> None:
    after = _incarnations(harness)
    crashed = sum(
        old != new
        for old, new in zip(harness.notes["before"], after, strict=True)
    )
    answers = harness.notes["poison"]
    assert crashed <= 2, answers
    assert [answer.error["type"] for answer in answers[-2:]] == ["suspect"] * 2


@then("every caller got its own whole answer")
def answers_are_whole(harness: fleetharness.FleetHarness) -> None:
    harness.run(harness.end_load())
    assert len(harness.answers) > 20
    assert harness.faults == []


def _runs(
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


async def _send_poison(
    harness: fleetharness.FleetHarness,
) -> list[httpclient.ChatResponse]:
    answers = []
    for number in range(6):
        entry = harness.fleet.entries[number % 2]
        async with httpclient.open_session() as session:
            answers.append(
                await httpclient.send_chat(
                    session,
                    harness.fleet.urls[entry.name],
                    harness.fleet.keys["contracts"],
                    builders.chat_messages("CRASH-THE-ENGINE"),
                )
            )
        await asyncio.sleep(0.3)
    return answers


async def _gather(coroutines: list[Any]) -> list[Any]:
    return list(await asyncio.gather(*coroutines))


async def _wait_all(stopped: list[processes.ManagedProcess]) -> None:
    for process in stopped:
        assert await process.wait(15) == 0


async def _replace_all(harness: fleetharness.FleetHarness) -> None:
    for _ in range(2):
        for process in [*harness.fleet.entries, *harness.fleet.sidecars]:
            process.terminate()
            assert await process.wait(20) == 0
            process.start()
            for entry in harness.fleet.entries:
                await harness.fleet.wait_ready(entry)
            await asyncio.sleep(0.2)


async def _first_answer(
    harness: fleetharness.FleetHarness, entry: processes.ManagedProcess
) -> float:
    """Returns the seconds from a port's opening to the first answer."""
    url = harness.fleet.urls[entry.name]
    limit_s = time.monotonic() + 15
    while time.monotonic() < limit_s:
        opened_s = time.monotonic()
        try:
            fault = await harness.send(url, 1, words=1)
        except aiohttp.ClientError:
            await asyncio.sleep(_POLL_S)
            continue
        assert fault == ""
        return time.monotonic() - opened_s
    raise TimeoutError(f"{entry.name} does not answer: {entry.log}")


async def _ask(
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


async def _states_agree(
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
        await asyncio.sleep(_POLL_S)
    return states


async def _leave_early(harness: fleetharness.FleetHarness) -> None:
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


async def _pay_through_freezes(
    harness: fleetharness.FleetHarness,
) -> dict[int, list[int | str]]:
    """Pays while each service's sidecar is frozen and thawed in turn."""
    outcomes: dict[int, list[int | str]] = {}
    sidecars = harness.fleet.sidecars[3:]
    for number in range(1, 9):
        frozen = sidecars[number % 2]
        frozen.pause()
        first = asyncio.ensure_future(_pay(harness, 0, number))
        await asyncio.sleep(0.1 * number)
        frozen.resume()
        outcomes[number] = [await first, await _pay(harness, 1, number)]
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
