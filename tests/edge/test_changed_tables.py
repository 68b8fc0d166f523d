"""Tests of requests in progress while the tables change."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.edge.view import View
from nutmegspoke.layers import LayerRange, Stage
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase

if TYPE_CHECKING:
    from tests.edge.world import CallResult

_EVENT_IDS = list(range(1, 13))
_NO_ENGINES = (build.wire_plain_service('records'),)
_NO_PROFILE = (build.wire_plain_service('engines'), *_NO_ENGINES)


def _event_ids(body: bytes) -> list[int]:
    return [
        int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')
    ]


class KeptProfileTest(unittest.TestCase):
    """Engines of a pool that the tables no longer describe stay known."""

    def setUp(self) -> None:
        """Remove the pool of two engines from the tables."""
        self.view = View(build.host())
        self.view.apply_tables(build.tables(1), 0.0)
        for name, held in (('x1', (0, 40)), ('y1', (40, 80))):
            entry = build.target(name, kind='quick', layers=LayerRange(*held))
            self.view.targets.put(entry, 1)
        self.view.apply_tables(build.tables(2, pools={}), 1.0)

    def test_a_stream_may_wait_for_memory(self) -> None:
        """Guards against a stream cut at once although a chain may get free."""
        self.assertTrue(self.view.has_layers('engines', build.need(), 2.0))

    def test_a_full_engine_counts_as_full(self) -> None:
        """Guards against a full engine that is left out as faulty."""
        chain = (Stage('x1', 'x1:80', LayerRange(0, 40)),)
        self.view.own_reservations.reserve('request-1', chain, 1e6)
        self.assertGreater(self.view.find_utilization('x1', 2.0), 0.0)

    def test_a_pool_without_targets_is_forgotten(self) -> None:
        """Profiles of removed pools don't add up."""
        for name in ('x1', 'y1'):
            self.view.targets.remove(name, 10.0)
        self.view.apply_tables(build.tables(3, pools={}), 10.0)
        self.assertEqual(self.view._profiles, {})


class ChangedPoolTest(DaemonCase):
    """A draft in progress goes on in the pool that it was matched with."""

    async def asyncSetUp(self) -> None:
        """Start engines that together hold all layers."""
        await super().asyncSetUp()
        await self._start_chain()

    async def test_a_draft_of_a_removed_pool(self) -> None:
        """Guards against a connection closed without any answer.

        While a draft waited for its first event, its pool was removed from the
        tables. Then it needed another chain.
        """
        self.deployment.targets['x1'].faults.is_silent = True
        answer = await self._lose_engine_after_change(services=_NO_ENGINES)
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), _EVENT_IDS)

    async def test_a_draft_of_a_pool_without_profile(self) -> None:
        """Guards against a connection closed without any answer.

        While a draft waited for its first event, the profile of its engines was
        removed from the tables. Then it needed another chain.
        """
        self.deployment.targets['x1'].faults.is_silent = True
        answer = await self._lose_engine_after_change(services=_NO_PROFILE)
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), _EVENT_IDS)

    async def test_a_draft_without_another_chain(self) -> None:
        """Guards against a connection closed without any answer.

        The pool of a draft was removed from the tables, and no other chain was
        left for the draft.
        """
        self.deployment.targets['x1'].faults.is_silent = True
        answer = await self._lose_engine_after_change(
            has_replicas=False, services=_NO_ENGINES
        )
        self.assertEqual(answer.status, 502)

    async def test_a_stream_of_a_removed_pool(self) -> None:
        """Guards against a stream cut because its pool was removed."""
        self.deployment.targets['x1'].faults.stall_after = 3
        answer = await self._lose_engine_after_change(services=_NO_ENGINES)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), _EVENT_IDS)

    async def test_a_draft_keeps_the_layers_of_its_model(self) -> None:
        """Guards against a chain that runs only a part of a model's layers.

        Newer tables gave the pool a model with fewer layers, and a draft that
        was matched before then needed another chain.
        """
        self.deployment.targets['x1'].faults.is_silent = True
        await self._lose_engine_after_change(
            services=(build.wire_engine_service(layers=40), *_NO_ENGINES)
        )
        (run,) = self.deployment.targets['x2'].caller_requests()
        self.assertRegex(run.headers['hops'], '=0-40,.*=40-80$')

    async def _lose_engine_after_change(
        self, *, has_replicas: bool = True, **changes: Any
    ) -> CallResult:
        """Return the answer to a draft whose first engine is lost.

        :param changes: change of the tables that is in force before the loss.
        """
        faults = self.deployment.targets['x1'].faults
        pending_call = asyncio.create_task(self.deployment.call('/drafts/1'))
        await self.deployment.until(
            lambda: (
                self._names_with_runs('x1')
                and (faults.is_silent or faults.stall_after is None)
            )
        )
        if has_replicas:
            await self._start_replicas()
        await self.deployment.serve_tables(version=9, **changes)
        await self.deployment.targets['x1'].crash()
        self.deployment.daemon.view.lost_engines.record_loss(
            'x1', SystemClock().now_s()
        )
        return await pending_call


class HandlerErrorTest(DaemonCase):
    """An unexpected error never closes a connection without an answer."""

    async def test_an_error_before_a_target_was_selected(self) -> None:
        """Guards against a closed connection in place of a refusal."""
        await self.deployment.add_service('r1')
        budgets = self.deployment.daemon.view.retry_budgets
        with mock.patch.object(budgets, 'for_pool', side_effect=KeyError('x')):
            answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 503)
        self.assertIn('Retry-After', answer.headers)
        self.assertEqual(self._names_with_runs('r1'), [])
        self._assert_logged_error(503)

    async def test_an_error_while_a_draft_waits_for_a_chain(self) -> None:
        """Guards against a closed connection in place of a refusal."""
        await self._start_chain()
        view = self.deployment.daemon.view
        with mock.patch.object(view, 'engine_loads', side_effect=KeyError('x')):
            answer = await self.deployment.call('/drafts/1')
        self.assertEqual(answer.status, 503)
        self.assertEqual(self._names_with_runs('x1', 'y1'), [])
        self._assert_logged_error(503)

    async def test_an_error_after_a_request_was_sent(self) -> None:
        """Guards against a refusal of a request that may have run."""
        await self.deployment.add_service('r1')
        faults = self.deployment.daemon.view.faults
        with mock.patch.object(faults, 'succeeded', side_effect=KeyError('x')):
            answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 502)
        self.assertNotIn('Retry-After', answer.headers)
        self.assertEqual(self._names_with_runs('r1'), ['r1'])
        self._assert_logged_error(502)

    async def test_an_error_in_a_stream_cuts_it(self) -> None:
        """An answer that has begun ends without looking complete."""
        await self._start_chain()
        view = self.deployment.daemon.view
        lengths = view.answer_lengths('engines', build.profile())
        with mock.patch.object(
            lengths, 'add_length', side_effect=KeyError('x')
        ):
            answer = await self.deployment.call('/drafts/1')
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.is_whole)
        self._assert_logged_error(0)

    async def test_an_error_before_a_route_was_matched(self) -> None:
        """Guards against a closed connection; the connection stays usable."""
        await self.deployment.add_service('r1')
        routes = self.deployment.daemon.view.routes
        with mock.patch.object(routes, 'match', side_effect=KeyError('x')):
            answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.deployment.events('closed_unanswered'), [])

    def _assert_logged_error(self, status: int) -> None:
        """Check the line of the request that failed.

        :param status: status of the answer; 0 for none.
        """
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'error')
        self.assertEqual(line['reason'], "KeyError('x')")
        self.assertEqual(line['status'], status)
