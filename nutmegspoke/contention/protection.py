"""Protection levels: room that less urgent drafts leave to more urgent ones.

All daemons together admit as much as room frees itself, and correct the free
room towards the protection level of the rank: what more urgent drafts may take
beyond their mean before the daemons have heard of it. What the more urgent
ranks ask for comes off first; a rank gets the rest, at least a floor. Each
daemon admits the same share of the rank's drafts, so that many daemons with the
same old news neither rush into free room nor all turn away from it.
"""

from __future__ import annotations

import dataclasses
import math
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.contention.demand import NO_DEMAND

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.contention.demand import RankDemand
    from nutmegspoke.contention.free_room import FreeRoom

# Standard deviations of the more urgent arrivals that are protected.
_DEVIATIONS = 2.0
# Time in which the free room is corrected, relative to the age of news, and its
# minimum: shorter ones would overshoot.
_CORRECTION_AGES = 2.0
_MIN_CORRECTION_S = 1.0
# Largest share of the room that is kept free, whatever was told.
_MAX_SHARE = 0.5
# Each rank is served at least this share of what it would be if ranks did not
# count, so that none is closed out.
_FLOOR_SHARE = 0.5
_CHECKSUMS = 2**32


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand of a pool as one daemon knows it.

    :param by_rank: demand of each rank, the most urgent first.
    :param news_age_s: longest expected age of the other daemons' demand.
    """

    by_rank: Sequence[RankDemand]
    news_age_s: float

    @property
    def correction_s(self) -> float:
        """Return the time in which the free room is corrected, in seconds."""
        return max(_MIN_CORRECTION_S, _CORRECTION_AGES * self.news_age_s)

    def total(self, stop: int | None = None) -> RankDemand:
        """Return the sum of the demand of the ranks before an index."""
        total = NO_DEMAND
        for demand in self.by_rank[:stop]:
            total = total.plus(demand)
        return total


def protected_tokens(demand: PoolDemand, index: int, room: FreeRoom) -> float:
    """Return the room that a rank leaves to more urgent ones, in tokens.

    :param index: index of the rank; 0 is the most urgent.
    """
    squares_per_s = demand.total(index).arrived_squares_per_s
    unheard_s = demand.news_age_s + demand.correction_s
    return min(
        _DEVIATIONS * math.sqrt(squares_per_s * unheard_s),
        _MAX_SHARE * room.total_tokens,
    )


def admitted_share(demand: PoolDemand, index: int, room: FreeRoom) -> float:
    """Return the share of a rank's new drafts that are admitted.

    :param index: index of the rank; 0 is the most urgent.
    """
    urgent_per_s = demand.total(index).arrived_tokens_per_s
    wanted_per_s = demand.by_rank[index].arrived_tokens_per_s
    if min(urgent_per_s, wanted_per_s, room.total_tokens) <= 0:
        return 1.0
    spare_tokens = room.free_tokens - protected_tokens(demand, index, room)
    everyone = demand.total()
    freed_per_s = everyone.freed_tokens_per_s
    left_per_s = freed_per_s + spare_tokens / demand.correction_s - urgent_per_s
    # Until drafts have ended, nobody knows how much room frees itself.
    equal_share = freed_per_s / everyone.arrived_tokens_per_s or 1.0
    floor = _FLOOR_SHARE * min(1.0, equal_share)
    return min(1.0, max(floor, left_per_s / wanted_per_s))


def is_held_back(
    demand: PoolDemand, index: int, key: str, room: FreeRoom
) -> bool:
    """Return whether a draft must leave its room to more urgent ones.

    :param index: index of its rank; 0 is the most urgent.
    :param key: id of the request, which decides whether it is in the share
        that is admitted.
    """
    draw = zlib.crc32(key.encode()) / _CHECKSUMS
    return draw >= admitted_share(demand, index, room)
