"""Tests of the daemon with a store and targets of the platform's protocol."""

from __future__ import annotations

import asyncio
import unittest

from nutmegspoke.border.loop import StreamLoop
from tests.edge.stream_loop_case import StreamLoopCase
from tests.edge.world import Deployment

_EVENTS = 12


def _event_ids(body: bytes) -> list[int]:
    return [
        int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')
    ]


class DaemonCase(unittest.IsolatedAsyncioTestCase):
    """Base class that starts a deployment for each test."""

    async def asyncSetUp(self) -> None:
        """Put tables into force with a route of drafts and one of calls."""
        self.deployment = Deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.serve_tables()

    async def _start_chain(self) -> None:
        """Start two engines that together hold all layers."""
        for name, held in (('x1', (0, 40)), ('y1', (40, 80))):
            await self.deployment.add_engine(name, held)

    async def _start_replicas(self) -> None:
        """Start replicas of the engines of :meth:`_start_chain`."""
        for name, held in (('x2', (0, 40)), ('y2', (40, 80))):
            await self.deployment.add_engine(name, held)

    def _names_with_runs(self, *names: str) -> list[str]:
        return [
            name
            for name in names
            if self.deployment.targets[name].caller_requests()
        ]


class ForwardingTest(DaemonCase):
    """Requests are forwarded to targets, and their answers to callers."""

    async def test_a_draft_over_a_chain(self) -> None:
        """The caller receives all events and the engine's own headers."""
        await self._start_chain()
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))
        self.assertEqual(answer.headers['Response-Seal'], 'seal-x1')
        (run,) = self.deployment.targets['x1'].caller_requests()
        self.assertEqual(run.headers['expect-instance'], 'x1')
        self.assertEqual(run.headers['tenant'], 't')
        self.assertNotIn('key', run.headers)
        chain = run.headers['hops']
        self.assertTrue(chain.endswith('=40-80'), chain)

    async def test_a_call(self) -> None:
        """A request to a plain service carries no chain."""
        target = await self.deployment.add_service('r1')
        answer = await self.deployment.call('/calls/1')
        self.assertEqual((answer.status, answer.body), (200, b'record of r1'))
        self.assertNotIn('hops', target.caller_requests()[0].headers)

    async def test_own_refusals(self) -> None:
        """Requests with an unknown route or key are refused."""
        self.assertEqual((await self.deployment.call('/nowhere/')).status, 404)
        refused = await self.deployment.call('/calls/1', Key='stolen')
        self.assertEqual(refused.status, 401)

    async def test_a_refused_draft_has_a_retry_time(self) -> None:
        """A draft is refused with a retry time if layers are missing."""
        await self.deployment.add_engine('x1', (0, 40))
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual(answer.status, 503)
        self.assertGreaterEqual(float(answer.headers['Retry-After']), 0.6)
        self.assertEqual(self._names_with_runs('x1'), [])

    async def test_metrics_and_log_tell_the_end(self) -> None:
        """A request is logged once and counted in the metrics."""
        await self.deployment.add_service('r1')
        await self.deployment.call('/calls/1')
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['request'], 'request-1')
        self.assertEqual(line['outcome'], 'answered')
        self.assertEqual(line['tables_version'], 7)
        page = await self.deployment.metrics()
        self.assertIn('nutmegspoke_edge_requests_total', page)


