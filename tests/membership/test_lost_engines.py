"""Tests of reporting engines whose process has ended."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.lost_engines import LostEngines


class LostEnginesTest(unittest.TestCase):
    """Guards against drafts that wait for an engine known to have crashed.

    An engine runs drafts of many daemons, and one daemon detects its crash.
    """

    def setUp(self) -> None:
        """Subscribe with a list of the notified names."""
        self.lost = LostEngines()
        self.notified: list[str] = []
        self.lost.subscribe(self.notified.append)

    def test_a_loss_detected_here(self) -> None:
        """Subscribers are notified at once; the loss is reported for 1 s."""
        self.lost.record_loss('x', 10.0)
        self.assertEqual(self.notified, ['x'])
        self.assertEqual(self.lost.recent_losses(10.5), ('x',))
        self.assertEqual(self.lost.recent_losses(11.5), ())

    def test_a_repeated_loss_is_notified_once(self) -> None:
        """Updates repeat a loss; a received loss is not reported again."""
        for step in range(10):
            self.lost.receive(('x',), 10.0 + step / 10)
        self.assertEqual(self.notified, ['x'])
        self.assertEqual(self.lost.recent_losses(10.5), ())

    def test_a_second_loss(self) -> None:
        """An engine may end again after it has restarted."""
        self.lost.receive(('x',), 10.0)
        self.lost.receive(('x',), 16.0)
        self.assertEqual(self.notified, ['x', 'x'])
