"""Relays chat requests to sidecars, with retries that resume a response."""

from __future__ import annotations

import contextlib
import dataclasses
import datetime
from collections.abc import AsyncGenerator

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import identity, logs, metrics, outcome, request, retrybudget
from hibiscusstile.entry import (
    chunkreader,
    refusals,
    routing,
    sidecarpool,
    suspectisolation,
)
from hibiscusstile.entry.chunkreader import (
    ResponseEnd,
    ResponseEvent,
    TextDelta,
)
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages

__all__ = ["ChatRelay", "PendingChat"]

_log = logbook.Logger("relay")

_MAX_ATTEMPTS = 4
_ROUTE_RETRY_TIMEOUT = datetime.timedelta(seconds=2)
_ROUTE_RETRY_INTERVAL = datetime.timedelta(milliseconds=50)
_TRANSIENT_REASONS = frozenset(
    {outcome.Reason.NO_BACKEND, outcome.Reason.LEAVING}
)
_PERMANENT_REASONS = frozenset(
    {
        outcome.Reason.BAD_REQUEST,
        outcome.Reason.EXPIRED,
        outcome.Reason.SUSPECT,
        outcome.Reason.INTERNAL,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingChat:
    """A chat request with what routing and the response need to know.

    Attributes:
        work_item: The request as routing and admission see it.
        chat: The parsed request body.
        policy: Name of the routing-policy record.
        priority: Priority at the engine; lower runs first.
        queue_time: Longest time in a queue before the request expires.
        created: Unix time of arrival, in seconds.
    """

    work_item: request.WorkItem
    chat: request.ChatRequest
    policy: str
    priority: int
    queue_time: datetime.timedelta
    created: int


class _AttemptHistory:
    """Results of a request's attempts so far."""

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._texts: list[str] = []
        self._excluded: set[str] = set()
        self._verdict = outcome.Verdict.NOT_RUN
        self._suspect_digest = ""

    @property
    def suspect_digest(self) -> str:
        """Fingerprint of a suspect request, empty for others."""
        return self._suspect_digest

    @property
    def has_text(self) -> bool:
        """Whether the caller has received part of the response."""
        return bool(self._texts)

    @property
    def verdict(self) -> outcome.Verdict:
        """The combined verdict of all failed attempts."""
        return self._verdict

    @property
    def started_s(self) -> float:
        """Monotonic time of the request's arrival."""
        return self._started_s

    @property
    def sent_text(self) -> str:
        """The text sent to the caller by all attempts."""
        return "".join(self._texts)

    @property
    def excluded(self) -> frozenset[str]:
        """Runners that must not be tried again."""
        return frozenset(self._excluded)

    def set_suspect_digest(self, digest: str) -> None:
        """Sets the fingerprint of a suspect request, empty for others."""
        self._suspect_digest = digest

    def add_text(self, text: str) -> bool:
        """Records text sent to the caller; True for the first piece."""
        self._texts.append(text)
        return len(self._texts) == 1

    def add_failure(self, runner: str, refusal: outcome.Refusal) -> None:
        """Records a failed attempt and excludes its runner."""
        self._verdict = self._verdict.combined_with(refusal.verdict)
        # A sidecar at an older revision catches up before the next attempt.
        if refusal.reason is not outcome.Reason.STALE_REVISION:
            self._excluded.add(runner)

    def clear_excluded(self) -> None:
        """Allows runners of failed attempts again when no others are left."""
        self._excluded.clear()

    def as_refused(self, refusal: outcome.Refusal) -> outcome.Refused:
        """Returns the final refusal, with the verdict over all attempts.

        An earlier attempt may have run even if the last one did not.
        """
        verdict = self._verdict.combined_with(refusal.verdict)
        return outcome.Refused(dataclasses.replace(refusal, verdict=verdict))


class ChatRelay:
    """Dispatches chat requests to sidecars and streams the responses back.

    If an attempt fails after part of the response was sent, the next one
    continues after the text that the caller already has.

    Args:
        sidecars: The connections to sidecars.
        router: Selects runners.
        suspect_isolator: Isolates requests that may crash engines.
        retry_budget: Limits retries.
        clock: Measures deadlines and times to first token.
    """

    def __init__(
        self,
        sidecars: sidecarpool.SidecarPool,
        router: routing.Router,
        suspect_isolator: suspectisolation.SuspectIsolator,
        retry_budget: retrybudget.RetryBudget,
        clock: clock_lib.Clock,
    ) -> None:
        self._sidecars = sidecars
        self._router = router
        self._suspect_isolator = suspect_isolator
        self._retry_budget = retry_budget
        self._clock = clock

    async def run(self, pending: PendingChat) -> AsyncGenerator[ResponseEvent]:
        """Yields text deltas in order, then the end of the response.

        Raises:
            Refused: The response cannot be completed.
        """
        history = _AttemptHistory(self._clock.monotonic())
        self._retry_budget.note_first_attempt()
        for attempt_number in range(1, _MAX_ATTEMPTS + 1):
            route = await self._route(pending, history)
            attempt = self._attempt(pending, route, history)
            try:
                async with contextlib.aclosing(attempt):
                    async for event in attempt:
                        yield event
                return
            except outcome.Refused as refused:
                self._log_failure(pending, route, refused.refusal)
                history.add_failure(route.runner, refused.refusal)
                if attempt_number == _MAX_ATTEMPTS or not self._may_retry(
                    refused.refusal, history
                ):
                    raise history.as_refused(refused.refusal) from None

    async def _route(
        self, pending: PendingChat, history: _AttemptHistory
    ) -> routing.Route:
        """Selects a runner, retrying for a short time while there is none.

        Between the stop of a sidecar and the start of its replacement, no
        backend server may be available. The wait hides this gap from
        callers.
        """
        timeout = min(pending.queue_time, _ROUTE_RETRY_TIMEOUT)
        deadline_s = self._clock.monotonic() + timeout.total_seconds()
        while True:
            try:
                return await self._choose_runner(pending, history)
            except outcome.Refused as refused:
                if (
                    refused.refusal.reason not in _TRANSIENT_REASONS
                    or self._clock.monotonic() >= deadline_s
                ):
                    raise history.as_refused(refused.refusal) from None
            await self._clock.sleep(_ROUTE_RETRY_INTERVAL)
            history.clear_excluded()

    def _may_retry(
        self, refusal: outcome.Refusal, history: _AttemptHistory
    ) -> bool:
        """Whether to retry; chat requests have no side effects to repeat."""
        if refusal.reason in _PERMANENT_REASONS:
            return False
        return self._retry_budget.try_acquire(refusal, started=history.has_text)

    async def _choose_runner(
        self, pending: PendingChat, history: _AttemptHistory
    ) -> routing.Route:
        """Selects a runner; all entries select the same one for a suspect."""
        excluded = history.excluded
        suspect_digest = self._suspect_isolator.check(
            pending.work_item.workspace, pending.chat, history.verdict
        )
        history.set_suspect_digest(suspect_digest)
        work_item = self._suspect_isolator.mark_work_item(
            pending.work_item, suspect_digest
        )
        if suspect_digest:
            for runner in self._suspect_isolator.candidate_runners(
                suspect_digest, work_item.model, excluded
            ):
                excluded_runners = self._suspect_isolator.all_runners_except(
                    runner, work_item.model
                )
                with contextlib.suppress(outcome.Refused):
                    return await self._router.route(
                        work_item, pending.policy, excluded_runners
                    )
        return await self._router.route(work_item, pending.policy, excluded)

    async def _attempt(
        self,
        pending: PendingChat,
        route: routing.Route,
        history: _AttemptHistory,
    ) -> AsyncGenerator[ResponseEvent]:
        link = self._sidecars.link(route.runner)
        if link is None:
            raise outcome.Refused(refusals.peer_lost(outcome.Verdict.NOT_RUN))
        attempt_id = identity.new_id("att")
        channel = link.open_channel(attempt_id)
        finished = False
        try:
            await self._suspect_isolator.send_charges(
                link, history.suspect_digest
            )
            await _send_dispatch(
                link, self._dispatch_message(pending, attempt_id, history)
            )
            chunks = chunkreader.ChunkReader(link, channel).read()
            async with contextlib.aclosing(chunks):
                async for event in chunks:
                    self._record_event(event, pending, route, history)
                    finished = isinstance(event, ResponseEnd)
                    yield event
        except outcome.Refused as refused:
            finished = refused.refusal.reason is not outcome.Reason.PEER_LOST
            raise
        finally:
            link.close_channel(attempt_id)
            if not finished:
                await _send_cancel(link, attempt_id)

    def _record_event(
        self,
        event: ResponseEvent,
        pending: PendingChat,
        route: routing.Route,
        history: _AttemptHistory,
    ) -> None:
        if isinstance(event, TextDelta):
            if history.add_text(event.text):
                first_token_s = self._clock.monotonic() - history.started_s
                metrics.observe_first_token(
                    pending.work_item.rank, first_token_s
                )
            return
        usage = event.usage
        metrics.count_prompt_tokens(usage.prompt_tokens, usage.cached_tokens)
        metrics.count_recomputed_tokens(
            route.expected_cached_tokens, usage.cached_tokens
        )

    def _dispatch_message(
        self, pending: PendingChat, attempt_id: str, history: _AttemptHistory
    ) -> messages.Dispatch:
        return messages.Dispatch(
            attempt_id,
            dataclasses.replace(
                pending.work_item,
                work_id=attempt_id,
                suspect=bool(history.suspect_digest),
            ),
            pending.chat,
            pending.queue_time.total_seconds(),
            history.sent_text,
            pending.priority,
        )

    def _log_failure(
        self,
        pending: PendingChat,
        route: routing.Route,
        refusal: outcome.Refusal,
    ) -> None:
        _log.warning(
            logs.format_event(
                "attempt_failed",
                {
                    "request": pending.work_item.work_id,
                    "runner": route.runner,
                    "reason": refusal.reason.value,
                    "verdict": refusal.verdict.value,
                    "message": refusal.message,
                },
            )
        )


async def _send_dispatch(
    link: client_lib.SidecarLink, message: messages.PeerMessage
) -> None:
    try:
        await link.send(message)
    except connection_lib.ConnectionLost:
        raise outcome.Refused(
            refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN)
        ) from None


async def _send_cancel(link: client_lib.SidecarLink, attempt_id: str) -> None:
    try:
        await link.send(messages.Cancel(attempt_id))
    except connection_lib.ConnectionLost:
        return
