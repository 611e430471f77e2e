"""Tests of the allowances of workspaces."""

from __future__ import annotations

import asyncio
import datetime
import random
from unittest import mock

import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome
from hibiscusstile.gateway import (
    allowances,
    forwarding,
    notices,
    routes,
    service,
    statuspage,
)
from hibiscusstile.peers import codec, mesh, messages
from hibiscusstile.platform import servers
from tests import builders as base
from tests.builders import allowances as fleets
from tests.builders import gateway as builders

_POLL = datetime.timedelta(milliseconds=10)
_NAME = fleets.WORKSPACE
_ALLOWANCE = routes.Allowance(1000.0, 2000.0, in_tokens=True, plain_cost=200.0)
_WORKSPACE = routes.Workspace(_NAME, allowance=_ALLOWANCE)


def _admission(
    clock: clock_lib.Clock, others: tuple[str, ...] = ()
) -> allowances.AllowanceAdmission:
    admission = allowances.AllowanceAdmission(clock, random.Random(1))
    admission.apply({_NAME: _ALLOWANCE})
    admission.ledger.note_gateways(others)
    return admission


async def _admit(
    admission: allowances.AllowanceAdmission, tokens: int, rank: int = 1
) -> allowances.Charge:
    return await admission.admit(_WORKSPACE, tokens, rank, 1.0)


async def _is_admitted(
    admission: allowances.AllowanceAdmission, tokens: int, rank: int = 1
) -> bool:
    try:
        await _admit(admission, tokens, rank)
    except outcome.Refused as refused:
        assert refused.refusal.reason is outcome.Reason.OVER_ALLOWANCE
        return False
    return True


async def test_what_did_not_run_is_given_back_once() -> None:
    """Guards against a refund that adds tokens, or is missing."""
    clock = base.ManualClock()
    admission = _admission(clock)
    clock.advance(1.0)
    charge = await _admit(admission, 600)
    assert admission.ledger.held(_NAME) == pytest.approx(400)
    charge.settle(outcome.Verdict.NOT_RUN)
    charge.settle(outcome.Verdict.NOT_RUN)
    assert admission.ledger.held(_NAME) == pytest.approx(1000)
    charge = await _admit(admission, 600)
    charge.settle(outcome.Verdict.MAY_HAVE_RUN)
    assert admission.ledger.held(_NAME) == pytest.approx(400)


async def test_an_attempt_after_one_that_may_have_run_is_charged() -> None:
    """Guards against retries beyond the allowance."""
    clock = base.ManualClock()
    admission = _admission(clock)
    clock.advance(1.0)
    charge = await _admit(admission, 600)
    charge.note_attempt(0)
    charge.note_attempt(0)
    assert admission.ledger.held(_NAME) == pytest.approx(400)
    charge.note_attempt(1)
    charge.note_attempt(1)
    assert admission.ledger.held(_NAME) == pytest.approx(-200)


async def test_unlimited_workspaces_are_not_charged() -> None:
    """Guards against costs for deployments without allowances."""
    admission = allowances.AllowanceAdmission(
        base.ManualClock(), random.Random(1)
    )
    admission.apply({})
    sent: list[object] = []
    admission.connect(lambda *message: sent.append(message), tuple)
    for workspace in (None, routes.Workspace(_NAME)):
        charge = await admission.admit(workspace, 10**9, 0, 1.0)
        charge.settle(outcome.Verdict.NOT_RUN)
    assert not sent
    assert not admission.ledger.accounts


async def test_short_requests_go_first() -> None:
    """Guards against long requests that take what short ones need."""
    clock = base.ManualClock()
    admission = _admission(clock)
    for _ in range(40):
        clock.advance(0.1)
        await _is_admitted(admission, 30)
        await _is_admitted(admission, 900)
    held = admission.ledger.held(_NAME)
    assert not await _is_admitted(admission, round(held) - 10)
    assert await _is_admitted(admission, 30)


async def test_a_request_gets_tokens_of_another_gateway() -> None:
    """Guards against refusals while other gateways hold the tokens."""
    clock = clock_lib.SystemClock()
    lender, asker = _admission(clock, ("b",)), _admission(clock, ("a",))
    loop = asyncio.get_running_loop()

    def send_ask(peer: str, message: allowances.Ask | allowances.Grant) -> None:
        assert isinstance(message, allowances.Ask)
        loop.call_soon(lender.receive_ask, "b", message)

    def send_grant(
        peer: str, message: allowances.Ask | allowances.Grant
    ) -> None:
        assert isinstance(message, allowances.Grant)
        loop.call_soon(asker.receive_grant, "a", message)

    asker.connect(send_ask, lambda: [allowances.Peer("a", near=True)])
    lender.connect(send_grant, tuple)
    await asyncio.sleep(0.2)
    held = asker.ledger.held(_NAME)
    assert await _is_admitted(asker, round(1.5 * held))
    assert lender.ledger.held(_NAME) < 0.6 * held
    assert not await _is_admitted(asker, 5000)


