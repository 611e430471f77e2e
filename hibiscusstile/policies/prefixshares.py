"""How hot prefixes are, as a share of one entry instance's requests."""

from __future__ import annotations

__all__ = ["PrefixShares"]

_HALF_LIFE_REQUESTS = 150
_WEIGHT_GROWTH = 2 ** (1 / _HALF_LIFE_REQUESTS)
_PRIOR_REQUESTS = 20.0  # requests; keeps the first few from looking hot
_MAX_PREFIXES = 4096
_MAX_REQUEST_WEIGHT = 1e9


class PrefixShares:
    """Decayed shares of prefixes among the requests seen.

    The decay counts requests and not seconds, so that the share does not
    depend on the rate. It is a hint only: a restarted entry has none and
    learns it again from about a hundred requests.
    """

    def __init__(self) -> None:
        self._request_weight = 1.0
        self._total = 0.0
        self._counts: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def count_request(self, digest: int) -> float:
        """Counts a request and returns its prefix's share of earlier ones."""
        # Later requests weigh more instead of earlier ones less.
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
        # Entries of less than one request from a few half-lives ago.
        kept = {
            digest: count / self._request_weight
            for digest, count in self._counts.items()
            if count > self._request_weight / 16
        }
        self._counts = kept
        self._total /= self._request_weight
        self._request_weight = 1.0
