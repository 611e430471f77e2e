"""Rolling update of engines to the target versions of their weights."""

from __future__ import annotations

import asyncio
import datetime

import logbook

from hibiscusstile import logs
from hibiscusstile.gateway import engineorders, fleet, loadtime
from hibiscusstile.gateway import rolloutlease as lease_lib
from hibiscusstile.gateway import state as state_lib

__all__ = ["Rollout"]

_log = logbook.Logger("rollout")

# Share of a service's engines that load weights concurrently. On all deployed
# fleets, loading slows down when more than a third of the engines load.
_MAX_LOADING_SHARE = 1 / 3
# Longest expected time from an order until an engine is available again.
_MAX_CHANGE_S = 1.5
_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
_REPORT_INTERVAL = datetime.timedelta(milliseconds=150)
# Share of the expected time of a load after which reports are polled. If they
# began later, a load shorter than expected would not be noticed.
_FIRST_REPORT_SHARE = 0.85
# An engine that receives an order rejects requests that wait for their first
# token. The order is therefore delayed until at most this many prompt tokens
# wait, but by `_MAX_DRAIN_S` at most; new requests go to other engines.
_MAX_UNDRAINED_TOKENS = 1_500
_MAX_DRAIN_S = 0.6
# While engines are outdated, a claim is renewed when less than this remains.
_RENEW_BEFORE_S = 1.2
_MAX_REFUSAL_PAUSE = datetime.timedelta(seconds=1.2)
_UNKNOWN_OUTCOME_PAUSE = datetime.timedelta(milliseconds=20)
# Time for which reports are polled for the effect of an accepted order.
_ORDER_TIMEOUT_S = 6.0


