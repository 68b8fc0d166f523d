"""Tests of calls to stand-ins of plain services in this process."""

from __future__ import annotations

import unittest
from typing import Any

from aiohttp import web

from nutmegspoke import outcomes
from nutmegspoke.border.call_parts import CallServices
from nutmegspoke.border.calls import CallService
from nutmegspoke.border.clock import SystemClock
from nutmegspoke.standins.faults import FaultOrder
from nutmegspoke.standins.service import RecordService
from tests import builders_claims as build

_REFUSED = '127.0.0.1:1'
_Reason = outcomes.RefusalReason


async def serve(service: RecordService) -> tuple[web.AppRunner, str]:
    """Serve a stand-in on a free port."""
    runner = web.AppRunner(service.app(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f'{host}:{port}'


class CallCase(unittest.IsolatedAsyncioTestCase):
    """Base class with a call service and two plain services."""

    async def asyncSetUp(self) -> None:
        """Start the services and a call service."""
        self.clock = SystemClock()
        self.tables = build.FakeTables()
        self.services = [RecordService('s1'), RecordService('s2')]
        addresses = [await self._serve(service) for service in self.services]
        self.directory = build.FakeDirectory(
            [
                build.target(f's{number}', address)
                for number, address in enumerate(addresses, 1)
            ],
        )
        self.call_services = CallServices.new(self.clock, self.directory)
        self.calls = await self.daemon('d1', self.call_services)

    async def _serve(self, service: RecordService) -> str:
        runner, address = await serve(service)
        self.addAsyncCleanup(runner.cleanup)
        return address

    async def daemon(
        self,
        name: str,
        call_services: CallServices | None = None,
    ) -> CallService:
        """Start a call service with a name of its own."""
        calls = CallService(
            clock=self.clock,
            tables=self.tables,
            targets=self.directory,
            daemon=name,
            call_services=call_services,
        )
        await calls.start()
        self.addAsyncCleanup(calls.stop)
        return calls

    def request(self, **changes: Any) -> Any:
        """Build a call that is received now."""
        return build.call_request(now_s=self.clock.now_s(), **changes)

    def fault(self, fault: str, **fields: Any) -> None:
        """Inject a fault into both services."""
        for service in self.services:
            service.fault_injector.activate(FaultOrder(fault=fault, **fields))

    def runs(self) -> int:
        """Count the calls that ran."""
        return sum(len(service.journal) for service in self.services)


class UnrepeatableCallTest(CallCase):
    """Calls that must run at most once."""

    async def test_a_repeat_gets_the_stored_answer(self) -> None:
        """A second daemon replays the stored answer of the first."""
        first = await self.calls.call(self.request())
        self.assertIsInstance(first, outcomes.Completed)
        await self.calls.stop()
        other = await self.daemon('d2')
        again = await other.call(self.request())
        self.assertEqual((again.body, again.replayed), (first.body, True))
        self.assertEqual(self.runs(), 1)

    async def test_needs_a_key(self) -> None:
        """A call without an idempotency key does not run."""
        outcome = await self.calls.call(self.request(idempotency_key=''))
        self.assertEqual(outcome.reason, _Reason.KEY_REQUIRED)
        self.assertEqual(self.runs(), 0)

    async def test_no_claim_no_call(self) -> None:
        """A call does not run while the store is unavailable."""
        self.tables.is_down = True
        outcome = await self.calls.call(self.request())
        self.assertEqual(outcome.reason, _Reason.STORE_UNAVAILABLE)
        self.assertIsNotNone(outcome.retry_after_s)
        self.assertEqual(self.runs(), 0)

    async def test_a_lost_answer_is_unknown_and_stays_so(self) -> None:
        """A call whose answer is lost runs once; its outcome stays unknown."""
        for method in ('POST', 'PUT', 'DELETE'):
            with self.subTest(method=method):
                before = self.runs()
                self.fault('lose_answer', count=1)
                request = self.request(method=method, idempotency_key=method)
                results = [await self.calls.call(request) for _ in range(3)]
                self.assertEqual(
                    {type(outcome) for outcome in results},
                    {outcomes.Unknown},
                )
                self.assertEqual(self.runs() - before, 1)

    async def test_another_target_after_a_refusal(self) -> None:
        """A third target is tried after a refusal and a refused connection."""
        self.directory.targets = (
            build.target('s0', _REFUSED),
            *self.directory.targets,
        )
        self.services[0].fault_injector.activate(
            FaultOrder(fault='refuse', count=1)
        )
        outcome = await self.calls.call(self.request())
        self.assertIsInstance(outcome, outcomes.Completed)
        self.assertEqual(self.runs(), 1)

    async def test_all_refuse(self) -> None:
        """A call that all targets refuse did not run; its key can be reused."""
        self.fault('refuse', count=1)
        outcome = await self.calls.call(self.request())
        self.assertEqual(outcome.reason, _Reason.TARGET_REFUSED)
        self.assertEqual(self.runs(), 0)
        await self.calls.stop()
        other = await self.daemon('d2')
        outcome = await other.call(self.request())
        self.assertIsInstance(outcome, outcomes.Completed)

    async def test_claim_too_old_at_the_first_byte(self) -> None:
        """A daemon that was frozen after its claim does not send the call."""
        clock = build.FakeClock(self.clock.now_s())
        self.clock = clock
        frozen = await self.daemon('d3')
        wait = self.directory.usable

        def freeze(pool: str, now_s: float) -> Any:
            clock.present_s += 11.0
            return wait(pool, now_s)

        self.directory.usable = freeze
        outcome = await frozen.call(self.request(timeout_s=60.0))
        self.assertEqual(outcome.reason, _Reason.CLAIM_STALE)
        self.assertEqual(self.runs(), 0)


class RepeatableCallTest(CallCase):
    """Calls that may run more than once."""

    async def test_another_target_after_a_lost_answer(self) -> None:
        """After a lost answer the call is retried on another target."""
        self.services[0].fault_injector.activate(
            FaultOrder(fault='lose_answer', count=1)
        )
        outcome = await self.calls.call(self.request(repeatable=True))
        self.assertIsInstance(outcome, outcomes.Completed)
        self.assertEqual(self.runs(), 2)

    async def test_no_target(self) -> None:
        """A call is refused if the pool has no target."""
        self.directory.targets = ()
        outcome = await self.calls.call(self.request(repeatable=True))
        self.assertEqual(outcome.reason, _Reason.NO_TARGET)
