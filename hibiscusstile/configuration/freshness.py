"""Tells whether this process has confirmed its configuration recently."""

from __future__ import annotations

import datetime
from collections.abc import Callable

from hibiscusstile import clock as clock_lib

__all__ = ["MAX_CONFIRMATION_AGE", "FreshnessTracker"]

MAX_CONFIRMATION_AGE = datetime.timedelta(seconds=3)


class FreshnessTracker:
    """Guards against serving on a configuration from before a pause.

    A confirmation counts from the moment its question was asked: after a
    pause (SIGSTOP) the sockets still hold answers that are as old as the
    pause, and reading one of those confirms nothing.

    Not fresh is the usual state of an idle process. Before it serves, it asks
    the log or a peer again and needs one round trip; under load the replies
    to bid requests keep it fresh.

    Args:
        clock: Measures the age of confirmations; must advance during a pause.
        revision: Returns the revision in force in this process.
        fresh_for: How long a confirmation counts.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        revision: Callable[[], int],
        max_age: datetime.timedelta = MAX_CONFIRMATION_AGE,
    ) -> None:
        self._clock = clock
        self._revision = revision
        self._max_age_s = max_age.total_seconds()
        self._confirmed_s: float | None = None
        self._newest_revision = -1
        self._newest_noted_s = 0.0

    @property
    def is_fresh(self) -> bool:
        """Whether the revision in force is known to be the newest."""
        if self._confirmed_s is None or self.is_behind:
            return False
        age_s = self._clock.monotonic() - self._confirmed_s
        return age_s <= self._max_age_s

    @property
    def is_behind(self) -> bool:
        """Whether a newer revision than the one in force is known of."""
        return self._newest_revision > self._revision()

    @property
    def newest_revision(self) -> int:
        """The newest revision that was noted; -1 for none."""
        return self._newest_revision

    def confirm(self, sent_s: float | None = None) -> None:
        """Notes an answer of the log or of a peer.

        Args:
            sent_s: Monotonic time at which its question was sent; None for
                now, when the answer cannot have waited in a buffer.
        """
        if sent_s is None:
            sent_s = self._clock.monotonic()
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def confirm_end_of_log(self, sent_s: float) -> None:
        """Notes that the log has been applied to its end.

        A newer revision that was noted before the log was asked does not
        exist on the log and is forgotten, so that one wrong message cannot
        keep a process from serving.

        Args:
            sent_s: Monotonic time at which the read was sent.
        """
        if sent_s > self._newest_noted_s:
            self._newest_revision = -1
        self.confirm(sent_s)

    def note_revision(self, revision: int) -> None:
        """Notes a revision that another process has in force."""
        if revision > max(self._revision(), self._newest_revision):
            self._newest_revision = revision
            self._newest_noted_s = self._clock.monotonic()
