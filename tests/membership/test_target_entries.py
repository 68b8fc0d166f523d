"""Tests of discovery through outages of the store."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.target_entries import TargetEntries
from nutmegspoke.targets import TargetState
from tests import builders_edge as build


class TargetEntriesTest(unittest.TestCase):
    """Keeps entries that may have lapsed, drops those that left."""

    def setUp(self) -> None:
        """List two targets; leaving ones are out of use in two seconds."""
        self.entries = TargetEntries(drain_s=2.0)
        self.entries.put(build.target('x'), 1)
        self.entries.put(build.target('y'), 2)

    def _live(self) -> list[str]:
        return [entry.name for entry in self.entries.live('engines')]

    def test_a_leaving_target_gets_nothing_new(self) -> None:
        """It stays known, but not among the live ones."""
        self.entries.put(build.target('x', state=TargetState.LEAVING), 3)
        self.assertEqual(self._live(), ['y'])
        self.assertIsNotNone(self.entries.find('x'))

    def test_removal_in_calm_is_final(self) -> None:
        """No trouble of the store, no doubt."""
        self.assertTrue(self.entries.remove('x', 10.0))
        self.assertEqual(self._live(), ['y'])

    def test_lapsed_entry_comes_back(self) -> None:
        """Pattern: the store was away, and its leases ran out meanwhile."""
        self.entries.store_failed(10.0)
        self.entries.store_answered(14.0)
        self.assertFalse(self.entries.remove('x', 14.1))
        self.assertEqual(self.entries.drop_lapsed(15.0), ())
        self.entries.put(build.target('x'), 1)
        self.assertEqual(self.entries.drop_lapsed(20.0), ())
        self.assertEqual(sorted(self._live()), ['x', 'y'])

    def test_lapsed_entry_that_stays_away_is_gone(self) -> None:
        """It is out of use before the time to drain is over."""
        self.entries.store_failed(10.0)
        self.entries.store_answered(14.0)
        self.entries.remove('x', 14.1)
        self.assertEqual(self.entries.drop_lapsed(15.8), ('x',))
        self.assertEqual(self._live(), ['y'])

    def test_removal_long_after_trouble_is_final(self) -> None:
        """Seen on the bench: an engine left seconds after the return."""
        self.entries.store_failed(10.0)
        self.entries.store_answered(11.5)
        self.assertTrue(self.entries.remove('x', 15.0))

    def test_nothing_is_dropped_while_the_store_is_away(self) -> None:
        """What is not known to be gone is used on."""
        self.entries.store_failed(10.0)
        self.entries.store_answered(11.0)
        self.entries.remove('x', 11.1)
        self.entries.store_failed(11.5)
        self.assertEqual(self.entries.drop_lapsed(30.0), ())

    def test_a_whole_list_removes_the_others(self) -> None:
        """After lost history the list is read anew."""
        self.entries.keep_only(('y',), 10.0)
        self.assertEqual(self._live(), ['y'])

    def test_a_new_start_takes_over_its_address(self) -> None:
        """Two starts can't share an address; the older one is over."""
        address = build.target('x').address
        self.assertTrue(self.entries.put(build.target('z', address=address), 9))
        self.assertNotIn('x', self._live())

    def test_an_old_entry_does_not_return_to_its_address(self) -> None:
        """Pattern: an engine crashes and starts anew while the store is away.

        Seen on the bench: both entries were listed after its return, in any
        order, and drafts were sent to the start that was gone.
        """
        address = build.target('x').address
        self.entries.put(build.target('z', address=address, started_ms=1), 9)
        old = build.target('x', started_ms=5)
        self.assertFalse(self.entries.put(old, 1))
        self.assertNotIn('x', self._live())
        self.assertIn('z', self._live())
