"""Tests of the pace of the engine stand-in."""

from __future__ import annotations

import asyncio
import time
import unittest

from nutmegspoke.standins.pace import SimulatedAccelerator


class PaceTest(unittest.IsolatedAsyncioTestCase):
    """Steps run one by one, by priority and then by arrival."""

    def setUp(self) -> None:
        """Create a fast accelerator."""
        self.accelerator = SimulatedAccelerator(10_000.0, 0.0, time.monotonic)
        self.ended: list[str] = []

    async def test_a_higher_priority_goes_first(self) -> None:
        """The running step is not interrupted; then priority decides."""
        await asyncio.gather(
            self._step('running', 0),
            self._step('first', 0),
            self._step('second', 0),
            self._step('urgent', 1),
        )
        self.assertEqual(self.ended, ['running', 'urgent', 'first', 'second'])

    async def test_a_cancelled_step_is_left_out(self) -> None:
        """Those behind it still run."""
        running = asyncio.create_task(self._step('running', 0))
        gone = asyncio.create_task(self._step('gone', 0))
        last = asyncio.create_task(self._step('last', 0))
        await asyncio.sleep(0)
        gone.cancel()
        await asyncio.gather(running, last)
        self.assertEqual(self.ended, ['running', 'last'])

    async def _step(self, name: str, priority: int) -> None:
        await self.accelerator.work(10, 0, priority)
        self.ended.append(name)
