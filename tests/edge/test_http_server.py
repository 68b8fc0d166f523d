"""Tests of the connections of callers: limits, order and aborts."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest
from typing import TYPE_CHECKING

from nutmegspoke.edge.http_server import ConnectionSet, listen
from nutmegspoke.entry_host import CallerLimits

if TYPE_CHECKING:
    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.forwarded import CallerRequest

_LIMITS = CallerLimits(
    max_header_bytes=200,
    max_body_bytes=50,
    header_timeout_s=0.1,
    idle_timeout_s=0.2,
)


class _Echo:
    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.cancelled = 0

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        self.requests.append(request)
        if request.url == b'/wait':
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.url == b'/cut':
            await answer.begin(200, [], None)
            await answer.send(b'half')
            answer.abort()
            return
        await answer.send_complete(200, [], request.body or request.url)


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    """HTTP exchanges over plain sockets."""

    async def asyncSetUp(self) -> None:
        """Start a server with small limits."""
        self.echo = _Echo()
        self.connections = ConnectionSet(self.echo)
        self.connections.limits = _LIMITS
        server = await listen(self.connections.connect, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def test_an_idle_connection_makes_place(self) -> None:
        """Guards against rejected callers while idle connections are open."""
        self.connections.max_open = 1
        idle, idle_writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )
        idle_writer.write(b'GET /a HTTP/1.1\r\n\r\n')
        await idle.readuntil(b'/a')
        answer = await self._send(
            b'GET /b HTTP/1.1\r\nConnection: close\r\n\r\n',
        )
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
        self.assertEqual(await idle.read(), b'')
        self.assertEqual(self.connections.rejected_count, 0)

    async def test_one_too_many_is_turned_away(self) -> None:
        """A connection is closed unread if all others are busy."""
        self.connections.max_open = 1
        _, busy_writer = await asyncio.open_connection('127.0.0.1', self.port)
        busy_writer.write(b'GET /wait HTTP/1.1\r\n\r\n')
        while not self.echo.requests:
            await asyncio.sleep(0.01)
        reader, _ = await asyncio.open_connection('127.0.0.1', self.port)
        self.assertEqual(await reader.read(), b'')
        self.assertEqual(self.connections.rejected_count, 1)
        self.assertEqual(len(self.echo.requests), 1)

    async def _send(self, sent: bytes) -> bytes:
        """Send bytes and return all that is received until the end."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(sent)
        try:
            return await asyncio.wait_for(reader.read(), 10.0)
        finally:
            writer.close()

    async def test_requests_ahead_are_answered_in_order(self) -> None:
        """A caller may pipeline requests."""
        sent = b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
        received = await self._send(sent)
        self.assertLess(received.index(b'/a'), received.index(b'/b'))

    async def test_chunked_bodies(self) -> None:
        """A chunked body is passed to the handler without framing."""
        received = await self._send(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
        )
        self.assertTrue(received.endswith(b'abcde'), received)

    async def test_limits(self) -> None:
        """Too large heads and bodies and invalid requests are refused."""
        cases = (
            (b'GET / HTTP/1.1\r\nA: %s\r\n\r\n' % (b'x' * 300), b'431'),
            (
                b'POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n' + b'x' * 60,
                b'413',
            ),
            (b'\x00\x01\x02\r\n\r\n', b'400'),
            (
                b'POST / HTTP/1.1\r\nContent-Length: 1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                b'400',
            ),
        )
        for sent, status in cases:
            with self.subTest(status):
                received = await self._send(sent)
                self.assertIn(b'HTTP/1.1 ' + status, received)
        self.assertEqual(self.echo.requests, [])

    async def test_slow_and_idle_callers_are_closed(self) -> None:
        """Connections with an incomplete head or no request are closed."""
        self.assertEqual(await self._send(b'GET / HT'), b'')
        self.assertEqual(await self._send(b''), b'')

    async def test_a_cut_answer_has_no_end(self) -> None:
        """The caller can detect that an answer was aborted."""
        with self.assertRaises(ConnectionError):
            received = await self._send(b'GET /cut HTTP/1.1\r\n\r\n')
            self.assertNotIn(b'0\r\n\r\n', received)
            raise ConnectionError

    async def test_a_caller_that_leaves_cancels(self) -> None:
        """The handler is cancelled when its caller disconnects."""
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(b'GET /wait HTTP/1.1\r\n\r\n')
        async with asyncio.timeout(10.0):
            while not self.echo.requests:
                await asyncio.sleep(0.01)
            writer.close()
            while not self.echo.cancelled:
                await asyncio.sleep(0.01)

    async def test_stopping_closes_after_the_answer(self) -> None:
        """Guards against kept connections that delay the end of a stop.

        They took further requests until the end.
        """
        self.connections.is_stopping = True
        received = await self._send(b'GET /a HTTP/1.1\r\n\r\n')
        self.assertIn(b'Connection: close', received)
        self.assertEqual(self.connections.count_busy(), 0)

    async def test_a_longer_idle_timeout_holds_for_open_connections(
        self,
    ) -> None:
        """Guards against a kept connection that closes under a request.

        The timeout in force had become longer, and the caller relied on it.
        """
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(b'GET /a HTTP/1.1\r\n\r\n')
        await reader.readuntil(b'/a')
        (connection,) = self.connections.open
        self.connections.limits = dataclasses.replace(
            _LIMITS, idle_timeout_s=60.0
        )
        await asyncio.sleep(2 * _LIMITS.idle_timeout_s)
        self.assertIn(connection, self.connections.open)
        writer.write(b'GET /b HTTP/1.1\r\n\r\n')
        await reader.readuntil(b'/b')
