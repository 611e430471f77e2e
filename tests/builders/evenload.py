"""Builder of a model of gateways that choose engines by old reports."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from hibiscusstile.gateway import (
    enginerates,
    evenload,
    exchange,
    load,
    notices,
    prefillcoalescing,
    routes,
    selection,
    serverselection,
)
from hibiscusstile.gateway import state as state_lib
from tests.builders import base, gateway

__all__ = ["EvenLoadModel"]

_GATEWAYS = 24
_ENGINES = 12
_TICK_S = 0.02
_NOTICE_TICKS = 10
_PREFILL_TOKENS_PER_S = 30_000
_STREAM_S = 0.3
_SCOPE = "shared"


@dataclasses.dataclass
class _Engine:
    speed: float
    busy_until_s: float = 0.0
    arrivals: int = 0
    cached: set[str] = dataclasses.field(default_factory=set)


class EvenLoadModel:
    """Gateways that choose at the same moments, and engines in order.

    Every third engine has half of the others' speed. Notices are sent each
    0.2 s and take up to 0.8 s.
    """

    def __init__(self, mode: evenload.Mode, seed: int = 1) -> None:
        random.seed(seed)
        self._random = random.Random(seed)
        self._clock = base.ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._engines = {
            f"i-{number}": _Engine(0.5 if number % 3 == 0 else 1.0)
            for number in range(_ENGINES)
        }
        self._states = [self._gateway(mode) for _ in range(_GATEWAYS)]
        self._handlers = [notices.NoticeHandler(each) for each in self._states]
        self._answers: list[bool] = []
        self._shared_tokens = 0
        self._computed_tokens = 0

    @property
    def in_time(self) -> float:
        """Share of answers whose first token was in time."""
        return sum(self._answers) / len(self._answers)

    @property
    def computed_share(self) -> float:
        """Share of the shared prompt tokens that engines computed."""
        return self._computed_tokens / self._shared_tokens

    @property
    def busiest_to_mean(self) -> float:
        """Arrivals at the busiest engine, relative to the mean."""
        arrivals = [each.arrivals for each in self._engines.values()]
        return max(arrivals) * len(arrivals) / sum(arrivals)

    def run(
        self,
        seconds: float,
        make_request: Callable[[random.Random], tuple[tuple[str, int], ...]],
        *,
        per_tick: int,
        target_s: float,
    ) -> None:
        """Has `per_tick` gateways send a request at each tick."""
        for tick in range(round(seconds / _TICK_S)):
            self._clock.advance(_TICK_S)
            while self._events and self._events[0][0] <= self._now_s:
                heapq.heappop(self._events)[2]()
            # All choose before any of them hears of the others.
            for state in self._random.sample(self._states, per_tick):
                self._send(state, make_request(self._random), target_s)
            if tick % _NOTICE_TICKS == 0:
                self._send_notices()

    @property
    def _now_s(self) -> float:
        return self._clock.monotonic()

    def _gateway(self, mode: evenload.Mode) -> state_lib.GatewayState:
        state = gateway.gateway_state(self._clock)
        state.even_load.mode = mode
        state.set_process_count(_GATEWAYS)
        state.apply_table(gateway.routing_table())
        state.set_target_version("m1", 1)
        for server_id in self._engines:
            state.fleet.put(gateway.backend_server(server_id))
            state.note_weights(server_id, "m1", 1)
        return state

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        due_s = self._now_s + delay_s
        heapq.heappush(self._events, (due_s, next(self._order), action))

    def _send(
        self,
        state: state_lib.GatewayState,
        parts: tuple[tuple[str, int], ...],
        target_s: float,
    ) -> None:
        request = gateway.forwarded_request(parts=parts)
        rates = enginerates.EngineRates(
            "engines", (5e-3, 0.0, 1 / _PREFILL_TOKENS_PER_S, 0.0, 0.0)
        )
        service = _service(state)
        context = selection.SelectionContext(
            request,
            0,
            target_s,
            state.zone,
            rates,
            state.even_load.traffic(service.name).spread,
        )
        selected = serverselection.select_server(
            state, service, context, _SCOPE, ()
        )
        assert selected is not None
        candidate = selected.candidate
        work = load.InFlightRequest(
            request.prompt_tokens - selected.cached_tokens,
            request.prompt_tokens,
            self._now_s,
            selected.expected_s,
        )
        candidate.load.begin(work, candidate.cache_salt, request.parts)
        coalescer = prefillcoalescing.PrefillCoalescer(
            state, request, target_s, rates
        )
        coalescer.begin(selected)
        first_s = self._prefill(candidate.server.server_id, request)
        self._answers.append(first_s <= target_s)

        def start() -> None:
            candidate.load.note_started(work, self._now_s)
            coalescer.finish()

        self._after(first_s, start)
        self._after(
            first_s + _STREAM_S,
            lambda: candidate.load.end(work, self._now_s),
        )

    def _prefill(
        self, server_id: str, request: exchange.ForwardedRequest
    ) -> float:
        """Returns the time to the first token at an engine."""
        engine = self._engines[server_id]
        engine.arrivals += 1
        tokens = 0
        for part in request.parts:
            if part.part_id not in engine.cached:
                tokens += part.tokens
        shared = {part.part_id for part in request.parts[:-1]}
        self._shared_tokens += request.parts[0].tokens
        if shared - engine.cached:
            self._computed_tokens += request.parts[0].tokens
        engine.cached |= shared
        prefill_s = tokens / _PREFILL_TOKENS_PER_S / engine.speed
        engine.busy_until_s = max(engine.busy_until_s, self._now_s) + prefill_s
        return engine.busy_until_s - self._now_s

    def _send_notices(self) -> None:
        for sender, handler in enumerate(self._handlers):
            notice = handler.next_notice()
            if notice is None:
                continue
            for receiver in self._handlers:
                if receiver is not handler:
                    self._after(
                        self._random.uniform(0.0, 0.8),
                        lambda to=receiver, name=f"g{sender}", what=notice: (
                            to.apply(name, what)
                        ),
                    )


def _service(state: state_lib.GatewayState) -> routes.Service:
    assert state.table is not None
    return state.table.services[gateway.ENGINE_SERVICE]
