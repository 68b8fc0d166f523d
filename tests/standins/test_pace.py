"""Tests of the simulated accelerator of the engine stand-in."""

from __future__ import annotations

import asyncio
import time
import unittest

from nutmegspoke.standins.pace import SimulatedAccelerator


class PaceTest(unittest.IsolatedAsyncioTestCase):
    """Steps run one at a time, by priority and then by arrival."""

    def setUp(self) -> None:
        """Create a fast accelerator."""
        self.accelerator = SimulatedAccelerator(10_000.0, 0.0, time.monotonic)
        self.finished: list[str] = []

    async def test_a_higher_priority_goes_first(self) -> None:
        """The running step is not interrupted; the urgent one runs next."""
        await asyncio.gather(
            self._run_step('running', 0),
            self._run_step('first', 0),
            self._run_step('second', 0),
            self._run_step('urgent', 1),
        )
        self.assertEqual(
            self.finished, ['running', 'urgent', 'first', 'second']
        )

    async def test_a_cancelled_step_is_left_out(self) -> None:
        """The steps after a cancelled one still run."""
        running = asyncio.create_task(self._run_step('running', 0))
        cancelled = asyncio.create_task(self._run_step('gone', 0))
        last = asyncio.create_task(self._run_step('last', 0))
        await asyncio.sleep(0)
        cancelled.cancel()
        await asyncio.gather(running, last)
        self.assertEqual(self.finished, ['running', 'last'])

    async def _run_step(self, name: str, priority: int) -> None:
        await self.accelerator.work(10, 0, priority)
        self.finished.append(name)
