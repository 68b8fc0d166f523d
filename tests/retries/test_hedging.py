"""Tests of the decisions on copies of slow requests."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.retries.copy_shares import CopyShares, PoolCopies
from nutmegspoke.retries.hedging import HedgeConditions, HedgePolicy, Withheld
from nutmegspoke.retries.latencies import AgedHistogram, Latencies

_ROUTE = 'reads'
_GOAL_S = 0.2
_SHARE = 0.05
_USUAL_S = 0.02
_SLOW_S = 1.0
_TARGETS = tuple(f't{number}' for number in range(6))
_COUNT = 40


def _answer(
    policy: HedgePolicy, target: str, now_s: float, took_s: float
) -> None:
    """Record an answer that has arrived by now."""
    exchange = policy.sent(_ROUTE, target, now_s - took_s)
    policy.ended(exchange, now_s, is_counted=True)


def _quick_policy(now_s: float) -> HedgePolicy:
    """Return a policy that has seen quick answers of all targets."""
    policy = HedgePolicy()
    for number in range(_COUNT * len(_TARGETS)):
        target = _TARGETS[number % len(_TARGETS)]
        _answer(policy, target, now_s, _USUAL_S)
    return policy


class LatenciesTest(unittest.TestCase):
    """Quantiles of the last time."""

    def test_quantiles(self) -> None:
        """They are known to within a bucket, from enough answers on."""
        histogram = AgedHistogram()
        for number in range(19):
            histogram.add(0.01 * (number + 1), 0.0)
        self.assertIsNone(histogram.quantile_s(0.5, 0.0))
        histogram.add(0.2, 0.0)
        median_s = histogram.quantile_s(0.5, 0.0) or 0.0
        self.assertGreaterEqual(median_s, 0.1)
        self.assertLess(median_s, 0.111)

    def test_old_answers_are_forgotten(self) -> None:
        """Guards against a delay from a load that is long past."""
        histogram = AgedHistogram()
        for _ in range(_COUNT):
            histogram.add(_SLOW_S, 0.0)
        self.assertIsNotNone(histogram.quantile_s(0.5, 59.0))
        self.assertIsNone(histogram.quantile_s(0.5, 60.0))

    def test_a_slow_target_does_not_raise_the_delay(self) -> None:
        """Guards against copies that come when the slow target answers."""
        latencies = Latencies()
        for target in _TARGETS:
            took_s = _SLOW_S if target == 't0' else _USUAL_S
            for _ in range(_COUNT):
                latencies.add(_ROUTE, target, took_s, 0.0)
        typical_s = latencies.typical_s(_ROUTE, 0.95, 0.0)
        self.assertLess(typical_s or _SLOW_S, 2 * _USUAL_S)

    def test_odd_latencies(self) -> None:
        """Impossible and huge times are counted as the bounds."""
        histogram = AgedHistogram()
        for latency_s in (-1.0, 0.0, 1e9) * 10:
            histogram.add(latency_s, 0.0)
        self.assertEqual(histogram.quantile_s(0.1, 0.0), 0.001)
        self.assertLess(histogram.quantile_s(1.0, 0.0) or 0.0, 700.0)


class CopySharesTest(unittest.TestCase):
    """The operator's limit holds over all daemons."""

    def test_copies_of_all_daemons_count(self) -> None:
        """Guards against a limit that each daemon has for itself."""
        shares = CopyShares(10.0)
        self.assertTrue(shares.is_left('p', PoolCopies(40, 1), _SHARE, 0.0))
        self.assertFalse(shares.is_left('p', PoolCopies(40, 2), _SHARE, 0.0))
        shares.sent('p', 0.0)
        self.assertEqual(shares.outgoing(1.0), {'p': 1})
        self.assertFalse(shares.is_left('p', PoolCopies(40, 1), _SHARE, 1.0))
        self.assertTrue(shares.is_left('p', PoolCopies(40, 1), _SHARE, 10.0))
        self.assertEqual(shares.outgoing(10.0), {})

    def test_without_requests(self) -> None:
        """A daemon that hears of no requests sends no copy."""
        shares = CopyShares(10.0)
        self.assertFalse(shares.is_left('p', PoolCopies(19), _SHARE, 0.0))
        self.assertTrue(shares.is_left('p', PoolCopies(20), _SHARE, 0.0))


class HedgePolicyTest(unittest.TestCase):
    """When a copy is sent, and what withholds it."""

    def test_the_delay(self) -> None:
        """It is a quantile once known, and part of the goal before."""
        policy = HedgePolicy()
        delay_s = policy.delay_s(_ROUTE, _GOAL_S, _SHARE, 0.0)
        self.assertEqual(delay_s, 0.5 * _GOAL_S)
        policy = _quick_policy(1.0)
        delay_s = policy.delay_s(_ROUTE, _GOAL_S, _SHARE, 1.0)
        self.assertLess(delay_s, 1.2 * _USUAL_S)

    def test_overtaken_requests_count(self) -> None:
        """Guards against quantiles that shrink as copies win."""
        policy = HedgePolicy()
        for number in range(_COUNT):
            is_slow = number % 10 == 0
            took_s = _SLOW_S if is_slow else _USUAL_S
            _answer(policy, 't0', 1.0, took_s)
        delay_s = policy.delay_s(_ROUTE, _GOAL_S, _SHARE, 1.0)
        self.assertGreaterEqual(delay_s, _SLOW_S)

    def test_each_reason(self) -> None:
        """Guards against a copy that some condition forbids."""
        policy = _quick_policy(1.0)
        exchange = policy.sent(_ROUTE, 't0', 1.0)
        delay_s = 2 * _USUAL_S
        now_s = 1.0 + delay_s
        fine = HedgeConditions(left_s=1.0)
        reasons = {
            Withheld.MAY_CRASH: {'may_crash': True},
            Withheld.NOT_SENT: {'is_sent': False},
            Withheld.LIMITED: {'is_limited': True},
            Withheld.PAUSED: {'is_paused': True},
            Withheld.NO_TARGET: {'has_target': False},
            Withheld.NO_ROOM: {'has_room': False},
            Withheld.OUT_OF_TIME: {'left_s': 0.001},
            Withheld.SHARE: {'has_share': False},
            Withheld.BUDGET: {'has_budget': False},
        }
        self.assertIsNone(policy.decide(exchange, fine, delay_s, now_s))
        for reason, change in reasons.items():
            conditions = dataclasses.replace(fine, **change)
            self.assertEqual(
                policy.decide(exchange, conditions, delay_s, now_s), reason
            )

    def test_slow_answers_of_all_targets(self) -> None:
        """Guards against copies that add to the load of a slow pool."""
        policy = _quick_policy(1.0)
        for target in _TARGETS:
            _answer(policy, target, 2.0, _SLOW_S)
        exchange = policy.sent(_ROUTE, 't0', 2.0)
        reason = policy.decide(exchange, HedgeConditions(), _USUAL_S, 2.1)
        self.assertEqual(reason, Withheld.ALL_SLOW)

    def test_all_targets_turn_slow_at_once(self) -> None:
        """Guards against copies before any slow answer has come."""
        policy = _quick_policy(1.0)
        exchange = policy.sent(_ROUTE, 't0', 1.0)
        for target in _TARGETS[1:]:
            policy.sent(_ROUTE, target, 1.01)
        reason = policy.decide(exchange, HedgeConditions(), 2 * _USUAL_S, 1.05)
        self.assertEqual(reason, Withheld.ALL_SLOW)
