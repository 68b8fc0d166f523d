"""Tests of the adaptive limit and the drain meter."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.adaptive import AdaptiveLimit, LimitBounds
from nutmegspoke.admission.drain import DrainMeter


class AdaptiveLimitTest(unittest.TestCase):
    """The limit follows the latency of a target."""

    def test_finds_the_knee_of_a_target_that_runs_four_at_once(self) -> None:
        """Latency grows above four in flight; the limit stays near four."""
        limit = AdaptiveLimit(LimitBounds(lowest=1, highest=64))
        limits = []
        for _ in range(4800):
            self._observe(limit, knee=4, used=limit.max_in_flight)
            limits.append(limit.max_in_flight)
        self.assertGreaterEqual(min(limits[1600:]), 1)
        self.assertLessEqual(max(limits), 8)
        self.assertGreaterEqual(sum(limits) / len(limits), 4)

    def test_adapts_to_a_target_that_has_become_permanently_slower(
        self,
    ) -> None:
        """The next probe measures the new latency as the base latency."""
        limit = AdaptiveLimit(LimitBounds(lowest=2, highest=16))
        for factor in (1, 3):
            for _ in range(1600):
                limit.observe(0.01 * factor, limit.max_in_flight)
            self.assertEqual(limit.max_in_flight, 16)

    def test_recovers_after_a_slow_time(self) -> None:
        """The limit falls while the target is slow and rises afterwards."""
        limit = AdaptiveLimit(LimitBounds(lowest=2, highest=32))
        for _ in range(64):
            limit.observe(0.01, 16)
        for _ in range(160):
            limit.observe(0.2, 32)
        self.assertLess(limit.max_in_flight, 10)
        for _ in range(1600):
            limit.observe(0.01, limit.max_in_flight)
        self.assertEqual(limit.max_in_flight, 32)

    def test_an_idle_target_keeps_its_limit(self) -> None:
        """A limit that is not in use does not grow."""
        limit = AdaptiveLimit(LimitBounds(lowest=2, highest=32))
        for _ in range(16):
            limit.observe(0.01, 1)
        for _ in range(320):
            limit.observe(0.2, 1)
        lowered = limit.max_in_flight
        for _ in range(64):
            limit.observe(0.01, 1)
        self.assertEqual(limit.max_in_flight, lowered)

    def _observe(self, limit: AdaptiveLimit, knee: int, used: int) -> None:
        limit.observe(0.01 * max(1.0, used / knee), used)


class DrainMeterTest(unittest.TestCase):
    """The rate includes busy time only and falls when no request ends."""

    def test_rate_of_a_busy_pool_and_of_a_stalled_one(self) -> None:
        """Twenty per second are measured; a stall lowers the rate gradually."""
        meter = DrainMeter(expected_service_s=1.0)
        meter.is_busy = True
        for step in range(1, 400):
            meter.advance(step * 0.05)
            meter.finish(cost=1, service_s=0.1)
        self.assertAlmostEqual(meter.cost_per_s(19.95, 2), 20, delta=0.5)
        self.assertAlmostEqual(meter.service_s(3), 0.3, places=6)
        self.assertLess(meter.cost_per_s(40, 2), 8)

    def test_idle_time_does_not_lower_the_rate(self) -> None:
        """An hour without requests does not change the rate."""
        meter = DrainMeter(expected_service_s=0.5)
        meter.advance(3600)
        self.assertAlmostEqual(meter.cost_per_s(3600, 4), 8)
