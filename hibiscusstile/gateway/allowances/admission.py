"""Admits requests within the allowances of their workspaces."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import math
import random
from collections.abc import Callable, Mapping, Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics, outcome
from hibiscusstile.gateway import routes
from hibiscusstile.gateway.allowances import ledger as ledger_lib
from hibiscusstile.gateway.allowances import shares

__all__ = ["AllowanceAdmission", "Charge", "Peer"]

_log = logbook.Logger("allowances")

# Longest time for which a request waits for tokens of other gateways, also as a
# share of its target latency.
_MAX_WAIT_S = 0.08
_MAX_WAIT_TARGET_SHARE = 0.2

Send = Callable[[str, ledger_lib.Ask | ledger_lib.Grant], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A connected gateway.

    Attributes:
        name: Name of its instance.
        near: Whether it is in this zone.
    """

    name: str
    near: bool


class Charge:
    """What one admitted request was charged.

    Args:
        ledger: Accounts of this gateway; None if the request is not limited.
        workspace: Name of the workspace.
        tokens: Cost of one attempt that runs.
    """

    def __init__(
        self,
        ledger: ledger_lib.AllowanceLedger | None = None,
        workspace: str = "",
        tokens: float = 0.0,
    ) -> None:
        self._ledger = ledger
        self._workspace = workspace
        self._tokens = tokens
        self._charged_runs = 1
        if ledger is not None:
            ledger.note_refundable(workspace, self, tokens)

    def note_attempt(self, runs: int) -> None:
        """Charges a further attempt.

        Args:
            runs: Attempts that ran or may have run the request before.
        """
        if self._ledger is not None and runs >= self._charged_runs:
            self._charged_runs += 1
            self._ledger.charge(self._workspace, self._tokens)
            self._ledger.note_refundable(self._workspace, self, self._tokens)

    def settle(self, verdict: outcome.Verdict) -> None:
        """Ends the request, and gives back what no server has run, once."""
        ledger, self._ledger = self._ledger, None
        if ledger is not None:
            ledger.settle(
                self._workspace,
                self,
                self._tokens * self._charged_runs,
                ran=verdict is not outcome.Verdict.NOT_RUN,
            )


