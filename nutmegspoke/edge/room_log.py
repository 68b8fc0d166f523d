"""Logs and measures the room of pools, and the demand for it by rank."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.contention import protection
from nutmegspoke.edge.pool_rooms import find_demand, find_room

if TYPE_CHECKING:
    from nutmegspoke.contention.free_room import FreeRoom
    from nutmegspoke.contention.ranks import PoolRanks
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.view import View

# Interval between two measurements; the demand is logged at each that finds
# drafts held back.
_INTERVAL_S = 1.0


class RoomLog:
    """Log of the rooms of all pools of engines."""

    def __init__(
        self, view: View, metrics: EdgeMetrics, log: DecisionLog
    ) -> None:
        """Create a log of the pools in a view."""
        self._view = view
        self._metrics = metrics
        self._log = log
        self._measured_s = float('-inf')

    def tick(self, now_s: float) -> None:
        """Measure all pools if the last time is long enough ago."""
        tables = self._view.tables
        if tables is None or now_s - self._measured_s < _INTERVAL_S:
            return
        self._measured_s = now_s
        for name, pool in tables.pools.items():
            if pool.profile is None:
                continue
            room = find_room(self._view, name, pool.profile, now_s)
            self._metrics.observe_room(name, room.free_tokens, room.used_share)
            ranks = self._view.contention.ranks(name)
            if ranks is not None:
                self._log_held_back(name, ranks, room, now_s)

    def _log_held_back(
        self, pool: str, ranks: PoolRanks, room: FreeRoom, now_s: float
    ) -> None:
        demand = find_demand(self._view, pool, ranks, now_s)
        shares = [
            round(protection.admitted_share(demand, index, room), 3)
            for index in range(len(ranks.ranks))
        ]
        if min(shares) < 1:
            self._log.decided(
                'ranks_held_back',
                pool=pool,
                ranks=ranks.ranks,
                admitted_shares=shares,
                demand=demand.by_rank,
                free_tokens=round(room.free_tokens),
                narrowest_used=round(room.used_share, 3),
                daemons_heard=self._view.load_updates.daemons(now_s),
            )
