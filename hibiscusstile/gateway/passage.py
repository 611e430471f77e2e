"""One request's way through the gateway, from its head to its end."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime

import logbook

from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import (
    choice,
    exchange,
    fleet,
    load,
    overload,
    routes,
    selection,
    state,
)

__all__ = ["Passage", "Route", "resolve"]

_log = logbook.Logger("passage")

# Servers that may see one request, the ones that turned it away included.
_MAX_ARRIVALS = 5
# Connections that may fail for one request.
_MAX_UNREACHED = 6
# Pause before a request goes to servers that have turned it away before.
_TURNED_AWAY_PAUSE = datetime.timedelta(milliseconds=60)
# Part of the target after which a request that found no server is refused.
_PATIENCE_SHARE = 0.5
_RETRY_AFTER = datetime.timedelta(milliseconds=400)
_RETRY_AFTER_STARTING = datetime.timedelta(milliseconds=500)
# How long a server that turned a request away is taken to change weights.
_CHANGING_S = 0.25
_SERVER_ERROR = 500
# Without a budget of the caller, the route's timeout alone counts.
_SHARED_WALL = "shared"
# Requests that wait in an engine's queue must not begin on older weights 8 s
# after newer ones were named.
_DEMAND_AFTER_S = 3.5
# Prompts whose shared parts are shorter than this are computed sooner than a
# store is asked.
_MIN_FETCH_TOKENS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where a request goes and as whom.

    Attributes:
        route: The configuration's route.
        service: The service chosen by its split.
        workspace: The caller's workspace; None for anonymous callers.
        rank: The request's rank.
    """

    route: routes.Route
    service: routes.Service
    workspace: routes.Workspace | None
    rank: int


def resolve(
    table: routes.RoutingTable | None, request: exchange.ForwardedRequest
) -> Route:
    """Returns where a request goes.

    Raises:
        Refused: The configuration does not allow the request, or there is
            none yet.
    """
    if table is None:
        raise _refused(
            outcome.Reason.NOT_READY,
            "no configuration has been read yet",
            _RETRY_AFTER_STARTING,
        )
    route = table.match(request.host, request.path)
    if route is None:
        raise _refused(outcome.Reason.NOT_FOUND, "no route matches")
    workspace = table.workspaces.get(request.key) if request.key else None
    if workspace is None and table.keys_required and not route.anonymous:
        raise _refused(outcome.Reason.UNAUTHORIZED, "the key is not known")
    service = table.services.get(route.service_for(request.request_id))
    if service is None:
        raise _refused(
            outcome.Reason.NO_BACKEND,
            "the route's service is not configured",
            _RETRY_AFTER,
        )
    rank = route.rank
    if workspace is not None and workspace.rank is not None:
        rank = workspace.rank
    return Route(route, service, workspace, rank)


