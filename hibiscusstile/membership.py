"""Membership of sidecars, merged from the instance list and from peers.

The platform's instance list lags behind, so what a peer reports about itself
takes precedence.
"""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Collection, Iterable

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform

__all__ = ["Member", "Membership"]

_MEMBER_TTL = datetime.timedelta(seconds=60)
_MAX_MEMBERS = 4096


@dataclasses.dataclass(slots=True)
class Member:
    """A known sidecar, which may no longer be running.

    Attributes:
        address: `host:port` that peers connect to.
        host: IP address.
        port: Port for peer connections.
        permanent: Whether it comes from settings and never expires.
        last_seen_s: Monotonic time when it was last listed, reported or
            connected.
        leaving: Whether the instance list shows it as leaving.
        incarnation: Incarnation of the last connection, empty for none.
        leaving_incarnation: Incarnation that `leaving` applies to.
    """

    address: str
    host: str
    port: int
    permanent: bool
    last_seen_s: float
    leaving: bool = False
    incarnation: str = ""
    leaving_incarnation: str = ""


class Membership:
    """The known sidecars of one region.

    A sidecar expires after a minute in which it was not listed, reported by a
    peer or connected. The instance list lags by 30 s, so a minute is long
    enough to keep live ones.

    Args:
        region: The region whose sidecars are tracked.
        clock: Clock for the time since a sidecar was last seen.
    """

    def __init__(self, region: str, clock: clock_lib.Clock) -> None:
        self._region = region
        self._clock = clock
        self._members: dict[str, Member] = {}

    @property
    def members(self) -> Collection[Member]:
        """All known sidecars."""
        return tuple(self._members.values())

    def add_seed(self, host: str, port: int) -> None:
        """Adds a seed address from settings."""
        self._upsert(host, port, leaving=False, permanent=True)

    def note_listing(self, listing: platform.Listing) -> None:
        """Merges the platform's instance list."""
        for each in listing.instances:
            if each.role == "sidecar" and each.region == self._region:
                self._upsert(each.host, each.port, leaving=each.leaving)

    def note_peers(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Merges addresses reported by a peer."""
        for host, port in addresses:
            self._upsert(host, port, leaving=False)

    def note_alive(self, address: str, incarnation: str) -> None:
        """Records that a sidecar is connected."""
        member = self._members.get(address)
        if member is not None:
            member.last_seen_s = self._clock.monotonic()
            member.incarnation = incarnation

    def is_leaving(self, address: str) -> bool:
        """Returns whether the instance list shows the sidecar as leaving.

        The list lags, so its entry is ignored if it was for an earlier process
        at the same address.
        """
        member = self._members.get(address)
        return (
            member is not None
            and member.leaving
            and member.incarnation == member.leaving_incarnation
        )

    def remove_expired(self) -> list[str]:
        """Removes sidecars not seen for a minute; returns their addresses."""
        cutoff_s = self._clock.monotonic() - _MEMBER_TTL.total_seconds()
        expired = [
            member.address
            for member in self._members.values()
            if member.last_seen_s < cutoff_s and not member.permanent
        ]
        for address in expired:
            del self._members[address]
        return expired

    def _upsert(
        self,
        host: str,
        port: int,
        *,
        leaving: bool,
        permanent: bool = False,
    ) -> None:
        address = f"{host}:{port}"
        now_s = self._clock.monotonic()
        member = self._members.get(address)
        if member is None:
            if len(self._members) >= _MAX_MEMBERS:
                return
            member = Member(address, host, port, permanent, now_s)
            self._members[address] = member
        if leaving and not member.leaving:
            member.leaving_incarnation = member.incarnation
        member.leaving = leaving
        member.last_seen_s = now_s
        member.permanent = member.permanent or permanent
