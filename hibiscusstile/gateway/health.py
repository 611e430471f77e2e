"""Passive health checks: suspends backend servers that fail."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs
from hibiscusstile.gateway import fleet

__all__ = ["HealthTable"]

_log = logbook.Logger("health")

# Pause after a failed connection, which means that the server is gone or
# unreachable, and after unanswered requests. It doubles with each further
# failure until the server responds.
_INITIAL_PAUSE_S = 0.5
_MAX_PAUSE_S = 4.0
# The entry of a replaced server is removed within this time.
_REPLACED_PAUSE_S = 6.0
# Weight of the newest response in the moving average of the failure rate.
_FAILURE_RATE_WEIGHT = 0.12
# A server is an outlier if its failure rate exceeds the median of the other
# servers of its service by more than this. An application's own errors occur
# on all of its servers, so they make none of them an outlier.
_OUTLIER_MARGIN = 0.3
_OUTLIER_PAUSE_S = 3.0
# Consecutive requests without a response that suspend a server.
_MAX_CONSECUTIVE_UNANSWERED = 2


@dataclasses.dataclass(slots=True)
class _ServerHealth:
    service: str
    failure_rate: float = 0.0
    consecutive_unanswered: int = 0
    suspended_until_s: float = 0.0
    pause_s: float = _INITIAL_PAUSE_S


class HealthTable:
    """Tracks the health of servers by the outcomes of this process's requests.

    Args:
        clock: Clock for pauses.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._records: dict[str, _ServerHealth] = {}

    def is_up(self, server_id: str) -> bool:
        """Returns whether a server is not suspended."""
        record = self._records.get(server_id)
        if record is None:
            return True
        return self._clock.monotonic() >= record.suspended_until_s

    def failure_rate(self, server_id: str) -> float:
        """Returns the moving average of the share of failed requests.

        Failed are requests without a complete response or with a server error.
        """
        record = self._records.get(server_id)
        return record.failure_rate if record else 0.0

    def note_response(self, server: fleet.BackendServer, failed: bool) -> None:
        """Records a response; `failed` means a server error."""
        record = self._record(server)
        record.consecutive_unanswered = 0
        record.pause_s = _INITIAL_PAUSE_S
        record.failure_rate += _FAILURE_RATE_WEIGHT * (
            float(failed) - record.failure_rate
        )
        if failed:
            self._suspend_if_outlier(server.server_id, record)

    def note_unreachable(self, server: fleet.BackendServer) -> None:
        """Suspends a server that could not be connected to."""
        record = self._record(server)
        self._suspend(server.server_id, record, record.pause_s, "unreachable")
        record.pause_s = min(_MAX_PAUSE_S, record.pause_s * 2)

    def note_replaced(self, server: fleet.BackendServer) -> None:
        """Suspends a server whose address now belongs to another one."""
        self._suspend(
            server.server_id,
            self._record(server),
            _REPLACED_PAUSE_S,
            "replaced",
        )

    def note_no_response(self, server: fleet.BackendServer) -> None:
        """Records a request without a complete response."""
        record = self._record(server)
        record.failure_rate += _FAILURE_RATE_WEIGHT * (
            1.0 - record.failure_rate
        )
        record.consecutive_unanswered += 1
        if record.consecutive_unanswered >= _MAX_CONSECUTIVE_UNANSWERED:
            self._suspend(server.server_id, record, record.pause_s, "silent")
            record.pause_s = min(_MAX_PAUSE_S, record.pause_s * 2)
            return
        self._suspend_if_outlier(server.server_id, record)

    def keep_only(self, server_ids: set[str]) -> None:
        """Drops servers that are no longer listed."""
        for server_id in list(self._records):
            if server_id not in server_ids:
                del self._records[server_id]

    def _suspend_if_outlier(
        self, server_id: str, record: _ServerHealth
    ) -> None:
        other_rates = [
            each.failure_rate
            for other_id, each in self._records.items()
            if other_id != server_id and each.service == record.service
        ]
        median_rate = (
            sorted(other_rates)[len(other_rates) // 2] if other_rates else 0.0
        )
        if record.failure_rate > median_rate + _OUTLIER_MARGIN:
            # Halved so that old failures do not suspend it again at once.
            record.failure_rate /= 2
            self._suspend(server_id, record, _OUTLIER_PAUSE_S, "failing")

    def _suspend(
        self, server_id: str, record: _ServerHealth, pause_s: float, cause: str
    ) -> None:
        now_s = self._clock.monotonic()
        if record.suspended_until_s <= now_s:
            logs.event(
                _log,
                "server_suspected",
                server=server_id,
                cause=cause,
                failures=round(record.failure_rate, 3),
                pause_s=pause_s,
            )
        record.suspended_until_s = max(
            record.suspended_until_s, now_s + pause_s
        )

    def _record(self, server: fleet.BackendServer) -> _ServerHealth:
        record = self._records.get(server.server_id)
        if record is None:
            record = self._records[server.server_id] = _ServerHealth(
                server.service
            )
        return record
