"""One workspace's tokens at one gateway, and whom it asks for more."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from hibiscusstile.gateway import routes
from hibiscusstile.gateway.allowances import (
    bucket,
    demand,
    peerstocks,
    shares,
)

__all__ = ["Account", "Totals"]

# Requests that go first keep what they ask for in this time.
_RESERVE_S = 0.5
_MAX_RESERVE = 0.5
# A question is closed after this time without an answer.
_ANSWER_S = 0.1
# Tokens are asked for ahead of need when they last for less than the first
# part of the time for which credits can be used, up to the second part.
_LOW_PART = 0.4
_TARGET_PART = 0.7
_MIN_AHEAD_INTERVAL_S = 0.02
# Questions pause while they bring a smaller part than this on average.
_MIN_YIELD = 0.1
_YIELD_WEIGHT = 0.05
_MIN_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.6
_MIN_RETRY_S = 0.05
_MAX_RETRY_S = 10.0
_RETRY_SPREAD = 0.5


@dataclasses.dataclass(slots=True)
class Totals:
    """Tokens and requests since the process started.

    Attributes:
        admitted_tokens: Tokens of admitted requests.
        refused: Refused requests.
        refused_tokens: Their tokens.
        lent_tokens: Tokens handed to other gateways.
        borrowed_tokens: Tokens got from other gateways in time.
    """

    admitted_tokens: float = 0.0
    refused: int = 0
    refused_tokens: float = 0.0
    lent_tokens: float = 0.0
    borrowed_tokens: float = 0.0


@dataclasses.dataclass(slots=True)
class _Question:
    peer: str
    tokens: float
    sent_s: float
    closed: bool = False


class Account:
    """Decides on the requests of one workspace at one gateway.

    Args:
        rng: Spreads questions and retries.
        now_s: Time on the monotonic clock.
    """

    def __init__(self, rng: random.Random, now_s: float) -> None:
        self._rng = rng
        self._bucket = bucket.Bucket(now_s)
        self._allowance = routes.Allowance(0.0)
        self._share = shares.Share(0.0, 0.0, 0.0)
        self._demand = demand.Demand()
        self._stocks = peerstocks.PeerStocks(rng)
        self._questions: dict[int, _Question] = {}
        self._waiting: list[demand.Cost] = []
        self._mean_yield = 1.0
        self._pause_s = 0.0
        self._paused_until_s = 0.0
        self._asked_ahead_s = 0.0
        self._totals = Totals()

    @property
    def allowance(self) -> routes.Allowance:
        """Allowance of the workspace over all gateways."""
        return self._allowance

    @property
    def totals(self) -> Totals:
        """Tokens and requests since the process started."""
        return self._totals

    @property
    def gained_per_s(self) -> float:
        """Tokens per second that the bucket gains; 0 while it may not fill."""
        return self._bucket.rate

    def configure(
        self,
        allowance: routes.Allowance,
        share: shares.Share,
        now_s: float,
        *,
        filling: bool,
    ) -> None:
        """Changes the allowance or this gateway's share of it."""
        if allowance.in_tokens != self._allowance.in_tokens:
            # Charges in the other unit are not given back in this one.
            self._bucket.drop_refundable()
        self._allowance = allowance
        self._share = share
        if filling:
            self._bucket.configure(share.rate, share.cap, now_s)
        else:
            self._bucket.configure(0.0, 0.0, now_s)

    def prefill(self, tokens: float, now_s: float) -> None:
        """Adds tokens to the bucket, up to its cap."""
        self._bucket.add(tokens, now_s)

    def available(self, now_s: float) -> float:
        """Returns the tokens held here."""
        return self._bucket.available(now_s)

    def note_arrival(self, cost: demand.Cost, now_s: float) -> None:
        """Records a request that asks for tokens."""
        self._demand.note(cost, now_s)

    def try_take(self, cost: demand.Cost, now_s: float) -> bool:
        """Takes the cost of a request; returns whether it is held here."""
        if cost.tokens + self._reserve(cost, now_s) > self.available(now_s):
            return False
        self._bucket.take(cost.tokens, now_s)
        self._totals.admitted_tokens += cost.tokens
        return True

    def charge(self, tokens: float, now_s: float) -> None:
        """Takes the cost of a further attempt, also if it is not held here."""
        self._bucket.take(tokens, now_s)
        self._totals.admitted_tokens += tokens

    def note_refundable(
        self, charge: object, tokens: float, now_s: float
    ) -> None:
        """Records that a cost may be given back."""
        self._bucket.note_refundable(charge, tokens, now_s)

    def settle(
        self, charge: object, tokens: float, now_s: float, *, ran: bool
    ) -> None:
        """Ends a charge, and returns the cost if no server has run it."""
        refund = self._bucket.settle(charge, now_s)
        if refund and not ran:
            self._bucket.add(refund, now_s)
            self._totals.admitted_tokens -= tokens

    def note_refused(self, cost: demand.Cost) -> None:
        """Counts a refused request."""
        self._totals.refused += 1
        self._totals.refused_tokens += cost.tokens

    def begin_wait(self, cost: demand.Cost) -> None:
        """Records that a request waits for tokens of other gateways."""
        self._waiting.append(cost)

    def end_wait(self, cost: demand.Cost) -> None:
        """Records that a request has stopped waiting."""
        self._waiting.remove(cost)

    def prefers(self, cost: demand.Cost) -> bool:
        """Returns whether a request goes before others of its workspace."""
        return self._demand.prefers(cost)

    def plan_for_waiting(
        self, near: Sequence[str], far: Sequence[str], now_s: float
    ) -> list[tuple[str, float]]:
        """Returns whom to ask for what the waiting requests lack."""
        if not self._waiting or now_s < self._paused_until_s:
            return []
        needed = sum(cost.tokens for cost in self._waiting)
        needed += max(self._reserve(cost, now_s) for cost in self._waiting)
        missing = needed - self.available(now_s) - self._expected(now_s)
        if missing <= 0:
            return []
        return self._stocks.choose(
            max(missing, self._missing_ahead(now_s)),
            near,
            far,
            self._share,
            now_s,
            required=missing,
        )

    def plan_ahead(
        self, near: Sequence[str], far: Sequence[str], now_s: float
    ) -> list[tuple[str, float]]:
        """Returns whom to ask for what coming requests will lack."""
        self._asked_ahead_s = now_s
        missing = self._missing_ahead(now_s)
        if missing <= 0:
            return []
        return self._stocks.choose(missing, near, far, self._share, now_s)

    def runs_low(self, now_s: float) -> bool:
        """Returns whether to ask ahead of need."""
        if now_s < max(
            self._paused_until_s, self._asked_ahead_s + _MIN_AHEAD_INTERVAL_S
        ):
            return False
        rate = self._demand.rate(now_s)
        return rate > self._bucket.rate and (
            self.available(now_s) < _LOW_PART * self._share.credit_s * rate
        )

    def open_question(
        self, number: int, peer: str, tokens: float, now_s: float
    ) -> None:
        """Records a question that is sent."""
        self._questions[number] = _Question(peer, tokens, now_s)

    def has_open_question(self, now_s: float) -> bool:
        """Returns whether an answer is awaited."""
        return self._expected(now_s) > 0

    def lend(self, tokens: float, now_s: float) -> tuple[float, float]:
        """Takes tokens for another gateway.

        Returns:
            The tokens taken, and those that are left to lend.
        """
        if self._waiting:
            return 0.0, 0.0
        spare = self._bucket.balance(now_s) - self._kept(now_s)
        lent = self._bucket.lend(max(0.0, min(tokens, spare)), now_s)
        self._totals.lent_tokens += lent
        return lent, max(0.0, spare - lent)

    def receive(
        self, number: int, peer: str, tokens: float, left: float, now_s: float
    ) -> float:
        """Credits a grant, unless it is late or was credited before.

        Returns:
            The tokens credited.
        """
        question = self._questions.get(number)
        if question is None or question.peer != peer:
            return 0.0
        del self._questions[number]
        self._stocks.note(peer, left, now_s)
        self._note_yield(tokens / question.tokens, now_s)
        expires_s = question.sent_s + self._share.credit_s
        if now_s >= expires_s:
            return 0.0
        credited = min(tokens, question.tokens)
        self._bucket.deposit(credited, expires_s, now_s)
        self._totals.borrowed_tokens += credited
        return credited

    def retry_after_s(self, cost: demand.Cost, now_s: float) -> float:
        """Returns the time after which a refused request can be admitted."""
        needed = cost.tokens + self._reserve(cost, now_s)
        missing = max(0.0, needed - self.available(now_s))
        rate = self._share.rate
        if now_s >= self._paused_until_s and not self._pause_s:
            # Other gateways lend: about half of what they gain.
            rate = max(rate, self._allowance.rate / 2)
        wait_s = missing / rate if rate else _MAX_RETRY_S
        wait_s *= 1 + _RETRY_SPREAD * self._rng.random()
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s))

    def forget_peers(self, kept: Sequence[str]) -> None:
        """Drops what is known of gateways that are not announced any more."""
        self._stocks.keep_only(kept)

    def _missing_ahead(self, now_s: float) -> float:
        """Returns what coming requests will lack beyond what is gained."""
        rate = self._demand.rate(now_s)
        if rate <= self._bucket.rate:
            return 0.0
        return (
            _TARGET_PART * self._share.credit_s * rate
            - self.available(now_s)
            - self._expected(now_s)
        )

    def _reserve(self, cost: demand.Cost, now_s: float) -> float:
        return 0.0 if self._demand.prefers(cost) else self._kept(now_s)

    def _kept(self, now_s: float) -> float:
        """Returns the tokens that are kept for requests that go first."""
        return min(
            _RESERVE_S * self._demand.preferred_rate(now_s),
            _MAX_RESERVE * self._bucket.cap,
        )

    def _expected(self, now_s: float) -> float:
        """Returns the tokens asked for; closes old questions."""
        expected = 0.0
        for number, question in list(self._questions.items()):
            age_s = now_s - question.sent_s
            if age_s < _ANSWER_S:
                expected += question.tokens
                continue
            if not question.closed:
                question.closed = True
                self._stocks.note_silent(question.peer, now_s)
                self._note_yield(0.0, now_s)
            if age_s >= self._share.credit_s:
                del self._questions[number]
        return expected

    def _note_yield(self, granted_part: float, now_s: float) -> None:
        change = min(1.0, granted_part) - self._mean_yield
        self._mean_yield += _YIELD_WEIGHT * change
        if self._mean_yield >= _MIN_YIELD:
            self._pause_s = 0.0
            return
        if now_s < self._paused_until_s or granted_part >= _MIN_YIELD:
            return
        self._pause_s = min(_MAX_PAUSE_S, max(_MIN_PAUSE_S, 2 * self._pause_s))
        self._paused_until_s = now_s + self._pause_s
