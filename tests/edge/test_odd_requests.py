"""Tests of callers' requests and targets' rows with odd contents."""

from __future__ import annotations

from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase


class OddRequestsTest(DaemonCase):
    """Requests and answers with odd numbers are served."""

    async def test_numbers_that_overflow(self) -> None:
        """Guards against an error in place of an answer.

        Huge or infinite numbers in the headers of a draft raised errors.
        """
        await self._start_chain()
        for changes in (
            {'Token-Counts': '9' * 5_000 + ',300'},
            {'Token-Counts': '9' * 400 + ',300'},
            {'Token-Counts': '700,0', 'Length-Hint': 'inf'},
            {'Deadline-Ms': 'nan'},
        ):
            with self.subTest(str(changes)[:30]):
                answer = await self.deployment.call('/drafts/1', **changes)
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_whole)


class OddRowsTest(DaemonCase):
    """Rows of other writers harm neither requests nor the other rows."""

    async def test_a_target_that_cannot_be_reached_by_address(self) -> None:
        """Guards against an error in place of an answer.

        The row of a target had an address with an impossible port.
        """
        await self.deployment.add_service('r1')
        await self._write_target('r0', address='127.0.0.1:99999')
        answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 200)

    async def test_a_row_that_is_nested_too_deeply(self) -> None:
        """Guards against the end of the task that reads the targets."""
        await self.deployment.store.put(
            'servers', 'r0', b'{"x":' + b'[' * 20_000
        )
        await self.deployment.add_service('r1')
        answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 200)

    async def test_tables_that_cannot_be_used(self) -> None:
        """Guards against tables that stay in force for good.

        A version with a model without layers ended the task that reads the
        tables, so later versions were not read.
        """
        body = build.wire_configuration(
            version=8, services=[build.wire_engine_service(layers=0)]
        )
        await self.deployment.store.put('op', 'config', body)
        await self.deployment.until(
            lambda: self.deployment.events('tables_unreadable')
        )
        await self.deployment.serve_tables(version=9)

    async def _write_target(self, name: str, **changes: object) -> None:
        """Write the row of a plain target and wait until it was read."""
        changes = {'service': 'records', 'layers': None, 'zone': 'a', **changes}
        await self.deployment.store.put(
            'servers', name, build.wire_server(**changes)
        )
        await self.deployment.add_service('last')
        await self.deployment.targets['last'].stop()
        await self.deployment.store.put('servers', 'last', None)
        await self.deployment.until(
            lambda: self.deployment.daemon.view.targets.find('last') is None
        )
