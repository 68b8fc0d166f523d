"""Tests of a daemon that has not read the tables yet."""

from __future__ import annotations

import unittest

from tests import builders_edge as build
from tests.edge.world import Deployment

_DEADLINE_S = 15.0


class StartWithoutTablesTest(unittest.IsolatedAsyncioTestCase):
    """Callers arrive before the store has answered with the tables."""

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)

    async def test_callers_are_asked_back_within_their_time(self) -> None:
        """Guards against a return before the outage can have ended.

        The wait is within the third of its time that a caller accepts.
        """
        refusal = await self.deployment.call(build.DRAFT_PATH)
        self.assertEqual(503, refusal.status)
        wait_s = float(refusal.headers['Retry-After'])
        self.assertGreater(wait_s, 2.0)
        self.assertLess(wait_s, _DEADLINE_S / 3)

    async def test_callers_with_little_time_are_not_sent_away_for_long(
        self,
    ) -> None:
        """Guards against times that callers ignore as they are too long."""
        refusal = await self.deployment.call(
            build.CALL_PATH, **{'Deadline-Ms': '1500'}
        )
        self.assertEqual(503, refusal.status)
        self.assertLess(float(refusal.headers['Retry-After']), 0.5)
