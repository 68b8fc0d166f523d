"""Tests of calls whose connection breaks or goes silent at any byte."""

from __future__ import annotations

import asyncio
import itertools
import socket
from unittest import mock

from nutmegspoke import outcomes
from nutmegspoke.border import calls, service_client
from nutmegspoke.border.call_run import call_fingerprint
from nutmegspoke.retries.quarantine import SendAlone
from nutmegspoke.standins.faults import FaultOrder
from tests import builders_claims as build
from tests.border import test_calls
from tests.raw_target import RawTarget

_Reason = outcomes.RefusalReason
_PADDING = bytes(400_000)


class RawCase(test_calls.CallCase):
    """A call service before targets that break off."""

    numbers = itertools.count()

    async def raw(self, *faults: str) -> list[RawTarget]:
        """Put targets with these faults into the directory."""
        targets = [RawTarget(fault) for fault in faults]
        for raw in targets:
            server = await raw.start()
            self.addCleanup(server.close)
        self.directory.targets = tuple(
            build.target(f'raw{next(self.numbers):03}', raw.address)
            for raw in targets
        )
        return targets


class UnrepeatableFaultTest(RawCase):
    """The target's journal judges what the caller is told."""

    async def test_broken_after_a_byte_may_have_left(self) -> None:
        """It is unknown, a repeat runs nothing, no other target is asked."""
        for fault in (
            'reset_at_once',
            'reset_mid_body',
            'reset_after_run',
            'silent',
            'half_head',
            'half_body',
            'half_body_cut',
            'no_http',
            'bare_503',
        ):
            for method in ('POST', 'PUT'):
                with self.subTest(fault=fault, method=method):
                    await self._check_unknown(fault, method)

    async def _check_unknown(self, fault: str, method: str) -> None:
        first, second = await self.raw(fault, 'whole')
        request = self.request(
            method=method,
            body=f'{fault}{method}'.encode() + _PADDING,
            progress_timeout_s=0.2,
            idempotency_key=f'{fault}-{method}',
        )
        for _ in range(2):
            told = await self.calls.call(request)
            self.assertIsInstance(told, outcomes.Unknown)
        self.assertEqual(second.run_count, 0)
        self.assertLessEqual(len(first.heads), 1)
        self.assertLessEqual(first.run_count, 1)

    async def test_an_answer_too_late_is_unknown(self) -> None:
        """The route's timeout ends the call, the run stays one."""
        (only,) = await self.raw('silent')
        told = await self.calls.call(self.request(timeout_s=0.2))
        self.assertEqual(told.reason, outcomes.UnknownReason.ANSWER_TIMEOUT)
        self.assertEqual(only.run_count, 1)

    async def test_refused_by_the_target(self) -> None:
        """Only a refusal that says so means not run; another is asked."""
        (only,) = await self.raw('refusal')
        told = await self.calls.call(self.request())
        self.assertEqual(told.reason, _Reason.TARGET_REFUSED)
        self.assertEqual(told.retry_after_s, 7.0)
        self.assertEqual(only.run_count, 0)
        targets = await self.raw('refusal', 'whole')
        told = await self.calls.call(self.request(idempotency_key='k2'))
        self.assertIsInstance(told, outcomes.Completed)
        self.assertEqual([raw.run_count for raw in targets], [0, 1])

    async def test_nobody_listens(self) -> None:
        """No byte left; the key can be used again."""
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            host, port = closed.getsockname()
            self.directory.targets = (build.target('gone', f'{host}:{port}'),)
            told = await self.calls.call(self.request())
        self.assertEqual(told.reason, _Reason.TARGET_UNREACHABLE)
        await self._until_released()
        await self.raw('whole')
        told = await self.calls.call(self.request())
        self.assertIsInstance(told, outcomes.Completed)

    async def test_a_dead_target_blames_nobody_who_comes_late(self) -> None:
        """A suspect whose connection is refused was not in flight there."""
        request = self.request(repeatable=True)
        fingerprint = call_fingerprint(request)
        quarantine = self.parts.quarantine
        quarantine.started(fingerprint, ('other',))
        quarantine.crashed('other')
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            host, port = closed.getsockname()
            self.directory.targets = (build.target('gone', f'{host}:{port}'),)
            told = await self.calls.call(request)
        self.assertEqual(told.reason, _Reason.TARGET_UNREACHABLE)
        self.assertIsInstance(quarantine.check(fingerprint), SendAlone)

    async def _until_released(self) -> None:
        while not any(
            b'released' in row.body for row in self.tables.store.rows.values()
        ):
            await asyncio.sleep(0.01)

    async def test_what_is_found_out_is_told(self) -> None:
        """A target that leaves, is silent or gone gets no more new work."""
        self.fault('leave')
        await self.calls.call(self.request())
        await self.raw('silent')
        await self.calls.call(
            self.request(idempotency_key='k2', progress_timeout_s=0.2),
        )
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            host, port = closed.getsockname()
            self.directory.targets = (build.target('gone', f'{host}:{port}'),)
            await self.calls.call(self.request(idempotency_key='k3'))
        self.assertEqual(
            self.directory.reports,
            ['leaving', 'leaving', 'silent', 'gone'],
        )

    async def test_connection_that_does_not_come_about(self) -> None:
        """The target's host answers no connect; no byte left."""
        with socket.socket() as full:
            full.bind(('127.0.0.1', 0))
            full.listen(0)
            others = [socket.socket() for _ in range(4)]
            for other in others:
                other.setblocking(False)
                other.connect_ex(full.getsockname())
            host, port = full.getsockname()
            self.directory.targets = (build.target('full', f'{host}:{port}'),)
            with mock.patch.object(service_client, 'CONNECT_TIMEOUT_S', 0.1):
                told = await self.calls.call(self.request())
            for other in others:
                other.close()
        self.assertEqual(told.reason, _Reason.TARGET_UNREACHABLE)

    async def test_passed_on_as_it_is(self) -> None:
        """Path and query reach the target unchanged, a redirect the caller."""
        (only,) = await self.raw('redirect')
        path = '/a%2Fb/c%20d?q=%2B+x&q='
        told = await self.calls.call(self.request(path=path))
        self.assertEqual((told.status, only.run_count), (307, 1))
        self.assertIn(f'POST {path} HTTP/1.1'.encode(), only.heads[0])
        for header in (b'Nutmegspoke-Request-Id: r1', b'Idempotency-Key: k1'):
            self.assertIn(header, only.heads[0])

    async def test_a_caller_that_hangs_up_ends_nothing(self) -> None:
        """The run's outcome is kept for the caller's return."""
        self.fault('late', count=1, delay_s=0.1)
        call = asyncio.create_task(self.calls.call(self.request()))
        while not self.runs():
            await asyncio.sleep(0.01)
        call.cancel()
        await self.calls.stop()
        again = await (await self.daemon('d2')).call(self.request())
        self.assertIsInstance(again, outcomes.Completed)
        self.assertTrue(again.replayed)

    async def test_a_stop_that_cannot_wait_keeps_the_outcome(self) -> None:
        """A call that is cut is unknown, for its caller and for repeats."""
        (only,) = await self.raw('silent')
        with mock.patch.object(calls, '_STOP_LIMIT_S', 0.1):
            call = asyncio.create_task(self.calls.call(self.request()))
            while not only.run_count:
                await asyncio.sleep(0.01)
            await self.calls.stop()
        cut = await call
        again = await (await self.daemon('d2')).call(self.request())
        for told in (cut, again):
            self.assertEqual(told.reason, outcomes.UnknownReason.STOP_LIMIT)

    async def test_two_daemons_at_once(self) -> None:
        """Of thirty calls with ten keys at three daemons, ten run."""
        daemons = [await self.daemon(f'e{number}') for number in range(3)]
        told = await asyncio.gather(
            *(
                daemon.call(
                    self.request(
                        idempotency_key=f'k{number}',
                        request_id=f'r{number}',
                    ),
                )
                for number in range(10)
                for daemon in daemons
            ),
        )
        self.assertEqual(self.runs(), 10)
        running = [
            outcome.reason
            for outcome in told
            if isinstance(outcome, outcomes.NotRun)
        ]
        self.assertEqual(set(running) - {_Reason.KEY_RUNNING}, set())


