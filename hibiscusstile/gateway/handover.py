"""Decides when a stream leaves its silent server for another one."""

from __future__ import annotations

from collections.abc import Callable

from hibiscusstile.gateway import (
    attemptlimits,
    crashevidence,
    deadline,
    exchange,
    fleet,
    requestlog,
    requestprogress,
    retries,
    selection,
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
        select: Selects a server that is not in a set of server ids.
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
        select: Callable[[set[str]], selection.SelectedServer | None],
    ) -> None:
        self._state = state
        self._progress = progress
        self._deadline = request_deadline
        self._limits = limits
        self._retries = request_retries
        self._evidence = evidence
        self._log = log
        self._select = select

    def note_silent(self, server: fleet.BackendServer) -> None:
        """Records that the server of a stream is silent."""
        self._state.health.note_no_response(server)
        self._log.server_silent(server.server_id)

    def note_output(self, server: fleet.BackendServer) -> None:
        """Records that a silent server has sent an event."""
        self._state.health.note_response(server, False)
        self._log.server_silence_ended(server.server_id)

    def try_leave(self, server: fleet.BackendServer) -> bool:
        """Returns whether the stream leaves its silent server now.

        Then the retry budget's tokens for that are taken.
        """
        return (
            self._retries.may_run_again()
            and self._evidence.refusal(self._progress.verdict) is None
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

    def _has_successor(self, server: fleet.BackendServer) -> bool:
        """Returns whether another server is expected to take the stream."""
        selected = self._select(self._limits.excluded | {server.server_id})
        if selected is None:
            return False
        candidate = selected.candidate
        return (
            serverselection.is_healthy(self._state, candidate)
            and candidate.running < candidate.server.slots
            and selected.expected_s < self._deadline.time_left_s
        )
