"""Simulated runner: the sidecar's production classes and a simulated engine."""

from __future__ import annotations

import random

from bench import assumptions, queues, simulation, traffic
from bench import engine as engine_lib
from hibiscusstile import admission, backends, cacheview, outcome
from hibiscusstile import bidder as bidder_lib

__all__ = ["Runner"]

_EXPIRY_INTERVAL_S = 0.1


class Runner:
    """Simulates a backend server and its sidecar.

    Args:
        sim: The virtual clock.
        fleet: The fleet's configuration.
        name: The sidecar's peer id.
        zone: Index of its availability zone.
        rng: Selects the cache events that are lost.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        fleet: assumptions.Fleet,
        name: str,
        zone: int,
        rng: random.Random,
    ) -> None:
        self._sim = sim
        self._fleet = fleet
        self._name = name
        self._zone = zone
        self._rng = rng
        self._event_loss = fleet.engine.event_loss
        self._engine = engine_lib.Engine(sim, fleet, name)
        self._queue = queues.build_queue(sim, fleet)
        self._cache_view = cacheview.CacheView()
        self._cache_view.reset(self._engine.incarnation)
        self._bidder = bidder_lib.Bidder(
            sim,
            self._queue,
            self._cache_view,
            fleet.engine.prefill_tokens_per_s,
            lambda rank: fleet.ranks[rank].level,
        )
        self._queued_attempts: dict[str, engine_lib.Attempt] = {}
        self._engine_down = False
        self._stale_bids = 0
        self._overstated_tokens = 0
        self._understated_tokens = 0
        sim.spawn(self._engine.run())
        sim.spawn(self._poll_cache_events())
        sim.spawn(self._expire_queued())

    @property
    def name(self) -> str:
        """The sidecar's peer id."""
        return self._name

    @property
    def engine(self) -> engine_lib.Engine:
        """The simulated engine."""
        return self._engine

    @property
    def zone(self) -> int:
        """Index of the availability zone."""
        return self._zone

    @property
    def queue(self) -> admission.AdmissionQueue:
        """The sidecar's admission queue."""
        return self._queue

    @property
    def stale_bids(self) -> int:
        """Number of bids that counted on the cache of a crashed engine."""
        return self._stale_bids

    @property
    def overstated_tokens(self) -> int:
        """Tokens that the cache view reported but the engine did not have."""
        return self._overstated_tokens

    @property
    def understated_tokens(self) -> int:
        """Tokens that the engine reused but the cache view did not report."""
        return self._understated_tokens

    def offer(self, request: traffic.Request) -> bidder_lib.BidEstimate:
        """Returns the sidecar's bid for a request."""
        if self._engine_down:
            return bidder_lib.BidEstimate(
                0, 0.0, 0.0, 0, outcome.Reason.BACKEND_FAILED
            )
        estimate = self._bidder.estimate_bid(request.work, request.salt)
        if (
            estimate.cached_tokens
            and self._cache_view.incarnation != self._engine.incarnation
        ):
            self._stale_bids += 1
        return estimate

    def submit(self, attempt: engine_lib.Attempt) -> outcome.Refusal | None:
        """Queues an attempt; returns the refusal if it is not accepted."""
        work = queues.attempt_work(attempt)
        rank = self._fleet.ranks[work.rank]
        if self._engine_down:
            return outcome.Refusal(
                outcome.Reason.BACKEND_FAILED, "engine is down"
            )
        deadline_s = self._sim.monotonic() + rank.queue_time_s
        cached = self._cache_view.cached_tokens(
            attempt.request.salt, work.levels
        )
        refusal = self._queue.offer(work, deadline_s, cached)
        if refusal is None:
            self._queued_attempts[work.work_id] = attempt
            for shed in self._queue.pop_shed():
                self._queued_attempts.pop(shed.work.work_id).fail()
            self._dispatch_queued()
        return refusal

    def crash(self, event_loss: float, concurrent_loads: int) -> None:
        """Crashes the engine, which then reloads its weights.

        Args:
            event_loss: Share of the cache events lost after the crash.
            concurrent_loads: Number of runners that load weights at the same
                time; too many slow each other down.
        """
        self._event_loss = event_loss
        self._engine_down = True
        self._cache_view.reset("")
        self._engine.crash()
        engine = self._fleet.engine
        slowdown = max(1.0, concurrent_loads / engine.weight_loads_at_once)
        self._sim.spawn(self._load_weights(engine.weight_load_s * slowdown))

    def _load_weights(self, load_s: float) -> simulation.Process:
        yield load_s
        self._engine_down = False
        self._cache_view.reset(self._engine.incarnation)
        self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        while (
            not self._engine_down
            and (work := self._queue.start_next()) is not None
        ):
            attempt = self._queued_attempts.pop(work.work_id)
            self._bidder.note_dispatched(work, attempt.request.salt)
            self._engine.submit(
                attempt, self._queue.priority(work.work_id) or 0
            )
            self._sim.spawn(self._track_attempt(attempt))

    def _track_attempt(self, attempt: engine_lib.Attempt) -> simulation.Process:
        request = attempt.request
        incarnation = self._engine.incarnation
        reported_tokens = self._cache_view.cached_tokens(
            request.salt, request.work.levels
        )
        yield attempt.started
        if not attempt.failed:
            overstated = reported_tokens - attempt.cached_tokens
            self._overstated_tokens += max(0, overstated)
            self._understated_tokens += max(0, -overstated)
            self._bidder.note_first_token(
                attempt.attempt_id,
                request.work.prompt_tokens - attempt.cached_tokens,
            )
            self._cache_view.admit(
                incarnation, request.salt, request.work.levels
            )
            self._queue.note_prefill_done(attempt.attempt_id)
            self._dispatch_queued()
        yield attempt.ended
        self._bidder.note_ended(attempt.attempt_id)
        served_tokens = 0
        if not attempt.failed:
            served_tokens = (
                request.work.prompt_tokens
                - attempt.cached_tokens
                + attempt.generated
            )
        self._queue.finish(attempt.attempt_id, served_tokens)
        self._dispatch_queued()

    def _expire_queued(self) -> simulation.Process:
        while True:
            yield _EXPIRY_INTERVAL_S
            for work in self._queue.expire():
                self._queued_attempts.pop(work.work_id).fail()
            self._dispatch_queued()

    def _poll_cache_events(self) -> simulation.Process:
        while True:
            yield self._fleet.engine.event_poll_s
            if self._engine_down:
                continue
            batch = self._engine.pop_visible_events()
            kept = tuple(
                event
                for event in batch.events
                if self._rng.random() >= self._event_loss
            )
            self._cache_view.apply(
                backends.CacheEvents(batch.incarnation, kept)
            )
