"""Recent shares of prefixes in the requests of one entry instance."""

from __future__ import annotations

__all__ = ["PrefixShares"]

_HALF_LIFE_REQUESTS = 150
_WEIGHT_GROWTH = 2 ** (1 / _HALF_LIFE_REQUESTS)
_PRIOR_REQUESTS = 20.0  # keeps the first few requests from looking hot
_MAX_PREFIXES = 4096
_MAX_REQUEST_WEIGHT = 1e9


class PrefixShares:
    """Exponentially decayed shares of prefixes in the observed requests.

    The decay is per request and not per second, so that the shares do not
    depend on the request rate. They are only a hint: after a restart they
    are learned again within about a hundred requests.
    """

    def __init__(self) -> None:
        self._request_weight = 1.0
        self._total = 0.0
        self._counts: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def count_request(self, digest: int) -> float:
        """Counts a request; returns its prefix's share of earlier requests."""
        # Instead of decaying all counts, later requests get a higher weight.
        self._request_weight *= _WEIGHT_GROWTH
        count = self._counts.get(digest, 0.0)
        share = count / (self._total + _PRIOR_REQUESTS * self._request_weight)
        self._total += self._request_weight
        self._counts[digest] = count + self._request_weight
        if (
            self._request_weight > _MAX_REQUEST_WEIGHT
            or len(self._counts) > _MAX_PREFIXES
        ):
            self._compact()
        return share

    def _compact(self) -> None:
        # Drops prefixes that have decayed to less than 1/16 of a request.
        kept = {
            digest: count / self._request_weight
            for digest, count in self._counts.items()
            if count > self._request_weight / 16
        }
        self._counts = kept
        self._total /= self._request_weight
        self._request_weight = 1.0
