"""Selection for plain services: the least busy server, near ones first."""

from __future__ import annotations

from collections.abc import Sequence

from hibiscusstile.gateway import selection

__all__ = ["LeastRunning"]

# A server in another zone counts as if it ran this many requests more, since
# bytes between zones are charged.
_REMOTE_PENALTY = 2.0
# A server that fails every request counts as if it ran this many more.
_FAILURE_PENALTY = 20.0


@selection.selections.register()
class LeastRunning(selection.Selection):
    """Selects the server with the fewest of this process's requests."""

    name = "least_running"

    def select(
        self,
        context: selection.SelectionContext,
        candidates: Sequence[selection.Candidate],
    ) -> selection.SelectedServer:
        """Returns the least busy server."""

        def cost(candidate: selection.Candidate) -> tuple[float, str]:
            server = candidate.server
            busy = float(candidate.load.running)
            if server.zone != context.zone:
                busy += _REMOTE_PENALTY
            busy += candidate.failures * _FAILURE_PENALTY
            return busy, server.server_id

        return selection.SelectedServer(min(candidates, key=cost))
