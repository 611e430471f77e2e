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
_ROUTE_WAIT = datetime.timedelta(seconds=2)
_ROUTE_POLL = datetime.timedelta(milliseconds=50)
_PASSING_REASONS = frozenset(
    {outcome.Reason.NO_BACKEND, outcome.Reason.LEAVING}
)
_FINAL_REASONS = frozenset(
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
        item: What routing and admission know of it.
        chat: The request.
        policy: Name of the routing-policy record.
        priority: The engine's priority; lower runs first.
        queue_time: How long it may wait before it expires.
        created: When it arrived, in seconds since 1970.
    """

    item: request.WorkItem
    chat: request.ChatRequest
    policy: str
    priority: int
    queue_time: datetime.timedelta
    created: int


class _Progress:
    """What became of a request so far, over all attempts."""

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._texts: list[str] = []
        self._excluded: set[str] = set()
        self._verdict = outcome.Verdict.NOT_RUN
        self._suspect = ""

    @property
    def suspect(self) -> str:
        """Fingerprint of a suspect request, empty for others."""
        return self._suspect

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

    def mark_suspect(self, fingerprint: str) -> None:
        """Notes whether the request is a suspect now."""
        self._suspect = fingerprint

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

    def allow_all(self) -> None:
        """Lets failed runners be tried again, where no other is left."""
        self._excluded.clear()

    def final(self, refusal: outcome.Refusal) -> outcome.Refused:
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
        suspicion: Knows the requests that crash engines.
        budget: Limits retries.
        clock: Measures times to first token.
    """

    def __init__(
        self,
        sidecars: sidecarpool.SidecarPool,
        router: routing.Router,
        suspicion: suspectisolation.SuspectIsolator,
        budget: retrybudget.RetryBudget,
        clock: clock_lib.Clock,
    ) -> None:
        self._sidecars = sidecars
        self._router = router
        self._suspicion = suspicion
        self._budget = budget
        self._clock = clock

    async def run(self, work: PendingChat) -> AsyncGenerator[ResponseEvent]:
        """Yields the answer's text in order, then its end.

        Raises:
            Refused: The answer cannot be completed.
        """
        progress = _Progress(self._clock.monotonic())
        self._budget.note_first_attempt()
        for number in range(1, _MAX_ATTEMPTS + 1):
            route = await self._route(work, progress)
            attempt = self._attempt(work, route, progress)
            try:
                async with contextlib.aclosing(attempt):
                    async for event in attempt:
                        yield event
                return
            except outcome.Refused as refused:
                self._log_failure(work, route, refused.refusal)
                progress.add_failure(route.runner, refused.refusal)
                if number == _MAX_ATTEMPTS or not self._may_go_on(
                    refused.refusal, progress
                ):
                    raise progress.final(refused.refusal) from None

    async def _route(
        self, work: PendingChat, progress: _Progress
    ) -> routing.Route:
        """Waits for a moment while no backend server can be reached.

        Between the stop of one sidecar and the start of its successor there
        may be none, and a caller that is turned away then would see the
        replacement.
        """
        wait = min(work.queue_time, _ROUTE_WAIT)
        limit_s = self._clock.monotonic() + wait.total_seconds()
        while True:
            try:
                return await self._choose(work, progress)
            except outcome.Refused as refused:
                if (
                    refused.refusal.reason not in _PASSING_REASONS
                    or self._clock.monotonic() >= limit_s
                ):
                    raise progress.final(refused.refusal) from None
            await self._clock.sleep(_ROUTE_POLL)
            progress.allow_all()

    def _may_go_on(self, refusal: outcome.Refusal, progress: _Progress) -> bool:
        """Model calls have no side effects: reason and budget decide."""
        if refusal.reason in _FINAL_REASONS:
            return False
        return self._budget.try_acquire(refusal, started=progress.has_text)

    async def _choose(
        self, work: PendingChat, progress: _Progress
    ) -> routing.Route:
        """Chooses a runner; a suspect's is the same for all entries."""
        excluded = progress.excluded
        suspect = self._suspicion.judge(
            work.item.workspace, work.chat, progress.verdict
        )
        progress.mark_suspect(suspect)
        item = self._suspicion.marked(work.item, suspect)
        if suspect:
            for runner in self._suspicion.runners(
                suspect, item.model, excluded
            ):
                others = self._suspicion.all_but(runner, item.model)
                with contextlib.suppress(outcome.Refused):
                    return await self._router.route(item, work.policy, others)
        return await self._router.route(item, work.policy, excluded)

    async def _attempt(
        self, work: PendingChat, route: routing.Route, progress: _Progress
    ) -> AsyncGenerator[ResponseEvent]:
        link = self._sidecars.link(route.runner)
        if link is None:
            raise outcome.Refused(refusals.peer_lost(outcome.Verdict.NOT_RUN))
        attempt_id = identity.new_id("att")
        channel = link.open_channel(attempt_id)
        ended = False
        try:
            await self._suspicion.tell(link, progress.suspect)
            await _send_or_refuse(
                link, self._dispatch(work, attempt_id, progress)
            )
            chunks = chunkreader.ChunkReader(link, channel).read()
            async with contextlib.aclosing(chunks):
                async for event in chunks:
                    self._note(event, work, route, progress)
                    ended = isinstance(event, ResponseEnd)
                    yield event
        except outcome.Refused as refused:
            ended = refused.refusal.reason is not outcome.Reason.PEER_LOST
            raise
        finally:
            link.close_channel(attempt_id)
            if not ended:
                await _cancel(link, attempt_id)

    def _note(
        self,
        event: ResponseEvent,
        work: PendingChat,
        route: routing.Route,
        progress: _Progress,
    ) -> None:
        if isinstance(event, TextDelta):
            if progress.add_text(event.text):
                first_s = self._clock.monotonic() - progress.started_s
                metrics.observe_first_token(work.item.rank, first_s)
            return
        usage = event.usage
        metrics.count_prompt(usage.prompt_tokens, usage.cached_tokens)
        metrics.count_hit(route.expected_cached_tokens, usage.cached_tokens)

    def _dispatch(
        self, work: PendingChat, attempt_id: str, progress: _Progress
    ) -> messages.Dispatch:
        return messages.Dispatch(
            attempt_id,
            dataclasses.replace(
                work.item, work_id=attempt_id, suspect=bool(progress.suspect)
            ),
            work.chat,
            work.queue_time.total_seconds(),
            progress.sent_text,
            work.priority,
        )

    def _log_failure(
        self,
        work: PendingChat,
        route: routing.Route,
        refusal: outcome.Refusal,
    ) -> None:
        _log.warning(
            logs.decision_line(
                "attempt_failed",
                {
                    "request": work.item.work_id,
                    "runner": route.runner,
                    "reason": refusal.reason.value,
                    "verdict": refusal.verdict.value,
                    "message": refusal.message,
                },
            )
        )


async def _send_or_refuse(
    link: client_lib.SidecarLink, message: messages.PeerMessage
) -> None:
    try:
        await link.send(message)
    except connection_lib.ConnectionLost:
        raise outcome.Refused(
            refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN)
        ) from None


async def _cancel(link: client_lib.SidecarLink, attempt_id: str) -> None:
    try:
        await link.send(messages.Cancel(attempt_id))
    except connection_lib.ConnectionLost:
        return
