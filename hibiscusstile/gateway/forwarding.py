"""One request's way through the gateway, from its head to its end."""

from __future__ import annotations

import asyncio
import datetime

from hibiscusstile import outcome
from hibiscusstile.gateway import (
    exchange,
    fleet,
    load,
    overload,
    prefixturn,
    requestlog,
    resolving,
    routes,
    selection,
    sending,
    serverselection,
    state,
)

__all__ = ["Forwarding"]

# Servers that may see one request, the ones that turned it away included.
_MAX_ARRIVALS = 5
# Connections that may fail for one request.
_MAX_UNREACHED = 6
# Pause before a request goes to servers that have turned it away before.
_TURNED_AWAY_PAUSE = datetime.timedelta(milliseconds=60)
# Part of the target after which a request that found no server is refused.
_PATIENCE_SHARE = 0.5
# Callers leave a stream after a gap of two seconds.
_RESUME_PATIENCE_S = 1.5
_RETRY_AFTER = datetime.timedelta(milliseconds=400)
# How long a server that turned a request away is taken to change weights.
_CHANGING_S = 0.25
_SERVER_ERROR = 500


class Forwarding:
    """Sends one request to servers until one has answered it.

    Args:
        known: What this process knows.
        client: Sends requests to servers.
        request: The request.
        caller: The caller's side.
        where: Where the request goes.
    """

    def __init__(
        self,
        known: state.GatewayState,
        client: exchange.ServerClient,
        request: exchange.ForwardedRequest,
        caller: exchange.ResponseWriter,
        where: resolving.Destination,
    ) -> None:
        self._known = known
        self._client = client
        self._request = request
        self._caller = caller
        self._where = where
        self._deadline_s = request.received_s + where.route.timeout_s
        if request.caller_timeout_s is not None:
            self._deadline_s = min(
                self._deadline_s, request.received_s + request.caller_timeout_s
            )
        self._verdict = outcome.Verdict.NOT_RUN
        self._refusal: outcome.Refusal | None = None
        self._sent = False
        self._run_counted = False
        self._turned_away: set[str] = set()
        self._used: set[str] = set()
        self._arrivals = 0
        self._unreached = 0
        self._runs = 0
        self._failed_s = 0.0
        self._last_event = request.last_event_id
        self._log = requestlog.RequestLog(known, request, where)
        self._prefix = prefixturn.PrefixTurn(
            known, request, where.route.target_s
        )
        self._last_answer: tuple[exchange.ResponseHead, bytes] | None = None

    async def run(self) -> None:
        """Serves the request, and ends it in any case."""
        self._known.budget(self._where.service.name).note_first_attempt()
        left_s = self._deadline_s - self._now_s()
        result = "caller_lost"
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._attempt_all()
            result = "served"
        except TimeoutError:
            result = "timed_out"
            await self._end(
                outcome.Refusal(
                    outcome.Reason.EXPIRED,
                    "no complete answer in time",
                    self._verdict_now(),
                )
            )
        except outcome.Refused as refused:
            result = refused.refusal.reason.value
            self._refusal = refused.refusal
            await self._end(refused.refusal)
        except asyncio.CancelledError:
            result = "cancelled"
            raise
        finally:
            self._log.ended(
                result, self._verdict_now(), self._refusal, self._runs
            )

    async def _attempt_all(self) -> None:
        while True:
            selected = await self._next_server()
            try:
                await self._attempt(selected)
                return
            except exchange.AttemptFailed as failure:
                self._note_failure(selected.candidate.server, failure)
                self._check_retry(failure)

    async def _next_server(self) -> selection.SelectedServer:
        """Returns the next server, after a pause where all were tried."""
        while True:
            selected = serverselection.select_server(
                self._known,
                self._where.service,
                self._selection_context(),
                self._where.cache_scope,
                self._turned_away | self._used,
            )
            if selected is not None:
                self._check_overload(selected)
                if self._caller.started or not await self._prefix.wait(
                    selected
                ):
                    return selected
                continue
            if not self._may_wait():
                self._refuse_without_server()
            self._turned_away.clear()
            await self._known.clock.sleep(_TURNED_AWAY_PAUSE)

    def _may_wait(self) -> bool:
        """Returns whether a server may take the request after a pause."""
        usable = self._known.fleet.usable(self._where.service.name)
        if all(server.server_id in self._used for server in usable):
            return False
        if self._caller.started:
            return self._now_s() - self._failed_s < _RESUME_PATIENCE_S
        elapsed_s = self._now_s() - self._request.received_s
        return elapsed_s < _PATIENCE_SHARE * self._where.route.target_s

    def _check_overload(self, selected: selection.SelectedServer) -> None:
        """Raises the refusal of a request that would come too late."""
        if self._caller.started or self._arrivals:
            return
        refusal = overload.refusal(
            selected.expected_s, self._where.route.target_s
        )
        if refusal is not None:
            self._log.selected(selected, "server_too_busy")
            raise outcome.Refused(refusal)

    def _verdict_now(self) -> outcome.Verdict:
        """Returns the verdict, an attempt under way included."""
        if self._sent:
            return self._verdict.combined_with(outcome.Verdict.MAY_HAVE_RUN)
        return self._verdict

    def _refuse_without_server(self) -> None:
        """Raises the refusal of a request for which no server is left."""
        if self._verdict is not outcome.Verdict.NOT_RUN:
            raise outcome.refused(
                outcome.Reason.BACKEND_FAILED,
                "the request was lost and no other server is left",
                verdict=self._verdict,
            )
        raise outcome.refused(
            outcome.Reason.OVERLOADED,
            "no server takes the request now",
            _RETRY_AFTER,
        )

    async def _attempt(self, selected: selection.SelectedServer) -> None:
        server = selected.candidate.server
        serving = selected.candidate.load
        request = self._request
        work = load.Work(
            prefill_tokens=max(
                0, request.prompt_tokens - selected.cached_tokens
            ),
            memory_tokens=request.prompt_tokens + request.max_output_tokens,
            sent_s=self._now_s(),
            expected_s=selected.expected_s,
        )
        self._sent = True
        self._run_counted = False
        self._log.selected(selected)
        serving.begin(work, selected.candidate.cache_salt, request.parts)
        self._prefix.begin(selected)
        try:
            async with self._client.send(
                server, request, self._options(selected.candidate)
            ) as reply:
                serving.note_heard(self._now_s())
                self._note_head(server, reply.head)
                if reply.head.event_stream:
                    await self._relay_stream(selected.candidate, work, reply)
                else:
                    await self._relay_whole(server, reply)
        finally:
            self._prefix.finish()
            serving.end(work, self._now_s())

    async def _relay_whole(
        self, server: fleet.BackendServer, reply: exchange.ServerResponse
    ) -> None:
        body = await reply.body()
        failed = reply.head.status >= _SERVER_ERROR
        self._note_run(outcome.Verdict.RAN)
        self._known.health.note_answer(server, failed)
        self._log.attempt_ended(
            server.server_id, "failed" if failed else "answered"
        )
        if failed and self._where.route.kind is routes.RequestKind.IDEMPOTENT:
            self._last_answer = reply.head, body
            if self._may_run_again() and self._take_retry():
                self._used.add(server.server_id)
                await self._attempt_all()
                return
        if self._caller.started:
            # The caller has part of a stream; another answer cannot follow.
            raise exchange.AttemptFailed(
                exchange.FailureCause.LOST, outcome.Verdict.RAN, "not a stream"
            )
        self._log.note_status(reply.head.status)
        await self._caller.send_response(reply.head, body)

    async def _relay_stream(
        self,
        candidate: selection.Candidate,
        work: load.Work,
        reply: exchange.ServerResponse,
    ) -> None:
        server = candidate.server
        async for event in reply.events():
            candidate.load.note_heard(self._now_s())
            if not work.started:
                candidate.load.note_started(work, self._now_s())
                self._prefix.finish()
                self._note_run(outcome.Verdict.RAN)
                self._known.health.note_answer(server, False)
                self._log.note_first_event()
            if event.weights_version is not None:
                self._note_version(server, event.weights_version)
            if not self._caller.started:
                await self._caller.start_stream(reply.head)
            await self._caller.write(event.data)
            if event.event_id:
                self._last_event = event.event_id
        if not self._caller.started:
            await self._caller.start_stream(reply.head)
        await self._caller.finish_stream()
        self._log.attempt_ended(server.server_id, "streamed")

    def _note_head(
        self, server: fleet.BackendServer, head: exchange.ResponseHead
    ) -> None:
        self._verdict = self._verdict.combined_with(
            outcome.Verdict.MAY_HAVE_RUN
        )
        if head.weights_version is not None:
            self._note_version(server, head.weights_version)

    def _note_version(self, server: fleet.BackendServer, version: int) -> None:
        self._known.note_weights(server.server_id, self._request.model, version)

    def _note_run(self, verdict: outcome.Verdict) -> None:
        self._verdict = self._verdict.combined_with(verdict)
        if not self._run_counted:
            self._run_counted = True
            self._runs += 1

    def _note_failure(
        self, server: fleet.BackendServer, failure: exchange.AttemptFailed
    ) -> None:
        """Takes an attempt's outcome into what is known."""
        server_id = server.server_id
        self._failed_s = self._now_s()
        self._log.attempt_failed(server_id, failure)
        self._verdict = self._verdict.combined_with(failure.verdict)
        self._sent = False
        cause = failure.cause
        if cause is exchange.FailureCause.NOT_REACHED:
            self._unreached += 1
            self._known.health.note_unreachable(server)
            self._turned_away.add(server_id)
        elif cause is exchange.FailureCause.REPLACED:
            self._arrivals += 1
            self._used.add(server_id)
            self._known.health.note_replaced(server)
        elif cause in (
            exchange.FailureCause.FULL,
            exchange.FailureCause.OTHER_WEIGHTS,
        ):
            self._arrivals += 1
            self._turned_away.add(server_id)
            if self._where.service.engine is not None:
                self._note_turned_away(server_id, failure)
        else:
            self._arrivals += 1
            self._note_run(failure.verdict)
            self._used.add(server_id)
            self._known.health.note_silent(server)

    def _note_turned_away(
        self, server_id: str, failure: exchange.AttemptFailed
    ) -> None:
        """Learns that an engine changes weights, or has others."""
        model = self._request.model
        if failure.weights_version is not None:
            self._known.note_weights(server_id, model, failure.weights_version)
        elif failure.cause is exchange.FailureCause.OTHER_WEIGHTS:
            # Which ones it has is told by its next answer or report.
            self._known.weights.forget_version(server_id, model)
        else:
            self._known.weights.note_changing(server_id, _CHANGING_S)

    def _check_retry(self, failure: exchange.AttemptFailed) -> None:
        """Raises the refusal of a request that is not sent again."""
        ran = failure.verdict is not outcome.Verdict.NOT_RUN
        if ran and not self._may_run_again():
            raise outcome.refused(
                outcome.Reason.BACKEND_FAILED,
                "the server gave no complete answer",
                verdict=self._verdict,
            )
        if failure.cause is exchange.FailureCause.NOT_REACHED:
            # Nothing arrived, so this is no retry for the budget.
            if self._unreached <= _MAX_UNREACHED:
                return
        elif self._arrivals <= _MAX_ARRIVALS and self._take_retry():
            return
        self._refuse_without_server()

    def _may_run_again(self) -> bool:
        route = self._where.route
        if not route.repeatable:
            return False
        if self._caller.started and not self._last_event:
            return False
        return self._runs < route.max_servers

    def _take_retry(self) -> bool:
        service = self._where.service.name
        refusal = outcome.Refusal(outcome.Reason.BACKEND_FAILED, "retry")
        granted = self._known.budget(service).try_acquire(
            refusal, started=self._caller.started
        )
        self._log.retry(granted)
        return granted

    async def _end(self, refusal: outcome.Refusal) -> None:
        """Gives the caller its final answer after a failure."""
        if self._caller.started:
            self._caller.abort()
            return
        if self._last_answer is not None:
            self._log.note_status(self._last_answer[0].status)
            await self._caller.send_response(*self._last_answer)
            return
        await self._caller.refuse(refusal)

    def _options(self, candidate: selection.Candidate) -> exchange.SendOptions:
        return sending.send_options(
            self._known,
            self._request,
            self._where,
            candidate,
            time_left_s=self._deadline_s - self._now_s(),
            last_event_id=self._last_event,
        )

    def _selection_context(self) -> selection.SelectionContext:
        return selection.SelectionContext(
            self._request,
            self._where.rank,
            self._where.route.target_s,
            self._known.zone,
        )

    def _now_s(self) -> float:
        return self._known.clock.monotonic()
