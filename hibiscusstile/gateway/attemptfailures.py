"""Records what a failed attempt tells about its server."""

from __future__ import annotations

from hibiscusstile.gateway import (
    crashdetection,
    crashevidence,
    exchange,
    fleet,
    resolving,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["FailureRecorder"]

# An engine that rejects a request as full and reports no weights version is
# assumed to load new weights for this long.
_ASSUMED_WEIGHT_CHANGE_S = 0.25


class FailureRecorder:
    """Records the failed attempts of one request in the shared tables.

    Args:
        state: State of this gateway process.
        crash_detector: Tells crashes of servers from lost responses.
        request: The request.
        destination: Route and service that the request was resolved to.
        evidence: Crashes that the request has met.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        crash_detector: crashdetection.CrashDetector,
        request: exchange.ForwardedRequest,
        destination: resolving.Destination,
        evidence: crashevidence.RequestEvidence,
    ) -> None:
        self._state = state
        self._crash_detector = crash_detector
        self._model = request.model
        self._is_engine = destination.service.engine is not None
        self._evidence = evidence

    async def record(
        self, server: fleet.BackendServer, failure: exchange.AttemptFailed
    ) -> None:
        """Updates what is known of the server, and charges its crash."""
        self._state.server_statements.note(server, failure.statement)
        match failure.cause:
            case exchange.FailureCause.NOT_REACHED:
                self._state.health.note_unreachable(server)
            case exchange.FailureCause.REPLACED:
                self._state.health.note_replaced(server)
            case (
                exchange.FailureCause.FULL | exchange.FailureCause.OTHER_WEIGHTS
            ):
                if self._is_engine:
                    self._note_rejection(server.server_id, failure)
            case exchange.FailureCause.LOST | exchange.FailureCause.INVALID:
                # A crash suspends the server once, however many requests it
                # has lost.
                if await self._crash_detector.has_crashed(server):
                    await self._evidence.note_crash(server)
                elif not failure.server_suspected:
                    self._state.health.note_no_response(server)
            case exchange.FailureCause.STALLED:
                # Recorded when the server became silent.
                pass

    def _note_rejection(
        self, server_id: str, failure: exchange.AttemptFailed
    ) -> None:
        """Updates an engine's weights state after it rejected a request."""
        if failure.weights_version is not None:
            self._state.note_weights(
                server_id, self._model, failure.weights_version
            )
        elif failure.cause is exchange.FailureCause.OTHER_WEIGHTS:
            # The engine's next response or report tells its version.
            self._state.weights.forget_version(server_id, self._model)
        else:
            self._state.weights.note_changing(
                server_id, _ASSUMED_WEIGHT_CHANGE_S
            )
