"""Tests of the balance of prompts over engines, on a model of a pool."""

from __future__ import annotations

import collections
import dataclasses
import math
import unittest
from typing import TYPE_CHECKING

from nutmegspoke.balance.read_waits import ReadWaits, UnseenSends, is_needed
from nutmegspoke.routing.room_chains import ChainFinder, ChainOptions
from tests import builders_edge as build
from tests.balance import pool_model as model

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.routing.engine_loads import EngineLoad

_DURATION_S = 6.0


def _pool() -> list[EngineLoad]:
    """Return three zones with engines of three kinds."""
    return [
        engine
        for zone in model.ZONES
        for engine in (
            *model.replicas(zone, build.QUICK, 20),
            *model.replicas(zone, build.MIDDLE, 10, 2),
            *model.replicas(zone, build.SLOW, 10),
        )
    ]


def _burst_per_s(now_s: float, zone: str) -> float:
    """Return a rate that triples for two seconds."""
    return 70.0 if 2 < now_s < 4 else 25.0


def _wave_per_s(now_s: float, zone: str) -> float:
    """Return a rate that is high in one zone after the other."""
    is_high = (int(now_s) + model.ZONES.index(zone)) % 3 == 0
    return 108.0 if is_high else 36.0


def _even_per_s(now_s: float, zone: str) -> float:
    """Return the same rate at all times and in all zones."""
    return 60.0


def _play(
    rate_per_s: Callable[[float, str], float],
    *,
    is_balanced: bool,
    news_interval_s: float = 0.35,
) -> model.Served:
    pool = model.PoolModel(
        _pool(), is_balanced=is_balanced, news_interval_s=news_interval_s
    )
    return pool.play(rate_per_s, _DURATION_S)


class PoolLoadTest(unittest.TestCase):
    """Fewer drafts are late if hosts weigh the waits at engines."""

    def test_prompts_queue_behind_a_burst(self) -> None:
        """Guards against first events that come late as memory is free."""
        before = _play(_burst_per_s, is_balanced=False)
        after = _play(_burst_per_s, is_balanced=True)
        self.assertGreater(before.late_share, 0.15)
        self.assertLess(after.late_share, 0.05)

    def test_a_wave_moves_between_zones(self) -> None:
        """Guards against queues in one zone while the others are idle."""
        before = _play(_wave_per_s, is_balanced=False)
        after = _play(_wave_per_s, is_balanced=True)
        self.assertGreater(before.late_share, 0.3)
        self.assertLess(after.late_share, 0.05)

    def test_many_hosts_with_old_news(self) -> None:
        """Guards against hosts that all send to the engine that was idle."""
        before = _play(_even_per_s, is_balanced=False, news_interval_s=0.75)
        after = _play(_even_per_s, is_balanced=True, news_interval_s=0.75)
        self.assertGreater(before.late_share, 0.2)
        self.assertLess(after.late_share, before.late_share / 3)

    def test_the_busiest_engine(self) -> None:
        """Guards against work of the busiest far above the mean."""
        before = _play(_even_per_s, is_balanced=False)
        after = _play(_even_per_s, is_balanced=True)
        self.assertLess(
            max(after.work_s.values()), 0.6 * max(before.work_s.values())
        )


