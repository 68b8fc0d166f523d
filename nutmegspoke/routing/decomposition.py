"""Decompose an allocation into chains of groups with rates."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from nutmegspoke.routing.allocation import Allocation, SegmentPlan
    from nutmegspoke.routing.groups import EngineGroup

_NEGLIGIBLE_SHARE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """A group and the layers that it runs in a chain.

    :param group: index of the group.
    :param layers: layers that it runs.
    """

    group: int
    layers: LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedChain:
    """A chain of groups.

    :param hops: groups in order; their layers cover the model once.
    :param tokens_per_s: share of the bound that this chain carries.
    """

    hops: tuple[Hop, ...]
    tokens_per_s: float


class _ChainBuilder:
    """Chains that are extended segment by segment."""

    def __init__(
        self,
        groups: Sequence[EngineGroup],
        bound_tokens_per_s: float,
    ) -> None:
        self.chains = [WeightedChain((), bound_tokens_per_s)]
        self._groups = groups
        self._negligible_rate = bound_tokens_per_s * _NEGLIGIBLE_SHARE
        self._extended: list[WeightedChain] = []
        self._unassigned_rates: dict[int, float] = {}
        self._layers = LayerRange(0, 0)

    def extend(self, plan: SegmentPlan) -> None:
        """Extend the chains by a segment.

        A chain stays on its group if possible, else in its zone; otherwise any
        group is used.
        """
        self._layers = plan.layers
        self._unassigned_rates = {
            portion.group: portion.tokens_per_s for portion in plan.portions
        }
        self._extended = []
        self._assign_matching(self._is_same_group)
        self._assign_matching(self._is_same_zone)
        self._assign_matching(_is_any_group)
        self.chains = self._extended

    def _assign_matching(
        self, is_match: Callable[[WeightedChain, int], bool]
    ) -> None:
        unmatched: list[WeightedChain] = []
        for chain in self.chains:
            remaining = self._assign(chain, is_match)
            if remaining > self._negligible_rate:
                unmatched.append(WeightedChain(chain.hops, remaining))
        self.chains = unmatched

    def _assign(
        self,
        chain: WeightedChain,
        is_match: Callable[[WeightedChain, int], bool],
    ) -> float:
        remaining = chain.tokens_per_s
        for group, unassigned in self._unassigned_rates.items():
            assigned = min(remaining, unassigned)
            if assigned > self._negligible_rate and is_match(chain, group):
                hops = _append(chain.hops, Hop(group, self._layers))
                self._extended.append(WeightedChain(hops, assigned))
                self._unassigned_rates[group] = unassigned - assigned
                remaining -= assigned
        return remaining

    def _is_same_group(self, chain: WeightedChain, group: int) -> bool:
        return bool(chain.hops) and chain.hops[-1].group == group

    def _is_same_zone(self, chain: WeightedChain, group: int) -> bool:
        if not chain.hops:
            return True
        return self._zone(chain.hops[-1].group) == self._zone(group)

    def _zone(self, group: int) -> str:
        return self._groups[group].key.availability_zone


def decompose(
    allocation: Allocation,
    groups: Sequence[EngineGroup],
) -> tuple[WeightedChain, ...]:
    """Decompose an allocation into chains.

    :param allocation: rates of the groups for the segments.
    :param groups: groups that the indices in the allocation refer to.
    :returns: chains that cover every layer once; their rates add up to the
        bound. Empty if the bound is 0.
    """
    if allocation.bound_tokens_per_s <= 0:
        return ()
    builder = _ChainBuilder(groups, allocation.bound_tokens_per_s)
    for plan in allocation.segments:
        builder.extend(plan)
    return _merge(builder.chains)


def _append(hops: tuple[Hop, ...], hop: Hop) -> tuple[Hop, ...]:
    if not hops or hops[-1].group != hop.group:
        return (*hops, hop)
    joined = LayerRange(hops[-1].layers.start, hop.layers.stop)
    return (*hops[:-1], Hop(hop.group, joined))


def _is_any_group(chain: WeightedChain, group: int) -> bool:
    return True


def _merge(chains: Sequence[WeightedChain]) -> tuple[WeightedChain, ...]:
    rates: dict[tuple[Hop, ...], float] = {}
    for chain in chains:
        rates[chain.hops] = rates.get(chain.hops, 0.0) + chain.tokens_per_s
    return tuple(WeightedChain(hops, rate) for hops, rate in rates.items())
