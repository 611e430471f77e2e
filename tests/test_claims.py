"""Tests of the claims ledger, each with a single fault."""

from __future__ import annotations

import datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstile import outcome, platform, request
from hibiscusstile.claims import decisions, encoding, entries, ledger
from tests import builders

_HOUR_S = 3600.0


class LedgerPair:
    """Ledgers of two sidecars that have read the same log to its end."""

    def __init__(self) -> None:
        self.clock = builders.ManualClock()
        self.log = builders.InMemoryStream(self.clock)
        self.one = builders.claims_ledger(self.clock, "s1", "inc-1")
        self.two = builders.claims_ledger(self.clock, "s2", "inc-2")
        self.synchronize()

    def synchronize(self) -> None:
        """Appends and reads the records of both ledgers."""
        builders.synchronize_ledgers(self.log, self.one, self.two)
        self.clock.advance(0.2)

    def claim_payment(
        self, payment_ledger: ledger.Ledger
    ) -> decisions.CallAttempt:
        """Returns an attempt at a payment whose claim is active."""
        attempt = builders.payment_attempt(payment_ledger)
        assert isinstance(payment_ledger.decide(attempt), decisions.Wait)
        self.synchronize()
        assert payment_ledger.decide(attempt) == decisions.Start()
        return attempt


def _reason_and_verdict(
    decision: object,
) -> tuple[outcome.Reason, outcome.Verdict]:
    assert isinstance(decision, outcome.Refusal)
    return decision.reason, decision.verdict


def test_second_attempt_waits_and_replays_the_first_reply() -> None:
    """Guards against a payment that is executed once per attempt."""
    pair = LedgerPair()
    first = pair.claim_payment(pair.one)
    second = builders.payment_attempt(pair.two)
    assert isinstance(pair.two.decide(second), decisions.Wait)
    assert pair.one.start(first) is None
    reply = builders.service_reply(1)
    pair.one.finish(first, outcome.Verdict.RAN, reply)
    pair.synchronize()
    assert pair.two.decide(second) == decisions.Replay(reply)


def test_key_reused_with_another_body_is_refused() -> None:
    """Guards against replaying the reply to a different request."""
    pair = LedgerPair()
    pair.claim_payment(pair.one)
    other = builders.payment_attempt(pair.two, body=b"9")
    assert _reason_and_verdict(pair.two.decide(other)) == (
        outcome.Reason.KEY_CONFLICT,
        outcome.Verdict.NOT_RUN,
    )


def test_process_suspended_past_key_expiry_does_not_run() -> None:
    """Guards against a run by a process resumed after its key expired."""
    pair = LedgerPair()
    first = pair.claim_payment(pair.one)
    pair.clock.advance(25 * _HOUR_S)
    builders.synchronize_ledgers(pair.log, pair.two)
    second = builders.payment_attempt(pair.two)
    pair.two.decide(second)
    pair.clock.advance(39.0)
    refusal = pair.one.start(first)
    assert refusal is not None
    assert refusal.verdict is outcome.Verdict.NOT_RUN


def test_claim_appended_after_its_timeout_is_released() -> None:
    """Guards against a key that stays blocked after a lost append."""
    pair = LedgerPair()
    attempt = builders.payment_attempt(pair.one)
    pair.one.decide(attempt)
    batch = pair.one.outbox.next_batch()
    assert batch is not None
    pair.one.handle_append_result(batch, platform.AppendUnknown("lost"))
    pair.clock.advance(2.5)
    assert _reason_and_verdict(pair.one.decide(attempt)) == (
        outcome.Reason.LOG_UNAVAILABLE,
        outcome.Verdict.NOT_RUN,
    )
    pair.log.append(encoding.encode(batch.records))
    pair.synchronize()
    pair.synchronize()
    pair.claim_payment(pair.two)


