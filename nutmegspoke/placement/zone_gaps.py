"""Which zones have layers that nobody holds, and when to act on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

# An engine that crashed starts again about when its entry is gone: filling it
# anew is quicker than changing others, which give up what they hold.
REASSIGN_DELAY_S = 2.0
# A departure is told together with the gap that it leaves, or shortly before.
_SAME_MOMENT_S = 0.5


class ZoneGaps:
    """Since when zones lack layers, as every daemon sees it.

    A daemon that takes the lease over knows how old a gap is.
    """

    def __init__(self) -> None:
        """Start without gaps."""
        self._since_s: dict[str, float] = {}
        self._permanent: set[str] = set()

    def update_zones(
        self,
        zones: Collection[str],
        quiet_leaves_s: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Take which zones lack layers now.

        :param quiet_leaves_s: when a target last left each zone that had
            worked until then; such a one does not come back.
        """
        self._since_s = {zone: self._since_s.get(zone, now_s) for zone in zones}
        self._permanent = {
            zone
            for zone, since_s in self._since_s.items()
            if quiet_leaves_s.get(zone, float('-inf'))
            >= since_s - _SAME_MOMENT_S
        }

    def find_zones_to_close(self, now_s: float) -> set[str]:
        """Return the zones whose gaps won't close by themselves."""
        return {
            zone
            for zone, since_s in self._since_s.items()
            if zone in self._permanent or now_s - since_s > REASSIGN_DELAY_S
        }
