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

from tests import builders, httpclient, processes
from tests import world as world_lib

pytest_bdd.scenarios("features/failures.feature")

_POLL_S = 0.02


@pytest.fixture
def world(tmp_path: pathlib.Path) -> Iterator[world_lib.World]:
    """A world that is closed whatever happens."""
    result = world_lib.World(tmp_path)
    result.start()
    yield result
    result.close()


@given("a fleet under load")
def fleet_under_load(world: world_lib.World) -> None:
    assert world.faults == []


@when("an engine crashes")
def engine_crashes(world: world_lib.World) -> None:
    world.run(world.fleet.inject_fault("engine-1", "crash", delay_s=0.5))
    world.run(world.pause(3))


@when("a sidecar is killed")
def sidecar_is_killed(world: world_lib.World) -> None:
    world.fleet.sidecars[0].kill()
    world.run(world.pause(3))


@when("a sidecar is frozen")
def sidecar_is_frozen(world: world_lib.World) -> None:
    world.notes["frozen_s"] = time.monotonic()
    world.fleet.sidecars[0].pause()
    world.run(world.pause(4))


@then("within 2 seconds no caller waits for it")
def nobody_waits(world: world_lib.World) -> None:
    limit_s = world.notes["frozen_s"] + 2
    late = [a for a in world.answers if a[0] > limit_s and a[1] - a[0] > 1.5]
    assert late == []
    assert world.longest_wait() < 1.5


@when("it is thawed")
def sidecar_is_thawed(world: world_lib.World) -> None:
    world.notes["runs"] = len(_runs(world, "engine-1"))
    world.fleet.sidecars[0].resume()
    world.run(world.pause(3))


@then("it is given work again")
def sidecar_has_work(world: world_lib.World) -> None:
    assert len(_runs(world, "engine-1")) > world.notes["runs"]


@when("a sidecar is told to stop")
def sidecar_is_told_to_stop(world: world_lib.World) -> None:
    # Long streams keep the sidecar from ending before it could take new work.
    world.run(world.start_long_streams())
    world.fleet.sidecars[0].terminate()
    world.run(world.pause(3))


@then("its engine is given nothing new after 3 seconds")
def engine_gets_nothing(world: world_lib.World) -> None:
    assert world.fleet.sidecars[0].returncode is None
    runs = len(_runs(world, "engine-1"))
    world.run(world.pause(2))
    assert len(_runs(world, "engine-1")) == runs
    world.run(world.end_load())
    assert world.run(world.fleet.sidecars[0].wait()) == 0


@when("every process is replaced twice, one after the other")
def all_are_replaced(world: world_lib.World) -> None:
    world.run(_replace_all(world))


@when("all entry instances restart while the log is down")
def entries_restart(world: world_lib.World) -> None:
    world.run(world.pause(5))
    world.notes["before"] = (time.monotonic() - 5, time.monotonic())
    world.run(world.fleet.inject_fault("log", "set_down", down=True))
    for entry in world.fleet.entries:
        entry.terminate()
    world.run(_wait_all(world.fleet.entries))
    for entry in world.fleet.entries:
        entry.start()
    first = [_first_answer(world, entry) for entry in world.fleet.entries]
    started_s = time.monotonic()
    world.notes["first"] = world.run(_gather(first))
    world.notes["restart_s"] = time.monotonic() - started_s
    world.notes["after"] = time.monotonic()
    world.run(world.pause(5))


@then("each of them answers within a second of its port's opening")
def entries_answer(world: world_lib.World) -> None:
    assert max(world.notes["first"]) < 1.0
    # No timer may stand between the start and the port's opening: the first
    # hello brings the configuration.
    assert world.notes["restart_s"] < 5.0


@then("the prefix hit rate is at least 0.95 of the one before")
def hit_rate_is_kept(world: world_lib.World) -> None:
    after_s = world.notes["after"]
    before = world.hit_rate(*world.notes["before"])
    assert before > 0.5
    assert world.hit_rate(after_s, after_s + 5) >= 0.95 * before


@when("a key is withdrawn while an entry instance is frozen")
def key_is_withdrawn(world: world_lib.World) -> None:
    world.fleet.entries[0].pause()
    world.notes["changed_s"] = time.monotonic()
    body = builders.record(
        "workspace",
        "buyers",
        keys=[{"key_id": "other", "salt": "ab" * 8, "digest": "cd" * 32}],
    )
    world.run(world.fleet.append(body))
    world.run(world.pause(1))
    world.fleet.entries[0].resume()


@then("the woken entry instance refuses the key at once")
def key_is_refused(world: world_lib.World) -> None:
    answer = world.run(_ask(world, world.fleet.entries[0], "buyers"))
    assert answer.status == 401
    assert answer.error["verdict"] == "not_run"


@then("every process has the new revision within 6 seconds")
def revisions_agree(world: world_lib.World) -> None:
    states = world.run(_states_agree(world, world.notes["changed_s"] + 6))
    assert len(states) == 1


@when("a caller leaves in the middle of a stream")
def caller_leaves(world: world_lib.World) -> None:
    world.run(world.end_load())
    world.run(_leave_early(world))
    world.notes["left_s"] = time.monotonic()


@then("its engine stops within a second")
def engine_stops(world: world_lib.World) -> None:
    world.run(world.pause(1))
    ended = [run["ended"] for e in "123" for run in _runs(world, f"engine-{e}")]
    assert "running" not in ended


