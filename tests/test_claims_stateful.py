"""Stateful fuzz tests of claims ledgers that share a log and a service."""

from __future__ import annotations

from typing import Any

import pytest

from hibiscusstile import outcome
from hibiscusstile.claims import decisions, entries, ledger
from tests import claims_machine, machines


class _SkipsReadBack(ledger.Ledger):
    """Starts a call after the append, without reading the claim back."""

    def decide(self, attempt: decisions.CallAttempt) -> decisions.Decision:
        queued = self._outbox._queued
        if (
            attempt.claim_id in self._own_claims
            and (entries.Claim, attempt.claim_id) not in queued
        ):
            return decisions.Start()
        return super().decide(attempt)

    def start(self, attempt: decisions.CallAttempt) -> outcome.Refusal | None:
        return None


class _ReleasesClaimsOfOthers(ledger.Ledger):
    """Takes over keys by releasing the claims of other processes."""

    def _wait_for_active_claim(self, attempt: Any, claimed: Any) -> Any:
        self._outbox.put(entries.Release(claimed.claim_id, attempt.digests.key))
        return decisions.Wait(self._clock.monotonic() + 1.0)


@pytest.mark.parametrize(
    "broken",
    [_SkipsReadBack, _ReleasesClaimsOfOthers],
)
def test_machine_detects_a_broken_ledger(
    broken: type[ledger.Ledger],
) -> None:
    """Guards against a state machine that misses a second run."""

    class Broken(claims_machine.ClaimsMachine):
        ledger_class = broken

    machines.assert_machine_fails(Broken, max_examples=2000, steps=50)


TestClaims = pytest.mark.fuzz(claims_machine.ClaimsMachine.TestCase)
