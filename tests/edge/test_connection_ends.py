"""Tests of how the connections of callers and to targets end."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from nutmegspoke.edge.caller_connection import _MAX_PIPELINED
from nutmegspoke.edge.http_server import (
    ConnectionSet,
    listen,
    stop_listening,
)
from nutmegspoke.entry_host import CallerLimits
from tests.edge.stream_loop_case import StreamLoopCase
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import WAIT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.edge.caller_connection import HttpConnection
    from nutmegspoke.forwarded import CallerRequest

_CLOSE = b'Connection: close\r\n'
# Fits into the write buffer of a connection.
_LONG_ANSWER_BYTES = 60_000
_BUFFER_BYTES = 4_096
_ASKING_HEAD = (
    b'POST /a HTTP/1.1\r\nExpect: 100-Continue\r\n'
    b'Content-Length: 4\r\n%s\r\n' % _CLOSE
)


class _HeldAnswers:
    """Handler that echoes; it holds answers below ``/held`` back.

    Their heads are sent at once and their bodies after ``released`` is set.
    """

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.released = asyncio.Event()
        self.body = b''
        self.ended = 0

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        self.requests.append(request)
        await answer.begin(200, [], None)
        if request.url.startswith(b'/held'):
            await self.released.wait()
        await answer.send(request.body or self.body or request.url)
        await answer.end()
        self.ended += 1


class CallerCase(unittest.IsolatedAsyncioTestCase):
    """Base class that starts a server with a handler that holds answers."""

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.handler = _HeldAnswers()
        self.connections = ConnectionSet(self.handler)
        self.connections.limits = CallerLimits(max_body_bytes=1_000)
        self.server = await listen(self.connections.connect, '127.0.0.1', 0)
        self.addCleanup(self.server.close)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection as a caller."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_all(self, reader: asyncio.StreamReader) -> bytes:
        """Return what the server sends until it closes the connection."""
        return await asyncio.wait_for(reader.read(), WAIT_S)

    async def until(self, predicate: Callable[[], object]) -> None:
        """Wait until a predicate returns a true value."""
        async with asyncio.timeout(WAIT_S):
            while not predicate():
                await asyncio.sleep(0.01)


class PipelinedRequestsTest(CallerCase):
    """Each request that was read is answered before its connection closes."""

    async def test_a_request_behind_an_unannounced_close(self) -> None:
        """Guards against a request dropped behind an answer begun before a stop.

        The answer did not announce the end of the connection, so the caller
        sent its next request on it.
        """
        reader, writer = await self.connect()
        writer.write(b'GET /held HTTP/1.1\r\n\r\n')
        await self.until(lambda: self.handler.requests)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'GET /next HTTP/1.1\r\n\r\n')
        (connection,) = self.connections.open
        await self.until(lambda: connection._pipelined)
        self.connections.is_stopping = True
        self.handler.released.set()
        received = await self.read_all(reader)
        self.assertIn(b'/next', received)
        self.assertIn(_CLOSE, received)

    async def test_a_partial_request_behind_an_unannounced_close(self) -> None:
        """Guards against a connection closed while a request is being read."""
        reader, writer = await self.connect()
        writer.write(b'GET /held HTTP/1.1\r\n\r\nGET /ne')
        (connection,) = await self._wait_for_partial_requests()
        self.connections.is_stopping = True
        self.handler.released.set()
        await reader.readuntil(b'0\r\n\r\n')
        await self.until(lambda: connection._task is None)
        writer.write(b'xt HTTP/1.1\r\n\r\n')
        self.assertIn(b'/next', await self.read_all(reader))

    async def _wait_for_partial_requests(self) -> list[HttpConnection]:
        """Return the connections, once all read and answer a request."""
        await self.until(lambda: self.handler.requests)
        await self.until(
            lambda: all(
                connection._reader.is_reading
                for connection in self.connections.open
            )
        )
        return list(self.connections.open)

    async def test_a_request_after_an_unannounced_close(self) -> None:
        """Guards against a kept connection closed without an announcement.

        The caller's next request crossed the end of the connection.
        """
        reader, writer = await self.connect()
        writer.write(b'GET /held HTTP/1.1\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        self.connections.is_stopping = True
        self.handler.released.set()
        await reader.readuntil(b'0\r\n\r\n')
        await self.until(lambda: not self.connections.count_busy())
        writer.write(b'GET /next HTTP/1.1\r\n\r\n')
        received = await self.read_all(reader)
        self.assertIn(b'/next', received)
        self.assertIn(_CLOSE, received)

    async def test_requests_read_together_while_stopping(self) -> None:
        """Guards against a close announced before the last request read."""
        self.connections.is_stopping = True
        reader, writer = await self.connect()
        writer.write(b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n')
        received = await self.read_all(reader)
        self.assertIn(b'/b', received)
        self.assertEqual(received.count(_CLOSE), 1)

    async def test_the_close_of_a_later_request(self) -> None:
        """Guards against ``Connection: close`` applied to an earlier request.

        The connection closed after the first answer, without the second.
        """
        reader, writer = await self.connect()
        writer.write(
            b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n%s\r\n' % _CLOSE
        )
        received = await self.read_all(reader)
        self.assertIn(b'/b', received)
        self.assertEqual(received.count(_CLOSE), 1)


class StreamLoopPipelinedRequestsTest(StreamLoopCase, PipelinedRequestsTest):
    """The tests of pipelined requests on the event loop of the daemon."""


class InvalidBytesTest(CallerCase):
    """Invalid bytes behind a request don't cost its answer."""

    async def test_invalid_bytes_behind_a_request(self) -> None:
        """Guards against a lost answer to the request before invalid bytes."""
        received = await self._release_after(
            b'GET /held HTTP/1.1\r\n\r\n\x00\x01\r\n\r\n'
        )
        self.assertIn(b'/held', received)
        self.assertEqual(received.count(b'HTTP/1.1 400'), 1)

    async def test_a_too_large_request_behind_another(self) -> None:
        """Guards against a lost answer to the request before a too large one."""
        received = await self._release_after(
            b'GET /held HTTP/1.1\r\n\r\n'
            b'POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n' + b'x' * 2_000
        )
        self.assertIn(b'/held', received)
        self.assertEqual(received.count(b'HTTP/1.1 413'), 1)

    async def test_bytes_behind_the_last_request(self) -> None:
        """Guards against a lost answer to a request with ``close``.

        Bytes that follow it are an error of the parser.
        """
        received = await self._release_after(
            b'GET /held HTTP/1.1\r\n%s\r\nGET /a HTTP/1.1\r\n\r\n' % _CLOSE
        )
        self.assertIn(b'/held', received)
        self.assertNotIn(b'400', received)

    async def test_too_many_requests_at_once(self) -> None:
        """Guards against lost answers if a caller pipelines too many requests."""
        received = await self._release_after(
            b'GET /held HTTP/1.1\r\n\r\n' + b'GET /a HTTP/1.1\r\n\r\n' * 40
        )
        self.assertIn(b'/held', received)
        self.assertEqual(received.count(b'/a'), _MAX_PIPELINED)
        self.assertEqual(received.count(b'HTTP/1.1 400'), 1)

    async def _release_after(self, sent: bytes) -> bytes:
        """Return what is received if the answer is released after all is read."""
        reader, writer = await self.connect()
        writer.write(sent)
        await self.until(lambda: self.handler.requests)
        self.handler.released.set()
        return await self.read_all(reader)


