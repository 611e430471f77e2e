"""Tests of servers that say that they leave or accept no requests."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
from collections.abc import AsyncIterator

import multidict
import pytest

from hibiscusstile.gateway import notices, serverstatements
from hibiscusstile.platform import headers, orders, serverentries
from hibiscusstile_standins import runner as runner_lib
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rawserver

_PLAIN_ROUTES = [builders.operator_route("lookup", "/lookup/", attempts=3)]
_ENGINE_ROUTES = [
    builders.operator_route(
        "dossier",
        "/dossier/",
        kind="streaming",
        service=builders.ENGINE_SERVICE,
        attempts=3,
        resumable=True,
    )
]


@contextlib.asynccontextmanager
async def _plain_service(
    *server_ids: str,
) -> AsyncIterator[builders.GatewayHarness]:
    async with builders.gateway_harness(routes=_PLAIN_ROUTES) as harness:
        for server_id in server_ids:
            await harness.add_runner(builders.PLAIN_SERVICE, server_id)
        yield harness


async def _call_often(harness: builders.GatewayHarness, count: int) -> None:
    for number in range(count):
        status, _, _ = await harness.call("/lookup/1", f"r{number}")
        assert status == 200


def _count(runner: runner_lib.FakeBackendServer) -> int:
    return len(runner.arrivals) + len(runner.turned_away)


@pytest.mark.parametrize("mode", ["", "full", "error"])
async def test_a_server_that_says_that_it_leaves_gets_no_new_request(
    mode: str,
) -> None:
    """Guards against requests to a server whose response said it leaves."""
    async with _plain_service("i-1", "i-2") as harness:
        leaver = harness.runners[0]
        leaver.say_leaving()
        leaver.misbehave_always(mode)
        await _call_often(harness, 12)
        assert _count(leaver) == 1
        usable = harness.state.fleet.usable_servers(builders.PLAIN_SERVICE)
        assert [each.server_id for each in usable] == ["i-2"]


async def test_a_leaving_server_is_known_from_the_head_of_a_stream() -> None:
    """Guards against requests that arrive before a leaving stream's end."""
    async with builders.gateway_harness(routes=_ENGINE_ROUTES) as harness:
        for server_id in ("i-1", "i-2"):
            runner = await harness.add_runner(
                builders.ENGINE_SERVICE, server_id, events=6, pace_s=0.1
            )
            runner.say_leaving(server_id == "i-1")
        calls = []
        for number in range(12):
            calls.append(
                asyncio.ensure_future(
                    harness.call("/dossier/1", f"r{number}", X_Model="m1")
                )
            )
            await asyncio.sleep(0.03)
        assert {each[0] for each in await asyncio.gather(*calls)} == {200}
        assert _count(harness.runners[0]) == 1


async def test_a_stream_does_not_resume_at_a_server_that_leaves() -> None:
    """Guards against resumed streams at a server that has said it leaves."""
    async with builders.gateway_harness(routes=_ENGINE_ROUTES) as harness:
        for server_id in ("i-1", "i-2", "i-3"):
            await harness.add_runner(builders.ENGINE_SERVICE, server_id)
        leaver, *others = harness.runners
        leaver.say_leaving()
        for runner in harness.runners:
            runner.misbehave("cut", "cut")
        for number in range(4):
            await harness.receive("/dossier/1", f"r{number}", X_Model="m1")
        assert _count(leaver) <= 1
        assert sum(map(_count, others)) >= 4


async def test_a_leaving_server_that_has_been_replaced_binds_its_own_id() -> (
    None
):
    """Guards against taking one process's statement for another's."""
    async with _plain_service("i-1", "i-2") as harness:
        entry = harness.runners[0].discovery_entry(
            builders.PLAIN_SERVICE, address=harness.runners[1].address
        )
        await harness.store.put(serverentries.SERVER_TOPIC, "i-1", entry)
        await asyncio.sleep(0.3)
        harness.runners[1].say_leaving()
        await harness.call("/lookup/1")
        listed = [harness.state.fleet.get(each) for each in ("i-1", "i-2")]
        assert [
            each and harness.state.server_statements.accepts_requests(each)
            for each in listed
        ] == [True, False]


