"""Plan of a pool: groups of engines, highest rate and weighted chains."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.routing.allocation import allocate
from nutmegspoke.routing.decomposition import decompose
from nutmegspoke.routing.groups import SpeedHysteresis, group_engines

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.routing.decomposition import WeightedChain
    from nutmegspoke.routing.groups import EngineGroup
    from nutmegspoke.targets import Target

_CHECK_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """Distribution of the flow through a pool over chains.

    :param groups: groups of engines.
    :param bound_tokens_per_s: highest rate that the engines allow.
    :param chains: weighted chains of groups.
    """

    groups: tuple[EngineGroup, ...]
    bound_tokens_per_s: float
    chains: tuple[WeightedChain, ...]

    @classmethod
    def from_groups(
        cls,
        groups: tuple[EngineGroup, ...],
        layer_count: int,
        activation_bytes: int,
    ) -> PoolPlan:
        """Compute the plan for groups of engines.

        :param groups: groups of engines.
        :param layer_count: layers of the model.
        :param activation_bytes: bytes sent between two stages for each token.
        """
        allocation = allocate(groups, layer_count, activation_bytes)
        chains = decompose(allocation, groups)
        return cls(groups, allocation.bound_tokens_per_s, chains)

    @classmethod
    def from_targets(
        cls,
        targets: Sequence[Target],
        layer_count: int,
    ) -> PoolPlan:
        """Compute the plan from the present speeds of engines.

        :param targets: the engines.
        :param layer_count: layers of the model.
        """
        groups = group_engines(targets, SpeedHysteresis().update(targets))
        return cls.from_groups(groups, layer_count, _activation_bytes(targets))

    def step_s(self, chain: WeightedChain) -> float:
        """Return the time that a token takes on an otherwise idle chain.

        :param chain: a chain of this plan.
        :returns: time in seconds.
        """
        return sum(
            len(hop.layers)
            * len(self.groups[hop.group].members)
            / self.groups[hop.group].layer_tokens_per_s
            for hop in chain.hops
        )

    def count_zone_crossings(self, chain: WeightedChain, origin: str) -> int:
        """Count the zone crossings of a chain.

        :param chain: a chain of this plan.
        :param origin: zone of the daemon; empty if unknown.
        """
        zones = [
            self.groups[hop.group].key.availability_zone for hop in chain.hops
        ]
        previous_zones = [origin or zones[0], *zones]
        pairs = zip(previous_zones, zones, strict=False)
        return sum(previous != zone for previous, zone in pairs)


class Planner:
    """Planner that renews a plan when engines or speeds change materially."""

    def __init__(self) -> None:
        """Create a planner without a plan."""
        self.plan = PoolPlan((), 0.0, ())
        self._speeds = SpeedHysteresis()
        self._layer_count = 0
        self._engine_names: frozenset[str] = frozenset()
        self._checked_at_s = 0.0

    def renew(
        self,
        targets: Sequence[Target],
        layer_count: int,
        now_s: float,
    ) -> bool:
        """Compute a new plan if engines or speeds have changed materially.

        Speeds are checked every half second, and the set of engines at each
        call.

        :param targets: engines that accept new work.
        :param layer_count: layers of the model.
        :param now_s: current time, in seconds.
        :returns: whether there is a new plan.
        """
        engine_names = frozenset(target.name for target in targets)
        is_due = now_s - self._checked_at_s >= _CHECK_INTERVAL_S
        if engine_names == self._engine_names and not is_due:
            return False
        self._engine_names = engine_names
        self._checked_at_s = now_s
        groups = group_engines(targets, self._speeds.update(targets))
        if groups == self.plan.groups and layer_count == self._layer_count:
            return False
        self._layer_count = layer_count
        self.plan = PoolPlan.from_groups(
            groups,
            layer_count,
            _activation_bytes(targets),
        )
        return True


def _activation_bytes(targets: Sequence[Target]) -> int:
    return max((target.activation_bytes for target in targets), default=0)
