"""Request handling of the gateway, independent of the transport."""

from __future__ import annotations

import logbook

from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import (
    allowances,
    crashdetection,
    deadline,
    exchange,
    forwarding,
    resolving,
    stopping,
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
        self._forwarders: set[forwarding.RequestForwarder] = set()
        self._schedule: stopping.StopSchedule | None = None
        self._taken_while_draining = 0
        self._reused_while_draining = 0

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
        return self._schedule is not None

    @property
    def ready(self) -> bool:
        """Whether the process should receive new connections."""
        return (
            not self.draining
            and self._state.table is not None
            and len(self._state.fleet) > 0
        )

    @property
    def taken_while_draining(self) -> int:
        """Number of requests that arrived after draining started."""
        return self._taken_while_draining

    @property
    def reused_while_draining(self) -> int:
        """Number of these that arrived on a connection in use before."""
        return self._reused_while_draining

    def start_draining(self, schedule: stopping.StopSchedule) -> None:
        """Reports not ready, and serves only what ends before the exit.

        Args:
            schedule: Times of the stop.
        """
        self._schedule = schedule
        for forwarder in self._forwarders:
            forwarder.deadline.end_by(schedule.answer_until_s)

    async def serve(
        self,
        request: exchange.ForwardedRequest,
        writer: exchange.ResponseWriter,
        *,
        reused: bool = False,
    ) -> None:
        """Serves one request.

        Args:
            request: The request.
            writer: Writes the response to the caller.
            reused: Whether its connection has carried a request before.
        """
        self._active += 1
        if self.draining:
            self._taken_while_draining += 1
            self._reused_while_draining += reused
        try:
            destination = resolving.resolve(self._state.table, request)
            self._refuse_if_stopping(request, destination)
            charge = await self._state.allowances.admit(
                destination.workspace,
                request.prompt_tokens + request.max_output_tokens,
                destination.rank,
                destination.route.target_latency_s,
            )
        except outcome.Refused as refused:
            self._log_refusal(
                request.request_id,
                refused.refusal,
                host=request.host,
                path=request.path,
            )
            await writer.refuse(refused.refusal)
        else:
            await self._forward(request, writer, destination, charge)
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

    def _refuse_if_stopping(
        self,
        request: exchange.ForwardedRequest,
        destination: resolving.Destination,
    ) -> None:
        if self._schedule is None:
            return
        refusal = stopping.refusal(
            self._schedule,
            limit_s=deadline.time_limit_s(request, destination.route),
            now_s=self._state.clock.monotonic(),
            others_serve=self._state.peer_count > 0,
        )
        if refusal is not None:
            raise outcome.Refused(refusal)

    async def _forward(
        self,
        request: exchange.ForwardedRequest,
        writer: exchange.ResponseWriter,
        destination: resolving.Destination,
        charge: allowances.Charge,
    ) -> None:
        # Stays if an exception precedes the first attempt.
        verdict = outcome.Verdict.NOT_RUN
        try:
            forwarder = forwarding.RequestForwarder(
                self._state,
                self._client,
                self._crash_detector,
                request,
                writer,
                destination,
                charge,
            )
            if self._schedule is not None:
                forwarder.deadline.end_by(self._schedule.answer_until_s)
            self._forwarders.add(forwarder)
            try:
                await forwarder.run()
            finally:
                self._forwarders.discard(forwarder)
                verdict = forwarder.verdict
        finally:
            charge.settle(verdict)

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
