"""Tests of the initial placement."""

from __future__ import annotations

import itertools
import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.placement.chain_capacity import drafts_per_s
from nutmegspoke.placement.layer_plan import (
    PlacedEngine,
    compute_layer_capacity,
    compute_scarcity,
    find_scarcest_window,
    plan_layers,
    plan_value,
    share_layers,
)
from nutmegspoke.placement.steps import run_steps
from tests import builders_edge as build


def _zone(zone: str, quick: int, middle: int, slow: int) -> list[PlacedEngine]:
    kinds = (
        (build.QUICK, quick),
        (build.MIDDLE, middle),
        (build.SLOW, slow),
    )
    return [
        build.holder(f'{zone}-{kind.name}-{number}', kind, zone)
        for kind, count in kinds
        for number in range(count)
    ]


class PlanLayersTest(unittest.TestCase):
    """A plan covers all layers, within the memory of each engine."""

    def test_every_zone_holds_all_layers(self) -> None:
        """A zone with enough memory holds the whole model."""
        profile = build.profile()
        engines = _zone('a', 1, 6, 5) + _zone('b', 2, 2, 5)
        plan = plan_layers(engines, profile)
        for zone in 'ab':
            held = [
                PlacedEngine(engine.name, zone, engine.kind, plan[engine.name])
                for engine in engines
                if engine.availability_zone == zone and engine.name in plan
            ]
            self.assertGreater(min(compute_layer_capacity(held, profile)), 0)
        for engine in engines:
            if engine.name in plan:
                fitting = profile.max_layers(engine.kind)
                self.assertLessEqual(len(plan[engine.name]), fitting)

    def test_small_zone_holds_what_it_can(self) -> None:
        """A zone short of memory holds some layers, for cross-zone chains."""
        engines = _zone('a', 0, 1, 0)
        plan = plan_layers(engines, build.profile())
        self.assertEqual(len(plan), 1)

    def test_survives_any_single_loss_somewhere(self) -> None:
        """Guards against a plan without a chain after the loss of an engine."""
        profile = build.profile()
        engines = (
            _zone('a', 1, 6, 5) + _zone('b', 2, 2, 5) + _zone('c', 1, 3, 8)
        )
        plan = plan_layers(engines, profile)
        for lost in engines:
            left = [engine for engine in engines if engine is not lost]
            self.assertGreater(drafts_per_s(left, plan, profile), 10.0)

    def test_close_to_the_best_of_small_cases(self) -> None:
        """Compare with every plan of three engines in steps of four layers."""
        profile = build.profile(layer_count=24, layer_bytes=1.75e9)
        cases = ((1, 2, 0), (2, 1, 0), (0, 3, 0), (1, 1, 1))
        for counts in cases:
            engines = _zone('a', *counts)
            plan = plan_layers(engines, profile)
            found = run_steps(plan_value(engines, plan, profile))
            best = max(
                run_steps(plan_value(engines, other, profile))
                for other in _all_plans(engines, 24, 4)
            )
            with self.subTest(counts):
                self.assertGreaterEqual(found, 0.7 * best)


def _all_plans(
    engines: list[PlacedEngine],
    layer_count: int,
    step: int,
) -> list[dict[str, LayerRange]]:
    profile = build.profile(layer_count=layer_count)
    ranges = [
        [
            LayerRange(start, stop)
            for start in range(0, layer_count, step)
            for stop in range(start + step, layer_count + 1, step)
            if stop - start <= profile.max_layers(engine.kind)
        ]
        for engine in engines
    ]
    return [
        dict(zip([engine.name for engine in engines], chosen, strict=True))
        for chosen in itertools.product(*ranges)
    ]


class SharesTest(unittest.TestCase):
    """Apportioning layers and finding scarce ranges."""

    def test_shares_by_weight(self) -> None:
        """All layers are apportioned, no engine is above its limit."""
        self.assertEqual(share_layers([2.0, 1.0, 1.0], [9, 9, 9], 8), [4, 2, 2])
        self.assertEqual(share_layers([2.0, 1.0], [3, 9], 8), [3, 5])
        self.assertIsNone(share_layers([1.0], [7], 8))

    def test_a_gap_is_exactly_empty(self) -> None:
        """Guards against fractions of tokens that hide a lost range."""
        held = [
            build.holder(f'h{start}', held=(start, start + 11))
            for start in (0, 19, 30, 41)
        ]
        held.append(build.holder('s', build.SLOW, held=(50, 57)))
        capacities = compute_layer_capacity(held, build.profile())
        self.assertEqual(set(capacities[11:19]), {0})
        self.assertEqual(set(capacities[57:]), {0})

    def test_scarcest_window(self) -> None:
        """The range with the lowest capacity is found."""
        capacities = [100.0] * 10 + [0.0] * 4 + [100.0] * 6
        window = find_scarcest_window(capacities, 4)
        self.assertEqual(window, LayerRange(10, 14))
        self.assertGreater(
            compute_scarcity(capacities, window),
            compute_scarcity(capacities, LayerRange(0, 4)),
        )
