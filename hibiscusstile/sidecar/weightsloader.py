"""Loads model weights onto the local engine as the placement plan assigns."""

from __future__ import annotations

import datetime
import random
from collections.abc import Awaitable, Callable, Mapping

import logbook

from hibiscusstile import backends, identity, logs, outcome, platform
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.placement import entries, leases
from hibiscusstile.placement import plan as plan_lib
from hibiscusstile.sidecar import asyncadmission, regionsidecars

__all__ = ["WeightsLoader"]

_log = logbook.Logger("placement")

_LONG_POLL_TIMEOUT = datetime.timedelta(seconds=2)
_SHORT_POLL_TIMEOUT = datetime.timedelta(milliseconds=500)
_RETRY_DELAY = datetime.timedelta(seconds=1)
_CLAIM_TIMEOUT = datetime.timedelta(seconds=3)
_HOLDING_RETRY_INTERVAL = datetime.timedelta(seconds=5)

# Much shorter than the log's retention, so that a reader that starts at the
# earliest entry finds the holding of every live runner.
_HOLDING_REFRESH_INTERVAL = datetime.timedelta(hours=6)
_CLAIM_INTERVAL_RANGE_S = (1.0, 3.0)

# While many runners restart, the plan changes with each one that announces
# itself. Another model is loaded only for an assignment that was stable.
_ASSIGNMENT_SETTLE_TIME = datetime.timedelta(seconds=15)


class _LeaseStream:
    """Lease stream of one weight store, with this sidecar's claims on it."""

    def __init__(self, name: str, peer_id: str) -> None:
        self.name = name
        self.table = leases.LeaseTable()
        self.holder = leases.LeaseHolder(self.table, peer_id)
        self.last_entry_s = 0.0
        self.holding_sent_s: float | None = None