class Rollout:
    """Finds engines with outdated weights and updates them.

    Args:
        state: State of this gateway process.
        lease: Lease required to send orders.
        orders: Client for engine orders and reports.
        name: Unique name of this process, sent with orders.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        lease: lease_lib.RolloutLease,
        orders: engineorders.EngineOrders,
        name: str,
    ) -> None:
        self._state = state
        self._clock = state.clock
        self._lease = lease
        self._orders = orders
        self._name = name
        self._load_time = loadtime.LoadTime()
        self._loading_until_s: dict[str, float] = {}
        self._refusal_counts: dict[str, int] = {}
        self._outdated_ids: frozenset[str] = frozenset()
        self._unchanged_since_s = 0.0

    async def run(self) -> None:
        """Runs rollouts as needed until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL)
            await self._lease.refresh()
            if not self._update_outdated():
                await self._lease.open_era()
                continue
            unchanged_s = self._clock.monotonic() - self._unchanged_since_s
            if self._lease.may_claim(unchanged_s) and await self._lease.claim():
                await self._run_waves()

    def _outdated_engines(self) -> list[tuple[str, fleet.BackendServer]]:
        """Returns healthy engines that may be outdated, each with its model.

        Their version is unknown or below the model's target.
        """
        table = self._state.table
        if table is None:
            return []
        found = []
        for service in table.services.values():
            if service.engine is None:
                continue
            for model in service.engine.models:
                target = self._state.weights.target(model)
                if target is None:
                    continue
                for server in self._state.fleet.usable_servers(service.name):
                    version = self._state.weights.version_at(
                        server.server_id, model
                    )
                    if (version is None or version < target.version) and (
                        self._state.health.is_up(server.server_id)
                    ):
                        found.append((model, server))
        return found

    def _update_outdated(self) -> bool:
        """Returns whether engines are outdated.

        Also records when the set of outdated engines last changed.
        """
        outdated = frozenset(
            server.server_id for _, server in self._outdated_engines()
        )
        if outdated != self._outdated_ids:
            self._outdated_ids = outdated
            self._unchanged_since_s = self._clock.monotonic()
        return bool(outdated)

    async def _run_waves(self) -> None:
        """Updates engines in waves.

        Ends when no engine is outdated, or when the claim has expired or could
        not be renewed, and the updates in progress have finished.
        """
        self._loading_until_s.clear()
        self._refusal_counts.clear()
        async with asyncio.TaskGroup() as changes:
            in_progress: dict[str, asyncio.Task[None]] = {}
            while (remaining_s := self._lease.remaining_s) > 0:
                outdated = self._outdated_engines()
                for server_id in list(in_progress):
                    if in_progress[server_id].done():
                        del in_progress[server_id]
                if not outdated and not in_progress:
                    return
                if (
                    outdated
                    and remaining_s < _RENEW_BEFORE_S
                    and not await self._lease.claim()
                ):
                    return
                for model, server in self._next_wave(
                    outdated, set(in_progress)
                ):
                    in_progress[server.server_id] = changes.create_task(
                        self._change(model, server)
                    )
                await self._clock.sleep(_POLL_INTERVAL)
                self._lease.observe_era()

    def _next_wave(
        self,
        outdated: list[tuple[str, fleet.BackendServer]],
        in_progress: set[str],
    ) -> list[tuple[str, fleet.BackendServer]]:
        """Returns the engines to order now, least loaded first."""
        waiting = [
            (model, server)
            for model, server in outdated
            if server.server_id not in in_progress
        ]
        if not waiting:
            return []
        fleet_size = len(
            self._state.fleet.usable_servers(waiting[0][1].service)
        )
        wave_size = max(
            1, int(fleet_size * _MAX_LOADING_SHARE)
        ) - self._count_loading(in_progress)
        waiting.sort(key=lambda each: self._load_sort_key(each[1].server_id))
        return waiting[: max(0, wave_size)]

    def _load_sort_key(self, server_id: str) -> tuple[int, int, str]:
        """Returns a sort key: waiting prompt tokens, requests and id."""
        now_s = self._clock.monotonic()
        load = self._state.loads.for_server(server_id)
        return (
            load.waiting_tokens + load.peer_waiting_tokens(now_s),
            load.running + load.peer_running(now_s),
            server_id,
        )

    def _count_loading(self, in_progress: set[str]) -> int:
        """Returns how many engines being updated may still be loading.

        Engines count from the start of their update until the expected end of
        the load after they have accepted an order.
        """
        now_s = self._clock.monotonic()
        return sum(
            now_s < self._loading_until_s.get(server_id, now_s + 1)
            for server_id in in_progress
        )

    async def _change(self, model: str, server: fleet.BackendServer) -> None:
        """Orders an engine to load the target version and waits for it.

        Sends no order to an engine that reports the target version or executes
        another order.
        """
        target = self._state.weights.target(model)
        report = await self._orders.report(server)
        if target is None or report is None:
            await self._clock.sleep(_REPORT_INTERVAL)
            return
        self._note_report(server, report)
        if report.versions.get(model, target.version) >= target.version:
            return
        if report.busy or self._lease.held_claim is None:
            await self._clock.sleep(_REPORT_INTERVAL)
            return
        self._announce_change(server, _MAX_DRAIN_S + _MAX_CHANGE_S)
        self._loading_until_s.pop(server.server_id, None)
        await self._drain(server)
        claim = self._lease.held_claim
        if claim is None or not self._accepts_requests(server):
            self._announce_change(server, 0.0)
            return
        response = await self._orders.change_weights(
            server,
            engineorders.WeightsOrder(
                model,
                target.version,
                self._name,
                claim.fence,
                report.orders_accepted,
            ),
        )
        logs.event(
            _log,
            "weights_ordered",
            server=server.server_id,
            model=model,
            version=target.version,
            result=response.result.value,
            detail=response.detail,
            running=report.running,
            fence=claim.fence,
        )
        if response.result is engineorders.OrderResult.REPLACED:
            self._state.health.note_replaced(server)
            return
        if response.result in (
            engineorders.OrderResult.REFUSED,
            engineorders.OrderResult.UNKNOWN,
        ):
            # An order without a response may still be executed. The engine then
            # rejects the next one, which states how many orders came before.
            self._announce_change(server, 0.0)
            await self._clock.sleep(self._refusal_pause(server, response))
            return
        self._refusal_counts.pop(server.server_id, None)
        self._loading_until_s[server.server_id] = (
            self._clock.monotonic() + self._load_time.expected_s
        )
        await self._wait_until_changed(model, target.version, server)

    def _announce_change(
        self, server: fleet.BackendServer, duration_s: float
    ) -> None:
        """Makes all gateways prefer other engines for `duration_s`."""
        self._state.weights.note_changing(server.server_id, duration_s)
        self._state.notices.add_weights_change(server.server_id, duration_s)

    async def _drain(self, server: fleet.BackendServer) -> None:
        """Waits until an engine has prefilled most of its waiting prompts.

        Waits for `_MAX_DRAIN_S` at most.
        """
        end_s = self._clock.monotonic() + _MAX_DRAIN_S
        while (
            self._load_sort_key(server.server_id)[0] > _MAX_UNDRAINED_TOKENS
            and self._clock.monotonic() < end_s
        ):
            await self._clock.sleep(_POLL_INTERVAL)

    def _refusal_pause(
        self, server: fleet.BackendServer, response: engineorders.OrderResponse
    ) -> datetime.timedelta:
        """Returns the delay before the next order to an engine.

        The delay doubles with each refusal in a row.
        """
        if response.result is engineorders.OrderResult.UNKNOWN:
            return _UNKNOWN_OUTCOME_PAUSE
        refusals = self._refusal_counts.get(server.server_id, 0)
        self._refusal_counts[server.server_id] = refusals + 1
        pause: datetime.timedelta = _REPORT_INTERVAL * 2**refusals
        return min(_MAX_REFUSAL_PAUSE, pause)

    async def _wait_until_changed(
        self, model: str, version: int, server: fleet.BackendServer
    ) -> None:
        """Polls until an engine has loaded a version, or has not.

        Responses tell the version too. Reports, which are charged, are read
        only when the load should have ended.
        """
        ordered_s = self._clock.monotonic()
        report_due_s = (
            ordered_s + _FIRST_REPORT_SHARE * self._load_time.expected_s
        )
        while self._clock.monotonic() < ordered_s + _ORDER_TIMEOUT_S:
            seen = self._state.weights.version_at(server.server_id, model)
            if seen is not None and seen >= version:
                self._load_time.observe(self._clock.monotonic() - ordered_s)
                return
            if self._state.fleet.get(
                server.server_id
            ) is None or not self._accepts_requests(server):
                return
            if self._clock.monotonic() < report_due_s:
                await self._clock.sleep(_POLL_INTERVAL)
                continue
            report_due_s = (
                self._clock.monotonic() + _REPORT_INTERVAL.total_seconds()
            )
            report = await self._orders.report(server)
            if report is not None:
                self._note_report(server, report)
                if not report.busy and report.versions.get(model) != version:
                    return

    def _accepts_requests(self, server: fleet.BackendServer) -> bool:
        return self._state.server_statements.accepts_requests(server)

    def _note_report(
        self, server: fleet.BackendServer, report: engineorders.EngineReport
    ) -> None:
        """Records an engine's reported versions.

        While it executes an order, versions older than the recorded one are
        ignored.
        """
        for model, version in report.versions.items():
            current = self._state.weights.version_at(server.server_id, model)
            if current is None or version > current or not report.busy:
                self._state.note_weights(server.server_id, model, version)
