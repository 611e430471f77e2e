"""What the other gateways are expected to lend to one workspace."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable, Sequence

from hibiscusstile.gateway.allowances import shares

__all__ = ["PeerStocks"]

# Part of its share's rate by which a peer's stock is expected to grow: the peer
# serves requests of its own.
_EXPECTED_GROWTH = 0.5
# Part of an expected stock that is counted on, where there are more to ask.
_RELIANCE = 0.5
# Stocks below this part of the cap are not worth a message.
_MIN_STOCK = 0.02
_MIN_EXTRA_STOCK = 0.1
_MIN_SILENCE_S = 0.5
_MAX_SILENCE_S = 4.0


@dataclasses.dataclass(slots=True)
class _Stock:
    tokens: float
    noted_s: float
    silence_s: float = 0.0
    silent_until_s: float = 0.0


class PeerStocks:
    """Expectations from the last answers; unknown stocks count as full.

    Args:
        rng: Spreads questions over peers that are expected to have as much.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._stocks: dict[str, _Stock] = {}

    def note(self, peer: str, tokens: float, now_s: float) -> None:
        """Records what a peer has left to lend."""
        self._stocks[peer] = _Stock(tokens, now_s)

    def note_silent(self, peer: str, now_s: float) -> None:
        """Records that a peer has not answered; it is left out for a while."""
        before = self._stocks.get(peer)
        last_s = before.silence_s if before else 0.0
        silence_s = min(_MAX_SILENCE_S, max(_MIN_SILENCE_S, 2 * last_s))
        self._stocks[peer] = _Stock(0.0, now_s, silence_s, now_s + silence_s)

    def keep_only(self, peers: Iterable[str]) -> None:
        """Drops what is known of gateways that are not announced any more."""
        kept = set(peers)
        for peer in [each for each in self._stocks if each not in kept]:
            del self._stocks[peer]

    def choose(
        self,
        tokens: float,
        near: Sequence[str],
        far: Sequence[str],
        share: shares.Share,
        now_s: float,
        *,
        required: float = 0.0,
    ) -> list[tuple[str, float]]:
        """Returns the peers to ask, with the tokens to ask each of.

        Args:
            tokens: Tokens that are missing.
            near: Connected gateways of this zone.
            far: Connected gateways of other zones.
            share: Share of a gateway.
            now_s: Time on the monotonic clock.
            required: Tokens without which the others are of no use: nobody is
                asked if all together are not expected to have them.
        """
        chosen: list[tuple[str, float]] = []
        missing = tokens
        total = 0.0
        for zone in (near, far):
            expected = [
                (self._expected(peer, share, now_s), self._rng.random(), peer)
                for peer in zone
            ]
            expected.sort(reverse=True)
            for stock, _, peer in expected:
                least = _MIN_STOCK if total < required else _MIN_EXTRA_STOCK
                if missing <= 0 or stock <= least * share.cap:
                    break
                chosen.append((peer, min(missing, stock)))
                missing -= _RELIANCE * stock
                total += stock
        return chosen if total >= required else []

    def _expected(self, peer: str, share: shares.Share, now_s: float) -> float:
        stock = self._stocks.get(peer)
        if stock is None:
            return share.cap
        if now_s < stock.silent_until_s:
            return 0.0
        growth = _EXPECTED_GROWTH * share.rate * (now_s - stock.noted_s)
        return min(share.cap, stock.tokens + growth)
