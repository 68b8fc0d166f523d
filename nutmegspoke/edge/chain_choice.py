"""Selects the chain of engines for a draft and reserves memory on it."""

from __future__ import annotations

import itertools
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.balance import read_waits
from nutmegspoke.edge.target_notices import closed_by_limits
from nutmegspoke.membership.load_news import max_load_age_s
from nutmegspoke.routing.engine_loads import event_interval_s
from nutmegspoke.routing.room_chains import ChainOptions, CostJitter

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.crossing_budget import ZonePair
    from nutmegspoke.routing.engine_loads import DraftNeed


class ChainSelector:
    """Selector of chains that uses the state in the view and logs choices."""

    def __init__(self, view: View, log: DecisionLog, clock: Clock) -> None:
        """Create a selector on a view."""
        self._view = view
        self._log = log
        self._clock = clock

    def reserve_chain(
        self, context: RequestContext, need: DraftNeed
    ) -> Chain | None:
        """Select the best chain with enough free memory and reserve it.

        :returns: the chain; ``None`` if no chain has enough free memory.
        """
        now_s = self._clock.now_s()
        pool = context.pool
        engines = self._view.engine_loads(
            pool.name,
            pool.profile,
            context.avoided,
            now_s,
        )
        crossings = self._view.crossing_budget(pool.name, pool.profile)
        daemons = self._view.load_updates.daemons(now_s) + 1
        not_first = closed_by_limits(self._view, context, now_s)
        blocked_pairs = crossings.blocked_pairs(
            {engine.availability_zone for engine in engines},
            daemons,
            now_s,
        )
        news_age_s = max_load_age_s(daemons - 1)
        salt = zlib.crc32(context.reservation_key.encode()) + context.sends
        waits = None
        if read_waits.is_needed(
            engines, pool.profile, context.route.gap_goal_s
        ):
            waits = read_waits.ReadWaits.from_engines(
                engines, pool.profile, news_age_s, salt
            )
        chain = self._view.chain_finder(pool.profile).find_preferring_one_zone(
            engines,
            need,
            ChainOptions(
                blocked_pairs=blocked_pairs,
                first_engines=context.allowed_targets(),
                not_first=not_first,
                jitter=CostJitter.from_age(salt, news_age_s),
                visit_costs_s=waits.costs_s(engines, need) if waits else {},
            ),
        )
        if chain is None:
            return None
        context.has_target = True
        zone_crossings = self._zone_crossings(chain)
        crossings.record_crossings(zone_crossings, now_s)
        self._view.own_reservations.reserve(
            context.reservation_key, chain, need.memory_tokens
        )
        self._log.decided(
            'chain_chosen',
            request=context.facts.request_id,
            room_tokens=round(need.memory_tokens),
            engines=len(engines),
            avoided=sorted(context.avoided),
            daemons_heard=daemons - 1,
            crossings=len(zone_crossings),
            links_full=len(blocked_pairs),
            closed_by_limits=len(not_first),
            pause_s=round(event_interval_s(chain, engines, pool.profile), 4),
            chain=[f'{stage.target}={stage.layers}' for stage in chain],
        )
        return chain

    def _zone_crossings(self, chain: Chain) -> list[ZonePair]:
        """Return the pair of zones of each zone crossing of a chain."""
        zones = [self._view.find_zone(stage.target) for stage in chain]
        return [
            frozenset((here, there))
            for here, there in itertools.pairwise(zones)
            if here != there
        ]
