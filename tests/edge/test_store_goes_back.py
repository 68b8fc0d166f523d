"""Tests of the daemon with a store that comes back from an older copy."""

from __future__ import annotations

import unittest

from tests.edge.world import Deployment


class StoreGoesBackCase(unittest.IsolatedAsyncioTestCase):
    """Base class that starts a deployment for each test."""

    async def asyncSetUp(self) -> None:
        """Put tables into force."""
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.serve_tables()


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

    async def _await_renewal(self) -> None:
        body = self.deployment.store.body('lease', 'layers')
        await self.deployment.until(
            lambda: self.deployment.store.body('lease', 'layers') != body
        )
