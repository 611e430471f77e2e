"""Execution of plain-service calls, at most once per idempotency key."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime

import logbook

from hibiscusstile import backends, outcome, request, supervisor
from hibiscusstile import clock as clock_lib
from hibiscusstile.claims import decisions, entries
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.configuration import view as view_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages
from hibiscusstile.sidecar import asyncadmission, failures, ledgersync
from hibiscusstile.sidecar import revision as revision_lib

__all__ = ["CallRunner"]

_log = logbook.Logger("calls")

_INTERNAL_FAILURE = outcome.Refusal(
    outcome.Reason.INTERNAL,
    "internal error in the sidecar while it ran the call",
    outcome.Verdict.MAY_HAVE_RUN,
)
_PROGRESS_INTERVAL = datetime.timedelta(milliseconds=500)
_RUN_TIME_MARGIN = datetime.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningCall:
    connection: connection_lib.PeerConnection
    call: messages.Call
    revision: int


class CallRunner:
    """Runs the plain-service calls of a sidecar, each in its own task.

    Args:
        tasks: Supervisor of the calls' tasks.
        backend: The plain service. With an engine, all calls are refused.
        application: Application that the service belongs to, empty for none.
        admission_queue: Queue in which calls wait for the service.
        store: Store of the active configuration.
        ledger_sync: Decides which sidecar runs a keyed call; None without an
            application.
        clock: Measures deadlines and intervals.
    """

    def __init__(
        self,
        tasks: supervisor.Supervisor,
        backend: backends.Backend,
        application: str,
        admission_queue: asyncadmission.AsyncAdmissionQueue,
        store: store_lib.ConfigurationStore,
        ledger_sync: ledgersync.LedgerSync | None,
        clock: clock_lib.Clock,
    ) -> None:
        self._tasks = tasks
        self._backend = backend
        self._application = application
        self._admission_queue = admission_queue
        self._store = store
        self._ledger_sync = ledger_sync
        self._clock = clock
        self._calls: dict[str, _RunningCall] = {}

    @property
    def active_count(self) -> int:
        """Number of running calls plus records not known to be in the log."""
        unappended_records = (
            self._ledger_sync.unappended_records
            if self._ledger_sync is not None
            else 0
        )
        return len(self._calls) + unappended_records

    def start(
        self,
        connection: connection_lib.PeerConnection,
        call: messages.Call,
        revision: int,
    ) -> None:
        """Starts a call, unless its attempt id is already running.

        Args:
            connection: Connection on which the result is sent.
            call: The call.
            revision: Configuration revision of the sender.
        """
        if call.attempt_id in self._calls:
            return
        running_call = _RunningCall(connection, call, revision)
        self._calls[call.attempt_id] = running_call
        self._tasks.add(
            supervisor.ChildSpec(
                call.attempt_id,
                lambda: self._run(running_call),
                supervisor.Restart.TEMPORARY,
            )
        )

    async def run(self) -> None:
        """Sends keep-alive messages for running calls until cancelled."""
        while True:
            await self._clock.sleep(_PROGRESS_INTERVAL)
            await asyncio.gather(
                *(
                    _send_progress(running_call)
                    for running_call in self._calls.values()
                )
            )

    async def _run(self, running_call: _RunningCall) -> None:
        try:
            result = await self._execute(running_call)
            with contextlib.suppress(connection_lib.ConnectionLost):
                await running_call.connection.send(result)
        finally:
            del self._calls[running_call.call.attempt_id]

    async def _execute(
        self, running_call: _RunningCall
    ) -> messages.CallReply | messages.Failed:
        call = running_call.call
        try:
            await revision_lib.wait_for_revision(
                self._store, self._clock, running_call.revision
            )
            return await self._run_call(call)
        except outcome.Refused as refused:
            return failures.failed_message(call.attempt_id, refused.refusal)
        except Exception:
            # A programming error; the entry instance needs a final message.
            _log.exception("call_failed attempt={}", call.attempt_id)
            return failures.failed_message(call.attempt_id, _INTERNAL_FAILURE)

    async def _run_call(self, call: messages.Call) -> messages.CallReply:
        application = self._store.view.applications.get(call.call.application)
        if call.call.application != self._application:
            raise outcome.Refused(_not_served_refusal(call))
        if application is None:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.NOT_FOUND,
                    f"application {call.call.application!r} is not configured",
                )
            )
        if call.call.idempotency_key is not None:
            return await self._run_keyed_call(call, application)
        deadline_s = self._clock.monotonic() + call.deadline_s
        await self._admission_queue.admit(_work_item(call), deadline_s)
        try:
            reply = await self._forward(call, application)
        finally:
            self._admission_queue.finish(call.attempt_id, 1)
        return messages.CallReply(call.attempt_id, reply)

    async def _run_keyed_call(
        self, call: messages.Call, application: view_lib.Application
    ) -> messages.CallReply:
        """Runs a keyed call or returns the reply of the key's earlier run."""
        ledger_sync = self._require_ledger(call)
        digests = entries.digest_call(call.workspace, call.call)
        if not ledger_sync.ledger.has_claim(digests.key):
            refusal = self._admission_queue.queue.check(_work_item(call))
            if refusal is not None:
                raise outcome.Refused(refusal)
        start_timeout = datetime.timedelta(seconds=call.deadline_s)
        attempt = ledger_sync.ledger.new_attempt(
            digests,
            start_timeout,
            application.call_timeout + start_timeout + _RUN_TIME_MARGIN,
        )
        try:
            while True:
                decision = ledger_sync.ledger.decide(attempt)
                ledger_sync.notify_waiters()
                match decision:
                    case decisions.Wait():
                        await ledger_sync.wait_for_change(
                            digests.key, decision.deadline_s
                        )
                    case decisions.Start():
                        reply = await self._run_claimed_call(
                            call, application, attempt
                        )
                        return messages.CallReply(call.attempt_id, reply)
                    case decisions.Replay():
                        return messages.CallReply(
                            call.attempt_id, decision.reply, replayed=True
                        )
                    case decisions.ReplayFromLog():
                        reply = await self._read_reply(ledger_sync, decision)
                        return messages.CallReply(
                            call.attempt_id, reply, replayed=True
                        )
                    case outcome.Refusal():
                        raise outcome.Refused(decision)
        finally:
            ledger_sync.ledger.abandon(attempt)
            ledger_sync.notify_waiters()

    async def _run_claimed_call(
        self,
        call: messages.Call,
        application: view_lib.Application,
        attempt: decisions.CallAttempt,
    ) -> request.ServiceReply:
        ledger_sync = self._require_ledger(call)
        await self._admission_queue.admit(
            _work_item(call), attempt.start_deadline_s
        )
        verdict = outcome.Verdict.MAY_HAVE_RUN
        reply = None
        try:
            refusal = ledger_sync.ledger.start(attempt)
            if refusal is not None:
                raise outcome.Refused(refusal)
            reply = await self._forward(call, application)
            verdict = outcome.Verdict.RAN
        except outcome.Refused as refused:
            verdict = refused.refusal.verdict
            raise
        finally:
            if verdict is outcome.Verdict.NOT_RUN:
                ledger_sync.ledger.mark_unsent(attempt)
            else:
                ledger_sync.ledger.finish(attempt, verdict, reply)
            ledger_sync.notify_waiters()
            self._admission_queue.finish(call.attempt_id, 1)
        return reply

    async def _forward(
        self, call: messages.Call, application: view_lib.Application
    ) -> request.ServiceReply:
        if not isinstance(self._backend, backends.ServiceBackend):
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.NO_BACKEND,
                    "this sidecar's backend server is not a plain service",
                )
            )
        return await self._backend.call(
            call.call, timeout_s=application.call_timeout.total_seconds()
        )

    async def _read_reply(
        self,
        ledger_sync: ledgersync.LedgerSync,
        decision: decisions.ReplayFromLog,
    ) -> request.ServiceReply:
        reply = await ledger_sync.read_reply(decision.claim_id, decision.offset)
        if reply is None:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.LOG_UNAVAILABLE,
                    "an earlier call with this Idempotency-Key ran, "
                    "but its reply cannot be read from the log now",
                    outcome.Verdict.RAN,
                    datetime.timedelta(seconds=1),
                )
            )
        return reply

    def _require_ledger(self, call: messages.Call) -> ledgersync.LedgerSync:
        if self._ledger_sync is None:
            raise outcome.Refused(_not_served_refusal(call))
        return self._ledger_sync


async def _send_progress(running_call: _RunningCall) -> None:
    """Sends a keep-alive message, dropped if the peer does not read it."""
    progress = messages.Progress(running_call.call.attempt_id)
    with contextlib.suppress(connection_lib.ConnectionLost, TimeoutError):
        async with asyncio.timeout(_PROGRESS_INTERVAL.total_seconds()):
            await running_call.connection.send(progress)


def _not_served_refusal(call: messages.Call) -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.NO_BACKEND,
        f"this sidecar does not serve application {call.call.application!r}",
    )


def _work_item(call: messages.Call) -> request.WorkItem:
    return request.WorkItem(
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
