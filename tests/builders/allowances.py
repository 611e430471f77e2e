"""Simulated gateways that share the allowance of one workspace."""

from __future__ import annotations

import collections
import dataclasses
import random

from hibiscusstile.gateway import allowances, routes
from hibiscusstile.gateway.allowances import account as account_lib
from hibiscusstile.gateway.allowances import ledger as ledger_lib
from tests.builders import base

__all__ = ["ALLOWANCE", "TOLERANCE", "SimulatedFleet"]

WORKSPACE = "growers"
ALLOWANCE = routes.Allowance(47_000, 94_000, in_tokens=True, plain_cost=200)
TOLERANCE = allowances.Tolerance(8.0, 0.1, 20_000)
_STEP_S = 0.02
_LINK_S = 0.003
_LIST_S = 1.0
_WAIT_S = 0.08


class _Gateway:
    """One machine, whose process may be replaced by a new one."""

    def __init__(self, name: str, near: frozenset[str]) -> None:
        self.name = name
        self.near = near
        self.ledger: allowances.AllowanceLedger | None = None
        self.frozen_until_s = 0.0
        self.waiting: list[
            tuple[float, allowances.Cost, account_lib.Account]
        ] = []
        self.listed_others: tuple[str, ...] | None = None
        self.is_joining = False
        self.met: set[_Gateway] = set()


@dataclasses.dataclass(frozen=True, slots=True)
class _Message:
    arrives_s: float
    sender: str
    receiver: str
    content: allowances.Ask | allowances.Grant