class StreamLoopInvalidBytesTest(StreamLoopCase, InvalidBytesTest):
    """The tests of invalid bytes on the event loop of the daemon."""


class ProtocolOffersTest(CallerCase):
    """Offers of a caller that the server declines don't cost an answer."""

    async def test_an_upgrade_is_ignored(self) -> None:
        """Guards against a dropped request of a caller that offers HTTP/2.

        Its body was lost and its connection closed while it was in progress.
        """
        received = await self._exchange(
            b'POST /held HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\n'
            b'Upgrade: h2c\r\nContent-Length: 4\r\n\r\nbody'
            b'POST /b HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
            b'GET /c HTTP/1.1\r\n%s\r\n' % _CLOSE
        )
        self.assertEqual(received.count(b'HTTP/1.1 200'), 3)
        bodies = [request.body for request in self.handler.requests]
        self.assertEqual(bodies, [b'body', b'abc', b''])

    async def test_an_upgrade_in_pieces(self) -> None:
        """The body may arrive later than the head."""
        reader, writer = await self.connect()
        writer.write(
            b'POST /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'
            b'Content-Length: 4\r\n\r\nbo'
        )
        await self.until(
            lambda: any(
                connection.is_busy for connection in self.connections.open
            )
        )
        writer.write(b'dyGET /c HTTP/1.1\r\n%s\r\n' % _CLOSE)
        received = await self.read_all(reader)
        self.assertEqual(received.count(b'HTTP/1.1 200'), 2)
        self.assertEqual(self.handler.requests[0].body, b'body')

    async def test_a_tunnel_is_refused(self) -> None:
        """Guards against a handler that is cancelled by the bytes of a tunnel."""
        received = await self._exchange(
            b'CONNECT other:80 HTTP/1.1\r\nHost: other\r\n\r\nbytes'
        )
        self.assertIn(b'HTTP/1.1 400', received)
        self.assertEqual(self.handler.requests, [])

    async def _exchange(self, sent: bytes) -> bytes:
        reader, writer = await self.connect()
        writer.write(sent)
        self.handler.released.set()
        return await self.read_all(reader)


