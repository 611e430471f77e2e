"""Shared in-memory state of a gateway process."""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Mapping

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics, retrybudget
from hibiscusstile.gateway import (
    allowances,
    crashingparts,
    enginerates,
    evenload,
    fleet,
    health,
    heldbodies,
    load,
    notices,
    pausedetection,
    pendingprefills,
    prefixstores,
    recentprefills,
    roomsharing,
    routes,
    servermemory,
    serverstatements,
)
from hibiscusstile.gateway import weights as weights_lib

__all__ = ["GatewayState", "RetryPolicy"]

_log = logbook.Logger("state")

# Lower bound on the process count that divides the retry reserve: a process
# that has just started has not discovered its peers yet.
_MIN_PROCESSES = 6
# The process before a restarted one may just have spent its part of the
# reserve. Without any tokens, its first callers would be refused where a server
# rejects a request that it has not run.
_INITIAL_TOKENS_SHARE = 1 / 3
_DEFAULT_STABLE_WINDOW = datetime.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits on retries.

    Attributes:
        share: Retries that each request to a service adds to its budget.
        reserve: Maximum tokens of a service's budget, divided among the gateway
            processes.
    """

    share: float
    reserve: float


class GatewayState:
    """Owns the tables that routing decisions read.

    Args:
        clock: Clock that all tables share.
        zone: Availability zone of this process.
        retries: Limits on retries.
        held_bodies: Limits of response bodies that are held until they are
            complete; defaults if None.
        stable_window: Time after an outage of the store from which unlisted
            servers must get no requests.
        weights_bounds: Bounds on the use of outdated weights.
        started_s: When the process started, on the monotonic clock; now if
            None.
        even_load: When load is spread by estimates.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        zone: str,
        retries: RetryPolicy,
        held_bodies: heldbodies.HeldBodies | None = None,
        stable_window: datetime.timedelta = _DEFAULT_STABLE_WINDOW,
        weights_bounds: weights_lib.WeightsBounds | None = None,
        started_s: float | None = None,
        even_load: evenload.Mode = evenload.Mode.OFF,
    ) -> None:
        self._clock = clock
        self._held_bodies = held_bodies or heldbodies.HeldBodies()
        self._zone = zone
        self._retry_policy = retries
        self._table: routes.RoutingTable | None = None
        self._notices = notices.NoticeOutbox()
        # Peers are told of leaving servers at once.
        self._server_statements = serverstatements.ServerStatements(
            clock, self._notices.send_soon
        )
        self._fleet = fleet.Fleet(clock, self._server_statements, stable_window)
        self._health = health.HealthTable(clock)
        self._loads = load.LoadTable()
        self._server_memory = servermemory.ServerMemory(clock)
        self._even_load = evenload.EvenLoad(clock, even_load)
        self._weights = weights_lib.WeightsTable(
            clock, weights_bounds, started_s
        )
        self._recent_prefills = recentprefills.RecentPrefills()
        self._pending_prefills = pendingprefills.PendingPrefills(clock)
        self._prefix_stores = prefixstores.PrefixStoreTable()
        self._crashing_parts = crashingparts.CrashingParts(clock)
        self._engine_rates: dict[str, enginerates.EngineRates] = {}
        self._pauses = pausedetection.PauseDetector(clock)
        self._allowances = allowances.AllowanceAdmission(clock)
        self._peer_count = 0
        self._process_count = _MIN_PROCESSES
        self._budgets: dict[str, retrybudget.RetryBudget] = {}
        self._room = roomsharing.RoomSharing()

    @property
    def clock(self) -> clock_lib.Clock:
        """Clock that all tables share."""
        return self._clock

    @property
    def zone(self) -> str:
        """Availability zone of this process."""
        return self._zone

    @property
    def held_bodies(self) -> heldbodies.HeldBodies:
        """Response bodies that are held until they are complete."""
        return self._held_bodies

    @property
    def table(self) -> routes.RoutingTable | None:
        """Routing configuration in force; None until one is applied."""
        return self._table

    @property
    def fleet(self) -> fleet.Fleet:
        """Backend servers that the store lists."""
        return self._fleet

    @property
    def server_statements(self) -> serverstatements.ServerStatements:
        """What servers say of themselves in their responses."""
        return self._server_statements

    @property
    def health(self) -> health.HealthTable:
        """Health of the backend servers."""
        return self._health

    @property
    def loads(self) -> load.LoadTable:
        """Load and expected cache contents of each server."""
        return self._loads

    @property
    def server_memory(self) -> servermemory.ServerMemory:
        """Memory that all gateways' requests need at each server."""
        return self._server_memory

    @property
    def even_load(self) -> evenload.EvenLoad:
        """Estimates of what is not known of the servers' load."""
        return self._even_load

    @property
    def weights(self) -> weights_lib.WeightsTable:
        """Target and loaded versions of model weights."""
        return self._weights

    @property
    def pauses(self) -> pausedetection.PauseDetector:
        """Times for which this process did not run."""
        return self._pauses

    @property
    def prefix_stores(self) -> prefixstores.PrefixStoreTable:
        """Availability and contents of the KV cache stores."""
        return self._prefix_stores

    @property
    def recent_prefills(self) -> recentprefills.RecentPrefills:
        """Prompt parts that some engine has prefilled recently."""
        return self._recent_prefills

    @property
    def pending_prefills(self) -> pendingprefills.PendingPrefills:
        """Prompt parts that engines are prefilling."""
        return self._pending_prefills

    @property
    def peer_count(self) -> int:
        """Number of other gateways that are announced; none of them stops."""
        return self._peer_count

    @property
    def crashing_parts(self) -> crashingparts.CrashingParts:
        """Prompt parts that crash engines."""
        return self._crashing_parts

    @property
    def allowances(self) -> allowances.AllowanceAdmission:
        """Admits requests within the allowances of their workspaces."""
        return self._allowances

    @property
    def room(self) -> roomsharing.RoomSharing:
        """Shares the room of engines while there is too little of it."""
        return self._room

    @property
    def notices(self) -> notices.NoticeOutbox:
        """Updates to send to other gateways."""
        return self._notices

    @property
    def all_engine_rates(self) -> Mapping[str, enginerates.EngineRates]:
        """Estimates of the engines of each service."""
        return self._engine_rates

    def engine_rates(self, service: str) -> enginerates.EngineRates:
        """Returns the estimate of a service's engines."""
        rates = self._engine_rates.get(service)
        if rates is None:
            rates = enginerates.EngineRates(service)
            self._engine_rates[service] = rates
        return rates

    def prefix_store(self) -> routes.PrefixStore | None:
        """Returns the KV cache store to use, or None if none responds."""
        if self._table is None:
            return None
        return self._prefix_stores.select(self._table.prefix_stores, self._zone)

    def apply_table(self, table: routes.RoutingTable) -> bool:
        """Applies a configuration if it is newer than the one in force.

        Returns whether it was applied.
        """
        if self._table is not None and self._table.version >= table.version:
            return False
        before = self._table.version if self._table else None
        self._table = table
        self._allowances.apply(table.allowances)
        metrics.set_revision(table.version)
        logs.event(
            _log,
            "configuration_applied",
            version=table.version,
            before=before,
            routes=len(table.routes),
            services=len(table.services),
        )
        return True

    def budget(self, service: str) -> retrybudget.RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            max_tokens = self._retry_policy.reserve / self._process_count
            budget = self._budgets[service] = retrybudget.RetryBudget(
                share=self._retry_policy.share,
                initial_tokens=_INITIAL_TOKENS_SHARE * max_tokens,
                max_tokens=max_tokens,
            )
        return budget

    def set_retries(self, retries: RetryPolicy) -> None:
        """Changes the limits on retries and resets all budgets."""
        if retries != self._retry_policy:
            self._retry_policy = retries
            self._budgets.clear()

    def set_process_count(self, count: int) -> None:
        """Sets the process count that divides the retry reserve."""
        self._peer_count = count - 1
        self._server_memory.peer_count = count - 1
        self._process_count = max(_MIN_PROCESSES, count)
        for budget in self._budgets.values():
            budget.resize(self._retry_policy.reserve / self._process_count)

    def note_weights(
        self,
        server_id: str,
        model: str,
        version: int,
        *,
        from_peer: bool = False,
    ) -> None:
        """Records a server's weights version; a change empties its cache.

        A change seen by this process is announced to other gateways.

        Args:
            server_id: The server.
            model: The model.
            version: Version of the weights that the server has loaded.
            from_peer: Whether another gateway reported the version.
        """
        before = self._weights.version_at(server_id, model)
        if not self._weights.note_version(server_id, model, version):
            return
        self._loads.for_server(server_id).clear_cached_parts()
        if before is not None and not from_peer:
            self._notices.add_weights(model, version, server_id)

    def set_target_version(
        self,
        model: str,
        version: int,
        source: str = weights_lib.STORE_FOLLOWED,
        age_s: float | None = 0.0,
    ) -> None:
        """Sets a model's target version and announces a newer one.

        Args:
            model: The model.
            version: The version.
            source: Where this process learned of it.
            age_s: Its age; None if unknown.
        """
        delay_s = self._pauses.delay_s
        if self._weights.set_target(model, version, source, age_s, delay_s):
            self._notices.add_weights(
                model, version, "", age_s if not delay_s else None
            )

    def forget_unlisted(self) -> None:
        """Drops state of servers that the fleet no longer holds."""
        listed = {server.server_id for server in self._fleet.servers}
        self._health.keep_only(listed)
        self._loads.keep_only(listed)
        self._server_memory.keep_only(listed)
        self._weights.keep_only(listed)
