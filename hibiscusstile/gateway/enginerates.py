"""Estimates of what the engines of a service need for a first token.

The time to the first token is modelled as a sum of five parts, and their sizes
are estimated from the times observed, by a Kalman filter. The estimate starts
from a prior that only has to be right within an order of magnitude.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

import logbook

from hibiscusstile import logs

__all__ = ["EngineRates", "FirstTokenWork"]

_log = logbook.Logger("enginerates")

# Seconds for a request as such, for each running request, for each prompt token
# that is prefilled, for each pair of tokens in attention, and for each token of
# KV cache that is fetched.
_PRIOR_S = (20e-3, 1e-3, 20e-6, 0.4e-9, 10e-6)
# Standard deviation of the prior, as a share of it.
_PRIOR_DEVIATION = 1.0
# Share of the prior by which the true sizes may change between observations.
_DRIFT = 3e-3
# Standard deviation of an observation: a share of the expected time, and the
# time that network and event loop add.
_NOISE_SHARE = 0.3
_NOISE_S = 0.01
# An observation that deviates by more is limited: it may be of a slow engine,
# or requests of other gateways are not known yet.
_MAX_DEVIATIONS = 2.0
# Bounds of an estimate, as a share of the prior.
_MIN_SHARE = 0.02
_MAX_SHARE = 50.0
# Observations after which the estimate of another gateway is not adopted.
_ADOPTION_OBSERVATIONS = 20
_LOG_INTERVAL_OBSERVATIONS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class FirstTokenWork:
    """What an engine has to do before the first token of a request.

    Attributes:
        running: Requests that run at the engine.
        queued_tokens: Prompt tokens of other requests that wait there.
        uncached_tokens: Tokens of the prompt that the engine prefills.
        prompt_tokens: Length of the prompt.
        fetched_tokens: Tokens of the prompt that it fetches from a store.
    """

    running: int = 0
    queued_tokens: int = 0
    uncached_tokens: int = 0
    prompt_tokens: int = 0
    fetched_tokens: int = 0

    @property
    def factors(self) -> tuple[float, ...]:
        """Number of units of each of the five parts."""
        return (
            1.0,
            float(self.running),
            float(self.queued_tokens + self.uncached_tokens),
            self.uncached_tokens
            * max(0.0, self.prompt_tokens - self.uncached_tokens / 2),
            float(self.fetched_tokens),
        )


class EngineRates:
    """Estimate for the engines of one service.

    Args:
        service: Name of the service, for logs.
        prior: Assumed sizes of the five parts, in seconds.
    """

    def __init__(self, service: str, prior: Sequence[float] = _PRIOR_S) -> None:
        self._service = service
        self._prior = tuple(prior)
        self._sizes = list(prior)
        self._covariance = [
            [
                (_PRIOR_DEVIATION * size) ** 2 if row == column else 0.0
                for column in range(len(self._prior))
            ]
            for row, size in enumerate(self._prior)
        ]
        self._observations = 0

    @property
    def sizes(self) -> tuple[float, ...]:
        """Estimated sizes of the five parts, in seconds."""
        return tuple(self._sizes)

    @property
    def observations(self) -> int:
        """Number of observations behind the estimate."""
        return self._observations

    @property
    def prefill_tokens_per_s(self) -> float:
        """Estimated prompt tokens that an engine prefills in a second."""
        return 1.0 / self._sizes[2]

    def expected_s(self, work: FirstTokenWork) -> float:
        """Returns the expected time to the first token of some work."""
        return sum(
            size * factor
            for size, factor in zip(self._sizes, work.factors, strict=True)
        )

    def observe(self, work: FirstTokenWork, elapsed_s: float) -> None:
        """Improves the estimate by an observed time to the first token."""
        factors = work.factors
        expected_s = self.expected_s(work)
        # Covariance of the sizes with the expected time.
        gains = [
            sum(c * f for c, f in zip(row, factors, strict=True))
            for row in self._covariance
        ]
        noise_s = _NOISE_SHARE * expected_s + _NOISE_S
        variance = noise_s**2 + sum(
            g * f for g, f in zip(gains, factors, strict=True)
        )
        limit_s = _MAX_DEVIATIONS * math.sqrt(variance)
        error_s = max(-limit_s, min(limit_s, elapsed_s - expected_s))
        for row, gain in enumerate(gains):
            prior = self._prior[row]
            size = self._sizes[row] + gain / variance * error_s
            self._sizes[row] = max(
                _MIN_SHARE * prior, min(_MAX_SHARE * prior, size)
            )
            for column, other_gain in enumerate(gains):
                self._covariance[row][column] -= gain * other_gain / variance
            self._covariance[row][row] += (_DRIFT * prior) ** 2
        self._observations += 1
        if self._observations % _LOG_INTERVAL_OBSERVATIONS == 0:
            self._log_estimate()

    def adopt(self, sizes: Sequence[float], observations: int) -> None:
        """Starts from the estimate of another gateway that has seen more.

        An estimate that has observations of its own to rely on is kept.
        """
        if (
            self._observations >= _ADOPTION_OBSERVATIONS
            or observations <= self._observations
            or len(sizes) != len(self._prior)
        ):
            return
        self._sizes = [
            max(_MIN_SHARE * prior, min(_MAX_SHARE * prior, size))
            for size, prior in zip(sizes, self._prior, strict=True)
        ]
        self._observations = min(observations, _ADOPTION_OBSERVATIONS)
        self._log_estimate()

    def _log_estimate(self) -> None:
        logs.event(
            _log,
            "rates_estimated",
            service=self._service,
            observations=self._observations,
            prefill_tokens_per_s=round(self.prefill_tokens_per_s),
            fixed_s=round(self._sizes[0], 4),
            running_request_s=round(self._sizes[1], 5),
        )
