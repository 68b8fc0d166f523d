"""Tests of following tables: by calls to the store, and by news of readers."""

from __future__ import annotations

import asyncio
import os
import unittest

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.edge.decision_log import DecisionLog
from nutmegspoke.edge.followers import TableFollower
from nutmegspoke.membership.store_health import StoreHealth
from nutmegspoke.membership.table_news import TableUpdate
from nutmegspoke.metadata_store import StoredRow, TableChanges, Unavailable

_LIST = TableChanges(10, (StoredRow('t/x', 9, b'x'),), (), 9)


class _Feed:
    """A store with one row, which never changes."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.fails = False

    async def snapshot(self, table: str) -> TableChanges | Unavailable:
        return self._answer('snapshot', _LIST)

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> TableChanges | Unavailable:
        if wait_s and not self.fails:
            await asyncio.sleep(wait_s)
        return self._answer('changes', TableChanges(after))

    def _answer(
        self, call: str, found: TableChanges
    ) -> TableChanges | Unavailable:
        self.calls.append(call)
        return Unavailable('refused') if self.fails else found


class _Listener:
    """Notes what it is told."""

    def __init__(self) -> None:
        self.known: set[str] = set()
        self.trouble = 0
        self.heard: list[float] = []

    def listed(self, table: TableChanges, now_s: float) -> None:
        self.known = {row.key for row in table.rows}

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        self.known |= {row.key for row in changes.rows}
        self.known -= {f't/{name}' for name in changes.removed}
        return frozenset()

    def failed(self, reason: str, now_s: float) -> None:
        self.trouble += 1

    def answered(self, now_s: float) -> None:
        pass

    def heard_of_trouble(self, trouble_s: float) -> None:
        self.heard.append(trouble_s)


def _news(since: int, version: int, **changes: object) -> TableUpdate:
    known = {'changes': (), **changes}
    return TableUpdate('h', 't', since, version, version, **known)


class ToldFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Pattern: many daemons. Most are told what few have read."""

    async def asyncSetUp(self) -> None:
        """Follow a table that others read."""
        self.feed = _Feed()
        self.listener = _Listener()
        self.is_reader = False
        self.follower = self._follower('t', StoreHealth())
        await self.follower.start()
        await self._until(lambda: 't/x' in self.listener.known)

    def _follower(self, table: str, health: StoreHealth) -> TableFollower:
        null = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, null)
        clock = SystemClock()
        follower = TableFollower(
            table,
            self.feed,
            self.listener,
            lambda: 80,
            DecisionLog('h', clock, null),
            clock,
            health,
            lambda: self.is_reader,
        )
        self.addAsyncCleanup(follower.stop)
        return follower

    async def _until(self, is_true: object) -> None:
        async with asyncio.timeout(20.0):
            while not is_true():
                await asyncio.sleep(0.01)

    async def test_news_are_taken(self) -> None:
        """Changes are applied once, and in the order of their versions."""
        change = (('y', 12, b'y'), ('x', 13, None))
        self.follower.heard(_news(9, 13, changes=change))
        self.assertEqual(self.listener.known, {'t/y'})
        self.assertEqual(self.follower.newest_change, 13)
        self.follower.heard(_news(9, 12, changes=(('x', 11, b'x'),)))
        self.assertEqual(self.listener.known, {'t/y'})

    async def test_news_after_a_gap_are_not(self) -> None:
        """What began after the own version may have missed something."""
        self.follower.heard(_news(11, 13, changes=(('y', 12, b'y'),)))
        self.assertEqual(self.listener.known, {'t/x'})

    async def test_silence_is_looked_into(self) -> None:
        """Pattern: all readers are killed. The store is asked meanwhile."""
        await self._until(lambda: 'changes' in self.feed.calls)

    async def test_trouble_of_a_reader_is_told(self) -> None:
        """Entries that vanish then may have lapsed only."""
        self.follower.heard(_news(9, 10, failure_age_s=1.0))
        self.assertEqual(len(self.listener.heard), 1)

    async def test_a_reader_tells_only_what_it_knows_is_current(self) -> None:
        """Nothing is told while the store does not answer."""
        self.is_reader = True
        self.assertIsNotNone(self.follower.news('h'))
        self.feed.fails = True
        await self.follower.restart()
        await self._until(lambda: self.listener.trouble)
        self.assertIsNone(self.follower.news('h'))

    async def test_one_feed_tries_for_all(self) -> None:
        """Pattern: the store turns this host away for a while."""
        self.feed.fails = True
        self.is_reader = True
        health = StoreHealth()
        feeds = [self._follower(name, health) for name in ('a', 'b', 'c')]
        self.feed.calls.clear()
        for feed in feeds:
            await feed.start()
        await asyncio.sleep(1.0)
        self.assertLess(len(self.feed.calls), 12)
        self.feed.fails = False
        await self._until(
            lambda: all(feed.newest_change is not None for feed in feeds),
        )
