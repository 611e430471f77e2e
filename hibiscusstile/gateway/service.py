"""Request handling of the gateway, independent of the transport."""

from __future__ import annotations

import logbook

from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import (
    crashdetection,
    exchange,
    forwarding,
    resolving,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["Gateway"]

_log = logbook.Logger("gateway")


class Gateway:
    """Serves callers' requests.

    Args:
        state: State of this gateway process.
        client: Sends requests to servers.
    """

    def __init__(
        self, state: state_lib.GatewayState, client: exchange.ServerClient
    ) -> None:
        self._state = state
        self._client = client
        self._crash_detector = crashdetection.CrashDetector(state, client)
        self._active = 0
        self._draining = False

    @property
    def state(self) -> state_lib.GatewayState:
        """Tables that routing decisions read."""
        return self._state

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._active

    @property
    def draining(self) -> bool:
        """Whether the process is draining before it stops."""
        return self._draining

    @property
    def ready(self) -> bool:
        """Whether the process should receive new connections."""
        return (
            not self._draining
            and self._state.table is not None
            and len(self._state.fleet) > 0
        )

    def start_draining(self) -> None:
        """Reports not ready from now on; new requests are still served."""
        self._draining = True

    async def serve(
        self,
        request: exchange.ForwardedRequest,
        writer: exchange.ResponseWriter,
    ) -> None:
        """Serves one request."""
        self._active += 1
        try:
            destination = resolving.resolve(self._state.table, request)
        except outcome.Refused as refused:
            self._log_refusal(
                request.request_id,
                refused.refusal,
                host=request.host,
                path=request.path,
            )
            await writer.refuse(refused.refusal)
        else:
            await forwarding.RequestForwarder(
                self._state,
                self._client,
                self._crash_detector,
                request,
                writer,
                destination,
            ).run()
        finally:
            self._active -= 1

    async def refuse_unparsed(
        self,
        request_id: str,
        refusal: outcome.Refusal,
        writer: exchange.ResponseWriter,
    ) -> None:
        """Refuses a request that could not be read or parsed.

        Args:
            request_id: Identifier that the caller gave, empty if none.
            refusal: Reason and message of the refusal.
            writer: Writes the response to the caller.
        """
        self._log_refusal(request_id, refusal)
        await writer.refuse(refusal)

    def _log_refusal(
        self, request_id: str, refusal: outcome.Refusal, **fields: str
    ) -> None:
        metrics.count_refusal(refusal)
        table = self._state.table
        logs.event(
            _log,
            "request_refused",
            request=request_id,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            detail=refusal.message,
            configuration=table.version if table else None,
            **fields,
        )