def test_a_statement_for_an_unknown_start_time_binds_one_process() -> None:
    """Guards against a server that restarts under its id and stays unused."""
    statements = serverstatements.ServerStatements(base.ManualClock())
    statements.note(
        builders.backend_server("i-1", started_ms=1),
        serverstatements.ServerStatement(leaving=True, server_id="i-2"),
    )
    for started_ms, accepted in ((5, False), (9, True), (5, False)):
        server = builders.backend_server("i-2", started_ms=started_ms)
        assert statements.accepts_requests(server) is accepted
    assert ("i-2", 5) in [
        (each.server_id, each.started_ms) for each in statements.drain()
    ]


async def test_only_a_new_process_undoes_that_its_server_leaves() -> None:
    """Guards against a late entry that lists a leaving server as ready."""
    async with _plain_service("i-1") as harness:
        runner = harness.runners[0]
        runner.say_leaving()
        assert (await harness.call("/lookup/1"))[0] == 200
        await harness.store.put(
            serverentries.SERVER_TOPIC,
            "i-1",
            runner.discovery_entry(builders.PLAIN_SERVICE, sequence=2),
        )
        await asyncio.sleep(0.2)
        assert (await harness.call("/lookup/1"))[0] == 503
        runner.say_leaving(False)
        await harness.store.put(
            serverentries.SERVER_TOPIC,
            "i-1",
            runner.discovery_entry(builders.PLAIN_SERVICE, born=1),
        )
        await harness.until(
            lambda: harness.state.fleet.servers[0].started_ms == 1
        )
        assert (await harness.call("/lookup/1"))[0] == 200


async def test_peers_are_told_of_leaving_servers_but_not_of_pauses() -> None:
    """Guards against peers that send to a leaving server, or spare a paused."""
    clock = base.ManualClock()
    states = [builders.gateway_state(clock) for _ in range(3)]
    servers = [builders.backend_server(each) for each in ("i-1", "i-2", "i-3")]
    for state in states:
        for server in servers:
            state.fleet.put(server)
    handlers = [notices.NoticeHandler(state) for state in states]
    heard = states[0].server_statements
    heard.note(servers[0], serverstatements.ServerStatement(leaving=True))
    heard.note(
        servers[1],
        serverstatements.ServerStatement(
            retry_after=datetime.timedelta(seconds=5)
        ),
    )
    assert states[0].notices.urgent.is_set()
    clock.advance(2.0)
    notice = handlers[0].next_notice()
    assert notice is not None
    handlers[1].apply("a", notice)
    handlers[2].apply("b", handlers[1].snapshot())
    usable = [
        [
            each.server_id
            for each in state.fleet.usable_servers(servers[0].service)
        ]
        for state in states
    ]
    assert usable == [["i-3"], ["i-2", "i-3"], ["i-2", "i-3"]]
    told = states[2].server_statements.leaving_server(servers[0])
    assert told is not None
    assert (told.age_s, told.source) == (2.0, "b")


async def test_a_paused_server_gets_no_request_until_its_pause_ends() -> None:
    """Guards against requests to a server that wants none for a time."""
    async with _plain_service("i-1", "i-2") as harness:
        paused = harness.runners[0]
        paused.turn_away("0.2", "0.9", "x")
        await asyncio.gather(
            *(harness.call("/lookup/1", f"r{each}") for each in range(6))
        )
        at_once = _count(paused)
        assert at_once >= 1
        paused.turn_away()
        await _call_often(harness, 12)
        assert _count(paused) == at_once
        await asyncio.sleep(0.9)
        await _call_often(harness, 12)
        assert _count(paused) > at_once


async def test_another_gateway_still_sends_to_a_paused_server() -> None:
    """Guards against pooling a pause that speaks for one gateway."""
    async with _plain_service("i-1") as harness, _plain_service() as other:
        runner = harness.runners[0]
        runner.turn_away("5")
        await harness.call("/lookup/1")
        runner.turn_away()
        await other.add_address(builders.PLAIN_SERVICE, "i-1", runner.address)
        assert (await harness.call("/lookup/1"))[0] == 503
        assert (await other.call("/lookup/1"))[0] == 200


