"""Finds room for one request among the engines of its service."""

from __future__ import annotations

from collections.abc import Callable, Collection

from hibiscusstile import outcome
from hibiscusstile.gateway import (
    enginerates,
    exchange,
    overload,
    resolving,
    roomsharing,
    selection,
    serverselection,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["RequestRoom"]

# Selections after the first one. Most servers that are late are left out
# beforehand, by the prompts that wait there.
_MAX_SELECTIONS = 3

Select = Callable[[Collection[str]], "selection.SelectedServer | None"]


class RequestRoom:
    """Decides whether one request is sent, and where, or refused at once.

    Args:
        state: State of this gateway process.
        request: The request.
        destination: Route, service and workspace of the request.
        rates: Estimate of the service's engines.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        request: exchange.ForwardedRequest,
        destination: resolving.Destination,
        rates: enginerates.EngineRates,
    ) -> None:
        self._state = state
        self._destination = destination
        self._rates = rates
        self._prompt_tokens = request.prompt_tokens
        workspace = destination.workspace
        allowance = workspace.allowance if workspace else None
        table = state.table
        if allowance is not None and allowance.in_tokens:
            weight = allowance.rate
        else:
            weight = table.mean_token_rate if table else 1.0
        self._request = roomsharing.RoomRequest(
            roomsharing.Flow(
                workspace.name if workspace else "",
                # Without a workspace, each caller could name another key.
                request.key if workspace else "",
                destination.rank,
                weight,
            ),
            request.prompt_tokens + request.max_output_tokens,
            destination.route.target_latency_s,
            request.caller_timeout_s,
        )
        self._counted = False
        self._admitted = False

    @property
    def shared(self) -> bool:
        """Whether the engines of the service are shared by fair shares."""
        table = self._state.table
        return (
            self._destination.service.engine is not None
            and table is not None
            and self._state.room.is_enabled(bool(table.allowances))
        )

    def find(
        self, selected: selection.SelectedServer, select: Select
    ) -> tuple[selection.SelectedServer, outcome.Refusal | None]:
        """Returns the server to send the request to, or its refusal.

        The cheapest server may be one that would answer too late, while another
        one, which is dearer since it has no free slot, would answer in time.

        Args:
            selected: The cheapest server.
            select: Selects a server other than those with the given ids.
        """
        if not self.shared:
            return selected, overload.refusal(
                selected.expected_s,
                self._request.target_latency_s,
                selected.unloaded_s,
            )
        selected = self.choose(selected, select)
        now_s = self._state.clock.monotonic()
        route_room = self._state.room.route(self._destination.route.name)
        if not self._counted:
            self._counted = True
            route_room.note_demand(self._request, now_s)
        if self._admitted and self._is_in_time(selected):
            return selected, None
        refusal = route_room.refusal(
            self._request, selected.expected_s, selected.unloaded_s, now_s
        )
        self._admitted = refusal is None
        return selected, refusal

    def choose(
        self, selected: selection.SelectedServer, select: Select
    ) -> selection.SelectedServer:
        """Returns a server that is in time if there is one; counts nothing.

        Args:
            selected: The cheapest server.
            select: Selects a server other than those with the given ids.
        """
        if not self.shared or self._is_in_time(selected) or self._is_long:
            return selected
        return self._select_in_time(selected, select)

    def late_refusal(
        self, selected: selection.SelectedServer
    ) -> outcome.Refusal | None:
        """Returns the refusal of a request that would be late; counts nothing.

        A request beyond a fair share may be refused although it is in time.
        """
        if self.shared:
            return (
                None
                if self._is_in_time(selected)
                else overload.refusal(selected.expected_s, 0.0)
            )
        return overload.refusal(
            selected.expected_s,
            self._request.target_latency_s,
            selected.unloaded_s,
        )

    @property
    def _is_long(self) -> bool:
        """Whether the prompt delays other requests.

        Such a request stays at the engines that are preferred for long prompts,
        and is refused if they have no room: at the others, it would make many
        short requests late.
        """
        return (
            self._prompt_tokens
            > selection.LONG_PREFILL_S * self._rates.prefill_tokens_per_s
        )

    def _select_in_time(
        self, late: selection.SelectedServer, select: Select
    ) -> selection.SelectedServer:
        """Returns a server that is in time, or the earliest one that is not."""
        excluded = self._late_servers()
        earliest = late
        for _ in range(_MAX_SELECTIONS):
            other = select(excluded)
            if other is None:
                break
            if self._is_in_time(other):
                return other
            if other.expected_s < earliest.expected_s:
                earliest = other
            excluded.add(other.candidate.server.server_id)
        return earliest

    def _is_in_time(self, selected: selection.SelectedServer) -> bool:
        return selected.expected_s <= roomsharing.latest_s(
            self._request.target_latency_s, selected.unloaded_s
        )

    def _late_servers(self) -> set[str]:
        """Returns the ids of the servers that are certainly not in time.

        Prompts that wait there take longer than the target latency, or the
        server is not healthy.
        """
        now_s = self._state.clock.monotonic()
        late_ids = set()
        for server in self._state.fleet.usable_servers(
            self._destination.service.name
        ):
            load = self._state.loads.for_server(server.server_id)
            waiting_tokens = load.waiting_tokens + load.peer_waiting_tokens(
                now_s
            )
            waiting_s = waiting_tokens / self._rates.prefill_tokens_per_s
            if (
                load.latency_ratio * waiting_s > self._request.target_latency_s
                or not serverselection.is_healthy(
                    self._state, server.server_id, load
                )
            ):
                late_ids.add(server.server_id)
        return late_ids
