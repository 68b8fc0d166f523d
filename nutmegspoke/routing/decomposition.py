"""Decomposes an allocation into chains of groups with rates."""

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
    """A group and the layers that it runs in a chain."""

    group: int
    layers: LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedChain:
    """A chain of groups.

    :param hops: groups in order; their layers cover the model once.
    :param tokens_per_s: share of the bound that goes this way.
    """

    hops: tuple[Hop, ...]
    tokens_per_s: float


class _Sweep:
    """Extends chains by one segment after another."""

    def __init__(
        self,
        groups: Sequence[EngineGroup],
        bound_tokens_per_s: float,
    ) -> None:
        self.chains = [WeightedChain((), bound_tokens_per_s)]
        self._groups = groups
        self._negligible = bound_tokens_per_s * _NEGLIGIBLE_SHARE
        self._extended: list[WeightedChain] = []
        self._needs: dict[int, float] = {}
        self._layers = LayerRange(0, 0)

    def extend(self, plan: SegmentPlan) -> None:
        """Extend the chains by a segment.

        Flow stays on its group where it can, else in its zone, else anywhere.
        """
        self._layers = plan.layers
        self._needs = {
            portion.group: portion.tokens_per_s for portion in plan.portions
        }
        self._extended = []
        self._match(self._same_group)
        self._match(self._same_zone)
        self._match(_any_group)
        self.chains = self._extended

    def _match(self, fits: Callable[[WeightedChain, int], bool]) -> None:
        left: list[WeightedChain] = []
        for chain in self.chains:
            rest = self._place(chain, fits)
            if rest > self._negligible:
                left.append(WeightedChain(chain.hops, rest))
        self.chains = left

    def _place(
        self,
        chain: WeightedChain,
        fits: Callable[[WeightedChain, int], bool],
    ) -> float:
        rest = chain.tokens_per_s
        for group, need in self._needs.items():
            taken = min(rest, need)
            if taken > self._negligible and fits(chain, group):
                hops = _append(chain.hops, Hop(group, self._layers))
                self._extended.append(WeightedChain(hops, taken))
                self._needs[group] = need - taken
                rest -= taken
        return rest

    def _same_group(self, chain: WeightedChain, group: int) -> bool:
        return bool(chain.hops) and chain.hops[-1].group == group

    def _same_zone(self, chain: WeightedChain, group: int) -> bool:
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

    :param allocation: rates of the groups at the segments.
    :param groups: the groups that the allocation speaks of.
    :returns: chains that cover every layer once; their rates add up to the
        bound. Empty if the bound is 0.
    """
    if allocation.bound_tokens_per_s <= 0:
        return ()
    sweep = _Sweep(groups, allocation.bound_tokens_per_s)
    for plan in allocation.segments:
        sweep.extend(plan)
    return _merge(sweep.chains)


def _append(hops: tuple[Hop, ...], hop: Hop) -> tuple[Hop, ...]:
    if not hops or hops[-1].group != hop.group:
        return (*hops, hop)
    joined = LayerRange(hops[-1].layers.start, hop.layers.stop)
    return (*hops[:-1], Hop(hop.group, joined))


def _any_group(chain: WeightedChain, group: int) -> bool:
    return True


def _merge(chains: Sequence[WeightedChain]) -> tuple[WeightedChain, ...]:
    rates: dict[tuple[Hop, ...], float] = {}
    for chain in chains:
        rates[chain.hops] = rates.get(chain.hops, 0.0) + chain.tokens_per_s
    return tuple(WeightedChain(hops, rate) for hops, rate in rates.items())
