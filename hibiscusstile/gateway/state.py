"""What a gateway process knows, in one place."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics, retrybudget
from hibiscusstile.gateway import (
    fleet,
    health,
    load,
    notices,
    pendingprefills,
    prefixstores,
    recentprefills,
    routes,
    weights,
)

__all__ = ["GatewayState", "RetryPolicy"]

_log = logbook.Logger("state")

# Processes that the reserve of retries is divided by at least: a process that
# has just started does not know the others yet.
_MIN_PROCESSES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits on retries.

    Attributes:
        share: Retries that each request to a service allows.
        reserve: Retries that all processes together have beyond that.
    """

    share: float
    reserve: float


class GatewayState:
    """Owner of the tables that requests are decided by.

    Args:
        clock: The clock of every table.
        zone: Availability zone of this process.
        retries: Limits on retries.
    """

    def __init__(
        self, clock: clock_lib.Clock, zone: str, retries: RetryPolicy
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._retries = retries
        self._table: routes.RoutingTable | None = None
        self._fleet = fleet.Fleet(clock)
        self._health = health.HealthTable(clock)
        self._loads = load.LoadTable()
        self._weights = weights.WeightsTable(clock)
        self._notices = notices.NoticeOutbox()
        self._recent_prefills = recentprefills.RecentPrefills()
        self._pending_prefills = pendingprefills.PendingPrefills(clock)
        self._prefix_stores = prefixstores.PrefixStoreTable()
        self._processes = _MIN_PROCESSES
        self._budgets: dict[str, retrybudget.RetryBudget] = {}

    @property
    def clock(self) -> clock_lib.Clock:
        """The clock."""
        return self._clock

    @property
    def zone(self) -> str:
        """Availability zone of this process."""
        return self._zone

    @property
    def table(self) -> routes.RoutingTable | None:
        """The configuration in force; None before the first one."""
        return self._table

    @property
    def fleet(self) -> fleet.Fleet:
        """The backend servers."""
        return self._fleet

    @property
    def health(self) -> health.HealthTable:
        """Which servers are passed over."""
        return self._health

    @property
    def loads(self) -> load.LoadTable:
        """What is under way at each server."""
        return self._loads

    @property
    def weights(self) -> weights.WeightsTable:
        """Versions of weights."""
        return self._weights

    @property
    def prefix_stores(self) -> prefixstores.PrefixStoreTable:
        """What the stores of KV cache hold."""
        return self._prefix_stores

    @property
    def recent_prefills(self) -> recentprefills.RecentPrefills:
        """Which prompt parts some engine has read lately."""
        return self._recent_prefills

    @property
    def pending_prefills(self) -> pendingprefills.PendingPrefills:
        """Which prompt parts engines read at this moment."""
        return self._pending_prefills

    @property
    def notices(self) -> notices.NoticeOutbox:
        """What other gateways are to be told."""
        return self._notices

    def prefix_store(self) -> routes.PrefixStore | None:
        """Returns the store of KV cache to use, if one answers."""
        if self._table is None:
            return None
        return self._prefix_stores.select(self._table.prefix_stores, self._zone)

    def apply_table(self, table: routes.RoutingTable) -> bool:
        """Puts a configuration in force unless a newer one is."""
        if self._table is not None and self._table.version >= table.version:
            return False
        before = self._table.version if self._table else None
        self._table = table
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
            budget = self._budgets[service] = retrybudget.RetryBudget(
                share=self._retries.share,
                initial_tokens=self._retries.reserve / self._processes,
                max_tokens=self._retries.reserve / self._processes,
            )
        return budget

    def set_retries(self, retries: RetryPolicy) -> None:
        """Changes the limits on retries; budgets start anew."""
        if retries != self._retries:
            self._retries = retries
            self._budgets.clear()

    def set_process_count(self, count: int) -> None:
        """Divides the reserve of retries by the number of processes."""
        self._processes = max(_MIN_PROCESSES, count)
        for budget in self._budgets.values():
            budget.resize(self._retries.reserve / self._processes)

    def note_weights(
        self,
        server_id: str,
        model: str,
        version: int,
        *,
        from_peer: bool = False,
    ) -> None:
        """Notes a server's weights; a change empties its cache.

        Args:
            server_id: The server.
            model: The model.
            version: Version of its weights.
            from_peer: Whether another gateway has reported it.
        """
        before = self._weights.version_at(server_id, model)
        if not self._weights.note_version(server_id, model, version):
            return
        self._loads.for_server(server_id).clear_cached_parts()
        if before is not None and not from_peer:
            self._notices.add_weights(model, version, server_id)

    def set_target_version(self, model: str, version: int) -> None:
        """Notes a version that operators named, and tells others."""
        if self._weights.set_target(model, version):
            self._notices.add_weights(model, version, "")

    def forget_unlisted(self) -> None:
        """Drops what is known of servers that are not listed any more."""
        listed = {server.server_id for server in self._fleet.servers}
        self._health.keep_only(listed)
        self._loads.keep_only(listed)
        self._weights.keep_only(listed)
