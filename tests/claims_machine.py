"""Hypothesis state machine of three ledgers sharing a log and a service."""

from __future__ import annotations

import datetime
from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st

from hibiscusstile import outcome, platform
from hibiscusstile.claims import (
    decisions,
    encoding,
    entries,
    ledger,
    ledgerlimits,
)
from tests import builders, claims_checks
from tests.builders import claims

__all__ = ["ClaimsMachine"]

_SLOTS = st.integers(0, 2)
_KEYS = st.sampled_from(["k1", "k1", "k1", "k2"])
_PICK = st.integers(0, 50)
_DAY_S = 24 * 3600.0
_LOG_RETENTION = datetime.timedelta(hours=25)
_START_TIMEOUT = datetime.timedelta(seconds=5)
_RUN_TIMEOUT = datetime.timedelta(seconds=38)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Interleaves the steps of three sidecars with crashes and delays.

    Every step of every task may be the last one, be delayed or, if it is an
    append, take effect twice.
    """

    ledger_class = ledger.Ledger

    def __init__(self) -> None:
        super().__init__()
        self.clock = builders.ManualClock()
        self.log = builders.InMemoryStream(self.clock)
        self.delayed_payloads: list[bytes] = []
        self.calls: list[claims.ClientCall] = []
        self.runs: list[claims.ServiceRun] = []
        self.process_starts = 0
        self.sidecars: list[claims.SidecarState | None] = [None, None, None]
        for slot in range(3):
            self.restart(slot)

    # Process lifecycle.

    @stateful.rule(slot=_SLOTS)
    def restart(self, slot: int) -> None:
        """Kills the sidecar's process if it runs and starts a new one."""
        self.crash(slot)
        self.process_starts += 1
        self.sidecars[slot] = claims.SidecarState(
            self.ledger_class(
                f"s{slot}",
                f"inc-{self.process_starts}",
                self.clock,
                ledgerlimits.LedgerLimits(),
            )
        )

    @stateful.rule(slot=_SLOTS)
    def crash(self, slot: int) -> None:
        """Ends a process; an append it sent may still take effect."""
        sidecar = self.sidecars[slot]
        if sidecar is not None and sidecar.batch and not sidecar.is_appended:
            self.delayed_payloads.append(encoding.encode(sidecar.batch.records))
        self.sidecars[slot] = None
        for call in self._unfinished_calls(slot):
            call.state = "ended"
            call.verdict = call.verdict or outcome.Verdict.MAY_HAVE_RUN

    @stateful.rule(slot=_SLOTS, frozen=st.booleans())
    def freeze(self, slot: int, frozen: bool) -> None:
        sidecar = self.sidecars[slot]
        if sidecar is not None:
            sidecar.frozen = frozen

    # Log.

    @stateful.rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.log.down = down

    @stateful.rule(slot=_SLOTS, reads=st.booleans())
    def exchange(self, slot: int, reads: bool) -> None:
        """Appends a batch and reads the log without faults."""
        self.send_batch(slot)
        self.land_batch(slot)
        self.answer_batch(slot, "ok")
        if reads:
            self.read(slot, 20)

    @stateful.rule(slot=_SLOTS)
    def send_batch(self, slot: int) -> None:
        sidecar = self._unsuspended(slot)
        if sidecar is not None and sidecar.batch is None:
            sidecar.batch = sidecar.ledger.outbox.next_batch()
            sidecar.is_appended = False

    @stateful.precondition(lambda self: self._has_batch())
    @stateful.rule(slot=_SLOTS)
    def land_batch(self, slot: int) -> None:
        sidecar = self.sidecars[slot]
        if self.log.down or sidecar is None or sidecar.batch is None:
            return
        if not sidecar.is_appended:
            self.log.append(encoding.encode(sidecar.batch.records))
            sidecar.is_appended = True

    @stateful.precondition(lambda self: self._has_batch())
    @stateful.rule(
        slot=_SLOTS, answer=st.sampled_from(["ok", "lost", "refused"])
    )
    def answer_batch(self, slot: int, answer: str) -> None:
        """Returns the append; with an unknown result it may apply later."""
        sidecar = self._unsuspended(slot)
        if sidecar is None or sidecar.batch is None:
            return
        result: Any = platform.AppendUnknown("lost")
        if sidecar.is_appended and answer == "ok":
            result = platform.Appended(0)
        elif not sidecar.is_appended and answer == "refused":
            result = platform.AppendRefused("full")
        elif not sidecar.is_appended:
            self.delayed_payloads.append(encoding.encode(sidecar.batch.records))
        sidecar.ledger.handle_append_result(sidecar.batch, result)
        sidecar.batch = None

    @stateful.precondition(lambda self: self.delayed_payloads)
    @stateful.rule(pick=_PICK, again=st.booleans())
    def land_late(self, pick: int, again: bool) -> None:
        """Applies an append with an unknown result, possibly twice."""
        payload = self.delayed_payloads[pick % len(self.delayed_payloads)]
        self.log.append(payload)
        if not again:
            self.delayed_payloads.remove(payload)

    @stateful.rule(slot=_SLOTS, limit=st.integers(1, 20))
    def read(self, slot: int, limit: int) -> None:
        sidecar = self._unsuspended(slot)
        if sidecar is None:
            return
        if self.log.down:
            sidecar.ledger.mark_unreadable()
            return
        sidecar.ledger.apply(self.log.read(sidecar.ledger.next_offset, limit))

    @stateful.rule(
        seconds=st.sampled_from([0.2, 0.2, 0.2, 1.0, 3.0, 40.0, 3600.0])
    )
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.log.drop_older_than(_LOG_RETENTION)

    @stateful.rule()
    def pass_a_day(self) -> None:
        """Lets all keys expire and drops delayed appends.

        Skipped while a process may be suspended between its last check and
        the first byte it sends.
        """
        if not any(call.state == "checked" for call in self.calls):
            self.delayed_payloads.clear()
            self.pass_time(_DAY_S + 1800.0)

    # Clients and the service.

    @stateful.rule(slot=_SLOTS, key=_KEYS, body=st.sampled_from([b"5", b"9"]))
    def send(self, slot: int, key: str, body: bytes) -> None:
        sidecar = self._unsuspended(slot)
        if sidecar is None:
            return
        digests = entries.digest_call(
            "growers", builders.service_call(key, body=body)
        )
        attempt = sidecar.ledger.new_attempt(
            digests, _START_TIMEOUT, _RUN_TIMEOUT
        )
        call = claims.ClientCall(key, body, slot, attempt)
        self.calls.append(call)
        self._decide(call)

    @stateful.precondition(lambda self: self._in_state("deciding"))
    @stateful.rule(pick=_PICK)
    def cut(self, pick: int) -> None:
        """Breaks a client's connection while the sidecar goes on."""
        waiting = [s for s in self.calls if s.verdict is None]
        if waiting:
            waiting[pick % len(waiting)].verdict = outcome.Verdict.MAY_HAVE_RUN

    @stateful.precondition(lambda self: self._in_state("started", "checked"))
    @stateful.rule(pick=_PICK)
    def step_started(self, pick: int) -> None:
        self.step(pick)

    @stateful.precondition(
        lambda self: self._in_state("deciding", "started", "checked")
    )
    @stateful.rule(pick=_PICK)
    def step(self, pick: int) -> None:
        """Advances one call by a step."""
        ready = [
            call
            for slot in range(3)
            if self._unsuspended(slot)
            for call in self._unfinished_calls(slot)
        ]
        if not ready:
            return
        call = ready[pick % len(ready)]
        if call.state == "deciding":
            self._decide(call)
        elif call.state == "started":
            self._start(call)
        elif call.state == "checked":
            self._record_run(call)

    @stateful.precondition(lambda self: self._in_state("running"))
    @stateful.rule(
        pick=_PICK,
        size=st.sampled_from([0, 5000]),
        end=st.sampled_from(["answer", "answer", "lost"]),
    )
    def service_ends(self, pick: int, size: int, end: str) -> None:
        running = [
            call
            for call in self.calls
            if call.state == "running" and self._unsuspended(call.slot)
        ]
        if not running:
            return
        call = running[pick % len(running)]
        run = call.run
        assert run is not None
        sidecar = self.sidecars[call.slot]
        assert sidecar is not None
        if end == "lost":
            sidecar.ledger.finish(call.attempt, outcome.Verdict.MAY_HAVE_RUN)
            self._report(call, outcome.Verdict.MAY_HAVE_RUN)
            return
        run.reply = builders.service_reply(len(self.runs), size)
        sidecar.ledger.finish(call.attempt, outcome.Verdict.RAN, run.reply)
        self._report(call, outcome.Verdict.RAN)

    @stateful.precondition(lambda self: self._in_state("checked"))
    @stateful.rule(pick=_PICK)
    def service_is_down(self, pick: int) -> None:
        """Refuses the connection before the first byte is sent."""
        checked = [
            call
            for call in self.calls
            if call.state == "checked" and self._unsuspended(call.slot)
        ]
        if not checked:
            return
        call = checked[pick % len(checked)]
        sidecar = self.sidecars[call.slot]
        assert sidecar is not None
        sidecar.ledger.mark_unsent(call.attempt)
        self._report(call, outcome.Verdict.NOT_RUN)

    def _decide(self, call: claims.ClientCall) -> None:
        sidecar = self.sidecars[call.slot]
        assert sidecar is not None
        decision = sidecar.ledger.decide(call.attempt)
        run = self._latest_run(call.key)
        match decision:
            case decisions.Wait():
                assert decision.deadline_s > self.clock.monotonic()
            case decisions.Start():
                call.state = "started"
            case decisions.Replay():
                assert run and decision.reply == run.reply
                assert run.body == call.body
                self._report(call, outcome.Verdict.RAN)
            case decisions.ReplayFromLog():
                claims_checks.check_logged_reply(self.log, decision, run)
                self._report(call, outcome.Verdict.RAN)
            case outcome.Refusal():
                claims_checks.check_refusal(self.calls, call, decision, run)
                self._report(call, decision.verdict)

    def _start(self, call: claims.ClientCall) -> None:
        sidecar = self.sidecars[call.slot]
        assert sidecar is not None
        refusal = sidecar.ledger.start(call.attempt)
        if refusal is None:
            call.state = "checked"
        else:
            claims_checks.check_refusal(
                self.calls, call, refusal, self._latest_run(call.key)
            )
            self._report(call, refusal.verdict)

    def _record_run(self, call: claims.ClientCall) -> None:
        """Records that the service runs the call and checks it is allowed."""
        now_s = self.clock.monotonic()
        for run in self.runs:
            assert run.key != call.key or now_s - run.time_s > _DAY_S - 60.0
        assert call.verdict in (None, outcome.Verdict.MAY_HAVE_RUN)
        call.run = claims.ServiceRun(call.key, call.body, now_s, None)
        self.runs.append(call.run)
        call.state = "running"

    def _report(
        self, call: claims.ClientCall, verdict: outcome.Verdict
    ) -> None:
        """Ends a call as the `finally` clause of its task does."""
        sidecar = self.sidecars[call.slot]
        assert sidecar is not None
        sidecar.ledger.abandon(call.attempt)
        call.state = "ended"
        call.verdict = call.verdict or verdict

    def _latest_run(self, key: str) -> claims.ServiceRun | None:
        """Returns the latest run of a key.

        There may be several: a key expires by log time. Log time stands still
        on an idle stream, so a key may also outlive its lifetime.
        """
        runs = [run for run in self.runs if run.key == key]
        return runs[-1] if runs else None

    def _in_state(self, *states: str) -> bool:
        return any(call.state in states for call in self.calls)

    def _has_batch(self) -> bool:
        return any(sidecar and sidecar.batch for sidecar in self.sidecars)

    def _unsuspended(self, slot: int) -> claims.SidecarState | None:
        sidecar = self.sidecars[slot]
        return None if sidecar is None or sidecar.frozen else sidecar

    def _unfinished_calls(self, slot: int) -> list[claims.ClientCall]:
        return [
            call
            for call in self.calls
            if call.slot == slot and call.state != "ended"
        ]

    def teardown(self) -> None:
        """Checks that after all faults calls complete and memory is freed."""
        self.log.down = False
        for slot in range(3):
            self.freeze(slot, False)
            if self.sidecars[slot] is None:
                self.restart(slot)
        for _ in range(40):
            self.pass_time(1.0)
            for slot in range(3):
                self.answer_batch(slot, "ok")
                self.send_batch(slot)
                self.land_batch(slot)
                self.answer_batch(slot, "ok")
                self.read(slot, 500)
            for _ in range(len(self.calls)):
                self.step(0)
                self.service_ends(0, 0, "answer")
        assert not any(self._unfinished_calls(slot) for slot in range(3))
        self._check_recovery()

    def _check_recovery(self) -> None:
        self.pass_time(_DAY_S + 60.0)
        before = len(self.runs)
        for slot in range(3):
            self.send(slot, f"fresh-{slot}", b"5")
        for _ in range(5):
            for slot in range(3):
                self.send_batch(slot)
                self.land_batch(slot)
                self.answer_batch(slot, "ok")
                self.read(slot, 500)
            for _ in range(3):
                self.step(0)
            self.service_ends(0, 0, "answer")
            self.pass_time(0.2)
        assert len(self.runs) == before + 3
        for sidecar in self.sidecars:
            assert sidecar is not None
            assert len(sidecar.ledger) <= 3 + 3
