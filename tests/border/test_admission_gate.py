"""Tests of the admission gate: waiting, refusals, requeues, cancellation."""

from __future__ import annotations

import asyncio
import unittest

from nutmegspoke.border.admission_gate import AdmissionGate
from nutmegspoke.outcomes import RefusalReason
from nutmegspoke.requests import CallRequest
from nutmegspoke.tables.rows import PoolKind, PoolRow, RouteRow, TeamShare


class _Clock:
    def __init__(self) -> None:
        self.time_s = 100.0

    def now_s(self) -> float:
        return self.time_s

    def wall_s(self) -> float:
        return self.time_s


class _FixedCapacity:
    def __init__(self, max_running: int) -> None:
        self.max_running = max_running

    def capacity(self, pool: PoolRow) -> int:
        return self.max_running


def _request(name: str, team: str = 'press', deadline_s: float = 1e6):
    shares = (TeamShare('press', 1.0, 10), TeamShare('limited', 1.0, 1))
    return CallRequest(
        request_id=name,
        team=team,
        route=RouteRow('roster', '/roster', 'records', teams=shares),
        pool=PoolRow('records', PoolKind.SERVICE),
        revision=1,
        method='GET',
        path='/roster',
        body=b'',
        content_type='',
        idempotency_key='',
        received_s=0.0,
        deadline_s=deadline_s,
    )


class AdmissionGateTest(unittest.IsolatedAsyncioTestCase):
    """The gate applies the decisions of the queue."""

    def setUp(self) -> None:
        """Create a gate that lets one request run at a time."""
        self.clock = _Clock()
        self.capacity = _FixedCapacity(1)
        self.gate = AdmissionGate(self.clock, self.capacity, seed=1)

    async def asyncTearDown(self) -> None:
        """Stop the timers."""
        await self.gate.stop()

    async def test_waits_until_a_request_ends(self) -> None:
        """The second request starts when the first one ends."""
        self.assertIsNone(await self.gate.enter(_request('a')))
        waiting = asyncio.create_task(self.gate.enter(_request('b')))
        await asyncio.sleep(0)
        self.assertEqual(self.gate.waiting_count('records'), 1)
        self.gate.leave(_request('a'), is_served=True)
        self.assertIsNone(await waiting)

    async def test_refuses_without_targets(self) -> None:
        """A pool without targets refuses at once, with a time to retry."""
        self.capacity.max_running = 0
        refusal = await self.gate.enter(_request('a'))
        self.assertEqual(refusal.reason, RefusalReason.NO_TARGET)
        self.assertGreater(refusal.retry_after_s, 0)

    async def test_refuses_a_waiter_whose_deadline_passes(self) -> None:
        """The timer refuses a waiting request at its deadline."""
        await self.gate.enter(_request('a'))
        late = _request('b', deadline_s=self.clock.time_s + 1)
        waiting = asyncio.create_task(self.gate.enter(late))
        await asyncio.sleep(0)
        self.clock.time_s += 1
        refusal = await waiting
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE)

    async def test_cancelled_request_blocks_no_other(self) -> None:
        """A request cancelled while waiting or running blocks no other."""
        await self.gate.enter(_request('a'))
        waiting = asyncio.create_task(self.gate.enter(_request('b')))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.gate.waiting_count('records'), 0)
        self.gate.leave(_request('a'), is_served=False)
        self.assertIsNone(await self.gate.enter(_request('c')))

    async def test_requeued_request_is_admitted_again(self) -> None:
        """A requeued request is admitted again after a pause."""
        await self.gate.enter(_request('a'))
        again = asyncio.create_task(self.gate.requeue(_request('a')))
        await asyncio.sleep(0)
        self.assertFalse(again.done())
        self.clock.time_s += 0.1
        self.assertIsNone(await again)
        self.gate.leave(_request('a'), is_served=True)

    async def test_a_team_at_its_limit_waits_while_others_pass(self) -> None:
        """A limit in the row of the route holds back that team only."""
        self.capacity.max_running = 5
        await self.gate.enter(_request('a', 'limited'))
        held = asyncio.create_task(self.gate.enter(_request('b', 'limited')))
        await asyncio.sleep(0)
        self.assertIsNone(await self.gate.enter(_request('c')))
        self.assertFalse(held.done())
        self.gate.leave(_request('a', 'limited'), is_served=True)
        self.assertIsNone(await held)
