"""Tracks whether the configuration in force has been confirmed recently."""

from __future__ import annotations

import datetime
from collections.abc import Callable

from hibiscusstile import clock as clock_lib

__all__ = ["MAX_CONFIRMATION_AGE", "FreshnessTracker"]

MAX_CONFIRMATION_AGE = datetime.timedelta(seconds=3)


class FreshnessTracker:
    """Prevents serving with an outdated configuration after a pause.

    The age of a confirmation is measured from the time its request was sent:
    after a pause (SIGSTOP), socket buffers still hold responses from before
    the pause, and those must not confirm anything.

    An idle process is usually not fresh. Before it serves, it queries the log
    or a peer, which takes one round trip; under load, the replies to bid
    requests keep it fresh.

    Args:
        clock: Measures the age of confirmations; must advance during a pause.
        revision: Returns the revision in force in this process.
        max_age: How long a confirmation is valid.
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
        """Whether recently confirmed, and no newer revision is known."""
        if self._confirmed_s is None or self.is_behind:
            return False
        age_s = self._clock.monotonic() - self._confirmed_s
        return age_s <= self._max_age_s

    @property
    def is_behind(self) -> bool:
        """Whether another process has reported a newer revision."""
        return self._newest_revision > self._revision()

    @property
    def newest_revision(self) -> int:
        """The newest revision reported by another process; -1 for none."""
        return self._newest_revision

    def confirm(self, sent_s: float | None = None) -> None:
        """Records a response of the log or of a peer.

        Args:
            sent_s: Monotonic time at which the request was sent; None for
                now, if the response cannot have waited in a buffer.
        """
        if sent_s is None:
            sent_s = self._clock.monotonic()
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def confirm_end_of_log(self, sent_s: float) -> None:
        """Records that the log has been applied to its end.

        A newer revision that was reported before the read was sent does not
        exist on the log. It is discarded, so that one wrong message cannot
        prevent a process from serving.

        Args:
            sent_s: Monotonic time at which the read request was sent.
        """
        if sent_s > self._newest_noted_s:
            self._newest_revision = -1
        self.confirm(sent_s)

    def note_revision(self, revision: int) -> None:
        """Records a revision that another process reports as in force."""
        if revision > max(self._revision(), self._newest_revision):
            self._newest_revision = revision
            self._newest_noted_s = self._clock.monotonic()
