"""Settings that change while the daemon serves."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.entry_host import RecoveryBounds
from nutmegspoke.errors import SettingsError
from tests.edge.world import World


class SettingsTest(unittest.IsolatedAsyncioTestCase):
    """A change is applied and told, with a signal and without one."""

    async def asyncSetUp(self) -> None:
        """Start a daemon."""
        self.world = World()
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)

    def _reloads(self) -> list[tuple[str, str]]:
        return [
            (line['cause'], line['outcome'])
            for line in self.world.events('reload')
        ]

    async def test_a_signal_without_a_change(self) -> None:
        """The line says that nothing has changed."""
        self.world.daemon.reload()
        self.assertEqual(self._reloads(), [('signal', 'unchanged')])

    async def test_a_signal_with_a_change(self) -> None:
        """Bounds are in force at once, also in budgets that exist."""
        view = self.world.daemon.view
        budget = view.budgets.for_pool('records')
        self.world.described = dataclasses.replace(
            self.world.host,
            bounds=RecoveryBounds(retry_slack=0.0, stop_grace_s=3.0),
        )
        self.world.daemon.reload()
        self.assertEqual(view.host.bounds.stop_grace_s, 3.0)
        self.assertLess(budget.available(1, 0.0), 1)
        self.assertEqual(self._reloads(), [('signal', 'applied')])

    async def test_a_change_without_a_signal(self) -> None:
        """The file is looked at by itself."""
        self.world.described = dataclasses.replace(
            self.world.host,
            callers_port=1,
        )
        await self.world.until(lambda: bool(self._reloads()))
        self.assertEqual(self._reloads(), [('file', 'needs a restart')])
        (line,) = self.world.events('reload')
        self.assertEqual(line['after_restart'], ('callers_port',))

    async def test_a_file_that_can_not_be_used(self) -> None:
        """The settings in force stay, and the problem is told."""
        view = self.world.daemon.view
        self.world.described = SettingsError(('settings: no zone',))
        self.world.daemon.reload()
        self.assertIs(view.host, self.world.host)
        (line,) = self.world.events('reload')
        self.assertEqual(line['reason'], 'settings: no zone')

    async def test_another_address_of_the_store(self) -> None:
        """Calls go to the store's new address."""
        self.world.described = dataclasses.replace(
            self.world.host,
            store_address='127.0.0.1:1',
        )
        self.world.daemon.reload()
        await self.world.daemon.restart_feeds()
        await self.world.until(lambda: bool(self.world.events('store_lost')))
