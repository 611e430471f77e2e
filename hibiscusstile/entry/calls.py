"""Carries plain-service calls to a sidecar of their application."""

from __future__ import annotations

import dataclasses
import datetime

import logbook
import xxhash

from hibiscusstile import clock as clock_lib
from hibiscusstile import identity, logs, outcome, rendezvous, request
from hibiscusstile.configuration import view as view_lib
from hibiscusstile.entry import fleet as fleet_lib
from hibiscusstile.entry import refusals
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages

__all__ = ["CallWork", "Calls"]

_log = logbook.Logger("calls")

_MAX_ATTEMPTS = 3
_ANSWER_MARGIN = datetime.timedelta(seconds=2)
_QUEUE_TIME = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class CallWork:
    """A plain-service call on its way.

    Attributes:
        request_id: Identifier of the request.
        workspace: The workspace's name.
        caller: The caller within the workspace.
        rank: The rank's name.
        application: The application's record.
        call: The call.
    """

    request_id: str
    workspace: str
    caller: str
    rank: str
    application: view_lib.Application
    call: request.ServiceCall

    @property
    def repeatable(self) -> bool:
        """Whether the call may run more than once."""
        return self.call.method in self.application.idempotent_methods

    @property
    def routing_key(self) -> int:
        """Retries with the same key go to the same sidecar first."""
        name = self.call.idempotency_key or self.request_id
        return xxhash.xxh3_64_intdigest(f"{self.workspace}\x1f{name}".encode())


class Calls:
    """Routes calls and repeats only what certainly has not run.

    Args:
        fleet: The links.
        clock: Measures deadlines.
    """

    def __init__(self, fleet: fleet_lib.Fleet, clock: clock_lib.Clock) -> None:
        self._fleet = fleet
        self._clock = clock

    async def run(self, work: CallWork) -> messages.CallReply:
        """Returns the service's answer.

        Raises:
            Refused: No answer; the verdict says whether it may have run.
        """
        names = [v.runner for v in self._fleet.servers(work.call.application)]
        order = rendezvous.top_nodes(work.routing_key, names, _MAX_ATTEMPTS)
        refusal = outcome.Refusal(
            outcome.Reason.NO_BACKEND,
            f"no backend server serves {work.call.application!r} now",
            retry_after=datetime.timedelta(seconds=1),
        )
        for server in order:
            try:
                reply = await self._attempt(work, server)
            except outcome.Refused as refused:
                refusal = refused.refusal
                self._log(work, server, refusal.reason.value)
                if not _may_repeat(work, refusal):
                    raise
            else:
                self._log(work, server, "answered")
                return reply
        raise outcome.Refused(refusal)

    async def _attempt(self, work: CallWork, server: str) -> messages.CallReply:
        link = self._fleet.link(server)
        if link is None:
            raise outcome.Refused(refusals.peer_lost(outcome.Verdict.NOT_RUN))
        attempt_id = identity.new_id("att")
        channel = link.open_channel(attempt_id)
        limit = work.application.call_timeout + _QUEUE_TIME + _ANSWER_MARGIN
        try:
            await link.send(
                messages.Call(
                    attempt_id,
                    work.workspace,
                    work.caller,
                    work.rank,
                    work.call,
                    _QUEUE_TIME.total_seconds(),
                )
            )
            message = await channel.receive(limit.total_seconds())
        except (
            connection_lib.ConnectionLost,
            client_lib.ChannelLost,
            TimeoutError,
        ):
            raise outcome.Refused(
                refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN)
            ) from None
        finally:
            link.close_channel(attempt_id)
        if isinstance(message, messages.CallReply):
            return message
        if isinstance(message, messages.Failed):
            raise outcome.Refused(refusals.refusal_of(message))
        raise outcome.Refused(refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN))

    def _log(self, work: CallWork, server: str, reason: str) -> None:
        _log.info(
            logs.decision_line(
                "route_call",
                {
                    "request": work.request_id,
                    "workspace": work.workspace,
                    "application": work.call.application,
                    "choice": server,
                    "reason": reason,
                },
            )
        )


def _may_repeat(work: CallWork, refusal: outcome.Refusal) -> bool:
    if refusal.verdict is outcome.Verdict.NOT_RUN:
        return True
    return work.repeatable and refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
