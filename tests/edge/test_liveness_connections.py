"""Tests of liveness connections to engines that end them."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from nutmegspoke.border.clock import SystemClock
from nutmegspoke.edge.lifelines import LivenessConnections
from nutmegspoke.edge.view import View
from nutmegspoke.layers import LayerRange
from tests import builders_edge as build
from tests.edge.stream_loop_case import StreamLoopCase
from tests.edge.world import WAIT_S

_ROUNDS = 3


class ResetConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """An engine that resets each connection at once, as it has too many."""

    async def asyncSetUp(self) -> None:
        """Start the engine and watch it."""
        self.accepted = 0
        self.rounds = 0
        self.server = await asyncio.start_server(self._reset, '127.0.0.1', 0)
        self.addCleanup(self.server.close)
        ip, port = self.server.sockets[0].getsockname()[:2]
        self.view = View(build.host())
        self.view.targets.put(
            build.target(
                'x1', address=f'{ip}:{port}', layers=LayerRange(0, 40)
            ),
            1,
        )
        self.log = mock.Mock()
        self.liveness = LivenessConnections(
            self.view, self._count_round, self.log, SystemClock()
        )
        await self.liveness.start()
        self.addAsyncCleanup(self.liveness.stop)

    async def test_a_full_engine_is_left_alone(self) -> None:
        """Guards against connections without a pause to an engine that is full.

        Each one that it reset was replaced at once, thousands a second.
        """
        await self._wait_for_rounds(_ROUNDS)
        self.assertLessEqual(self.accepted, 2 * self.rounds)
        self.log.decided.assert_not_called()

    async def test_a_full_engine_that_ends(self) -> None:
        """An engine that refuses connections has ended, after resets too."""
        await self._wait_for_rounds(1)
        self.server.close()
        async with asyncio.timeout(WAIT_S):
            while not self.log.decided.called:
                await asyncio.sleep(0.01)
        (event,) = self.log.decided.call_args.args
        self.assertEqual(event, 'engine_ended')

    async def _wait_for_rounds(self, count: int) -> None:
        async with asyncio.timeout(WAIT_S):
            while self.rounds < count or not self.accepted:
                await asyncio.sleep(0.01)

    def _count_round(self, now_s: float) -> bool:
        self.rounds += 1
        return True

    async def _reset(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        writer.transport.abort()


class StreamLoopResetConnectionsTest(StreamLoopCase, ResetConnectionsTest):
    """The tests of reset connections on the event loop of the daemon."""
