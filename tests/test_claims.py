"""Tests of the at-most-once ledger, one fault at a time."""

from __future__ import annotations

import datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstile import outcome, platform, request
from hibiscusstile.claims import decisions, encoding, entries, ledger
from tests import builders

_HOUR_S = 3600.0


class Site:
    """A log and two sidecars that have read it."""

    def __init__(self) -> None:
        self.clock = builders.ManualClock()
        self.log = builders.InMemoryStream(self.clock)
        self.one = builders.claims_ledger(self.clock, "s1", "inc-1")
        self.two = builders.claims_ledger(self.clock, "s2", "inc-2")
        self.exchange()

    def exchange(self) -> None:
        """Lets both append and read."""
        builders.synchronize_ledgers(self.log, self.one, self.two)
        self.clock.advance(0.2)

    def claim(self, payment_ledger: ledger.Ledger) -> decisions.CallAttempt:
        """Takes a call up to where it may start."""
        attempt = builders.payment_attempt(payment_ledger)
        assert isinstance(payment_ledger.decide(attempt), decisions.Wait)
        self.exchange()
        assert payment_ledger.decide(attempt) == decisions.Start()
        return attempt


def _refused(decision: object) -> tuple[outcome.Reason, outcome.Verdict]:
    assert isinstance(decision, outcome.Refusal)
    return decision.reason, decision.verdict


def test_a_second_sender_waits_and_gets_the_first_answer() -> None:
    """Guards against a payment that is made once for each sender."""
    site = Site()
    first = site.claim(site.one)
    second = builders.payment_attempt(site.two)
    assert isinstance(site.two.decide(second), decisions.Wait)
    assert site.one.start(first) is None
    reply = builders.service_reply(1)
    site.one.finish(first, outcome.Verdict.RAN, reply)
    site.exchange()
    assert site.two.decide(second) == decisions.Replay(reply)


def test_another_body_under_the_same_key_is_refused() -> None:
    """Guards against an answer to a request that was never run."""
    site = Site()
    site.claim(site.one)
    other = builders.payment_attempt(site.two, body=b"9")
    assert _refused(site.two.decide(other)) == (
        outcome.Reason.KEY_CONFLICT,
        outcome.Verdict.NOT_RUN,
    )


def test_a_holder_frozen_for_longer_than_the_key_lives_does_not_run() -> None:
    """Guards against a run by a process that slept while the key expired."""
    site = Site()
    first = site.claim(site.one)
    site.clock.advance(25 * _HOUR_S)
    builders.synchronize_ledgers(site.log, site.two)
    second = builders.payment_attempt(site.two)
    site.two.decide(second)
    site.clock.advance(39.0)
    refusal = site.one.start(first)
    assert refusal is not None
    assert refusal.verdict is outcome.Verdict.NOT_RUN


def test_a_claim_that_appears_late_is_released() -> None:
    """Guards against a key that nobody may run after a lost append."""
    site = Site()
    attempt = builders.payment_attempt(site.one)
    site.one.decide(attempt)
    batch = site.one.outbox.next_batch()
    assert batch is not None
    site.one.handle_append_result(batch, platform.AppendUnknown("lost"))
    site.clock.advance(2.5)
    assert _refused(site.one.decide(attempt)) == (
        outcome.Reason.LOG_UNAVAILABLE,
        outcome.Verdict.NOT_RUN,
    )
    site.log.append(encoding.encode(batch.records))
    site.exchange()
    site.exchange()
    site.claim(site.two)


def test_claims_of_a_dead_incarnation_stay_unknown() -> None:
    """Guards against a second run after a sidecar died in mid-call."""
    site = Site()
    site.one.start(site.claim(site.one))
    again = builders.claims_ledger(site.clock, "s1", "inc-3")
    builders.synchronize_ledgers(site.log, again)
    expected = (outcome.Reason.BACKEND_FAILED, outcome.Verdict.MAY_HAVE_RUN)
    attempt = builders.payment_attempt(again)
    assert _refused(again.decide(attempt)) == expected
    waiting = builders.payment_attempt(site.two)
    site.clock.advance(39.0)
    assert _refused(site.two.decide(waiting)) == expected


def test_a_long_answer_outlives_its_holder_as_a_verdict() -> None:
    """Guards against a wrong answer when the right one is gone."""
    site = Site()
    first = site.claim(site.one)
    site.one.start(first)
    reply = builders.service_reply(1, size=5000)
    site.one.finish(first, outcome.Verdict.RAN, reply)
    site.exchange()
    attempt = builders.payment_attempt(site.two)
    assert _refused(site.two.decide(attempt))[1] is outcome.Verdict.RAN
    same = builders.payment_attempt(site.one)
    assert site.one.decide(same) == decisions.Replay(reply)


def test_while_the_log_is_down_only_known_keys_are_answered() -> None:
    """Guards against a run that no other sidecar would know of."""
    site = Site()
    first = site.claim(site.one)
    site.one.start(first)
    site.one.finish(first, outcome.Verdict.RAN, builders.service_reply(1))
    site.exchange()
    site.two.mark_unreadable()
    known = site.two.decide(builders.payment_attempt(site.two))
    assert known == decisions.Replay(builders.service_reply(1))
    unknown = site.two.decide(builders.payment_attempt(site.two, "k2"))
    assert _refused(unknown) == (
        outcome.Reason.LOG_UNAVAILABLE,
        outcome.Verdict.NOT_RUN,
    )


def test_a_log_that_drops_young_entries_stops_new_runs() -> None:
    """Guards against a second run after the log lost the first claim."""
    site = Site()
    site.claim(site.one)
    site.clock.advance(2 * _HOUR_S)
    site.log.append(b"dropped before the second sidecar reads it")
    site.log.drop_older_than(datetime.timedelta(0))
    site.log.append(b"the oldest entry kept")
    builders.synchronize_ledgers(site.log, site.two)
    attempt = builders.payment_attempt(site.two, "k9")
    assert _refused(site.two.decide(attempt)) == (
        outcome.Reason.LOG_UNAVAILABLE,
        outcome.Verdict.NOT_RUN,
    )


def test_a_sidecar_that_has_not_read_to_the_end_claims_nothing() -> None:
    """Guards against a judgement by the log's beginning alone."""
    site = Site()
    fresh = builders.claims_ledger(site.clock, "s3", "inc-9")
    attempt = builders.payment_attempt(fresh)
    assert isinstance(fresh.decide(attempt), decisions.Wait)
    assert fresh.outbox.next_batch() is None


@pytest.mark.fuzz
@given(st.binary(max_size=64), st.text(max_size=20))
def test_an_answer_survives_the_log(body: bytes, content_type: str) -> None:
    """Guards against a replayed answer that differs from the first."""
    reply = request.ServiceReply(201, content_type, body)
    record = entries.Completed("c1", b"k" * 16, outcome.Verdict.RAN, reply)
    assert encoding.decode(encoding.encode([record])) == [record]


def test_remembered_keys_are_bounded() -> None:
    """Guards against a sidecar that outgrows its memory in a day."""
    clock = builders.ManualClock()
    small = builders.claims_ledger(clock, max_keys=1)
    log = builders.InMemoryStream(clock)
    builders.synchronize_ledgers(log, small)
    small.decide(builders.payment_attempt(small, "k1"))
    builders.synchronize_ledgers(log, small)
    refused = small.decide(builders.payment_attempt(small, "k2"))
    assert _refused(refused)[0] is outcome.Reason.OVERLOADED
