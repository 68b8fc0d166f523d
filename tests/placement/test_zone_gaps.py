"""Tests of when the gaps of a zone are closed."""

from __future__ import annotations

import unittest

from nutmegspoke.placement.zone_gaps import REASSIGN_DELAY_S, ZoneGaps


class ZoneGapsTest(unittest.TestCase):
    """Running engines are reassigned only for gaps that stay."""

    def setUp(self) -> None:
        """Start without gaps."""
        self.gaps = ZoneGaps()

    def test_a_crash_causes_no_reassignment(self) -> None:
        """Guards against reassignments for an engine that restarts."""
        self.gaps.update_zones({'a'}, {}, 10.0)
        self.assertEqual(self.gaps.find_zones_to_close(11.0), set())
        self.gaps.update_zones(set(), {}, 11.5)
        self.assertEqual(self.gaps.find_zones_to_close(20.0), set())

    def test_an_old_gap_is_closed(self) -> None:
        """Guards against a gap that stays after an engine is gone for good.

        The delay counts from the first report of the gap, however often the
        set of zones changes afterwards.
        """
        self.gaps.update_zones({'a'}, {}, 10.0)
        self.gaps.update_zones({'a', 'b'}, {}, 11.9)
        late_s = 10.0 + REASSIGN_DELAY_S + 0.1
        self.assertEqual(self.gaps.find_zones_to_close(late_s), {'a'})

    def test_a_planned_departure_is_not_waited_for(self) -> None:
        """Guards against a delay on scale-in under load.

        A target that left in an orderly way does not come back.
        """
        self.gaps.update_zones({'a', 'b'}, {'a': 10.0, 'b': 3.0}, 10.0)
        self.assertEqual(self.gaps.find_zones_to_close(10.1), {'a'})
