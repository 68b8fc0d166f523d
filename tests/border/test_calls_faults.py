"""Tests of calls whose connection breaks or stops answering."""

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

_LONG_TIMEOUT_S = 60.0

_Reason = outcomes.RefusalReason
# Makes a body of which a target can read half before it resets the connection.
_PADDING = bytes(400_000)


class FaultyTargetCase(test_calls.CallCase):
    """Base class with a call service and faulty targets."""

    numbers = itertools.count()

    async def start_targets(self, *faults: str) -> list[RawTarget]:
        """Start a target for each fault and put them into the directory."""
        targets = [RawTarget(fault) for fault in faults]
        for raw_target in targets:
            server = await raw_target.start()
            self.addCleanup(server.close)
        self.directory.targets = tuple(
            build.target(f'raw{next(self.numbers):03}', raw_target.address)
            for raw_target in targets
        )
        return targets


class UnrepeatableFaultTest(FaultyTargetCase):
    """Outcomes of at-most-once calls, compared with what the targets ran."""

    async def test_broken_after_a_byte_may_have_left(self) -> None:
        """The outcome is unknown, and neither a retry nor another target runs."""
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
            'odd_status',
        ):
            for method in ('POST', 'PUT'):
                with self.subTest(fault=fault, method=method):
                    await self._check_unknown(fault, method)

    async def _check_unknown(self, fault: str, method: str) -> None:
        first, second = await self.start_targets(fault, 'whole')
        request = self.request(
            method=method,
            body=f'{fault}{method}'.encode() + _PADDING,
            progress_timeout_s=0.2,
            idempotency_key=f'{fault}-{method}',
        )
        for _ in range(2):
            outcome = await self.calls.call(request)
            self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(second.run_count, 0)
        self.assertLessEqual(len(first.heads), 1)
        self.assertLessEqual(first.run_count, 1)

    async def test_an_answer_too_late_is_unknown(self) -> None:
        """The call ends at the timeout of its route and is not sent again."""
        (only,) = await self.start_targets('silent')
        outcome = await self.calls.call(self.request(timeout_s=0.2))
        self.assertEqual(outcome.reason, outcomes.UnknownReason.ANSWER_TIMEOUT)
        self.assertEqual(only.run_count, 1)

    async def test_refused_by_the_target(self) -> None:
        """A refusal that says that the call did not run is retried elsewhere.

        With no other target, the refusal is the outcome.
        """
        (only,) = await self.start_targets('refusal')
        outcome = await self.calls.call(self.request())
        self.assertEqual(outcome.reason, _Reason.TARGET_REFUSED)
        self.assertEqual(outcome.retry_after_s, 7.0)
        self.assertEqual(only.run_count, 0)
        targets = await self.start_targets('refusal', 'whole')
        outcome = await self.calls.call(self.request(idempotency_key='k2'))
        self.assertIsInstance(outcome, outcomes.Completed)
        self.assertEqual(
            [raw_target.run_count for raw_target in targets], [0, 1]
        )

    async def test_nobody_listens(self) -> None:
        """A refused connection means not run, and the key can be reused."""
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            host, port = closed.getsockname()
            self.directory.targets = (build.target('gone', f'{host}:{port}'),)
            outcome = await self.calls.call(self.request())
        self.assertEqual(outcome.reason, _Reason.TARGET_UNREACHABLE)
        await self._until_released()
        await self.start_targets('whole')
        outcome = await self.calls.call(self.request())
        self.assertIsInstance(outcome, outcomes.Completed)

    async def test_suspect_is_not_quarantined_for_refused_connection(
        self,
    ) -> None:
        """A suspect is not quarantined because its connection is refused.

        The request is a suspect of an earlier crash. It was not in flight on
        the target that refused the connection.
        """
        request = self.request(repeatable=True)
        fingerprint = call_fingerprint(request)
        quarantine = self.call_services.quarantine
        quarantine.started(fingerprint, ('other',))
        quarantine.crashed('other')
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            host, port = closed.getsockname()
            self.directory.targets = (build.target('gone', f'{host}:{port}'),)
            outcome = await self.calls.call(request)
        self.assertEqual(outcome.reason, _Reason.TARGET_UNREACHABLE)
        self.assertIsInstance(quarantine.check(fingerprint), SendAlone)

    async def _until_released(self) -> None:
        while not any(
            b'released' in row.body for row in self.tables.store.rows.values()
        ):
            await asyncio.sleep(0.01)

    async def test_target_faults_are_reported(self) -> None:
        """Leaving, silent and unreachable targets are reported."""
        self.fault('leave')
        await self.calls.call(self.request())
        await self.start_targets('silent')
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

    async def test_connection_timeout(self) -> None:
        """A timeout of the connection attempt means that no byte was sent."""
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
                outcome = await self.calls.call(self.request())
            for other in others:
                other.close()
        self.assertEqual(outcome.reason, _Reason.TARGET_UNREACHABLE)

    async def test_passed_on_as_it_is(self) -> None:
        """Path and query are sent unchanged, and a redirect is returned."""
        (only,) = await self.start_targets('redirect')
        path = '/a%2Fb/c%20d?q=%2B+x&q='
        outcome = await self.calls.call(self.request(path=path))
        self.assertEqual((outcome.status, only.run_count), (307, 1))
        self.assertIn(f'POST {path} HTTP/1.1'.encode(), only.heads[0])
        for header in (b'Nutmegspoke-Request-Id: r1', b'Idempotency-Key: k1'):
            self.assertIn(header, only.heads[0])

    async def test_a_caller_that_hangs_up_ends_nothing(self) -> None:
        """The outcome is stored though the caller disconnected."""
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
        """A call cancelled at the stop is unknown, also when it is retried."""
        (only,) = await self.start_targets('silent')
        with mock.patch.object(calls, '_STOP_LIMIT_S', 0.1):
            call = asyncio.create_task(self.calls.call(self.request()))
            while not only.run_count:
                await asyncio.sleep(0.01)
            await self.calls.stop()
        cancelled = await call
        again = await (await self.daemon('d2')).call(self.request())
        for outcome in (cancelled, again):
            self.assertEqual(outcome.reason, outcomes.UnknownReason.STOP_LIMIT)

    async def test_three_daemons_at_once(self) -> None:
        """Of thirty calls with ten keys on three daemons, ten run."""
        daemons = [await self.daemon(f'e{number}') for number in range(3)]
        results = await asyncio.gather(
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
            for outcome in results
            if isinstance(outcome, outcomes.NotRun)
        ]
        self.assertEqual(set(running) - {_Reason.KEY_RUNNING}, set())


