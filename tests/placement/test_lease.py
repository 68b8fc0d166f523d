"""Tests of the lease of a pool."""

from __future__ import annotations

import unittest

from nutmegspoke.metadata_store import InDoubt, StoredRow, Unavailable
from nutmegspoke.placement.lease import (
    CommitLease,
    LeaseKeeper,
    LeaseSettings,
    ReadLease,
)
from tests.builders_placement import Store

_SETTINGS = LeaseSettings(9.0, 3.0, 2.0)


class LeaseTest(unittest.TestCase):
    """Two daemons contend for one lease row."""

    def setUp(self) -> None:
        """Let the first daemon acquire the lease at second 0."""
        self.store = Store()
        self.first = LeaseKeeper('drafting', 'first', _SETTINGS)
        self.second = LeaseKeeper('drafting', 'second', _SETTINGS)
        self._step(self.first, 0.0)
        self._step(self.first, 0.0, answered_s=1.0)

    def _step(
        self,
        keeper: LeaseKeeper,
        now_s: float,
        answered_s: float | None = None,
    ) -> object:
        step = keeper.next_step(now_s)
        answered_s = now_s if answered_s is None else answered_s
        if isinstance(step, ReadLease):
            keeper.handle_row(self.store.read(step.key), answered_s)
        if isinstance(step, CommitLease):
            result = self.store.commit(step.transaction)
            keeper.handle_commit_result(result, answered_s)
        return step

    def test_counts_from_before_the_write_was_sent(self) -> None:
        """Guards against a lease extended by the duration of the write."""
        self.assertTrue(self.first.is_held(8.9))
        self.assertFalse(self.first.is_held(9.0))

    def test_renews_in_time(self) -> None:
        """A renewal leaves the fencing number unchanged."""
        self.assertIsNone(self.first.next_step(2.9))
        self.assertIsInstance(self._step(self.first, 3.0), CommitLease)
        self.assertTrue(self.first.is_held(11.9))
        self.assertEqual(self.first.last_row.fencing_number, 1)

    def test_a_contender_waits_from_its_own_first_sight(self) -> None:
        """It waits the whole duration, then raises the fencing number."""
        for now_s in (8.0, 12.0, 16.9):
            self.assertIsInstance(self._step(self.second, now_s), ReadLease)
        self.assertIsInstance(self._step(self.second, 17.0), CommitLease)
        self.assertTrue(self.second.is_held(17.0))
        self.assertEqual(self.second.last_row.fencing_number, 2)

    def test_a_renewal_makes_the_contender_wait_anew(self) -> None:
        """The row has a new version, so that the duration starts again."""
        self._step(self.second, 2.0)
        self._step(self.first, 3.0)
        self._step(self.second, 10.0)
        self.assertIsInstance(self._step(self.second, 12.0), ReadLease)

    def test_an_unknown_result_does_not_extend_the_lease(self) -> None:
        """The lease is not extended until the row that is read shows it."""
        step = self.first.next_step(3.0)
        self.store.commit(step.transaction)
        self.first.handle_commit_result(InDoubt('reset'), 4.0)
        self.assertFalse(self.first.is_held(9.0))
        self.assertIsInstance(self._step(self.first, 4.0), ReadLease)
        self.assertTrue(self.first.is_held(11.9))
        self.assertFalse(self.first.is_held(12.0))

    def test_a_write_without_effect_renews_nothing(self) -> None:
        """Neither a write with an unknown result nor a failed one does."""
        for result in (InDoubt('reset'), Unavailable('refused')):
            self.assertIsInstance(self.first.next_step(3.0), CommitLease)
            self.first.handle_commit_result(result, 4.0)
            self.first.handle_row(self.store.read(self.first.key), 4.0)
            self.assertTrue(self.first.is_held(8.9))
            self.assertFalse(self.first.is_held(9.0))

    def test_a_paused_holder_finds_out_at_the_decision(self) -> None:
        """Expiry is checked at each decision, and the late renewal fails."""
        self._step(self.second, 1.0)
        self._step(self.second, 10.0)
        number = self.first.fencing_number(10.0, checks_fencing=True)
        self.assertIsNone(number)
        self._step(self.first, 10.0)
        self.assertEqual(self.first.last_row.holder, 'second')
        self.assertFalse(self.first.is_held(10.0))

    def test_orders_to_targets_that_ignore_the_number_keep_to_the_time(
        self,
    ) -> None:
        """Such orders wait for the previous holder's orders to time out.

        They must also time out before the lease expires.
        """

        def number(now_s: float, *, checks_fencing: bool) -> int | None:
            return self.first.fencing_number(
                now_s,
                checks_fencing=checks_fencing,
            )

        for now_s, expected in ((2.9, None), (3.0, 1), (6.9, 1), (7.0, None)):
            found = number(now_s, checks_fencing=False)
            self.assertEqual(found, expected, now_s)
        self.assertEqual(number(1.0, checks_fencing=True), 1)
        self.assertEqual(number(8.0, checks_fencing=True), 1)

    def test_a_released_lease_is_available_at_once(self) -> None:
        """The fencing number rises in this case too."""
        step = self.first.release(4.0)
        self.first.handle_commit_result(
            self.store.commit(step.transaction), 4.0
        )
        self.assertFalse(self.first.is_held(4.0))
        self._step(self.second, 4.0)
        self._step(self.second, 4.0)
        self.assertTrue(self.second.is_held(4.0))
        self.assertEqual(self.second.last_row.fencing_number, 2)

    def test_old_readings_and_unreadable_rows_give_nothing(self) -> None:
        """Old versions are ignored; an unreadable row is never overwritten."""
        self.first.handle_row(StoredRow(self.first.key, 0), 1.0)
        self.assertTrue(self.first.is_held(1.0))
        self.second.handle_row(StoredRow(self.second.key, 5, b'?'), 1.0)
        self.assertIsInstance(self.second.next_step(99.0), ReadLease)
