"""Chooses the chain of engines that runs a draft, and promises its room."""

from __future__ import annotations

import itertools
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.membership.load_news import update_interval_s
from nutmegspoke.routing.engine_loads import event_pause_s
from nutmegspoke.routing.room_chains import ChainTerms, Spread

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import Work
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.crossing_budget import ZonePair
    from nutmegspoke.routing.engine_loads import DraftNeed


class ChainChoice:
    """Finds chains by what the view believes, and logs each choice."""

    def __init__(self, view: View, log: DecisionLog, clock: Clock) -> None:
        """Use the view."""
        self._view = view
        self._log = log
        self._clock = clock

    def find(self, work: Work, need: DraftNeed) -> Chain | None:
        """Return the best chain with room now, which is then promised to it.

        :returns: ``None`` if no chain has room.
        """
        now_s = self._clock.now_s()
        pool = work.pool
        engines = self._view.engine_loads(
            pool.name,
            pool.profile,
            work.avoided,
            now_s,
        )
        crossings = self._view.crossings(pool.name, pool.profile)
        daemons = self._view.board.daemons(now_s) + 1
        barred = crossings.barred(
            {engine.availability_zone for engine in engines},
            daemons,
            now_s,
        )
        chain = self._view.finder(pool.name).find_near(
            engines,
            need,
            ChainTerms(
                barred=barred,
                firsts=work.may_begin_at(),
                spread=Spread.from_age(
                    zlib.crc32(work.room_key.encode()) + work.sends,
                    update_interval_s(daemons - 1),
                ),
            ),
        )
        if chain is None:
            return None
        crossed = self._crossed(chain)
        crossings.crossed(crossed, now_s)
        self._view.ledger.promise(work.room_key, chain, need.room_tokens)
        self._log.decided(
            'chain_chosen',
            request=work.facts.request_id,
            room_tokens=round(need.room_tokens),
            engines=len(engines),
            avoided=sorted(work.avoided),
            daemons_heard=daemons - 1,
            crossings=len(crossed),
            links_full=len(barred),
            pause_s=round(event_pause_s(chain, engines, pool.profile), 4),
            chain=[f'{stage.target}={stage.layers}' for stage in chain],
        )
        return chain

    def _crossed(self, chain: Chain) -> list[ZonePair]:
        """Return between which zones a chain passes."""
        zones = [self._view.zone_of(stage.target) for stage in chain]
        return [
            frozenset((here, there))
            for here, there in itertools.pairwise(zones)
            if here != there
        ]
