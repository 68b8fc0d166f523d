"""Tests of plans: bound, decomposition and speed hysteresis."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegspoke.layers import LayerRange, covers
from nutmegspoke.routing.allocation import cut_segments
from nutmegspoke.routing.plan import Planner, PoolPlan
from nutmegspoke.targets import Target
from tests import builders_routing as build

_LAYERS = 6
_ACTIVATION_BYTES = 10
_spans = [
    LayerRange(start, stop)
    for start in range(_LAYERS)
    for stop in range(start + 1, _LAYERS + 1)
]
_engines = st.lists(
    st.builds(
        lambda layers, speed, link, zone: (layers, speed, link, zone),
        st.sampled_from(_spans),
        st.sampled_from((100.0, 200.0, 400.0)),
        st.sampled_from((0.0, 100.0, 10_000.0)),
        st.sampled_from(('a', 'b')),
    ),
    min_size=1,
    max_size=7,
)


def _targets(specs: list[tuple]) -> list[Target]:
    return [
        build.engine(
            f'e{number}',
            layers.start,
            layers.stop,
            layer_tokens_per_s=speed,
            link_bytes_per_s=link,
            availability_zone=zone,
            activation_bytes=_ACTIVATION_BYTES if link else 0,
        )
        for number, (layers, speed, link, zone) in enumerate(specs)
    ]


def _brute_force_bound(plan: PoolPlan) -> float:
    """Return the lowest capacity per layer of all sets of segments."""
    segments = cut_segments(plan.groups, _LAYERS)
    subsets = itertools.chain.from_iterable(
        itertools.combinations(segments, size)
        for size in range(1, len(segments) + 1)
    )
    return min(
        sum(_capacity(group, subset) for group in plan.groups)
        / sum(len(segment) for segment in subset)
        for subset in subsets
    )


def _capacity(group, subset: tuple[LayerRange, ...]) -> float:
    by_link = sum(
        group.link_bytes_per_s / _ACTIVATION_BYTES * len(segment)
        for segment in subset
        if group.layers.start <= segment.start
        and segment.stop <= group.layers.stop
    )
    return min(group.layer_tokens_per_s, by_link)


class PoolPlanTest(unittest.TestCase):
    """The bound is exact, and the rates of the chains add up to it."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(_engines)
    def test_bound_is_the_minimum_cut_and_chains_carry_it(
        self,
        specs: list[tuple],
    ) -> None:
        """Chains cover every layer once and fit the capacity of each group."""
        plan = PoolPlan.from_targets(
            _targets(specs),
            _LAYERS,
        )
        bound = _brute_force_bound(plan)
        self.assertAlmostEqual(plan.bound_tokens_per_s, bound, places=4)
        total_rate = sum(chain.tokens_per_s for chain in plan.chains)
        self.assertAlmostEqual(total_rate, bound, places=4)
        work: collections.Counter[int] = collections.Counter()
        for chain in plan.chains:
            ranges = [hop.layers for hop in chain.hops]
            self.assertTrue(covers(ranges, _LAYERS))
            for hop in chain.hops:
                held = plan.groups[hop.group].layers
                self.assertLessEqual(held.start, hop.layers.start)
                self.assertLessEqual(hop.layers.stop, held.stop)
                work[hop.group] += chain.tokens_per_s * len(hop.layers)
        for index, load in work.items():
            capacity = plan.groups[index].layer_tokens_per_s
            self.assertLessEqual(load, capacity * (1 + 1e-6))

    def test_a_slow_link_limits_its_engine_alone(self) -> None:
        """A slow link limits the rate of its own engine only."""
        plan = PoolPlan.from_targets(
            _targets(
                [
                    (LayerRange(0, 6), 600.0, 100.0, 'a'),
                    (LayerRange(0, 6), 600.0, 10_000.0, 'a'),
                ],
            ),
            _LAYERS,
        )
        rates = sorted(chain.tokens_per_s for chain in plan.chains)
        self.assertEqual([round(rate, 6) for rate in rates], [10, 100])

    def test_engines_beside_a_bottleneck_are_used_evenly(self) -> None:
        """Spare capacity of a segment is shared by all its groups."""
        plan = PoolPlan.from_targets(
            _targets(
                [
                    (LayerRange(0, 3), 300.0, 0.0, 'a'),
                    (LayerRange(3, 6), 400.0, 0.0, 'a'),
                    (LayerRange(3, 6), 800.0, 0.0, 'a'),
                ],
            ),
            _LAYERS,
        )
        rates = sorted(chain.tokens_per_s for chain in plan.chains)
        self.assertAlmostEqual(plan.bound_tokens_per_s, 100)
        self.assertAlmostEqual(rates[0], 100 / 3)
        self.assertAlmostEqual(rates[1], 200 / 3)


class PlannerTest(unittest.TestCase):
    """A plan is renewed only for a material change."""

    def setUp(self) -> None:
        """Create a plan for a pool of different engines."""
        self.targets = build.mixed_engines(30)
        self.planner = Planner()
        self.assertTrue(self.planner.renew(self.targets, 80, 0))

    def test_small_changes_of_speed_keep_the_plan(self) -> None:
        """Noise and small drifts of the speeds do not cause a new plan."""
        for now_s, factor in ((1, 1.1), (2, 0.9), (3, 1.14)):
            noisy = [self._scaled(each, factor) for each in self.targets]
            self.assertFalse(self.planner.renew(noisy, 80, now_s))

    def test_a_halved_speed_renews_the_plan_at_the_next_check(self) -> None:
        """A material change of speeds takes effect after half a second."""
        bound = self.planner.plan.bound_tokens_per_s
        slow = [self._scaled(each, 0.5) for each in self.targets]
        self.assertFalse(self.planner.renew(slow, 80, 0.4))
        self.assertTrue(self.planner.renew(slow, 80, 0.5))
        self.assertAlmostEqual(
            self.planner.plan.bound_tokens_per_s,
            bound / 2,
        )

    def test_a_lost_engine_renews_the_plan_at_once(self) -> None:
        """The set of engines is checked at each call."""
        self.assertTrue(self.planner.renew(self.targets[1:], 80, 0.01))

    def _scaled(self, target: Target, factor: float) -> Target:
        speed = target.layer_tokens_per_s * factor
        return dataclasses.replace(target, layer_tokens_per_s=speed)
