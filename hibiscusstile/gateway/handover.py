"""Decides when a stream leaves its silent server for another one."""

from __future__ import annotations

from hibiscusstile.gateway import (
    attemptlimits,
    crashevidence,
    deadline,
    exchange,
    fleet,
    requestlog,
    requestprogress,
    requestservers,
    retries,
    serverselection,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["StreamHandover"]


class StreamHandover:
    """Gives up a silent server only if another one can continue the stream.

    A silent server may still send the rest, so that a stream that leaves it too
    early is lost for good.

    Args:
        state: State of this gateway process.
        progress: Attempts of the request.
        request_deadline: When the request must have its final response.
        limits: Servers that the request avoids.
        request_retries: Retries of the request.
        evidence: What the request tells about prompt parts that crash engines.
        log: Log of the request.
        servers: Selects the servers of the request.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        progress: requestprogress.RequestProgress,
        request_deadline: deadline.RequestDeadline,
        limits: attemptlimits.AttemptLimits,
        request_retries: retries.Retries,
        evidence: crashevidence.RequestEvidence,
        log: requestlog.RequestLog,
        servers: requestservers.RequestServers,
    ) -> None:
        self._state = state
        self._progress = progress
        self._deadline = request_deadline
        self._limits = limits
        self._retries = request_retries
        self._evidence = evidence
        self._log = log
        self._servers = servers

    def note_silent(self, server: fleet.BackendServer) -> None:
        """Records that the server of a stream is silent."""
        self._state.health.note_no_response(server)
        self._log.server_silent(server.server_id)

    def note_event(self) -> None:
        """Records that the server of the current attempt has sent an event."""
        # No further attempt is needed to continue the stream.
        self._retries.release()

    def try_leave(self, server: fleet.BackendServer) -> bool:
        """Returns whether the stream leaves its silent server now.

        Then the retry budget's tokens for that are taken.
        """
        return (
            self._retries.may_run_again()
            and self._evidence.refusal(self._progress.verdict) is None
            and self._retries.has_tokens_to_leave()
            and self._has_free_server(server)
            and self._has_successor(server)
            and self._retries.hold_tokens_to_leave()
        )

    def may_have_whole(self, head: exchange.ResponseHead) -> bool:
        """Returns whether the caller may have all events of a started stream.

        A silent server that the stream left may have sent the last event, so
        that the next one has none. An empty rest counts only if the body tells
        its end, since a server that fails may close its connection as well.

        Args:
            head: Head of the response that continues the stream.
        """
        return (
            head.framed
            and self._limits.left_silent_server
            and not self._limits.broken_off
        )

    def _has_free_server(self, server: fleet.BackendServer) -> bool:
        """Returns whether any other server is healthy and has a free slot.

        A selection among 1,000 servers takes about 45 ms, which is too long
        for each check of each stream while the service has no free slot.
        """
        now_s = self._state.clock.monotonic()
        avoided_ids = self._limits.excluded | {server.server_id}
        for each in self._state.fleet.usable_servers(server.service):
            if each.server_id in avoided_ids:
                continue
            load = self._state.loads.for_server(each.server_id)
            if load.running + load.peer_running(
                now_s
            ) < each.slots and serverselection.is_healthy(
                self._state, each.server_id, load
            ):
                return True
        return False

    def _has_successor(self, server: fleet.BackendServer) -> bool:
        """Returns whether another server is expected to take the stream."""
        selected = self._servers.select_other(server.server_id)
        if selected is None:
            return False
        candidate = selected.candidate
        return (
            serverselection.is_healthy(
                self._state, candidate.server.server_id, candidate.load
            )
            and candidate.running < candidate.server.slots
            and selected.expected_s < self._deadline.time_left_s
        )
