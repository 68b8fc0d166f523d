"""Demand for the room of a pool by rank, as daemons tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Largest believable figure, far above the memory of any pool; the squares of
# arrivals are bounded by its square.
_MAX_FIGURE = 1e12
# Most pools, and ranks of a pool, that an update may name.
_MAX_NAMES = 256


class RankDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one rank, on one or more daemons.

    :param held_tokens: memory of the drafts that run.
    :param arrived_tokens_per_s: memory of the drafts that arrive.
    :param arrived_squares_per_s: sum of the squares of these, which gives
        their spread.
    :param freed_tokens_per_s: memory that the running drafts free, by the time
        for which earlier ones held theirs.
    :param refused_per_s: drafts refused.
    """

    held_tokens: float = 0.0
    arrived_tokens_per_s: float = 0.0
    arrived_squares_per_s: float = 0.0
    freed_tokens_per_s: float = 0.0
    refused_per_s: float = 0.0

    def plus(self, other: RankDemand) -> RankDemand:
        """Return the sum of this and another demand."""
        return self._combine(other, 1)

    def without(self, part: RankDemand) -> RankDemand:
        """Return this demand less a part of it; nothing below 0."""
        return self._combine(part, -1)

    def is_possible(self) -> bool:
        """Return whether the figures can be true."""
        linear = (
            self.held_tokens,
            self.arrived_tokens_per_s,
            self.freed_tokens_per_s,
            self.refused_per_s,
        )
        return (
            all(0 <= figure <= _MAX_FIGURE for figure in linear)
            and 0 <= self.arrived_squares_per_s <= _MAX_FIGURE**2
        )

    def _combine(self, other: RankDemand, sign: int) -> RankDemand:
        return RankDemand(
            *(
                max(0.0, mine + sign * its)
                for mine, its in zip(
                    msgspec.structs.astuple(self),
                    msgspec.structs.astuple(other),
                    strict=True,
                )
            )
        )


NO_DEMAND = RankDemand()
# By pool, and by rank as text.
DemandNews = dict[str, dict[str, RankDemand]]


def rank_text(rank: tuple[int, int]) -> str:
    """Return a rank as updates name it."""
    team_priority, route_priority = rank
    return f'{team_priority}.{route_priority}'


def is_possible(news: Mapping[str, Mapping[str, RankDemand]]) -> bool:
    """Return whether told demand can be true."""
    if len(news) > _MAX_NAMES:
        return False
    return all(
        len(by_rank) <= _MAX_NAMES
        and all(demand.is_possible() for demand in by_rank.values())
        for by_rank in news.values()
    )


def sum_demand(
    parts: Iterable[Mapping[str, Mapping[str, RankDemand]]],
) -> DemandNews:
    """Return the sums of the demand of several daemons."""
    total: DemandNews = {}
    for news in parts:
        for pool, by_rank in news.items():
            sums = total.setdefault(pool, {})
            for rank, demand in by_rank.items():
                sums[rank] = sums.get(rank, NO_DEMAND).plus(demand)
    return total


def without_part(
    sums: DemandNews, part: Mapping[str, Mapping[str, RankDemand]]
) -> DemandNews:
    """Return sums less a part that they contain."""
    return {
        pool: {
            rank: demand.without(part.get(pool, {}).get(rank, NO_DEMAND))
            for rank, demand in by_rank.items()
        }
        for pool, by_rank in sums.items()
    }
