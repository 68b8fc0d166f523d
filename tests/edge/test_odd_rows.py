"""Tests of odd rows among those of targets and daemons."""

from __future__ import annotations

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.edge.announcing import DAEMONS_TABLE
from tests.builders_odd_rows import odd_daemon_rows, odd_target_rows
from tests.edge.stream_loop_case import StreamLoopCase
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import Deployment


class OddRowsTest(DaemonCase):
    """Another writer leaves rows that no daemon can use."""

    async def test_rows_of_daemons(self) -> None:
        """Guards against one odd row for which a daemon isn't known to others.

        The odd rows sort before and after the row of the daemon that joins.
        """
        store = self.deployment.store
        for number, body in enumerate(odd_daemon_rows().values()):
            await store.put(DAEMONS_TABLE, f'a-odd-{number}', body)
            await store.put(DAEMONS_TABLE, f'z-odd-{number}', body)
        other = Deployment(shared=self.deployment)
        await other.start()
        self.addAsyncCleanup(other.stop)
        await self.deployment.until(
            lambda: self.deployment.knows_daemon('host-2')
        )
        await other.until(lambda: other.knows_daemon('host-1'))
        for host in (self.deployment, other):
            self.assertEqual(host.events('follower_failed'), [])
        await self._check_updates(other)

    async def _check_updates(self, other: Deployment) -> None:
        """Wait for updates in both directions."""
        for host in (self.deployment, other):
            updates = host.daemon.view.load_updates
            await host.until(
                lambda updates=updates: updates.daemons(SystemClock().now_s())
            )

    async def test_rows_of_targets(self) -> None:
        """Guards against one odd row for which targets are not listed."""
        store = self.deployment.store
        for number, body in enumerate(odd_target_rows().values()):
            await store.put('servers', f'a-odd-{number}', body)
        await self.deployment.add_service('r1')
        targets = self.deployment.daemon.view.targets.all()
        self.assertEqual([entry.name for entry in targets], ['r1'])
        self.assertEqual(self.deployment.events('follower_failed'), [])
        self.assertEqual((await self.deployment.call('/calls/1')).status, 200)

    async def test_rows_of_quarantines(self) -> None:
        """Guards against odd rows for which a daemon that starts never serves."""
        await self.deployment.add_service('r1')
        for number, body in enumerate(odd_target_rows().values()):
            await self.deployment.store.put('quarantine', f'odd-{number}', body)
        other = Deployment(shared=self.deployment)
        await other.start()
        self.addAsyncCleanup(other.stop)
        await other.until(lambda: other.daemon.view.targets.find('r1'))
        self.assertEqual((await other.call('/calls/1')).status, 200)


class StreamLoopOddRowsTest(StreamLoopCase, OddRowsTest):
    """The same on the event loop of the daemon's process."""
