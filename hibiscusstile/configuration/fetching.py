"""Decides when to ask a peer for a newer configuration."""

from __future__ import annotations

import datetime
from collections.abc import Callable

from hibiscusstile import clock as clock_lib

__all__ = ["FetchPacer"]

# Peers name their revision in every message. Without a pause between fetches
# a process that is one change behind would ask once for each message it gets.
_MIN_FETCH_INTERVAL = datetime.timedelta(seconds=1)
_FULL_STATE = -1


class FetchPacer:
    """Lets one fetch out at a time, and asks for the whole state if needed.

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
        """Returns the revision to name in a fetch, None for no fetch now.

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
        """Returns the revision to name in a repeated fetch, None for none.

        A fetch is repeated while a newer revision is known of and no state
        that contains it has arrived.
        """
        return self.next_fetch(self._newest_revision)

    def note_fetch_result(self, refused: bool) -> None:
        """Notes whether the state that a peer sent was refused.

        A refused change set leads to a fetch of the whole state, since the
        peer may have started from another one.
        """
        self._needs_full_state = refused