class RepeatableFaultTest(RawCase):
    """Calls that may run more than once."""

    async def test_silent_connection_is_found(self) -> None:
        """A new connection to the same target is tried; it is not blamed."""
        self.directory.targets = self.directory.targets[:1]
        request = self.request(repeatable=True, progress_timeout_s=0.2)
        await self.calls.call(request)
        for number in range(6):
            self.services[0].board.give(FaultOrder(fault='silence'))
            told = await self.calls.call(request)
            self.assertIsInstance(told, outcomes.Completed, number)
        self.assertEqual(self.directory.reports, [])

    async def test_retries_stay_inside_the_budget(self) -> None:
        """While all targets lose answers, calls bring few retries."""
        targets = await self.raw('reset_after_run', 'reset_after_run')
        request = self.request(repeatable=True)
        told = [await self.calls.call(request) for _ in range(60)]
        self.assertEqual({type(each) for each in told}, {outcomes.Unknown})
        runs = sum(raw.run_count for raw in targets)
        self.assertGreater(runs, 60)
        self.assertLessEqual(runs, 60 + 10 + 6)

    async def test_a_target_that_fails_fast_draws_no_traffic(self) -> None:
        """The other serves nearly all calls."""
        bad, good = await self.raw('bare_503', 'whole')
        request = self.request(repeatable=True)
        told = [await self.calls.call(request) for _ in range(50)]
        self.assertEqual({type(each) for each in told}, {outcomes.Completed})
        self.assertEqual(good.run_count, 50)
        self.assertLessEqual(bad.run_count, 8)
