"""Tests of settings that change while the daemon runs."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.entry_host import RecoveryBounds
from nutmegspoke.errors import SettingsError
from tests.edge.world import Deployment


class SettingsTest(unittest.IsolatedAsyncioTestCase):
    """Changes are applied and logged, with and without a signal."""

    async def asyncSetUp(self) -> None:
        """Start a deployment."""
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)

    def _reloads(self) -> list[tuple[str, str]]:
        return [
            (line['cause'], line['outcome'])
            for line in self.deployment.events('reload')
        ]

    async def test_a_signal_without_a_change(self) -> None:
        """The log line states that nothing has changed."""
        self.deployment.daemon.reload()
        self.assertEqual(self._reloads(), [('signal', 'unchanged')])

    async def test_a_signal_with_a_change(self) -> None:
        """Changed bounds apply at once, also to existing budgets."""
        view = self.deployment.daemon.view
        budget = view.retry_budgets.for_pool('records')
        self.deployment.described_host = dataclasses.replace(
            self.deployment.host,
            bounds=RecoveryBounds(retry_slack=0.0, stop_grace_s=3.0),
        )
        self.deployment.daemon.reload()
        self.assertEqual(view.host.bounds.stop_grace_s, 3.0)
        self.assertLess(budget.available(1, 0.0), 1)
        self.assertEqual(self._reloads(), [('signal', 'applied')])

    async def test_a_change_without_a_signal(self) -> None:
        """A changed file is detected without a signal."""
        self.deployment.described_host = dataclasses.replace(
            self.deployment.host,
            callers_port=1,
        )
        await self.deployment.until(lambda: bool(self._reloads()))
        self.assertEqual(self._reloads(), [('file', 'needs a restart')])
        (line,) = self.deployment.events('reload')
        self.assertEqual(line['after_restart'], ('callers_port',))

    async def test_a_file_that_can_not_be_used(self) -> None:
        """Unreadable settings are logged; the current ones stay in force."""
        view = self.deployment.daemon.view
        self.deployment.described_host = SettingsError(('settings: no zone',))
        self.deployment.daemon.reload()
        self.assertIs(view.host, self.deployment.host)
        (line,) = self.deployment.events('reload')
        self.assertEqual(line['reason'], 'settings: no zone')

    async def test_another_address_of_the_store(self) -> None:
        """Calls use the new address of the store."""
        self.deployment.described_host = dataclasses.replace(
            self.deployment.host,
            store_address='127.0.0.1:1',
        )
        self.deployment.daemon.reload()
        await self.deployment.daemon.restart_feeds()
        await self.deployment.until(
            lambda: bool(self.deployment.events('store_lost'))
        )
