"""The share of an allowance that one gateway fills by itself."""

from __future__ import annotations

import dataclasses

from hibiscusstile.gateway import routes

__all__ = ["GatewayCount", "Share", "ToldCount", "Tolerance", "share_of"]

# A gateway that restarts is announced again within this time, and one that
# ended without a shutdown holds no tokens any more.
_REMEMBER_S = 15.0
# The list of gateways is read within this time, if the store responds.
_LIST_TIMEOUT_S = 2.0
# Number of gateways that is assumed while the list cannot be read.
_MIN_UNLISTED = 6
# The other gateways count a new one within this time: they read the list each
# second.
_JOIN_S = 3.0
# The others have read the list since a gateway has been counted for this time.
_READ_S = 1.5
_MAX_CREDIT_S = 0.5
# An allowance whose burst and tolerance are less than its rate for this time is
# treated as one with this burst: without any, no request could be admitted.
_MIN_POOL_S = 0.5
# Parts of the tolerance: the rest covers requests that are on their way to a
# server, and gateways that are counted late.
_USED_TOLERANCE = 0.8
_CREDIT_TOLERANCE = 0.3
_CREDIT_BURST = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much an allowance may be exceeded within a window.

    Attributes:
        window_s: Length of the window in seconds.
        share: Excess as a share of what the allowance grants in a window.
        tokens: Further excess in tokens.
    """

    window_s: float = 0.0
    share: float = 0.0
    tokens: float = 0.0

    def of(self, allowance: routes.Allowance) -> float:
        """Returns the tolerated excess in tokens."""
        granted = allowance.rate * self.window_s + allowance.burst
        return self.share * granted + self.tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One gateway's share of an allowance.

    Attributes:
        rate: Tokens that its bucket gains per second.
        cap: Tokens at which its bucket stops filling.
        credit_s: Time after a question for which granted tokens can be used.
    """

    rate: float
    cap: float
    credit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ToldCount:
    """The number that another gateway divides allowances by.

    Attributes:
        gateways: The number.
        for_s: Seconds since it is as high.
        age_s: Seconds since as many gateways were announced.
    """

    gateways: int
    for_s: float
    age_s: float


def share_of(
    allowance: routes.Allowance, tolerance: Tolerance, gateways: int
) -> Share:
    """Returns the share of one of a number of gateways.

    Args:
        allowance: Allowance of the workspace.
        tolerance: By how much it may be exceeded.
        gateways: Number of gateways.
    """
    excess = tolerance.of(allowance)
    burst = allowance.burst
    if burst + excess < allowance.rate * _MIN_POOL_S:
        burst = max(1.0, allowance.rate * _MIN_POOL_S)
    credit_s = min(
        _MAX_CREDIT_S,
        (_CREDIT_TOLERANCE * excess + _CREDIT_BURST * burst) / allowance.rate,
    )
    pool = burst + _USED_TOLERANCE * excess - allowance.rate * credit_s
    return Share(allowance.rate / gateways, pool / gateways, credit_s)


class GatewayCount:
    """Number of gateways that an allowance is divided by."""

    def __init__(self) -> None:
        # When each count was last the number of announced gateways.
        self._last_s: dict[int, float] = {}
        self._listed = 0
        self._since_s = 0.0
        self._configured_s: float | None = None
        self._fill_from_s = 0.0

    @property
    def configured_s(self) -> float | None:
        """When the process got its first configuration; None before."""
        return self._configured_s

    def note_configured(self, now_s: float) -> None:
        """Records that the process has a configuration."""
        if self._configured_s is None:
            self._configured_s = now_s

    def note(self, gateways: int, now_s: float, *, joining: bool) -> None:
        """Records the number of announced gateways, this one included.

        Args:
            gateways: Their number.
            now_s: Time on the monotonic clock.
            joining: Whether the first list read did not name this gateway.
        """
        if not self._listed and joining and not self._fill_from_s:
            self._fill_from_s = now_s + _JOIN_S
        if self._listed:
            # The count before held until now.
            self._last_s[self._listed] = now_s
        self._listed = gateways
        self._update(gateways, now_s, now_s)

    def note_told(self, told: ToldCount, now_s: float) -> None:
        """Adopts the count of another gateway.

        A gateway that has just restarted does not know the others that restart.
        Once it is told that it has been counted for a while, it may fill.
        """
        if told.age_s >= _REMEMBER_S:
            return
        self._update(told.gateways, now_s - told.age_s, now_s)
        if self.current() == told.gateways:
            self._since_s = min(self._since_s, now_s - told.for_s)
        if told.for_s >= _READ_S and told.gateways >= max(1, self._listed):
            self._fill_from_s = min(self._fill_from_s or now_s, now_s)

    def tell(self, now_s: float) -> ToldCount | None:
        """Returns the count for a gateway that connects; None if unknown."""
        if not self._last_s:
            return None
        gateways = self.current()
        return ToldCount(
            gateways,
            max(0.0, now_s - self._since_s),
            max(0.0, now_s - self._last_s[gateways]),
        )

    def current(self) -> int:
        """Returns the number to divide allowances by."""
        return max(self._last_s, default=_MIN_UNLISTED)

    def filling(self, now_s: float) -> bool:
        """Returns whether this gateway's buckets may fill."""
        if self._listed:
            return now_s >= self._fill_from_s
        return (
            self._configured_s is not None
            and now_s >= self._configured_s + _LIST_TIMEOUT_S
        )

    def _update(self, gateways: int, last_s: float, now_s: float) -> None:
        before = max(self._last_s, default=0)
        self._last_s[gateways] = max(last_s, self._last_s.get(gateways, last_s))
        self._last_s = {
            count: counted_s
            for count, counted_s in self._last_s.items()
            if counted_s >= now_s - _REMEMBER_S
        }
        if self.current() > before:
            self._since_s = now_s
