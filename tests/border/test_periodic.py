"""Tests of periodic tasks."""

from __future__ import annotations

import asyncio
import unittest

from nutmegspoke.border.periodic import Periodic

_LONG_S = 60.0
# Long, for busy machines.
_WAIT_S = 10.0
# Steps of the loop in which a woken pause ends.
_STEPS = 6


async def _do_nothing() -> None:
    """Run without any effect."""


class PeriodicTest(unittest.IsolatedAsyncioTestCase):
    """The end of periodic tasks."""

    async def test_a_stop_right_after_a_wake(self) -> None:
        """Guards against a stop that never ends, as the cancellation is lost.

        Python's ``wait_for`` drops it if its awaitable has just ended.
        """
        for steps in range(_STEPS):
            with self.subTest(steps=steps):
                periodic = Periodic('test', _LONG_S, _do_nothing)
                periodic.start()
                await asyncio.sleep(0.01)
                periodic.wake()
                for _ in range(steps):
                    await asyncio.sleep(0)
                stopping = asyncio.create_task(periodic.stop())
                await asyncio.wait({stopping}, timeout=_WAIT_S)
                self.assertTrue(stopping.done())
                await stopping
