"""Tests of when gaps are closed."""

from __future__ import annotations

import unittest

from nutmegspoke.placement.zone_gaps import REASSIGN_DELAY_S, ZoneGaps


class ZoneGapsTest(unittest.TestCase):
    """Engines in work are changed for gaps that stay."""

    def setUp(self) -> None:
        """Know of no gap."""
        self.gaps = ZoneGaps()

    def test_a_crash_is_waited_out(self) -> None:
        """Pattern: an engine crashes and starts again."""
        self.gaps.update_zones({'a'}, {}, 10.0)
        self.assertEqual(self.gaps.find_zones_to_close(11.0), set())
        self.gaps.update_zones(set(), {}, 11.5)
        self.assertEqual(self.gaps.find_zones_to_close(20.0), set())

    def test_an_old_gap_is_closed(self) -> None:
        """Pattern: an engine is gone for good.

        Each further change of the list counts from the first moment.
        """
        self.gaps.update_zones({'a'}, {}, 10.0)
        self.gaps.update_zones({'a', 'b'}, {}, 11.9)
        late_s = 10.0 + REASSIGN_DELAY_S + 0.1
        self.assertEqual(self.gaps.find_zones_to_close(late_s), {'a'})

    def test_a_planned_departure_is_not_waited_for(self) -> None:
        """Pattern: scale-in under load. Who left in order stays away."""
        self.gaps.update_zones({'a', 'b'}, {'a': 10.0, 'b': 3.0}, 10.0)
        self.assertEqual(self.gaps.find_zones_to_close(10.1), {'a'})