class Passage:
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
        caller: exchange.Caller,
        where: Route,
    ) -> None:
        self._known = known
        self._client = client
        self._request = request
        self._caller = caller
        self._where = where
        self._deadline_s = request.received_s + where.route.timeout_s
        if request.budget_s is not None:
            self._deadline_s = min(
                self._deadline_s, request.received_s + request.budget_s
            )
        isolated = where.workspace is not None and where.workspace.isolated
        self._wall = (
            f"workspace-{where.workspace.name}"
            if isolated and where.workspace
            else _SHARED_WALL
        )
        self._verdict = outcome.Verdict.NOT_RUN
        self._status: int | None = None
        self._refusal: outcome.Refusal | None = None
        self._sent = False
        self._run_counted = False
        self._turned_away: set[str] = set()
        self._used: set[str] = set()
        self._arrivals = 0
        self._unreached = 0
        self._runs = 0
        self._last_event = request.resume_after
        self._first_event_s = 0.0
        self._last_answer: tuple[exchange.AnswerHead, bytes] | None = None

    async def run(self) -> None:
        """Serves the request, and ends it in any case."""
        self._known.budget(self._where.service.name).note_first()
        left_s = self._deadline_s - self._now_s()
        result = "served"
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._attempt_all()
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
            self._log_end(result)

    async def _attempt_all(self) -> None:
        while True:
            selected = await self._next_server()
            try:
                await self._attempt(selected)
                return
            except exchange.AttemptFailed as failure:
                server_id = selected.candidate.server.server_id
                self._note_failure(server_id, failure)
                self._check_retry(failure)

    async def _next_server(self) -> selection.Selected:
        """Returns the next server, after a pause where all were tried."""
        while True:
            selected = choice.choose_server(
                self._known,
                self._where.service,
                self._need(),
                self._wall,
                self._turned_away | self._used,
            )
            if selected is not None:
                self._check_overload(selected)
                return selected
            elapsed_s = self._now_s() - self._request.received_s
            patience_s = _PATIENCE_SHARE * self._where.route.target_s
            if elapsed_s > patience_s and not self._caller.started:
                self._refuse_without_server()
            self._turned_away.clear()
            await self._known.clock.sleep(_TURNED_AWAY_PAUSE)

    def _check_overload(self, selected: selection.Selected) -> None:
        """Raises the refusal of a request that would come too late."""
        if self._caller.started or self._arrivals:
            return
        refusal = overload.refusal(
            selected.expected_s, self._where.route.target_s
        )
        if refusal is not None:
            self._log_selection(selected, "server_too_busy")
            raise outcome.Refused(refusal)

    def _verdict_now(self) -> outcome.Verdict:
        """Returns the verdict, an attempt under way included."""
        if self._sent:
            return self._verdict.joined(outcome.Verdict.MAY_HAVE_RUN)
        return self._verdict

    def _refuse_without_server(self) -> None:
        """Raises the refusal of a request for which no server is left."""
        if self._verdict is not outcome.Verdict.NOT_RUN:
            raise _refused(
                outcome.Reason.BACKEND_FAILED,
                "the request was lost and no other server is left",
                verdict=self._verdict,
            )
        raise _refused(
            outcome.Reason.OVERLOADED,
            "no server takes the request now",
            _RETRY_AFTER,
        )

    async def _attempt(self, selected: selection.Selected) -> None:
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
        self._log_selection(selected)
        serving.begin(work, selected.candidate.cache_salt, request.parts)
        self._tell_prefix(selected.candidate)
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
            serving.end(work, self._now_s())

    async def _relay_whole(
        self, server: fleet.BackendServer, reply: exchange.Reply
    ) -> None:
        body = await reply.body()
        failed = reply.head.status >= _SERVER_ERROR
        self._note_run(outcome.Verdict.RAN)
        self._known.health.note_answer(server.server_id, failed)
        self._log_attempt(server, "failed" if failed else "answered")
        if failed and self._where.route.kind is routes.RequestKind.IDEMPOTENT:
            self._last_answer = reply.head, body
            if self._may_run_again() and self._take_retry():
                self._used.add(server.server_id)
                await self._attempt_all()
                return
        if self._caller.started:
            # The caller has part of a stream; another answer cannot follow.
            raise exchange.AttemptFailed(
                exchange.Cause.LOST, outcome.Verdict.RAN, "not a stream"
            )
        self._status = reply.head.status
        await self._caller.send_answer(reply.head, body)

    async def _relay_stream(
        self,
        candidate: selection.Candidate,
        work: load.Work,
        reply: exchange.Reply,
    ) -> None:
        server = candidate.server
        async for event in reply.events():
            candidate.load.note_heard(self._now_s())
            if not work.started:
                candidate.load.note_started(work, self._now_s())
                self._note_run(outcome.Verdict.RAN)
                self._known.health.note_answer(server.server_id, False)
                self._observe_first_event()
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
        self._log_attempt(server, "streamed")

    def _tell_prefix(self, candidate: selection.Candidate) -> None:
        """Tells other gateways where the prompt's shared parts are read."""
        salt = candidate.cache_salt
        for part in self._request.parts[:-1]:
            self._known.reads.note(salt, part.part_id, self._now_s())
            self._known.notices.note_prefix(
                candidate.server.server_id, salt, part.part_id, part.tokens
            )

    def _note_head(
        self, server: fleet.BackendServer, head: exchange.AnswerHead
    ) -> None:
        self._verdict = self._verdict.joined(outcome.Verdict.MAY_HAVE_RUN)
        if head.weights_version is not None:
            self._note_version(server, head.weights_version)

    def _note_version(self, server: fleet.BackendServer, version: int) -> None:
        self._known.note_weights(server.server_id, self._request.model, version)

    def _note_run(self, verdict: outcome.Verdict) -> None:
        self._verdict = self._verdict.joined(verdict)
        if not self._run_counted:
            self._run_counted = True
            self._runs += 1

    def _note_failure(
        self, server_id: str, failure: exchange.AttemptFailed
    ) -> None:
        """Takes an attempt's outcome into what is known."""
        metrics.count_attempt(failure.cause.value)
        logs.event(
            _log,
            "attempt",
            request=self._request.request_id,
            server=server_id,
            result=failure.cause.value,
            verdict=failure.verdict.value,
            detail=str(failure),
            elapsed_s=self._elapsed_s(),
        )
        self._verdict = self._verdict.joined(failure.verdict)
        self._sent = False
        cause = failure.cause
        if cause is exchange.Cause.NOT_REACHED:
            self._unreached += 1
            self._known.health.note_unreachable(server_id)
            self._turned_away.add(server_id)
        elif cause is exchange.Cause.REPLACED:
            self._arrivals += 1
            self._used.add(server_id)
            self._known.health.note_replaced(server_id)
        elif cause in (exchange.Cause.FULL, exchange.Cause.OTHER_WEIGHTS):
            self._arrivals += 1
            self._turned_away.add(server_id)
            if self._where.service.engine is not None:
                self._note_turned_away(server_id, failure)
        else:
            self._arrivals += 1
            self._note_run(failure.verdict)
            self._used.add(server_id)
            self._known.health.note_silent(server_id)

    def _note_turned_away(
        self, server_id: str, failure: exchange.AttemptFailed
    ) -> None:
        """Learns that an engine changes weights, or has others."""
        model = self._request.model
        if failure.weights_version is not None:
            self._known.note_weights(server_id, model, failure.weights_version)
        elif failure.cause is exchange.Cause.OTHER_WEIGHTS:
            # Which ones it has is told by its next answer or report.
            self._known.weights.forget_version(server_id, model)
        else:
            self._known.weights.note_changing(server_id, _CHANGING_S)

    def _check_retry(self, failure: exchange.AttemptFailed) -> None:
        """Raises the refusal of a request that is not sent again."""
        ran = failure.verdict is not outcome.Verdict.NOT_RUN
        if ran and not self._may_run_again():
            raise _refused(
                outcome.Reason.BACKEND_FAILED,
                "the server gave no complete answer",
                verdict=self._verdict,
            )
        if failure.cause is exchange.Cause.NOT_REACHED:
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
        granted = self._known.budget(service).take(
            refusal, started=self._caller.started
        )
        metrics.count_retry(service, granted)
        if not granted:
            logs.event(
                _log,
                "retry_denied",
                request=self._request.request_id,
                budget=service,
            )
        return granted

    async def _end(self, refusal: outcome.Refusal) -> None:
        """Gives the caller its final answer after a failure."""
        if self._caller.started:
            self._caller.abort()
            return
        if self._last_answer is not None:
            self._status = self._last_answer[0].status
            await self._caller.send_answer(*self._last_answer)
            return
        await self._caller.refuse(refusal)

    def _options(self, candidate: selection.Candidate) -> exchange.SendOptions:
        workspace = self._where.workspace
        return exchange.SendOptions(
            workspace=workspace.name if workspace else "",
            rank=self._where.rank,
            time_left_s=max(0.001, self._deadline_s - self._now_s()),
            cache_salt=candidate.cache_salt if candidate.cache_tokens else "",
            weights_version=self._demanded_version(candidate),
            resume_after=self._last_event,
            fetch_from=self._fetch_address(candidate),
            save_to=self._save_address(candidate),
        )

    def _demanded_version(self, candidate: selection.Candidate) -> int | None:
        """Returns the version of the weights that the server must have.

        A server whose version is not known may have any until the newest one
        has been named for a while.
        """
        named = self._known.weights.named(self._request.model)
        if candidate.version is not None or named is None:
            return candidate.version
        named_s = self._now_s() - named.learnt_s
        return named.version if named_s > _DEMAND_AFTER_S else None

    def _fetch_address(self, candidate: selection.Candidate) -> str:
        """Returns the store of KV cache to fetch from, if any."""
        if candidate.behind_s and not candidate.stored_tokens:
            return ""
        return self._store_address(candidate)

    def _save_address(self, candidate: selection.Candidate) -> str:
        """Returns the store of KV cache to save to, if any.

        Only the newest weights are saved: an engine that takes newer weights
        meanwhile saves parts that were made by both versions.
        """
        return "" if candidate.behind_s else self._store_address(candidate)

    def _store_address(self, candidate: selection.Candidate) -> str:
        parts = self._request.parts[:-1]
        if candidate.version is None:
            return ""
        if sum(part.tokens for part in parts) < _MIN_FETCH_TOKENS:
            return ""
        store = self._known.prefix_store()
        return store.address if store else ""

    def _retry_after_s(self) -> float | None:
        if self._refusal is None or self._refusal.retry_after is None:
            return None
        return self._refusal.retry_after.total_seconds()

    def _need(self) -> selection.Need:
        return selection.Need(
            self._request,
            self._where.rank,
            self._where.route.target_s,
            self._known.zone,
        )

    def _now_s(self) -> float:
        return self._known.clock.monotonic()

    def _elapsed_s(self) -> float:
        return round(self._now_s() - self._request.received_s, 4)

    def _observe_first_event(self) -> None:
        if not self._first_event_s:
            self._first_event_s = self._elapsed_s()
            metrics.observe_first_event(self._where.rank, self._first_event_s)

    def _log_selection(
        self, selected: selection.Selected, event: str = "server_selected"
    ) -> None:
        candidate = selected.candidate
        parts = self._request.parts
        logs.event(
            _log,
            event,
            request=self._request.request_id,
            server=candidate.server.server_id,
            service=self._where.service.name,
            zone=candidate.server.zone,
            running=candidate.load.running,
            running_elsewhere=candidate.running - candidate.load.running,
            waiting_tokens=candidate.waiting_tokens or None,
            expected_s=round(selected.expected_s, 4),
            cost=round(selected.cost, 3),
            salt=candidate.cache_salt if parts else None,
            prefix=parts[-2].part_id if len(parts) > 1 else None,
            prompt_tokens=self._request.prompt_tokens or None,
            cached_tokens=selected.cached_tokens or None,
            stored_tokens=candidate.stored_tokens or None,
            behind_s=round(candidate.behind_s, 2) or None,
            failures=round(candidate.failures, 3) or None,
            elapsed_s=self._elapsed_s(),
        )

    def _log_attempt(self, server: fleet.BackendServer, result: str) -> None:
        metrics.count_attempt(result)
        logs.event(
            _log,
            "attempt",
            request=self._request.request_id,
            server=server.server_id,
            result=result,
            verdict=outcome.Verdict.RAN.value,
            elapsed_s=self._elapsed_s(),
        )

    def _log_end(self, result: str) -> None:
        route = self._where.route
        metrics.count_request(route.kind.value, self._where.rank, result)
        table = self._known.table
        logs.event(
            _log,
            "request_ended",
            request=self._request.request_id,
            result=result,
            verdict=self._verdict_now().value,
            status=self._status,
            detail=self._refusal.message if self._refusal else None,
            retry_after_s=self._retry_after_s(),
            route=route.name,
            service=self._where.service.name,
            rank=self._where.rank,
            runs=self._runs,
            first_event_s=self._first_event_s or None,
            elapsed_s=self._elapsed_s(),
            configuration=table.version if table else None,
        )


def _refused(
    reason: outcome.Reason,
    message: str,
    retry_after: datetime.timedelta | None = None,
    verdict: outcome.Verdict = outcome.Verdict.NOT_RUN,
) -> outcome.Refused:
    return outcome.Refused(
        outcome.Refusal(reason, message, verdict, retry_after)
    )
