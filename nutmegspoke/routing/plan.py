"""The plan of a pool: groups, bound and weighted chains."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.routing.allocation import allocate
from nutmegspoke.routing.decomposition import decompose
from nutmegspoke.routing.groups import SpeedMemory, group_engines

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.routing.decomposition import WeightedChain
    from nutmegspoke.routing.groups import EngineGroup
    from nutmegspoke.targets import Target

_CHECK_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """How the flow through a pool is split.

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
        """Work the plan out.

        :param groups: groups of engines.
        :param layer_count: layers of the model.
        :param activation_bytes: bytes of a token between two stages.
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
        """Work the plan out from the engines' present speeds."""
        groups = group_engines(targets, SpeedMemory().update(targets))
        return cls.from_groups(groups, layer_count, _activation_bytes(targets))

    def step_s(self, chain: WeightedChain) -> float:
        """Return the time of one token over a chain without other work.

        :param chain: a chain of this plan.
        """
        return sum(
            len(hop.layers)
            * len(self.groups[hop.group].members)
            / self.groups[hop.group].layer_tokens_per_s
            for hop in chain.hops
        )

    def zone_changes(self, chain: WeightedChain, origin: str) -> int:
        """Count how often a chain changes the availability zone.

        :param chain: a chain of this plan.
        :param origin: zone of the daemon; empty if not known.
        """
        zones = [
            self.groups[hop.group].key.availability_zone for hop in chain.hops
        ]
        before = [origin or zones[0], *zones]
        pairs = zip(before, zones, strict=False)
        return sum(left != entered for left, entered in pairs)


class Planner:
    """Renews a plan when membership or speeds change materially."""

    def __init__(self) -> None:
        """Create a planner without a plan."""
        self.plan = PoolPlan((), 0.0, ())
        self._speeds = SpeedMemory()
        self._layer_count = 0
        self._names: frozenset[str] = frozenset()
        self._checked_at_s = 0.0

    def renew(
        self,
        targets: Sequence[Target],
        layer_count: int,
        now_s: float,
    ) -> bool:
        """Work out a new plan if the old one no longer fits.

        Speeds are looked at every half second, membership at each call.

        :returns: whether the plan is new.
        """
        names = frozenset(target.name for target in targets)
        is_due = now_s - self._checked_at_s >= _CHECK_INTERVAL_S
        if names == self._names and not is_due:
            return False
        self._names = names
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
