"""Selects the chain of engines for a draft and reserves memory on it."""

from __future__ import annotations

import itertools
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.balance import read_waits
from nutmegspoke.balance.pause_limits import PauseLimit
from nutmegspoke.edge.target_notices import closed_by_limits
from nutmegspoke.membership.load_news import max_load_age_s
from nutmegspoke.routing.engine_loads import event_interval_s
from nutmegspoke.routing.room_chains import ChainOptions, CostJitter

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.crossing_budget import ZonePair
    from nutmegspoke.routing.engine_loads import DraftNeed, EngineLoad


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
        daemons = self._view.load_updates.daemons(now_s) + 1
        waits = _read_waits(context, engines, daemons)
        options = self._options(context, engines, daemons, waits)
        chain = self._find(context, engines, need, options)
        if chain is None:
            return None
        context.has_target = True
        zone_crossings = self._zone_crossings(chain)
        crossings = self._view.crossing_budget(pool.name, pool.profile)
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
            links_full=len(options.blocked_pairs),
            closed_by_limits=len(options.not_first),
            pause_s=round(event_interval_s(chain, engines, pool.profile), 4),
            read_wait_s=(
                round(waits.chain_wait_s(chain, engines), 4) if waits else 0.0
            ),
            chain=[f'{stage.target}={stage.layers}' for stage in chain],
        )
        return chain

    def _options(
        self,
        context: RequestContext,
        engines: Sequence[EngineLoad],
        daemons: int,
        waits: read_waits.ReadWaits | None,
    ) -> ChainOptions:
        """Return the options for the choice of a chain."""
        now_s = self._clock.now_s()
        pool = context.pool
        crossings = self._view.crossing_budget(pool.name, pool.profile)
        return ChainOptions(
            blocked_pairs=crossings.blocked_pairs(
                {engine.availability_zone for engine in engines},
                daemons,
                now_s,
            ),
            first_engines=context.allowed_targets(),
            not_first=closed_by_limits(self._view, context, now_s),
            jitter=CostJitter.from_age(
                _salt(context), max_load_age_s(daemons - 1)
            ),
            visit_costs_s=waits.costs_s(engines) if waits else {},
        )

    def _find(
        self,
        context: RequestContext,
        engines: Sequence[EngineLoad],
        need: DraftNeed,
        options: ChainOptions,
    ) -> Chain | None:
        """Return the best chain, whose pauses are short enough if possible."""
        profile = context.pool.profile
        gap_goal_s = context.route.gap_goal_s
        is_limited = read_waits.is_needed(engines, profile, gap_goal_s)
        finder = self._view.chain_finder(profile)
        return PauseLimit.from_goal(gap_goal_s if is_limited else 0.0).find(
            engines,
            profile,
            lambda usable: finder.find_preferring_one_zone(
                usable, need, options
            ),
        )

    def _zone_crossings(self, chain: Chain) -> list[ZonePair]:
        """Return the pair of zones of each zone crossing of a chain."""
        zones = [self._view.find_zone(stage.target) for stage in chain]
        return [
            frozenset((here, there))
            for here, there in itertools.pairwise(zones)
            if here != there
        ]


def _read_waits(
    context: RequestContext, engines: Sequence[EngineLoad], daemons: int
) -> read_waits.ReadWaits | None:
    """Return the waits at engines; ``None`` where they are not balanced."""
    profile = context.pool.profile
    if not read_waits.is_needed(engines, profile, context.route.gap_goal_s):
        return None
    return read_waits.ReadWaits.from_engines(
        engines, profile, max_load_age_s(daemons - 1), _salt(context)
    )


def _salt(context: RequestContext) -> int:
    """Return a seed that differs between drafts and between their sends."""
    return zlib.crc32(context.reservation_key.encode()) + context.sends
