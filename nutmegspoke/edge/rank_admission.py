"""Holds drafts back whose room more urgent ones need.

Reads the room of the pool and the demand of all daemons, for the decision in
:mod:`nutmegspoke.contention.protection`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.contention import protection
from nutmegspoke.edge.pool_rooms import find_demand, find_room

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.contention.free_room import FreeRoom
    from nutmegspoke.contention.ranks import PoolRanks
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.routing.engine_loads import DraftNeed


class RankAdmission:
    """Admission of drafts by rank, in pools that several ranks share."""

    def __init__(self, view: View, clock: Clock) -> None:
        """Create an instance on a view."""
        self._view = view
        self._clock = clock

    def arrived(self, context: RequestContext, need: DraftNeed) -> None:
        """Count a draft, unless it had a chain before."""
        if self._find_ranks(context) is None or context.has_target:
            return
        self._view.contention.own.arrived(
            context.pool.name,
            context.priority,
            need.memory_tokens,
            self._clock.now_s(),
        )

    def admitted(self, context: RequestContext, need: DraftNeed) -> None:
        """Record the room of a draft that has a chain."""
        if self._find_ranks(context) is None:
            return
        self._view.contention.own.admitted(
            context.reservation_key,
            context.pool.name,
            context.priority,
            need.memory_tokens,
            self._clock.now_s(),
        )

    def ended(self, context: RequestContext) -> None:
        """Record that a draft has left; ignored if it had no chain."""
        self._view.contention.own.ended(
            context.reservation_key, self._clock.now_s()
        )

    def refused(self, context: RequestContext) -> None:
        """Count a draft that was refused."""
        if self._find_ranks(context) is not None:
            self._view.contention.own.refused(
                context.pool.name, context.priority, self._clock.now_s()
            )

    def is_held_back(self, context: RequestContext) -> bool:
        """Return whether a draft must leave its room to more urgent ones."""
        ranks = self._find_ranks(context)
        if ranks is None or ranks.index(context.priority) == 0:
            return False
        return protection.is_held_back(
            self._demand(context.pool.name, ranks),
            ranks.index(context.priority),
            context.reservation_key,
            self._room(context),
        )

    def log_fields(self, context: RequestContext) -> dict[str, object]:
        """Return the values that led to a refusal, for the log."""
        room = self._room(context)
        fields: dict[str, object] = {
            'narrowest_used': round(room.used_share, 3),
            'free_tokens': round(room.free_tokens),
        }
        ranks = self._find_ranks(context)
        if ranks is not None:
            index = ranks.index(context.priority)
            demand = self._demand(context.pool.name, ranks)
            fields['protected_tokens'] = round(
                protection.protected_tokens(demand, index, room)
            )
            fields['admitted_share'] = round(
                protection.admitted_share(demand, index, room), 3
            )
        return fields

    def _find_ranks(self, context: RequestContext) -> PoolRanks | None:
        return self._view.contention.ranks(context.pool.name)

    def _room(self, context: RequestContext) -> FreeRoom:
        pool = context.pool
        return find_room(
            self._view, pool.name, pool.profile, self._clock.now_s()
        )

    def _demand(self, pool: str, ranks: PoolRanks) -> protection.PoolDemand:
        return find_demand(self._view, pool, ranks, self._clock.now_s())