class WeightsLoader:
    """Loads the assigned weights under a lease while no request is running.

    Args:
        engine: The engine that loads the weights.
        log: Client of the log service.
        region_sidecars: The sidecars of the region.
        store: Store of the active configuration.
        admission_queue: Admission queue, which is paused during a load.
        clock: Measures leases and intervals.
        peer_id: Peer id of this sidecar.
        region: Region of this sidecar.
        get_health: Returns the last health reported by the engine.
        refresh_health: Probes the engine's health immediately.
    """

    def __init__(
        self,
        engine: backends.EngineBackend,
        log: platform.LogClient,
        region_sidecars: regionsidecars.RegionSidecars,
        store: store_lib.ConfigurationStore,
        admission_queue: asyncadmission.AsyncAdmissionQueue,
        clock: clock_lib.Clock,
        peer_id: str,
        region: str,
        get_health: Callable[[], backends.EngineHealth | None],
        refresh_health: Callable[[], Awaitable[None]],
    ) -> None:
        self._engine = engine
        self._platform_log = log
        self._region_sidecars = region_sidecars
        self._store = store
        self._admission_queue = admission_queue
        self._clock = clock
        self._peer_id = peer_id
        self._region = region
        self._get_health = get_health
        self._refresh_health = refresh_health
        self._streams: dict[str, _LeaseStream] = {}
        self._health: backends.EngineHealth | None = None
        self._assigned_model = ""
        self._assigned_since_s = 0.0
        self._load_due_since_s: float | None = None
        self._next_claim_s = 0.0

    async def run(self) -> None:
        """Carries out the plan until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Reads the lease streams once and takes the next step of the plan."""
        await self._region_sidecars.refresh()
        self._health = self._get_health()
        streams = self._open_streams()
        if not streams or self._health is None:
            await self._clock.sleep(_RETRY_DELAY)
            return
        max_wait = (
            _LONG_POLL_TIMEOUT if len(streams) == 1 else _SHORT_POLL_TIMEOUT
        )
        for stream in streams:
            if not await self._read(stream, max_wait):
                await self._clock.sleep(_RETRY_DELAY)
                return
            await self._release(stream)
            await self._append_holding(stream)
        await self._follow_plan()

    def _open_streams(self) -> list[_LeaseStream]:
        stores = {
            model.weight_store for model in self._store.view.models.values()
        }
        for store in stores - self._streams.keys():
            name = entries.lease_stream(self._region, store)
            self._streams[store] = _LeaseStream(name, self._peer_id)
        return [self._streams[store] for store in sorted(stores)]

    async def _read(
        self, stream: _LeaseStream, max_wait: datetime.timedelta
    ) -> bool:
        """Applies new entries. Returns False if the log is unavailable."""
        page = await self._platform_log.read(
            stream.name, stream.table.next_offset, wait=max_wait
        )
        if isinstance(page, platform.LogUnavailable):
            _log.warning("log_unavailable reason={}", page.message)
            return False
        stream.table.skip_to(page.earliest)
        for entry in page.entries:
            stream.table.apply(entry)
            stream.last_entry_s = self._clock.monotonic()
        return True

    async def _release(self, stream: _LeaseStream) -> None:
        for release in stream.holder.pending_releases():
            await self._append(stream, release)

    async def _append_holding(self, stream: _LeaseStream) -> None:
        """Appends the engine's holding if it changed or is due for renewal."""
        if self._health is None:
            return
        now_s = self._clock.monotonic()
        holding = entries.Holding(
            holder=self._peer_id,
            model=self._health.model,
            weights_version=self._health.weights_version,
            adapters=self._health.adapters,
        )
        is_recorded = stream.table.holdings.get(self._peer_id) == holding
        interval = (
            _HOLDING_REFRESH_INTERVAL
            if is_recorded
            else _HOLDING_RETRY_INTERVAL
        )
        sent_s = stream.holding_sent_s
        if sent_s is None or now_s >= sent_s + interval.total_seconds():
            stream.holding_sent_s = now_s
            await self._append(stream, holding)

    async def _append(
        self, stream: _LeaseStream, entry: entries.LeaseStreamEntry
    ) -> None:
        result = await self._platform_log.append(
            stream.name, entries.encode(entry)
        )
        if not isinstance(result, platform.Appended):
            _log.warning(
                "append_failed op={} reason={}", entry.op, result.message
            )

    async def _follow_plan(self) -> None:
        now_s = self._clock.monotonic()
        step, stream = self._next_step(now_s, None)
        if step.load is None or stream is None:
            # A runner that waits for others keeps the start of its wait.
            if step.reason != "others load first":
                self._load_due_since_s = None
            return
        if now_s < self._next_claim_s or not self._has_free_slot(stream, now_s):
            return
        self._next_claim_s = now_s + random.uniform(*_CLAIM_INTERVAL_RANGE_S)
        try:
            if await self._acquire_lease(stream):
                await self._load_under_lease(stream)
        finally:
            stream.holder.end_claim()
            self._admission_queue.resume()
        await self._release(stream)

    def _next_step(
        self, now_s: float, grant: leases.Grant | None
    ) -> tuple[plan_lib.Step, _LeaseStream | None]:
        """Returns the next step and the lease stream of its weight store.

        Args:
            now_s: Monotonic time.
            grant: This sidecar's lease. If given, only earlier leases count
                as other sidecars' loads.
        """
        models = self._store.view.models
        holdings = self._live_holdings()
        plan = plan_lib.assign(models, holdings.keys())
        assignment = plan.get(self._peer_id)
        if assignment is None:
            return plan_lib.Step(None, "not planned"), None
        if not self._is_settled(assignment.model, now_s):
            return plan_lib.Step(None, "assignment changed recently"), None
        if self._load_due_since_s is None:
            self._load_due_since_s = now_s
        stream = self._streams[models[assignment.model].weight_store]
        loading_peers = {
            active_grant.holder
            for active_grant in stream.table.active
            if grant is None or active_grant.offset < grant.offset
        }
        step = plan_lib.next_step(
            self._peer_id,
            plan,
            holdings,
            now_s - self._load_due_since_s,
            loading_peers - {self._peer_id},
        )
        return step, stream

    def _is_settled(self, model: str, now_s: float) -> bool:
        if model != self._assigned_model:
            self._assigned_model = model
            self._assigned_since_s = now_s
        loaded_model = self._health.model if self._health else ""
        assigned_s = now_s - self._assigned_since_s
        return (
            model == loaded_model
            or assigned_s >= _ASSIGNMENT_SETTLE_TIME.total_seconds()
        )

    def _live_holdings(self) -> Mapping[str, entries.Holding]:
        """Returns the holdings of the region's live engines, by peer id."""
        peer_ids = self._region_sidecars.peer_ids | {self._peer_id}
        return {
            holder: holding
            for stream in self._streams.values()
            for holder, holding in stream.table.holdings.items()
            if holder in peer_ids
        }

    def _max_concurrent_loads(self) -> int:
        return plan_lib.max_concurrent_loads(len(self._live_holdings()))

    def _has_free_slot(self, stream: _LeaseStream, now_s: float) -> bool:
        """Whether a claim can succeed; others are not appended to the log."""
        idle_s = now_s - stream.last_entry_s
        if idle_s > entries.MAX_LEASE.total_seconds():
            return True
        return len(stream.table.active) < self._max_concurrent_loads()

    async def _acquire_lease(self, stream: _LeaseStream) -> bool:
        """Appends a claim and reads the log up to it.

        Returns:
            Whether the lease was granted and the load is still due.
        """
        now_s = self._clock.monotonic()
        claim = stream.holder.start_claim(identity.new_id("lease"), now_s)
        deadline_s = now_s + _CLAIM_TIMEOUT.total_seconds()
        await self._append(stream, claim)
        while stream.holder.outcome is leases.ClaimOutcome.UNSEEN:
            if self._clock.monotonic() >= deadline_s:
                return False
            if not await self._read(stream, _SHORT_POLL_TIMEOUT):
                await self._clock.sleep(_RETRY_DELAY)
        grant = stream.holder.grant
        if grant is None or grant.active_before >= self._max_concurrent_loads():
            return False
        step, _ = self._next_step(self._clock.monotonic(), grant)
        return step.load is not None

    async def _load_under_lease(self, stream: _LeaseStream) -> None:
        remaining_s = stream.holder.remaining_s(self._clock.monotonic())
        idle = await self._admission_queue.pause(
            outcome.Refusal(
                outcome.Reason.NOT_LOADED, "the engine is about to load weights"
            ),
            datetime.timedelta(seconds=remaining_s),
        )
        step, _ = self._next_step(self._clock.monotonic(), stream.holder.grant)
        if not idle or step.load is None:
            _log.info("load_put_off idle={} reason={}", idle, step.reason)
            return
        await self._send_load_order(stream, step.load)

    async def _send_load_order(
        self, stream: _LeaseStream, assignment: plan_lib.Assignment
    ) -> None:
        # Checked right before sending, in case the process was suspended.
        fencing_number = stream.holder.fencing_number(self._clock.monotonic())
        if fencing_number is None:
            return
        result = await self._engine.order(
            backends.EngineOrder(
                fencing_number,
                assignment.model,
                assignment.weights_version,
                assignment.adapters,
            )
        )
        _log.info(
            logs.format_event(
                "engine_order",
                {
                    "fencing_number": fencing_number,
                    "model": assignment.model,
                    "weights_version": assignment.weights_version,
                    "done": result.applied,
                    "message": result.message,
                },
            )
        )
        await self._refresh_health()
        self._health = self._get_health()
        stream.holding_sent_s = None
        await self._append_holding(stream)
