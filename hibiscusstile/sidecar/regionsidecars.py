"""Sidecars of a region, for the placement plan."""

from __future__ import annotations

import datetime

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform

__all__ = ["RegionSidecars"]

_log = logbook.Logger("placement")

_REFRESH_INTERVAL = datetime.timedelta(seconds=60)

# A restarting runner is listed again within this time. Reassigning its model
# earlier would load the model twice unnecessarily.
_RESTART_GRACE = datetime.timedelta(seconds=60)


class RegionSidecars:
    """Sidecars of one region, read from the instance list.

    Args:
        instance_list: Client of the platform's instance list.
        region: Region whose sidecars are kept.
        clock: Measures the age of entries.
    """

    def __init__(
        self,
        instance_list: platform.InstanceList,
        region: str,
        clock: clock_lib.Clock,
    ) -> None:
        self._instance_list = instance_list
        self._region = region
        self._clock = clock
        self._last_seen_s: dict[str, float] = {}
        self._last_read_s: float | None = None

    @property
    def peer_ids(self) -> frozenset[str]:
        """Peer ids of sidecars listed within the restart grace period."""
        return frozenset(self._last_seen_s)

    async def refresh(self) -> None:
        """Reads the list unless it was read within the refresh interval."""
        now_s = self._clock.monotonic()
        interval_s = _REFRESH_INTERVAL.total_seconds()
        if (
            self._last_read_s is not None
            and now_s < self._last_read_s + interval_s
        ):
            return
        self._last_read_s = now_s
        listing = await self._instance_list.list_instances(self._region)
        if isinstance(listing, platform.ListUnavailable):
            _log.warning("instance_list_unavailable reason={}", listing.message)
            return
        for instance in listing.instances:
            if (instance.role, instance.region) == ("sidecar", self._region):
                if instance.leaving:
                    self._last_seen_s.pop(instance.peer_id, None)
                else:
                    self._last_seen_s[instance.peer_id] = now_s
        cutoff_s = now_s - _RESTART_GRACE.total_seconds()
        self._last_seen_s = {
            peer_id: last_seen_s
            for peer_id, last_seen_s in self._last_seen_s.items()
            if last_seen_s >= cutoff_s
        }
