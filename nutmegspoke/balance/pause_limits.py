"""Keep the expected time between events under a route's goal for pauses."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.routing.engine_loads import event_interval_s

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.engine_loads import EngineLoad

# Share of the goal that the expected time between events may take: the longest
# pause of a stream is about twice its usual one.
_GOAL_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PauseLimit:
    """Limit of the expected time between two events.

    :param limit_s: the limit in seconds; 0 for none.
    """

    limit_s: float

    @classmethod
    def from_goal(cls, gap_goal_s: float) -> PauseLimit:
        """Return the limit for a route.

        :param gap_goal_s: goal of the route for pauses, in seconds; 0 if none.
        """
        return cls(_GOAL_SHARE * gap_goal_s)

    def find(
        self,
        engines: Sequence[EngineLoad],
        profile: ModelProfile,
        find: Callable[[Sequence[EngineLoad]], Chain | None],
    ) -> Chain | None:
        """Return the best chain that stays under the limit, if there is one.

        :param engines: engines that may be used.
        :param find: returns the best of all chains of some engines.
        :returns: a chain beyond the limit if there is no other; ``None`` if
            there is no chain at all.
        """
        chain = find(engines)
        if chain is None or not self.limit_s:
            return chain
        if event_interval_s(chain, engines, profile) <= self.limit_s:
            return chain
        quick = self.quick_enough(engines, profile)
        return (find(quick) if quick else None) or chain

    def quick_enough(
        self, engines: Sequence[EngineLoad], profile: ModelProfile
    ) -> list[EngineLoad]:
        """Return the engines of which any chain stays under the limit.

        Each takes no more of the time than its share of the layers.
        """
        return [
            engine
            for engine in engines
            if self._takes_s(engine, profile)
            <= self.limit_s * len(engine.layers) / profile.layer_count
        ]

    def _takes_s(self, engine: EngineLoad, profile: ModelProfile) -> float:
        layer_count = len(engine.layers)
        return profile.tokens_per_event * engine.time_per_token_s(
            layer_count, profile
        )
