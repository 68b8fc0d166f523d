"""Tests of calling a store that fails."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.store_health import StoreHealth


class StoreHealthTest(unittest.TestCase):
    """Pattern: the store turns hosts away. Each call is priced there."""

    def setUp(self) -> None:
        """Let a call fail."""
        self.health = StoreHealth()
        self.health.failed('op', 10.0)

    def test_nothing_waits_in_calm(self) -> None:
        """All feeds call as they like."""
        calm = StoreHealth()
        self.assertEqual(calm.wait_s('op', 0.0), 0.0)
        self.assertEqual(calm.wait_s('servers', 0.0), 0.0)

    def test_one_tries_for_all(self) -> None:
        """The others wait while its call is under way."""
        self.assertGreater(self.health.wait_s('servers', 10.0), 0.0)
        self.assertEqual(self.health.wait_s('servers', 10.1), 0.0)
        self.assertGreater(self.health.wait_s('op', 10.1), 0.0)
        self.health.answered('servers')
        self.assertEqual(self.health.wait_s('op', 10.2), 0.0)
        self.assertFalse(self.health.is_failing)

    def test_pauses_grow_to_a_second(self) -> None:
        """Ten seconds without the store cost a dozen calls, not dozens."""
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
        """Their failures don't push the next try further off."""
        self.health.failed('servers', 10.01)
        self.health.failed('daemons', 10.02)
        self.assertLessEqual(self.health.wait_s('op', 10.03), 0.5)

    def test_a_late_answer_ends_the_failure(self) -> None:
        """Any answer shows that the store is back."""
        self.health.answered('daemons')
        self.assertFalse(self.health.is_failing)
