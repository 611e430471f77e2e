"""Which backend servers are passed over because they fail."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs
from hibiscusstile.gateway import fleet

__all__ = ["HealthTable"]

_log = logbook.Logger("health")

# A connection that fails says that the server is gone or cut off; the pause
# doubles while checks fail.
_INITIAL_PAUSE_S = 0.5
_MAX_PAUSE_S = 4.0
# Discovery drops the entry of a server that is gone within this time.
_REPLACED_PAUSE_S = 6.0
# Weight of the newest answer in the average of failures.
_FAILURE_RATE_WEIGHT = 0.12
# A server that fails this much more often than the others of its service is
# passed over. An application's own errors come from all of its servers.
_OUTLIER_MARGIN = 0.3
_OUTLIER_PAUSE_S = 3.0
# Requests without an answer in a row after which a server is passed over.
_MAX_UNANSWERED = 2


@dataclasses.dataclass(slots=True)
class _ServerHealth:
    service: str
    failure_rate: float = 0.0
    unanswered: int = 0
    suspended_until_s: float = 0.0
    pause_s: float = _INITIAL_PAUSE_S


class HealthTable:
    """Judges servers by the outcomes of this process's own requests.

    Args:
        clock: Measures pauses.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._records: dict[str, _ServerHealth] = {}

    def is_up(self, server_id: str) -> bool:
        """Returns whether a server takes requests now."""
        record = self._records.get(server_id)
        if record is None:
            return True
        return self._clock.monotonic() >= record.suspended_until_s

    def failure_rate(self, server_id: str) -> float:
        """Returns the average share of failed requests, recent ones first."""
        record = self._records.get(server_id)
        return record.failure_rate if record else 0.0

    def note_response(self, server: fleet.BackendServer, failed: bool) -> None:
        """Counts an answer; `failed` says that it was a server error."""
        record = self._record(server)
        record.unanswered = 0
        record.pause_s = _INITIAL_PAUSE_S
        record.failure_rate += _FAILURE_RATE_WEIGHT * (
            float(failed) - record.failure_rate
        )
        if failed:
            self._check_outlier(server.server_id, record)

    def note_unreachable(self, server: fleet.BackendServer) -> None:
        """Passes a server over whose connection failed."""
        record = self._record(server)
        self._suspend(server.server_id, record, record.pause_s, "unreachable")
        record.pause_s = min(_MAX_PAUSE_S, record.pause_s * 2)

    def note_replaced(self, server: fleet.BackendServer) -> None:
        """Passes a server over whose address another server has now."""
        self._suspend(
            server.server_id,
            self._record(server),
            _REPLACED_PAUSE_S,
            "replaced",
        )

    def note_no_response(self, server: fleet.BackendServer) -> None:
        """Counts a request that a server did not answer, or broke off."""
        record = self._record(server)
        record.failure_rate += _FAILURE_RATE_WEIGHT * (
            1.0 - record.failure_rate
        )
        record.unanswered += 1
        if record.unanswered >= _MAX_UNANSWERED:
            self._suspend(server.server_id, record, record.pause_s, "silent")
            record.pause_s = min(_MAX_PAUSE_S, record.pause_s * 2)
            return
        self._check_outlier(server.server_id, record)

    def keep_only(self, server_ids: set[str]) -> None:
        """Forgets servers that are not listed any more."""
        for server_id in list(self._records):
            if server_id not in server_ids:
                del self._records[server_id]

    def _check_outlier(self, server_id: str, record: _ServerHealth) -> None:
        other_rates = [
            each.failure_rate
            for other_id, each in self._records.items()
            if other_id != server_id and each.service == record.service
        ]
        median_rate = (
            sorted(other_rates)[len(other_rates) // 2] if other_rates else 0.0
        )
        if record.failure_rate > median_rate + _OUTLIER_MARGIN:
            # Halved, so that the server is judged anew after the pause.
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