async def test_a_flood_sends_few_questions() -> None:
    """Guards against floods of messages where nobody has tokens to spare."""
    clock = base.ManualClock()
    others = tuple(f"g{number}" for number in range(23))
    admission = _admission(clock, others)
    sent: list[tuple[str, allowances.Ask]] = []

    def send(peer: str, message: allowances.Ask | allowances.Grant) -> None:
        assert isinstance(message, allowances.Ask)
        sent.append((peer, message))
        admission.receive_grant(
            peer, allowances.Grant(message.number, _NAME, 0.0, 0.0)
        )

    admission.connect(
        send, lambda: [allowances.Peer(name, True) for name in others]
    )
    for _ in range(1000):
        clock.advance(0.01)
        for _ in range(5):
            await _is_admitted(admission, 30)
    assert 0 < len(sent) < 300


def test_the_share_is_that_of_the_highest_count() -> None:
    """Guards against shares that add up to more than the allowance.

    A gateway that is not listed any more may serve for some seconds.
    """
    clock = base.ManualClock()
    admission = _admission(clock, ("b", "c", "d"))
    clock.advance(1.0)
    admission.ledger.note_gateways(())
    assert admission.ledger.gateways == 4
    clock.advance(14.0)
    admission.ledger.note_gateways(())
    assert admission.ledger.gateways == 4
    clock.advance(2.0)
    admission.ledger.note_gateways(())
    assert admission.ledger.gateways == 1


def test_an_unlisted_start_fills_a_sixth() -> None:
    """Guards against no service at all while the list cannot be read."""
    clock = base.ManualClock()
    admission = allowances.AllowanceAdmission(clock, random.Random(1))
    admission.apply({_NAME: _ALLOWANCE})
    admission.ledger.try_take(_NAME, allowances.Cost(0.0))
    clock.advance(2.0)
    admission.ledger.try_take(_NAME, allowances.Cost(0.0))
    assert admission.ledger.held(_NAME) == 0
    clock.advance(0.6)
    assert admission.ledger.held(_NAME) == pytest.approx(100)


async def test_a_caller_beyond_the_allowance_gets_429() -> None:
    """Guards against a refusal whose delay does not suffice."""
    tenant = {
        "name": _NAME,
        "api_keys": [builders.KEY],
        "rate_per_s": 4,
        "burst": 4,
        "unit": "requests",
    }
    async with builders.gateway_harness(tenants=[tenant]) as harness:
        runner = await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        harness.state.allowances.ledger.note_gateways(())
        status, body, headers = await harness.call("/lookup/1", "r1")
        assert status == 429, body
        assert b"exceeds the allowance" in body
        await asyncio.sleep(float(headers["Retry-After"]))
        status, _, _ = await harness.call("/lookup/1", "r2")
        assert status == 200
        assert len(runner.arrivals) == 1
        (shown,) = statuspage.describe_allowances(
            harness.state.allowances.ledger
        )
        assert (shown["workspace"], shown["refused"]) == (_NAME, 1)


async def test_tokens_pass_over_peer_connections() -> None:
    """Guards against questions and answers that the mesh does not deliver."""
    clock = clock_lib.SystemClock()
    states, links = {}, {}
    for name in ("a", "b"):
        states[name] = builders.gateway_state(clock)
        links[name] = mesh.Mesh(
            name,
            "127.0.0.1",
            0,
            states[name],
            notices.NoticeHandler(states[name]),
            builders.configuration_relay(states[name], name),
        )
        admission = states[name].allowances
        admission.apply({_NAME: _ALLOWANCE})
        admission.ledger.note_gateways(("other",))
    async with asyncio.timeout(10.0), asyncio.TaskGroup() as group:
        tasks = []
        for link in links.values():
            tasks += [
                group.create_task(link.run_server()),
                group.create_task(link.run_connections()),
            ]
            await link.wait_listening()
        for name, other in (("a", "b"), ("b", "a")):
            peer = mesh.Peer(other, links[other].address, links[other].secret)
            await links[name].set_peers({other: peer})
        while any(link.disconnected_for(0.0) for link in links.values()):
            await clock.sleep(_POLL)
        await asyncio.sleep(0.2)
        held = states["a"].allowances.ledger.held(_NAME)
        assert await _is_admitted(states["a"].allowances, round(1.5 * held))
        for task in tasks:
            task.cancel()
    lent = states["b"].allowances.ledger.accounts[_NAME].totals.lent_tokens
    assert lent == pytest.approx(0.5 * held, rel=0.3)


