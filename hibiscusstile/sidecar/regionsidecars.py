"""The region's runners as a sidecar knows them."""

from __future__ import annotations

import datetime

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform

__all__ = ["RegionSidecars"]

_log = logbook.Logger("placement")

_REFRESH = datetime.timedelta(seconds=60)

# A runner that restarts is back within this time; a plan that moved its model
# at once would load it twice for nothing.
_HOLD = datetime.timedelta(seconds=60)


class RegionSidecars:
    """Sidecars of one region, from the instance list.

    Args:
        instances: The instance list.
        region: The region.
        clock: Paces the reads.
    """

    def __init__(
        self,
        instances: platform.InstanceList,
        region: str,
        clock: clock_lib.Clock,
    ) -> None:
        self._instances = instances
        self._region = region
        self._clock = clock
        self._seen_s: dict[str, float] = {}
        self._read_s: float | None = None

    @property
    def peer_ids(self) -> frozenset[str]:
        """Peer ids of the sidecars listed now or a short while ago."""
        return frozenset(self._seen_s)

    async def refresh(self) -> None:
        """Reads the list if the last read is old."""
        now_s = self._clock.monotonic()
        interval_s = _REFRESH.total_seconds()
        if self._read_s is not None and now_s < self._read_s + interval_s:
            return
        self._read_s = now_s
        listing = await self._instances.list_instances(self._region)
        if isinstance(listing, platform.ListUnavailable):
            _log.warning("instance_list_unavailable reason={}", listing.message)
            return
        for each in listing.instances:
            if (each.role, each.region) == ("sidecar", self._region):
                if each.leaving:
                    self._seen_s.pop(each.peer_id, None)
                else:
                    self._seen_s[each.peer_id] = now_s
        oldest_s = now_s - _HOLD.total_seconds()
        self._seen_s = {
            name: seen_s
            for name, seen_s in self._seen_s.items()
            if seen_s >= oldest_s
        }
