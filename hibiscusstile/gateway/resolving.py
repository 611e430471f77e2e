"""Finds where a request goes, by the configuration in force."""

from __future__ import annotations

import dataclasses
import datetime

from hibiscusstile import outcome
from hibiscusstile.gateway import exchange, routes

__all__ = ["Destination", "resolve"]

# The operators' next version may mend the configuration, and a process that
# has just started reads it within half a second.
_RETRY_AFTER = datetime.timedelta(milliseconds=400)
_RETRY_AFTER_STARTING = datetime.timedelta(milliseconds=500)
_SHARED_SCOPE = "shared"


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Where a request goes and as whom.

    Attributes:
        route: The configuration's route.
        service: The service chosen by its split.
        workspace: The caller's workspace; None for anonymous callers.
        rank: The request's rank.
    """

    route: routes.Route
    service: routes.Service
    workspace: routes.Workspace | None
    rank: int

    @property
    def cache_scope(self) -> str:
        """Who shares cached prompt parts with the request."""
        if self.workspace is not None and self.workspace.isolated:
            return f"workspace-{self.workspace.name}"
        return _SHARED_SCOPE


def resolve(
    table: routes.RoutingTable | None, request: exchange.ForwardedRequest
) -> Destination:
    """Returns where a request goes.

    Raises:
        Refused: The configuration does not allow the request, or there is
            none yet.
    """
    if table is None:
        raise outcome.refused(
            outcome.Reason.NOT_READY,
            "no configuration has been read yet",
            _RETRY_AFTER_STARTING,
        )
    route = table.match(request.host, request.path)
    if route is None:
        raise outcome.refused(outcome.Reason.NOT_FOUND, "no route matches")
    workspace = table.workspaces.get(request.key) if request.key else None
    if workspace is None and table.keys_required and not route.anonymous:
        raise outcome.refused(
            outcome.Reason.UNAUTHORIZED, "the key is not known"
        )
    service = table.services.get(route.service_for(request.request_id))
    if service is None:
        raise outcome.refused(
            outcome.Reason.NO_BACKEND,
            "the route's service is not configured",
            _RETRY_AFTER,
        )
    rank = route.rank
    if workspace is not None and workspace.rank is not None:
        rank = workspace.rank
    return Destination(route, service, workspace, rank)
