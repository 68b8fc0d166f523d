"""Tests of copies of slow calls, and of failures around them."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING, Any

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.entry_host import HedgingLimits, RecoveryBounds
from nutmegspoke.membership.load_news import LoadUpdate
from nutmegspoke.retries.target_faults import Fault
from tests import builders_edge as build
from tests.edge.test_daemon import DaemonCase

if TYPE_CHECKING:
    from nutmegspoke.edge.view import View
    from tests.edge.world import CallResult

_SHARE = 0.2
# Calls that allow a copy at that share.
_CALLS = 8
_TIMEOUT_MS = 15_000
_FATAL = b'fatal'
_NO_RETRIES = RecoveryBounds(retry_share=0.0, retry_slack=0.0)
# Less than two retries for each of the daemons that are assumed.
_FEW_RETRIES = RecoveryBounds(retry_share=0.0, retry_slack=27.0)
_PAUSE_S = 30.0
# For a failure to be read before the other target answers.
_FAILURE_S = 0.2
# Far less than the first target has time.
_AT_ONCE_S = 5.0
# Longer than a copy waits.
_LONG_S = 0.4


def _routes(kind: str = 'idempotent') -> list[dict[str, Any]]:
    drafts, calls = json.loads(build.wire_configuration(weights=(1, 0)))[
        'routes'
    ]
    changes = {
        'route_kind': kind,
        'max_attempts': 2,
        'timeout_ms': _TIMEOUT_MS,
    }
    return [drafts, {**calls, **changes}]


class HedgedCallsCase(DaemonCase):
    """Base class with two targets, of which the first becomes silent."""

    async def asyncSetUp(self) -> None:
        """Allow copies, and make as many calls as allow one."""
        await super().asyncSetUp()
        await self._serve('idempotent', version=8)
        self.first = await self.deployment.add_service('r1')
        self.second = await self.deployment.add_service('r2')
        self._set_host(hedging=HedgingLimits(_SHARE))
        await self._call_often()

    async def _serve(self, kind: str, version: int) -> None:
        await self.deployment.serve_tables(
            version=version, routes=_routes(kind)
        )

    def _set_host(self, **changes: Any) -> None:
        self.deployment.described_host = dataclasses.replace(
            self.deployment.host, **changes
        )
        self.deployment.daemon.reload()

    async def _call_often(self) -> None:
        for _ in range(_CALLS):
            answer = await self.deployment.call('/calls/1')
            self.assertEqual(answer.status, 200)
        self.first.received.clear()

    def _begin_call(self, body: bytes = b'') -> asyncio.Task[CallResult]:
        """Make a call; the first target is silent."""
        self.first.silence.begin()
        return asyncio.create_task(self.deployment.call('/calls/1', body=body))

    async def _begin_hedged_call(self) -> asyncio.Task[CallResult]:
        """Make a call of which both targets have a copy, and are silent."""
        self.second.silence.begin()
        call = self._begin_call()
        await self.deployment.until(
            lambda: self._counts() == (1, 1),
        )
        return call

    def _counts(self) -> tuple[int, int]:
        return (
            len(self.first.caller_requests()),
            len(self.second.caller_requests()),
        )

    def _outcomes(self) -> list[str]:
        ended = self.deployment.events('hedge_ended')
        return [line['outcome'] for line in ended]

    async def _hedges(self, outcome: str) -> int:
        """Return the copies with an outcome, as the metrics count them."""
        for line in (await self.deployment.metrics()).splitlines():
            name, _, count = line.rpartition(' ')
            if 'hedges_total{' in name and f'"{outcome}"' in name:
                return int(float(count))
        return 0

    async def _assert_withheld(self, reason: str) -> None:
        """Check that a call gets no copy, for a reason that is counted."""
        sent = len(self.second.caller_requests())
        call = self._begin_call()
        async with asyncio.timeout(20):
            while not await self._hedges(f'withheld_{reason}'):
                await asyncio.sleep(0.02)
        self.first.silence.end()
        answer = await call
        self.assertEqual(answer.headers['Response-Seal'], 'seal-r1')
        self.assertEqual(len(self.second.caller_requests()), sent)
        self.assertEqual(self.deployment.events('hedge_sent'), [])


class HedgedCallsTest(HedgedCallsCase):
    """A copy is sent, and one of the two is answered first."""

    async def test_the_copy_answers_first(self) -> None:
        """Guards against callers that wait for a silent target."""
        answer = await self._begin_call()
        self.assertEqual((answer.status, answer.body), (200, b'record of r2'))
        self.assertEqual(answer.headers['Response-Seal'], 'seal-r2')
        self.assertEqual(self._outcomes(), ['won'])
        (line,) = self.deployment.events('hedge_sent')
        self.assertEqual((line['target'], line['copy_target']), ('r1', 'r2'))
        self.assertEqual(await self._hedges('sent'), 1)
        self.assertEqual(await self._hedges('won'), 1)

    async def test_the_first_answers_late(self) -> None:
        """Guards against work that goes on, and answers of an earlier call.

        The answer must not wait for the first target, either.
        """
        call = self._begin_call()
        is_answered = await self.deployment.is_within(_AT_ONCE_S, call.done)
        self.assertTrue(is_answered)
        before = self.first.disconnect_count
        self.first.silence.end()
        await self.deployment.until(
            lambda: self.first.disconnect_count > before
        )
        answer = await self.deployment.call('/calls/1')
        name = answer.headers['Response-Seal'].removeprefix('seal-')
        self.assertEqual(answer.body, b'record of %s' % name.encode())
        self.assertTrue(answer.is_whole)

    async def test_the_first_answers_before_the_copy(self) -> None:
        """Guards against a copy that goes on after the call is answered."""
        call = await self._begin_hedged_call()
        self.first.silence.end()
        answer = await call
        self.assertEqual(answer.headers['Response-Seal'], 'seal-r1')
        self.assertEqual(self._outcomes(), ['lost'])
        before = self.second.disconnect_count
        self.second.silence.end()
        await self.deployment.until(
            lambda: self.second.disconnect_count > before
        )

    async def test_both_answer_at_once(self) -> None:
        """Guards against an answer that is joined from two, or sent twice."""
        call = await self._begin_hedged_call()
        self.first.silence.end()
        self.second.silence.end()
        answer = await call
        name = answer.headers['Response-Seal'].removeprefix('seal-')
        self.assertEqual(answer.body, b'record of %s' % name.encode())
        self.assertEqual(len(self._outcomes()), 1)
        self.assertEqual((await self.deployment.call('/calls/1')).status, 200)

    async def test_all_memory_is_given_back(self) -> None:
        """Guards against memory of the answer that was not forwarded."""
        call = await self._begin_hedged_call()
        self.second.silence.end()
        await call
        memory = self.deployment.daemon._connections.answer_memory  # noqa: SLF001 -- shown at ticks only
        await self.deployment.until(lambda: memory.held_bytes == 0)


class HedgeFailuresTest(HedgedCallsCase):
    """One of the two targets, or the caller, fails."""

    async def test_the_target_of_the_copy_dies(self) -> None:
        """Guards against a call that fails with its copy."""
        call = await self._begin_hedged_call()
        await self.second.crash()
        self.second.reset_connections()
        await self.deployment.until(
            lambda: bool(self.deployment.events('target_crashed'))
        )
        self.first.silence.end()
        answer = await call
        self.assertEqual(answer.headers['Response-Seal'], 'seal-r1')

    async def test_the_first_target_dies(self) -> None:
        """Guards against a copy that ends with the first."""
        call = await self._begin_hedged_call()
        await self.first.crash()
        self.first.reset_connections()
        await self.deployment.until(
            lambda: bool(self.deployment.events('target_crashed'))
        )
        self.second.silence.end()
        answer = await call
        self.assertEqual(answer.headers['Response-Seal'], 'seal-r2')

    async def test_the_answer_to_the_copy_is_lost(self) -> None:
        """Guards against half an answer, beside a whole one."""
        self.second.faults.omits_length = True
        self.second.faults.resets_answers = True
        call = await self._begin_hedged_call()
        self.second.silence.end()
        await asyncio.sleep(_FAILURE_S)
        self.first.silence.end()
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, b'record of r1'))

    async def test_an_error_of_the_copy(self) -> None:
        """Guards against an error that is forwarded before the answer."""
        self.second.faults.failures = 1
        call = await self._begin_hedged_call()
        self.second.silence.end()
        await self.deployment.until(lambda: not self.second.faults.failures)
        await asyncio.sleep(_FAILURE_S)
        self.first.silence.end()
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, b'record of r1'))

    async def test_both_fail(self) -> None:
        """Guards against a third run, or a refusal of what may have run."""
        third = await self.deployment.add_service('r3')
        call = await self._begin_hedged_call()
        self.first.reset_connections()
        self.second.reset_connections()
        answer = await call
        self.assertEqual(answer.status, 502)
        self.assertEqual(third.caller_requests(), [])
        self.assertEqual(self._outcomes(), ['failed'])

    async def test_the_host_stops(self) -> None:
        """Guards against a call that is cut as its host stops as planned."""
        call = await self._begin_hedged_call()
        stopping = asyncio.create_task(self.deployment.daemon.stop())
        await self.deployment.until(
            lambda: bool(self.deployment.events('stopping'))
        )
        self.second.silence.end()
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, b'record of r2'))
        await stopping

    async def test_the_caller_leaves(self) -> None:
        """Guards against work at either target for nobody."""
        call = await self._begin_hedged_call()
        before = (self.first.disconnect_count, self.second.disconnect_count)
        call.cancel()
        await self.deployment.until(
            lambda: any(
                line['outcome'] == 'caller_left'
                for line in self.deployment.events('request_ended')
            )
        )
        self.first.silence.end()
        self.second.silence.end()
        await self.deployment.until(
            lambda: (
                self.first.disconnect_count > before[0]
                and self.second.disconnect_count > before[1]
            )
        )


class SharedLimitTest(HedgedCallsCase):
    """Another daemon has sent copies."""

    async def test_copies_of_another_daemon(self) -> None:
        """Guards against a limit that each daemon has for itself."""
        await self.deployment.add_daemon('host-9')
        copied = {'records': 100}
        updates = self.deployment.daemon.view.load_updates
        update = LoadUpdate('host-9', 1, 1, {}, copied=copied)
        self.deployment.send_update(update)
        await self.deployment.until(
            lambda: bool(updates.others(SystemClock().now_s()))
        )
        await self._assert_withheld('share')

    async def test_own_copies_are_told(self) -> None:
        """Guards against copies that other daemons do not know of."""
        await self._begin_call()
        contents = self.deployment.daemon.view.retry_budgets.copies
        told = contents.outgoing(SystemClock().now_s())
        self.assertEqual(told, {'records': 1})


class WithheldCopiesTest(HedgedCallsCase):
    """Copies are withheld, and the reason is counted."""

    def _view(self) -> View:
        return self.deployment.daemon.view

    def _now_s(self) -> float:
        return SystemClock().now_s()

    async def test_the_limit_is_reached(self) -> None:
        """Guards against more copies than the operator permits."""
        self._set_host(hedging=HedgingLimits(0.01))
        await self._assert_withheld('share')

    async def test_the_retry_budget_is_spent(self) -> None:
        """Guards against copies beside the retries of all hosts."""
        self._set_host(
            hedging=HedgingLimits(_SHARE),
            bounds=_NO_RETRIES,
        )
        await self._assert_withheld('budget')

    async def test_few_retries_are_left(self) -> None:
        """Guards against failed requests whose retries were spent on copies."""
        self._set_host(hedging=HedgingLimits(_SHARE), bounds=_FEW_RETRIES)
        budget = self._view().retry_budgets.for_pool('records')
        daemons = self._view().count_budget_daemons(self._now_s())
        self.assertGreaterEqual(budget.available(daemons, self._now_s()), 1)
        await self._assert_withheld('budget')

    async def test_a_target_asks_for_a_pause(self) -> None:
        """Guards against copies in a pool that asks for less."""
        await self.deployment.add_service('r3')
        self._view().conditions.pauses.begin('r3', _PAUSE_S, self._now_s())
        await self._assert_withheld('paused')

    async def test_a_target_names_a_limit(self) -> None:
        """Guards against copies in a pool that names what it takes."""
        await self.deployment.add_service('r3')
        view = self._view()
        entry = view.targets.find('r3')
        view.conditions.limits.record_answer(entry, 100.0, self._now_s())
        await self._assert_withheld('limited')

    async def test_no_other_target(self) -> None:
        """Guards against a copy to the silent target itself."""
        self._view().faults.record_fault('r2', Fault.UNREACHABLE, self._now_s())
        await self._assert_withheld('no_target')

    async def test_a_call_that_may_have_crashed_a_target(self) -> None:
        """Guards against a copy that takes a request to one more target."""
        third = await self.deployment.add_service('r0')
        third.faults.fatal_body = _FATAL
        bounds = self.deployment.host.bounds
        self._set_host(bounds=_NO_RETRIES)
        answer = await self.deployment.call('/calls/1', body=_FATAL)
        self.assertEqual(answer.status, 502)
        self._set_host(bounds=bounds, hedging=HedgingLimits(_SHARE))
        sent = len(self.second.caller_requests())
        call = self._begin_call(_FATAL)
        async with asyncio.timeout(20):
            while not await self._hedges('withheld_may_crash'):
                await asyncio.sleep(0.02)
        self.first.silence.end()
        await call
        self.assertEqual(len(self.second.caller_requests()), sent)

    async def test_a_call_that_may_run_once(self) -> None:
        """Guards against a second run of what may run once at most."""
        await self._serve('non_idempotent', version=9)
        call = self._begin_call()
        await self.deployment.until(lambda: self._counts()[0] == 1)
        await asyncio.sleep(_LONG_S)
        self.first.silence.end()
        self.assertEqual((await call).headers['Response-Seal'], 'seal-r1')
        self.assertEqual(self._counts(), (1, 0))

    async def test_none_without_the_setting(self) -> None:
        """Guards against copies in deployments that have not asked for them."""
        self.assertEqual(self.deployment.host.hedging, HedgingLimits(0.0))
        self._set_host(hedging=HedgingLimits(0.0))
        call = self._begin_call()
        await self.deployment.until(lambda: self._counts()[0] == 1)
        await asyncio.sleep(_LONG_S)
        self.first.silence.end()
        self.assertEqual((await call).headers['Response-Seal'], 'seal-r1')
        self.assertEqual(self._counts(), (1, 0))
        self.assertNotIn('hedges_total{', await self.deployment.metrics())
