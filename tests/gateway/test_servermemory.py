"""Tests of the bound on what all gateways have sent to a server."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random

import pytest

from hibiscusstile.gateway import (
    noticebatch,
    notices,
    routes,
    selection,
    servermemory,
    serverselection,
)
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import boot
from tests import builders as base
from tests.builders import gateway as builders

_MAX_BODY_BYTES = 1_000_000
_CAPACITY = servermemory.Footprint(100_000, 1_000_000)


@pytest.mark.parametrize(
    ("request_tokens", "held_tokens", "peers", "expected"),
    [
        (500_000, 0, 20, True),
        (10_000, 90_000, 0, True),
        (10_001, 90_000, 0, False),
        (10_000, 70_000, 10, True),
        (10_001, 70_000, 10, False),
        (10_000, 65_000, 300, True),
        (10_001, 65_000, 300, False),
    ],
)
def test_a_request_fits_beside_what_is_held_and_not_announced(
    request_tokens: int, held_tokens: int, peers: int, expected: bool
) -> None:
    """Guards against crashed servers, and requests that are never sent."""
    assert expected is servermemory.fits(
        servermemory.Footprint(request_tokens),
        servermemory.Footprint(held_tokens),
        _CAPACITY,
        peers,
    )


def test_bodies_count_on_their_own() -> None:
    """Guards against bodies without a prompt that fill a server."""
    half = servermemory.Footprint(0, 500_000)
    more = servermemory.Footprint(0, 500_001)
    assert servermemory.fits(half, half, _CAPACITY, 0)
    assert not servermemory.fits(more, half, _CAPACITY, 0)


class _Gateways:
    """Gateways that tell each other what they hold at one engine."""

    def __init__(
        self, count: int, *, limited: bool = True, engine_fill: float = 1.0
    ) -> None:
        self.clock = base.ManualClock()
        self.states = [builders.gateway_state(self.clock) for _ in range(count)]
        self.handlers = [notices.NoticeHandler(each) for each in self.states]
        self.batches = [noticebatch.NoticeBatch() for _ in range(count)]
        for state in self.states:
            state.apply_table(builders.routing_table())
            state.set_process_count(count)
            state.server_memory.limits = servermemory.ServerMemoryLimits(
                limited, _MAX_BODY_BYTES, engine_fill
            )
            state.fleet.put(builders.backend_server())

    @property
    def service(self) -> routes.Service:
        table = self.states[0].table
        assert table is not None
        return table.services[builders.ENGINE_SERVICE]

    def exchange_notices(self) -> None:
        """Delivers what each gateway has to tell, batched as between zones."""
        for number, handler in enumerate(self.handlers):
            notice = handler.next_notice()
            if notice is None:
                continue
            self.batches[number].add(notice)
            merged = self.batches[number].drain(1, self.clock.monotonic())
            assert merged is not None
            for other in self.handlers:
                if other is not handler:
                    other.apply(f"gateway-{number}", merged)

    def select(
        self, state: state_lib.GatewayState, tokens: int
    ) -> selection.SelectedServer | None:
        request = builders.forwarded_request(parts=(("aa", tokens),))
        context = selection.SelectionContext(
            request, 2, 1.5, "z1", state.engine_rates(self.service.name)
        )
        return serverselection.select_server(
            state, self.service, context, "shared", ()
        )


@pytest.mark.parametrize("limited", [True, False])
def test_the_requests_of_all_gateways_stay_below_an_engines_memory(
    limited: bool,
) -> None:
    """Guards against gateways that together crash an engine.

    Load: 12 gateways, each with more requests than the engine holds, which
    choose between any two notices one after another.
    """
    gateways = _Gateways(12, limited=limited)
    assert gateways.service.engine is not None
    capacity = gateways.service.engine.cache_tokens
    numbers = random.Random(1)
    most = sent = 0
    with contextlib.ExitStack() as running:
        for _ in range(400):
            state = numbers.choice(gateways.states)
            tokens = numbers.choice((300, 3_000, 15_000))
            if gateways.select(state, tokens) is None:
                continue
            request = builders.forwarded_request(parts=(("aa", tokens),))
            running.enter_context(state.server_memory.hold("i-1", request))
            sent += 1
            gateways.exchange_notices()
            total = sum(
                each.server_memory.snapshot()
                .get("i-1", servermemory.NOTHING)
                .tokens
                for each in gateways.states
            )
            most = max(most, total)
    if limited:
        assert capacity / 2 < most <= capacity
    else:
        assert sent == 400
    gateways.exchange_notices()
    for state in gateways.states:
        assert state.server_memory.held("i-1") == servermemory.NOTHING


def test_what_a_silent_peer_holds_counts_until_it_has_ended() -> None:
    """Guards against a full engine that looks empty, and one lost for good."""
    gateways = _Gateways(2)
    first, second = gateways.states
    request = builders.forwarded_request()
    with first.server_memory.hold("i-1", request):
        gateways.exchange_notices()
        gateways.clock.advance(4)
        assert second.server_memory.held("i-1").tokens == 12_100
        gateways.clock.advance(1.1)
        assert second.server_memory.held("i-1") == servermemory.NOTHING
        # A peer that is in touch repeats it.
        gateways.exchange_notices()
        assert second.server_memory.held("i-1").tokens == 12_100
        snapshot = gateways.handlers[0].snapshot()
        assert [each.tokens for each in snapshot.memory] == [12_100]
    gateways.exchange_notices()
    assert second.server_memory.held("i-1") == servermemory.NOTHING


def test_bodies_alone_are_bounded_unless_tokens_are_asked_for() -> None:
    """Guards against requests refused to an engine that queues them itself."""
    gateways = _Gateways(2, engine_fill=0.0)
    first, second = gateways.states
    prompt = builders.forwarded_request(parts=(("aa", 10**9),))
    body = builders.forwarded_request(body=bytes(_MAX_BODY_BYTES * 9 // 10))
    with first.server_memory.hold("i-1", prompt):
        gateways.exchange_notices()
        assert gateways.select(second, 10**9) is not None
    with first.server_memory.hold("i-1", body):
        gateways.exchange_notices()
        assert second.server_memory.may_send(prompt, gateways.service, "i-1")
        assert not second.server_memory.may_send(body, gateways.service, "i-1")


def test_requests_that_need_no_memory_overlap() -> None:
    """Guards against a request without a body that fails when it ends."""
    held = servermemory.ServerMemory(base.ManualClock())
    empty = builders.forwarded_request(body=b"")
    body = builders.forwarded_request(body=bytes(100))
    with held.hold("i-1", empty), held.hold("i-1", empty):
        pass
    with held.hold("i-1", empty):
        with held.hold("i-1", body):
            assert held.held("i-1").body_bytes == 100
        assert held.held("i-1") == servermemory.NOTHING
    assert held.held("i-1") == servermemory.NOTHING


def test_nothing_is_counted_or_announced_unless_it_is_asked_for() -> None:
    """Guards against a change for deployments that do not ask for it."""
    gateways = _Gateways(2, limited=False)
    state = gateways.states[0]
    request = builders.forwarded_request(parts=(("aa", 10**9),))
    with state.server_memory.hold("i-1", request):
        assert gateways.handlers[0].next_notice() is None
        assert not gateways.handlers[0].snapshot().memory
        assert gateways.select(state, 10**9) is not None


async def test_a_request_is_held_until_its_response_has_ended() -> None:
    """Guards against requests that are not counted, or counted for ever."""
    async with builders.gateway_harness() as harness:
        await harness.add_runner(builders.ENGINE_SERVICE, "i-1", pace_s=0.1)
        memory = harness.state.server_memory
        memory.limits = servermemory.ServerMemoryLimits(engine_fill=1.0)
        call = asyncio.create_task(
            harness.call("/question/1", **builders.prompt_headers("a", "b"))
        )
        await harness.until(lambda: memory.held("i-1").tokens == 1_100)
        assert (await call)[0] == 200
        await harness.until(lambda: memory.held("i-1") == servermemory.NOTHING)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("", False),
        ('contracts = ["quota"]', False),
        ('contracts = ["quota", "pressure"]', True),
    ],
)
def test_the_settings_file_tells_whether_memory_is_bounded(
    tmp_path: pathlib.Path, line: str, expected: bool
) -> None:
    """Guards against a bound where no one asks for it, and none elsewhere."""
    path = tmp_path / "node.toml"
    path.write_text(
        f'{line}\nnode = "front-1"\nzone = "z1"\n'
        '[platform]\naddress = "127.0.0.1:1"\n'
        "[gateway]\nserver_bodies_kb = 1\n"
    )
    settings = boot.load_boot_settings(path)
    assert settings.limits_server_memory is expected
    assert settings.max_server_body_bytes == 1024
