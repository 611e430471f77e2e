"""Which sidecars exist, as far as this process can tell.

Two sources are joined: the platform's list, which lags, and the peers
themselves. What a peer said of itself goes before the list.
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
    """A sidecar that may exist.

    Attributes:
        address: `host:port` that peers connect to.
        host: Its IP address.
        port: Its port for peers.
        leaving: Whether the list shows it as leaving.
        incarnation: The incarnation that last said hello, empty for none.
        leaving_incarnation: The incarnation that `leaving` is about.
        permanent: Whether it comes from settings and is never forgotten.
        seen_s: Monotonic time of the last sign of it.
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

    A sidecar that is neither listed nor connected for a minute is forgotten.
    The list's lag of 30 s therefore never drops a live one.

    Args:
        region: The region whose sidecars count.
        clock: Measures how long a sidecar went unseen.
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
        """Adds an address from settings."""
        self._upsert(host, port, leaving=False, permanent=True)

    def note_listing(self, listing: platform.Listing) -> None:
        """Takes over the platform's list."""
        for each in listing.instances:
            if each.role == "sidecar" and each.region == self._region:
                self._upsert(each.host, each.port, leaving=each.leaving)

    def note_peers(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Takes over addresses that a peer knows."""
        for host, port in addresses:
            self._upsert(host, port, leaving=False)

    def note_alive(self, address: str, incarnation: str) -> None:
        """Notes that a connection to a sidecar stands."""
        member = self._members.get(address)
        if member is not None:
            member.last_seen_s = self._clock.monotonic()
            member.incarnation = incarnation

    def is_leaving(self, address: str) -> bool:
        """Returns whether the list shows the sidecar as leaving.

        The lagging list may still show the predecessor of a process that
        has just started at the same address; that does not count.
        """
        member = self._members.get(address)
        return (
            member is not None
            and member.leaving
            and member.incarnation == member.leaving_incarnation
        )

    def remove_expired(self) -> list[str]:
        """Forgets sidecars unseen for too long; returns their addresses."""
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
