"""Remembers the region's sidecars for entry instances that restart."""

from __future__ import annotations

import datetime
import random

from hibiscusstile import clock as clock_lib
from hibiscusstile import membership, platform
from hibiscusstile.peers import messages

__all__ = ["Discovery"]

# 312 instances of a region take about 47 KB a listing, under 1 KB/s.
_LIST_INTERVAL = datetime.timedelta(seconds=60)


class Discovery:
    """Reads the platform's list now and then and keeps the last one.

    An entry instance that restarts while the list is down learns the other
    sidecars from the few that its settings name.

    Args:
        region: The region whose sidecars are kept.
        instance_list: The platform's list.
        clock: Paces the look-ups.
    """

    def __init__(
        self,
        region: str,
        instance_list: platform.InstanceList,
        clock: clock_lib.Clock,
    ) -> None:
        self._region = region
        self._instance_list = instance_list
        self._clock = clock
        self._membership = membership.Membership(region, clock)

    @property
    def peers(self) -> tuple[messages.PeerAddress, ...]:
        """The sidecars known."""
        return tuple(
            messages.PeerAddress(member.host, member.port)
            for member in self._membership.members
        )

    async def run(self) -> None:
        """Reads the list until cancelled."""
        while True:
            listing = await self._instance_list.list_instances(self._region)
            if isinstance(listing, platform.Listing):
                self._membership.note_listing(listing)
                self._membership.remove_expired()
            jitter = random.uniform(0.8, 1.2)
            await self._clock.sleep(_LIST_INTERVAL * jitter)
