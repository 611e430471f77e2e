"""Says where a described request would go now, and why, without sending it."""

from __future__ import annotations

import dataclasses

from hibiscusstile import opaquekeys, outcome, placementquery
from hibiscusstile.gateway import (
    attemptlimits,
    exchange,
    overload,
    requestroom,
    requestservers,
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

    Nothing is sent, and the request counts for no budget, load or share. A
    request that exceeds a fair share or an allowance may still be refused.

    Args:
        state: State of this gateway process.
        query: The request.
    """
    request = _to_request(state, query)
    try:
        destination = resolving.resolve(state.table, request)
    except outcome.Refused as refused:
        return _refused(refused.refusal)
    rates = state.engine_rates(destination.service.name)
    servers = requestservers.RequestServers(
        state, request, destination, attemptlimits.AttemptLimits(), rates
    )
    room = requestroom.RequestRoom(state, request, destination, rates)
    rated = serverselection.rate_servers(
        state, destination.service, servers.context, destination.cache_scope
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
        "allowance": _describe_allowance(state, request, destination),
        "servers": [
            dataclasses.asdict(_describe(state, each))
            for each in rated[:_MAX_SERVERS]
        ],
        "servers_in_all": len(rated),
    }
    selected = servers.select_next()
    if selected is None:
        refusal = overload.no_server_refusal(
            state.fleet.first_pause_left_s(destination.service.name)
        )
        return _refused(refusal) | result
    selected = room.choose(selected, servers.select_excluding)
    late = room.late_refusal(selected)
    if late is not None:
        return _refused(late) | result
    return {
        "verdict": "sent",
        "server": selected.candidate.server.server_id,
        "reason": _reason(selected, rated),
    } | result


def _describe_allowance(
    state: state_lib.GatewayState,
    request: exchange.ForwardedRequest,
    destination: resolving.Destination,
) -> str:
    """Returns the cost of the request and what this gateway holds for it."""
    workspace = destination.workspace
    if workspace is None or workspace.allowance is None:
        return ""
    cost = workspace.allowance.cost(
        request.prompt_tokens + request.max_output_tokens
    )
    held = state.allowances.ledger.held(workspace.name)
    text = f"costs {cost:g} of {held:.0f} held here"
    return text if cost <= held else f"{text}; other gateways are asked"


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
    server_id = selected.candidate.server.server_id
    others = [
        each for each in rated if each.candidate.server.server_id != server_id
    ]
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
        model=opaquekeys.to_model_key(query.model),
        parts=tuple(
            exchange.PromptPart(opaquekeys.to_key(each.part), each.tokens)
            for each in query.parts
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