class RepeatableFaultTest(FaultyTargetCase):
    """Calls that may run more than once."""

    async def test_silent_connection_is_found(self) -> None:
        """After a silent connection the same target is tried on a new one."""
        self.directory.targets = self.directory.targets[:1]
        request = self.request(repeatable=True, progress_timeout_s=0.2)
        await self.calls.call(request)
        for number in range(6):
            self.services[0].fault_injector.activate(
                FaultOrder(fault='silence')
            )
            outcome = await self.calls.call(request)
            self.assertIsInstance(outcome, outcomes.Completed, number)
        self.assertEqual(self.directory.reports, [])

    async def test_retries_stay_inside_the_budget(self) -> None:
        """Retries stay within the budget while all targets lose answers."""
        targets = await self.start_targets('reset_after_run', 'reset_after_run')
        # All calls share the deadline, which must not pass on a busy machine.
        request = self.request(repeatable=True, timeout_s=_LONG_TIMEOUT_S)
        results = [await self.calls.call(request) for _ in range(60)]
        self.assertEqual({type(each) for each in results}, {outcomes.Unknown})
        runs = sum(raw_target.run_count for raw_target in targets)
        self.assertGreater(runs, 60)
        self.assertLessEqual(runs, 60 + 10 + 6)

    async def test_a_target_that_fails_fast_draws_no_traffic(self) -> None:
        """The other target serves every call."""
        bad, good = await self.start_targets('bare_503', 'whole')
        request = self.request(repeatable=True)
        results = [await self.calls.call(request) for _ in range(50)]
        self.assertEqual({type(each) for each in results}, {outcomes.Completed})
        self.assertEqual(good.run_count, 50)
        self.assertLessEqual(bad.run_count, 8)