class AllowanceAdmission:
    """Admits or refuses requests, and exchanges tokens with other gateways.

    Args:
        clock: Clock of the process.
        rng: Spreads questions and retries; a new generator if None.
        tolerance: By how much allowances may be exceeded.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random | None = None,
        tolerance: shares.Tolerance | None = None,
    ) -> None:
        self._clock = clock
        self._ledger = ledger_lib.AllowanceLedger(
            clock, rng or random.Random(), tolerance or shares.Tolerance()
        )
        self._send: Send | None = None
        self._list_peers: Callable[[], Sequence[Peer]] = tuple
        # Requests that wait, by workspace; those that go first are in front.
        self._waiters: dict[str, list[_Waiter]] = {}

    @property
    def ledger(self) -> ledger_lib.AllowanceLedger:
        """Accounts of the limited workspaces."""
        return self._ledger

    def connect(
        self, send: Send, list_peers: Callable[[], Sequence[Peer]]
    ) -> None:
        """Sets how the other gateways are reached.

        Args:
            send: Sends a question or an answer to a gateway, or drops it.
            list_peers: Returns the connected gateways.
        """
        self._send = send
        self._list_peers = list_peers

    def apply(self, allowances: Mapping[str, routes.Allowance]) -> None:
        """Replaces the allowances by those of a new configuration."""
        self._ledger.apply(allowances)
        if allowances:
            logs.event(
                _log,
                "allowances_applied",
                workspaces=len(allowances),
                gateways=self._ledger.gateways,
            )

    async def admit(
        self,
        workspace: routes.Workspace | None,
        tokens: int,
        rank: int,
        target_latency_s: float,
    ) -> Charge:
        """Charges a request to its workspace.

        Args:
            workspace: The caller's workspace; None for anonymous callers.
            tokens: Tokens that the request states; 0 if none.
            rank: Rank of the request.
            target_latency_s: Target latency of its route.

        Raises:
            Refused: The allowance does not cover the request.
        """
        if workspace is None or workspace.allowance is None:
            return Charge()
        name = workspace.name
        if name not in self._ledger.accounts:
            return Charge()
        cost = ledger_lib.Cost(workspace.allowance.cost(tokens), rank)
        self._ledger.note_arrival(name, cost)
        admitted = self._ledger.try_take(name, cost)
        result = "held"
        if not admitted:
            wait_s = min(_MAX_WAIT_S, _MAX_WAIT_TARGET_SHARE * target_latency_s)
            admitted = await self._wait_for_tokens(name, cost, wait_s)
            result = "borrowed" if admitted else "refused"
        elif self._ledger.runs_low(name):
            self._ask(self._ledger.asks_ahead(name, *self._peers()))
        metrics.count_allowance(result)
        if not admitted:
            raise self._refused(name, cost)
        if name not in self._ledger.accounts:
            # The allowance was removed during the wait: nothing was taken.
            return Charge()
        return Charge(self._ledger, name, cost.tokens)

    def receive_ask(self, peer: str, ask: ledger_lib.Ask) -> None:
        """Answers a question of another gateway."""
        grant = self._ledger.answer(ask)
        if self._send is not None:
            self._send(peer, grant)

    def receive_grant(self, peer: str, grant: ledger_lib.Grant) -> None:
        """Credits the answer of another gateway."""
        self._ledger.receive(peer, grant)
        for waiter in self._waiters.get(grant.workspace, ()):
            waiter.wake()

    async def _wait_for_tokens(
        self, name: str, cost: ledger_lib.Cost, wait_s: float
    ) -> bool:
        """Asks other gateways for tokens; returns whether they suffice."""
        account = self._ledger.accounts.get(name)
        if account is None:
            return True
        end_s = self._clock.monotonic() + wait_s
        waiter = _Waiter(not account.prefers(cost), cost.tokens)
        waiters = self._waiters.setdefault(name, [])
        waiters.append(waiter)
        waiters.sort(key=lambda each: each.order)
        account.begin_wait(cost)
        try:
            while True:
                self._ask(self._ledger.asks_for_waiting(name, *self._peers()))
                now_s = self._clock.monotonic()
                if now_s >= end_s or not account.has_open_question(now_s):
                    return False
                await waiter.wait(end_s - now_s)
                if self._ledger.try_take(name, cost):
                    return True
        finally:
            account.end_wait(cost)
            waiters.remove(waiter)
            if not waiters:
                self._waiters.pop(name, None)

    def _peers(self) -> tuple[list[str], list[str]]:
        peers = self._list_peers()
        return (
            [peer.name for peer in peers if peer.near],
            [peer.name for peer in peers if not peer.near],
        )

    def _ask(self, asks: list[tuple[str, ledger_lib.Ask]]) -> None:
        if self._send is None:
            return
        for peer, ask in asks:
            self._send(peer, ask)

    def _refused(self, name: str, cost: ledger_lib.Cost) -> outcome.Refused:
        account = self._ledger.accounts.get(name)
        message = "the request exceeds the allowance of its workspace"
        retry_after_s = 0.0
        if account is not None:
            account.note_refused(cost)
            now_s = self._clock.monotonic()
            retry_after_s = account.retry_after_s(cost, now_s)
            message += (
                f" of {account.allowance.rate:g}/s: it costs {cost.tokens:g},"
                f" and {account.available(now_s):.0f} are available here"
            )
        return outcome.refused(
            outcome.Reason.OVER_ALLOWANCE,
            message,
            datetime.timedelta(seconds=math.ceil(100 * retry_after_s) / 100),
        )


class _Waiter:
    """A request that waits for tokens."""

    def __init__(self, is_last: bool, tokens: float) -> None:
        self.order = (is_last, tokens)
        self._granted = asyncio.Event()

    def wake(self) -> None:
        self._granted.set()

    async def wait(self, seconds: float) -> None:
        self._granted.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._granted.wait()
