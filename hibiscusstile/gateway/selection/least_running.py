"""Selection for plain services by the number of running requests."""

from __future__ import annotations

from collections.abc import Sequence

from hibiscusstile.gateway import selection

__all__ = ["LeastRunning"]

# Running requests added to a server in another zone, since traffic between
# zones is charged.
_CROSS_ZONE_PENALTY_REQUESTS = 2.0
# Running requests added to a server that fails every request.
_FAILURE_PENALTY_REQUESTS = 20.0


@selection.selections.register()
class LeastRunning(selection.Selection):
    """Selects the server that runs the fewest requests of this process."""

    name = "least_running"

    def select(
        self,
        context: selection.SelectionContext,
        candidates: Sequence[selection.Candidate],
    ) -> selection.SelectedServer:
        """Returns the server with the fewest running requests.

        Servers in other zones and servers that fail requests count as running
        more.
        """
        return self.rate(context, candidates)[0]

    def rate(
        self,
        context: selection.SelectionContext,
        candidates: Sequence[selection.Candidate],
    ) -> list[selection.SelectedServer]:
        """Returns the servers with the running requests that count as cost."""
        rated = [
            selection.SelectedServer(each, cost=_cost(context, each))
            for each in candidates
        ]
        return sorted(
            rated,
            key=lambda each: (each.cost, each.candidate.server.server_id),
        )


def _cost(
    context: selection.SelectionContext, candidate: selection.Candidate
) -> float:
    weighted_running = float(candidate.load.running)
    if candidate.server.zone != context.zone:
        weighted_running += _CROSS_ZONE_PENALTY_REQUESTS
    return weighted_running + candidate.failure_rate * _FAILURE_PENALTY_REQUESTS
