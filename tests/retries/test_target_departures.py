"""Tests of targets that say that they leave."""

from __future__ import annotations

import unittest

from nutmegspoke.retries.target_departures import TargetDepartures
from tests import builders_edge as build


class TargetDeparturesTest(unittest.TestCase):
    """What a target says holds until it starts again."""

    def setUp(self) -> None:
        """Know of no departure."""
        self.departures = TargetDepartures()
        self.told = 0
        self.departures.on_announced = self._tell

    def _tell(self) -> None:
        self.told += 1

    def test_it_is_told_once(self) -> None:
        """Guards against a datagram to all for each answer of the target."""
        target = build.target('x', started_ms=5)
        self.assertTrue(self.departures.announced(target))
        self.assertFalse(self.departures.announced(target))
        self.assertEqual(self.told, 1)
        self.assertEqual(self.departures.take_untold(), {'x': 5})
        self.assertEqual(self.departures.take_untold(), {})

    def test_what_was_heard_is_not_told(self) -> None:
        """Guards against daemons that tell each other without end."""
        self.departures.announced_elsewhere({'x': 5})
        target = build.target('x', started_ms=5)
        self.assertTrue(self.departures.has_announced(target))
        self.assertFalse(self.departures.announced(target))
        self.assertEqual((self.told, self.departures.take_untold()), (0, {}))

    def test_the_next_start(self) -> None:
        """It is in use, also if the last start is told of again."""
        self.departures.announced_elsewhere({'x': 5})
        target = build.target('x', started_ms=6)
        self.assertFalse(self.departures.has_announced(target))
        self.departures.announced(target)
        self.departures.announced_elsewhere({'x': 5})
        self.assertTrue(self.departures.has_announced(target))

    def test_few_are_remembered(self) -> None:
        """Guards against memory that grows with each target that leaves."""
        starts = {str(number): 1 for number in range(5_000)}
        self.departures.announced_elsewhere(starts)
        known = [
            name
            for name in starts
            if self.departures.has_announced(build.target(name, started_ms=1))
        ]
        self.assertEqual(len(known), 1_000)
