"""Selects the servers for the attempts of one request."""

from __future__ import annotations

from collections.abc import Collection

from hibiscusstile.gateway import (
    attemptlimits,
    enginerates,
    exchange,
    resolving,
    selection,
    serverselection,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["RequestServers"]


class RequestServers:
    """Servers that one request may be sent to.

    Args:
        state: State of this gateway process.
        request: The request.
        destination: Route and service that the request was resolved to.
        limits: Servers that the request avoids.
        rates: Estimate of the service's engines.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        request: exchange.ForwardedRequest,
        destination: resolving.Destination,
        limits: attemptlimits.AttemptLimits,
        rates: enginerates.EngineRates,
    ) -> None:
        self._state = state
        self._destination = destination
        self._limits = limits
        self._context = selection.SelectionContext(
            request,
            destination.rank,
            destination.route.target_latency_s,
            state.zone,
            rates,
            state.even_load.traffic(destination.service.name).spread,
        )

    @property
    def context(self) -> selection.SelectionContext:
        """Inputs of the selections that do not depend on the server."""
        return self._context

    def select_next(self) -> selection.SelectedServer | None:
        """Returns the server for the next attempt, or None if there is none."""
        return_to = self._limits.return_to
        if return_to:
            usable_servers = self._state.fleet.usable_servers(
                self._destination.service.name
            )
            other_ids = {each.server_id for each in usable_servers}
            selected = self._select(other_ids - {return_to})
            if selected is not None:
                return selected
        return self._select(self._limits.excluded)

    def select_other(self, server_id: str) -> selection.SelectedServer | None:
        """Returns a server for an attempt after one at another server."""
        return self._select(self._limits.excluded | {server_id})

    def select_excluding(
        self, server_ids: Collection[str]
    ) -> selection.SelectedServer | None:
        """Returns a server for the next attempt that is none of these."""
        return self._select(self._limits.excluded | set(server_ids))

    def _select(
        self, excluded_ids: Collection[str]
    ) -> selection.SelectedServer | None:
        return serverselection.select_server(
            self._state,
            self._destination.service,
            self._context,
            self._destination.cache_scope,
            excluded_ids,
        )
