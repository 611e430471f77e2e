"""Limits the rate of configuration fetches from peers."""

from __future__ import annotations

import datetime
from collections.abc import Callable

from hibiscusstile import clock as clock_lib

__all__ = ["FetchPacer"]

# Peers send their revision in every message. Without a minimum interval, a
# process that is one change behind would fetch once for each message.
_MIN_FETCH_INTERVAL = datetime.timedelta(seconds=1)
_FULL_STATE = -1


class FetchPacer:
    """Decides when to fetch from a peer, and whether the full state.

    Args:
        clock: Measures the time between fetches.
        revision: Returns the revision in force in this process.
    """

    def __init__(
        self, clock: clock_lib.Clock, revision: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._revision = revision
        self._last_fetch_s: float | None = None
        self._last_fetch_revision = _FULL_STATE
        self._needs_full_state = False
        self._newest_revision = _FULL_STATE

    def next_fetch(self, peer_revision: int) -> int | None:
        """Returns the revision to fetch changes from, None for no fetch now.

        A revision of -1 requests the full state.

        Args:
            peer_revision: The revision in force at the peer.
        """
        self._newest_revision = max(self._newest_revision, peer_revision)
        revision = self._revision()
        if peer_revision <= revision:
            return None
        now_s = self._clock.monotonic()
        is_too_early = (
            self._last_fetch_s is not None
            and self._last_fetch_revision == revision
            and now_s - self._last_fetch_s < _MIN_FETCH_INTERVAL.total_seconds()
        )
        if is_too_early:
            return None
        self._last_fetch_s = now_s
        self._last_fetch_revision = revision
        return _FULL_STATE if self._needs_full_state else revision

    def next_retry(self) -> int | None:
        """Returns the revision for a repeated fetch, None for no fetch now.

        A fetch is repeated until the newest revision that a peer has reported
        is in force.
        """
        return self.next_fetch(self._newest_revision)

    def note_fetch_result(self, refused: bool) -> None:
        """Records whether the state that a peer sent was refused.

        After a refused delta the next fetch requests the full state, since
        the peer may have computed the delta from a different state.
        """
        self._needs_full_state = refused
