"""Tests of the platform's clients over real connections."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import test_utils

from nutmegspoke.border.platform_client import Connections, PlatformClient
from nutmegspoke.metadata_store import Committed, InDoubt, Transaction, Write
from nutmegspoke.standins.faults import FaultOrder
from nutmegspoke.standins.platform import Platform

# Longer than a busy host delays the loop while the pool is filled: a read that
# times out in the setup would already make the client use new connections.
_TIMEOUT_S = 1.5
_POOLED = 8


class SilentPlatformTest(unittest.IsolatedAsyncioTestCase):
    """Pooled connections become unresponsive while new ones work."""

    async def asyncSetUp(self) -> None:
        """Fill the pool with connections, then make all of them hang."""
        self.platform = Platform(lambda: 0.0)
        server = test_utils.TestServer(self.platform.app())
        await server.start_server()
        self.addAsyncCleanup(server.close)
        connections = Connections(
            await self._session(force_close=False),
            await self._session(force_close=True),
        )
        url = str(server.make_url('/'))
        self.client = PlatformClient.from_url(url, connections, _TIMEOUT_S)
        order = FaultOrder('stall', count=_POOLED, delay_s=0.05)
        self.platform.fault_injector.activate(order)
        await asyncio.gather(*(self.client.tables.read('a') for _ in range(8)))
        self.platform.fault_injector.activate(FaultOrder('silence'))

    async def _session(self, *, force_close: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(force_close=force_close)
        session = aiohttp.ClientSession(connector=connector)
        self.addAsyncCleanup(session.close)
        return session

    async def test_reads_go_on_over_new_connections(self) -> None:
        """A read is retried; later reads don't use the old pool."""
        for _ in range(_POOLED):
            row = await self.client.tables.read('a')
            self.assertEqual(row.version, 0)

    async def test_a_write_is_in_doubt_once(self) -> None:
        """A write isn't retried, but the next one uses a new connection."""
        transaction = Transaction((), (Write('a', b'b'),))
        first = await self.client.tables.commit(transaction)
        self.assertIsInstance(first, InDoubt)
        second = await self.client.tables.commit(transaction)
        self.assertIsInstance(second, Committed)
