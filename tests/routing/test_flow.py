"""Tests of the flow policy."""

from __future__ import annotations

import collections
import dataclasses
import random
import unittest

from nutmegspoke.layers import LayerRange, covers
from nutmegspoke.routing.choices import (
    ChainChoice,
    NoChain,
    NoChoiceReason,
    TargetLimit,
)
from nutmegspoke.routing.flow import FlowChains
from nutmegspoke.routing.members import prefix_key
from tests import builders_routing as build


class FlowChainsTest(unittest.TestCase):
    """Shares, excluded targets, zones and prefix affinity."""

    def setUp(self) -> None:
        """Create two first stages with speeds 1:3 and one last stage."""
        self.policy = FlowChains()
        self.targets = (
            build.engine('slow', 0, 2, layer_tokens_per_s=100.0),
            build.engine('fast', 0, 2, layer_tokens_per_s=300.0),
            build.engine('last', 2, 4, layer_tokens_per_s=400.0),
        )

    def test_shares_follow_speeds_in_work_not_in_requests(self) -> None:
        """Requests of different sizes split the tokens by the flow weights."""
        source = random.Random(5)
        tokens: collections.Counter[str] = collections.Counter()
        for _ in range(400):
            work = source.choice((10, 50, 500))
            query = build.chain_query(work_tokens=work)
            choice = self._choose(query)
            tokens[choice.chain[0].target] += work
            self.policy.finish(choice)
        share = tokens['fast'] / (tokens['fast'] + tokens['slow'])
        self.assertAlmostEqual(share, 0.75, delta=0.02)

    def test_turns_are_interleaved(self) -> None:
        """Weights of 1:3 never give one chain many requests in a row."""
        names = ''
        for _ in range(12):
            choice = self._choose(build.chain_query())
            names += choice.chain[0].target[0]
        self.assertEqual(names.count('s'), 3)
        self.assertNotIn('ffff', names)
        self.assertNotIn('ss', names)

    def test_avoided_and_full_targets_get_nothing(self) -> None:
        """A retry uses other targets; adapted limits exclude targets too."""
        avoided = build.chain_query(avoided=frozenset({'fast'}))
        limited = build.chain_query(limits=(TargetLimit('fast', 0),))
        for query in (avoided, limited):
            self.assertEqual(self._choose(query).chain[0].target, 'slow')

    def test_says_why_there_is_no_chain(self) -> None:
        """Gaps, avoided targets and limits give own reasons and the layer."""
        cases = (
            ({}, (), NoChoiceReason.NO_TARGET, 0),
            ({}, self.targets[:2], NoChoiceReason.LAYER_GAP, 2),
            (
                {'avoided': frozenset({'last'})},
                self.targets,
                NoChoiceReason.AVOIDED,
                2,
            ),
            (
                {'max_in_flight': 0},
                self.targets,
                NoChoiceReason.IN_FLIGHT_LIMIT,
                0,
            ),
        )
        for changes, targets, reason, layer in cases:
            choice = self.policy.choose(
                build.chain_query(**changes),
                targets,
                0,
            )
            self.assertEqual(choice, NoChain(reason, layer))

    def test_stays_in_its_zone_until_it_is_busy(self) -> None:
        """Chains of another zone are used once the own one is busy."""
        targets = tuple(
            build.engine(
                f'{zone}{start}',
                start,
                start + 2,
                availability_zone=zone,
            )
            for zone in 'ab'
            for start in (0, 2)
        )
        query = build.chain_query(availability_zone='a')
        for _ in range(8):
            self.assertEqual(self._target_names(query, targets), ['a0', 'a2'])
        busy = [
            dataclasses.replace(each, own_in_flight=2 * (each.name == 'a0'))
            for each in targets
        ]
        first_engines = [self._target_names(query, busy)[0] for _ in range(8)]
        self.assertIn('b0', first_engines)

    def test_lagging_reports_are_corrected_by_what_was_sent(self) -> None:
        """Of equal engines, the one with less unreported work is chosen."""
        equal_engines = (
            build.engine('x', 0, 4, reported_in_flight=1, sent_since_report=9),
            build.engine('y', 0, 4, reported_in_flight=3),
        )
        first = self._choose(
            build.chain_query(work_tokens=5), equal_engines[:1]
        )
        self.policy.finish(first)
        self.assertEqual(
            self._target_names(build.chain_query(), equal_engines), ['y']
        )

    def test_affinity_keeps_a_prefix_together_but_never_overloads(self) -> None:
        """A frequent prefix uses other engines when its engine waits longer."""
        pool = tuple(build.engine(f'e{n}', 0, 4) for n in range(4))
        key = prefix_key('You are a helper for toy robots. ' * 40 + 'go left')
        same = prefix_key('You are a helper for toy robots. ' * 40 + 'go right')
        self.assertEqual(key, same)
        query = build.chain_query(prefix_key=key, max_in_flight=1000)
        quiet = set()
        for _ in range(20):
            choice = self._choose(query, pool)
            quiet.add(choice.chain[0].target)
            self.policy.finish(choice)
        self.assertEqual(len(quiet), 1)
        counts = collections.Counter(
            self._choose(query, pool).chain[0].target for _ in range(100)
        )
        self.assertLessEqual(max(counts.values()), 100 / 4 * 1.25 + 1)

    def test_preferred_requests_get_the_fastest_chain_within_bounds(
        self,
    ) -> None:
        """Preferred requests are charged, so shares still follow the flow."""
        one = self._choose(build.chain_query(is_first=True))
        self.assertEqual(one.chain[0].target, 'fast')
        first_engines: collections.Counter[str] = collections.Counter()
        for number in range(400):
            query = build.chain_query(is_first=number % 2 == 0)
            first_engines[self._choose(query).chain[0].target] += 1
        self.assertAlmostEqual(first_engines['fast'] / 400, 0.75, delta=0.05)

    def test_chains_of_a_mixed_pool_cover_the_model(self) -> None:
        """Every chain covers all layers once, with layers that engines hold."""
        pool = build.mixed_engines(60)
        held = {each.name: each.layers for each in pool}
        for number in range(200):
            query = build.chain_query(80, work_tokens=1 + number % 7)
            chain = self._choose(query, pool).chain
            self.assertTrue(covers([stage.layers for stage in chain], 80))
            for stage in chain:
                self.assertLessEqual(
                    held[stage.target].start, stage.layers.start
                )
                self.assertGreaterEqual(
                    held[stage.target].stop, stage.layers.stop
                )

    def test_falls_back_outside_the_plan_before_it_refuses(self) -> None:
        """If no planned chain is usable, any other available chain is used."""
        targets = (
            build.engine('whole', 0, 4, layer_tokens_per_s=400.0),
            build.engine('head', 0, 2, layer_tokens_per_s=0.0),
            build.engine('tail', 2, 4, layer_tokens_per_s=0.0),
        )
        query = build.chain_query(avoided=frozenset({'whole'}))
        choice = self._choose(query, targets)
        self.assertEqual(choice.reason, 'flow_fallback')
        self.assertEqual(choice.chain[1].layers, LayerRange(2, 4))

    def _choose(self, query, targets=None) -> ChainChoice:
        choice = self.policy.choose(query, targets or self.targets, 0)
        self.assertIsInstance(choice, ChainChoice)
        return choice

    def _target_names(self, query, targets) -> list[str]:
        return [stage.target for stage in self._choose(query, targets).chain]
