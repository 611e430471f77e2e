"""Runs attempts at the local backend server, one task each."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime

import logbook

from hibiscusstile import (
    backends,
    cacheview,
    identity,
    logs,
    outcome,
    request,
    supervisor,
)
from hibiscusstile import bidder as bidder_lib
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages
from hibiscusstile.sidecar import attempt as attempt_lib
from hibiscusstile.sidecar import turns as turns_lib

__all__ = ["Executor"]

_log = logbook.Logger("sidecar")

_KEEP_ENDED = datetime.timedelta(seconds=5)
_WATCH_INTERVAL = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(slots=True)
class _Running:
    stream: attempt_lib.AttemptStream
    work_id: str
    ended: bool = False


class Executor:
    """Owns the attempts of a sidecar.

    Args:
        tasks: Supervisor that owns the attempts' tasks.
        backend: The engine or service.
        turns: The admission queue's turns.
        view: What the engine holds in cache.
        bidder: Told what the engine is handed and has begun.
        store: The configuration in force.
        clock: Measures time.
    """

    def __init__(
        self,
        tasks: supervisor.Supervisor,
        backend: backends.Backend,
        turns: turns_lib.Turns,
        view: cacheview.CacheView,
        bidder: bidder_lib.Bidder,
        store: store_lib.ConfigurationStore,
        clock: clock_lib.Clock,
    ) -> None:
        self._tasks = tasks
        self._backend = backend
        self._turns = turns
        self._view = view
        self._bidder = bidder
        self._store = store
        self._clock = clock
        self._attempts: dict[str, _Running] = {}

    @property
    def active(self) -> int:
        """Attempts that have not ended."""
        return sum(not each.ended for each in self._attempts.values())

    def start(
        self,
        connection: connection_lib.PeerConnection,
        dispatch: messages.Dispatch,
    ) -> None:
        """Starts an attempt; one that is known already is ignored."""
        if dispatch.attempt_id in self._attempts:
            return
        stream = attempt_lib.AttemptStream(
            dispatch.attempt_id, connection, self._clock
        )
        running = _Running(stream, dispatch.work.work_id)
        self._attempts[dispatch.attempt_id] = running
        self._tasks.add(
            supervisor.ChildSpec(
                dispatch.attempt_id,
                lambda: self._run(running, dispatch),
                supervisor.Restart.TEMPORARY,
            )
        )

    def start_call(
        self,
        connection: connection_lib.PeerConnection,
        call: messages.Call,
    ) -> None:
        """Starts a plain-service call."""
        self._tasks.add(
            supervisor.ChildSpec(
                call.attempt_id,
                lambda: self._run_call(connection, call),
                supervisor.Restart.TEMPORARY,
            )
        )

    async def resume(
        self,
        connection: connection_lib.PeerConnection,
        resume: messages.Resume,
    ) -> None:
        """Takes an attempt up again on a new connection."""
        running = self._attempts.get(resume.attempt_id)
        if running is None:
            await connection.send(
                messages.Failed(
                    resume.attempt_id,
                    outcome.Reason.NOT_FOUND,
                    "the attempt is not known here",
                    outcome.Verdict.MAY_HAVE_RUN,
                )
            )
            return
        await running.stream.attach(connection, resume.next_number)

    def acknowledge(self, ack: messages.Ack) -> None:
        """Forgets chunks that the entry has passed on."""
        running = self._attempts.get(ack.attempt_id)
        if running is not None:
            running.stream.acknowledge(ack.next_number)

    async def cancel(self, attempt_id: str) -> None:
        """Stops an attempt, at the engine too."""
        await self._tasks.remove(attempt_id)
        self._attempts.pop(attempt_id, None)

    def detach(self, connection: connection_lib.PeerConnection) -> None:
        """Notes that a connection has ended."""
        for running in self._attempts.values():
            running.stream.detach(connection)

    async def run(self) -> None:
        """Watches over the attempts until cancelled.

        Attempts whose entry is gone are cancelled; quiet ones tell their
        entry that they are alive.
        """
        while True:
            await self._clock.sleep(_WATCH_INTERVAL)
            for attempt_id, running in list(self._attempts.items()):
                if running.stream.orphaned:
                    await self.cancel(attempt_id)
                elif not running.ended:
                    await running.stream.send_progress_if_idle()

    async def _run(
        self, running: _Running, dispatch: messages.Dispatch
    ) -> None:
        try:
            await self._generate(running, dispatch)
        except outcome.Refused as refused:
            await running.stream.send_failed(
                failed_message(dispatch.attempt_id, refused.refusal)
            )
        running.ended = True
        await self._clock.sleep(_KEEP_ENDED)
        self._attempts.pop(dispatch.attempt_id, None)

    async def _generate(
        self, running: _Running, dispatch: messages.Dispatch
    ) -> None:
        order = self._order(dispatch)
        deadline_s = self._clock.monotonic() + dispatch.deadline_s
        work = dispatch.work
        cached = self._view.cached_tokens(order.cache_salt, work.levels)
        await self._turns.wait(work, deadline_s, cached)
        order = self._with_priority(order, work.work_id)
        self._bidder.note_handed(work, order.cache_salt)
        served = 0
        try:
            async for event in self._engine().generate(order):
                if isinstance(event, backends.EngineStarted):
                    served += dispatch.work.prompt_tokens - event.cached_tokens
                    self._turns.note_started(work.work_id)
                    self._note_start(order, dispatch, event)
                    await running.stream.send_started(event.cached_tokens)
                elif isinstance(event, backends.EngineText):
                    served += 1
                    await running.stream.send_text(event.text)
                else:
                    await running.stream.send_end(event)
        except asyncio.CancelledError:
            await self._cancel_at_engine(dispatch.attempt_id)
            raise
        finally:
            self._bidder.note_ended(dispatch.work.work_id)
            self._turns.finish(dispatch.work.work_id, served)

    def _order(self, dispatch: messages.Dispatch) -> backends.GenerateOrder:
        model = self._store.view.models.get(dispatch.chat.model)
        if model is None:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.NOT_FOUND,
                    f"model {dispatch.chat.model!r} is not configured",
                )
            )
        scope = identity.CacheScope(
            dispatch.work.workspace,
            dispatch.work.model,
            dispatch.work.adapter,
            model.weights_version,
        )
        return backends.GenerateOrder(
            dispatch.attempt_id,
            dispatch.chat,
            model.weights_version,
            dispatch.priority,
            scope.salt,
            dispatch.resume_text,
        )

    def _with_priority(
        self, order: backends.GenerateOrder, work_id: str
    ) -> backends.GenerateOrder:
        priority = self._turns.queue.priority(work_id)
        if priority is None:
            return order
        return dataclasses.replace(order, priority=priority)

    def _engine(self) -> backends.EngineBackend:
        if isinstance(self._backend, backends.EngineBackend):
            return self._backend
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.NO_BACKEND, "no engine runs beside this sidecar"
            )
        )

    def _service(self) -> backends.ServiceBackend:
        if isinstance(self._backend, backends.ServiceBackend):
            return self._backend
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.NO_BACKEND,
                "no plain service runs beside this sidecar",
            )
        )

    async def _cancel_at_engine(self, attempt_id: str) -> None:
        await self._engine().cancel(attempt_id)

    def _note_start(
        self,
        order: backends.GenerateOrder,
        dispatch: messages.Dispatch,
        event: backends.EngineStarted,
    ) -> None:
        self._bidder.note_started(
            dispatch.work.work_id,
            dispatch.work.prompt_tokens - event.cached_tokens,
        )
        self._view.admit(
            self._view.incarnation, order.cache_salt, dispatch.work.levels
        )
        _log.info(
            logs.decision_line(
                "attempt_started",
                {
                    "request": dispatch.work.work_id,
                    "attempt": dispatch.attempt_id,
                    "workspace": dispatch.work.workspace,
                    "rank": dispatch.work.rank,
                    "cached_tokens": event.cached_tokens,
                    "prompt_tokens": dispatch.work.prompt_tokens,
                    "revision": self._store.revision,
                },
            )
        )

    async def _call(self, call: messages.Call) -> request.ServiceReply:
        service = self._service()
        application = self._store.view.applications.get(call.call.application)
        if application is None:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.NOT_FOUND,
                    f"application {call.call.application!r} is not configured",
                )
            )
        work = request.WorkItem(
            call.attempt_id,
            call.workspace,
            call.caller,
            call.rank,
            model="",
            adapter="",
            levels=(),
            prompt_tokens=1,
            max_tokens=0,
        )
        await self._turns.wait(work, self._clock.monotonic() + call.deadline_s)
        try:
            return await service.call(
                call.call, timeout_s=application.call_timeout.total_seconds()
            )
        finally:
            self._turns.finish(work.work_id, 1)

    async def _run_call(
        self,
        connection: connection_lib.PeerConnection,
        call: messages.Call,
    ) -> None:
        try:
            reply = await self._call(call)
            answer: messages.PeerMessage = messages.CallReply(
                call.attempt_id, reply
            )
        except outcome.Refused as refused:
            answer = failed_message(call.attempt_id, refused.refusal)
        with contextlib.suppress(connection_lib.ConnectionLost):
            await connection.send(answer)


def failed_message(
    attempt_id: str, refusal: outcome.Refusal
) -> messages.Failed:
    """Returns the message for a refusal."""
    retry = refusal.retry_after
    return messages.Failed(
        attempt_id,
        refusal.reason,
        refusal.message,
        refusal.verdict,
        None if retry is None else retry.total_seconds(),
    )