@when("a payment's sidecar is frozen and the payment is sent again")
def payment_meets_frozen_sidecar(world: world_lib.World) -> None:
    world.notes["payments"] = world.run(_pay_through_freezes(world))


@then("the payment has run at most once and no verdict was false")
def payments_ran_once(world: world_lib.World) -> None:
    ran: list[int] = []
    for name in ("service-1", "service-2"):
        ran += world.run(world.fleet.fetch_record(name))["payments"]
    for amount, outcomes in world.notes["payments"].items():
        assert ran.count(amount) <= 1, (amount, outcomes)
        if 201 in outcomes or "ran" in outcomes:
            assert ran.count(amount) == 1, (amount, outcomes)
        if set(outcomes) == {"not_run"}:
            assert ran.count(amount) == 0, (amount, outcomes)


@when("a request that crashes engines is sent again and again")
def poison_is_sent(world: world_lib.World) -> None:
    world.notes["before"] = _incarnations(world)
    world.notes["poison"] = world.run(_send_poison(world))


@then("it has crashed at most two engines and is refused by all entries")
def poison_is_refused(world: world_lib.World) -> None:
    after = _incarnations(world)
    crashed = sum(
        old != new
        for old, new in zip(world.notes["before"], after, strict=True)
    )
    answers = world.notes["poison"]
    assert crashed <= 2, answers
    assert [answer.error["type"] for answer in answers[-2:]] == ["suspect"] * 2


@then("every caller got its own whole answer")
def answers_are_whole(world: world_lib.World) -> None:
    world.run(world.end_load())
    assert len(world.answers) > 20
    assert world.faults == []


def _runs(world: world_lib.World, engine: str) -> list[dict[str, Any]]:
    runs: list[dict[str, Any]] = world.run(world.fleet.fetch_record(engine))[
        "runs"
    ]
    return runs


def _incarnations(world: world_lib.World) -> list[str]:
    names = [engine.name for engine in world.fleet.engines]
    return [
        world.run(world.fleet.fetch_record(n))["incarnation"] for n in names
    ]


async def _send_poison(world: world_lib.World) -> list[httpclient.ChatResponse]:
    answers = []
    for number in range(6):
        entry = world.fleet.entries[number % 2]
        async with httpclient.open_session() as session:
            answers.append(
                await httpclient.send_chat(
                    session,
                    world.fleet.urls[entry.name],
                    world.fleet.keys["contracts"],
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


async def _replace_all(world: world_lib.World) -> None:
    for _ in range(2):
        for process in [*world.fleet.entries, *world.fleet.sidecars]:
            process.terminate()
            assert await process.wait(20) == 0
            process.start()
            for entry in world.fleet.entries:
                await world.fleet.wait_ready(entry)
            await asyncio.sleep(0.2)


async def _first_answer(
    world: world_lib.World, entry: processes.ManagedProcess
) -> float:
    """Returns the seconds from a port's opening to the first answer."""
    url = world.fleet.urls[entry.name]
    limit_s = time.monotonic() + 15
    while time.monotonic() < limit_s:
        opened_s = time.monotonic()
        try:
            fault = await world.send(url, 1, words=1)
        except aiohttp.ClientError:
            await asyncio.sleep(_POLL_S)
            continue
        assert fault == ""
        return time.monotonic() - opened_s
    raise TimeoutError(f"{entry.name} does not answer: {entry.log}")


async def _ask(
    world: world_lib.World, entry: processes.ManagedProcess, workspace: str
) -> httpclient.ChatResponse:
    async with httpclient.open_session() as session:
        return await httpclient.send_chat(
            session,
            world.fleet.urls[entry.name],
            world.fleet.keys[workspace],
            builders.chat_messages(),
        )


async def _states_agree(
    world: world_lib.World, until_s: float
) -> set[tuple[int, str]]:
    states: set[tuple[int, str]] = set()
    while time.monotonic() < until_s:
        pages = [
            await processes.get_json(f"{url}/status")
            for url in world.fleet.operator_urls.values()
        ]
        states = {(page["revision"], page["digest"]) for page in pages}
        if len(states) == 1:
            break
        await asyncio.sleep(_POLL_S)
    return states


async def _leave_early(world: world_lib.World) -> None:
    url = world.fleet.urls[world.fleet.entries[0].name]
    body = {
        "model": "m1",
        "messages": builders.chat_messages("Tell all."),
        "stream": True,
        "max_tokens": 20000,
    }
    headers = httpclient.auth_headers(world.fleet.keys["buyers"])
    async with (
        httpclient.open_session() as session,
        session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as response,
    ):
        await response.content.readline()


async def _pay_through_freezes(
    world: world_lib.World,
) -> dict[int, list[int | str]]:
    """Pays while each service's sidecar is frozen and thawed in turn."""
    outcomes: dict[int, list[int | str]] = {}
    sidecars = world.fleet.sidecars[3:]
    for number in range(1, 9):
        frozen = sidecars[number % 2]
        frozen.pause()
        first = asyncio.ensure_future(_pay(world, 0, number))
        await asyncio.sleep(0.1 * number)
        frozen.resume()
        outcomes[number] = [await first, await _pay(world, 1, number)]
    return outcomes


async def _pay(world: world_lib.World, entry: int, amount: int) -> int | str:
    url = world.fleet.urls[world.fleet.entries[entry].name]
    headers = httpclient.auth_headers(
        world.fleet.keys["buyers"], **{"Idempotency-Key": f"pay-{amount}"}
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
