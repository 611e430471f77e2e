"""Routes plain-service calls to sidecars and retries them when safe."""

from __future__ import annotations

import dataclasses
import datetime

import logbook
import xxhash

from hibiscusstile import clock as clock_lib
from hibiscusstile import (
    identity,
    logs,
    outcome,
    rendezvous,
    request,
    retrybudget,
)
from hibiscusstile.configuration import view as view_lib
from hibiscusstile.entry import refusals, sidecarpool
from hibiscusstile.peers import attemptchannel, messages
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib

__all__ = ["PendingCall", "ServiceCallRouter"]

_log = logbook.Logger("calls")

_MAX_ATTEMPTS = 3
# Statuses of a final response (RFC 9110, section 15).
_MIN_STATUS = 200
_MAX_STATUS = 599
# A sidecar may take 2 s to claim the call before the call's timeout starts.
_RESPONSE_MARGIN = datetime.timedelta(seconds=5)
_QUEUE_TIME = datetime.timedelta(seconds=5)
# Sidecars report progress on a running call every 0.5 s.
_INACTIVITY_TIMEOUT = datetime.timedelta(milliseconds=1500)
_PERMANENT_REASONS = (
    outcome.Reason.KEY_CONFLICT,
    outcome.Reason.LOG_UNAVAILABLE,
    outcome.Reason.EXPIRED,
    outcome.Reason.NOT_FOUND,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCall:
    """A plain-service call with what routing and retries need to know.

    Attributes:
        request_id: Identifier of the request.
        workspace: Name of the workspace.
        caller: Identifier of the caller within the workspace.
        rank: Name of the rank.
        application: The application's record.
        call: The call to forward.
    """

    request_id: str
    workspace: str
    caller: str
    rank: str
    application: view_lib.Application
    call: request.ServiceCall

    @property
    def is_idempotent(self) -> bool:
        """Whether the application declares the HTTP method idempotent."""
        return self.call.method in self.application.idempotent_methods

    @property
    def has_idempotency_key(self) -> bool:
        """Whether the call carries a key under which it runs at most once."""
        return self.call.idempotency_key is not None

    @property
    def routing_key(self) -> int:
        """Hash that sends retries with the same key to the same sidecar."""
        affinity_key = self.call.idempotency_key or self.request_id
        return xxhash.xxh3_64_intdigest(
            f"{self.workspace}\x1f{affinity_key}".encode()
        )


class ServiceCallRouter:
    """Routes calls and retries only those that a retry cannot run twice.

    A call with an idempotency key may be retried at another sidecar after a
    lost connection: the ledger there runs the call only if the first sidecar
    never will. A call without a key is retried after `not_run`, or if its
    method is idempotent.

    Args:
        sidecars: The connections to sidecars.
        retry_budget: Limits retries.
        clock: Measures deadlines.
    """

    def __init__(
        self,
        sidecars: sidecarpool.SidecarPool,
        retry_budget: retrybudget.RetryBudget,
        clock: clock_lib.Clock,
    ) -> None:
        self._sidecars = sidecars
        self._retry_budget = retry_budget
        self._clock = clock

    async def run(self, pending: PendingCall) -> messages.CallReply:
        """Returns the service's response.

        Raises:
            Refused: There is no response. The verdict covers all attempts
                and says whether the call may have run.
        """
        peer_ids = [
            view.runner
            for view in self._sidecars.servers(pending.call.application)
        ]
        ranked = rendezvous.top_nodes(
            pending.routing_key, peer_ids, _MAX_ATTEMPTS
        )
        if not ranked:
            raise outcome.Refused(_no_backend_refusal(pending))
        self._retry_budget.note_first_attempt()
        may_have_run = False
        for attempt_number, peer_id in enumerate(ranked, 1):
            try:
                reply = await self._attempt(pending, peer_id)
            except outcome.Refused as refused:
                refusal = refused.refusal
            else:
                self._log(pending, peer_id, "answered")
                return reply
            self._log(pending, peer_id, refusal.reason.value)
            if refusal.verdict is not outcome.Verdict.NOT_RUN:
                may_have_run = True
            if (
                attempt_number == len(ranked)
                or not _is_retryable(pending, refusal)
                or not self._retry_budget.try_acquire(refusal)
            ):
                break
        raise outcome.Refused(_with_combined_verdict(refusal, may_have_run))

    async def _attempt(
        self, pending: PendingCall, peer_id: str
    ) -> messages.CallReply:
        link = self._sidecars.link(peer_id)
        if link is None:
            raise outcome.Refused(refusals.peer_lost(outcome.Verdict.NOT_RUN))
        attempt_id = identity.new_id("att")
        channel = link.open_channel(attempt_id)
        try:
            await link.send(
                messages.Call(
                    attempt_id,
                    pending.workspace,
                    pending.caller,
                    pending.rank,
                    pending.call,
                    _QUEUE_TIME.total_seconds(),
                )
            )
            message = await self._receive(pending, link, channel)
        except (
            connection_lib.ConnectionLost,
            attemptchannel.ChannelLost,
            TimeoutError,
        ):
            raise outcome.Refused(
                refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN)
            ) from None
        finally:
            link.close_channel(attempt_id)
        if isinstance(message, messages.CallReply):
            status = message.reply.status
            if not _MIN_STATUS <= status <= _MAX_STATUS:
                # From a sidecar or a log record of an earlier release.
                raise outcome.Refused(
                    outcome.Refusal(
                        outcome.Reason.BACKEND_FAILED,
                        f"the service responded with status {status}",
                        outcome.Verdict.MAY_HAVE_RUN,
                    )
                )
            return message
        if isinstance(message, messages.Failed):
            raise outcome.Refused(refusals.from_failed(message))
        raise outcome.Refused(refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN))

    async def _receive(
        self,
        pending: PendingCall,
        link: client_lib.SidecarLink,
        channel: attemptchannel.AttemptChannel,
    ) -> messages.PeerMessage:
        """Returns the first message that is not a progress report.

        If the call can be retried at another sidecar, an unresponsive one is
        abandoned after the inactivity timeout; otherwise after the total
        timeout.
        """
        total_timeout = (
            pending.application.call_timeout + _QUEUE_TIME + _RESPONSE_MARGIN
        )
        inactivity_timeout = (
            _INACTIVITY_TIMEOUT
            if pending.is_idempotent or pending.has_idempotency_key
            else total_timeout
        )
        deadline_s = self._clock.monotonic() + total_timeout.total_seconds()
        while True:
            remaining_s = deadline_s - self._clock.monotonic()
            try:
                message = await channel.receive(
                    min(remaining_s, inactivity_timeout.total_seconds())
                )
            except TimeoutError:
                link.mark_unresponsive()
                raise
            if not isinstance(message, messages.Progress):
                return message

    def _log(self, pending: PendingCall, peer_id: str, reason: str) -> None:
        _log.info(
            logs.format_event(
                "route_call",
                {
                    "request": pending.request_id,
                    "workspace": pending.workspace,
                    "application": pending.call.application,
                    "choice": peer_id,
                    "reason": reason,
                },
            )
        )


def _is_retryable(pending: PendingCall, refusal: outcome.Refusal) -> bool:
    if refusal.reason in _PERMANENT_REASONS:
        return False
    if refusal.verdict is outcome.Verdict.NOT_RUN:
        return True
    if refusal.verdict is outcome.Verdict.RAN:
        return False
    if pending.has_idempotency_key:
        return refusal.reason is outcome.Reason.PEER_LOST
    return pending.is_idempotent


def _with_combined_verdict(
    refusal: outcome.Refusal, may_have_run: bool
) -> outcome.Refusal:
    """Returns the last refusal with a verdict that covers all attempts.

    A call that the last sidecar reports as `not_run` may have run at an
    earlier one.
    """
    if may_have_run and refusal.verdict is outcome.Verdict.NOT_RUN:
        return dataclasses.replace(
            refusal, verdict=outcome.Verdict.MAY_HAVE_RUN
        )
    return refusal


def _no_backend_refusal(pending: PendingCall) -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.NO_BACKEND,
        f"no backend server for {pending.call.application!r} is available",
        retry_after=datetime.timedelta(seconds=1),
    )
