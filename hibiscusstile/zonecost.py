"""What the distance to a peer adds to the time to first token."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["ZoneCosts"]

_UNKNOWN_ZONE_S = 0.002  # above the 1.5 ms between zones of the design page
_UNKNOWN_REGION_S = 0.1


class ZoneCosts:
    """Round trips by availability zone and region.

    A zone that the settings do not list counts as the farthest listed one,
    so that an omission never makes a peer look near.

    Args:
        zone: The own availability zone.
        region: The own region.
        zone_delays_s: Seconds of round trip to zones of the own region.
        region_delays_s: Seconds of round trip to other regions.
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
        """Returns the seconds of one round trip."""
        if region != self._region:
            return self._region_delays_s.get(region, _UNKNOWN_REGION_S)
        if zone == self._zone:
            return self._zone_delays_s.get(zone, 0.0)
        farthest_s = max(self._zone_delays_s.values(), default=0.0)
        return self._zone_delays_s.get(zone, max(farthest_s, _UNKNOWN_ZONE_S))
