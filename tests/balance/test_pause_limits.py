"""Tests of the limit of the expected time between events."""

from __future__ import annotations

import unittest
from unittest import mock

from nutmegspoke.balance.pause_limits import PauseLimit
from nutmegspoke.routing.engine_loads import event_interval_s
from nutmegspoke.routing.room_chains import ChainFinder
from tests import builders_edge as build
from tests.balance import pool_model as model

_GAP_GOAL_S = 0.25


def _find(engines: list, gap_goal_s: float = _GAP_GOAL_S) -> object:
    finder = ChainFinder(model.PROFILE, 'a')
    return PauseLimit.from_goal(gap_goal_s).find(
        engines,
        model.PROFILE,
        lambda usable: finder.find(usable, build.need(answer=1.0)),
    )


class PauseLimitTest(unittest.TestCase):
    """Chains stay under the goal for pauses while there are any."""

    def setUp(self) -> None:
        """Create a stalling engine in few stages, and more quick ones."""
        self.tail = build.load('tail', (40, 80))
        self.stalling = build.load('stalling', (0, 40), slowness=12.0)
        self.many = [
            build.load(f'x{start}', (start, start + 4), build.SLOW, zone='b')
            for start in range(0, 40, 4)
        ]

    def test_a_tenth_of_the_engines_slow(self) -> None:
        """Guards against short answers on engines that stall each event."""
        engines = [self.stalling, self.tail, *self.many]
        unlimited = _find(engines, 0.0)
        limited = _find(engines)
        self.assertIn('stalling', [stage.target for stage in unlimited])
        self.assertNotIn('stalling', [stage.target for stage in limited])
        self.assertLess(
            event_interval_s(limited, engines, model.PROFILE),
            _GAP_GOAL_S / 2,
        )

    def test_a_slow_chain_where_nothing_else_is_left(self) -> None:
        """Guards against a refusal where a late answer is possible."""
        for engines in ([self.stalling, self.tail], [self.stalling]):
            with self.subTest(engines=len(engines)):
                expected = len(engines) > 1
                self.assertEqual(_find(engines) is not None, expected)

    def test_one_search_where_the_limit_is_kept(self) -> None:
        """Guards against twice the time for each choice."""
        finder = ChainFinder(model.PROFILE, 'a')
        engines = [build.load('x', (0, 40)), self.tail]
        find = mock.Mock(
            side_effect=lambda usable: finder.find(usable, build.need())
        )
        PauseLimit.from_goal(_GAP_GOAL_S).find(engines, model.PROFILE, find)
        find.assert_called_once_with(engines)
