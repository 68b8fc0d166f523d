"""Tests of the changes of targets that readers forward to other daemons."""

from __future__ import annotations

import unittest

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.edge.decision_log import DecisionLog
from nutmegspoke.edge.listeners import TargetsListener
from nutmegspoke.edge.view import View
from nutmegspoke.metadata_store import StoredRow, TableChanges
from tests import builders_edge as build


class ReturnedEntryTest(unittest.TestCase):
    """An entry lapses in an outage and is written again."""

    def setUp(self) -> None:
        """List a target at a reader."""
        self.view = View(build.host())
        log = DecisionLog('h', SystemClock(), -1)
        log.write = self._ignore_line
        self.listener = TargetsListener(
            lambda name, body: build.target(name), self.view, log
        )
        self.row = StoredRow('servers/x', 1, b'')
        self.listener.listed(TableChanges(1, (self.row,)), 10.0)

    def _ignore_line(self, event: str, level: str, fields: object) -> None:
        """Write no log."""

    def test_its_return_is_forwarded(self) -> None:
        """Guards against a daemon that has dropped it and hears of it no more.

        The reader still knew the entry, and took its return for no change.
        """
        self.listener.failed('refused', 11.0)
        changed = self.listener.changed(TableChanges(2, (), ('x',)), 11.1)
        self.assertEqual(changed, {'x'})
        returned = TableChanges(3, (StoredRow('servers/x', 3, b''),))
        self.assertEqual(self.listener.changed(returned, 11.2), {'x'})

    def test_a_heartbeat_is_not(self) -> None:
        """Guards against updates full of heartbeats."""
        beat = TableChanges(2, (StoredRow('servers/x', 2, b''),))
        self.assertEqual(self.listener.changed(beat, 11.0), frozenset())
