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
    prefixstores,
    routes,
    weights,
)

__all__ = ["GatewayState", "RetryPolicy"]

_log = logbook.Logger("state")


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits on retries, of this process's share.

    Attributes:
        share: Retries that each request to a service allows.
        reserve: Retries allowed beyond that.
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
        self._prefix_stores = prefixstores.PrefixStoreTable()
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

    def prefix_store(self) -> routes.PrefixStore | None:
        """Returns the store of KV cache to use, if one answers."""
        if self._table is None:
            return None
        return self._prefix_stores.select(
            self._table.prefix_stores, self._zone
        )

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
                initial_tokens=self._retries.reserve,
                max_tokens=self._retries.reserve,
            )
        return budget

    def note_weights(self, server_id: str, model: str, version: int) -> None:
        """Notes a server's weights; a change empties its cache."""
        if self._weights.note_version(server_id, model, version):
            self._loads.of(server_id).forget_cache()

    def forget_unlisted(self) -> None:
        """Drops what is known of servers that are not listed any more."""
        listed = {server.server_id for server in self._fleet.servers}
        self._health.keep_only(listed)
        self._loads.keep_only(listed)
        self._weights.keep_only(listed)
