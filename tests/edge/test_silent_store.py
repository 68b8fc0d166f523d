"""Tests of the daemon with a store that was silent for a while."""

from __future__ import annotations

import unittest
from unittest import mock

from nutmegspoke.membership import table_delays
from tests.edge.world import Deployment

# Longer than a test: a poll that the store has lost would end with it.
_LONG_WAIT_S = 1000.0
_TABLES = ('op', 'servers', 'daemons')


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """The store loses the calls that wait while it is silent."""

    async def asyncSetUp(self) -> None:
        """Put tables into force; polls without a change take long."""
        patch = mock.patch.object(table_delays, 'FEED_WAIT_S', _LONG_WAIT_S)
        patch.start()
        self.addCleanup(patch.stop)
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.serve_tables()
        await self.deployment.add_service('r1')

    async def _lose_all_polls(self, daemons: int) -> None:
        """Let the store be silent until it has lost all polls."""
        store = self.deployment.store
        store.faults.is_silent = True
        for table in _TABLES:
            await store.put(table, 'other', b'')
        await self.deployment.until(
            lambda: store.lost_calls >= daemons * len(_TABLES)
        )
        store.faults.is_silent = False

    async def test_a_version_written_when_it_is_back(self) -> None:
        """Guards against rows that are known only when a lost poll ends.

        All polls that waited when the silence began are lost, and nothing shows
        it but the silence of feeds that always have changes.
        """
        await self._lose_all_polls(daemons=1)
        await self.deployment.serve_tables(version=8)
        await self.deployment.add_daemon('host-9')

    async def test_another_host_is_told(self) -> None:
        """Guards against a host that waits as it reads no busy table itself."""
        other = Deployment(shared=self.deployment)
        await other.start()
        self.addAsyncCleanup(other.stop)
        await other.until(lambda: other.daemon.view.version)
        await self._lose_all_polls(daemons=2)
        await self.deployment.serve_tables(version=8)
        await other.until(lambda: other.daemon.view.version == 8)
        await self.deployment.add_daemon('host-9')
        await other.until(lambda: other.knows_daemon('host-9'))
