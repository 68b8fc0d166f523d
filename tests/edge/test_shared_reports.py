"""Tests of the number of calls to an engine that many drafts wait for."""

from __future__ import annotations

import asyncio

from tests.edge.test_silent_engines import SilentEnginesCase

_DRAFTS = 12
# In this time each draft queries its engine twice.
_WAIT_S = 3.0
# Queries of drafts, and those of the daemon that reads all reports.
_MAX_REPORTS = 10


class SharedReportsTest(SilentEnginesCase):
    """Drafts that wait for the same engine share its reports."""

    async def test_a_silent_engine_gets_few_calls(self) -> None:
        """Guards against a connection to a silent engine for each draft."""
        self.first.silence.begin()
        pending_calls = [
            self._call(**{'Token-Counts': '50,20'}) for _ in range(_DRAFTS)
        ]
        await self.deployment.until(
            lambda: len(self.first.caller_requests()) == _DRAFTS
        )
        await asyncio.sleep(_WAIT_S)
        reports = len(self.first.received) - _DRAFTS
        self.first.silence.end()
        for answer in await asyncio.gather(*pending_calls):
            self.assertTrue(answer.is_whole)
        self.assertLessEqual(reports, _MAX_REPORTS)
        self._assert_nothing_reserved()