class StreamLoopProtocolOffersTest(StreamLoopCase, ProtocolOffersTest):
    """The tests of declined offers on the event loop of the daemon."""


class AwaitedBodiesTest(CallerCase):
    """Callers that wait for leave to send their body."""

    async def test_a_caller_that_asks_first(self) -> None:
        """Guards against a caller that waits for leave to send until a timeout.

        Its connection was closed without an answer.
        """
        reader, writer = await self.connect()
        writer.write(_ASKING_HEAD)
        interim = await self._read_head(reader)
        self.assertEqual(interim, b'HTTP/1.1 100 Continue\r\n\r\n')
        writer.write(b'body')
        self.assertIn(b'body', await self.read_all(reader))

    async def test_a_caller_that_asks_behind_an_answer(self) -> None:
        """The leave is not sent within the answer to an earlier request."""
        reader, writer = await self.connect()
        writer.write(b'GET /held HTTP/1.1\r\n\r\n' + _ASKING_HEAD)
        await self.until(lambda: self.handler.requests)
        self.handler.released.set()
        answer = await asyncio.wait_for(
            reader.readuntil(b'\r\n0\r\n\r\n'), WAIT_S
        )
        self.assertNotIn(b'100 Continue', answer)
        self.assertIn(b'100 Continue', await self._read_head(reader))
        writer.write(b'body')
        self.assertIn(b'body', await self.read_all(reader))

    async def test_a_body_that_came_unasked(self) -> None:
        """No leave is given if the body is there."""
        reader, writer = await self.connect()
        writer.write(_ASKING_HEAD + b'body')
        received = await self.read_all(reader)
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    async def _read_head(self, reader: asyncio.StreamReader) -> bytes:
        return await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), WAIT_S)


class StreamLoopAwaitedBodiesTest(StreamLoopCase, AwaitedBodiesTest):
    """The tests of callers that ask first on the event loop of the daemon."""


class ClosedAnswersTest(CallerCase):
    """The last answer on a connection reaches its caller."""

    async def test_a_refusal_of_a_request_that_is_still_sent(self) -> None:
        """Guards against a refusal lost by a reset, as its request goes on.

        A connection that is closed with unread bytes is reset, and the caller
        discards what it has not read yet.
        """
        reader, writer = await self.connect()
        body = b'x' * 4_000_000
        writer.write(b'POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n')
        writer.write(body)
        async with asyncio.timeout(WAIT_S):
            await writer.drain()
        self.assertIn(b'HTTP/1.1 413', await self.read_all(reader))

    async def test_an_answer_with_close_to_a_caller_that_sends_on(self) -> None:
        """Guards against a complete answer lost by a reset."""
        reader, writer = await self.connect()
        writer.write(b'GET /a HTTP/1.1\r\n%s\r\n' % _CLOSE)
        await self.until(lambda: self.handler.requests)
        writer.write(b'x' * 4_000_000)
        async with asyncio.timeout(WAIT_S):
            await writer.drain()
        self.assertIn(b'/a', await self.read_all(reader))


