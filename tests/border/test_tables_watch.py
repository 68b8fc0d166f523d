"""Tests of the tables in force at a daemon, with a manual clock."""

from __future__ import annotations

import unittest

from nutmegspoke.border.apply import apply_tables
from nutmegspoke.border.evidence_log import EvidenceLog
from nutmegspoke.border.tables_watch import TablesWatch
from nutmegspoke.evidence.records import AdoptionRecord, decode_batch
from nutmegspoke.tables.revisions import PeerReport, RevisionStatus
from tests import builders_tables as build


class _Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        """Start at 100 s."""
        self.current_s = 100.0

    def now_s(self) -> float:
        """Return the time that the test set."""
        return self.current_s

    def wall_s(self) -> float:
        """Return the same time as :meth:`now_s`."""
        return self.current_s


class TablesWatchTest(unittest.IsolatedAsyncioTestCase):
    """Outages of the store, reports of peers and frozen processes."""

    async def asyncSetUp(self) -> None:
        """Bring revision 1 into force at one daemon."""
        self.service = build.FakeTableService()
        self.clock = _Clock()
        self.evidence = EvidenceLog(self.clock, None, 'd1')
        self.watch = TablesWatch(self.service, self.clock, 1.0, self.evidence)
        await self._apply(1)
        await self.watch.poll()

    async def test_adoptions_are_recorded(self) -> None:
        """Each adopted revision is recorded as evidence."""
        await self._apply(2)
        await self.watch.poll()
        batch = self.evidence.buffer.next_batch()
        self.assertEqual(
            decode_batch(batch.body),
            (
                AdoptionRecord('d1', 1, 0, 'store', 100),
                AdoptionRecord('d1', 2, 1, 'store', 100),
            ),
        )

    async def test_frozen_over_several_changes(self) -> None:
        """After a freeze the daemon reads the newest revision first."""
        for priority in (2, 3, 4):
            await self._apply(priority)
        self.clock.current_s += 60
        self.assertFalse(self.watch.is_ready)
        self.assertEqual(self.watch.current.revision, 1)
        self.assertTrue(await self.watch.confirm())
        self.assertEqual(self.watch.current.revision, 4)

    async def test_store_lost_and_back(self) -> None:
        """A daemon cut off alone is soon not ready, and ready when reconnected."""
        self.service.is_readable = False
        self.clock.current_s += 7
        self.assertTrue(await self.watch.confirm())
        self.clock.current_s += 2
        self.assertFalse(await self.watch.confirm())
        self.assertEqual(
            self.watch.tracker.revision_status(self.clock.current_s),
            RevisionStatus.CUT_OFF,
        )
        self.service.is_readable = True
        self.assertTrue(await self.watch.confirm())

    async def test_outage_that_peers_share(self) -> None:
        """The daemon continues with the highest known revision."""
        self.service.is_readable = False
        self.clock.current_s += 60
        report = PeerReport(
            'p1', 1, self.clock.current_s, 70.0, is_store_reachable=False
        )
        self.watch.tracker.record_report(report)
        self.assertTrue(await self.watch.confirm())

    async def test_an_older_read_changes_nothing(self) -> None:
        """A lower revision is logged and does not count as a confirmation."""
        old = dict(self.service.rows)
        await self._apply(2)
        await self.watch.poll()
        self.service.rows = old
        self.clock.current_s += 9
        with self.assertLogs('nutmegspoke.border.tables_watch') as logs:
            self.assertFalse(await self.watch.confirm())
        self.assertIn(
            'lower revision read revision=1 in_force=2', logs.output[0]
        )
        self.assertEqual(self.watch.current.revision, 2)
        self.assertEqual(self.watch.current.routes[0].priority, 2)

    async def _apply(self, priority: int) -> None:
        await apply_tables(
            self.service,
            build.build_tables(build.build_route(priority=priority)),
            build.build_author(change_id=f'change-{priority}'),
        )
