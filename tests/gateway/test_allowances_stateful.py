"""Stateful fuzz tests of allowances over a simulated fleet."""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hibiscusstile.gateway import routes
from hibiscusstile.gateway.allowances import (
    account,
    bucket,
    ledger,
    shares,
)
from tests.builders import allowances as builders

_COUNT = 8
_INDEX = st.integers(0, _COUNT - 1)
_SECONDS = st.sampled_from((0.1, 0.5, 2.0))
_SIZES = st.sampled_from(((383.0,), (383.0, 17_020.0), (60_000.0,)))


class AllowanceMachine(stateful.RuleBasedStateMachine):
    """Floods of one workspace while the fleet is disturbed.

    The simulated fleet checks the rule at each spent token.
    """

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Starts the fleet."""
        self.fleet = builders.SimulatedFleet(_COUNT, seed=seed)

    @stateful.rule(
        seconds=_SECONDS,
        first=_INDEX,
        count=st.integers(0, _COUNT),
        factor=st.sampled_from((0.3, 1.0, 6.0)),
        sizes=_SIZES,
    )
    def run(
        self,
        seconds: float,
        first: int,
        count: int,
        factor: float,
        sizes: tuple[float, ...],
    ) -> None:
        """Sends requests to some gateways."""
        names = (self.fleet.names * 2)[first : first + count]
        rate = factor * builders.ALLOWANCE.rate
        self.fleet.run(
            seconds, {name: rate / len(names) for name in names}, sizes
        )

    @stateful.rule(index=_INDEX, seconds=_SECONDS)
    def freeze(self, index: int, seconds: float) -> None:
        """Freezes a gateway."""
        self.fleet.freeze(self._name(index), seconds)

    @stateful.rule(index=_INDEX)
    def restart(self, index: int) -> None:
        """Restarts a gateway."""
        self.fleet.start(self._name(index))

    @stateful.rule()
    def restart_all(self) -> None:
        """Restarts all gateways."""
        for name in self.fleet.names:
            self.fleet.start(name)

    @stateful.rule(size=st.integers(1, _COUNT))
    def cut(self, size: int) -> None:
        """Cuts some gateways off from the others and from the list."""
        names = self.fleet.names
        self.fleet.cut_from_list.update(names[:size])
        self.fleet.cut.update(
            frozenset((one, other))
            for one in names[:size]
            for other in names[size:]
        )

    @stateful.rule()
    def heal(self) -> None:
        """Ends all cuts."""
        self.fleet.cut.clear()
        self.fleet.cut_from_list.clear()

    @stateful.rule(count=st.integers(1, 3))
    def join(self, count: int) -> None:
        """Adds gateways."""
        total = len(self.fleet.names)
        for index in range(total, min(total + count, 2 * _COUNT)):
            self.fleet.start(f"new{index}")

    @stateful.rule(index=_INDEX)
    def leave(self, index: int) -> None:
        """Withdraws a gateway, which serves on while it drains."""
        self.fleet.withdraw(self._name(index))

    @stateful.rule(factor=st.sampled_from((0.3, 1.0, 2.0)))
    def change(self, factor: float) -> None:
        """Changes the allowance."""
        self.fleet.set_allowance(
            dataclasses.replace(
                builders.ALLOWANCE, rate=factor * builders.ALLOWANCE.rate
            )
        )

    @stateful.rule()
    def remove_and_set(self) -> None:
        """Removes the allowance and sets it again."""
        self.fleet.remove_allowance()

    def _name(self, index: int) -> str:
        names = self.fleet.names
        return names[index % len(names)]


AllowanceMachine.TestCase.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=15,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestAllowances = AllowanceMachine.TestCase


def _flood(fleet: builders.SimulatedFleet, seconds: float) -> None:
    rate = 6 * builders.ALLOWANCE.rate
    names = fleet.names
    fleet.run(seconds, {name: rate / len(names) for name in names})


def _rise_from_idle() -> None:
    fleet = builders.SimulatedFleet(_COUNT)
    fleet.run(60.0, {})
    _flood(fleet, 8.0)


def _restart_all_often() -> None:
    fleet = builders.SimulatedFleet(_COUNT)
    for _ in range(5):
        for name in fleet.names:
            fleet.start(name)
        _flood(fleet, 1.0)


def _leave_slowly() -> None:
    fleet = builders.SimulatedFleet(_COUNT)
    for name in fleet.names[: _COUNT // 2]:
        fleet.withdraw(name)
    fleet.run(3.0, {})
    _flood(fleet, 8.0)


def _join_together() -> None:
    fleet = builders.SimulatedFleet(2)
    fleet.run(10.0, {})
    for round_ in range(4):
        # The others read the list late, and are connected late.
        before = fleet.names
        new = [f"late{round_}-{index}" for index in range(12)]
        fleet.cut_from_list.update(before)
        fleet.cut.update(
            frozenset((one, other)) for one in before for other in new
        )
        for name in new:
            fleet.start(name)
        _flood(fleet, 1.8)
        fleet.cut_from_list.clear()
        fleet.cut.clear()
        _flood(fleet, 1.2)


def _lend_in_a_flood() -> None:
    fleet = builders.SimulatedFleet(_COUNT)
    fleet.run(20.0, {})
    rate = builders.ALLOWANCE.rate
    for name in fleet.names:
        fleet.run(1.0, {name: 6 * rate}, (383.0, 5_000.0))


def _repeat_messages() -> None:
    fleet = builders.SimulatedFleet(_COUNT)
    fleet.repeated = 1.0
    fleet.run(20.0, {"g0": 6 * builders.ALLOWANCE.rate})


def _hoard() -> None:
    """A gateway asks for requests that it can never admit, then for others."""
    fleet = builders.SimulatedFleet(_COUNT)
    fleet.run(20.0, {})
    rate = builders.ALLOWANCE.rate
    fleet.run(40.0, {"g0": 30 * rate}, (383.0, 2_000_000.0))
    fleet.run(4.0, {})
    fleet.run(8.0, dict.fromkeys(fleet.names, 6 * rate))


def _change_back_and_forth() -> None:
    fleet = builders.SimulatedFleet(_COUNT)
    fleet.run(20.0, {})
    for _ in range(5):
        fleet.remove_allowance()
        _flood(fleet, 1.0)


def _lower() -> None:
    fleet = builders.SimulatedFleet(_COUNT)
    fleet.run(20.0, {})
    fleet.set_allowance(routes.Allowance(2_000, 4_000, in_tokens=True))
    fleet.run(9.0, {})
    _flood(fleet, 8.0)


class _Full(bucket.Bucket):
    """Starts full."""

    def configure(self, rate: float, cap: float, now_s: float) -> None:
        is_new = not self._cap
        super().configure(rate, cap, now_s)
        if is_new:
            self._balance = cap


class _LendsForNothing(bucket.Bucket):
    """Does not take what it lends."""

    def lend(self, tokens: float, now_s: float) -> float:
        return max(0.0, min(tokens, self.balance(now_s)))


class _KeepsCredits(bucket.Bucket):
    """Ignores the expiry of credits."""

    def deposit(self, tokens: float, expires_s: float, now_s: float) -> None:
        super().deposit(tokens, now_s + 1e9, now_s)


class _Uncapped(bucket.Bucket):
    """Fills without a cap."""

    def configure(self, rate: float, cap: float, now_s: float) -> None:
        super().configure(rate, 1e12, now_s)


class _KeepsBalance(bucket.Bucket):
    """Keeps its balance when the cap is lowered."""

    def configure(self, rate: float, cap: float, now_s: float) -> None:
        self._fill(now_s)
        balance = self._balance
        super().configure(rate, cap, now_s)
        self._balance = balance

    def _fill(self, now_s: float) -> None:
        balance = self._balance
        super()._fill(now_s)
        self._balance = max(self._balance, balance)


class _Forgets(shares.GatewayCount):
    """Divides by the newest number of gateways."""

    def note(self, gateways: int, now_s: float, *, joining: bool) -> None:
        self._last_s = {}
        self._listed = 0
        super().note(gateways, now_s, joining=joining)


class _FillsAtOnce(shares.GatewayCount):
    """Fills before the others count this gateway."""

    def note(self, gateways: int, now_s: float, *, joining: bool) -> None:
        super().note(gateways, now_s, joining=False)


class _CreditsTwice(account.Account):
    """Credits each copy of a grant."""

    def receive(
        self, number: int, peer: str, tokens: float, left: float, now_s: float
    ) -> float:
        question = self._questions.get(number)
        credited = super().receive(number, peer, tokens, left, now_s)
        if question is not None:
            self._questions[number] = question
        return credited


class _ForgetsRetired(ledger.AllowanceLedger):
    """Starts anew when an allowance is set again."""

    def apply(self, allowances: dict[str, routes.Allowance]) -> None:  # type: ignore[override]
        super().apply(allowances)
        self._retired.clear()


_MECHANISMS = {
    "cap": (_rise_from_idle, bucket, "Bucket", _Uncapped),
    "empty start": (_restart_all_often, bucket, "Bucket", _Full),
    "debit": (_lend_in_a_flood, bucket, "Bucket", _LendsForNothing),
    "expiry": (_hoard, bucket, "Bucket", _KeepsCredits),
    "memory of removed allowances": (
        _change_back_and_forth,
        ledger,
        "AllowanceLedger",
        _ForgetsRetired,
    ),
    "single credit": (_repeat_messages, account, "Account", _CreditsTwice),
    "clip": (_lower, bucket, "Bucket", _KeepsBalance),
    "memory of the count": (_leave_slowly, shares, "GatewayCount", _Forgets),
    "late filling": (_join_together, shares, "GatewayCount", _FillsAtOnce),
}


@pytest.mark.parametrize("name", _MECHANISMS)
def test_rule_needs_each_mechanism(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a mechanism that does nothing, or a rule not checked."""
    scenario, module, class_name, broken = _MECHANISMS[name]
    scenario()
    monkeypatch.setattr(module, class_name, broken)
    with pytest.raises(AssertionError):
        scenario()


@pytest.mark.parametrize("count", [2, 8, 24])
@pytest.mark.parametrize("sizes", [(383.0,), (383.0, 17_020.0)])
def test_lone_gateway_gets_the_allowance(
    count: int, sizes: tuple[float, ...]
) -> None:
    """Guards against a workspace that is held to one gateway's share."""
    fleet = builders.SimulatedFleet(count)
    rate = builders.ALLOWANCE.rate
    fleet.run(2.0, {"g0": 2 * rate}, sizes)
    fleet.run(8.0, {"g0": 2 * rate}, sizes)
    spent = fleet.run(10.0, {"g0": 2 * rate}, sizes)
    assert spent >= 0.9 * rate * 10.0


def test_a_request_above_a_share_is_admitted() -> None:
    """Guards against long requests that no gateway can ever hold."""
    fleet = builders.SimulatedFleet(24)
    fleet.run(10.0, {})
    fleet.request("g0", 90_000.0)
    assert fleet.run(0.1, {}) == 90_000.0
