"""Estimates of what this gateway does not know of its servers' load.

Many gateways that choose the cheapest server on the same old reports overrun
it. These estimates tell when knowledge is too old for that, how far it may be
off, and how many engines the long prompts occupy.
"""

from __future__ import annotations

import enum
import math

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics

__all__ = ["EvenLoad", "Mode", "ServiceTraffic"]

_log = logbook.Logger("evenload")

# Time constant of the moving averages.
_WINDOW_S = 10.0
# Below this many gateways each sees more than an eighth of all arrivals itself.
_MIN_GATEWAYS = 8
# Arrivals per server without a report above which `auto` takes effect, and
# below which it ends.
_START_UNSEEN = 1.0
_END_UNSEEN = 0.6
# Mean age of a peer's load report: half of the time between notices, and the
# time in which smaller changes are not reported.
_REPORT_AGE_S = 0.2
# Spread for one unseen arrival and its limit, in the unit of selection costs,
# where an answer in time is worth 3.
_SPREAD_PER_ARRIVAL = 0.015
_MAX_SPREAD = 0.06
# Utilization of the engines for long prompts by prefills, low enough for bursts
# of twice the mean. At 0.8, long prompts were late more often than without the
# feature.
_LONG_PROMPT_UTILIZATION = 0.4
# Sent requests from which a mix of work is told.
_MIN_SENT = 20
# Change of the wanted pool that is followed, in engines.
_MIN_POOL_CHANGE = 0.75


class Mode(enum.Enum):
    """When load is spread by these estimates."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class _Rate:
    """Moving average of an amount per second."""

    def __init__(self, now_s: float) -> None:
        self._sum = 0.0
        self._started_s = now_s
        self._updated_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        self._sum = self._faded(now_s) + amount
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        # A part of the window lies before the first moment.
        seen = 1 - math.exp((self._started_s - now_s) / _WINDOW_S)
        return self._faded(now_s) / (_WINDOW_S * max(seen, 0.05))

    def _faded(self, now_s: float) -> float:
        return self._sum * math.exp((self._updated_s - now_s) / _WINDOW_S)


class ServiceTraffic:
    """Traffic to one service, as far as this gateway can tell.

    Args:
        service: Name of the service, for logs and metrics.
        now_s: Time on the monotonic clock.
    """

    def __init__(self, service: str, now_s: float) -> None:
        self._service = service
        self._sent = 0
        self._sent_rate = _Rate(now_s)
        self._long_work = _Rate(now_s)
        self._own_tokens = _Rate(now_s)
        self._all_tokens = _Rate(now_s)
        self._pool: int | None = None
        self._active = False
        self._unseen = 0.0

    @property
    def active(self) -> bool:
        """Whether choices of servers use these estimates."""
        return self._active

    @property
    def unseen(self) -> float:
        """Arrivals per server that no report tells of yet."""
        return self._unseen

    @property
    def spread(self) -> float:
        """Difference of costs up to which servers count as equal; 0 if off."""
        if not self._active:
            return 0.0
        return min(_MAX_SPREAD, _SPREAD_PER_ARRIVAL * math.sqrt(self._unseen))

    def note_sent(
        self, long_work_s: float, shared_tokens: int, now_s: float
    ) -> None:
        """Records a request that this gateway sends.

        Args:
            long_work_s: Prefill time of a long prompt, 0 for other requests.
            shared_tokens: Tokens of its announced shared parts.
            now_s: Time on the monotonic clock.
        """
        self._sent += 1
        self._sent_rate.add(1.0, now_s)
        self._long_work.add(long_work_s, now_s)
        self._own_tokens.add(shared_tokens, now_s)
        self._all_tokens.add(shared_tokens, now_s)

    def note_announced(self, tokens: int, now_s: float) -> None:
        """Records shared prompt tokens that another gateway sends."""
        self._all_tokens.add(tokens, now_s)

    def update(
        self, mode: Mode, gateways: int, servers: int, now_s: float
    ) -> None:
        """Decides anew whether the estimates are used.

        Args:
            mode: The operators' setting.
            gateways: Number of gateways that send to the service.
            servers: Number of its servers.
            now_s: Time on the monotonic clock.
        """
        if mode is Mode.OFF and not self._active:
            return
        self._unseen = (
            self._sent_rate.per_s(now_s)
            * max(0, gateways - 1)
            * _REPORT_AGE_S
            / max(1, servers)
        )
        active = mode is Mode.ON
        if mode is Mode.AUTO:
            level = _END_UNSEEN if self._active else _START_UNSEEN
            active = (
                gateways >= _MIN_GATEWAYS
                and self._sent >= _MIN_SENT
                and self._unseen >= level
            )
        if active != self._active:
            self._active = active
            logs.event(
                _log,
                "even_load_started" if active else "even_load_ended",
                service=self._service,
                unseen=round(self._unseen, 2),
                gateways=gateways,
                servers=servers,
            )
        metrics.set_unseen_arrivals(self._service, self._unseen)

    def long_prompt_engines(self, most: int, now_s: float) -> int:
        """Returns how many engines to prefer for long prompts.

        Args:
            most: Upper limit, used until the mix of work is known.
            now_s: Time on the monotonic clock.
        """
        own_tokens = self._own_tokens.per_s(now_s)
        if not self._active or self._sent < _MIN_SENT or not own_tokens:
            return most
        work = (
            self._long_work.per_s(now_s)
            / own_tokens
            * self._all_tokens.per_s(now_s)
        )
        wanted = min(float(most), max(1.0, work / _LONG_PROMPT_UTILIZATION))
        pool = self._pool
        if pool is None or abs(wanted - pool) > _MIN_POOL_CHANGE:
            self._pool = pool = math.ceil(wanted - 0.5)
            metrics.set_long_prompt_engines(self._service, pool)
        return min(most, pool)


class EvenLoad:
    """Traffic estimates of all services.

    Args:
        clock: Clock of this process.
        mode: The operators' setting.
    """

    def __init__(self, clock: clock_lib.Clock, mode: Mode = Mode.OFF) -> None:
        self._clock = clock
        self._traffic: dict[str, ServiceTraffic] = {}
        self.mode = mode

    def traffic(self, service: str) -> ServiceTraffic:
        """Returns the estimate of a service, creating it if needed."""
        traffic = self._traffic.get(service)
        if traffic is None:
            traffic = self._traffic[service] = ServiceTraffic(
                service, self._clock.monotonic()
            )
        return traffic