class BrokenAnswersTest(DaemonCase):
    """No caller receives an incomplete answer as a complete one."""

    async def test_a_broken_stream_goes_on_elsewhere(self) -> None:
        """A resumed stream continues after the last complete event."""
        await self._start_chain()
        await self._start_replicas()
        for name in ('x1', 'x2'):
            self.deployment.targets[name].faults.break_after = 5
        first = self.deployment.targets['x1'].faults
        first.break_count = 1
        answer = await self.deployment.call('/drafts/1')
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))
        if self._names_with_runs('x1'):
            (run,) = self.deployment.targets['x2'].caller_requests()
            self.assertEqual(run.headers['last-event-id'], '5')

    async def test_a_stream_begins_at_no_more_targets_than_allowed(
        self,
    ) -> None:
        """Guards against a third target where the route allows two.

        A draft that was interrupted twice was sent to a third engine while
        the first two were alive.
        """
        await self._start_chain()
        await self._start_replicas()
        await self.deployment.add_engine('x3', (0, 40))
        for name in ('x1', 'x2', 'x3'):
            self.deployment.targets[name].faults.break_after = 3
            self.deployment.targets[name].faults.break_count = 1
        answer = await self.deployment.call('/drafts/1')
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))
        self.assertEqual(len(self._names_with_runs('x1', 'x2', 'x3')), 2)

    async def test_refusals_count_as_targets(self) -> None:
        """Guards against a third attempt after refusals by two full engines."""
        await self._start_chain()
        await self._start_replicas()
        await self.deployment.add_engine('x3', (0, 40))
        for name in ('x1', 'x2', 'x3'):
            self.deployment.targets[name].faults.refusals = 1
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(self._names_with_runs('x1', 'x2', 'x3')), 2)

    async def test_a_lost_target_does_not_count(self) -> None:
        """Targets that crash one after the other don't count against the limit."""
        await self._start_chain()
        await self._start_replicas()
        await self.deployment.add_engine('x3', (0, 40))
        for name in ('x1', 'x2', 'x3'):
            target = self.deployment.targets[name]
            target.faults.break_after = 3
            target.faults.break_count = 1
            target.faults.stops_on_break = True
        answer = await self.deployment.call('/drafts/1')
        self.assertFalse(answer.is_whole)
        self.assertEqual(len(self._names_with_runs('x1', 'x2', 'x3')), 3)

    async def test_a_stalled_stream_goes_on_elsewhere(self) -> None:
        """The report of the first engine names the lost engine to avoid."""
        await self._start_chain()
        faults = self.deployment.targets['x1'].faults
        entry = self.deployment.daemon.view.targets.find('y1')
        assert entry is not None
        faults.lost_engine_address = entry.address
        pending_call = asyncio.create_task(self.deployment.call('/drafts/1'))
        await self.deployment.until(lambda: self._names_with_runs('x1'))
        faults.lost_engine_address = entry.address
        await self._start_replicas()
        answer = await pending_call
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))
        left_out = self.deployment.events('target_left_out')
        self.assertEqual(left_out[0]['target'], 'y1')
        self.assertEqual(left_out[0]['fault'], 'silent')

    async def test_an_engine_that_ends_is_noticed_at_once(self) -> None:
        """Guards against a pause after the crash of a later engine of a chain.

        The first engine sends nothing for seconds, but the liveness
        connection to the crashed one closes and the draft is resumed.
        """
        await self._start_chain()
        await self.deployment.until(
            lambda: self.deployment.targets['y1'].idle_connections
        )
        first = self.deployment.targets['x1'].faults
        first.stall_after = 3
        pending_call = asyncio.create_task(self.deployment.call('/drafts/1'))
        await self.deployment.until(lambda: self._names_with_runs('x1'))
        await self._start_replicas()
        await self.deployment.targets['y1'].crash()
        answer = await pending_call
        self.assertTrue(answer.is_whole)
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))
        (line,) = self.deployment.events('engine_ended')
        self.assertEqual(line['target'], 'y1')

    async def test_a_reset_answer_without_length_is_not_whole(self) -> None:
        """Guards against a reset that arrives with the last bytes.

        It was taken for the end of an answer without a length.
        """
        target = await self.deployment.add_service('r1')
        target.faults.omits_length = True
        answer = await self.deployment.call('/calls/1')
        self.assertEqual((answer.status, answer.body), (200, b'record of r1'))
        target.faults.resets_answers = True
        answer = await self.deployment.call('/calls/2')
        self.assertEqual(answer.status, 502)

    async def test_a_stream_without_length_and_chunks(self) -> None:
        """Guards against streams cut or kept open that their engine ended."""
        await self._start_chain()
        self.deployment.targets['x1'].faults.omits_length = True
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual((answer.status, answer.is_whole), (200, True))
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))

    async def test_a_stream_without_length_that_ends_inside_an_event(
        self,
    ) -> None:
        """Guards against a stream broken off that looks complete.

        It goes on at another engine.
        """
        await self._start_chain()
        await self._start_replicas()
        for name in ('x1', 'x2'):
            faults = self.deployment.targets[name].faults
            faults.omits_length = True
            faults.break_after = 4
            faults.break_count = 1
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual((answer.status, answer.is_whole), (200, True))
        self.assertEqual(_event_ids(answer.body), list(range(1, _EVENTS + 1)))

    async def test_a_stray_answer_is_skipped(self) -> None:
        """An answer to another request is skipped; its connection is closed.

        The caller receives the answer that carries the id of its request.
        """
        target = await self.deployment.add_service('r1')
        target.faults.stray_answers = 1
        answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.body, b'record of r1')
        answer = await self.deployment.call('/calls/2')
        self.assertEqual(answer.body, b'record of r1')

    async def test_a_call_that_may_have_run_is_not_sent_again(self) -> None:
        """The caller receives a failure without a retry time."""
        broken = await self.deployment.add_service('r1')
        other = await self.deployment.add_service('r2')
        for target in (broken, other):
            target.faults.omits_length = True
            target.faults.resets_answers = True
        answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 502)
        self.assertNotIn('Retry-After', answer.headers)
        self.assertEqual(
            len(broken.caller_requests()) + len(other.caller_requests()), 1
        )

    async def test_a_refused_call_is_told_as_not_run(self) -> None:
        """A call that its target refused is answered with a retry time."""
        target = await self.deployment.add_service('r1')
        target.faults.refusals = 1
        answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 503)
        self.assertIn('Retry-After', answer.headers)

    async def test_an_error_of_the_target_comes_unchanged(self) -> None:
        """Status, body and signature of the target are forwarded."""
        target = await self.deployment.add_service('r1')
        target.faults.failures = 1
        answer = await self.deployment.call('/calls/1')
        self.assertEqual((answer.status, answer.body), (500, b'failed'))
        self.assertEqual(answer.headers['Response-Seal'], 'seal-r1')

    async def test_the_engine_named_at_fault_is_left_out(self) -> None:
        """The draft runs on a chain without the engine named at fault."""
        await self._start_chain()
        await self._start_replicas()
        lost = self.deployment.daemon.view.targets.find('y1')
        assert lost is not None
        for name in ('x1', 'x2'):
            faults = self.deployment.targets[name].faults
            faults.at_fault_address = lost.address
        self.deployment.targets['x1'].faults.refusals = 1
        answer = await self.deployment.call('/drafts/1')
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)