async def test_callers_are_told_when_the_first_paused_server_is_back() -> None:
    """Guards against callers that wait for, or return before, a pause's end."""
    async with _plain_service("i-1", "i-2") as harness:
        harness.runners[0].turn_away("3")
        harness.runners[1].turn_away("4")
        await harness.call("/lookup/1")
        refusals = [
            await harness.call("/lookup/1", f"r{each}") for each in range(20)
        ]
        assert sum(map(_count, harness.runners)) == 2
        assert {each[0] for each in refusals} == {503}
        delays_s = [float(each[2]["Retry-After"]) for each in refusals]
        assert 2.5 < min(delays_s) < max(delays_s) < 3.5


async def test_orders_and_reports_count_as_requests_of_a_paused_server() -> (
    None
):
    """Guards against statements that only callers' requests are heard for."""
    async with _plain_service("i-1", "i-2") as harness:
        client = orders.HttpOrders(harness.state.server_statements)
        harness.runners[0].turn_away("5")
        harness.runners[1].say_leaving()
        for server in harness.state.fleet.servers:
            await client.report(server)
        await client.close()
        assert not harness.state.fleet.usable_servers(builders.PLAIN_SERVICE)


async def test_an_unmarked_rejection_pauses_its_server_too() -> None:
    """Guards against a pause that is only read with `X-Not-Executed`."""

    async def reject(
        connection: rawserver.RawConnection, request_id: str
    ) -> None:
        await connection.send(
            rawserver.response_bytes(
                request_id, b"", status="503 Full", Retry_After="5"
            )
        )

    sequence = rawserver.AnswerSequence(reject)
    async with (
        _plain_service("i-2") as harness,
        rawserver.raw_server(sequence.serve) as address,
    ):
        await harness.add_address(builders.PLAIN_SERVICE, "i-1", address)
        await _call_often(harness, 12)
        assert len(sequence.request_ids) == 1
        usable = harness.state.fleet.usable_servers(builders.PLAIN_SERVICE)
        assert [each.server_id for each in usable] == ["i-2"]


_DATE = "Fri, 04 Dec 2026 20:00:00 GMT"
_LATER = "Fri, 04 Dec 2026 20:00:07 GMT"


@pytest.mark.parametrize(
    ("status", "fields", "expected_s"),
    [
        (503, {"Retry-After": "2"}, 2.0),
        (503, {"Retry-After": " 0.25 "}, 0.25),
        (503, {"Retry-After": "0"}, None),
        (503, {"Retry-After": "-1"}, None),
        (503, {"Retry-After": "nan"}, None),
        (503, {"Retry-After": "1e3"}, None),
        (503, {"Retry-After": "\u0663"}, None),
        (503, {"Retry-After": "soon"}, None),
        (503, {"Retry-After": ""}, None),
        (503, {"Retry-After": "9" * 400}, datetime.timedelta.max),
        (503, {"Retry-After": _LATER, "Date": _DATE}, 7.0),
        (503, {"Retry-After": _DATE, "Date": _LATER}, None),
        (503, {"Retry-After": _LATER}, None),
        (503, {"Retry-After": _LATER, "Date": "today"}, None),
        (503, {"Retry-After": "2", "X-Instance-Id": "i-2"}, None),
        (200, {"Retry-After": "2"}, None),
        (429, {"Retry-After": "2"}, None),
    ],
)
def test_values_of_retry_after(
    status: int,
    fields: dict[str, str],
    expected_s: float | datetime.timedelta | None,
) -> None:
    """Guards against malformed values that pause a server, or raise."""
    statement = headers.parse_statement(
        status, multidict.CIMultiDictProxy(multidict.CIMultiDict(fields)), "i-1"
    )
    if isinstance(expected_s, float):
        expected_s = datetime.timedelta(seconds=expected_s)
    assert statement.retry_after == expected_s


def test_the_latest_end_of_several_pauses_counts() -> None:
    """Guards against a pause that a shorter one ends, and endless ones."""
    clock = base.ManualClock()
    statements = serverstatements.ServerStatements(clock)
    server = builders.backend_server()
    for seconds in (2.0, 5.0, 1.0):
        statements.note(
            server,
            serverstatements.ServerStatement(
                retry_after=datetime.timedelta(seconds=seconds)
            ),
        )
    assert statements.pause_left_s(server) == 5.0
    clock.advance(5.0)
    assert statements.accepts_requests(server)
    statements.note(
        server,
        serverstatements.ServerStatement(retry_after=datetime.timedelta.max),
    )
    assert statements.pause_left_s(server) == 600.0
