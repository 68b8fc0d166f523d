"""Tests of rows that are neither the operator's tables nor targets."""

from __future__ import annotations

from nutmegspoke.platform import configuration
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase

# Higher than the versions of the operator's tables.
_FOREIGN_VERSION = 100


class ForeignRowsTest(DaemonCase):
    """Other writers use other keys and other parts of the same tables."""

    async def test_a_key_that_ends_like_the_operators(self) -> None:
        """Guards against a draft of tables that is put into force.

        The operator's next versions, which are lower, would be ignored.
        """
        body = build.wire_configuration(version=_FOREIGN_VERSION)
        await self.deployment.store.put('op', 'draft/config', body)
        await self.deployment.serve_tables(version=8)

    async def test_tables_in_another_part(self) -> None:
        """Guards against tables in another part that are put into force."""
        body = build.wire_configuration(version=_FOREIGN_VERSION)
        await self.deployment.store.put(
            'op', configuration.ROW, body, part='drafts'
        )
        await self.deployment.serve_tables(version=8)

    async def test_a_removal_from_another_part(self) -> None:
        """Guards against a live target that is taken for gone."""
        await self.deployment.add_service('r1')
        await self.deployment.store.put('servers', 'r1', None, part='old')
        await self.deployment.add_service('r2')
        self.assertIsNotNone(self.deployment.daemon.view.targets.find('r1'))
