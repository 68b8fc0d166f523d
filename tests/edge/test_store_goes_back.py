"""Tests of the daemon with a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
import unittest
from types import MappingProxyType
from unittest import mock

import msgspec

from nutmegspoke.membership import table_delays
from nutmegspoke.edge.listeners import DaemonRow
from nutmegspoke.membership.load_news import LoadUpdate
from nutmegspoke.platform import configuration, discovery
from nutmegspoke.standins.wire_target import WireTarget
from tests import builders_edge as build
from tests.edge.world import Deployment

# More than the other writes of a test.
_HEARTBEATS = 50
_ENGINES = MappingProxyType(
    {'x1': (0, 40), 'y1': (40, 80), 'x2': (0, 40), 'y2': (40, 80)}
)
_STALL_AFTER = 5
_CALLS = 5
_CALL_INTERVAL_S = 0.2
# Writes of the lease in which a stale feed would be restarted several times.
_RENEWALS = 5
# Longer than a test.
_LONG_WAIT_S = 1000.0


class StoreGoesBackCase(unittest.IsolatedAsyncioTestCase):
    """Base class that starts a deployment for each test."""

    async def asyncSetUp(self) -> None:
        """Put tables into force."""
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.serve_tables()

    def _knows_era(self, table: str = configuration.TABLE) -> bool:
        events = self.deployment.events('store_went_back')
        return table in {event['table'] for event in events}

    async def _await_renewal(self) -> None:
        """Wait until the lease is written once more."""
        body = self.deployment.store.body('lease', 'layers')
        await self.deployment.until(
            lambda: self.deployment.store.body('lease', 'layers') != body
        )


class LeaseTest(StoreGoesBackCase):
    """The leader's lease row is lost or goes back."""

    async def test_an_older_row(self) -> None:
        """Guards against orders that stop for good after the row goes back.

        All daemons know a version of the lease row that the store no longer
        has, so that none of them could acquire the lease.
        """
        number = await self._await_lease()
        copy = self.deployment.store.copy()
        await self._await_renewal()
        await self.deployment.store.come_back_from(copy)
        self.assertGreater(await self._await_lease(count=2), number)

    async def test_a_lost_row(self) -> None:
        """Guards against orders that stop for good after the row is lost."""
        copy = self.deployment.store.copy()
        number = await self._await_lease()
        await self._await_renewal()
        await self.deployment.store.come_back_from(copy)
        self.assertGreater(await self._await_lease(count=2), number)

    async def _await_lease(self, count: int = 1) -> int:
        """Wait until the lease was taken that often.

        :returns: the fencing number of the lease.
        """
        await self.deployment.until(
            lambda: len(self.deployment.events('lease_taken')) == count
        )
        return self.deployment.events('lease_taken')[-1]['fencing_number']


class OvertakenFeedTest(StoreGoesBackCase):
    """The versions rise again above those that the daemon has read.

    The store does not answer 410 then, and the feed would skip what was written
    at the versions in between.
    """

    async def test_tables(self) -> None:
        """Guards against a version of the tables that is never put into force.

        Callers would be refused what the tables in force allow.
        """
        store = self.deployment.store
        copy = store.copy()
        await self._write_heartbeats()
        await self.deployment.serve_tables(version=8)
        store.faults.refuses = True
        await store.come_back_from(copy)
        for version in (8, 9):
            body = build.wire_configuration(version=version)
            await store.put('op', 'config', body)
        await self._write_heartbeats(2 * _HEARTBEATS)
        store.faults.refuses = False
        await self.deployment.until(
            lambda: self.deployment.daemon.view.version == 9
        )

    async def test_a_target_that_left(self) -> None:
        """Guards against requests to a target that has left.

        Its removal is not repeated, unlike the rows of those that live.
        """
        store = self.deployment.store
        await self.deployment.add_service('r1')
        copy = store.copy()
        await self._write_heartbeats()
        await self.deployment.add_service('r2')
        store.faults.refuses = True
        await store.come_back_from(copy)
        await store.put('servers', 'r1', None)
        await self._write_heartbeats(2 * _HEARTBEATS)
        store.faults.refuses = False
        targets = self.deployment.daemon.view.targets
        await self.deployment.until(lambda: targets.find('r1') is None)

    async def _write_heartbeats(self, count: int = _HEARTBEATS) -> None:
        """Raise the store's version, as other rows do."""
        for _ in range(count):
            await self.deployment.store.put('other', 'x', b'')


class UnnoticedReturnTest(StoreGoesBackCase):
    """A poll is sent again before the daemon hears that the store went back.

    The HTTP library does so if an idle connection is cut. The store waits for
    changes after a version that it has given out again by then.
    """

    async def asyncSetUp(self) -> None:
        """Let polls without a change take longer than the test."""
        patch = mock.patch.object(table_delays, 'FEED_WAIT_S', _LONG_WAIT_S)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_another_feed_notices(self) -> None:
        """Guards against rows that are known only when a poll ends."""
        await self._return_with_new_tables()
        await self.deployment.until(
            lambda: self.deployment.daemon.view.version == 8
        )
        await self.deployment.until(
            lambda: self.deployment.knows_daemon('host-9')
        )

    async def test_another_daemon_notices(self) -> None:
        """Guards against a daemon that learns of the return too late.

        None of its own calls is answered.
        """
        patch = mock.patch.multiple(
            table_delays,
            URGENT_FEED_WAIT_S=_LONG_WAIT_S,
            CALL_TIME_S=-_LONG_WAIT_S,
        )
        patch.start()
        self.addCleanup(patch.stop)
        await self.deployment.add_daemon('host-2')
        await self.deployment.store.put('servers', 'other', b'')
        await asyncio.sleep(_CALL_INTERVAL_S)
        await self._return_with_new_tables()
        update = LoadUpdate('host-2', 1, 1, {}, era=2)
        self.deployment.send_update(update)
        await self.deployment.until(
            lambda: self.deployment.daemon.view.version == 8
        )

    async def _return_with_new_tables(self) -> None:
        store = self.deployment.store
        copy = store.copy()
        await store.put('op', 'other', b'')
        await self.deployment.until(
            lambda: (
                store.polled_after.get(configuration.TABLE, 0) > copy.version
            )
        )
        polls = store.calls
        tables = build.wire_configuration(version=8, weights=(1, 0))
        heartbeats = [('other', 'x', b'')] * _HEARTBEATS
        daemon = msgspec.json.encode(DaemonRow('127.0.0.1', 1, 'zone-1'))
        await store.come_back_from(
            copy,
            [
                ('op', 'config', tables),
                ('daemons', 'host-9', daemon),
                *heartbeats,
            ],
        )
        await self.deployment.until(lambda: store.calls > polls)


