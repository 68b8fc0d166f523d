"""Tests of the log lines that tell why an answer was lost."""

from __future__ import annotations

import contextlib
from unittest import mock

import aiohttp

from tests.edge.test_daemon import DaemonCase


class LostAnswersLogTest(DaemonCase):
    """Each way to lose an answer shows in a line of its own."""

    async def test_an_error_of_the_handler_is_no_leaving_caller(self) -> None:
        """Guards against an error that is logged as ``caller_left``."""
        await self.deployment.add_service('r1')
        budgets = self.deployment.daemon.view.retry_budgets
        with mock.patch.object(budgets, 'for_pool', side_effect=KeyError('x')):
            with contextlib.suppress(aiohttp.ClientError):
                await self.deployment.call('/calls/1')
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'error')
        self.assertEqual(line['reason'], "KeyError('x')")
        self.assertGreaterEqual(line['tables_age_s'], 0.0)

    async def test_a_cut_stream_tells_how_long_it_was_silent(self) -> None:
        """The line of a cut stream has its silence and the engines listed."""
        await self._start_chain()
        faults = self.deployment.targets['x1'].faults
        faults.break_after = 3
        faults.break_count = 1
        faults.stops_on_break = True
        answer = await self.deployment.call('/drafts/1')
        self.assertFalse(answer.is_whole)
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'cut')
        self.assertGreaterEqual(line['silent_s'], 0.0)
        self.assertEqual(line['targets_listed'], ['x1'])
        await self.deployment.until(
            lambda: self.deployment.events('closed_unanswered')
        )
        (line,) = self.deployment.events('closed_unanswered')
        self.assertEqual((line['cause'], line['requests']), ('aborted', 1))
        page = await self.deployment.metrics()
        self.assertIn('caller_connections_closed_total{', page)

    async def test_versions_that_go_back_are_logged(self) -> None:
        """A table read at a lower version than before gives a line."""
        copy = self.deployment.store.copy()
        await self.deployment.add_service('r1')
        await self.deployment.store.come_back_from(copy)
        await self.deployment.until(
            lambda: self.deployment.events('store_went_back')
        )
        line = self.deployment.events('store_went_back')[0]
        self.assertLess(line['read_version'], line['known_version'])

    async def test_equal_requests_have_one_fingerprint(self) -> None:
        """The tries of a caller can be found, as their ids differ."""
        for body in (b'x', b'x', b'y'):
            await self.deployment.call('/calls/1', body=body)
        lines = self.deployment.events('request_ended')
        first, second, other = (line['fingerprint'] for line in lines)
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)

    async def test_the_page_of_metrics_tells_how_current_the_tables_are(
        self,
    ) -> None:
        """A host that is behind shows by version and age of its tables."""
        daemon = self.deployment.daemon
        await self.deployment.until(lambda: daemon.view.version)
        await self.deployment.until(
            lambda: (
                'nutmegspoke_edge_tables_version'
                f' {daemon.view.version}' in daemon.metrics.render().decode()
            )
        )
        page = await self.deployment.metrics()
        self.assertIn('feed_answer_age_seconds{table="op"}', page)
