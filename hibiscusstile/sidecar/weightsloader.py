"""Follows the placement plan and gives orders to the local engine."""

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

_POLL_WAIT = datetime.timedelta(seconds=2)
_SHORT_WAIT = datetime.timedelta(milliseconds=500)
_RETRY = datetime.timedelta(seconds=1)
_CLAIM_DEADLINE = datetime.timedelta(seconds=3)
_ANNOUNCE_RETRY = datetime.timedelta(seconds=5)

# Well within the log's retention, so that a reader that starts at the
# earliest entry finds every live runner's holding.
_ANNOUNCE_AGAIN = datetime.timedelta(hours=6)
_CLAIM_JITTER_S = (1.0, 3.0)

# The plan changes with every runner that announces itself after a restart of
# many; a runner changes its model only for an assignment that has lasted.
_SETTLE = datetime.timedelta(seconds=15)


class _Stream:
    """One weight store's lease stream, with this sidecar's claims on it."""

    def __init__(self, name: str, peer_id: str) -> None:
        self.name = name
        self.table = leases.LeaseTable()
        self.holder = leases.LeaseHolder(self.table, peer_id)
        self.grown_s = 0.0
        self.announced_s: float | None = None


class WeightsLoader:
    """Loads what the plan assigns, under a lease, once nothing runs.

    Args:
        engine: The engine.
        log: The log service.
        region_sidecars: The region's sidecars.
        store: The configuration in force.
        admission_queue: The admission queue's turns, which pause during a load.
        clock: Measures leases.
        peer_id: This sidecar.
        region: Its region.
        health: Returns what the engine last said of itself.
        refresh: Asks the engine for its health at once.
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
        health: Callable[[], backends.EngineHealth | None],
        refresh: Callable[[], Awaitable[None]],
    ) -> None:
        self._engine = engine
        self._platform_log = log
        self._region_sidecars = region_sidecars
        self._store = store
        self._admission_queue = admission_queue
        self._clock = clock
        self._peer_id = peer_id
        self._region = region
        self._read_health = health
        self._refresh = refresh
        self._streams: dict[str, _Stream] = {}
        self._health: backends.EngineHealth | None = None
        self._wanted = ""
        self._wanted_since_s = 0.0
        self._due_since_s: float | None = None
        self._claim_after_s = 0.0

    async def run(self) -> None:
        """Follows the plan until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Reads the lease streams once and acts on them."""
        await self._region_sidecars.refresh()
        self._health = self._read_health()
        streams = self._open_streams()
        if not streams or self._health is None:
            await self._clock.sleep(_RETRY)
            return
        wait = _POLL_WAIT if len(streams) == 1 else _SHORT_WAIT
        for stream in streams:
            if not await self._read(stream, wait):
                await self._clock.sleep(_RETRY)
                return
            await self._release(stream)
            await self._announce(stream)
        await self._follow_plan()

    def _open_streams(self) -> list[_Stream]:
        stores = {m.weight_store for m in self._store.view.models.values()}
        for store in stores - self._streams.keys():
            name = entries.lease_stream(self._region, store)
            self._streams[store] = _Stream(name, self._peer_id)
        return [self._streams[store] for store in sorted(stores)]

    async def _read(self, stream: _Stream, wait: datetime.timedelta) -> bool:
        """Applies new entries; False if the log is unavailable."""
        page = await self._platform_log.read(
            stream.name, stream.table.next_offset, wait=wait
        )
        if isinstance(page, platform.LogUnavailable):
            _log.warning("log_unavailable reason={}", page.message)
            return False
        stream.table.skip_to(page.earliest)
        for entry in page.entries:
            stream.table.apply(entry)
            stream.grown_s = self._clock.monotonic()
        return True

    async def _release(self, stream: _Stream) -> None:
        for release in stream.holder.releases():
            await self._append(stream, release)

    async def _announce(self, stream: _Stream) -> None:
        """Appends what the engine holds, if the stream says otherwise."""
        if self._health is None:
            return
        now_s = self._clock.monotonic()
        holding = entries.Holding(
            holder=self._peer_id,
            model=self._health.model,
            weights_version=self._health.weights_version,
            adapters=self._health.adapters,
        )
        known = stream.table.holdings.get(self._peer_id) == holding
        pause = _ANNOUNCE_AGAIN if known else _ANNOUNCE_RETRY
        last_s = stream.announced_s
        if last_s is None or now_s >= last_s + pause.total_seconds():
            stream.announced_s = now_s
            await self._append(stream, holding)

    async def _append(
        self, stream: _Stream, entry: entries.LeaseStreamEntry
    ) -> None:
        answer = await self._platform_log.append(
            stream.name, entries.encode(entry)
        )
        if not isinstance(answer, platform.Appended):
            _log.warning(
                "append_failed op={} reason={}", entry.op, answer.message
            )

    async def _follow_plan(self) -> None:
        now_s = self._clock.monotonic()
        step, stream = self._next_step(now_s, None)
        if step.load is None or stream is None:
            if step.reason != "others load first":
                self._due_since_s = None
            return
        if now_s < self._claim_after_s or not self._has_slot(stream, now_s):
            return
        self._claim_after_s = now_s + random.uniform(*_CLAIM_JITTER_S)
        try:
            if await self._claim(stream):
                await self._load_under_lease(stream)
        finally:
            stream.holder.end()
            self._admission_queue.resume()
        await self._release(stream)

    def _next_step(
        self, now_s: float, granted: leases.Grant | None
    ) -> tuple[plan_lib.Step, _Stream | None]:
        """Returns the next step and the stream of its weight store.

        Args:
            now_s: Monotonic time.
            granted: This sidecar's lease; earlier ones alone count then.
        """
        models = self._store.view.models
        holdings = self._holdings()
        plan = plan_lib.assign(models, holdings.keys())
        wanted = plan.get(self._peer_id)
        if wanted is None:
            return plan_lib.Step(None, "not planned"), None
        if not self._is_settled(wanted.model, now_s):
            return plan_lib.Step(None, "the plan is new"), None
        if self._due_since_s is None:
            self._due_since_s = now_s
        stream = self._streams[models[wanted.model].weight_store]
        loading = {
            each.holder
            for each in stream.table.active
            if granted is None or each.offset < granted.offset
        }
        step = plan_lib.next_step(
            self._peer_id,
            plan,
            holdings,
            now_s - self._due_since_s,
            loading - {self._peer_id},
        )
        return step, stream

    def _is_settled(self, model: str, now_s: float) -> bool:
        if model != self._wanted:
            self._wanted = model
            self._wanted_since_s = now_s
        held = self._health.model if self._health else ""
        since_s = now_s - self._wanted_since_s
        return model == held or since_s >= _SETTLE.total_seconds()

    def _holdings(self) -> Mapping[str, entries.Holding]:
        """Returns what the region's live engines hold, this one included."""
        members = self._region_sidecars.peer_ids | {self._peer_id}
        return {
            holder: holding
            for stream in self._streams.values()
            for holder, holding in stream.table.holdings.items()
            if holder in members
        }

    def _slots(self) -> int:
        return plan_lib.slots_for(len(self._holdings()))

    def _has_slot(self, stream: _Stream, now_s: float) -> bool:
        """Whether a claim has a prospect, which spares the log a vain one."""
        quiet_s = now_s - stream.grown_s
        if quiet_s > entries.MAX_LEASE.total_seconds():
            return True
        return len(stream.table.active) < self._slots()

    async def _claim(self, stream: _Stream) -> bool:
        """Appends a claim and reads the log up to it; whether it holds."""
        now_s = self._clock.monotonic()
        claim = stream.holder.begin(identity.new_id("lease"), now_s)
        limit_s = now_s + _CLAIM_DEADLINE.total_seconds()
        await self._append(stream, claim)
        while stream.holder.outcome is leases.Outcome.UNSEEN:
            if self._clock.monotonic() >= limit_s:
                return False
            if not await self._read(stream, _SHORT_WAIT):
                await self._clock.sleep(_RETRY)
        grant = stream.holder.grant
        if grant is None or grant.before >= self._slots():
            return False
        step, _ = self._next_step(self._clock.monotonic(), grant)
        return step.load is not None

    async def _load_under_lease(self, stream: _Stream) -> None:
        left_s = stream.holder.left_s(self._clock.monotonic())
        idle = await self._admission_queue.pause(
            outcome.Refusal(
                outcome.Reason.NOT_LOADED, "the engine is about to load weights"
            ),
            datetime.timedelta(seconds=left_s),
        )
        step, _ = self._next_step(self._clock.monotonic(), stream.holder.grant)
        if not idle or step.load is None:
            _log.info("load_put_off idle={} reason={}", idle, step.reason)
            return
        await self._order(stream, step.load)

    async def _order(
        self, stream: _Stream, wanted: plan_lib.Assignment
    ) -> None:
        # Read right before the order: the process may have been paused.
        number = stream.holder.fencing_number(self._clock.monotonic())
        if number is None:
            return
        result = await self._engine.order(
            backends.EngineOrder(
                number, wanted.model, wanted.weights_version, wanted.adapters
            )
        )
        _log.info(
            logs.decision_line(
                "engine_order",
                {
                    "fencing_number": number,
                    "model": wanted.model,
                    "weights_version": wanted.weights_version,
                    "done": result.done,
                    "message": result.message,
                },
            )
        )
        await self._refresh()
        self._health = self._read_health()
        stream.announced_s = None
        await self._announce(stream)
