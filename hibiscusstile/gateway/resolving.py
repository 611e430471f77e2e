"""Resolves requests to routes and services of the current configuration."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import outcome
from hibiscusstile.gateway import exchange, routes

__all__ = ["Destination", "resolve"]

# Retry delay when a route's service is not configured: the next version of the
# configuration may correct this.
_NO_SERVICE_RETRY_AFTER = datetime.timedelta(milliseconds=400)
# A process that has just started reads the configuration within this time.
_RETRY_AFTER_STARTING = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Route, service and workspace of a request.

    Attributes:
        route: The matching route.
        service: Service selected by the route's traffic split.
        workspace: The caller's workspace; None for anonymous callers.
        rank: Rank of the request; 0 is served first.
        cache_scope: Scope in which the request shares cached prompt parts.
    """

    route: routes.Route
    service: routes.Service
    workspace: routes.Workspace | None
    rank: int
    cache_scope: str


def resolve(
    table: routes.RoutingTable | None, request: exchange.ForwardedRequest
) -> Destination:
    """Returns the destination of a request.

    Raises:
        Refused: No configuration was loaded yet, or it does not allow the
            request.
    """
    if table is None:
        raise outcome.refused(
            outcome.Reason.NOT_READY,
            "no configuration has been loaded yet",
            _RETRY_AFTER_STARTING,
        )
    route = table.match(request.host, request.path)
    if route is None:
        raise outcome.refused(outcome.Reason.NOT_FOUND, "no route matches")
    workspace = (
        table.workspaces_by_key.get(request.key) if request.key else None
    )
    if workspace is None and table.keys_required and not route.anonymous:
        raise outcome.refused(outcome.Reason.UNAUTHORIZED, "the key is unknown")
    service = table.services.get(route.service_for(request.request_id))
    if service is None:
        raise outcome.refused(
            outcome.Reason.NO_BACKEND,
            "the route's service is not configured",
            _NO_SERVICE_RETRY_AFTER,
        )
    rank = route.rank
    if workspace is not None and workspace.rank is not None:
        rank = workspace.rank
    scope = table.shared_cache_scope
    if workspace is not None and workspace.isolated:
        scope = f"workspace-{workspace.name}"
    return Destination(route, service, workspace, rank, scope)
