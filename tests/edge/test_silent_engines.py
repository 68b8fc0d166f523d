"""Tests of drafts whose engines fall silent for a while."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from nutmegspoke.border.loop import StreamLoop
from nutmegspoke.retries.window_budget import WindowSettings
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase

if TYPE_CHECKING:
    from nutmegspoke.standins.wire_target import WireTarget
    from tests.edge.world import CallResult

# How long an engine stays silent after the daemon has noticed it.
_SILENCE_S = 0.5
_SILENT_AFTER = 3
_CALL_TIMEOUT_MS = 4_000
# Silence longer than the first attempt of a call if another one may follow.
_LONG_SILENCE_S = 2.4
_ALL_EVENTS = [b'id: %d\ndata: ' % number for number in range(1, 13)]


class SilentEnginesCase(DaemonCase):
    """Base class with a chain of two engines, the first named ``x1``."""

    async def asyncSetUp(self) -> None:
        """Start the chain."""
        await super().asyncSetUp()
        await self._start_chain()
        self.first = self.deployment.targets['x1']

    def _call(self, **changes: str) -> asyncio.Task[CallResult]:
        return asyncio.create_task(self.deployment.call('/drafts/1', **changes))

    async def _until_noticed(self) -> None:
        """Wait until the daemon has noticed a silent engine."""
        await self.deployment.until(
            lambda: any(
                line['fault'] == 'silent'
                for line in self.deployment.events('target_left_out')
            ),
        )

    async def _end_silence(self, target: WireTarget) -> None:
        """Let a target go on after the daemon has noticed its silence."""
        await self._until_noticed()
        await asyncio.sleep(_SILENCE_S)
        target.silence.end()

    async def _add_replica(self) -> WireTarget:
        """Add a replica of the first engine."""
        return await self.deployment.add_engine('x2', (0, 40))

    async def _hold_next_engine(self) -> None:
        """Let the first engine's next stream wait for the engine ``y1``."""
        entry = self.deployment.daemon.view.targets.find('y1')
        assert entry is not None
        self.first.faults.awaited_address = entry.address
        self.first.faults.wait_after = _SILENT_AFTER

    def _assert_whole(self, answer: CallResult) -> None:
        """Check that an answer is complete and has each event once."""
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'answered', line)
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)
        events = answer.body.split(b'\n\n')[:-1]
        self.assertEqual([event[:-2] for event in events], _ALL_EVENTS)
        self._assert_nothing_reserved()

    def _assert_nothing_reserved(self) -> None:
        reservations = self.deployment.daemon.view.own_reservations
        self.assertEqual(dict(reservations.total_reservations()), {})


class SilenceWithoutReplicaTest(SilentEnginesCase):
    """No other chain can run the draft; the silent engine goes on."""

    async def test_a_silent_first_engine_goes_on(self) -> None:
        """Guards against a stream that is cut as its engine pauses."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self._end_silence(self.first)
        self._assert_whole(await pending_call)

    async def test_a_silent_later_engine_goes_on(self) -> None:
        """Guards against a stream that is cut as a later engine pauses."""
        await self._hold_next_engine()
        pending_call = self._call()
        await self._end_silence(self.first)
        self._assert_whole(await pending_call)

    async def test_an_engine_silent_before_the_first_event_goes_on(
        self,
    ) -> None:
        """Guards against a failure sent as an engine pauses before its head."""
        self.first.silence.begin()
        pending_call = self._call()
        await self._end_silence(self.first)
        self._assert_whole(await pending_call)

    async def test_an_engine_that_is_silent_twice_goes_on(self) -> None:
        """Guards against a second silence that is taken for a loss."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self._until_noticed()
        self.deployment.log_lines.clear()
        self.first.faults.silent_after = 2 * _SILENT_AFTER
        self.first.silence.end()
        await self._end_silence(self.first)
        self._assert_whole(await pending_call)

    async def test_an_engine_silent_for_ever_ends_at_the_deadline(
        self,
    ) -> None:
        """Guards against an end before the deadline, and against none."""
        self.first.faults.silent_after = _SILENT_AFTER
        answer = await self._call(**{'Deadline-Ms': '3000'})
        self.assertFalse(answer.is_whole)
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'cut')
        self.assertLessEqual(line['left_s'], 0.01)
        self._assert_nothing_reserved()

    async def test_no_answer_from_a_silent_engine_ends_at_the_deadline(
        self,
    ) -> None:
        """Guards against a failure sent before the deadline."""
        self.first.silence.begin()
        answer = await self._call(**{'Deadline-Ms': '3000'})
        self.assertEqual(answer.status, 504)
        (line,) = self.deployment.events('request_ended')
        self.assertLessEqual(line['left_s'], 0.01)
        self._assert_nothing_reserved()

    async def test_a_silent_engine_that_ends_ends_the_stream(self) -> None:
        """A silent run whose connection is lost is given up at once."""
        self.first.faults.silent_after = _SILENT_AFTER
        self.first.faults.break_after = _SILENT_AFTER
        self.first.faults.break_count = 1
        self.first.faults.stops_on_break = True
        pending_call = self._call()
        await self._end_silence(self.first)
        self.assertFalse((await pending_call).is_whole)
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'cut')
        self.assertGreater(line['left_s'], 0.0)