def test_started_claim_of_a_dead_process_may_have_run() -> None:
    """Guards against a second run after a sidecar dies during a call."""
    pair = LedgerPair()
    pair.one.start(pair.claim_payment(pair.one))
    again = builders.claims_ledger(pair.clock, "s1", "inc-3")
    builders.synchronize_ledgers(pair.log, again)
    expected = (outcome.Reason.BACKEND_FAILED, outcome.Verdict.MAY_HAVE_RUN)
    attempt = builders.payment_attempt(again)
    assert _reason_and_verdict(again.decide(attempt)) == expected
    waiting = builders.payment_attempt(pair.two)
    pair.clock.advance(39.0)
    assert _reason_and_verdict(pair.two.decide(waiting)) == expected


def test_reply_too_long_for_the_log_is_replayed_only_locally() -> None:
    """Guards against a wrong reply when the original is not in the log."""
    pair = LedgerPair()
    first = pair.claim_payment(pair.one)
    pair.one.start(first)
    reply = builders.service_reply(1, size=5000)
    pair.one.finish(first, outcome.Verdict.RAN, reply)
    pair.synchronize()
    attempt = builders.payment_attempt(pair.two)
    assert (
        _reason_and_verdict(pair.two.decide(attempt))[1] is outcome.Verdict.RAN
    )
    same = builders.payment_attempt(pair.one)
    assert pair.one.decide(same) == decisions.Replay(reply)


def test_log_outage_replays_known_keys_and_refuses_new_ones() -> None:
    """Guards against a run that no other sidecar learns of."""
    pair = LedgerPair()
    first = pair.claim_payment(pair.one)
    pair.one.start(first)
    pair.one.finish(first, outcome.Verdict.RAN, builders.service_reply(1))
    pair.synchronize()
    pair.two.mark_unreadable()
    known = pair.two.decide(builders.payment_attempt(pair.two))
    assert known == decisions.Replay(builders.service_reply(1))
    unknown = pair.two.decide(builders.payment_attempt(pair.two, "k2"))
    assert _reason_and_verdict(unknown) == (
        outcome.Reason.LOG_UNAVAILABLE,
        outcome.Verdict.NOT_RUN,
    )


def test_early_loss_of_log_entries_stops_new_runs() -> None:
    """Guards against a second run after the log drops the first claim."""
    pair = LedgerPair()
    pair.claim_payment(pair.one)
    pair.clock.advance(2 * _HOUR_S)
    pair.log.append(b"dropped before the second sidecar reads it")
    pair.log.drop_older_than(datetime.timedelta(0))
    pair.log.append(b"the oldest entry kept")
    builders.synchronize_ledgers(pair.log, pair.two)
    attempt = builders.payment_attempt(pair.two, "k9")
    assert _reason_and_verdict(pair.two.decide(attempt)) == (
        outcome.Reason.LOG_UNAVAILABLE,
        outcome.Verdict.NOT_RUN,
    )


def test_sidecar_behind_the_log_claims_nothing() -> None:
    """Guards against a claim based on an incomplete read of the log."""
    pair = LedgerPair()
    fresh = builders.claims_ledger(pair.clock, "s3", "inc-9")
    attempt = builders.payment_attempt(fresh)
    assert isinstance(fresh.decide(attempt), decisions.Wait)
    assert fresh.outbox.next_batch() is None


@pytest.mark.fuzz
@given(st.binary(max_size=64), st.text(max_size=20))
def test_reply_round_trips_through_the_log(
    body: bytes, content_type: str
) -> None:
    """Guards against a replayed reply that differs from the original."""
    reply = request.ServiceReply(201, content_type, body)
    record = entries.Completed("c1", b"k" * 16, outcome.Verdict.RAN, reply)
    assert encoding.decode(encoding.encode([record])) == [record]


def test_number_of_keys_is_bounded() -> None:
    """Guards against unbounded memory use within a key's lifetime."""
    clock = builders.ManualClock()
    small = builders.claims_ledger(clock, max_keys=1)
    log = builders.InMemoryStream(clock)
    builders.synchronize_ledgers(log, small)
    small.decide(builders.payment_attempt(small, "k1"))
    builders.synchronize_ledgers(log, small)
    refused = small.decide(builders.payment_attempt(small, "k2"))
    assert _reason_and_verdict(refused)[0] is outcome.Reason.OVERLOADED
