"""Says where a described request would go now, and why, without sending it."""

from __future__ import annotations

import dataclasses

from hibiscusstile import outcome, placementquery
from hibiscusstile.gateway import (
    exchange,
    overload,
    resolving,
    routes,
    selection,
    serverselection,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["ServerPreview", "preview"]

_MAX_SERVERS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPreview:
    """A server that the request could be sent to.

    Attributes:
        server: Id of the server.
        zone: Its availability zone.
        healthy: Whether it is not down, silent or loading weights.
        expected_s: Expected seconds to the first event.
        cost: Cost that the selection minimizes.
        cached_tokens: Leading prompt tokens that it has cached or can fetch.
        running: Requests of all gateways in flight there.
        slots: Requests that it runs concurrently.
        waiting_tokens: Prompt tokens that wait to be prefilled there.
        failure_rate: Moving average of the share of failed requests.
        weights_lag_s: Seconds for which its weights have been outdated.
    """

    server: str
    zone: str
    healthy: bool
    expected_s: float
    cost: float
    cached_tokens: int
    running: int
    slots: int
    waiting_tokens: int
    failure_rate: float
    weights_lag_s: float


def preview(
    state: state_lib.GatewayState, query: placementquery.PlacementQuery
) -> dict[str, object]:
    """Returns where the request would go now, for the operators.

    Nothing is sent, and no budget or load changes.

    Args:
        state: State of this gateway process.
        query: The request.
    """
    request = _to_request(state, query)
    try:
        destination = resolving.resolve(state.table, request)
    except outcome.Refused as refused:
        return _refused(refused.refusal)
    context = selection.SelectionContext(
        request,
        destination.rank,
        destination.route.target_latency_s,
        state.zone,
        state.engine_rates(destination.service.name),
    )
    rated = serverselection.rate_servers(
        state, destination.service, context, destination.cache_scope
    )
    result: dict[str, object] = {
        "configuration": state.table.version if state.table else None,
        "route": destination.route.name,
        "service": destination.service.name,
        "workspace": destination.workspace.name
        if destination.workspace
        else "",
        "rank": destination.rank,
        "target_latency_s": destination.route.target_latency_s,
        "servers": [
            dataclasses.asdict(_describe(state, each))
            for each in rated[:_MAX_SERVERS]
        ],
        "servers_in_all": len(rated),
    }
    selected = serverselection.select_server(
        state, destination.service, context, destination.cache_scope, ()
    )
    if selected is None:
        refusal = overload.no_server_refusal(
            state.fleet.first_pause_left_s(destination.service.name)
        )
        return _refused(refusal) | result
    late = overload.refusal(
        selected.expected_s,
        destination.route.target_latency_s,
        selected.unloaded_s,
    )
    if late is not None:
        return _refused(late) | result
    return {
        "verdict": "sent",
        "server": selected.candidate.server.server_id,
        "reason": _reason(selected, rated),
    } | result


def _refused(refusal: outcome.Refusal) -> dict[str, object]:
    retry_after = refusal.retry_after
    return {
        "verdict": "refused",
        "reason": f"{refusal.reason.value}: {refusal.message}",
        "retry_after_s": retry_after.total_seconds() if retry_after else None,
    }


def _describe(
    state: state_lib.GatewayState, rated: selection.SelectedServer
) -> ServerPreview:
    candidate = rated.candidate
    server = candidate.server
    return ServerPreview(
        server.server_id,
        server.zone,
        serverselection.is_healthy(state, server.server_id, candidate.load),
        round(rated.expected_s, 4),
        round(rated.cost, 4),
        rated.cached_tokens,
        candidate.running,
        server.slots,
        candidate.waiting_tokens,
        round(candidate.failure_rate, 3),
        round(candidate.weights_lag_s, 3),
    )


def _reason(
    selected: selection.SelectedServer,
    rated: list[selection.SelectedServer],
) -> str:
    others = [each for each in rated if each.candidate != selected.candidate]
    if not others:
        return "it is the only server that can take the request"
    second = others[0]
    name = second.candidate.server.server_id
    if second.cost < selected.cost:
        return (
            f"{name} has a lower cost ({second.cost:.3f} below"
            f" {selected.cost:.3f}) but is not healthy, too late or not drawn"
        )
    return (
        f"its cost is lowest: {selected.cost:.3f}, {second.cost:.3f} at {name},"
        " the next one"
    )


def _to_request(
    state: state_lib.GatewayState, query: placementquery.PlacementQuery
) -> exchange.ForwardedRequest:
    return exchange.ForwardedRequest(
        request_id=query.request_id,
        method="POST",
        target=query.path,
        host=query.host,
        key=_key_of(state.table, query.workspace),
        headers=(),
        body=bytes(query.body_bytes),
        received_s=state.clock.monotonic(),
        model=query.model,
        parts=tuple(
            exchange.PromptPart(each.part, each.tokens) for each in query.parts
        ),
        prompt_tokens=query.total_prompt_tokens,
        max_output_tokens=query.output_tokens,
    )


def _key_of(table: routes.RoutingTable | None, workspace: str) -> str:
    """Returns a key of the workspace; one that nobody has if it is unknown."""
    if not workspace or table is None:
        return workspace
    return next(
        (
            key
            for key, each in table.workspaces_by_key.items()
            if each.name == workspace
        ),
        workspace,
    )
