"""Tests of the circuit breaker."""

from __future__ import annotations

import random
import unittest

from nutmegspoke.retries.breaker import (
    BreakerSettings,
    BreakerState,
    CircuitBreaker,
)

_SETTINGS = BreakerSettings(failures_to_open=3, max_in_flight=2)


def _breaker(seed: int = 1) -> CircuitBreaker:
    return CircuitBreaker(_SETTINGS, random.Random(seed))


def _fail(breaker: CircuitBreaker, now_s: float, count: int = 1) -> None:
    for _ in range(count):
        assert not breaker.refusal_reason(now_s)
        breaker.record_result(now_s, is_success=False)


class CircuitBreakerTest(unittest.TestCase):
    """The breaker opens on failures, sends one probe and closes on success."""

    def test_opens_after_failures_in_a_row(self) -> None:
        """A success resets the count of consecutive failures."""
        breaker = _breaker()
        _fail(breaker, 0.0, 2)
        breaker.refusal_reason(0.0)
        breaker.record_result(0.0, is_success=True)
        _fail(breaker, 0.0, 2)
        self.assertIs(breaker.state, BreakerState.CLOSED)
        _fail(breaker, 0.0)
        self.assertIs(breaker.state, BreakerState.OPEN)
        self.assertEqual(breaker.refusal_reason(0.1), 'circuit open')

    def test_one_probe_at_a_time(self) -> None:
        """While a probe is in flight, other calls are refused."""
        breaker = _breaker()
        _fail(breaker, 0.0, 3)
        self.assertEqual(breaker.refusal_reason(1.0), '')
        self.assertEqual(breaker.refusal_reason(1.0), 'circuit half_open')
        breaker.record_result(1.0, is_success=True)
        self.assertEqual(breaker.refusal_reason(1.0), '')

    def test_pause_doubles_up_to_its_bound(self) -> None:
        """The pause doubles; with jitter it is at most 1.5 times the limit."""
        breaker = _breaker()
        _fail(breaker, 0.0, 3)
        now_s = 0.0
        for _ in range(10):
            now_s += 1.5 * _SETTINGS.longest_pause_s
            _fail(breaker, now_s)
        self.assertTrue(breaker.refusal_reason(now_s + 3.9))
        self.assertEqual(breaker.refusal_reason(now_s + 12.0), '')

    def test_probes_of_many_processes_spread(self) -> None:
        """Breakers that opened at the same time probe at different times."""
        due = 0
        for seed in range(200):
            breaker = _breaker(seed)
            _fail(breaker, 0.0, 3)
            due += not breaker.refusal_reason(0.3)
        self.assertLess(due, 60)
        self.assertGreater(due, 5)

    def test_bounds_calls_in_flight(self) -> None:
        """Calls beyond the limit are refused while a slow service holds others."""
        breaker = _breaker()
        self.assertEqual(breaker.refusal_reason(0.0), '')
        self.assertEqual(breaker.refusal_reason(0.0), '')
        self.assertEqual(
            breaker.refusal_reason(0.0), 'too many calls in flight'
        )
        breaker.abandoned(0.0)
        self.assertEqual(breaker.refusal_reason(0.0), '')

    def test_abandoned_probe_is_followed_by_another(self) -> None:
        """A cancelled probe does not block the next one."""
        breaker = _breaker()
        _fail(breaker, 0.0, 3)
        self.assertEqual(breaker.refusal_reason(1.0), '')
        breaker.abandoned(1.0)
        self.assertEqual(breaker.refusal_reason(2.0), '')
