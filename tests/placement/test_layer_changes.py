"""Tests of changing a placement in work."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.placement.layer_changes import find_next_change
from nutmegspoke.placement.layer_plan import (
    Holder,
    compute_layer_capacity,
    plan_layers,
)
from nutmegspoke.placement.steps import run_steps
from tests import builders_edge as build


def _placed() -> list[Holder]:
    holders = [
        build.holder('q1', build.QUICK),
        *(build.holder(f'm{number}') for number in range(6)),
        *(build.holder(f's{number}', build.SLOW) for number in range(5)),
    ]
    plan = plan_layers(holders, build.profile())
    return [
        dataclasses.replace(one, layers=plan.get(one.name)) for one in holders
    ]


def _settle(holders: list[Holder]) -> tuple[list[Holder], int]:
    moves = 0
    while moves < 20:
        change = run_steps(find_next_change(holders, build.profile()))
        if change is None:
            break
        moves += 1
        holders = [
            dataclasses.replace(one, layers=change.layers)
            if one.name == change.target
            else one
            for one in holders
        ]
    return holders, moves


class NextChangeTest(unittest.TestCase):
    """Fills empty engines, closes gaps, leaves the rest alone."""

    def test_a_sound_placement_stays(self) -> None:
        """Nothing is loaded anew without need."""
        change = run_steps(find_next_change(_placed(), build.profile()))
        self.assertIsNone(change)

    def test_a_gap_is_closed_after_any_loss(self) -> None:
        """Pattern: an engine is lost for good, and nothing comes for it."""
        holders = _placed()
        for lost in holders:
            left = [one for one in holders if one is not lost]
            settled, moves = _settle(left)
            with self.subTest(lost.name):
                self.assertGreater(
                    min(compute_layer_capacity(settled, build.profile())), 0
                )
                self.assertLessEqual(moves, 3)

    def test_two_losses(self) -> None:
        """Pattern: a change rolls over the engines while one crashes."""
        holders = [one for one in _placed() if one.name not in {'q1', 'm3'}]
        settled, moves = _settle(holders)
        self.assertGreater(
            min(compute_layer_capacity(settled, build.profile())), 0
        )
        self.assertLessEqual(moves, 5)

    def test_an_empty_engine_closes_the_gap(self) -> None:
        """A new engine takes the lost range before others are moved."""
        holders = _placed()
        lost = next(one for one in holders if one.name == 'q1')
        left = [one for one in holders if one is not lost]
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
        """Pattern: engines are replaced one by one, the new ones first.

        Seen on the bench: the new engine took copies where room was shortest,
        then the old one left, and a slow copy with room for 19 drafts stayed
        the only holder of a range.
        """
        holders = [
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
        settled, moves = _settle(holders)
        before = min(compute_layer_capacity(holders, build.profile()))
        after = min(compute_layer_capacity(settled, build.profile()))
        self.assertGreater(after, 2 * before)
        self.assertLessEqual(moves, 3)

    def test_no_engine_beyond_its_memory(self) -> None:
        """A gap larger than an engine is closed by two."""
        holders = [
            build.holder('m1', held=(0, 24)),
            build.holder('m2', held=(0, 24)),
            build.holder('m3', held=(24, 40)),
            build.holder('m4', held=(24, 40)),
            build.holder('q1', build.QUICK),
        ]
        change = run_steps(find_next_change(holders, build.profile()))
        assert change is not None
        self.assertEqual(change.target, 'q1')
        self.assertLessEqual(len(change.layers), 41)
        self.assertGreater(
            change.layers.stop,
            LayerRange(40, 80).start,
        )

    def test_no_step_is_long(self) -> None:
        """Pattern: a large zone loses an engine while its daemons serve.

        The search goes on between requests: each step values one change.
        """
        holders = [
            build.holder(f'm{number:02}', held=(at, at + 10))
            for number, at in enumerate([*range(0, 80, 10)] * 3)
        ]
        left = [one for one in holders if one.layers != holders[3].layers]
        steps = sum(1 for _ in find_next_change(left, build.profile()))
        self.assertGreater(steps, 20)
