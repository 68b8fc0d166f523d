"""Tests of the rows by which daemons discover each other."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.membership.daemon_rows import DaemonRow, DaemonRows
from nutmegspoke.membership.gossip_types import PeerAddress
from nutmegspoke.metadata_store import StoredRow

_OTHER = DaemonRow('daemon-2', 2, '10.0.0.2:7000', 'pnw-1')


def _stored(version: int) -> StoredRow:
    body = msgspec.msgpack.encode(_OTHER)
    return StoredRow('daemon/daemon-2', version, body)


class DaemonRowsTest(unittest.TestCase):
    """Writing, reading and deleting rows."""

    def setUp(self) -> None:
        """Create the rows of a daemon that has just started."""
        own = DaemonRow('daemon-1', 1, '10.0.0.1:7000', 'pnw-1')
        self.rows = DaemonRows(own)

    def test_the_own_row_is_written_at_once_and_renewed_rarely(self) -> None:
        """A failed write is retried."""
        self.assertIsNotNone(self.rows.due_write(0.0))
        self.assertIsNotNone(self.rows.due_write(1.0))
        self.rows.record_write(1.0)
        self.assertIsNone(self.rows.due_write(600.0))
        self.assertIsNotNone(self.rows.due_write(601.0))

    def test_rows_are_read_more_often_while_cut_off(self) -> None:
        """Separated groups of daemons find each other again by the rows."""
        self.assertTrue(self.rows.is_read_due(0.0, is_cut_off=False))
        unreadable = StoredRow('daemon/x', 1, b'?')
        found = self.rows.handle_rows((_stored(1), unreadable), 0.0)
        self.assertEqual(
            found,
            (PeerAddress('10.0.0.2:7000', 'daemon-2', 2),),
        )
        self.assertFalse(self.rows.is_read_due(6.0, is_cut_off=False))
        self.assertTrue(self.rows.is_read_due(6.0, is_cut_off=True))

    def test_only_rows_that_nobody_renews_are_deleted(self) -> None:
        """Age is measured on the own clock; rows of live daemons are kept."""
        for now_s, version, expected in (
            (0.0, 1, 0),
            (1_700.0, 2, 0),
            (3_499.0, 2, 0),
            (3_501.0, 2, 1),
        ):
            self.rows.handle_rows((_stored(version),), now_s)
            stale_row_deletions = self.rows.stale_row_deletions((), now_s)
            self.assertEqual(len(stale_row_deletions), expected, now_s)
        (deletion,) = self.rows.stale_row_deletions((), 3_501.0)
        self.assertEqual(deletion.conditions[0].version, 2)
        self.assertEqual(
            self.rows.stale_row_deletions(('daemon-2',), 3_501.0), ()
        )
