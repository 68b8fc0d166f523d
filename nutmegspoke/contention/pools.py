"""Ranks and own demand of the pools that several ranks share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.contention.own_demand import OwnDemand
from nutmegspoke.contention.ranks import contended_pools

if TYPE_CHECKING:
    from nutmegspoke.contention.ranks import PoolRanks, Rank
    from nutmegspoke.entry_host import EntryTables


class ContendedPools:
    """Ranks of the pools in the tables, and the demand of own drafts.

    :ivar own: demand of this daemon's drafts in these pools.
    """

    def __init__(self) -> None:
        """Start without tables."""
        self._ranks: dict[str, PoolRanks] = {}
        self.own = OwnDemand()

    def apply_tables(self, tables: EntryTables) -> None:
        """Take the ranks of newer tables."""
        self._ranks = contended_pools(tables)
        self.own.keep_pools(self._ranks)

    def ranks(self, pool: str) -> PoolRanks | None:
        """Return the ranks of a pool; ``None`` if it has one only."""
        return self._ranks.get(pool)

    def urgency(self, pool: str, rank: Rank, *, has_answer: bool) -> int | None:
        """Return the class of a request at targets; ``None`` for none.

        :param has_answer: whether the caller has a part of the answer.
        """
        ranks = self._ranks.get(pool)
        if ranks is None:
            return None
        return ranks.urgency(rank, has_answer=has_answer)
