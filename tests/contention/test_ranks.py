"""Tests of the ranks of pools and their urgency at targets."""

from __future__ import annotations

import unittest

from nutmegspoke.contention.pools import ContendedPools
from nutmegspoke.contention.ranks import PoolRanks, contended_pools
from nutmegspoke.entry_host import EntryRoute, PoolShare, Team
from tests import builders_edge as build


def _draft_route(name: str, priority: int, weight: float = 1.0) -> EntryRoute:
    return build.route(
        name, pools=(PoolShare('engines', weight),), priority=priority
    )


class ContendedPoolsTest(unittest.TestCase):
    """Which pools have several ranks."""

    def test_a_pool_of_one_rank(self) -> None:
        """Guards against any effect on deployments without several ranks."""
        pools = ContendedPools()
        pools.apply_tables(build.tables())
        self.assertIsNone(pools.ranks('engines'))
        self.assertIsNone(pools.urgency('engines', (1, 1), has_answer=False))

    def test_routes_without_weight_do_not_count(self) -> None:
        """Guards against ranks of requests that never reach the pool."""
        tables = build.tables(
            routes=(_draft_route('a', 0), _draft_route('b', 1, weight=0.0))
        )
        self.assertEqual(contended_pools(tables), {})

    def test_a_team_goes_before_a_route(self) -> None:
        """Guards against an urgent route that passes a more urgent team."""
        tables = build.tables(
            routes=(_draft_route('a', 0), _draft_route('b', 1)),
            team_by_key={'k1': Team('t-1', 0), 'k2': Team('t-2', 3)},
        )
        ranks = contended_pools(tables)['engines']
        self.assertEqual(ranks.ranks, ((0, 0), (0, 1), (3, 0), (3, 1)))

    def test_newer_tables_end_contention(self) -> None:
        """Guards against ranks that stay after their routes were removed."""
        pools = ContendedPools()
        routes = (_draft_route('a', 0), _draft_route('b', 1))
        pools.apply_tables(build.tables(1, routes=routes))
        self.assertIsNotNone(pools.ranks('engines'))
        pools.apply_tables(build.tables(2, routes=routes[:1]))
        self.assertIsNone(pools.ranks('engines'))


class UrgencyTest(unittest.TestCase):
    """Classes of urgency of ranks."""

    def test_order_of_ranks_and_answers(self) -> None:
        """A caller with a part goes before fresh ones of its rank only."""
        ranks = PoolRanks(((1, 0), (1, 1), (1, 2)))
        classes = [
            ranks.urgency(rank, has_answer=has_answer)
            for rank in ranks.ranks
            for has_answer in (True, False)
        ]
        self.assertEqual(classes, sorted(set(classes)))
        self.assertLessEqual(max(classes), 9)

    def test_more_ranks_than_classes(self) -> None:
        """Guards against classes over 9, and against an order upside down."""
        ranks = PoolRanks(tuple((team, 0) for team in range(40)))
        classes = [
            ranks.urgency(rank, has_answer=False) for rank in ranks.ranks
        ]
        self.assertEqual(classes, sorted(classes))
        self.assertEqual((classes[0], classes[-1]), (1, 9))

    def test_a_rank_of_other_tables(self) -> None:
        """Guards against errors while requests of older tables run."""
        ranks = PoolRanks(((1, 0), (1, 2)))
        self.assertEqual(ranks.index((1, 1)), 1)
        self.assertEqual(ranks.index((9, 9)), 1)
