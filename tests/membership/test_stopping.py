"""Tests of the states of a stop."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.stopping import (
    EndReason,
    StopDecider,
    StopSettings,
    StopState,
)

_BUSY = frozenset(('r2', 'r1'))
_IDLE: frozenset[str] = frozenset()


class StopTest(unittest.TestCase):
    """From the first signal to the end."""

    def setUp(self) -> None:
        """Allow 3 s of notice and 10 s to finish."""
        self.decider = StopDecider(StopSettings(3.0, 10.0))

    def _signal(self, now_s: float = 0.0) -> None:
        self.decider.handle_signal(_BUSY, now_s)

    def test_runs_until_a_signal(self) -> None:
        """Without a signal the state stays, however much time passes."""
        state = self.decider.advance(_IDLE, 1e9)
        self.assertEqual(state, StopState.RUNNING)
        self.assertTrue(self.decider.is_ready)

    def test_still_accepts_until_the_balancer_noticed(self) -> None:
        """It is not ready at once, even if no request is running."""
        self._signal()
        for now_s, state in (
            (0.0, StopState.NOTICED),
            (2.9, StopState.NOTICED),
            (3.0, StopState.ENDED),
        ):
            self.assertEqual(self.decider.advance(_IDLE, now_s), state)
            self.assertFalse(self.decider.is_ready)
        self.assertEqual(self.decider.reason, EndReason.IDLE)
        self.assertEqual(self.decider.cut, ())

    def test_finishes_what_is_in_work(self) -> None:
        """New requests are not accepted while draining."""
        self._signal()
        self.assertTrue(self.decider.is_accepting)
        state = self.decider.advance(_BUSY, 3.0)
        self.assertEqual(state, StopState.DRAINING)
        self.assertFalse(self.decider.is_accepting)
        self.assertEqual(self.decider.advance(_IDLE, 9.0), StopState.ENDED)
        self.assertEqual(self.decider.cut, ())

    def test_a_second_signal_ends_it_in_any_state(self) -> None:
        """The interrupted requests are returned."""
        for now_s in (1.0, 5.0):
            self.setUp()
            self._signal()
            self.decider.advance(_BUSY, now_s)
            self._signal(now_s)
            self.assertEqual(self.decider.state, StopState.ENDED)
            self.assertEqual(self.decider.reason, EndReason.SECOND_SIGNAL)
            self.assertEqual(self.decider.cut, ('r1', 'r2'))

    def test_the_limit_ends_it(self) -> None:
        """The limit is measured from the end of the notice."""
        self._signal()
        state = self.decider.advance(_BUSY, 12.9)
        self.assertEqual(state, StopState.DRAINING)
        self.assertEqual(self.decider.advance(_BUSY, 13.0), StopState.ENDED)
        self.assertEqual(self.decider.reason, EndReason.FINISH_LIMIT)
        self.assertEqual(self.decider.cut, ('r1', 'r2'))
        self._signal(14.0)
        self.assertEqual(self.decider.reason, EndReason.FINISH_LIMIT)
