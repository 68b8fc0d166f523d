"""Tests of discovery during outages of the store."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.target_entries import TargetEntries
from nutmegspoke.retries.target_departures import TargetDepartures
from nutmegspoke.targets import TargetState
from tests import builders_edge as build


class TargetEntriesTest(unittest.TestCase):
    """Lapsed entries are kept, those of targets that left are dropped."""

    def setUp(self) -> None:
        """List two targets, with 2 s until leaving ones must be unused."""
        self.entries = TargetEntries(drain_s=2.0)
        self.entries.put(build.target('x'), 1)
        self.entries.put(build.target('y'), 2)

    def _live(self) -> list[str]:
        return [entry.name for entry in self.entries.live('engines')]

    def test_a_leaving_target_gets_nothing_new(self) -> None:
        """It stays listed but is not among the live targets."""
        self.entries.put(build.target('x', state=TargetState.LEAVING), 3)
        self.assertEqual(self._live(), ['y'])
        self.assertIsNotNone(self.entries.find('x'))

    def test_a_removal_without_an_outage_is_final(self) -> None:
        """While the store answers, a removed entry can't have lapsed."""
        self.assertTrue(self.entries.remove('x', 10.0))
        self.assertEqual(self._live(), ['y'])

    def test_lapsed_entry_comes_back(self) -> None:
        """Guards against dropping targets after an outage of the store.

        The leases of their entries expire during the outage.
        """
        self.entries.store_failed(10.0)
        self.entries.store_answered(14.0, 14.0)
        self.assertFalse(self.entries.remove('x', 14.1))
        self.assertEqual(self.entries.drop_lapsed(15.0), ())
        self.entries.put(build.target('x'), 1)
        self.assertEqual(self.entries.drop_lapsed(20.0), ())
        self.assertEqual(sorted(self._live()), ['x', 'y'])

    def test_a_lapsed_entry_that_stays_missing_is_dropped(self) -> None:
        """It is dropped before the time to drain ends."""
        self.entries.store_failed(10.0)
        self.entries.store_answered(14.0, 14.0)
        self.entries.remove('x', 14.1)
        self.assertEqual(self.entries.drop_lapsed(15.8), ('x',))
        self.assertEqual(self._live(), ['y'])

    def test_a_removal_of_a_target_that_said_it_leaves(self) -> None:
        """Guards against a target that left and is kept as a lapsed entry."""
        departures = TargetDepartures()
        entries = TargetEntries(2.0, departures)
        target = build.target('x')
        entries.put(target, 1)
        self.assertTrue(departures.announced(target))
        self.assertEqual(entries.live('engines'), ())
        entries.store_failed(10.0)
        self.assertTrue(entries.remove('x', 10.5))
        entries.put(target, 2)
        self.assertEqual(entries.live('engines'), ())

    def test_a_removal_that_is_told_late(self) -> None:
        """Guards against targets in use after their time to drain.

        A reader tells of a removal up to a second late; the target left after
        the entries were last confirmed.
        """
        self.entries.store_failed(10.0)
        self.entries.store_answered(13.5, 14.0)
        self.entries.confirmed(14.0)
        self.assertFalse(self.entries.remove('x', 14.9))
        self.assertEqual(self.entries.drop_lapsed(15.7), ('x',))

    def test_a_removal_long_after_an_outage_is_final(self) -> None:
        """Guards against keeping an engine that left after an outage.

        It left seconds after the store had recovered.
        """
        self.entries.store_failed(10.0)
        self.entries.store_answered(11.5, 11.5)
        self.assertTrue(self.entries.remove('x', 15.0))

    def test_nothing_is_dropped_while_the_store_is_away(self) -> None:
        """Targets that may still be running stay in use."""
        self.entries.store_failed(10.0)
        self.entries.store_answered(11.0, 11.0)
        self.entries.remove('x', 11.1)
        self.entries.store_failed(11.5)
        self.assertEqual(self.entries.drop_lapsed(30.0), ())

    def test_a_whole_list_removes_the_others(self) -> None:
        """The list is read again after the history of the feed was lost."""
        self.entries.keep_only(('y',), 10.0)
        self.assertEqual(self._live(), ['y'])

    def test_a_new_start_takes_over_its_address(self) -> None:
        """Two starts can't share an address; the older one has ended."""
        address = build.target('x').address
        self.assertTrue(self.entries.put(build.target('z', address=address), 9))
        self.assertNotIn('x', self._live())

    def test_an_old_entry_does_not_return_to_its_address(self) -> None:
        """Guards against drafts sent to a start that has ended.

        An engine crashes and restarts during an outage of the store. After
        the outage both entries were listed, in any order.
        """
        address = build.target('x').address
        self.entries.put(build.target('z', address=address, started_ms=1), 9)
        old = build.target('x', started_ms=5)
        self.assertFalse(self.entries.put(old, 1))
        self.assertNotIn('x', self._live())
        self.assertIn('z', self._live())