@pytest.mark.parametrize("gateways", [0, 100_001])
def test_an_impossible_count_of_a_peer_is_refused(gateways: int) -> None:
    """Guards against a division by zero at each later request."""
    counted = messages.GatewayCountUpdate(gateways, 2.0, 1.0)
    frame = codec.encode(messages.GatewayNotice(counted=counted), 1)
    with pytest.raises(codec.FrameError):
        codec.decode(frame)


async def test_questions_leave_room_for_notices() -> None:
    """Guards against questions for which the next notice drops another one."""
    state = builders.gateway_state(base.ManualClock())
    link = mesh.Mesh(
        "a",
        "127.0.0.1",
        0,
        state,
        notices.NoticeHandler(state),
        builders.configuration_relay(state),
    )
    await link.set_peers({"b": mesh.Peer("b", "127.0.0.1:1", "secret")})
    for number in range(40):
        link._send_tokens("b", allowances.Ask(number, _NAME, 100.0))
    assert link._queues["b"].qsize() == 8


async def test_a_request_that_cannot_be_forwarded_is_given_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tokens lost by an exception before any attempt."""

    def fail(*args: object) -> None:
        raise ValueError("no forwarder")

    monkeypatch.setattr(forwarding, "RequestForwarder", fail)
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    tenant = {"name": _NAME, "api_keys": [builders.KEY], "unit": "tokens"}
    tenant |= {"rate_per_s": 10_000, "burst": 10_000}
    state.apply_table(builders.routing_table(tenants=[tenant]))
    ledger = state.allowances.ledger
    ledger.note_gateways(())
    clock.advance(0.5)
    held = ledger.held(_NAME)
    client = servers.HttpServerClient()
    gateway = service.Gateway(state, client)
    request = builders.forwarded_request(parts=(("aa", 50),))
    with pytest.raises(ValueError, match="no forwarder"):
        await gateway.serve(request, mock.Mock())
    await client.close()
    assert held > 0
    assert ledger.held(_NAME) == held


def test_a_counted_gateway_fills_after_its_restart() -> None:
    """Guards against seconds without tokens after a planned restart.

    It had withdrawn its announcement, so its list did not name it.
    """
    clock = base.ManualClock()
    peer = _admission(clock, ("a", "b", "c"))
    clock.advance(2.0)
    for others, filled in (
        (("b", "c", "d"), True),
        (("b", "c", "d", "e"), False),
    ):
        admission = allowances.AllowanceAdmission(clock, random.Random(1))
        admission.apply({_NAME: _ALLOWANCE})
        admission.ledger.note_gateways(others[:1], joining=True)
        admission.ledger.note_gateways(others, joining=True)
        told = peer.ledger.tell_count()
        assert told is not None
        admission.ledger.note_told_count(told)
        clock.advance(1.0)
        assert (admission.ledger.held(_NAME) > 0) is filled


@pytest.mark.parametrize("idle_s", [1.5, 1.8, 4.0])
async def test_a_late_refund_makes_no_tokens(idle_s: float) -> None:
    """Guards against a bucket that refills and is then refunded as well."""
    clock = base.ManualClock()
    admission = _admission(clock)
    clock.advance(10.0)
    cap = admission.ledger.held(_NAME)
    charge = await _admit(admission, round(cap))
    clock.advance(idle_s)
    held = admission.ledger.held(_NAME)
    second = await _admit(admission, round(held) - 1)
    second.settle(outcome.Verdict.RAN)
    charge.settle(outcome.Verdict.NOT_RUN)
    assert held + admission.ledger.held(_NAME) <= cap + 2


async def test_no_refund_without_a_charge_in_its_unit() -> None:
    """Guards against tokens made by a change of the allowance."""
    clock = base.ManualClock()
    admission = _admission(clock)
    clock.advance(1.0)
    charge = await _admit(admission, 600)
    in_requests = routes.Allowance(1000.0, 2000.0)
    admission.apply({_NAME: in_requests})
    charge.settle(outcome.Verdict.NOT_RUN)
    assert admission.ledger.held(_NAME) == pytest.approx(400)


async def test_no_refund_of_what_was_admitted_without_an_allowance() -> None:
    """Guards against tokens made by an allowance that is removed and set."""
    clock = base.ManualClock()
    admission = _admission(clock)
    clock.advance(0.3)
    admission.connect(
        lambda peer, message: None, lambda: [allowances.Peer("b", True)]
    )
    admission.ledger.note_gateways(("b",))
    admission.apply({_NAME: _ALLOWANCE})
    held = admission.ledger.held(_NAME)
    task = asyncio.ensure_future(_admit(admission, round(held) + 200))
    await asyncio.sleep(0)
    admission.apply({})
    for waiter in admission._waiters[_NAME]:
        waiter.wake()
    charge = await task
    admission.apply({_NAME: _ALLOWANCE})
    charge.settle(outcome.Verdict.NOT_RUN)
    assert admission.ledger.held(_NAME) == pytest.approx(held)
