"""Relays one model request's answer, across attempts if need be."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
from collections.abc import AsyncIterator

import logbook
import xxhash

from hibiscusstile import clock as clock_lib
from hibiscusstile import identity, logs, metrics, outcome, request, retrybudget
from hibiscusstile.entry import fleet as fleet_lib
from hibiscusstile.entry import refusals, routing
from hibiscusstile.entry import suspicion as suspicion_lib
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages

__all__ = ["AnswerEnd", "AnswerText", "ChatWork", "Relay"]

_log = logbook.Logger("relay")

_MAX_ATTEMPTS = 4
_SILENCE = datetime.timedelta(milliseconds=1500)
_RECONNECT_WAIT = datetime.timedelta(seconds=1)
_ACK_EVERY = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ChatWork:
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


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerText:
    """A piece of the answer."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is whole."""

    finish_reason: str
    usage: messages.Usage


class _Progress:
    """What the caller has got so far, over all attempts."""

    def __init__(self) -> None:
        self.text: list[str] = []
        self.excluded: set[str] = set()
        self.first_token_sent = False
        self.verdict = outcome.Verdict.NOT_RUN
        self.suspect = ""

    @property
    def sent_text(self) -> str:
        """All text sent to the caller."""
        return "".join(self.text)


class Relay:
    """Carries requests to sidecars and answers back.

    Args:
        fleet: The links.
        router: Chooses runners.
        suspicion: Knows the requests that crash engines.
        budget: Limits retries.
        clock: Measures times to first token.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        router: routing.Router,
        suspicion: suspicion_lib.Suspicion,
        budget: retrybudget.RetryBudget,
        clock: clock_lib.Clock,
    ) -> None:
        self._fleet = fleet
        self._router = router
        self._suspicion = suspicion
        self._budget = budget
        self._clock = clock

    async def run(
        self, work: ChatWork
    ) -> AsyncIterator[AnswerText | AnswerEnd]:
        """Yields the answer's text in order, then its end.

        Raises:
            Refused: The answer cannot be completed.
        """
        started_s = self._clock.monotonic()
        progress = _Progress()
        self._budget.note_first()
        for number in range(1, _MAX_ATTEMPTS + 1):
            try:
                route = await self._route(work, progress)
            except outcome.Refused as refused:
                raise _combined(refused, progress) from None
            try:
                async for event in self._attempt(work, route, progress):
                    if not progress.first_token_sent:
                        progress.first_token_sent = True
                        metrics.observe_first_token(
                            work.item.rank,
                            self._clock.monotonic() - started_s,
                        )
                    yield event
                return
            except outcome.Refused as refused:
                refusal = refused.refusal
                self._log_failure(work, route, refusal)
                if refusal.verdict is not outcome.Verdict.NOT_RUN:
                    progress.verdict = refusal.verdict
                if number == _MAX_ATTEMPTS or not self._budget.take(
                    refusal, started=progress.first_token_sent
                ):
                    raise _combined(refused, progress) from None
                progress.excluded.add(route.runner)

    async def _route(
        self, work: ChatWork, progress: _Progress
    ) -> routing.Route:
        """Chooses a runner; a suspect's is the same for all entries."""
        excluded = frozenset(progress.excluded)
        suspect = self._suspicion.judge(
            work.item.workspace, work.chat, progress.verdict
        )
        progress.suspect = suspect
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
        self, work: ChatWork, route: routing.Route, progress: _Progress
    ) -> AsyncIterator[AnswerText | AnswerEnd]:
        link = self._fleet.link(route.runner)
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
            reader = _ChunkReader(link, channel)
            async for event in reader.read():
                if isinstance(event, AnswerText):
                    progress.text.append(event.text)
                else:
                    ended = True
                    metrics.count_prompt(
                        event.usage.prompt_tokens, event.usage.cached_tokens
                    )
                    metrics.count_hit(
                        route.expected_cached_tokens,
                        event.usage.cached_tokens,
                    )
                yield event
        finally:
            link.close_channel(attempt_id)
            if not ended:
                await _cancel(link, attempt_id)

    def _dispatch(
        self, work: ChatWork, attempt_id: str, progress: _Progress
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
        work: ChatWork,
        route: routing.Route,
        refusal: outcome.Refusal,
    ) -> None:
        _log.warn(
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


class _ChunkReader:
    """Reads one attempt's chunks in order, resuming a cut connection."""

    def __init__(
        self,
        link: client_lib.SidecarLink,
        channel: client_lib.AttemptChannel,
    ) -> None:
        self._link = link
        self._channel = channel
        self._next_number = 0
        self._digest = xxhash.xxh3_64()

    async def read(self) -> AsyncIterator[AnswerText | AnswerEnd]:
        """Yields texts in order, then the end.

        Raises:
            Refused: The attempt failed or its sidecar is lost.
        """
        while True:
            message = await self._receive()
            match message:
                case messages.Chunk() if message.number == self._next_number:
                    self._next_number += 1
                    self._digest.update(message.text.encode())
                    if self._next_number % _ACK_EVERY == 0:
                        await self._acknowledge()
                    yield AnswerText(message.text)
                case messages.Chunk() if message.number > self._next_number:
                    await self._resume()
                case messages.End():
                    self._check_end(message)
                    yield AnswerEnd(message.finish_reason, message.usage)
                    return
                case messages.Failed():
                    raise outcome.Refused(refusals.refusal_of(message))
                case _:
                    continue

    async def _receive(self) -> messages.PeerMessage:
        while True:
            try:
                return await self._channel.receive(_SILENCE.total_seconds())
            except client_lib.ChannelLost:
                await self._resume()
            except TimeoutError:
                raise outcome.Refused(
                    refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN)
                ) from None

    async def _resume(self) -> None:
        self._channel = self._link.open_channel(self._channel.attempt_id)
        try:
            async with asyncio.timeout(_RECONNECT_WAIT.total_seconds()):
                await self._link.wait_ready()
            await self._link.send(
                messages.Resume(self._channel.attempt_id, self._next_number)
            )
        except (TimeoutError, connection_lib.ConnectionLost):
            raise outcome.Refused(
                refusals.peer_lost(outcome.Verdict.MAY_HAVE_RUN)
            ) from None

    async def _acknowledge(self) -> None:
        try:
            await self._link.send(
                messages.Ack(self._channel.attempt_id, self._next_number)
            )
        except connection_lib.ConnectionLost:
            return

    def _check_end(self, end: messages.End) -> None:
        if (end.chunks, end.digest) != (
            self._next_number,
            self._digest.intdigest(),
        ):
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.INTERNAL,
                    "the answer's digest does not match its chunks",
                    outcome.Verdict.RAN,
                )
            )


def _combined(refused: outcome.Refused, progress: _Progress) -> outcome.Refused:
    """Returns a refusal whose verdict holds for all attempts."""
    refusal = refused.refusal
    if refusal.verdict is outcome.Verdict.NOT_RUN:
        refusal = dataclasses.replace(refusal, verdict=progress.verdict)
    return outcome.Refused(refusal)


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