class OtherDaemonTest(StoreGoesBackCase):
    """Another daemon reports versions that the store no longer has."""

    async def test_versions_of_an_earlier_era(self) -> None:
        """Guards against feeds that restart again and again.

        The other daemon has not noticed yet that the store went back.
        """
        store = self.deployment.store
        await self.deployment.add_daemon('host-2')
        await store.come_back_from(store.copy())
        await self.deployment.until(self._knows_era)
        self._report_version(era=1)
        for _ in range(_RENEWALS):
            await self._await_renewal()
        self.assertEqual(self.deployment.events('feed_silent'), [])

    async def test_versions_of_the_same_era(self) -> None:
        """Guards against a feed that stays silent after the store went back."""
        await self.deployment.add_daemon('host-2')
        self._report_version(era=1)
        await self.deployment.until(
            lambda: self.deployment.events('feed_silent')
        )

    def _report_version(self, era: int) -> None:
        """Send an update with a high version as another daemon does."""
        feeds = {configuration.TABLE: 1_000}
        update = LoadUpdate('host-2', 1, 1, {}, feeds=feeds, era=era)
        self.deployment.send_update(update)


class TargetsTest(StoreGoesBackCase):
    """Rows of targets are lost or go back until they are written again."""

    async def test_a_leaving_target_stays_out(self) -> None:
        """Guards against requests to a target that has said that it leaves.

        In the copy it is live, until it writes its row again.
        """
        store = self.deployment.store
        first = await self.deployment.add_service('r1')
        copy = store.copy()
        await self._list_service('r1', state='draining')
        targets = self.deployment.daemon.view.targets
        await self.deployment.until(lambda: not targets.live('records'))
        await store.come_back_from(copy)
        await self.deployment.add_service('r2')
        answer = await self.deployment.call('/calls/1')
        self.assertEqual((answer.status, answer.body), (200, b'record of r2'))
        self.assertEqual(first.caller_requests(), [])

    async def test_targets_that_the_copy_lacks(self) -> None:
        """Guards against refusals until targets have written their rows."""
        store = self.deployment.store
        copy = store.copy()
        await self.deployment.add_service('r1')
        await store.come_back_from(copy)
        for _ in range(_CALLS):
            answer = await self.deployment.call('/calls/1')
            self.assertEqual(answer.status, 200)
            await asyncio.sleep(_CALL_INTERVAL_S)

    async def test_a_stream_whose_engine_ends(self) -> None:
        """Guards against streams that are cut as no target is known.

        The engine ends while the copy lacks the rows of all engines.
        """
        store = self.deployment.store
        copy = store.copy()
        engines = [
            await self.deployment.add_engine(name, held)
            for name, held in _ENGINES.items()
        ]
        for engine in engines:
            engine.faults.stall_after = _STALL_AFTER
        await self.deployment.until(
            lambda: all(engine.idle_connections for engine in engines)
        )
        call = asyncio.create_task(self.deployment.call('/drafts/1'))
        await self.deployment.until(
            lambda: any(engine.caller_requests() for engine in engines)
        )
        last = self._find_last_engine(engines)
        await store.come_back_from(copy)
        await self.deployment.until(lambda: self._knows_era(discovery.TABLE))
        for engine in engines:
            engine.faults.stall_after = None
        await last.crash()
        answer = await call
        self.assertTrue(answer.is_whole)

    def _find_last_engine(self, engines: list[WireTarget]) -> WireTarget:
        """Return the last engine of the only chain in use."""
        (run,) = (run for engine in engines for run in engine.caller_requests())
        address = run.headers['hops'].split(',')[-1].partition('=')[0]
        name = self.deployment.daemon.view.find_target_at(address)
        return next(engine for engine in engines if engine.name == name)

    async def test_own_row(self) -> None:
        """Guards against a daemon that gets no updates any more.

        The others no longer know its address.
        """
        store = self.deployment.store
        name = self.deployment.host.name
        await self.deployment.until(lambda: store.body('daemons', name))
        copy = store.copy()
        copy.rows.pop(('daemons', name))
        await store.come_back_from(copy)
        await self.deployment.until(lambda: store.body('daemons', name))

    async def _list_service(self, name: str, **changes: str) -> None:
        """Write the row of a running service again."""
        entry = self.deployment.daemon.view.targets.find(name)
        assert entry is not None
        body = build.wire_server(
            address=entry.address,
            zone='a',
            service='records',
            layers=None,
            slots=6,
            **changes,
        )
        await self.deployment.store.put('servers', name, body)
