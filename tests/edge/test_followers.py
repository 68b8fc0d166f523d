"""Tests of following tables by calls to the store and by updates."""

from __future__ import annotations

import asyncio
import math
import os
import unittest
from unittest import mock

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.edge.decision_log import DecisionLog
from nutmegspoke.edge.followers import TableFollower, TableSharing
from nutmegspoke.membership import table_delays
from nutmegspoke.membership.store_health import StoreHealth
from nutmegspoke.membership.table_news import TableUpdate
from nutmegspoke.metadata_store import StoredRow, TableChanges, Unavailable

_WAIT_S = 20.0
_SNAPSHOT = TableChanges(10, (StoredRow('t/x', 9, b'x'),), (), 9)


class _FakeFeed:
    """A store with one row that never changes."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.positions: list[int] = []
        self.fails = False
        self.is_mute = False
        self.asked: asyncio.Event | None = None

    async def snapshot(self, table: str) -> TableChanges | Unavailable:
        return self._answer('snapshot', _SNAPSHOT)

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> TableChanges | Unavailable:
        self.positions.append(after)
        if self.asked is not None:
            self.asked.set()
        while self.is_mute:
            await asyncio.sleep(0.01)
        if wait_s and not self.fails:
            await asyncio.sleep(wait_s)
        return self._answer('changes', TableChanges(after))

    def _answer(
        self, call: str, found: TableChanges
    ) -> TableChanges | Unavailable:
        self.calls.append(call)
        return Unavailable('refused') if self.fails else found


class _Listener:
    """A listener that records its calls."""

    def __init__(self) -> None:
        self.known: set[str] = set()
        self.failures = 0
        self.failures_elsewhere: list[float] = []
        self.answers: list[float] = []
        # Number of calls that raise an error before changes are applied.
        self.errors_left = 0

    def listed(self, table: TableChanges, now_s: float) -> None:
        self._raise_error()
        self.known = {row.key for row in table.rows}

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        self._raise_error()
        self.known |= {row.key for row in changes.rows}
        self.known -= {f't/{name}' for name in changes.removed}
        return frozenset()

    def failed(self, reason: str, now_s: float) -> None:
        self.failures += 1

    def answered(self, answered_s: float, now_s: float) -> None:
        self.answers.append(answered_s)

    def confirmed(self, confirmed_s: float) -> None:
        pass

    def failed_elsewhere(self, failed_s: float) -> None:
        self.failures_elsewhere.append(failed_s)

    def _raise_error(self) -> None:
        if self.errors_left:
            self.errors_left -= 1
            raise RuntimeError('listener')


def _new_update(since: int, version: int, **changes: object) -> TableUpdate:
    known = {
        'newest_change_version': version,
        'changes': (),
        'confirmed_age_s': 0.0,
        'host': 'h',
        **changes,
    }
    return TableUpdate(table='t', since=since, version=version, **known)


class UpdatedFollowerCase(unittest.IsolatedAsyncioTestCase):
    """Many daemons: most of them rely on updates from a few readers."""

    forwards_rows = True
    allowed_s = math.inf

    async def asyncSetUp(self) -> None:
        """Follow a table that other daemons read."""
        self.feed = _FakeFeed()
        self.listener = _Listener()
        self.is_reader = False
        self.events: list[str] = []
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
            self._new_log(clock, null),
            clock,
            health,
            TableSharing(
                lambda: True,
                lambda: self.is_reader,
                is_busy=True,
                allowed_s=lambda: self.allowed_s,
                forwards_rows=self.forwards_rows,
            ),
        )
        self.addAsyncCleanup(follower.stop)
        return follower

    def _new_log(self, clock: SystemClock, descriptor: int) -> DecisionLog:
        log = DecisionLog('h', clock, descriptor)
        log.on_event = self.events.append
        return log

    async def _until(self, predicate: object) -> None:
        async with asyncio.timeout(_WAIT_S):
            while not predicate():
                await asyncio.sleep(0.01)


class UpdatedFollowerTest(UpdatedFollowerCase):
    """Readers forward the changed rows."""

    async def test_updates_are_applied(self) -> None:
        """Changes are applied once; older ones are ignored."""
        change = (('y', 12, b'y'), ('x', 13, None))
        self.follower.receive_update(_new_update(9, 13, changes=change))
        self.assertEqual(self.listener.known, {'t/y'})
        self.assertEqual(self.follower.newest_change, 13)
        self.follower.receive_update(
            _new_update(9, 12, changes=(('x', 11, b'x'),))
        )
        self.assertEqual(self.listener.known, {'t/y'})

    async def test_updates_after_a_gap_are_ignored(self) -> None:
        """An update that starts after the known version is ignored.

        Changes in between would be missed.
        """
        self.follower.receive_update(
            _new_update(11, 13, changes=(('y', 12, b'y'),))
        )
        self.assertEqual(self.listener.known, {'t/x'})

    async def test_updates_of_another_era_are_ignored(self) -> None:
        """Guards against changes by versions that mean something else.

        The store has come back from an older copy for the reader, and gives
        out versions again.
        """
        self.follower.receive_update(
            _new_update(9, 13, changes=(('y', 12, b'y'),), era=1)
        )
        self.assertEqual(self.listener.known, {'t/x'})

    async def test_the_store_is_read_without_updates(self) -> None:
        """Guards against stale tables after all readers have been killed."""
        await self._until(lambda: 'changes' in self.feed.calls)

    async def test_a_store_failure_at_a_reader_is_reported(self) -> None:
        """The listener hears of it: a removed entry may merely have expired."""
        self.follower.receive_update(_new_update(9, 10, failure_age_s=1.0))
        self.assertEqual(len(self.listener.failures_elsewhere), 1)

    async def test_a_failure_of_a_reader_that_was_cut_off(self) -> None:
        """Guards against targets that left and are kept as lapsed entries.

        The other readers were answered all the while.
        """
        for _ in range(8):
            self.follower.receive_update(_new_update(9, 10, host='sound'))
            await asyncio.sleep(0.2)
        cut = _new_update(9, 10, host='cut', failure_age_s=0.1)
        self.follower.receive_update(cut)
        self.assertEqual(self.listener.failures_elsewhere, [])

    async def test_a_reader_ends_a_failure(self) -> None:
        """Guards against a store that counts as failing for good.

        A daemon that is kept current makes no call that could show that the
        store answers again, so that no lapsed entry was ever dropped.
        """
        self.feed.fails = True
        self.listener.answers.clear()
        await self._until(lambda: self.listener.failures)
        self.follower.receive_update(_new_update(9, 10, confirmed_age_s=9.0))
        self.assertEqual(self.listener.answers, [])
        self.follower.receive_update(_new_update(9, 10))
        self.assertEqual(len(self.listener.answers), 1)
        self.assertEqual(self.events, ['store_lost', 'store_regained'])
        self.follower.receive_update(_new_update(9, 10))
        self.assertEqual(len(self.listener.answers), 1)

    async def test_a_reader_sends_nothing_while_the_store_fails(self) -> None:
        """Guards against updates from a reader whose store fails."""
        self.is_reader = True
        self.assertIsNotNone(self.follower.new_update('h'))
        self.feed.fails = True
        await self.follower.restart()
        await self._until(lambda: self.listener.failures)
        self.assertIsNone(self.follower.new_update('h'))

    async def test_only_one_feed_retries_the_store(self) -> None:
        """Guards against calls of all followers to a store that fails."""
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

    async def test_a_feed_that_no_longer_needs_its_call(self) -> None:
        """Guards against feeds that wait for a call that is never made.

        While the store fails only one feed calls it. If readers keep that one
        current, it makes no call, and the others must not wait for it.
        """
        health = StoreHealth()
        health.failed('t', 0.0)
        self.assertEqual(health.wait_s('t', 1e9), 0.0)
        self.assertGreater(health.wait_s('other', 1e9), 0.0)
        feed = self._follower('t', health)
        await feed.restart()
        await self._until(lambda: feed.newest_change is not None)
        health.failed('t', 0.0)
        self.assertEqual(health.wait_s('t', 1e9), 0.0)
        await self._until(
            lambda: (
                (feed.receive_update(_new_update(9, 10)) or True)
                and not health.wait_s('other', 1e9)
            )
        )

    async def test_an_error_in_the_listener(self) -> None:
        """Guards against a follower that ends with an error of its listener.

        The daemon would not hear of another version of the table.
        """
        self.listener.known.clear()
        self.listener.errors_left = 1
        await self.follower.restart()
        await self._until(lambda: 't/x' in self.listener.known)
        self.assertEqual(self.events, ['follower_failed'])

    async def test_an_error_with_an_update(self) -> None:
        """Guards against changes that are lost with an error of the listener.

        The version would rise although the changes were not applied.
        """
        self.listener.known.clear()
        self.listener.errors_left = 1
        change = (('y', 12, b'y'),)
        self.follower.receive_update(_new_update(9, 12, changes=change))
        await self._until(lambda: 't/x' in self.listener.known)
        self.assertEqual(self.events, ['follower_failed'])


class UrgentTableTest(UpdatedFollowerCase):
    """Changes of the table must be applied within two seconds."""

    allowed_s = 2.0

    async def test_a_reader_that_is_cut_off(self) -> None:
        """Guards against a reader that vouches for a table it can't read.

        Its call is unanswered, and the others ask nobody while it says that
        nothing has changed.
        """
        self.is_reader = True
        await self.follower.restart()
        await self._until(lambda: self.feed.positions)
        ages = [self._told_age_s()]
        self.feed.is_mute = True
        await asyncio.sleep(2 * self.allowed_s)
        ages.append(self._told_age_s())
        limit_s = table_delays.confirmed_limit_s(self.allowed_s)
        self.assertLess(ages[0], limit_s)
        self.assertGreater(ages[1], limit_s)

    async def test_an_old_confirmation_is_no_reason_to_wait(self) -> None:
        """Guards against daemons that ask nobody as their readers are cut off."""
        calls = len(self.feed.calls)
        asked = asyncio.Event()
        self.feed.asked = asked
        loop = asyncio.get_running_loop()
        cut_s = loop.time()
        async with asyncio.timeout(_WAIT_S):
            while not asked.is_set():
                age_s = loop.time() - cut_s
                update = _new_update(9, 10, confirmed_age_s=age_s)
                self.follower.receive_update(update)
                await asyncio.sleep(0.05)
        self.assertEqual(len(self.feed.calls), calls + 1)

    async def test_delayed_and_repeated_updates(self) -> None:
        """Guards against a copy that looks newer after an older update."""
        ages = []
        for age_s in (0.1, 1.0, 0.5):
            update = _new_update(9, 10, confirmed_age_s=age_s)
            self.follower.receive_update(update)
            ages.append(self.follower.results.confirmed_s)
        self.assertEqual(len(set(ages)), 1)

    def _told_age_s(self) -> float:
        update = self.follower.new_update('h')
        assert update is not None
        return update.confirmed_age_s


class LargeRowsTest(UpdatedFollowerCase):
    """Readers tell of changes of large rows without forwarding them."""

    forwards_rows = False

    async def test_a_change_is_read(self) -> None:
        """Guards against tables that come into force a timeout later."""
        patch = mock.patch.multiple(
            table_delays, UPDATE_TIMEOUT_S=1_000.0, FEED_WAIT_S=1_000.0
        )
        patch.start()
        self.addCleanup(patch.stop)
        calls = len(self.feed.calls)
        self.follower.receive_update(_new_update(10, 12))
        await self._until(lambda: len(self.feed.calls) > calls)
        self.assertEqual(self.feed.calls[-1], 'changes')

    async def test_rows_are_not_skipped(self) -> None:
        """Guards against a version taken over without the rows up to it."""
        self.follower.receive_update(_new_update(9, 13))
        self.assertEqual(self.follower.newest_change, 9)

    async def test_the_position_advances(self) -> None:
        """Guards against a position that the store's history has left."""
        update = _new_update(9, 13, newest_change_version=9)
        self.follower.receive_update(update)
        self.follower.receive_update(_new_update(13, 14))
        await self._until(lambda: self.feed.positions == [13])

    async def test_no_change_needs_no_call(self) -> None:
        """Guards against 195 daemons that all poll the operator's tables."""
        calls = len(self.feed.calls)
        for _ in range(20):
            update = _new_update(9, 13, newest_change_version=9)
            self.follower.receive_update(update)
            await asyncio.sleep(0.1)
        self.assertEqual(len(self.feed.calls), calls)
