"""Tests of every refusal reason: a refused request does not run."""

from __future__ import annotations

import asyncio
import inspect
import unittest
from typing import Any

from nutmegspoke import outcomes
from nutmegspoke.bench import processes
from nutmegspoke.bench.deployment import Daemon, Deployment
from nutmegspoke.border.call_run import call_fingerprint
from nutmegspoke.border.calls import CallService
from nutmegspoke.claims.decider import ClaimLimits
from nutmegspoke.claims.share import ShareSettings
from nutmegspoke.standins.faults import FaultOrder
from nutmegspoke.tables.rows import PoolKind, PoolRow, RouteRow, TeamShare
from tests import deployments
from tests.border import test_calls
from tests.scenarios.stage import Exchange

_Reason = outcomes.RefusalReason
_HERE = 'tests.border.test_refusals'
_DAEMON = f'{_HERE}.DaemonRefusalsTest'
_CALLS = f'{_HERE}.CallRefusalsTest'
_CALLERS = 'tests.border.test_callers.CallersPortTest'
_UNREPEATABLE = 'tests.border.test_calls.UnrepeatableCallTest'
_FAULTS = 'tests.border.test_calls_faults.UnrepeatableFaultTest'
_HOLDER = 'tests.claims.test_decider.OtherHolderTest'

CASES = {
    _Reason.BAD_REQUEST: f'{_CALLERS}.test_bad_drafts',
    _Reason.BODY_TOO_LARGE: f'{_DAEMON}.test_refused_on_arrival',
    _Reason.HEADER_TOO_LARGE: f'{_CALLERS}.test_header_too_large',
    _Reason.NO_ROUTE: f'{_DAEMON}.test_refused_on_arrival',
    _Reason.UNKNOWN_MODEL: f'{_CALLERS}.test_bad_drafts',
    _Reason.METHOD_NOT_ALLOWED: f'{_DAEMON}.test_refused_on_arrival',
    _Reason.UNKNOWN_TEAM: f'{_DAEMON}.test_refused_on_arrival',
    _Reason.KEY_REQUIRED: f'{_DAEMON}.test_refused_on_arrival',
    _Reason.KEY_REUSED: f'{_HOLDER}.test_key_with_another_body',
    _Reason.KEY_RUNNING: f'{_HOLDER}.test_running_then_unknown',
    _Reason.QUEUE_FULL: f'{_CALLS}.test_queue_full',
    _Reason.TEAM_LIMIT: f'{_CALLS}.test_team_limit',
    _Reason.DEADLINE: f'{_CALLS}.test_deadline',
    _Reason.NO_TARGET: f'{_CALLS}.test_no_target',
    _Reason.TARGET_REFUSED: f'{_FAULTS}.test_refused_by_the_target',
    _Reason.TARGET_UNREACHABLE: f'{_FAULTS}.test_nobody_listens',
    _Reason.RETRY_BUDGET: f'{_CALLS}.test_retry_budget',
    _Reason.QUARANTINED: f'{_CALLS}.test_quarantined',
    _Reason.STORE_UNAVAILABLE: f'{_UNREPEATABLE}.test_no_claim_no_call',
    _Reason.CLAIM_STALE: f'{_UNREPEATABLE}.test_claim_too_old_at_the_first_byte',
    _Reason.CLAIM_LIMIT: f'{_CALLS}.test_claim_limit',
    _Reason.NOT_READY: f'{_DAEMON}.test_not_ready',
    _Reason.STOPPING: f'{_HERE}.StoppingTest.test_refused_while_it_drains',
}


class CasesTest(unittest.TestCase):
    """Tests that ``CASES`` covers every refusal reason."""

    def test_each_reason_has_a_case_that_names_it(self) -> None:
        """Every reason has a test, and the test names the reason."""
        self.assertEqual(set(CASES), set(_Reason))
        for reason, name in CASES.items():
            with self.subTest(reason=reason):
                (case,) = unittest.defaultTestLoader.loadTestsFromName(name)
                method = getattr(case, case.id().rpartition('.')[2])
                source = inspect.getsource(method).lower()
                self.assertIn(reason.value, source)