class SilenceWithReplicaTest(SilentEnginesCase):
    """Another chain can run the draft."""

    async def test_a_silent_first_engine_is_replaced(self) -> None:
        """A draft goes on at a replica if its first engine stays silent."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        self._assert_whole(await pending_call)
        (run,) = replica.caller_requests()
        self.assertEqual(run.headers['last-event-id'], str(_SILENT_AFTER))
        (line,) = self.deployment.events('silence_ended')
        self.assertEqual((line['target'], line['suspects']), ('x2', ['x1']))
        self.assertTrue(line['is_replaced'])
        self.first.silence.end()
        await self.deployment.until(lambda: self.first.disconnect_count)

    async def test_a_silent_engine_before_the_first_event_is_replaced(
        self,
    ) -> None:
        """A draft is answered by a replica if its first engine stays silent."""
        self.first.silence.begin()
        pending_call = self._call()
        await self.deployment.until(self.first.caller_requests)
        replica = await self._add_replica()
        answer = await pending_call
        self._assert_whole(answer)
        self.assertEqual(answer.headers['Response-Seal'], 'seal-x2')
        self.assertEqual(len(replica.caller_requests()), 1)

    async def test_a_silent_later_engine_is_replaced(self) -> None:
        """A draft goes on without the later engine that stays silent."""
        await self._hold_next_engine()
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        await self._start_replicas()
        self._assert_whole(await pending_call)

    async def test_goes_on_while_the_replacement_begins(self) -> None:
        """Guards against the end of a silent run before another one begins."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        replica.silence.begin()
        await self.deployment.until(replica.caller_requests)
        self.first.silence.end()
        self._assert_whole(await pending_call)
        replica.silence.end()
        await self.deployment.until(lambda: replica.disconnect_count)

    async def test_goes_on_after_a_refused_replacement(self) -> None:
        """Guards against a cut stream as its replacement is refused."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        replica.faults.refusals = 9
        await self.deployment.until(replica.caller_requests)
        await asyncio.sleep(_SILENCE_S)
        self.first.silence.end()
        self._assert_whole(await pending_call)

    async def test_goes_on_after_a_failed_replacement(self) -> None:
        """Guards against a failure of a replacement that ends the stream."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        replica.faults.failures = 9
        await self.deployment.until(replica.caller_requests)
        await asyncio.sleep(_SILENCE_S)
        self.first.silence.end()
        self._assert_whole(await pending_call)

    async def test_a_silent_replacement_is_replaced(self) -> None:
        """Guards against a search that ends with the first replacement."""
        await self.deployment.serve_tables(
            version=9, routes=build.wire_routes(max_attempts=3)
        )
        self.first.faults.silent_after = _SILENT_AFTER
        # The second engine has memory for three such runs at a time.
        pending_call = self._call(**{'Token-Counts': '100,50'})
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        replica.silence.begin()
        await self.deployment.until(replica.caller_requests)
        await self.deployment.add_engine('x3', (0, 40))
        self._assert_whole(await pending_call)
        (line,) = self.deployment.events('silence_ended')
        self.assertEqual((line['target'], line['sends']), ('x3', 3))

    async def test_the_replacement_stays_if_the_silent_run_ends(self) -> None:
        """A run that has begun meanwhile is kept when the silent one ends."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        replica.silence.begin()
        await self.deployment.until(replica.caller_requests)
        self.first.reset_connections()
        await asyncio.sleep(_SILENCE_S)
        replica.silence.end()
        self._assert_whole(await pending_call)
        self.assertEqual(len(replica.caller_requests()), 1)

    async def test_goes_on_if_the_budget_is_spent(self) -> None:
        """Guards against a cut stream as no retry is left in the budget."""
        self.deployment.daemon.view.retry_budgets.update_settings(
            WindowSettings(0.0, 0.0, 10.0)
        )
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        await self._end_silence(self.first)
        self._assert_whole(await pending_call)
        self.assertEqual(replica.caller_requests(), [])

    async def test_goes_on_at_the_limit_of_targets(self) -> None:
        """Guards against a second target where the route allows one.

        A silent engine counts as a target, as it still works on the draft.
        """
        await self.deployment.serve_tables(
            version=9, routes=build.wire_routes(max_attempts=1)
        )
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        await self._end_silence(self.first)
        self._assert_whole(await pending_call)
        self.assertEqual(replica.caller_requests(), [])

    async def test_a_stream_that_may_not_run_twice_waits(self) -> None:
        """Guards against a second run where the route forbids it."""
        await self.deployment.serve_tables(
            version=9, routes=build.wire_routes(resumable=False)
        )
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        await asyncio.sleep(2 * _SILENCE_S)
        self.first.silence.end()
        self._assert_whole(await pending_call)
        self.assertEqual(replica.caller_requests(), [])

    async def test_a_caller_that_leaves_ends_both_runs(self) -> None:
        """Guards against runs that go on after their caller has left."""
        self.first.faults.silent_after = _SILENT_AFTER
        pending_call = self._call()
        await self.deployment.until(lambda: self.first.silence.is_held)
        replica = await self._add_replica()
        replica.silence.begin()
        await self.deployment.until(replica.caller_requests)
        pending_call.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await pending_call
        await self.deployment.until(
            lambda: self.deployment.events('request_ended')
        )
        (line,) = self.deployment.events('request_ended')
        self.assertEqual(line['outcome'], 'caller_left')
        self._assert_nothing_reserved()
        for target in (self.first, replica):
            target.silence.end()
            await self.deployment.until(lambda: target.disconnect_count)


class SilentCallsTest(DaemonCase):
    """Calls that may be sent again, at targets that fall silent."""

    async def asyncSetUp(self) -> None:
        """Put a route of idempotent calls into force."""
        await super().asyncSetUp()
        drafts, calls = build.wire_routes()
        calls.update(
            route_kind='idempotent',
            max_attempts=2,
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        await self.deployment.serve_tables(version=9, routes=[drafts, calls])
        self.first = await self.deployment.add_service('r1')

    async def _call_silent_target(self) -> asyncio.Task[CallResult]:
        self.first.silence.begin()
        pending_call = asyncio.create_task(self.deployment.call('/calls/1'))
        await self.deployment.until(self.first.caller_requests)
        return pending_call

    async def test_the_only_target_goes_on(self) -> None:
        """Guards against a failure sent though no other target exists."""
        pending_call = await self._call_silent_target()
        await asyncio.sleep(_LONG_SILENCE_S)
        self.first.silence.end()
        answer = await pending_call
        self.assertEqual((answer.status, answer.body), (200, b'record of r1'))
        self.assertEqual(len(self.first.caller_requests()), 1)

    async def test_goes_on_if_the_budget_is_spent(self) -> None:
        """Guards against a failure sent as no retry is left in the budget."""
        self.deployment.daemon.view.retry_budgets.update_settings(
            WindowSettings(0.0, 0.0, 10.0)
        )
        pending_call = await self._call_silent_target()
        other = await self.deployment.add_service('r2')
        await asyncio.sleep(_LONG_SILENCE_S)
        self.first.silence.end()
        answer = await pending_call
        self.assertEqual((answer.status, answer.body), (200, b'record of r1'))
        self.assertEqual(other.caller_requests(), [])

    async def test_a_silent_target_is_replaced(self) -> None:
        """A call is answered by another target if the first stays silent."""
        pending_call = await self._call_silent_target()
        await self.deployment.add_service('r2')
        answer = await pending_call
        self.assertEqual((answer.status, answer.body), (200, b'record of r2'))

    async def test_silence_for_ever_ends_at_the_deadline(self) -> None:
        """Guards against an end before the deadline, and against none."""
        answer = await (await self._call_silent_target())
        self.assertEqual(answer.status, 504)
        (line,) = self.deployment.events('request_ended')
        self.assertLessEqual(line['left_s'], 0.01)


class StreamLoopSilenceTest(SilenceWithReplicaTest):
    """The tests with replicas on the event loop of the daemon."""

    loop_factory = StreamLoop
