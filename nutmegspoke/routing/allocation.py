"""Split the layers of a model over groups of engines at the highest rate.

The layers are cut into segments at each layer where the range of some group
begins or ends. A flow network leads from a source through the groups (capacity
in layer-tokens per second) and the segments that they hold (limited by the
links of the groups) to a sink. The highest rate at which all segments can be
fed is found by Newton iterations over minimum cuts.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange
from nutmegspoke.routing.maxflow import FlowNetwork

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.routing.groups import EngineGroup

_RATE_TOLERANCE = 1e-9
_NEGLIGIBLE_SHARE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Portion:
    """Rate at which one group runs one segment.

    :param group: index of the group.
    :param tokens_per_s: rate in tokens per second.
    """

    group: int
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentPlan:
    """Groups that run a segment, with their rates.

    :param layers: layers of the segment.
    :param portions: rates by group; their sum is the bound.
    """

    layers: LayerRange
    portions: tuple[Portion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Rates of all groups for all segments.

    :param bound_tokens_per_s: highest rate that the engines allow; 0 if no
        engine holds some layer.
    :param segments: plans of the segments, in the order of their layers.
    """

    bound_tokens_per_s: float
    segments: tuple[SegmentPlan, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _RateSolution:
    """Highest rate found, the segments that limit it, and the flows.

    The flows are in layer-tokens per second, by group and segment.
    """

    rate: float
    bottleneck: frozenset[int]
    flows: dict[tuple[int, int], float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Path:
    """Indices of the edges from source to sink via a group and a segment."""

    source_edge: int
    link_edge: int
    sink_edge: int


class _Problem:
    """Groups and segments, with the capacity not yet allocated."""

    def __init__(
        self,
        groups: Sequence[EngineGroup],
        segments: Sequence[LayerRange],
        activation_bytes: int,
    ) -> None:
        self.segments = segments
        self.remaining = [group.layer_tokens_per_s for group in groups]
        self._groups = groups
        self._activation_bytes = activation_bytes

    def arc_capacity(self, group: int, segment: int) -> float:
        """Return what a group's link allows, in layer-tokens per second."""
        return self.link_rate(group) * len(self.segments[segment])

    def link_rate(self, group: int) -> float:
        """Return what a group's link allows, in tokens per second."""
        if self._activation_bytes == 0:
            return math.inf
        return self._groups[group].link_bytes_per_s / self._activation_bytes

    def find_holders(self, segment: int) -> list[int]:
        """Return the groups that hold a segment and have capacity left.

        :returns: indices of the groups.
        """
        layers = self.segments[segment]
        return [
            index
            for index, group in enumerate(self._groups)
            if group.layers.start <= layers.start
            and layers.stop <= group.layers.stop
            and self.remaining[index] > 0
        ]

    def solve(self, segment_indices: Sequence[int]) -> _RateSolution:
        """Find the highest rate at which all given segments can be fed.

        :param segment_indices: indices of the segments.
        """
        rate = sum(self.remaining) / sum(
            len(self.segments[k]) for k in segment_indices
        )
        while True:
            solution = self._try_rate(segment_indices, rate)
            if solution.rate >= rate * (1 - _RATE_TOLERANCE):
                return solution
            rate = solution.rate

    def _try_rate(
        self, segment_indices: Sequence[int], rate: float
    ) -> _RateSolution:
        """Route ``rate``; the solution has a lower rate if it does not fit."""
        source = len(self._groups) + len(segment_indices)
        network = FlowNetwork(source + 2)
        edges = self._add_edges(network, segment_indices, rate)
        self._preload_evenly(network, edges, rate)
        network.maximize(source, source + 1)
        bottleneck = self._find_bottleneck(
            segment_indices, network.reachable(source)
        )
        return self._build_solution(
            rate, bottleneck, _read_flows(network, edges)
        )

    def _find_bottleneck(
        self,
        segment_indices: Sequence[int],
        source_side: set[int],
    ) -> frozenset[int]:
        """Return the segments on the sink side of the minimum cut."""
        first = len(self._groups)
        return frozenset(
            segment_indices[offset]
            for offset in range(len(segment_indices))
            if first + offset not in source_side
        )

    def _add_edges(
        self,
        network: FlowNetwork,
        segment_indices: Sequence[int],
        rate: float,
    ) -> dict[tuple[int, int], _Path]:
        source = len(self._groups) + len(segment_indices)
        source_edges = [
            network.add_edge(source, index, remaining)
            for index, remaining in enumerate(self.remaining)
        ]
        edges: dict[tuple[int, int], _Path] = {}
        for node, segment in enumerate(
            segment_indices, start=len(self._groups)
        ):
            sink_edge = network.add_edge(
                node,
                source + 1,
                rate * len(self.segments[segment]),
            )
            for group in self.find_holders(segment):
                edges[group, segment] = _Path(
                    source_edges[group],
                    network.add_edge(
                        group,
                        node,
                        self.arc_capacity(group, segment),
                    ),
                    sink_edge,
                )
        return edges

    def _preload_evenly(
        self,
        network: FlowNetwork,
        edges: dict[tuple[int, int], _Path],
        rate: float,
    ) -> None:
        """Preload a flow in which each group runs its segments at one rate.

        Maximizing then changes only what is necessary, so that chains stay on
        one group for as many layers as possible.
        """
        even_rates = self._compute_even_rates(edges)
        totals: collections.Counter[int] = collections.Counter()
        for group, segment in edges:
            totals[segment] += even_rates[group]
        for (holding_group, held_segment), path in edges.items():
            share = (
                min(1.0, rate / totals[held_segment])
                if totals[held_segment]
                else 0.0
            )
            amount = (
                even_rates[holding_group]
                * share
                * len(self.segments[held_segment])
            )
            network.preload(
                (path.source_edge, path.link_edge, path.sink_edge), amount
            )

    def _compute_even_rates(
        self,
        edges: dict[tuple[int, int], _Path],
    ) -> dict[int, float]:
        layer_counts: collections.Counter[int] = collections.Counter()
        for group, segment in edges:
            layer_counts[group] += len(self.segments[segment])
        return {
            group: min(
                self.remaining[group] / layers,
                self.link_rate(group),
            )
            for group, layers in layer_counts.items()
        }

    def _build_solution(
        self,
        rate: float,
        bottleneck: frozenset[int],
        flows: dict[tuple[int, int], float],
    ) -> _RateSolution:
        if not bottleneck:
            return _RateSolution(rate, bottleneck, flows)
        fed_rate = sum(
            flow for pair, flow in flows.items() if pair[1] in bottleneck
        )
        layer_total = sum(len(self.segments[k]) for k in bottleneck)
        return _RateSolution(
            min(rate, fed_rate / layer_total), bottleneck, flows
        )


def _read_flows(
    network: FlowNetwork,
    edges: dict[tuple[int, int], _Path],
) -> dict[tuple[int, int], float]:
    return {
        pair: network.flow_on(path.link_edge) for pair, path in edges.items()
    }


def cut_segments(
    groups: Sequence[EngineGroup],
    layer_count: int,
) -> tuple[LayerRange, ...]:
    """Return the segments between the ends of the groups' layer ranges."""
    cuts = {0, layer_count}
    for group in groups:
        cuts.update((group.layers.start, group.layers.stop))
    sorted_cuts = sorted(cut for cut in cuts if 0 <= cut <= layer_count)
    return tuple(
        LayerRange(start, stop)
        for start, stop in zip(sorted_cuts, sorted_cuts[1:], strict=False)
    )


def allocate(
    groups: Sequence[EngineGroup],
    layer_count: int,
    activation_bytes: int,
) -> Allocation:
    """Find the highest rate and distribute it over the groups.

    Segments that limit the rate are allocated first. The others are solved
    again with the remaining capacity and scaled down to the same rate, so that
    their groups are used evenly.

    :param groups: groups of engines.
    :param layer_count: layers of the model.
    :param activation_bytes: bytes sent between two stages for each token.
    """
    segments = cut_segments(groups, layer_count)
    if not groups:
        return Allocation(0.0, ())
    problem = _Problem(groups, segments, activation_bytes)
    unsolved = list(range(len(segments)))
    solution = problem.solve(unsolved)
    bound = solution.rate
    if bound <= 0:
        return Allocation(0.0, ())
    plans: dict[int, SegmentPlan] = {}
    while True:
        solved = solution.bottleneck or frozenset(unsolved)
        for solved_index in sorted(solved):
            plans[solved_index] = _allocate_segment(
                problem, solution, solved_index, bound
            )
        unsolved = [index for index in unsolved if index not in solved]
        if not unsolved:
            break
        solution = problem.solve(unsolved)
    return Allocation(bound, tuple(plans[index] for index in sorted(plans)))


def _allocate_segment(
    problem: _Problem,
    solution: _RateSolution,
    segment: int,
    bound: float,
) -> SegmentPlan:
    flows = {
        pair[0]: flow
        for pair, flow in solution.flows.items()
        if pair[1] == segment and flow > 0
    }
    total = sum(flows.values())
    portions: list[Portion] = []
    for group, group_flow in sorted(flows.items()):
        problem.remaining[group] = max(
            0.0, problem.remaining[group] - group_flow
        )
        if group_flow > total * _NEGLIGIBLE_SHARE:
            portions.append(Portion(group, bound * group_flow / total))
    return SegmentPlan(problem.segments[segment], tuple(portions))