class FaultyNewsTest(unittest.TestCase):
    """News that is missing or untrue does no harm."""

    def test_news_is_missing(self) -> None:
        """Guards against hosts that are cut off and are served much worse.

        Nothing spreads the drafts of hosts that hear nothing of each other.
        """
        before = _play(_even_per_s, is_balanced=False, news_interval_s=0)
        after = _play(_even_per_s, is_balanced=True, news_interval_s=0)
        self.assertLess(after.late, 1.1 * before.late)

    def test_news_is_untrue_by_a_factor_of_ten(self) -> None:
        """Guards against told counts that stop the choice or break it."""
        for tell in (lambda count: 10 * count, lambda count: count // 10):
            with self.subTest(tell=tell(10)):
                pool = model.PoolModel(_pool(), is_balanced=True)
                pool.tell = tell
                served = pool.play(_even_per_s, _DURATION_S)
                before = _play(_even_per_s, is_balanced=False)
                self.assertLessEqual(served.late, before.late)

    def test_huge_counts_give_finite_costs(self) -> None:
        """Guards against a chain that no count can make usable."""
        engines = [
            dataclasses.replace(engine, request_count=10**9)
            for engine in _pool()
        ]
        costs_s = ReadWaits.from_engines(engines, model.PROFILE).costs_s(
            engines
        )
        self.assertTrue(all(map(math.isfinite, costs_s.values())))
        chain = ChainFinder(model.PROFILE, 'a').find(
            engines, build.need(), ChainOptions(visit_costs_s=costs_s)
        )
        self.assertIsNotNone(chain)

    def test_untrue_starts_assume_no_more_than_engines_begin(self) -> None:
        """Guards against a choice by chance alone after untrue news."""
        counts = []
        for starts in (model.PROFILE.first_slots, 10**300):
            engines = [
                dataclasses.replace(engine, first_stage_count=starts)
                for engine in _pool()
            ]
            waits = ReadWaits.from_engines(engines, model.PROFILE, 0.75, 3)
            counts.append(waits.unseen.count)
        self.assertEqual(counts[0], counts[1])

    def test_an_engine_turns_slow_after_the_choice(self) -> None:
        """Guards against an engine known as slow that gets a usual share."""
        slow = {
            engine.name
            for engine in _pool()
            if engine.name.startswith(('a-middle-0', 'b-quick-0'))
        }
        late = []
        for is_known in (False, True):
            engines = [
                dataclasses.replace(engine, slowness=12.0)
                if is_known and engine.name in slow
                else engine
                for engine in _pool()
            ]
            pool = model.PoolModel(engines, is_balanced=True)
            pool.true_slowness = dict.fromkeys(slow, 12.0)
            late.append(pool.play(_even_per_s, _DURATION_S).late_share)
        self.assertGreater(late[0], 0.1)
        self.assertLess(late[1], 0.05)


class ReadWaitsTest(unittest.TestCase):
    """Waits follow from requests, speed and age."""

    def test_only_for_goals_and_unlike_engines(self) -> None:
        """Guards against other choices in pools of earlier deployments."""
        unlike = [
            build.load('x', (0, 40)),
            build.load('y', (40, 80), build.SLOW),
        ]
        alike = [build.load('x', (0, 40)), build.load('y', (40, 80))]
        self.assertTrue(is_needed(unlike, model.PROFILE, 0.25))
        self.assertFalse(is_needed(alike, model.PROFILE, 0.25))
        self.assertFalse(is_needed(unlike, model.PROFILE, 0.0))
        self.assertFalse(is_needed(unlike, build.profile(), 0.25))
        self.assertFalse(is_needed([], model.PROFILE, 0.25))
        for unknown in ({'read_chunk_tokens': 0.0}, {'step_s': 0.0}):
            profile = dataclasses.replace(model.PROFILE, **unknown)
            self.assertFalse(is_needed(unlike, profile, 0.25))

    def test_an_idle_pool_has_no_waits(self) -> None:
        """Guards against costs where there is room for all."""
        engines = _pool()
        waits = ReadWaits.from_engines(engines, model.PROFILE, 0.35, 3)
        self.assertEqual(set(waits.costs_s(engines).values()), {0.0})

    def test_waits_grow_with_requests_and_slowness(self) -> None:
        """Guards against a wait that ends at some number of requests."""
        waits = ReadWaits.from_engines(_pool(), model.PROFILE)
        by_count = [
            waits.wait_s(build.load('x', (0, 20), request_count=count))
            for count in (0, 10, 50, 100, 200)
        ]
        self.assertEqual(by_count, sorted(set(by_count)))
        usual = build.load('x', (0, 20), request_count=10)
        slow = dataclasses.replace(usual, slowness=12.0)
        self.assertGreater(waits.wait_s(slow), 12 * waits.wait_s(usual))

    def test_unseen_sends_differ_between_drafts(self) -> None:
        """Guards against drafts that all assume the same of an engine."""
        engines = [f'i-{number}' for number in range(8)]
        lowest = collections.Counter(
            min(engines, key=UnseenSends(40.0, salt).sent_to)
            for salt in range(800)
        )
        self.assertEqual(set(lowest), set(engines))
        self.assertLess(max(lowest.values()), 2 * 100)
        sent = [UnseenSends(40.0, 7).sent_to(engine) for engine in engines]
        self.assertTrue(all(0 <= count < math.inf for count in sent))
