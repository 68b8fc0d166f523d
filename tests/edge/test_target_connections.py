"""Tests of the connections to targets: reuse and limits."""

from __future__ import annotations

import asyncio
import socket
import unittest

from nutmegspoke.edge.target_connections import (
    ConnectionLimitError,
    TargetConnection,
    TargetConnections,
)
from tests.edge.stream_loop_case import StreamLoopCase


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await reader.read()
    finally:
        writer.close()


_MEMORY_BYTES = 300_000_000
# Steps of the loop within which a connection is opened.
_MOST_STEPS = 8
_WAIT_S = 20.0


class TargetConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Connections to a target that answers each request with status 200."""

    async def asyncSetUp(self) -> None:
        """Start the target."""
        server = await asyncio.start_server(_serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.connections = TargetConnections(2, _MEMORY_BYTES)

    async def _acquire(
        self, limit: int = 9, *, fresh: bool = True
    ) -> TargetConnection:
        return await self.connections.acquire(
            self.address,
            0.0,
            fresh=fresh,
            max_connections=limit,
        )

    async def test_a_target_gets_no_more_than_its_share(self) -> None:
        """Guards against connections beyond the share of a daemon.

        With many daemons the target would reset them.
        """
        await self._acquire(1)
        with self.assertRaises(ConnectionLimitError):
            await self._acquire(1)

    async def test_all_targets_together(self) -> None:
        """The number of connections to all targets together is limited."""
        await self._acquire()
        await self._acquire()
        with self.assertRaises(ConnectionLimitError):
            await self._acquire()

    async def test_an_idle_connection_gives_way(self) -> None:
        """A new connection replaces the oldest idle one at the limit."""
        first = await self._acquire()
        first.send(b'GET / HTTP/1.1\r\n\r\n', lambda headers: True)
        while first.is_answer_pending():
            await first.next_event()
        self.connections.release(first, 5.0, 0.0)
        second = await self._acquire(1)
        self.assertIsNot(first, second)
        self.assertFalse(first.is_reusable())

    async def test_silent_targets_are_detected(self) -> None:
        """Guards against a host that loses power without closing connections.

        Keepalive probes and a timeout for unacknowledged data detect it.
        """
        connection = await self._acquire()
        opened = connection._transport.get_extra_info('socket')
        self.assertTrue(
            opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        )
        self.assertGreater(
            opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            0,
        )

    async def test_a_closed_connection_is_not_counted(self) -> None:
        """A closed connection stops counting against the limit."""
        first = await self._acquire(1)
        first.close()
        while True:
            try:
                await self._acquire(1)
            except ConnectionLimitError:
                await asyncio.sleep(0.01)
                continue
            break


class DroppedConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """A target that ends idle connections just before they are reused."""

    async def asyncSetUp(self) -> None:
        """Release a connection whose target is a plain socket."""
        listening = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listening.close)
        ip, port = listening.getsockname()
        self.address = f'{ip}:{port}'
        self.connections = TargetConnections(2, _MEMORY_BYTES)
        self.idle = await self._acquire()
        self.peer, _ = listening.accept()
        self.addCleanup(self.peer.close)
        self.idle.send(b'GET / HTTP/1.1\r\n\r\n', lambda headers: True)
        self.peer.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        while self.idle.is_answer_pending():
            await self.idle.next_event()
        self.connections.release(self.idle, 5.0, 0.0)

    async def test_a_connection_that_was_closed(self) -> None:
        """Guards against a request on a connection that its target has closed.

        The loop had not read the end of it yet.
        """
        self.peer.close()
        self.assertIsNot(await self._acquire(), self.idle)

    async def test_a_connection_with_a_late_answer(self) -> None:
        """Guards against a late answer that is taken for the next one."""
        self.peer.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        self.assertIsNot(await self._acquire(), self.idle)

    async def test_a_sound_connection(self) -> None:
        """A connection with nothing to read is reused."""
        self.assertIs(await self._acquire(), self.idle)

    async def _acquire(self) -> TargetConnection:
        return await self.connections.acquire(
            self.address, 0.0, fresh=False, max_connections=9
        )


class StreamLoopDroppedConnectionsTest(StreamLoopCase, DroppedConnectionsTest):
    """The tests of dropped connections on the event loop of the daemon."""


class CancelledOpeningTest(StreamLoopCase):
    """Callers leave while a connection to a target is being opened."""

    async def test_a_cancelled_opening_is_not_counted(self) -> None:
        """Guards against a target that is never called again.

        A connection whose opening was cancelled stayed counted for good, so
        that after some of them the limit was reached without any connection.
        """
        server = await asyncio.start_server(_serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        connections = TargetConnections(2, _MEMORY_BYTES)
        for steps in range(_MOST_STEPS):
            opening = asyncio.create_task(self._open(connections, port))
            for _ in range(steps):
                await asyncio.sleep(0)
            opening.cancel()
            (result,) = await asyncio.gather(opening, return_exceptions=True)
            if isinstance(result, TargetConnection):
                result.close()
            async with asyncio.timeout(_WAIT_S):
                while connections._counts.total:  # noqa: SLF001 -- no other
                    await asyncio.sleep(0)
            (await self._open(connections, port)).close()
            await asyncio.sleep(0)

    async def _open(
        self, connections: TargetConnections, port: int
    ) -> TargetConnection:
        address = f'127.0.0.1:{port}'
        return await connections.acquire(
            address, 0.0, fresh=True, max_connections=2
        )
