"""Stateful fuzz tests of the rollout lease."""

from __future__ import annotations

import dataclasses

import pytest

from hibiscusstile import platform
from hibiscusstile.gateway import rolloutlease
from hibiscusstile.platform import claimrecords
from tests import lease_machine, machines


class _DoesNotWait(rolloutlease.RolloutLease):
    """Claims at once in a new era."""

    def observe_era(self) -> None:
        earliest_s = self._earliest_claim_s
        super().observe_era()
        self._earliest_claim_s = earliest_s


class _TrustsAnyResponse(rolloutlease.RolloutLease):
    """Uses a claim whatever the era of the response to its append."""

    def _note_appended(
        self, result: platform.Appended, era: int | None, sent_s: float
    ) -> bool:
        self.observe_era()
        return super()._note_appended(
            platform.Appended(result.offset, self._era), self._era, sent_s
        )


class _TrustsOwnClaims(rolloutlease.RolloutLease):
    """Does not wait in a new era if it ever held the lease."""

    def observe_era(self) -> None:
        own, self._own_claim = self._own_claim, None
        if own is not None:
            self._own_claim = rolloutlease.Claim(own.fence, own.era, 1e9)
        super().observe_era()
        self._own_claim = own


class _CountsClaimsOfEarlierEras(rolloutlease.RolloutLease):
    """Takes the last record for the last claim whatever its era."""

    def _is_of_earlier_era(
        self, record: claimrecords.ClaimRecord | None
    ) -> bool:
        return False

    def _note_claim(
        self, record: claimrecords.ClaimRecord | None, offset: int
    ) -> None:
        if record is not None:
            record = dataclasses.replace(record, era=self._era)
        super()._note_claim(record, offset)


class _IgnoresForgottenClaims(rolloutlease.RolloutLease):
    """Takes a log without readable claims for one without claims."""

    def _note_claim(
        self, record: claimrecords.ClaimRecord | None, offset: int
    ) -> None:
        if record is not None:
            super()._note_claim(record, offset)


class _OpensAtOnce(rolloutlease.RolloutLease):
    """Opens an era without waiting for claims of the one before."""

    def _may_open(self) -> bool:
        return (
            self._era is not None
            and self._topic_end is not None
            and self._opened_era != self._era
        )


class _TrustsOldOpenings(rolloutlease.RolloutLease):
    """Takes the opening of any era for one of the current era."""

    def _is_opening(
        self, record: claimrecords.ClaimRecord | None, offset: int
    ) -> bool:
        return record is not None and record.opens_era

    def _is_of_earlier_era(
        self, record: claimrecords.ClaimRecord | None
    ) -> bool:
        if record is not None and record.opens_era:
            return False
        return super()._is_of_earlier_era(record)


@pytest.mark.parametrize(
    "broken",
    [
        _DoesNotWait,
        _TrustsAnyResponse,
        _TrustsOwnClaims,
        _CountsClaimsOfEarlierEras,
        _IgnoresForgottenClaims,
        _OpensAtOnce,
        _TrustsOldOpenings,
    ],
)
def test_machine_detects_a_broken_lease(
    broken: type[rolloutlease.RolloutLease],
) -> None:
    """Guards against a state machine that misses overlapping holders."""

    class Broken(lease_machine.LeaseMachine):
        lease_class = broken

    machines.assert_machine_fails(Broken, max_examples=2000, steps=50)


def test_machine_detects_a_lease_without_eras() -> None:
    """Guards against a state machine that misses tokens that go back."""

    class Broken(lease_machine.LeaseMachine):
        first_era = None

    machines.assert_machine_fails(Broken, max_examples=2000, steps=50)


TestLeaseMachine = pytest.mark.fuzz(lease_machine.LeaseMachine.TestCase)
