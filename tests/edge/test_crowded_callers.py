"""Tests of connections that make room for others: memory and places."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from nutmegspoke.admission.answer_memory import AnswerMemory
from nutmegspoke.admission.caller_memory import CallerMemory
from nutmegspoke.edge.caller_answer import CloseCause
from nutmegspoke.edge.edge_metrics import EdgeMetrics
from nutmegspoke.edge.http_server import ConnectionSet, listen
from nutmegspoke.edge.limit_log import CallerLog
from nutmegspoke.entry_host import CallerLimits
from tests.edge.stream_loop_case import StreamLoopCase

if TYPE_CHECKING:
    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.forwarded import CallerRequest

_LIMITS = CallerLimits(header_timeout_s=0.2, idle_timeout_s=60.0)
_PATIENT = CallerLimits(header_timeout_s=60.0, idle_timeout_s=60.0)
# Leaves 150,000 bytes for requests.
_MEMORY_BYTES = 1_000_000
_BODY_BYTES = 100_000
_WAIT_S = 20.0
_CLOSE = b'GET /now HTTP/1.1\r\nConnection: close\r\n\r\n'


class _Handler:
    def __init__(self) -> None:
        self.urls: list[bytes] = []
        self.may_end = asyncio.Event()

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        self.urls.append(request.url)
        if request.url == b'/wait':
            await self.may_end.wait()
        await answer.send_complete(200, [], b'done')


class CrowdedCallersTest(StreamLoopCase):
    """Who waits for its own bytes makes room for who can be served."""

    async def asyncSetUp(self) -> None:
        """Start a server with little memory."""
        self.handler = _Handler()
        memory = CallerMemory(AnswerMemory(0), _MEMORY_BYTES)
        self.connections = ConnectionSet(self.handler, memory)
        self.connections.limits = _PATIENT
        self.causes: list[CloseCause] = []
        self.connections.on_close = lambda cause, _: self.causes.append(cause)
        server = await listen(self.connections.connect, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.addCleanup(self.connections.abort_all)
        self.port = server.sockets[0].getsockname()[1]

    async def test_an_incomplete_request_makes_place(self) -> None:
        """Guards against ordinary callers shut out by begun requests.

        The answer promises that the request has not run.
        """
        self.connections.max_open = 1
        reader, _ = await self._send(b'POST /begun HTTP/1.1\r\nA: ')
        await self._until(lambda: self._is_reading())
        self.assertIn(b' 200 ', await self._read(*await self._send(_CLOSE)))
        self.assertIn(b'HTTP/1.1 408 ', await self._read_all(reader))
        self.assertEqual(self.handler.urls, [b'/now'])
        await self._until(lambda: CloseCause.STALLED in self.causes)

    async def test_a_body_that_stalls_makes_room(self) -> None:
        """Guards against bodies that together take all memory."""
        stalled, _ = await self._send(_body(b'/begun', _BODY_BYTES)[:-1])
        await self._until(lambda: self.connections.memory.held_bytes)
        await self._until(
            lambda: self.connections.memory.held_bytes > _BODY_BYTES
        )
        answer = await self._read(*await self._send(_body(b'/a', _BODY_BYTES)))
        self.assertIn(b' 200 ', answer)
        self.assertIn(b'HTTP/1.1 503 ', await self._read_all(stalled))
        self.assertEqual(self.handler.urls, [b'/a'])
        self.assertEqual(self.connections.memory.held_bytes, 0)

    async def test_requests_that_wait_make_room(self) -> None:
        """Guards against an answer to a wrong request of a pipeline.

        The one that runs gets its answer; the next one, which never runs, gets
        the refusal.
        """
        pipeline = b'GET /wait HTTP/1.1\r\n\r\n' + _body(b'/b', _BODY_BYTES) * 2
        reader, _ = await self._send(pipeline)
        await self._until(lambda: self.connections.memory.shed_count)
        self.handler.may_end.set()
        received = await self._read_all(reader)
        self.assertEqual(
            [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]],
            [b'200', b'503'],
        )
        self.assertEqual(self.handler.urls, [b'/wait'])

    async def test_who_gave_way_is_logged_once(self) -> None:
        """Guards against a log that a crowd fills, or that shows nothing."""
        metrics = EdgeMetrics()
        log = mock.Mock()
        caller_log = CallerLog(self.connections, metrics, log)
        self.connections.memory.shed_count = 5
        self.connections.stalled_count = 7
        caller_log.tick()
        caller_log.tick()
        log.decided.assert_called_once()
        fields = log.decided.call_args.kwargs
        self.assertEqual((fields['memory'], fields['stalled']), (5, 7))
        page = metrics.render().decode()
        self.assertIn('nutmegspoke_edge_held_request_limit_bytes', page)
        self.assertIn('nutmegspoke_edge_caller_connections 0', page)

    async def test_empty_lines_do_not_extend_the_time(self) -> None:
        """Guards against a connection kept open by empty lines."""
        self.connections.limits = _LIMITS
        reader, writer = await self._send(b'\r\n')
        async with asyncio.timeout(_WAIT_S):
            while not reader.at_eof():
                writer.write(b'\r\n')
                await asyncio.sleep(0.05)
                await self._peek(reader)

    async def test_an_announced_body_is_not_awaited(self) -> None:
        """Guards against bytes received only to be refused."""
        head = b'POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n'
        reader, _ = await self._send(head)
        self.assertIn(b'HTTP/1.1 413 ', await self._read_all(reader))

    async def _send(
        self, sent: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(sent)
        return reader, writer

    async def _read(
        self, reader: asyncio.StreamReader, _: asyncio.StreamWriter
    ) -> bytes:
        """Return what is received up to the body of the handler."""
        async with asyncio.timeout(_WAIT_S):
            return await reader.readuntil(b'done')

    async def _read_all(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(_WAIT_S):
            return await reader.read()

    async def _peek(self, reader: asyncio.StreamReader) -> None:
        """Let the end of the connection arrive, if it is there."""
        try:
            async with asyncio.timeout(0.01):
                await reader.read(1)
        except TimeoutError:
            return

    def _is_reading(self) -> bool:
        return any(
            connection.is_incomplete for connection in self.connections.open
        )

    async def _until(self, predicate: object) -> None:
        async with asyncio.timeout(_WAIT_S):
            while not predicate():
                await asyncio.sleep(0.01)


def _body(path: bytes, size: int) -> bytes:
    head = b'POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % (path, size)
    return head + bytes(size)
