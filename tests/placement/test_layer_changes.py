"""Tests of changes to a running placement."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.placement.layer_changes import find_next_change
from nutmegspoke.placement.layer_plan import (
    PlacedEngine,
    compute_layer_capacity,
    plan_layers,
)
from nutmegspoke.placement.steps import run_steps
from tests import builders_edge as build


def _build_placement() -> list[PlacedEngine]:
    engines = [
        build.holder('q1', build.QUICK),
        *(build.holder(f'm{number}') for number in range(6)),
        *(build.holder(f's{number}', build.SLOW) for number in range(5)),
    ]
    plan = plan_layers(engines, build.profile())
    return [
        dataclasses.replace(engine, layers=plan.get(engine.name))
        for engine in engines
    ]


def _apply_changes(
    engines: list[PlacedEngine],
) -> tuple[list[PlacedEngine], int]:
    change_count = 0
    while change_count < 20:
        change = run_steps(find_next_change(engines, build.profile()))
        if change is None:
            break
        change_count += 1
        engines = [
            dataclasses.replace(engine, layers=change.layers)
            if engine.name == change.target
            else engine
            for engine in engines
        ]
    return engines, change_count


class NextChangeTest(unittest.TestCase):
    """Changes fill empty engines, close gaps and widen bottlenecks.

    The first letter of an engine's name is its kind of accelerator: quick,
    middle or slow.
    """

    def test_a_sound_placement_stays(self) -> None:
        """Guards against reloading layers without a benefit."""
        change = run_steps(
            find_next_change(_build_placement(), build.profile())
        )
        self.assertIsNone(change)

    def test_a_gap_is_closed_after_any_loss(self) -> None:
        """Guards against a gap that stays after an engine is lost for good."""
        engines = _build_placement()
        for lost in engines:
            left = [engine for engine in engines if engine is not lost]
            settled, change_count = _apply_changes(left)
            with self.subTest(lost.name):
                self.assertGreater(
                    min(compute_layer_capacity(settled, build.profile())), 0
                )
                self.assertLessEqual(change_count, 3)

    def test_two_losses(self) -> None:
        """Guards against a gap after two losses.

        Engines are replaced one by one, and another crashes meanwhile.
        """
        engines = [
            engine
            for engine in _build_placement()
            if engine.name not in {'q1', 'm3'}
        ]
        settled, change_count = _apply_changes(engines)
        self.assertGreater(
            min(compute_layer_capacity(settled, build.profile())), 0
        )
        self.assertLessEqual(change_count, 5)

    def test_an_empty_engine_closes_the_gap(self) -> None:
        """A new engine loads the lost range before others are reassigned."""
        engines = _build_placement()
        lost = next(engine for engine in engines if engine.name == 'q1')
        left = [engine for engine in engines if engine is not lost]
        change = run_steps(
            find_next_change(
                [*left, build.holder('new', build.QUICK)],
                build.profile(),
            ),
        )
        assert change is not None
        assert lost.layers is not None
        self.assertEqual(change.target, 'new')
        gap_stop = next(
            at
            for at, tokens in enumerate(
                compute_layer_capacity(left, build.profile())
            )
            if tokens
        )
        self.assertEqual(change.layers.start, 0)
        self.assertGreaterEqual(change.layers.stop, gap_stop)

    def test_a_bottleneck_is_widened(self) -> None:
        """Guards against a range that only a slow engine holds.

        Engines are replaced one by one, each new one started before the old
        one stops. The new engine loaded replicas of the layers with the least
        capacity; after the old engine left, a slow engine with memory for 19
        drafts was the only one to hold a range.
        """
        engines = [
            build.holder('q1', build.QUICK, held=(0, 17)),
            build.holder('m1', held=(17, 27)),
            build.holder('m2', held=(27, 37)),
            build.holder('m3', held=(37, 47)),
            build.holder('m4', held=(47, 58)),
            build.holder('new', held=(10, 31)),
            build.holder('m6', held=(69, 80)),
            build.holder('s1', build.SLOW, held=(57, 67)),
            build.holder('s2', build.SLOW, held=(67, 77)),
        ]
        settled, change_count = _apply_changes(engines)
        before = min(compute_layer_capacity(engines, build.profile()))
        after = min(compute_layer_capacity(settled, build.profile()))
        self.assertGreater(after, 2 * before)
        self.assertLessEqual(change_count, 3)

    def test_no_engine_beyond_its_memory(self) -> None:
        """A gap larger than one engine's memory is left to two engines."""
        engines = [
            build.holder('m1', held=(0, 24)),
            build.holder('m2', held=(0, 24)),
            build.holder('m3', held=(24, 40)),
            build.holder('m4', held=(24, 40)),
            build.holder('q1', build.QUICK),
        ]
        change = run_steps(find_next_change(engines, build.profile()))
        assert change is not None
        self.assertEqual(change.target, 'q1')
        self.assertLessEqual(len(change.layers), 41)
        self.assertGreater(
            change.layers.stop,
            LayerRange(40, 80).start,
        )

    def test_the_search_yields_often(self) -> None:
        """Guards against a search that blocks requests in a large zone.

        The search yields between requests: each step evaluates one change.
        """
        engines = [
            build.holder(f'm{number:02}', held=(at, at + 10))
            for number, at in enumerate([*range(0, 80, 10)] * 3)
        ]
        left = [
            engine for engine in engines if engine.layers != engines[3].layers
        ]
        steps = sum(1 for _ in find_next_change(left, build.profile()))
        self.assertGreater(steps, 20)