class StreamLoopClosedAnswersTest(StreamLoopCase, ClosedAnswersTest):
    """The tests of last answers on the event loop of the daemon."""


class UnsentAnswersTest(CallerCase):
    """Answers of which a caller has not read all yet."""

    async def test_an_unsent_answer_is_busy(self) -> None:
        """Guards against a stop that cuts a complete answer.

        The rest of it was in the write buffer, and the stop took the connection
        for unused and aborted it.
        """
        reader, writer = await self._send_unread_request()
        await self.until(lambda: self._unsent_bytes())
        self.assertEqual(self.connections.count_busy(), 1)
        received = await self.read_all(reader)
        self.assertEqual(received.count(b'y'), _LONG_ANSWER_BYTES)
        writer.close()
        await self.until(lambda: not self.connections.count_busy())

    async def test_an_unsent_answer_outlasts_the_idle_timeout(self) -> None:
        """Guards against an answer that is cut as its caller reads slowly.

        Its connection was kept, so the idle timeout began behind the answer.
        """
        self.connections.limits = CallerLimits(idle_timeout_s=0.05)
        reader, _ = await self._send_unread_request(b'')
        (connection,) = self.connections.open
        await self.until(lambda: connection._close_cause)
        received = await self.read_all(reader)
        self.assertEqual(received.count(b'y'), _LONG_ANSWER_BYTES)

    async def test_an_unsent_answer_keeps_its_place(self) -> None:
        """Guards against more open connections than the limit.

        A connection that was closing with unsent bytes was closed once more to
        make a place, for each new one.
        """
        await self._send_unread_request()
        await self.until(lambda: self._unsent_bytes())
        self.connections.max_open = 1
        for rejected_count in (1, 2, 3):
            await self.connect()
            await self.until(
                lambda: (
                    len(self.connections.open) > 1
                    or self.connections.rejected_count == rejected_count
                )
            )
            self.assertEqual(len(self.connections.open), 1)

    async def _send_unread_request(
        self,
        headers: bytes = _CLOSE,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request whose answer fits into no buffer of the kernel."""
        reader, writer = await self._connect_with_small_buffer()
        (connection,) = self.connections.open
        assert connection._transport is not None
        opened = connection._transport.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
        self.handler.body = b'y' * _LONG_ANSWER_BYTES
        writer.write(b'GET /a HTTP/1.1\r\n%s\r\n' % headers)
        await self.until(lambda: self.handler.ended)
        return reader, writer

    async def _connect_with_small_buffer(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        opened = socket.socket()
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(opened, self.address)
        reader, writer = await asyncio.open_connection(
            sock=opened, limit=_BUFFER_BYTES
        )
        self.addCleanup(writer.close)
        await self.until(lambda: self.connections.open)
        return reader, writer

    def _unsent_bytes(self) -> int:
        (connection,) = self.connections.open
        assert connection._transport is not None
        return connection._transport.get_write_buffer_size()


class StreamLoopUnsentAnswersTest(StreamLoopCase, UnsentAnswersTest):
    """The tests of unsent answers on the event loop of the daemon."""


class UnreadRequestsTest(CallerCase):
    """Requests that wait in the kernel when their connection is closed."""

    async def asyncSetUp(self) -> None:
        """Open a connection that has carried one request."""
        await super().asyncSetUp()
        self.reader, self.writer = await self.connect()
        self.writer.write(b'GET /a HTTP/1.1\r\n\r\n')
        await self.reader.readuntil(b'\r\n0\r\n\r\n')
        await self.until(lambda: not self.connections.count_busy())

    async def test_a_stop(self) -> None:
        """Guards against a stop that closes a connection with a request.

        The request had arrived, but the loop had not read it yet.
        """
        self._send_unread()
        self.connections.is_stopping = True
        self.connections.close_idle()
        self.assertEqual(self.connections.count_busy(), 1)
        self.assertIn(b'HTTP/1.1 503', await self.read_all(self.reader))

    async def test_invalid_bytes_behind_a_refusal(self) -> None:
        """Guards against bytes written behind the end of a connection."""
        loop = asyncio.get_running_loop()
        errors: list[object] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        self.connections.close_idle()
        for rest in (b'\x00\x01\r\n\r\n', _ASKING_HEAD):
            reader, writer = await self.connect()
            writer.write(b'GET /b HTTP/1.1\r\n\r\n' + rest)
            received = await self.read_all(reader)
            self.assertTrue(received.startswith(b'HTTP/1.1 503'), received)
            self.assertEqual(received.count(b'HTTP/1.1'), 1)
        self.assertEqual(errors, [])

    async def test_a_stop_behind_an_answer(self) -> None:
        """Guards against requests that are begun and cut late in a stop.

        They came behind an answer that was begun before the stop and did not
        announce the close.
        """
        self.writer.write(b'GET /held HTTP/1.1\r\n\r\n')
        await self.reader.readuntil(b'\r\n\r\n')
        self.connections.is_stopping = True
        self.connections.close_idle()
        self.handler.released.set()
        self._send_unread()
        received = await self.read_all(self.reader)
        self.assertLess(
            received.index(b'/held'), received.index(b'HTTP/1.1 503')
        )
        self.assertEqual(len(self.handler.requests), 2)

    async def test_a_new_connection(self) -> None:
        """Guards against a new connection that takes the place of a request."""
        self._send_unread()
        self.connections.max_open = 1
        self.assertFalse(self.connections.make_capacity())
        self.assertIn(b'/b', await self.read_all(self.reader))

    def _send_unread(self) -> None:
        """Send a request without giving the loop a chance to read it."""
        opened = self.writer.get_extra_info('socket')
        os.write(opened.fileno(), b'GET /b HTTP/1.1\r\n%s\r\n' % _CLOSE)


class StreamLoopUnreadRequestsTest(StreamLoopCase, UnreadRequestsTest):
    """The tests of unread requests on the event loop of the daemon."""


class NewConnectionsTest(CallerCase):
    """New connections whose first request has not been read at a stop."""

    async def test_connections_that_wait_to_be_accepted(self) -> None:
        """Guards against a request that is reset with the listening socket."""
        # A blocking socket, so that the loop can't accept the connection.
        opened = socket.create_connection(self.address)
        opened.sendall(b'GET /a HTTP/1.1\r\n\r\n')
        self.connections.is_stopping = True
        await stop_listening(self.server, self.connections.connect)
        self.connections.close_idle()
        reader, writer = await asyncio.open_connection(sock=opened)
        self.addCleanup(writer.close)
        received = await self.read_all(reader)
        self.assertRegex(received, b'HTTP/1.1 (200|503) ')
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()

    async def test_a_request_that_is_on_its_way(self) -> None:
        """Guards against a new connection that is closed as an idle one."""
        reader, writer = await self.connect()
        await self.until(lambda: self.connections.open)
        self.connections.is_stopping = True
        self.connections.close_idle()
        self.assertEqual(self.connections.count_busy(), 1)
        writer.write(b'GET /a HTTP/1.1\r\n\r\n')
        self.assertIn(b'HTTP/1.1 503', await self.read_all(reader))

    async def test_a_connection_without_a_request(self) -> None:
        """A new connection without a request does not hold up a stop."""
        reader, _ = await self.connect()
        await self.until(lambda: self.connections.open)
        self.connections.close_idle()
        self.assertEqual(await self.read_all(reader), b'')
        self.assertEqual(self.connections.count_busy(), 0)


class StreamLoopNewConnectionsTest(StreamLoopCase, NewConnectionsTest):
    """The tests of new connections on the event loop of the daemon."""


class HeldStopTest(DaemonCase):
    """A stop while parts of the daemon wait for the store."""

    async def test_requests_end_in_time(self) -> None:
        """Guards against requests accepted late in a stop, which it then cuts.

        The stop waited for the store first, which did not answer.
        """
        daemon = self.deployment.daemon
        store_answers = asyncio.Event()
        with mock.patch.object(
            daemon._lease, 'release', side_effect=store_answers.wait
        ):
            stopping = asyncio.create_task(daemon.stop())
            await self.deployment.until(lambda: daemon._callers.is_refusing)
            self.assertFalse(daemon._servers[0].is_serving())
            store_answers.set()
            await stopping
