"""Tests of telling that engines have ended."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.lost_engines import LostEngines


class LostEnginesTest(unittest.TestCase):
    """Pattern: an engine crashes with the drafts of many daemons on it."""

    def setUp(self) -> None:
        """Note who is called."""
        self.lost = LostEngines()
        self.told: list[str] = []
        self.lost.subscribe(self.told.append)

    def test_found_here(self) -> None:
        """It is told at once, and to others for a while."""
        self.lost.record_loss('x', 10.0)
        self.assertEqual(self.told, ['x'])
        self.assertEqual(self.lost.recent_losses(10.5), ('x',))
        self.assertEqual(self.lost.recent_losses(11.5), ())

    def test_heard_again_and_again(self) -> None:
        """News repeat themselves; a loss that was heard is not passed on."""
        for step in range(10):
            self.lost.heard(('x',), 10.0 + step / 10)
        self.assertEqual(self.told, ['x'])
        self.assertEqual(self.lost.recent_losses(10.5), ())

    def test_a_second_loss(self) -> None:
        """An engine may end again after it has started anew."""
        self.lost.heard(('x',), 10.0)
        self.lost.heard(('x',), 16.0)
        self.assertEqual(self.told, ['x', 'x'])