class SimulatedFleet:
    """Gateways, their links and the list of gateways, on one clock.

    Every spent token is checked against the rule: the window that ends with it
    must not hold more than the allowance and its tolerance.

    Args:
        count: Number of gateways.
        allowance: Allowance of the workspace.
        seed: Seed of all choices.
    """

    def __init__(
        self,
        count: int,
        allowance: routes.Allowance = ALLOWANCE,
        seed: int = 1,
    ) -> None:
        self.clock = base.ManualClock()
        self.rng = random.Random(seed)
        self.cut: set[frozenset[str]] = set()
        self.cut_from_list: set[str] = set()
        self.spent = 0.0
        self.messages = 0
        # Share of the messages that arrive twice.
        self.repeated = 0.02
        self._allowance = allowance
        self._gateways: dict[str, _Gateway] = {}
        self._listed: set[str] = set()
        self._in_flight: list[_Message] = []
        self._spending: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # Limits of past times, as they bind.
        self._limits: list[tuple[float, float]] = []
        for index in range(count):
            self._listed.add(f"g{index}")
        for index in range(count):
            self.start(f"g{index}")
        self._note_limit()

    @property
    def names(self) -> list[str]:
        """Names of all machines with a process."""
        return [
            name
            for name, each in self._gateways.items()
            if each.ledger is not None
        ]

    def ledger(self, name: str) -> allowances.AllowanceLedger:
        """Returns the ledger of a running process."""
        ledger = self._gateways[name].ledger
        assert ledger is not None
        return ledger

    def start(self, name: str) -> None:
        """Starts a new process; what another one held is gone."""
        gateway = _Gateway(name, frozenset())
        gateway.is_joining = name not in self._listed
        gateway.ledger = ledger_lib.AllowanceLedger(
            self.clock, self.rng, TOLERANCE
        )
        gateway.ledger.apply({WORKSPACE: self._allowance})
        self._gateways[name] = gateway
        self._listed.add(name)
        self._read_list(gateway)

    def withdraw(self, name: str) -> None:
        """Removes a gateway from the list; it serves on."""
        self._listed.discard(name)

    def stop(self, name: str) -> None:
        """Ends a process."""
        self.withdraw(name)
        self._gateways[name].ledger = None

    def freeze(self, name: str, seconds: float) -> None:
        """Stops a process for a time; it takes its messages afterwards."""
        self._gateways[name].frozen_until_s = self.clock.monotonic() + seconds

    def set_allowance(self, allowance: routes.Allowance) -> None:
        """Changes the allowance at all gateways."""
        self._note_limit()
        self._allowance = allowance
        for gateway in self._gateways.values():
            if gateway.ledger is not None:
                gateway.ledger.apply({WORKSPACE: allowance})
        self._note_limit()

    def remove_allowance(self) -> None:
        """Removes the allowance at all gateways and sets it again."""
        for gateway in self._gateways.values():
            if gateway.ledger is not None:
                gateway.ledger.apply({})
                gateway.ledger.apply({WORKSPACE: self._allowance})

    def run(
        self,
        seconds: float,
        demand: dict[str, float],
        sizes: tuple[float, ...] = (383.0,),
    ) -> float:
        """Sends requests for a time.

        Args:
            seconds: How long.
            demand: Tokens per second that are asked for, by gateway.
            sizes: Costs of the requests, taken in turn.

        Returns:
            The tokens spent.
        """
        spent_before = self.spent
        backlog = dict.fromkeys(demand, 0.0)
        for _ in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            now_s = self.clock.monotonic()
            self._deliver(now_s)
            for gateway in self._gateways.values():
                if self._runs(gateway):
                    self._tick(gateway, now_s)
            for name, rate in demand.items():
                gateway = self._gateways[name]
                if not self._runs(gateway):
                    continue
                backlog[name] += rate * _STEP_S
                while backlog[name] > 0:
                    size = self.rng.choice(sizes)
                    backlog[name] -= size
                    self.request(name, size)
        return self.spent - spent_before

    def request(self, name: str, tokens: float) -> None:
        """Sends one request to a gateway."""
        gateway = self._gateways[name]
        ledger = self.ledger(name)
        cost = allowances.Cost(tokens)
        ledger.note_arrival(WORKSPACE, cost)
        if ledger.try_take(WORKSPACE, cost):
            self._spend(tokens)
            if ledger.runs_low(WORKSPACE):
                self._send(
                    name, ledger.asks_ahead(WORKSPACE, *self._peers(name))
                )
            return
        account = ledger.accounts[WORKSPACE]
        account.begin_wait(cost)
        end_s = self.clock.monotonic() + _WAIT_S
        gateway.waiting.append((end_s, cost, account))
        self._send(name, ledger.asks_for_waiting(WORKSPACE, *self._peers(name)))

    def _spend(self, tokens: float) -> None:
        now_s = self.clock.monotonic()
        self.spent += tokens
        self._spending.append((now_s, tokens))
        while self._spending[0][0] <= now_s - TOLERANCE.window_s:
            self._spending.popleft()
        in_window = sum(amount for _, amount in self._spending)
        limit = max(
            limit
            for until_s, limit in [
                *self._limits,
                (now_s, _limit(self._allowance)),
            ]
            if until_s >= now_s - TOLERANCE.window_s
        )
        assert in_window <= limit * (1 + 1e-9), (in_window, limit)

    def _note_limit(self) -> None:
        self._limits.append((self.clock.monotonic(), _limit(self._allowance)))

    def _runs(self, gateway: _Gateway) -> bool:
        return (
            gateway.ledger is not None
            and gateway.frozen_until_s <= self.clock.monotonic()
        )

    def _tick(self, gateway: _Gateway, now_s: float) -> None:
        assert gateway.ledger is not None
        if round(now_s / _STEP_S) % round(_LIST_S / _STEP_S) == 0:
            self._read_list(gateway)
        self._admit_waiting(gateway, now_s)

    def _admit_waiting(self, gateway: _Gateway, now_s: float) -> None:
        assert gateway.ledger is not None
        for waiting in list(gateway.waiting):
            end_s, cost, account = waiting
            taken = gateway.ledger.try_take(WORKSPACE, cost)
            if taken:
                self._spend(cost.tokens)
            if taken or now_s >= end_s:
                gateway.waiting.remove(waiting)
                account.end_wait(cost)

    def _continue_waiting(self, gateway: _Gateway, now_s: float) -> None:
        """Admits what a grant suffices for, and asks for the rest."""
        assert gateway.ledger is not None
        self._admit_waiting(gateway, now_s)
        if gateway.waiting:
            peers = self._peers(gateway.name)
            self._send(
                gateway.name, gateway.ledger.asks_for_waiting(WORKSPACE, *peers)
            )

    def _read_list(self, gateway: _Gateway) -> None:
        assert gateway.ledger is not None
        if gateway.name not in self.cut_from_list:
            gateway.listed_others = tuple(self._listed - {gateway.name})
        if gateway.listed_others is not None:
            gateway.ledger.note_gateways(
                gateway.listed_others, joining=gateway.is_joining
            )
        self._tell(gateway)

    def _tell(self, gateway: _Gateway) -> None:
        """Sends the count to processes that the gateway has just met."""
        assert gateway.ledger is not None
        told = gateway.ledger.tell_count()
        for name in gateway.listed_others or ():
            other = self._gateways.get(name)
            if (
                told is not None
                and other is not None
                and other.ledger is not None
                and other not in gateway.met
                and frozenset((gateway.name, name)) not in self.cut
            ):
                gateway.met.add(other)
                other.ledger.note_told_count(told)

    def _peers(self, name: str) -> tuple[list[str], list[str]]:
        listed = self._gateways[name].listed_others or ()
        reachable = [
            other
            for other in listed
            if other in self._gateways
            and frozenset((name, other)) not in self.cut
        ]
        half = len(reachable) // 2
        return reachable[:half], reachable[half:]

    def _send(
        self, sender: str, asks: list[tuple[str, allowances.Ask]]
    ) -> None:
        for receiver, ask in asks:
            self._put(sender, receiver, ask)

    def _put(
        self,
        sender: str,
        receiver: str,
        content: allowances.Ask | allowances.Grant,
    ) -> None:
        self.messages += 1
        if frozenset((sender, receiver)) in self.cut:
            return
        arrives_s = self.clock.monotonic() + _LINK_S
        copies = 2 if self.rng.random() < self.repeated else 1
        self._in_flight.extend(
            [_Message(arrives_s, sender, receiver, content)] * copies
        )

    def _deliver(self, now_s: float) -> None:
        pending, self._in_flight = self._in_flight, []
        for message in pending:
            receiver = self._gateways.get(message.receiver)
            if receiver is None or receiver.ledger is None:
                continue
            if message.arrives_s > now_s or not self._runs(receiver):
                self._in_flight.append(message)
            elif isinstance(message.content, allowances.Ask):
                grant = receiver.ledger.answer(message.content)
                self._put(message.receiver, message.sender, grant)
            else:
                receiver.ledger.receive(message.sender, message.content)
                self._continue_waiting(receiver, now_s)


def _limit(allowance: routes.Allowance) -> float:
    granted = allowance.rate * TOLERANCE.window_s + allowance.burst
    return granted + TOLERANCE.of(allowance)
