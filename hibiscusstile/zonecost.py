"""Network latency that a peer's zone or region adds to a request."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["ZoneCosts"]

_UNKNOWN_ZONE_S = 0.002  # above the 1.5 ms that the design assumes
_UNKNOWN_REGION_S = 0.1


class ZoneCosts:
    """Round-trip times by availability zone and region.

    A zone missing from the settings costs at least as much as the farthest
    listed one, so that an omission never makes a peer look near.

    Args:
        zone: Availability zone of this process.
        region: Region of this process.
        zone_delays_s: Round-trip time to each zone of this region, in seconds.
        region_delays_s: Round-trip time to other regions, in seconds.
    """

    def __init__(
        self,
        zone: str,
        region: str,
        zone_delays_s: Mapping[str, float],
        region_delays_s: Mapping[str, float],
    ) -> None:
        self._zone = zone
        self._region = region
        self._zone_delays_s = zone_delays_s
        self._region_delays_s = region_delays_s

    def cost_s(self, zone: str, region: str) -> float:
        """Returns the round-trip time in seconds."""
        if region != self._region:
            return self._region_delays_s.get(region, _UNKNOWN_REGION_S)
        if zone == self._zone:
            return self._zone_delays_s.get(zone, 0.0)
        farthest_s = max(self._zone_delays_s.values(), default=0.0)
        return self._zone_delays_s.get(zone, max(farthest_s, _UNKNOWN_ZONE_S))
