"""Ranks of the requests that a pool receives, and their urgency at targets.

The rank of a request is the priority of its team, then that of its route; the
lowest goes first.
"""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.entry_host import DEFAULT_TEAM_PRIORITY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import EntryRoute, EntryTables

Rank = tuple[int, int]

# Targets know ten classes of urgency. Each rank has two of them: one for
# requests whose callers have a part of the answer, and the next for all others.
_CLASSES_PER_RANK = 2
_MAX_RANKS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRanks:
    """The ranks of a pool with several.

    :param ranks: the ranks, the most urgent first.
    """

    ranks: tuple[Rank, ...]

    def index(self, rank: Rank) -> int:
        """Return the index of a rank; 0 is the most urgent.

        A rank of other tables has the index of the next less urgent one.
        """
        place = bisect.bisect_left(self.ranks, rank)
        return min(place, len(self.ranks) - 1)

    def urgency(self, rank: Rank, *, has_answer: bool) -> int:
        """Return the class in which targets admit a request.

        Neighbouring ranks share their classes where there are more ranks than
        classes for them.

        :param has_answer: whether the caller has a part of the answer.
        """
        count = max(len(self.ranks), _MAX_RANKS)
        step = self.index(rank) * _MAX_RANKS // count
        return step * _CLASSES_PER_RANK + int(not has_answer)


def contended_pools(tables: EntryTables) -> dict[str, PoolRanks]:
    """Return the ranks of each pool that requests of several ranks share."""
    by_pool: dict[str, set[Rank]] = {}
    for route in tables.routes:
        ranks = set(_route_ranks(route, tables))
        for share in route.pools:
            if share.weight > 0:
                by_pool.setdefault(share.pool, set()).update(ranks)
    return {
        pool: PoolRanks(tuple(sorted(ranks)))
        for pool, ranks in by_pool.items()
        if len(ranks) > 1
    }


def _route_ranks(route: EntryRoute, tables: EntryTables) -> Iterable[Rank]:
    if route.is_public or not tables.has_teams:
        return ((DEFAULT_TEAM_PRIORITY, route.priority),)
    return (
        (team.priority, route.priority) for team in tables.team_by_key.values()
    )
