"""Track gaps (layers that no engine of a zone holds) and when to close them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

# A crashed engine restarts at about the time its entry disappears. Loading its
# layers again is faster than reassigning engines that must first drop theirs.
REASSIGN_DELAY_S = 2.0
# A departure is reported with the gap that it causes, or up to this much
# earlier.
_DEPARTURE_LEAD_S = 0.5


class ZoneGaps:
    """Time since which each zone has had a gap.

    Every daemon tracks it, so that a daemon that acquires the lease knows how
    old each gap is.
    """

    def __init__(self) -> None:
        """Start without gaps."""
        self._since_s: dict[str, float] = {}
        self._permanent: set[str] = set()

    def update_zones(
        self,
        zones: Collection[str],
        departures_s: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Replace the set of zones that have a gap.

        :param zones: zones with a gap now.
        :param departures_s: by zone, when a target last left that had worked
            until then. Such a target does not come back, so that its gap is
            permanent.
        :param now_s: current time.
        """
        self._since_s = {zone: self._since_s.get(zone, now_s) for zone in zones}
        self._permanent = {
            zone
            for zone, since_s in self._since_s.items()
            if departures_s.get(zone, float('-inf'))
            >= since_s - _DEPARTURE_LEAD_S
        }

    def find_zones_to_close(self, now_s: float) -> set[str]:
        """Return the zones whose gaps are not expected to close by themselves."""
        return {
            zone
            for zone, since_s in self._since_s.items()
            if zone in self._permanent or now_s - since_s > REASSIGN_DELAY_S
        }
