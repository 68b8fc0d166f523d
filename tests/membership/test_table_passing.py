"""Tests of forwarding the tables."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.membership.table_passing import EncodedTables, TableHistory

_FIRST = EncodedTables(1, {'route/a': b'1', 'pool/p': b'1', 'pool/q': b'1'})
_SECOND = EncodedTables(2, {'route/a': b'2', 'pool/p': b'1'})


def _history(*revisions: EncodedTables) -> TableHistory:
    history = TableHistory()
    for tables in revisions:
        history.keep(tables)
    return history


class TablePassingTest(unittest.TestCase):
    """Differences between revisions."""

    def test_only_what_changed_is_passed_on(self) -> None:
        """A peer one revision behind gets one row and one removal."""
        reply = _history(_FIRST, _SECOND).reply(1)
        self.assertEqual([row.key for row in reply.changed], ['route/a'])
        self.assertEqual(reply.removed, ('pool/q',))
        self.assertEqual(_history(_FIRST).apply(reply), _SECOND)

    def test_a_peer_with_an_unknown_revision_gets_all(self) -> None:
        """A peer without tables gets all rows too."""
        reply = _history(_SECOND).reply(1)
        self.assertEqual(reply.base_revision, 0)
        for behind in (_history(), _history(_FIRST)):
            self.assertEqual(behind.apply(reply), _SECOND)

    def test_older_revisions_are_ignored(self) -> None:
        """An older revision is neither sent nor applied."""
        ahead = _history(_FIRST, _SECOND)
        self.assertIsNone(ahead.reply(2))
        self.assertIsNone(ahead.apply(_history(_FIRST).reply(0)))
        ahead.keep(_FIRST)
        self.assertEqual(ahead.current, _SECOND)

    def test_a_reply_that_builds_on_another_revision_is_refused(self) -> None:
        """A reply whose digest does not match the rows is refused too."""
        reply = _history(_FIRST, _SECOND).reply(1)
        self.assertIsNone(_history().apply(reply))
        spliced = msgspec.structs.replace(reply, removed=())
        self.assertIsNone(_history(_FIRST).apply(spliced))
