"""Room of a pool and demand for it, as this daemon knows them from all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.contention.demand import NO_DEMAND, rank_text, sum_demand
from nutmegspoke.contention.free_room import find_narrowest_room
from nutmegspoke.contention.protection import PoolDemand
from nutmegspoke.membership.received_updates import demand_elsewhere

if TYPE_CHECKING:
    from nutmegspoke.contention.free_room import FreeRoom
    from nutmegspoke.contention.ranks import PoolRanks
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import ModelProfile


def find_room(
    view: View, pool: str, profile: ModelProfile, now_s: float
) -> FreeRoom:
    """Return the room that whole chains of a pool can still use."""
    engines = view.engine_loads(pool, profile, (), now_s)
    return find_narrowest_room(engines, profile.layer_count)


def find_demand(
    view: View, pool: str, ranks: PoolRanks, now_s: float
) -> PoolDemand:
    """Return the demand for a pool of this and all heard daemons."""
    updates = view.load_updates
    own = view.contention.own.outgoing(now_s)
    elsewhere = demand_elsewhere(updates.others(now_s))
    by_rank = sum_demand((own, elsewhere)).get(pool, {})
    return PoolDemand(
        [by_rank.get(rank_text(rank), NO_DEMAND) for rank in ranks.ranks],
        updates.max_load_age_s(now_s),
    )
