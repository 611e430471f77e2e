"""Relays one model request's answer, across attempts if need be."""

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
    """A model request on its way.

    Attributes:
        work_item: What routing and admission know of it.
        chat: The request.
        policy: Name of the routing-policy record.
        priority: The engine's priority; lower runs first.
        queue_time: How long it may wait before it expires.
        created: When it arrived, in seconds since 1970.
    """

    work_item: request.WorkItem
    chat: request.ChatRequest
    policy: str
    priority: int
    queue_time: datetime.timedelta
    created: int


class _AttemptHistory:
    """What became of a request so far, over all attempts."""

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
        """Whether the caller has part of the answer."""
        return bool(self._texts)

    @property
    def verdict(self) -> outcome.Verdict:
        """Whether any attempt may have run."""
        return self._verdict

    @property
    def started_s(self) -> float:
        """Monotonic time at which the request came."""
        return self._started_s

    @property
    def sent_text(self) -> str:
        """All text sent to the caller."""
        return "".join(self._texts)

    @property
    def excluded(self) -> frozenset[str]:
        """Runners that are not to be tried again."""
        return frozenset(self._excluded)

    def set_suspect_digest(self, digest: str) -> None:
        """Notes whether the request is a suspect now."""
        self._suspect_digest = digest

    def add_text(self, text: str) -> bool:
        """Notes text sent to the caller; True for the first piece."""
        self._texts.append(text)
        return len(self._texts) == 1

    def add_failure(self, runner: str, refusal: outcome.Refusal) -> None:
        """Notes a failed attempt."""
        self._verdict = self._verdict.combined_with(refusal.verdict)
        # A sidecar at an older revision has caught up by the next attempt.
        if refusal.reason is not outcome.Reason.STALE_REVISION:
            self._excluded.add(runner)

    def clear_excluded(self) -> None:
        """Lets failed runners be tried again, where no other is left."""
        self._excluded.clear()

    def as_refused(self, refusal: outcome.Refusal) -> outcome.Refused:
        """Returns the outcome for the caller.

        A last attempt that did not run does not undo an earlier one that
        may have.
        """
        verdict = self._verdict.combined_with(refusal.verdict)
        return outcome.Refused(dataclasses.replace(refusal, verdict=verdict))


class ChatRelay:
    """Carries requests to sidecars and answers back.

    Args:
        sidecars: The connections to sidecars.
        router: Chooses runners.
        suspect_isolator: Knows the requests that crash engines.
        retry_budget: Limits retries.
        clock: Measures times to first token.
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
        """Yields the answer's text in order, then its end.

        Raises:
            Refused: The answer cannot be completed.
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
        """Waits for a moment while no backend server can be reached.

        Between the stop of one sidecar and the start of its successor there
        may be none, and a caller that is turned away then would see the
        replacement.
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
        """Model calls have no side effects: reason and budget decide."""
        if refusal.reason in _PERMANENT_REASONS:
            return False
        return self._retry_budget.try_acquire(refusal, started=history.has_text)

    async def _choose_runner(
        self, pending: PendingChat, history: _AttemptHistory
    ) -> routing.Route:
        """Chooses a runner; a suspect's is the same for all entries."""
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
        metrics.count_prompt(usage.prompt_tokens, usage.cached_tokens)
        metrics.count_hit(route.expected_cached_tokens, usage.cached_tokens)

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
            logs.decision_line(
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
