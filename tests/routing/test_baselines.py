"""Tests of the baseline policies and of the policies for single targets."""

from __future__ import annotations

import collections
import random
import unittest

from nutmegspoke.layers import covers
from nutmegspoke.routing import baselines, single
from nutmegspoke.routing.choices import NoChoiceReason, NoTarget
from tests import builders_routing as build


class BaselinesTest(unittest.TestCase):
    """Baselines return complete chains of usable engines."""

    def test_chains_are_whole_and_masked(self) -> None:
        """No baseline omits a layer or uses an avoided engine."""
        pool = build.mixed_engines(30)
        policies = (
            baselines.RandomChains(random.Random(1)),
            baselines.RoundRobinChains(),
            baselines.LeastInFlightChains(),
        )
        query = build.chain_query(80, avoided=frozenset({'engine-5'}))
        for policy in policies:
            for _ in range(30):
                chain = policy.choose(query, pool, 0).chain
                self.assertTrue(covers([each.layers for each in chain], 80))
                self.assertNotIn('engine-5', [each.target for each in chain])

    def test_round_robin_takes_turns(self) -> None:
        """Engines with the same layers get equal numbers of requests."""
        pool = [build.engine(f'e{n}', 0, 4) for n in range(3)]
        policy = baselines.RoundRobinChains()
        names = [
            policy.choose(build.chain_query(), pool, 0).chain[0].target
            for _ in range(9)
        ]
        self.assertEqual(names, ['e0', 'e1', 'e2'] * 3)

    def test_least_in_flight_takes_the_least_loaded(self) -> None:
        """The load is the higher of the reported and the own count."""
        pool = [
            build.engine('a', 0, 4, reported_in_flight=1, sent_since_report=2),
            build.engine('b', 0, 4, own_in_flight=2),
        ]
        policy = baselines.LeastInFlightChains()
        choice = policy.choose(build.chain_query(), pool, 0)
        self.assertEqual(choice.chain[0].target, 'b')


class SingleTest(unittest.TestCase):
    """Policies for single targets of plain services."""

    def test_zone_first_then_any(self) -> None:
        """Another zone is used only when the own targets are full."""
        near = build.engine('n', 0, 1, availability_zone='a', own_in_flight=4)
        far = build.engine('f', 0, 1, availability_zone='b', own_in_flight=3)
        policy = single.LeastWaitTargets()
        for limit, name in ((5, 'n'), (4, 'f')):
            query = build.target_query(
                max_in_flight=limit,
                availability_zone='a',
            )
            choice = policy.choose(query, (near, far), 0)
            self.assertEqual(choice.target.name, name)

    def test_reasons_for_no_target(self) -> None:
        """No targets, only avoided ones and only full ones give own reasons."""
        pool = (build.engine('a', 0, 1),)
        cases = (
            ((), {}, NoChoiceReason.NO_TARGET),
            (pool, {'avoided': frozenset('a')}, NoChoiceReason.AVOIDED),
            (pool, {'max_in_flight': 0}, NoChoiceReason.IN_FLIGHT_LIMIT),
        )
        policies = (
            single.LeastWaitTargets(),
            single.LeastInFlightTargets(),
            single.RandomTargets(random.Random(2)),
            single.RoundRobinTargets(),
        )
        for policy in policies:
            for targets, changes, reason in cases:
                query = build.target_query(**changes)
                choice = policy.choose(query, targets, 0)
                self.assertEqual(choice, NoTarget(reason))

    def test_baselines_spread_over_all(self) -> None:
        """Random and round robin policies use every target."""
        pool = [build.engine(f's{n}', 0, 1) for n in range(3)]
        for policy in (
            single.RandomTargets(random.Random(3)),
            single.RoundRobinTargets(),
        ):
            counts = collections.Counter(
                policy.choose(build.target_query(), pool, 0).target.name
                for _ in range(90)
            )
            self.assertEqual(len(counts), 3)
            self.assertGreater(min(counts.values()), 15)
