"""Tokens of one workspace that one gateway holds."""

from __future__ import annotations

__all__ = ["Bucket"]


class Bucket:
    """A token bucket that also holds expiring tokens of other gateways.

    It starts empty, so that a restart of the process makes no tokens.

    Args:
        now_s: Time on the monotonic clock.
    """

    def __init__(self, now_s: float) -> None:
        self._rate = 0.0
        self._cap = 0.0
        self._balance = 0.0
        self._filled_s = now_s
        # Amounts and times of expiry, the first to expire first.
        self._credits: list[tuple[float, float]] = []
        # Taken tokens that may still be given back, the oldest charge first.
        self._refundable: dict[object, float] = {}
        self._refundable_sum = 0.0

    @property
    def rate(self) -> float:
        """Tokens that it gains per second."""
        return self._rate

    @property
    def cap(self) -> float:
        """Number of tokens at which it stops filling."""
        return self._cap

    def configure(self, rate: float, cap: float, now_s: float) -> None:
        """Changes rate and cap; tokens beyond the new cap are lost."""
        self._fill(now_s)
        self._rate = rate
        self._cap = cap
        self._balance = min(self._balance, cap)
        self._trim_refundable()

    def balance(self, now_s: float) -> float:
        """Returns the tokens without credits; negative after a forced take."""
        self._fill(now_s)
        return self._balance

    def available(self, now_s: float) -> float:
        """Returns the tokens that can be spent, credits included."""
        self._fill(now_s)
        return self._balance + sum(amount for _, amount in self._credits)

    def take(self, tokens: float, now_s: float) -> None:
        """Takes tokens, credits first; the balance may become negative."""
        self._fill(now_s)
        while tokens > 0 and self._credits:
            expires_s, amount = self._credits.pop(0)
            if amount > tokens:
                self._credits.insert(0, (expires_s, amount - tokens))
                return
            tokens -= amount
        self._balance -= tokens

    def lend(self, tokens: float, now_s: float) -> float:
        """Takes up to a number of tokens from the balance; returns how many."""
        self._fill(now_s)
        lent = max(0.0, min(tokens, self._balance))
        self._balance -= lent
        return lent

    def add(self, tokens: float, now_s: float) -> None:
        """Adds tokens, up to the cap."""
        self._fill(now_s)
        self._balance = min(self._cap, self._balance + tokens)
        self._trim_refundable()

    def note_refundable(
        self, charge: object, tokens: float, now_s: float
    ) -> None:
        """Records that taken tokens may be given back.

        The bucket and these tokens together never exceed the cap: what the
        bucket regains takes the place of the oldest of them.
        """
        self._fill(now_s)
        self._refundable[charge] = self._refundable.get(charge, 0.0) + tokens
        self._refundable_sum += tokens
        self._trim_refundable()

    def settle(self, charge: object, now_s: float) -> float:
        """Ends a charge; returns its tokens that may still be given back."""
        self._fill(now_s)
        tokens = self._refundable.pop(charge, 0.0)
        # Avoids that rounding errors add up.
        self._refundable_sum = (
            max(0.0, self._refundable_sum - tokens) if self._refundable else 0.0
        )
        return tokens

    def drop_refundable(self) -> None:
        """Lets no earlier charge be given back."""
        self._refundable.clear()
        self._refundable_sum = 0.0

    def deposit(self, tokens: float, expires_s: float, now_s: float) -> None:
        """Adds tokens of another gateway; those beyond the cap expire."""
        self._fill(now_s)
        kept = min(tokens, max(0.0, self._cap - self._balance))
        self._balance += kept
        self._trim_refundable()
        if tokens > kept and expires_s > now_s:
            self._credits.append((expires_s, tokens - kept))
            self._credits.sort()

    def _fill(self, now_s: float) -> None:
        gained = self._rate * max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        self._balance = min(self._cap, self._balance + gained)
        self._trim_refundable()
        while self._credits and self._credits[0][0] <= now_s:
            self._credits.pop(0)

    def _trim_refundable(self) -> None:
        excess = self._balance + self._refundable_sum - self._cap
        while excess > 0 and self._refundable:
            charge = next(iter(self._refundable))
            tokens = self._refundable[charge]
            if tokens > excess:
                self._refundable[charge] = tokens - excess
                self._refundable_sum -= excess
                return
            del self._refundable[charge]
            self._refundable_sum -= tokens
            excess -= tokens
