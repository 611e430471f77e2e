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
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 4.0
# Discovery drops the entry of a server that is gone within this time.
_REPLACED_PAUSE_S = 6.0
# Weight of the newest answer in the average of failures.
_FAILURE_GAIN = 0.12
# A server that fails this much more often than the others of its service is
# passed over. An application's own errors come from all of its servers.
_GREY_MARGIN = 0.3
_GREY_PAUSE_S = 3.0
# Requests without an answer in a row after which a server is passed over.
_SILENT_LIMIT = 2


@dataclasses.dataclass(slots=True)
class _State:
    service: str
    failure_rate: float = 0.0
    silent: int = 0
    down_until_s: float = 0.0
    pause_s: float = _FIRST_PAUSE_S


class HealthTable:
    """Judges servers by the outcomes of this process's own requests.

    Args:
        clock: Measures pauses.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._records: dict[str, _State] = {}

    def is_up(self, server_id: str) -> bool:
        """Returns whether a server takes requests now."""
        state = self._records.get(server_id)
        if state is None:
            return True
        return self._clock.monotonic() >= state.down_until_s

    def failure_rate(self, server_id: str) -> float:
        """Returns the average share of failed requests, recent ones first."""
        state = self._records.get(server_id)
        return state.failure_rate if state else 0.0

    def note_response(self, server: fleet.BackendServer, failed: bool) -> None:
        """Counts an answer; `failed` says that it was a server error."""
        state = self._of(server)
        state.silent = 0
        state.pause_s = _FIRST_PAUSE_S
        state.failure_rate += _FAILURE_GAIN * (
            float(failed) - state.failure_rate
        )
        if failed:
            self._judge(server.server_id, state)

    def note_unreachable(self, server: fleet.BackendServer) -> None:
        """Passes a server over whose connection failed."""
        state = self._of(server)
        self._pass_over(server.server_id, state, state.pause_s, "unreachable")
        state.pause_s = min(_MAX_PAUSE_S, state.pause_s * 2)

    def note_replaced(self, server: fleet.BackendServer) -> None:
        """Passes a server over whose address another server has now."""
        self._pass_over(
            server.server_id, self._of(server), _REPLACED_PAUSE_S, "replaced"
        )

    def note_no_response(self, server: fleet.BackendServer) -> None:
        """Counts a request that a server did not answer, or broke off."""
        state = self._of(server)
        state.failure_rate += _FAILURE_GAIN * (1.0 - state.failure_rate)
        state.silent += 1
        if state.silent >= _SILENT_LIMIT:
            self._pass_over(server.server_id, state, state.pause_s, "silent")
            state.pause_s = min(_MAX_PAUSE_S, state.pause_s * 2)
            return
        self._judge(server.server_id, state)

    def keep_only(self, server_ids: set[str]) -> None:
        """Forgets servers that are not listed any more."""
        for server_id in list(self._records):
            if server_id not in server_ids:
                del self._records[server_id]

    def _judge(self, server_id: str, state: _State) -> None:
        others = [
            each.failure_rate
            for other_id, each in self._records.items()
            if other_id != server_id and each.service == state.service
        ]
        usual = sorted(others)[len(others) // 2] if others else 0.0
        if state.failure_rate > usual + _GREY_MARGIN:
            # Halved, so that the server is judged anew after the pause.
            state.failure_rate /= 2
            self._pass_over(server_id, state, _GREY_PAUSE_S, "failing")

    def _pass_over(
        self, server_id: str, state: _State, pause_s: float, why: str
    ) -> None:
        now_s = self._clock.monotonic()
        if state.down_until_s <= now_s:
            logs.event(
                _log,
                "server_suspected",
                server=server_id,
                cause=why,
                failures=round(state.failure_rate, 3),
                pause_s=pause_s,
            )
        state.down_until_s = max(state.down_until_s, now_s + pause_s)

    def _of(self, server: fleet.BackendServer) -> _State:
        state = self._records.get(server.server_id)
        if state is None:
            state = self._records[server.server_id] = _State(server.service)
        return state