class StoppingTest(unittest.TestCase):
    """A daemon that stops finishes running requests and refuses new ones."""

    def test_refused_while_it_drains(self) -> None:
        """The reason is ``stopping``, and refused requests did not run."""
        with Deployment() as deployment:
            deployments.start_small(deployment)
            daemon = deployment.daemons['daemon-0']
            body = deployments.draft_body(max_tokens=3_000)
            running = Exchange(
                daemon.url,
                'POST',
                '/v1/completions',
                body,
                {},
            )
            processes.wait_until(lambda: len(running.texts) > 0)
            daemon.process.popen.terminate()
            answers = []
            processes.wait_until(lambda: _is_refused(daemon, answers))
            self.assertEqual(answers[-1].executed, 'no')
            self.assertEqual(answers[-1].reason, 'stopping')
            self.assertIn('Retry-After', answers[-1].headers)
            runs = len(deployments.journal(deployment, '/mailings'))
            served = [answer for answer in answers if answer.status == 200]
            self.assertEqual(runs, len(served))
            daemon.process.kill()


def _is_refused(daemon: Daemon, answers: list[deployments.Answer]) -> bool:
    key = {'Idempotency-Key': f'key-{len(answers)}'}
    answers.append(deployments.call(daemon, 'POST', '/mailings', '', key))
    return answers[-1].status != 200


class DaemonRefusalsTest(unittest.TestCase):
    """Refusals of a running daemon before it calls any target."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start one small deployment for all tests."""
        cls.deployment = Deployment()
        cls.enterClassContext(cls.deployment)
        deployments.start_small(cls.deployment)
        deployments.apply(
            cls.deployment,
            f'{deployments.TABLES}\n[route badges]\npath = /badges\n'
            'pool = records\nteams = press max_in_flight=4\n'
            'max_body_bytes = 1024\n',
        )
        cls.daemon = cls.deployment.daemons['daemon-0']
        processes.wait_until(
            lambda: cls.deployment.status(cls.daemon)['revision'] == 2,
        )

    def test_refused_on_arrival(self) -> None:
        """Each refusal says that nothing ran, and the journal is empty."""
        press = {'Nutmegspoke-Team': 'press'}
        for method, path, body, headers, status, reason in (
            ('POST', '/nothing', '', {}, 404, 'no_route'),
            ('GET', '/v1/completions', '', {}, 405, 'method_not_allowed'),
            ('POST', '/badges', '', {}, 403, 'unknown_team'),
            ('POST', '/badges', 'x' * 2000, press, 413, 'body_too_large'),
            ('POST', '/mailings', '', {}, 400, 'key_required'),
        ):
            with self.subTest(reason=reason):
                answer = deployments.call(
                    self.daemon, method, path, body, headers
                )
                self.assertEqual(answer.reason, reason)
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.executed, 'no')
                self.assertNotIn('Retry-After', answer.headers)
                self.assertEqual(deployments.journal(self.deployment, path), [])

    def test_not_ready(self) -> None:
        """A daemon without tables answers not_ready with a time to retry."""
        self.deployment.platform.inject_fault('down', path='/tables')
        try:
            late = self.deployment.start_daemon('daemon-late')
            answer = _first_answer(late)
        finally:
            self.deployment.platform.inject_fault('clear')
        self.assertEqual(answer.reason, 'not_ready')
        self.assertEqual((answer.status, answer.executed), (503, 'no'))
        self.assertIn('Retry-After', answer.headers)
        self.assertEqual(deployments.journal(self.deployment, '/roster/n'), [])


def _first_answer(daemon: Any) -> deployments.Answer:
    answers = []

    def is_answered() -> bool:
        try:
            answers.append(deployments.call(daemon, 'POST', '/roster/n'))
        except OSError:
            return False
        return True

    processes.wait_until(is_answered)
    return answers[0]


