"""Delays requests until the sender's configuration revision is active."""

from __future__ import annotations

import datetime

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome
from hibiscusstile.configuration import store as store_lib

__all__ = ["wait_for_revision"]

_ARRIVAL_TIMEOUT = datetime.timedelta(seconds=1)
_POLL_INTERVAL = datetime.timedelta(milliseconds=10)


async def wait_for_revision(
    store: store_lib.ConfigurationStore,
    clock: clock_lib.Clock,
    revision: int,
) -> None:
    """Waits until the local configuration has at least a revision.

    Raises:
        Refused: `stale_revision` with verdict `not_run` on a timeout.
    """
    deadline_s = clock.monotonic() + _ARRIVAL_TIMEOUT.total_seconds()
    while store.revision < revision:
        if clock.monotonic() >= deadline_s:
            raise outcome.Refused(
                outcome.Refusal(
                    outcome.Reason.STALE_REVISION,
                    f"configuration revision {revision} is not active here yet",
                )
            )
        await clock.sleep(_POLL_INTERVAL)
