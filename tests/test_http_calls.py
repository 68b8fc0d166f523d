"""Tests of the client for short HTTP calls."""

from __future__ import annotations

import asyncio
import unittest

from nutmegspoke import http_calls
from nutmegspoke.http_calls import CallError, HttpCalls, NotSentError
from nutmegspoke.standins.path_proxy import PathProxy
from nutmegspoke.standins.tasks import end_tasks, track_current

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nServer: a\r\n\r\nok'
# Answers after which the connection is closed.
_CLOSED_AFTER = (b'', _WITHOUT_LENGTH, _ANSWER[:-1])
# Long, for busy machines.
_LIMIT_S = 20.0
_PATIENCE_S = 0.1
_SECOND = b'HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nbad'


class HttpCallsTest(unittest.IsolatedAsyncioTestCase):
    """Calls get their own, complete answer, or fail."""

    async def asyncSetUp(self) -> None:
        """Start a server that sends prepared bytes for each request."""
        self.http = HttpCalls()
        self.addAsyncCleanup(self.http.close)
        self.answers: list[bytes] = []
        self.requests: list[bytes] = []
        # Set when a connection has ended.
        self.closed = asyncio.Event()
        self.connections = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.addAsyncCleanup(end_tasks, self._tasks)
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        ip, port = server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    async def test_connections_are_reused(self) -> None:
        """Guards against a new connection for each call to the store."""
        self.answers = [_ANSWER, _ANSWER]
        for _ in range(2):
            answer = await self.http.call('GET', self.address, '/a')
            self.assertEqual((answer.status, answer.body), (200, b'ok'))
        self.assertEqual(self.connections, 1)

    async def test_encodes_a_request(self) -> None:
        """Query, headers and body are sent."""
        self.answers = [_ANSWER]
        await self.http.call(
            'POST',
            self.address,
            '/a',
            b'{}',
            {'Content-Type': 'application/json'},
            {'table': 'a b'},
        )
        head, _, body = self.requests[0].partition(b'\r\n\r\n')
        self.assertIn(b'POST /a?table=a+b HTTP/1.1\r\n', head)
        self.assertIn(b'Content-Type: application/json', head)
        self.assertEqual(body, b'{}')

    async def test_chunks_and_an_end_without_length(self) -> None:
        """Bodies may come in chunks, or end with their connection."""
        self.answers = [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\n\r\n',
            _WITHOUT_LENGTH,
        ]
        for _ in range(2):
            answer = await self.http.call('GET', self.address, '/a')
            self.assertEqual(answer.body, b'ok')

    async def test_an_answer_without_a_status_of_http(self) -> None:
        """Guards against orders that count as declined by status 000."""
        for status in (b'000', b'099', b'600', b'999'):
            self.answers = [_ANSWER.replace(b'200', status)]
            with self.subTest(status=status), self.assertRaises(CallError):
                await self.http.call('POST', self.address, '/a')

    async def test_a_late_second_answer(self) -> None:
        """Guards against an answer that the next call takes for its own."""
        self.answers = [_ANSWER + _SECOND, _ANSWER]
        for _ in range(2):
            answer = await self.http.call('GET', self.address, '/a')
            self.assertEqual(answer.body, b'ok')
        self.assertEqual(self.connections, 2)

    async def test_a_connection_closed_while_idle(self) -> None:
        """A read is repeated; a write may have been received and is not."""
        self.answers = [_ANSWER, b'', _ANSWER, b'']
        await self.http.call('GET', self.address, '/a')
        answer = await self.http.call('GET', self.address, '/a')
        self.assertEqual(answer.status, 200)
        with self.assertRaises(CallError) as raised:
            await self.http.call('POST', self.address, '/a')
        self.assertNotIsInstance(raised.exception, NotSentError)
        self.assertEqual(len(self.requests), 4)

    async def test_a_cut_answer(self) -> None:
        """Guards against the beginning of an answer taken for all of it."""
        self.answers = [_ANSWER[:-1]]
        with self.assertRaises(CallError):
            await self.http.call('GET', self.address, '/a')

    async def test_bytes_that_are_no_answer(self) -> None:
        """Guards against an unexpected error for bytes that are not HTTP."""
        self.answers = [b'\x00\x01 no answer\r\n\r\n']
        with self.assertRaises(CallError):
            await self.http.call('GET', self.address, '/a')

    async def test_a_body_without_end(self) -> None:
        """Guards against a server that fills the memory of this process."""
        limit = http_calls._MAX_BODY_BYTES  # noqa: SLF001 -- the tested limit
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n'
        self.answers = [head + bytes(limit + 1)]
        with self.assertRaisesRegex(CallError, 'too long'):
            async with asyncio.timeout(_LIMIT_S):
                await self.http.call('GET', self.address, '/a')

    async def test_many_headers(self) -> None:
        """Guards against short headers that take many times their bytes."""
        lines = b''.join(b'%d: x\r\n' % number for number in range(2_000))
        self.answers = [b'HTTP/1.1 200 OK\r\n' + lines]
        with self.assertRaisesRegex(CallError, 'too many headers'):
            async with asyncio.timeout(_LIMIT_S):
                await self.http.call('GET', self.address, '/a')

    async def test_a_limit_for_small_answers(self) -> None:
        """Guards against many engines that fill the memory with reports.

        Each call for a report could take as much as the largest of the store.
        """
        http = http_calls.HttpCalls(max_answer_bytes=1_000)
        self.addAsyncCleanup(http.close)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n'
        self.answers = [head + bytes(1_000)]
        with self.assertRaisesRegex(CallError, 'too long'):
            async with asyncio.timeout(_LIMIT_S):
                await http.call('GET', self.address, '/a')

    async def test_a_cancelled_call_closes_its_connection(self) -> None:
        """Guards against the answer of a call that timed out arriving later."""
        self.answers = [b'HTTP/1.1 200 OK\r\n', _ANSWER]
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await self.http.call('GET', self.address, '/a')
        async with asyncio.timeout(_LIMIT_S):
            await self.closed.wait()
        answer = await self.http.call('GET', self.address, '/a')
        self.assertEqual(answer.body, b'ok')
        self.assertEqual(self.connections, 2)

    async def test_nothing_listens(self) -> None:
        """A refused connection shows that nothing was sent."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        with self.assertRaises(NotSentError):
            await self.http.call('POST', f'{ip}:{port}', '/a')

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        track_current(self._tasks)
        self.connections += 1
        try:
            while request := await reader.read(65_536):
                self.requests.append(request)
                answer = self.answers.pop(0) if self.answers else b''
                writer.write(answer)
                if answer in _CLOSED_AFTER:
                    break
        finally:
            self.closed.set()
            writer.close()


class OverdueCallsTest(unittest.IsolatedAsyncioTestCase):
    """Calls over a path whose open connections go mute, while new ones work."""

    async def asyncSetUp(self) -> None:
        """Start a server that answers each request at once."""
        self.http = HttpCalls()
        self.addAsyncCleanup(self.http.close)
        self.requests: list[bytes] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.addAsyncCleanup(end_tasks, self._tasks)
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        ip, port = server.sockets[0].getsockname()
        self.path = PathProxy(f'{ip}:{port}')
        self.address = await self.path.start()
        self.addAsyncCleanup(self.path.stop)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        track_current(self._tasks)
        try:
            while request := await reader.read(65_536):
                self.requests.append(request)
                writer.write(_ANSWER)
        finally:
            writer.close()

    async def _open(self, count: int) -> None:
        """Open connections, and let them be idle."""
        await asyncio.gather(
            *(self.http.call('GET', self.address, '/a') for _ in range(count))
        )

    async def _call(self, patience_s: float, method: str = 'GET') -> bytes:
        async with asyncio.timeout(_LIMIT_S):
            answer = await self.http.call(
                method, self.address, '/a', patience_s=patience_s
            )
        return answer.body

    async def test_an_overdue_read(self) -> None:
        """Guards against a read that waits on a connection that is mute."""
        await self._open(1)
        self.path.mute_open()
        self.assertEqual(await self._call(_PATIENCE_S), b'ok')

    async def test_other_reads_that_wait(self) -> None:
        """Guards against patience where another read has shown it is in vain."""
        await self._open(2)
        self.path.mute_open()
        answers = await asyncio.gather(
            self._call(_PATIENCE_S), self._call(10 * _LIMIT_S)
        )
        self.assertEqual(answers, [b'ok', b'ok'])

    async def test_idle_connections_after_a_call_without_answer(self) -> None:
        """Guards against calls that try one mute connection after the other."""
        await self._open(3)
        self.path.mute_open()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_PATIENCE_S):
                await self.http.call('POST', self.address, '/a')
        async with asyncio.timeout(_LIMIT_S):
            answer = await self.http.call('POST', self.address, '/a')
        self.assertEqual(answer.body, b'ok')

    async def test_a_write_is_sent_once(self) -> None:
        """Guards against a write that is carried out twice."""
        await self._open(1)
        self.path.mute_open()
        received = len(self.requests)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(4 * _PATIENCE_S):
                await self.http.call(
                    'POST', self.address, '/a', patience_s=_PATIENCE_S
                )
        self.assertEqual(len(self.requests), received)
