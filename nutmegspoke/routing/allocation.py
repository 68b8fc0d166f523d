"""Splits the layers of a model over groups of engines at the highest rate.

The layers are cut into segments where some engine's range begins or ends.
A network leads from a source over the groups (layer-tokens a second) and the
segments that they hold (limited by their links) to a sink. The rate at which
every segment can be fed is found by Newton steps over minimum cuts.
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
    """What one group runs of one segment.

    :param group: index of the group.
    :param tokens_per_s: rate.
    """

    group: int
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentPlan:
    """Who runs a segment.

    :param layers: layers of the segment.
    :param portions: rates by group; they add up to the bound.
    """

    layers: LayerRange
    portions: tuple[Portion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Rates of all groups at all segments.

    :param bound_tokens_per_s: highest rate that the engines allow; 0 if some
        layer is held by none.
    :param segments: the segments in order.
    """

    bound_tokens_per_s: float
    segments: tuple[SegmentPlan, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Level:
    rate: float
    tight: frozenset[int]
    flows: dict[tuple[int, int], float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Path:
    """Numbers of the edges from source over group and segment to sink."""

    feed: int
    middle: int
    drain: int


class _Problem:
    """Groups, segments and capacities that are left."""

    def __init__(
        self,
        groups: Sequence[EngineGroup],
        segments: Sequence[LayerRange],
        activation_bytes: int,
    ) -> None:
        self.segments = segments
        self.left = [group.layer_tokens_per_s for group in groups]
        self._groups = groups
        self._activation_bytes = activation_bytes

    def arc_capacity(self, group: int, segment: int) -> float:
        """Return layer-tokens a second that a group's link allows."""
        return self.link_rate(group) * len(self.segments[segment])

    def link_rate(self, group: int) -> float:
        """Return the tokens a second that a group's link allows."""
        if self._activation_bytes == 0:
            return math.inf
        return self._groups[group].link_bytes_per_s / self._activation_bytes

    def holders(self, segment: int) -> list[int]:
        """Return the groups that hold a segment and have capacity left."""
        layers = self.segments[segment]
        return [
            index
            for index, group in enumerate(self._groups)
            if group.layers.start <= layers.start
            and layers.stop <= group.layers.stop
            and self.left[index] > 0
        ]

    def solve(self, wanted: Sequence[int]) -> _Level:
        """Find the highest common rate of some segments.

        :param wanted: indices of the segments.
        """
        rate = sum(self.left) / sum(len(self.segments[k]) for k in wanted)
        while True:
            level = self._try_rate(wanted, rate)
            if level.rate >= rate * (1 - _RATE_TOLERANCE):
                return level
            rate = level.rate

    def _try_rate(self, wanted: Sequence[int], rate: float) -> _Level:
        """Send ``rate`` through; the result's rate is lower if it can't."""
        source = len(self._groups) + len(wanted)
        network = FlowNetwork(source + 2)
        edges = self._add_edges(network, wanted, rate)
        self._preload_evenly(network, edges, rate)
        network.maximize(source, source + 1)
        starved = self._starved(wanted, network.reachable(source))
        return self._level(rate, starved, _flows(network, edges))

    def _starved(
        self,
        wanted: Sequence[int],
        reached: set[int],
    ) -> frozenset[int]:
        """Return the segments beyond the minimum cut."""
        first = len(self._groups)
        return frozenset(
            wanted[offset]
            for offset in range(len(wanted))
            if first + offset not in reached
        )

    def _add_edges(
        self,
        network: FlowNetwork,
        wanted: Sequence[int],
        rate: float,
    ) -> dict[tuple[int, int], _Path]:
        source = len(self._groups) + len(wanted)
        feeds = [
            network.add_edge(source, index, left)
            for index, left in enumerate(self.left)
        ]
        edges: dict[tuple[int, int], _Path] = {}
        for node, segment in enumerate(wanted, start=len(self._groups)):
            drain = network.add_edge(
                node,
                source + 1,
                rate * len(self.segments[segment]),
            )
            for group in self.holders(segment):
                edges[group, segment] = _Path(
                    feeds[group],
                    network.add_edge(
                        group,
                        node,
                        self.arc_capacity(group, segment),
                    ),
                    drain,
                )
        return edges

    def _preload_evenly(
        self,
        network: FlowNetwork,
        edges: dict[tuple[int, int], _Path],
        rate: float,
    ) -> None:
        """Let each group run all its segments at one rate, as far as it can.

        The maximum then changes only what it must, and chains stay long on
        one group.
        """
        even = self._even_rates(edges)
        totals: collections.Counter[int] = collections.Counter()
        for group, segment in edges:
            totals[segment] += even[group]
        for (feeder, fed), path in edges.items():
            share = min(1.0, rate / totals[fed]) if totals[fed] else 0.0
            amount = even[feeder] * share * len(self.segments[fed])
            network.preload((path.feed, path.middle, path.drain), amount)

    def _even_rates(
        self,
        edges: dict[tuple[int, int], _Path],
    ) -> dict[int, float]:
        layer_counts: collections.Counter[int] = collections.Counter()
        for group, segment in edges:
            layer_counts[group] += len(self.segments[segment])
        return {
            group: min(
                self.left[group] / layers,
                self.link_rate(group),
            )
            for group, layers in layer_counts.items()
        }

    def _level(
        self,
        rate: float,
        starved: frozenset[int],
        flows: dict[tuple[int, int], float],
    ) -> _Level:
        if not starved:
            return _Level(rate, starved, flows)
        fed = sum(flow for pair, flow in flows.items() if pair[1] in starved)
        layer_total = sum(len(self.segments[k]) for k in starved)
        return _Level(min(rate, fed / layer_total), starved, flows)


def _flows(
    network: FlowNetwork,
    edges: dict[tuple[int, int], _Path],
) -> dict[tuple[int, int], float]:
    return {pair: network.flow_on(path.middle) for pair, path in edges.items()}


def cut_segments(
    groups: Sequence[EngineGroup],
    layer_count: int,
) -> tuple[LayerRange, ...]:
    """Cut the layers where a group's range begins or ends."""
    cuts = {0, layer_count}
    for group in groups:
        cuts.update((group.layers.start, group.layers.stop))
    inner = sorted(cut for cut in cuts if 0 <= cut <= layer_count)
    return tuple(
        LayerRange(start, stop)
        for start, stop in zip(inner, inner[1:], strict=False)
    )


def allocate(
    groups: Sequence[EngineGroup],
    layer_count: int,
    activation_bytes: int,
) -> Allocation:
    """Find the highest rate and spread it evenly.

    Segments that limit the rate take what they need first; the others are
    solved again with the capacity left, and scaled down to the same rate, so
    that their groups are equally used.

    :param groups: groups of engines.
    :param layer_count: layers of the model.
    :param activation_bytes: bytes of a token between two stages.
    """
    segments = cut_segments(groups, layer_count)
    if not groups:
        return Allocation(0.0, ())
    problem = _Problem(groups, segments, activation_bytes)
    waiting = list(range(len(segments)))
    level = problem.solve(waiting)
    bound = level.rate
    if bound <= 0:
        return Allocation(0.0, ())
    plans: dict[int, SegmentPlan] = {}
    while True:
        settled = level.tight or frozenset(waiting)
        for settling in sorted(settled):
            plans[settling] = _settle(problem, level, settling, bound)
        waiting = [index for index in waiting if index not in settled]
        if not waiting:
            break
        level = problem.solve(waiting)
    return Allocation(bound, tuple(plans[index] for index in sorted(plans)))


def _settle(
    problem: _Problem,
    level: _Level,
    segment: int,
    bound: float,
) -> SegmentPlan:
    flows = {
        pair[0]: flow
        for pair, flow in level.flows.items()
        if pair[1] == segment and flow > 0
    }
    total = sum(flows.values())
    portions: list[Portion] = []
    for group, taken in sorted(flows.items()):
        problem.left[group] = max(0.0, problem.left[group] - taken)
        if taken > total * _NEGLIGIBLE_SHARE:
            portions.append(Portion(group, bound * taken / total))
    return SegmentPlan(problem.segments[segment], tuple(portions))
