"""Simulated entry instances, which route with the production policies."""

from __future__ import annotations

import dataclasses
from collections.abc import Generator, Mapping, Sequence
from typing import Any

from bench import assumptions, simulation, traffic
from bench import engine as engine_lib
from bench import runner as runner_lib
from hibiscusstile import policies

__all__ = ["Entry", "RequestResult"]

_MAX_ATTEMPTS = 4  # as in hibiscusstile/entry/chatrelay.py
_MAX_BID_ROUNDS = 3  # as in hibiscusstile/entry/routing.py


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Result of a simulated request.

    Attributes:
        request: The request.
        arrival_s: Time of arrival at the load balancer.
        first_token_s: Time from arrival to the first token, or None.
        accepted: Whether a sidecar accepted the request.
        answered: Whether the client received the complete answer.
        cached_tokens: Prompt tokens read from the cache by the attempt that
            generated the first token.
        computed_tokens: Prompt tokens computed in all attempts.
        completed_s: Time at which the client received the last token.
        attempts: Number of attempts.
    """

    request: traffic.Request
    arrival_s: float
    first_token_s: float | None = None
    accepted: bool = False
    answered: bool = False
    cached_tokens: int = 0
    computed_tokens: int = 0
    completed_s: float = 0.0
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class _LoadReport:
    load: int = 0
    updated_s: float = 0.0


class Entry:
    """Simulates one entry instance.

    Args:
        sim: The virtual clock.
        fleet: The fleet's configuration.
        zone: Index of its availability zone.
        runners: All runners.
        policy_name: Name of the routing policy in its registry.
        options: The policy's options.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        fleet: assumptions.Fleet,
        zone: int,
        runners: Sequence[runner_lib.Runner],
        policy_name: str,
        options: Mapping[str, Any],
    ) -> None:
        self._sim = sim
        self._fleet = fleet
        self._zone = zone
        self._runners = {runner.name: runner for runner in runners}
        self._policy_name = policy_name
        self._options = options
        self.restart()

    def restart(self) -> None:
        """Resets the state that a real process would lose in a restart."""
        policy = policies.get_policy_by_name(self._policy_name)
        self._policy = policy(self._options)
        self._load_reports = {name: _LoadReport() for name in self._runners}

    def handle(self, result: RequestResult) -> simulation.Process:
        """Routes a request, with retries as in `hibiscusstile.entry`."""
        yield self._fleet.client_delay_s
        excluded: set[str] = set()
        resumed_tokens = 0
        for number in range(1, _MAX_ATTEMPTS + 1):
            choice = yield from self._choose(result.request, excluded)
            if choice is None:
                return
            runner = self._runners[choice.runner]
            result.attempts = number
            attempt = self._new_attempt(result.request, number, resumed_tokens)
            yield self._latency_s(runner)
            if runner.submit(attempt) is None:
                yield from self._relay(result, runner, attempt)
                if not attempt.failed:
                    return
            excluded.add(choice.runner)

    def _choose(
        self, request: traffic.Request, excluded: set[str]
    ) -> Generator[float | simulation.Signal, None, policies.Choice | None]:
        tried = set(excluded)
        for _ in range(_MAX_BID_ROUNDS):
            candidates = self._policy.candidates(
                request.work, self._runner_views(tried)
            )
            if self._policy.asks_for_bids:
                yield from self._wait_one_way(candidates)
                bids = [self._request_bid(request, view) for view in candidates]
                yield from self._wait_one_way(candidates)
            else:
                bids = [policies.Bid(view.runner) for view in candidates]
            choice = self._policy.choose(request.work, bids)
            if choice is not None or not candidates:
                return choice
            tried.update(view.runner for view in candidates)
        return None

    def _relay(
        self,
        result: RequestResult,
        runner: runner_lib.Runner,
        attempt: engine_lib.Attempt,
    ) -> simulation.Process:
        result.accepted = True
        yield attempt.started
        return_latency_s = self._latency_s(runner) + self._fleet.client_delay_s
        if not attempt.failed:
            if result.first_token_s is None:
                now_s = self._sim.monotonic()
                result.first_token_s = (
                    now_s + return_latency_s - result.arrival_s
                )
                result.cached_tokens = attempt.cached_tokens
            result.computed_tokens += (
                result.request.work.prompt_tokens - attempt.cached_tokens
            )
        yield attempt.ended
        if not attempt.failed:
            result.answered = True
            result.completed_s = self._sim.monotonic() + return_latency_s

    def _new_attempt(
        self, request: traffic.Request, number: int, resumed_tokens: int
    ) -> engine_lib.Attempt:
        return engine_lib.Attempt(
            request,
            f"{request.work.work_id}.{number}",
            resumed_tokens,
            simulation.Signal(self._sim),
            simulation.Signal(self._sim),
        )

    def _runner_views(self, excluded: set[str]) -> list[policies.RunnerView]:
        now_s = self._sim.monotonic()
        return [
            policies.RunnerView(
                name,
                2 * self._latency_s(self._runners[name]),
                report.load,
                now_s - report.updated_s,
            )
            for name, report in self._load_reports.items()
            if name not in excluded
        ]

    def _request_bid(
        self, request: traffic.Request, view: policies.RunnerView
    ) -> policies.Bid:
        offer = self._runners[view.runner].offer(request)
        self._load_reports[view.runner] = _LoadReport(
            offer.load, self._sim.monotonic()
        )
        return policies.Bid(
            view.runner,
            offer.cached_tokens,
            offer.wait_s,
            offer.prefill_s,
            offer.load,
            view.zone_cost_s,
            offer.refusal,
        )

    def _wait_one_way(
        self, views: Sequence[policies.RunnerView]
    ) -> simulation.Process:
        yield max((view.zone_cost_s / 2 for view in views), default=0.0)

    def _latency_s(self, runner: runner_lib.Runner) -> float:
        if runner.zone == self._zone:
            return self._fleet.local_delay_s
        return self._fleet.zone_delay_s
