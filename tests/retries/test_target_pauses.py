"""Tests of the pauses that targets ask for."""

from __future__ import annotations

import math
import unittest

from nutmegspoke.retries.target_pauses import TargetPauses

_STEP_S = 0.05


class TargetPausesTest(unittest.TestCase):
    """A target gets nothing in its pause, and more by degrees after it."""

    def setUp(self) -> None:
        """Begin a pause of three seconds."""
        self.pauses = TargetPauses()
        self.pauses.begin('a', 3.0, 10.0)

    def _fill(self, now_s: float) -> int:
        """Send all requests that may be sent now; return their number."""
        count = 0
        while not self.pauses.is_closed('a', now_s) and count < 10_000:
            self.pauses.sent('a')
            count += 1
        return count

    def test_nothing_in_the_pause(self) -> None:
        """Guards against requests before the end that the target named."""
        for now_s in (10.0, 11.5, 12.99):
            self.assertTrue(self.pauses.is_paused('a', now_s))
            self.assertEqual(self._fill(now_s), 0)
            self.assertAlmostEqual(
                self.pauses.left_s(['a', 'b'], now_s), 13.0 - now_s
            )
        self.assertFalse(self.pauses.is_closed('b', 11.0))

    def test_the_return(self) -> None:
        """Guards against all requests at once, or none, after a pause."""
        counts = [self._fill(13.0 + number * _STEP_S) for number in range(41)]
        self.assertEqual(counts[0], 1)
        self.assertLessEqual(max(counts[:20]), 8)
        self.assertGreater(sum(counts), 100)
        self.assertFalse(self.pauses.is_paused('a', 13.0))
        self.assertEqual(self.pauses.left_s(['a'], 15.1), math.inf)

    def test_the_time_until_the_next_request(self) -> None:
        """Guards against a retry time of zero while the target is closed."""
        for number in range(30):
            now_s = 13.0 + number * _STEP_S
            self._fill(now_s)
            left_s = self.pauses.left_s(['a'], now_s)
            self.assertGreater(left_s, 0.0)
            self.assertFalse(self.pauses.is_closed('a', now_s + left_s + 1e-6))

    def test_a_shorter_pause_does_not_end_a_longer_one(self) -> None:
        """Guards against answers that overtake each other."""
        self.pauses.begin('a', 0.5, 10.1)
        self.assertTrue(self.pauses.is_paused('a', 12.9))

    def test_the_earliest_end(self) -> None:
        """Guards against a retry time of the last target that returns."""
        self.pauses.begin('b', 1.0, 10.0)
        self.assertAlmostEqual(self.pauses.left_s(['a', 'b'], 10.5), 0.5)
