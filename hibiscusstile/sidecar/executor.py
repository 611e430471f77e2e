"""Execution of attempts on the local backend server."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
from collections.abc import Awaitable, Callable

import logbook

from hibiscusstile import (
    backends,
    cacheview,
    logs,
    outcome,
    supervisor,
    suspects,
)
from hibiscusstile import bidder as bidder_lib
from hibiscusstile import clock as clock_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages
from hibiscusstile.sidecar import (
    asyncadmission,
    attemptstream,
    cachescopes,
    failures,
    suspectbroadcast,
    suspectscreen,
)
from hibiscusstile.sidecar import revision as revision_lib
from hibiscusstile.sidecar.runningattempt import RunningAttempt

__all__ = ["AttemptExecutor"]

_log = logbook.Logger("sidecar")

# Time in which an entry instance can reconnect for the end of an attempt.
_ENDED_ATTEMPT_RETENTION = datetime.timedelta(seconds=5)
_MAINTENANCE_INTERVAL = datetime.timedelta(milliseconds=200)


class AttemptExecutor:
    """Runs the attempts of a sidecar, each in its own task.

    Args:
        tasks: Supervisor of the attempts' tasks.
        backend: The engine or plain service.
        admission_queue: Queue in which attempts wait for the engine.
        cache_view: Prefixes that the engine has in its cache.
        bidder: Notified of attempts that are dispatched, started and ended.
        scope_resolver: Resolves the cache scopes of requests.
        store: Store of the active configuration.
        suspect_broadcaster: Exchanges facts about requests that crash engines.
        crash_location: Zone and peer id under which crashes are reported.
        probe_engine: Checks the engine's health immediately; takes whether a
            stream broke on its own and not through `fail_running`.
        clock: Measures deadlines and intervals.
    """

    def __init__(
        self,
        tasks: supervisor.Supervisor,
        backend: backends.Backend,
        admission_queue: asyncadmission.AsyncAdmissionQueue,
        cache_view: cacheview.CacheView,
        bidder: bidder_lib.Bidder,
        scope_resolver: cachescopes.CacheScopeResolver,
        store: store_lib.ConfigurationStore,
        suspect_broadcaster: suspectbroadcast.SuspectBroadcaster,
        crash_location: tuple[str, str],
        probe_engine: Callable[[bool], Awaitable[None]],
        clock: clock_lib.Clock,
    ) -> None:
        self._tasks = tasks
        self._backend = backend
        self._admission_queue = admission_queue
        self._cache_view = cache_view
        self._bidder = bidder
        self._scope_resolver = scope_resolver
        self._store = store
        self._suspect_broadcaster = suspect_broadcaster
        self._suspect_screen = suspectscreen.SuspectScreen(suspect_broadcaster)
        self._crash_location = crash_location
        self._probe_engine = probe_engine
        self._clock = clock
        self._attempts: dict[str, RunningAttempt] = {}

    @property
    def active_count(self) -> int:
        """Number of attempts that have not ended."""
        return sum(not attempt.ended for attempt in self._attempts.values())

    def start(
        self,
        connection: connection_lib.PeerConnection,
        dispatch: messages.Dispatch,
        revision: int,
    ) -> None:
        """Starts an attempt, unless its id is already known.

        Args:
            connection: Connection to the entry instance.
            dispatch: The attempt.
            revision: Configuration revision of the sender.
        """
        if dispatch.attempt_id in self._attempts:
            return
        stream = attemptstream.AttemptStream(
            dispatch.attempt_id, connection, self._clock
        )
        attempt = RunningAttempt(stream, dispatch)
        self._attempts[dispatch.attempt_id] = attempt
        self._tasks.add(
            supervisor.ChildSpec(
                dispatch.attempt_id,
                lambda: self._run(attempt, revision),
                supervisor.Restart.TEMPORARY,
            )
        )

    async def resume(
        self,
        connection: connection_lib.PeerConnection,
        resume: messages.Resume,
    ) -> None:
        """Resumes the stream of an attempt on a new connection."""
        attempt = self._attempts.get(resume.attempt_id)
        if attempt is None:
            await connection.send(
                messages.Failed(
                    resume.attempt_id,
                    outcome.Reason.NOT_FOUND,
                    "this sidecar does not know the attempt",
                    outcome.Verdict.MAY_HAVE_RUN,
                )
            )
            return
        await attempt.stream.attach(connection, resume.next_number)

    def acknowledge(self, ack: messages.Ack) -> None:
        """Drops chunks that the entry instance reports as forwarded."""
        attempt = self._attempts.get(ack.attempt_id)
        if attempt is not None:
            attempt.stream.acknowledge(ack.next_number)

    def cancel(self, attempt_id: str) -> None:
        """Requests cancellation of an attempt, without waiting for it.

        The attempt's task also cancels it at the engine.
        """
        self._tasks.cancel(attempt_id)

    def fail_running(
        self,
        refusal: outcome.Refusal,
        incarnation: str = "",
        silent_since_s: float | None = None,
    ) -> None:
        """Immediately fails the attempts that were sent to the engine.

        Args:
            refusal: Refusal sent to their entry instances.
            incarnation: Current incarnation of the engine if it has already
                restarted. Only attempts known to have run on an earlier
                incarnation fail in that case.
            silent_since_s: Monotonic time since which the engine is silent,
                None if it is known to have crashed. Only attempts that have
                waited for the engine since then fail.
        """
        for attempt in self._attempts.values():
            if attempt.is_affected(incarnation, silent_since_s):
                attempt.fail(refusal)

    def detach(self, connection: connection_lib.PeerConnection) -> None:
        """Detaches all streams from a connection that has ended."""
        for attempt in self._attempts.values():
            attempt.stream.detach(connection)

    async def run(self) -> None:
        """Cancels orphaned attempts and sends keep-alives until cancelled."""
        while True:
            await self._clock.sleep(_MAINTENANCE_INTERVAL)
            for attempt_id, attempt in list(self._attempts.items()):
                if attempt.stream.orphaned:
                    self.cancel(attempt_id)
            await asyncio.gather(
                *(
                    attempt.stream.send_progress_if_idle()
                    for attempt in self._attempts.values()
                    if not attempt.ended
                )
            )

    async def _run(self, attempt: RunningAttempt, revision: int) -> None:
        try:
            await self._execute(attempt, revision)
            attempt.ended = True
            await self._clock.sleep(_ENDED_ATTEMPT_RETENTION)
        finally:
            del self._attempts[attempt.dispatch.attempt_id]

    async def _execute(self, attempt: RunningAttempt, revision: int) -> None:
        dispatch = attempt.dispatch
        try:
            await revision_lib.wait_for_revision(
                self._store, self._clock, revision
            )
            await self._generate(attempt, dispatch)
            await self._suspect_screen.clear(dispatch)
        except outcome.Refused as refused:
            await attempt.stream.send_failed(
                failures.failed_message(dispatch.attempt_id, refused.refusal)
            )
        except Exception:
            # A programming error; the entry instance needs a final message.
            _log.exception("attempt_failed attempt={}", dispatch.attempt_id)
            await attempt.stream.send_failed(
                failures.failed_message(
                    dispatch.attempt_id, failures.INTERNAL_FAILURE
                )
            )

    async def _generate(
        self,
        attempt: RunningAttempt,
        dispatch: messages.Dispatch,
    ) -> None:
        generation = self._build_generation_request(dispatch)
        deadline_s = self._clock.monotonic() + dispatch.deadline_s
        work = self._suspect_screen.screen(dispatch)
        cached_tokens = self._cache_view.cached_tokens(
            generation.cache_salt, work.levels
        )
        await self._admission_queue.admit(work, deadline_s, cached_tokens)
        # The engine may have loaded other weights during the wait.
        generation = self._with_priority(
            self._build_generation_request(dispatch), work.work_id
        )
        self._bidder.note_dispatched(work, generation.cache_salt)
        try:
            # The same request may have crashed another engine meanwhile.
            self._suspect_screen.screen(dispatch)
            attempt.incarnation = self._cache_view.incarnation
            async with asyncio.timeout(None) as attempt.timeout_scope:
                attempt.engine_wait_started_s = self._clock.monotonic()
                async for event in self._require_engine().generate(generation):
                    attempt.note_event(event)
                    await self._handle_event(attempt, generation, event)
                    attempt.engine_wait_started_s = self._clock.monotonic()
        except TimeoutError:
            if attempt.failure is None:
                raise
            await self._handle_broken_stream(attempt)
            raise outcome.Refused(attempt.failure) from None
        except outcome.Refused as refused:
            if refused.refusal.verdict is outcome.Verdict.MAY_HAVE_RUN:
                await self._handle_broken_stream(attempt)
            raise
        except asyncio.CancelledError:
            await self._cancel_at_engine(dispatch.attempt_id)
            raise
        finally:
            attempt.timeout_scope = None
            attempt.engine_wait_started_s = None
            self._bidder.note_ended(dispatch.work.work_id)
            self._admission_queue.finish(
                dispatch.work.work_id, attempt.served_tokens
            )

    async def _handle_event(
        self,
        attempt: RunningAttempt,
        generation: backends.GenerationRequest,
        event: backends.EngineEvent,
    ) -> None:
        """Sends an event to the entry instance, at the pace it reads."""
        match event:
            case backends.EngineStarted():
                self._admission_queue.note_started(
                    attempt.dispatch.work.work_id
                )
                self._record_start(generation, attempt.dispatch, event)
                await attempt.stream.send_started(event.cached_tokens)
            case backends.EngineText():
                await attempt.stream.send_text(event.text)
            case backends.EngineEnd():
                await attempt.stream.send_end(event)

    async def _handle_broken_stream(self, attempt: RunningAttempt) -> None:
        """Checks for an engine crash after a stream broke.

        This completes before the failure is reported and before the next
        request starts. Otherwise the entry instance could retry the request on
        another engine, or the next suspect could start on this one and be
        charged with the same crash.
        """
        attempt.stream_broken = True
        attempt.timeout_scope = None
        await self._probe_engine(attempt.failure is None)

    async def note_crash(self, incarnation: str) -> None:
        """Charges an engine crash to the attempts that were running on it.

        This includes attempts whose stream broke shortly before. Only the
        first call for a crash has an effect. Entry instances receive the
        charge before the failures of their attempts.

        Args:
            incarnation: Incarnation of the engine that crashed.
        """
        fingerprints = [
            suspects.fingerprint(
                attempt.dispatch.work.workspace, attempt.dispatch.chat
            )
            for attempt in self._attempts.values()
            if attempt.incarnation == incarnation
            and (attempt.stream_broken or not attempt.ended)
        ]
        engine = suspects.CrashedEngine(*self._crash_location, incarnation)
        await self._suspect_broadcaster.note_crash(engine, fingerprints)

    def _build_generation_request(
        self, dispatch: messages.Dispatch
    ) -> backends.GenerationRequest:
        scope = self._scope_resolver.resolve(dispatch.work)
        if scope is None:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.NOT_FOUND,
                    f"model {dispatch.chat.model!r} is not configured",
                )
            )
        return backends.GenerationRequest(
            dispatch.attempt_id,
            dispatch.chat,
            scope.weights_version,
            dispatch.priority,
            scope.salt,
            dispatch.resume_text,
            dispatch.work.levels,
        )

    def _with_priority(
        self, generation: backends.GenerationRequest, work_id: str
    ) -> backends.GenerationRequest:
        priority = self._admission_queue.queue.priority(work_id)
        if priority is None:
            return generation
        return dataclasses.replace(generation, priority=priority)

    def _require_engine(self) -> backends.EngineBackend:
        if isinstance(self._backend, backends.EngineBackend):
            return self._backend
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.NO_BACKEND,
                "this sidecar's backend server is not an engine",
            )
        )

    async def _cancel_at_engine(self, attempt_id: str) -> None:
        await self._require_engine().cancel(attempt_id)

    def _record_start(
        self,
        generation: backends.GenerationRequest,
        dispatch: messages.Dispatch,
        event: backends.EngineStarted,
    ) -> None:
        self._bidder.note_first_token(
            dispatch.work.work_id,
            dispatch.work.prompt_tokens - event.cached_tokens,
        )
        self._cache_view.admit(
            event.incarnation or self._cache_view.incarnation,
            generation.cache_salt,
            dispatch.work.levels,
        )
        _log.info(
            logs.format_event(
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
