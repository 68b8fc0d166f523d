"""Tests of the limit on prompts that cross zones."""

from __future__ import annotations

import unittest

from nutmegspoke.routing.crossing_budget import CrossingBudget
from nutmegspoke.routing.room_chains import ChainFinder, ChainOptions
from tests import builders_edge as build


_AB = frozenset(('a', 'b'))
_AC = frozenset(('a', 'c'))
_BC = frozenset(('b', 'c'))


class CrossingBudgetTest(unittest.TestCase):
    """Guards against full links when all drafts of a zone cross."""

    def test_all_daemons_stay_below_the_link(self) -> None:
        """Nine daemons that cross when allowed use less than half of a link."""
        profile = build.profile()
        budgets = [CrossingBudget(profile) for _ in range(9)]
        crossed = 0
        for step in range(2_000):
            now_s = step / 100
            for budget in budgets:
                if _AB not in budget.blocked_pairs('abc', len(budgets), now_s):
                    budget.record_crossings([_AB], now_s)
                    crossed += 1
        transferred_bytes = crossed * profile.usual_prompt_tokens * 90_000.0
        self.assertLess(
            transferred_bytes, 0.5 * 20 * profile.zone_link_bytes_per_s
        )
        self.assertGreater(crossed, 100)

    def test_a_chain_with_two_crossings_counts_twice(self) -> None:
        """Crossings beyond the budget are repaid before further ones."""
        budget = CrossingBudget(build.profile())
        self.assertEqual(budget.blocked_pairs('abc', 100, 0.0), frozenset())
        budget.record_crossings([_AB] * 40, 0.0)
        self.assertIn(_AB, budget.blocked_pairs('abc', 100, 1.0))

    def test_each_link_has_its_own_budget(self) -> None:
        """Chains use the link to a third zone when another link is full."""
        budget = CrossingBudget(build.profile())
        budget.record_crossings([_AB] * 40, 0.0)
        self.assertEqual(budget.blocked_pairs('abc', 9, 0.1), frozenset((_AB,)))
        engines = [
            build.load('x', (0, 40)),
            build.load('f', (40, 80), zone='b'),
            build.load('g', (40, 80), zone='c'),
        ]
        chain = ChainFinder(build.profile(), 'a').find(
            engines,
            build.need(),
            ChainOptions(blocked_pairs=budget.blocked_pairs('abc', 9, 0.1)),
        )
        assert chain is not None
        self.assertEqual([stage.target for stage in chain], ['x', 'g'])

    def test_many_daemons_that_begin_to_cross_at_once(self) -> None:
        """Guards against bursts of 81 daemons when a zone lacks layers.

        Each daemon could use the whole link for a second, and three of four
        drafts that crossed were late.
        """
        budgets = [CrossingBudget(build.profile()) for _ in range(81)]
        crossed = 0
        for budget in budgets:
            budget.blocked_pairs('ab', len(budgets), 0.0)
        for step in range(100):
            now_s = 60.0 + step / 100
            for budget in budgets:
                if _AB not in budget.blocked_pairs('ab', len(budgets), now_s):
                    budget.record_crossings([_AB], now_s)
                    crossed += 1
        self.assertLessEqual(crossed, 2 * len(budgets))

    def test_near_chains_go_first(self) -> None:
        """A slow chain in one zone is preferred to a fast one across zones."""
        engines = [
            build.load('q', (0, 40), build.QUICK),
            build.load('s', (40, 80), build.SLOW),
            build.load('f', (40, 80), build.QUICK, zone='b'),
        ]
        finder = ChainFinder(build.profile(), 'a')
        in_one_zone = finder.find_preferring_one_zone(
            engines, build.need(), ChainOptions()
        )
        assert in_one_zone is not None
        self.assertEqual([stage.target for stage in in_one_zone], ['q', 's'])
        remaining = [engine for engine in engines if engine.name != 's']
        crossing = finder.find_preferring_one_zone(
            remaining, build.need(), ChainOptions()
        )
        assert crossing is not None
        self.assertEqual([stage.target for stage in crossing], ['q', 'f'])

    def test_no_chain_instead_of_a_crossing(self) -> None:
        """Without budget for crossings only chains within a zone are found."""
        finder = ChainFinder(build.profile(), 'a')
        engines = [
            build.load('x', (0, 40)),
            build.load('f', (40, 80), zone='b'),
        ]
        self.assertIsNone(
            finder.find(
                engines,
                build.need(),
                ChainOptions(blocked_pairs=frozenset((_AB, _AC, _BC))),
            ),
        )
        self.assertIsNotNone(finder.find(engines, build.need()))
