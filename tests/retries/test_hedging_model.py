"""Tests of copies under the load that they answer, in virtual time."""

from __future__ import annotations

import functools
import unittest

from tests.retries.hedging_model import HedgingModel, Load, Outcome, Way

_SHARE = 0.05
_SEED = 1


@functools.cache
def _play(way: Way, load: Load) -> Outcome:
    return HedgingModel(way, load, _SHARE, _SEED).run()


class HedgingModelTest(unittest.TestCase):
    """Latencies and work with copies, beside those without."""

    def test_usual_times(self) -> None:
        """Guards against work for nothing while no target is slow."""
        none = _play(Way.NEVER, Load.USUAL)
        copied = _play(Way.QUANTILE, Load.USUAL)
        self.assertLessEqual(copied.p99_s, 1.05 * none.p99_s)
        self.assertLessEqual(copied.p999_s, none.p999_s)
        self.assertLessEqual(copied.copies, _SHARE)
        self.assertLessEqual(copied.work, 1.02 * none.work)

    def test_a_slow_tenth_of_targets(self) -> None:
        """Guards against callers that wait for the slow targets."""
        none = _play(Way.NEVER, Load.SLOW_TENTH)
        copied = _play(Way.QUANTILE, Load.SLOW_TENTH)
        self.assertLess(copied.p99_s, 0.6 * none.p99_s)
        self.assertLess(copied.p999_s, 0.8 * none.p999_s)
        self.assertLessEqual(copied.copies, _SHARE)
        self.assertLessEqual(copied.work, 1.02 * none.work)

    def test_a_pause_of_one_target(self) -> None:
        """Guards against callers that wait until the pause has ended."""
        none = _play(Way.NEVER, Load.PAUSE)
        copied = _play(Way.QUANTILE, Load.PAUSE)
        self.assertLess(copied.longest_s, 0.2 * none.longest_s)
        self.assertLessEqual(copied.copies, _SHARE)

    def test_all_targets_slow_at_once(self) -> None:
        """Guards against copies that add to the load of a slow pool."""
        copied = _play(Way.QUANTILE, Load.ALL_SLOW)
        self.assertEqual(copied.copies_in_fault, 0)

    def test_copies_without_a_decision_add_to_a_slow_pool(self) -> None:
        """The model shows the harm: other ways double the requests."""
        none = _play(Way.NEVER, Load.ALL_SLOW)
        for way in (Way.GOAL_PART, Way.AT_ONCE):
            copied = _play(way, Load.ALL_SLOW)
            self.assertGreater(copied.copies_in_fault, 1_000)
            self.assertGreater(copied.p99_s, 2 * none.p99_s)
