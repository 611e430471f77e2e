"""The accounts of all limited workspaces at one gateway."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping, Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs
from hibiscusstile.gateway import routes
from hibiscusstile.gateway.allowances import account as account_lib
from hibiscusstile.gateway.allowances import shares
from hibiscusstile.gateway.allowances.demand import Cost

__all__ = ["AllowanceLedger", "Ask", "Cost", "Grant"]

_log = logbook.Logger("allowances")

# An allowance that is removed and set again within this time makes no tokens.
_KEEP_RETIRED_S = 60.0
_REFRESH_INTERVAL_S = 0.5
# Bounds the questions of this gateway over all workspaces.
_ASKS_PER_S = 300.0
_MAX_ASK_BURST = 200.0
_NUMBER_BITS = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A question for tokens.

    Attributes:
        number: Number that the answer repeats.
        workspace: Name of the workspace.
        tokens: Tokens that are missing.
    """

    number: int
    workspace: str
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a question.

    Attributes:
        number: Number of the question.
        workspace: Name of the workspace.
        tokens: Tokens that are handed over.
        left: Tokens that are left to lend.
    """

    number: int
    workspace: str
    tokens: float
    left: float


class AllowanceLedger:
    """Decides what this gateway spends, lends and asks for.

    Args:
        clock: Clock of the process.
        rng: Spreads questions and retries.
        tolerance: By how much allowances may be exceeded.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random,
        tolerance: shares.Tolerance,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._tolerance = tolerance
        self._count = shares.GatewayCount()
        self._accounts: dict[str, account_lib.Account] = {}
        self._retired: dict[str, tuple[account_lib.Account, float]] = {}
        self._divided_by = (0, False)
        self._refreshed_s = 0.0
        self._names: Sequence[str] = ()
        self._next_number = rng.getrandbits(_NUMBER_BITS)
        self._ask_tokens = _MAX_ASK_BURST
        self._ask_tokens_s = clock.monotonic()

    @property
    def gateways(self) -> int:
        """Number of gateways that allowances are divided by."""
        return self._count.current()

    @property
    def accounts(self) -> Mapping[str, account_lib.Account]:
        """Accounts by workspace."""
        return self._accounts

    def set_tolerance(self, tolerance: shares.Tolerance) -> None:
        """Changes by how much allowances may be exceeded."""
        self._tolerance = tolerance
        self._configure_all()

    def apply(self, allowances: Mapping[str, routes.Allowance]) -> None:
        """Replaces the allowances by those of a new configuration."""
        now_s = self._clock.monotonic()
        configured_s = self._count.configured_s
        self._count.note_configured(now_s)
        for name in [each for each in self._accounts if each not in allowances]:
            self._retired[name] = (self._accounts.pop(name), now_s)
        for name, allowance in allowances.items():
            known = self._accounts.get(name)
            if known is None:
                known, _ = self._retired.pop(name, (None, 0.0))
            if known is not None:
                self._accounts[name] = known
                self._configure(known, allowance, now_s)
                continue
            added = account_lib.Account(self._rng, now_s)
            self._accounts[name] = added
            self._configure(added, allowance, now_s)
            if configured_s is not None:
                share = shares.share_of(
                    allowance, self._tolerance, self._count.current()
                )
                added.prefill(share.rate * (now_s - configured_s), now_s)
        self._retired = {
            name: (retired, since_s)
            for name, (retired, since_s) in self._retired.items()
            if now_s - since_s < _KEEP_RETIRED_S
        }

    def note_gateways(
        self, names: Sequence[str], *, joining: bool = False
    ) -> None:
        """Records the other announced gateways.

        Args:
            names: Their names.
            joining: Whether the first list read did not name this gateway.
        """
        now_s = self._clock.monotonic()
        self._count.note(len(names) + 1, now_s, joining=joining)
        self._refresh(now_s)
        if names != self._names:
            self._names = tuple(names)
            for each in self._accounts.values():
                each.forget_peers(names)

    def note_told_count(self, told: shares.ToldCount) -> None:
        """Adopts the number of gateways that another one counts."""
        now_s = self._clock.monotonic()
        self._count.note_told(told, now_s)
        self._refresh(now_s)

    def tell_count(self) -> shares.ToldCount | None:
        """Returns the count for a gateway that connects.

        None if it is unknown or nothing is limited.
        """
        if not self._accounts:
            return None
        return self._count.tell(self._clock.monotonic())

    def held(self, name: str) -> float:
        """Returns the tokens of a limited workspace that are held here."""
        return self._accounts[name].available(self._clock.monotonic())

    def note_arrival(self, name: str, cost: Cost) -> None:
        """Records a request that asks for tokens."""
        self._accounts[name].note_arrival(cost, self._clock.monotonic())

    def try_take(self, name: str, cost: Cost) -> bool:
        """Takes the cost of a request; returns whether it is held here.

        A workspace that is not limited any more is charged nothing.
        """
        now_s = self._clock.monotonic()
        if now_s - self._refreshed_s >= _REFRESH_INTERVAL_S:
            self._refresh(now_s)
        found = self._accounts.get(name)
        return found is None or found.try_take(cost, now_s)

    def charge(self, name: str, tokens: float) -> None:
        """Takes the cost of a further attempt at a request."""
        found = self._accounts.get(name)
        if found is not None:
            found.charge(tokens, self._clock.monotonic())

    def note_refundable(self, name: str, charge: object, tokens: float) -> None:
        """Records that the cost of a request may be given back."""
        found = self._accounts.get(name)
        if found is not None:
            found.note_refundable(charge, tokens, self._clock.monotonic())

    def settle(
        self, name: str, charge: object, tokens: float, *, ran: bool
    ) -> None:
        """Ends a charge, and returns the cost if no server has run it.

        Args:
            name: Name of the workspace.
            charge: The charge; one of a removed account is not given back to
                another account.
            tokens: Its cost.
            ran: Whether a server may have run the request.
        """
        found = self._accounts.get(name)
        if found is None and name in self._retired:
            found = self._retired[name][0]
        if found is not None:
            found.settle(charge, tokens, self._clock.monotonic(), ran=ran)

    def asks_for_waiting(
        self, name: str, near: Sequence[str], far: Sequence[str]
    ) -> list[tuple[str, Ask]]:
        """Returns questions, by peer, for what waiting requests lack."""
        found = self._accounts.get(name)
        if found is None:
            return []
        now_s = self._clock.monotonic()
        return self._open(name, found.plan_for_waiting(near, far, now_s), now_s)

    def runs_low(self, name: str) -> bool:
        """Returns whether to ask ahead of need."""
        found = self._accounts.get(name)
        return found is not None and found.runs_low(self._clock.monotonic())

    def asks_ahead(
        self, name: str, near: Sequence[str], far: Sequence[str]
    ) -> list[tuple[str, Ask]]:
        """Returns questions, by peer, for what coming requests will lack."""
        now_s = self._clock.monotonic()
        plan = self._accounts[name].plan_ahead(near, far, now_s)
        return self._open(name, plan, now_s)

    def answer(self, ask: Ask) -> Grant:
        """Takes tokens for another gateway."""
        found = self._accounts.get(ask.workspace)
        lent, left = 0.0, 0.0
        if found is not None:
            lent, left = found.lend(ask.tokens, self._clock.monotonic())
        return Grant(ask.number, ask.workspace, lent, left)

    def receive(self, peer: str, grant: Grant) -> float:
        """Credits a grant; returns the tokens that can be used."""
        found = self._accounts.get(grant.workspace)
        if found is None:
            return 0.0
        return found.receive(
            grant.number,
            peer,
            grant.tokens,
            grant.left,
            self._clock.monotonic(),
        )

    def _open(
        self, name: str, plan: list[tuple[str, float]], now_s: float
    ) -> list[tuple[str, Ask]]:
        """Numbers the questions of a plan; an empty list beyond the limit."""
        gained = _ASKS_PER_S * (now_s - self._ask_tokens_s)
        self._ask_tokens = min(_MAX_ASK_BURST, self._ask_tokens + gained)
        self._ask_tokens_s = now_s
        if not plan or self._ask_tokens < len(plan):
            return []
        self._ask_tokens -= len(plan)
        asks = []
        for peer, tokens in plan:
            self._next_number += 1
            self._accounts[name].open_question(
                self._next_number, peer, tokens, now_s
            )
            asks.append((peer, Ask(self._next_number, name, tokens)))
        return asks

    def _refresh(self, now_s: float) -> None:
        """Changes all shares if the number of gateways has changed."""
        self._refreshed_s = now_s
        divided_by = (self._count.current(), self._count.filling(now_s))
        if divided_by != self._divided_by:
            self._divided_by = divided_by
            if self._accounts:
                logs.event(
                    _log,
                    "allowances_divided",
                    gateways=divided_by[0],
                    filling=divided_by[1],
                )
            self._configure_all()

    def _configure_all(self) -> None:
        now_s = self._clock.monotonic()
        for each in self._accounts.values():
            self._configure(each, each.allowance, now_s)

    def _configure(
        self,
        account: account_lib.Account,
        allowance: routes.Allowance,
        now_s: float,
    ) -> None:
        share = shares.share_of(
            allowance, self._tolerance, self._count.current()
        )
        account.configure(
            allowance, share, now_s, filling=self._count.filling(now_s)
        )