class StoreFollowingTest(DaemonCase):
    """The daemon follows the store and copes with its failures."""

    async def test_new_tables_are_in_force(self) -> None:
        """New tables are applied; unreadable ones are ignored."""
        await self.deployment.add_service('r1')
        await self.deployment.serve_tables(version=9, tenants=[])
        self.assertEqual((await self.deployment.call('/calls/1')).status, 401)
        await self.deployment.store.put('op', 'config', b'not a configuration')
        await self.deployment.until(
            lambda: self.deployment.events('tables_unreadable')
        )
        self.assertEqual(self.deployment.daemon.view.version, 9)

    async def test_serves_on_while_the_store_is_away(self) -> None:
        """Known tables and targets stay in use while the store fails."""
        await self.deployment.add_service('r1')
        self.deployment.store.faults.refuses = True
        await self.deployment.store.put('op', 'other', b'')
        await self.deployment.until(
            lambda: self.deployment.events('store_lost')
        )
        self.assertEqual((await self.deployment.call('/calls/1')).status, 200)
        self.assertEqual(await self.deployment.ready_status(), 200)
        self.deployment.store.faults.refuses = False
        await self.deployment.until(
            lambda: self.deployment.events('store_regained')
        )

    async def test_lost_history_is_read_anew(self) -> None:
        """A feed reads the whole table again if the history is lost."""
        await self.deployment.add_service('r1')
        await self.deployment.store.put('servers', 'r1', None)
        self.deployment.store.drop_history()
        await self.deployment.until(
            lambda: not self.deployment.daemon.view.targets.all()
        )

    async def test_not_ready_without_tables(self) -> None:
        """A daemon without tables is not ready and refuses requests."""
        fresh = Deployment()
        await fresh.start()
        self.addAsyncCleanup(fresh.stop)
        self.assertEqual(await fresh.ready_status(), 503)
        answer = await fresh.call('/calls/1')
        self.assertEqual(answer.status, 503)
        self.assertIn('Retry-After', answer.headers)

    async def test_layers_are_ordered_under_a_lease(self) -> None:
        """An empty engine is assigned layers with a fencing number."""
        target = await self.deployment.add_engine('e1', (0, 0))
        await self.deployment.until(lambda: target.orders)
        order = target.orders[0]
        self.assertEqual(order['op'], 'place')
        self.assertGreaterEqual(order['fence'], 1)
        self.assertLessEqual(order['to'] - order['from'], 41)


class CallersLeaveTest(DaemonCase):
    """Requests of disconnected callers, and requests during a stop."""

    async def test_a_caller_that_leaves_ends_the_run(self) -> None:
        """A request is cancelled when its caller disconnects."""
        target = await self.deployment.add_service('r1')
        target.faults.is_silent = True
        pending_call = asyncio.create_task(self.deployment.call('/calls/1'))
        await self.deployment.until(target.caller_requests)
        pending_call.cancel()
        await self.deployment.until(
            lambda: any(
                line.get('outcome') == 'caller_left'
                for line in self.deployment.events('request_ended')
            ),
        )

    async def test_stop_leaves_rotation_first(self) -> None:
        """A stopping daemon reports not ready but still answers."""
        await self.deployment.add_service('r1')
        stopping = asyncio.create_task(self.deployment.daemon.stop())
        await self.deployment.until(lambda: self.deployment.events('stopping'))
        self.assertEqual(await self.deployment.ready_status(), 503)
        answer = await self.deployment.call('/calls/1')
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers['Connection'], 'close')
        await stopping


class StreamLoopDaemonTest(StreamLoopCase, BrokenAnswersTest):
    """The tests of broken answers on the event loop of the daemon."""

    async def test_the_loop(self) -> None:
        """Guards against tests that run on the default loop instead."""
        self.assertIsInstance(asyncio.get_running_loop(), StreamLoop)
