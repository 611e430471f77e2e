"""Peer discovery: the sidecars of a region, for entry instances."""

from __future__ import annotations

import datetime
import random

from hibiscusstile import clock as clock_lib
from hibiscusstile import membership, platform
from hibiscusstile.peers import messages

__all__ = ["Discovery"]

# A listing of 312 instances is about 47 KB, so this is less than 1 KB/s.
_LIST_INTERVAL = datetime.timedelta(seconds=60)


class Discovery:
    """Polls the platform's instance list and caches the sidecars in it.

    An entry instance that starts while the instance list is unavailable asks
    the sidecars named in its settings for the addresses of the others.

    Args:
        region: Region whose sidecars are cached.
        instance_list: Client of the platform's instance list.
        clock: Schedules the polls.
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
        """Addresses of the known sidecars."""
        return tuple(
            messages.PeerAddress(member.host, member.port)
            for member in self._membership.members
        )

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            listing = await self._instance_list.list_instances(self._region)
            if isinstance(listing, platform.Listing):
                self._membership.note_listing(listing)
                self._membership.remove_expired()
            jitter = random.uniform(0.8, 1.2)
            await self._clock.sleep(_LIST_INTERVAL * jitter)
