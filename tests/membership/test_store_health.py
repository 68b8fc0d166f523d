"""Tests of the pauses between calls of a failing store."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.store_health import StoreHealth


class StoreHealthTest(unittest.TestCase):
    """Guards against many calls of a store that rejects them.

    The store charges for each call.
    """

    def setUp(self) -> None:
        """Record a failed call."""
        self.health = StoreHealth()
        self.health.failed('op', 10.0)

    def test_no_call_waits_while_the_store_answers(self) -> None:
        """All feeds may call at any time."""
        healthy = StoreHealth()
        self.assertEqual(healthy.wait_s('op', 0.0), 0.0)
        self.assertEqual(healthy.wait_s('servers', 0.0), 0.0)

    def test_one_caller_retries_for_all(self) -> None:
        """The others wait while its call is pending."""
        self.assertGreater(self.health.wait_s('servers', 10.0), 0.0)
        self.assertEqual(self.health.wait_s('servers', 10.1), 0.0)
        self.assertGreater(self.health.wait_s('op', 10.1), 0.0)
        self.health.answered('servers')
        self.assertEqual(self.health.wait_s('op', 10.2), 0.0)
        self.assertFalse(self.health.is_failing)

    def test_pauses_grow_to_a_second(self) -> None:
        """An outage of 10 s causes about a dozen calls."""
        calls = 0
        now_s = 10.0
        while now_s < 20.0:
            for feed in ('op', 'servers', 'daemons'):
                if not self.health.wait_s(feed, now_s):
                    calls += 1
                    self.health.failed(feed, now_s)
            now_s += 0.05
        self.assertLess(calls, 14)
        self.assertGreater(calls, 9)

    def test_calls_under_way_when_the_store_fails(self) -> None:
        """Their failures don't delay the next retry further."""
        self.health.failed('servers', 10.01)
        self.health.failed('daemons', 10.02)
        self.assertLessEqual(self.health.wait_s('op', 10.03), 0.5)

    def test_a_late_answer_ends_the_failure(self) -> None:
        """Any answer shows that the store has recovered."""
        self.health.answered('daemons')
        self.assertFalse(self.health.is_failing)


class SilenceTest(unittest.TestCase):
    """The store gives no answer for a while and may have lost calls."""

    def setUp(self) -> None:
        """Record the ends of silences."""
        self.health = StoreHealth()
        self.silences_s: list[float] = []
        self.health.subscribe(self.silences_s.append)

    def test_calls_are_repeated_once_it_answers(self) -> None:
        """Guards against calls that are repeated to a silent store."""
        self.health.failed('servers', 10.0, is_silent=True)
        self.health.failed('servers', 12.0, is_silent=True)
        self.assertEqual(self.silences_s, [])
        self.assertEqual(self.health.silence_age_s(12.5), -1.0)
        self.health.answered('servers')
        self.health.answered('servers')
        self.assertEqual(self.silences_s, [12.0])
        self.assertEqual(self.health.silence_age_s(12.5), 0.5)
        self.assertEqual(self.health.silence_age_s(60.0), -1.0)

    def test_a_refusal_loses_no_call(self) -> None:
        """Guards against more calls to a store that rejects them."""
        self.health.failed('servers', 10.0)
        self.health.answered('servers')
        self.assertEqual(self.silences_s, [])

    def test_the_time_of_a_call_counts_as_pause(self) -> None:
        """Guards against tables that stay old after a long silence."""
        for _ in range(5):
            self.health.failed('op', 10.0, took_s=1.5, is_silent=True)
        self.assertEqual(self.health.wait_s('op', 10.0), 0.0)