class CallRefusalsTest(test_calls.CallCase):
    """Refusals after the match with a route and before the call is sent."""

    def assert_not_run(
        self, outcome: outcomes.Outcome, reason: _Reason
    ) -> None:
        """Check the reason, the time to retry, and that the call did not run."""
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(outcome.reason, reason)
        self.assertGreater(outcome.retry_after_s, 0)
        self.assertNotIn('refused', self.bodies())

    def bodies(self) -> set[str]:
        """Return the bodies that ran."""
        return {
            entry.body for service in self.services for entry in service.journal
        }

    async def send_three_calls(self, **changes: Any) -> list[outcomes.Outcome]:
        """Send three calls at once to a target that answers late."""
        self.directory.targets = self.directory.targets[:1]
        self.fault('late', delay_s=0.2)
        requests = [
            self.request(
                request_id=f'r{number}',
                idempotency_key=f'k{number}',
                body=b'refused' if number == 2 else b'served',
                **changes,
            )
            for number in range(3)
        ]
        return await asyncio.gather(*map(self.calls.call, requests))

    async def test_queue_full(self) -> None:
        """One runs, one waits, the third is refused: QUEUE_FULL."""
        pool = PoolRow('mail', PoolKind.SERVICE, max_in_flight=1, max_queue=1)
        results = await self.send_three_calls(pool=pool)
        self.assert_not_run(results[2], _Reason.QUEUE_FULL)

    async def test_team_limit(self) -> None:
        """A call held back by the limit of its team gets TEAM_LIMIT."""
        share = TeamShare('press', weight=1.0, max_in_flight=1)
        route = RouteRow('send', '/send', 'mail', teams=(share,))
        self.fault('late', delay_s=1.5)
        first = asyncio.create_task(
            self.calls.call(self.request(route=route)),
        )
        while not self.runs():
            await asyncio.sleep(0.01)
        second = self.request(
            route=route,
            request_id='r2',
            idempotency_key='k2',
            body=b'refused',
            deadline_s=self.clock.now_s() + 0.2,
        )
        outcome = await self.calls.call(second)
        self.assert_not_run(outcome, _Reason.TEAM_LIMIT)
        self.assertIsInstance(await first, outcomes.Completed)

    async def test_deadline(self) -> None:
        """A call whose deadline has passed is refused."""
        late_s = self.clock.now_s() - 1.0
        request = self.request(deadline_s=late_s, body=b'refused')
        outcome = await self.calls.call(request)
        self.assert_not_run(outcome, _Reason.DEADLINE)

    async def test_no_target(self) -> None:
        """Without a usable target a call gets NO_TARGET, repeatable or not."""
        self.directory.targets = ()
        for repeatable in (True, False):
            request = self.request(repeatable=repeatable, body=b'refused')
            outcome = await self.calls.call(request)
            self.assert_not_run(outcome, _Reason.NO_TARGET)

    async def test_retry_budget(self) -> None:
        """Refused by one target while no retry is left: RETRY_BUDGET."""
        self.fault('refuse')
        route = RouteRow(
            'send', '/send', 'mail', repeatable=True, retry_budget_share=0.0
        )
        request = self.request(route=route, body=b'refused')
        results = [await self.calls.call(request) for _ in range(20)]
        self.assert_not_run(results[-1], _Reason.RETRY_BUDGET)

    async def test_quarantined(self) -> None:
        """A request that crashed two targets is refused: QUARANTINED."""
        request = self.request(body=b'refused')
        fingerprint = call_fingerprint(request)
        for target in ('t1', 't2'):
            self.call_services.quarantine.started(fingerprint, (target,))
            self.call_services.quarantine.crashed(target)
        outcome = await self.calls.call(request)
        self.assert_not_run(outcome, _Reason.QUARANTINED)
        self.assertEqual(self.tables.store.rows, {})

    async def test_claim_limit(self) -> None:
        """A claim over the daemon's share of writes gets CLAIM_LIMIT."""
        limits = ClaimLimits(write_limit=ShareSettings(writes_per_s=1.0))
        calls = CallService(
            clock=self.clock,
            tables=self.tables,
            targets=self.directory,
            daemon='d9',
            limits=limits,
        )
        await calls.start()
        self.addAsyncCleanup(calls.stop)
        first = await calls.call(self.request())
        self.assertIsInstance(first, outcomes.Completed)
        request = self.request(idempotency_key='k2', body=b'refused')
        outcome = await calls.call(request)
        self.assert_not_run(outcome, _Reason.CLAIM_LIMIT)

    async def test_a_refusal_stays_true(self) -> None:
        """A refused call does not run later either."""
        self.fault('refuse', count=1)
        outcome = await self.calls.call(self.request(body=b'refused'))
        self.assert_not_run(outcome, _Reason.TARGET_REFUSED)
        self.services[0].fault_injector.activate(FaultOrder(fault='clear'))
        await self.calls.stop()
        self.assertNotIn('refused', self.bodies())
